package reconcile

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// changingDivisor limits the replicas of a model that may change at once after the version is proven, to one in
// changingDivisor. A tenth rolls 500 replicas out in ten load times and leaves nine tenths of the capacity.
const changingDivisor = 10

// planner holds the state of one call of MakePlan.
type planner struct {
	plan      Plan
	models    map[string]*Model
	upstreams []*Upstream
	// ordered is the set of upstreams that have an order in this plan.
	ordered map[string]bool
	// adapterUnloads lists, by adapter, the upstreams that this plan orders to unload it for a change of version.
	adapterUnloads map[string][]string
	// serving holds, by model, the number of serving replicas that remain after the orders planned so far.
	serving map[string]int
}

// MakePlan returns the next orders. Orders never take a model from its serving minimum or above to below it, and an
// upstream whose last change has not ended gets no order.
func MakePlan(in Input) Plan {
	p := &planner{
		plan: Plan{Replicas: map[string]Replicas{}}, models: map[string]*Model{},
		ordered: map[string]bool{}, serving: map[string]int{}, adapterUnloads: map[string][]string{},
	}
	for i := range in.Upstreams {
		p.upstreams = append(p.upstreams, &in.Upstreams[i])
	}
	slices.SortFunc(p.upstreams, func(a, b *Upstream) int { return cmp.Compare(a.Name, b.Name) })
	for i := range in.Models {
		m := &in.Models[i]
		p.models[m.Name] = m
		p.countReplicas(m)
	}
	for _, m := range p.byNeed(in.Models) {
		p.planModel(m)
	}
	for _, u := range p.upstreams {
		p.planRole(u)
		p.unloadUnlisted(u)
		p.planAdapters(u)
	}
	return p.plan
}

// countReplicas sets the replica counts of a model.
func (p *planner) countReplicas(m *Model) {
	r := Replicas{Want: m.Replicas}
	eligible := 0
	for _, u := range p.upstreams {
		if u.Leaving || u.State == nil || !slices.Contains(u.Models, m.Name) {
			continue
		}
		eligible++
		if u.Serves(m.Name) {
			r.Serving++
			if u.upToDate(m.Name, m.Target()) {
				r.UpToDate++
			}
		}
		if _, loading := u.State.Loading[m.Name]; loading || u.OrderPending {
			r.Changing++
		}
	}
	if r.Want == 0 {
		r.Want = eligible
	}
	r.Want = max(r.Want, m.Min)
	p.plan.Replicas[m.Name] = r
	p.serving[m.Name] = r.Serving
}

