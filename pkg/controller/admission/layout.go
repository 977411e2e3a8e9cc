package admission

import (
	"slices"
	"sync"

	"trefoilplank.example/api"
)

// layout is an index of the register with the owner of each upstream. It holds for one configuration and one set of
// possible owners, so that loops and placements need not walk 1,500 upstreams. It is not changed after it was built.
type layout struct {
	config, owners int64
	upstreams      []api.Upstream
	// owner is that of each upstream, by its index.
	owner []string
	// byModel and byService hold the indexes of engines and services in order, and byName those of all.
	byModel, byService map[string][]int
	byName             map[string]int
	// byOwner holds the names of the upstreams of each owner.
	byOwner map[string][]string
}

// layouts keeps the present layout.
type layouts struct {
	mu      sync.Mutex
	present *layout
}

// layout returns the index of the configuration in force under the present members.
func (c *Controller) layout() *layout {
	cfg, config := c.Board.Config.Get()
	owners := c.ownerOf.Generation(&c.Board.Members)
	c.layouts.mu.Lock()
	defer c.layouts.mu.Unlock()
	if l := c.layouts.present; l == nil || l.config != config || l.owners != owners {
		c.layouts.present = c.newLayout(cfg.Register.Upstreams, config, owners)
	}
	return c.layouts.present
}

func (c *Controller) newLayout(upstreams []api.Upstream, config, owners int64) *layout {
	l := &layout{
		config: config, owners: owners, upstreams: upstreams, owner: make([]string, len(upstreams)),
		byModel: map[string][]int{}, byService: map[string][]int{}, byName: make(map[string]int, len(upstreams)),
		byOwner: map[string][]string{},
	}
	for i := range upstreams {
		u := &upstreams[i]
		l.owner[i] = c.owner(u.Name)
		l.byName[u.Name] = i
		l.byOwner[l.owner[i]] = append(l.byOwner[l.owner[i]], u.Name)
		if u.Kind == api.UpstreamService {
			l.byService[u.Service] = append(l.byService[u.Service], i)
			continue
		}
		for n, m := range u.Models {
			if !slices.Contains(u.Models[:n], m) {
				l.byModel[m] = append(l.byModel[m], i)
			}
		}
	}
	return l
}

// serving returns the indexes of the upstreams that serve a model or a service, in the order of the register.
func (l *layout) serving(model, service string) []int {
	var engines, services []int
	if model != "" {
		engines = l.byModel[model]
	}
	if service != "" {
		services = l.byService[service]
	}
	if len(engines) == 0 {
		return services
	}
	if len(services) == 0 {
		return engines
	}
	both := slices.Concat(engines, services)
	slices.Sort(both)
	return both
}
