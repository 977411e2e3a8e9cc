package admission

import (
	"hash/fnv"
	"slices"
	"sync"

	"trefoilplank.example/api"
	decision "trefoilplank.example/pkg/decision/admission"
)

// registerIndex is an index of the register with the owner of each upstream, so that a placement or a periodic pass need
// not scan 1,500 upstreams. It is valid for one configuration and one set of possible owners, and immutable.
type registerIndex struct {
	configRevision, ownerGeneration int64
	upstreams                       []api.Upstream
	// owner is the owner of each upstream, in the order of upstreams.
	owner []string
	// byModel and byService hold the positions of engines and services in ascending order; byName holds the position
	// of every upstream.
	byModel, byService map[string][]int
	byName             map[string]int
	// byOwner holds the names of the upstreams of each owner.
	byOwner map[string][]string
	// ownersDigest is a digest of the nodes among which the owners were chosen.
	ownersDigest uint64
}

// registerIndexCache caches the index of the current configuration and members.
type registerIndexCache struct {
	mu      sync.Mutex
	current *registerIndex
}

// registerIndex returns the index for the configuration in force and the current members.
func (c *Controller) registerIndex() *registerIndex {
	cfg, config := c.Board.Config.Get()
	owners := c.ownerOf.Generation(&c.Board.Members)
	c.indexCache.mu.Lock()
	defer c.indexCache.mu.Unlock()
	if index := c.indexCache.current; index == nil || index.configRevision != config || index.ownerGeneration != owners {
		c.indexCache.current = c.newRegisterIndex(cfg.Register.Upstreams, config, owners)
	}
	return c.indexCache.current
}

func (c *Controller) newRegisterIndex(upstreams []api.Upstream, config, owners int64) *registerIndex {
	index := &registerIndex{
		configRevision: config, ownerGeneration: owners, upstreams: upstreams, owner: make([]string, len(upstreams)),
		byModel: map[string][]int{}, byService: map[string][]int{}, byName: make(map[string]int, len(upstreams)),
		byOwner: map[string][]string{}, ownersDigest: digest(decision.PossibleOwners(c.Board.Members.Value())),
	}
	for i := range upstreams {
		u := &upstreams[i]
		index.owner[i] = c.owner(u.Name)
		index.byName[u.Name] = i
		index.byOwner[index.owner[i]] = append(index.byOwner[index.owner[i]], u.Name)
		if u.Kind == api.UpstreamService {
			index.byService[u.Service] = append(index.byService[u.Service], i)
			continue
		}
		for n, m := range u.Models {
			if !slices.Contains(u.Models[:n], m) {
				index.byModel[m] = append(index.byModel[m], i)
			}
		}
	}
	return index
}

// serving returns the positions of the upstreams that serve a model or a service, in the order of the register.
func (l *registerIndex) serving(model, service string) []int {
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

// digest returns a hash of names in their order.
func digest(names []string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		h.Write([]byte(name))
		h.Write([]byte{0})
	}
	return h.Sum64()
}