// byNeed sorts the models: those below their serving minimum first, then by the missing fraction of their replicas.
func (p *planner) byNeed(models []Model) []*Model {
	sorted := make([]*Model, len(models))
	for i := range models {
		sorted[i] = &models[i]
	}
	need := func(m *Model) float64 {
		r := p.plan.Replicas[m.Name]
		missing := float64(r.Want-r.Serving) / float64(max(r.Want, 1))
		if r.Serving < m.Min {
			missing += 1 + float64(m.Min-r.Serving)/float64(m.Min)
		}
		return missing
	}
	slices.SortStableFunc(sorted, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(need(b), need(a)), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

// allowedChanges returns how many more replicas of the model may begin a change.
func (p *planner) allowedChanges(m *Model) int {
	r := p.plan.Replicas[m.Name]
	limit := 1
	if m.Proven {
		limit = max(1, r.Want/changingDivisor)
	}
	// A model below its serving minimum may load as many replicas at once as it lacks.
	return max(limit, m.Min-r.Serving) - r.Changing
}

// modelUpstreams are the upstreams that may load a model: those with the target version, those with another version and
// those without the model.
type modelUpstreams struct{ current, outdated, spare []*Upstream }

// upstreamsOf sorts the upstreams that may load the model by what they hold. Leaving upstreams and those without a known
// state are left out.
func (p *planner) upstreamsOf(m *Model) modelUpstreams {
	var sorted modelUpstreams
	for _, u := range p.upstreams {
		switch {
		case u.Leaving || u.State == nil || !slices.Contains(u.Models, m.Name):
		case !u.holds(m.Name):
			sorted.spare = append(sorted.spare, u)
		case u.upToDate(m.Name, m.Target()):
			sorted.current = append(sorted.current, u)
		default:
			sorted.outdated = append(sorted.outdated, u)
		}
	}
	return sorted
}

// planModel plans the loads and unloads of one model.
func (p *planner) planModel(m *Model) {
	upstreams := p.upstreamsOf(m)
	r := p.plan.Replicas[m.Name]
	total := len(upstreams.current) + len(upstreams.outdated)
	allowed := p.allowedChanges(m)
	loaded := p.loadSpares(m, upstreams, r.Want-total, allowed, fmt.Sprintf("%d of %d replicas hold the model", total, r.Want))
	total, allowed = total+loaded, allowed-loaded
	p.unloadSurplus(m, upstreams, total-r.Want)
	allowed -= p.updateOutdated(m, upstreams.outdated, allowed)
	p.loadExtraReplica(m, upstreams, total-r.Want, allowed)
}

// loadSpares loads the target version on up to n spare upstreams, at most allowed, and returns the number of orders.
// Upstreams on which this version failed to load come last; of the others, those in the availability zone with the fewest
// replicas of the model come first.
func (p *planner) loadSpares(m *Model, upstreams modelUpstreams, n, allowed int, reason string) int {
	if n <= 0 {
		return 0
	}
	zones := map[string]int{}
	for _, u := range slices.Concat(upstreams.current, upstreams.outdated) {
		zones[u.AvailabilityZone]++
	}
	spares, orders := slices.Clone(upstreams.spare), 0
	for orders < min(n, allowed) && len(spares) > 0 {
		best := slices.MinFunc(spares, func(a, b *Upstream) int {
			return cmp.Or(cmp.Compare(failedBefore(a, m), failedBefore(b, m)),
				cmp.Compare(zones[a.AvailabilityZone], zones[b.AvailabilityZone]), cmp.Compare(a.Name, b.Name))
		})
		spares = slices.DeleteFunc(spares, func(u *Upstream) bool { return u == best })
		if p.addOrder(best, Order{Kind: Load, Model: m.Name, Version: m.Target(), Reason: reason}) {
			zones[best.AvailabilityZone]++
			orders++
		}
	}
	if orders < n {
		p.addWait(m.Name, "", fmt.Sprintf("%d more replicas wanted, %d may begin to load now, %d upstreams without the model",
			n, max(allowed, 0), len(upstreams.spare)))
	}
	return orders
}

// failedBefore returns 1 if the last load of the target version failed on u, else 0.
func failedBefore(u *Upstream, m *Model) int {
	if v, failed := u.State.Failed[m.Name]; failed && v == m.Target() {
		return 1
	}
	return 0
}

// unloadSurplus unloads the n replicas above the desired number: outdated ones if there are any, and first in the
// availability zones with the most replicas.
func (p *planner) unloadSurplus(m *Model, upstreams modelUpstreams, n int) {
	candidates := upstreams.outdated
	if len(candidates) == 0 {
		// While outdated replicas remain, unloading a current one would undo the load of the extra replica that
		// replaces them.
		candidates = upstreams.current
	}
	for _, u := range p.fullestZoneFirst(m, candidates) {
		if n <= 0 {
			return
		}
		if u.Serves(m.Name) && p.serving[m.Name]-1 < p.plan.Replicas[m.Name].Want {
			continue
		}
		if p.addOrder(u, Order{Kind: Unload, Model: m.Name, Reason: fmt.Sprintf("%d replicas above the desired number", n)}) {
			n--
		}
	}
}

// updateOutdated replaces another version by the target version and returns the number of orders.
func (p *planner) updateOutdated(m *Model, outdated []*Upstream, allowed int) int {
	reason := fmt.Sprintf("version %q is desired", m.Target())
	if m.Stopped && m.Previous != "" {
		reason = fmt.Sprintf("going back to version %q, since version %q failed", m.Previous, m.Version)
	}
	orders, keptServing := 0, 0
	for _, u := range p.fullestZoneFirst(m, outdated) {
		if orders >= allowed {
			break
		}
		if p.ordered[u.Name] {
			continue
		}
		if u.Serves(m.Name) && p.serving[m.Name]-1 < m.Min {
			keptServing++
			continue
		}
		if p.addOrder(u, Order{Kind: Load, Model: m.Name, Version: m.Target(), Reason: reason}) {
			orders++
		}
	}
	if keptServing > 0 && orders == 0 {
		p.addWait(m.Name, "", fmt.Sprintf("version %q waits: %d replicas serve, the serving minimum is %d",
			m.Target(), p.serving[m.Name], m.Min))
	}
	return orders
}

// loadExtraReplica loads one replica more than desired if that is the only way to take an outdated replica out of
// service without going below the serving minimum.
func (p *planner) loadExtraReplica(m *Model, upstreams modelUpstreams, surplus, allowed int) {
	if surplus > 0 || allowed <= 0 || len(upstreams.spare) == 0 {
		return
	}
	for _, u := range upstreams.outdated {
		if u.Serves(m.Name) && !p.ordered[u.Name] && p.serving[m.Name]-1 < m.Min {
			p.loadSpares(m, upstreams, 1, allowed, "one replica more, so that an outdated one can leave service")
			return
		}
	}
}

// fullestZoneFirst sorts upstreams. Replicas that do not serve come first. Each further one is of the availability zone
// with the most serving replicas left. The input must be sorted by name.
func (p *planner) fullestZoneFirst(m *Model, list []*Upstream) []*Upstream {
	zones := map[string]int{}
	for _, u := range p.upstreams {
		if u.Serves(m.Name) && !p.ordered[u.Name] {
			zones[u.AvailabilityZone]++
		}
	}
	ordered, queues := make([]*Upstream, 0, len(list)), map[string][]*Upstream{}
	for _, u := range list {
		if u.Serves(m.Name) {
			queues[u.AvailabilityZone] = append(queues[u.AvailabilityZone], u)
		} else {
			ordered = append(ordered, u)
		}
	}
	for len(ordered) < len(list) {
		var best string
		for zone, q := range queues {
			if len(q) > 0 && (len(queues[best]) == 0 || zones[zone] > zones[best] || (zones[zone] == zones[best] && zone < best)) {
				best = zone
			}
		}
		ordered = append(ordered, queues[best][0])
		queues[best] = queues[best][1:]
		zones[best]--
	}
	return ordered
}

// addOrder adds o to the plan unless the upstream can't take an order now, and reports whether it did.
func (p *planner) addOrder(u *Upstream, o Order) bool {
	if !u.TakesOrders || u.State == nil || p.ordered[u.Name] {
		return false
	}
	if u.OrderPending || len(u.State.Loading) > 0 {
		p.addWait(o.Model, u.Name, "another change of the upstream has not ended")
		return false
	}
	if u.Blocked != "" {
		p.addWait(o.Model, u.Name, u.Blocked)
		return false
	}
	o.Upstream = u.Name
	o.Disrupts = p.disruptedModels(u, o)
	for _, m := range o.Disrupts {
		p.serving[m]--
	}
	p.ordered[u.Name] = true
	p.plan.Orders = append(p.plan.Orders, o)
	return true
}

// disruptedModels returns the models that u serves and o takes out of service.
func (p *planner) disruptedModels(u *Upstream, o Order) []string {
	var models []string
	for _, m := range slices.Sorted(maps.Keys(p.models)) {
		if !u.Serves(m) || o.Adapter != "" {
			continue
		}
		if o.Kind == Role || ((o.Kind == Load || o.Kind == Unload) && o.Model == m) {
			models = append(models, m)
		}
	}
	return models
}

func (p *planner) addWait(model, upstream, reason string) {
	p.plan.Waits = append(p.plan.Waits, Wait{Model: model, Upstream: upstream, Reason: reason})
}
