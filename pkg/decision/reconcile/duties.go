package reconcile

import (
	"fmt"
	"maps"
	"slices"
)

// defaultRole is ordered to end draining when the register names no role.
const defaultRole = "serve"

// planRole drains a leaving upstream and orders the desired role for other upstreams.
func (p *planner) planRole(u *Upstream) {
	if u.State == nil {
		return
	}
	draining := u.State.Role == RoleDraining
	switch {
	case u.Leaving && !draining:
		// A leaving upstream gets no new requests, so that draining it does not reduce the serving replicas.
		p.addOrder(u, Order{Kind: Drain, Reason: "the upstream is leaving"})
	case u.Leaving:
	case draining:
		role := u.Role
		if role == "" {
			role = defaultRole
		}
		p.addOrder(u, Order{Kind: Role, Role: role, Reason: "the upstream is no longer leaving"})
	case u.Role != "" && u.Role != u.State.Role:
		p.changeRole(u)
	}
}

// changeRole orders the desired role unless that takes a model below its serving minimum.
func (p *planner) changeRole(u *Upstream) {
	o := Order{Kind: Role, Role: u.Role, Reason: fmt.Sprintf("role %q is desired, the engine has %q", u.Role, u.State.Role)}
	for _, m := range p.disruptedModels(u, o) {
		if p.serving[m]-1 < p.models[m].Min {
			p.addWait(m, u.Name, fmt.Sprintf("role %q waits: %d replicas of %q serve, the serving minimum is %d",
				u.Role, p.serving[m], m, p.models[m].Min))
			return
		}
	}
	p.addOrder(u, o)
}

// unloadUnlisted unloads registered models that the register does not list for the upstream. Models that are not
// registered stay, since another system may own them.
func (p *planner) unloadUnlisted(u *Upstream) {
	if u.State == nil || u.Leaving {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(u.State.Models)) {
		if p.models[name] != nil && !slices.Contains(u.Models, name) {
			p.addOrder(u, Order{Kind: Unload, Model: name, Reason: "the register does not list the model for this upstream"})
			return
		}
	}
}

// planAdapters loads missing adapters on an upstream and unloads those that the register does not hold, one order at a
// time. To change its version, an adapter is unloaded first, since engines report no adapter versions.
func (p *planner) planAdapters(u *Upstream) {
	if u.State == nil || u.Leaving {
		return
	}
	desired, base := map[string]string{}, map[string]string{}
	for _, m := range p.models {
		if !u.Serves(m.Name) {
			continue
		}
		for name, version := range m.Adapters {
			desired[name], base[name] = version, m.Name
		}
	}
	for _, name := range slices.Sorted(slices.Values(u.State.Adapters)) {
		version, wanted := desired[name]
		ordered, known := u.AdapterVersions[name]
		if !wanted && p.adapterRegistered(name) {
			continue
		}
		if !wanted {
			p.addOrder(u, Order{Kind: Unload, Adapter: name, Reason: "the register does not hold the adapter"})
			return
		}
		if known && ordered != version {
			if !p.mayUnloadAdapter(u, base[name], name) {
				p.addWait(base[name], u.Name, fmt.Sprintf("other replicas change adapter %s first", name))
				continue
			}
			unload := Order{Kind: Unload, Adapter: name, Model: base[name],
				Reason: fmt.Sprintf("adapter version %q is desired, %q was loaded", version, ordered)}
			if p.addOrder(u, unload) {
				p.adapterUnloads[name] = append(p.adapterUnloads[name], u.Name)
			}
			return
		}
	}
	for _, name := range slices.Sorted(maps.Keys(desired)) {
		if !slices.Contains(u.State.Adapters, name) {
			p.addOrder(u, Order{Kind: Load, Adapter: name, Model: base[name], Version: desired[name],
				Reason: "the adapter is missing"})
			return
		}
	}
}

// maxAdapterChangeShare is the share of a model's replicas that may lack an adapter while its version changes.
const maxAdapterChangeShare = 0.1

// mayUnloadAdapter reports whether the upstream may unload an adapter to change its version. Few replicas do so at a
// time, and never the last one that holds it, since requests for the adapter could go to no other. A replica that can't
// take orders now is not counted as changing, so that it does not delay the others.
func (p *planner) mayUnloadAdapter(u *Upstream, model, adapter string) bool {
	servers, holders, changing := 1, 0, 0
	for _, other := range p.upstreams {
		if other == u || other.Leaving || other.State == nil || !other.Serves(model) {
			continue
		}
		servers++
		switch {
		case slices.Contains(p.adapterUnloads[adapter], other.Name):
			changing++
		case slices.Contains(other.State.Adapters, adapter):
			holders++
		case other.TakesOrders && other.Blocked == "":
			changing++
		}
	}
	if servers == 1 {
		return true
	}
	return holders > 0 && changing < max(1, int(maxAdapterChangeShare*float64(servers)))
}

// adapterRegistered reports whether the register holds the adapter for any model. Such an adapter stays loaded while the
// upstream does not serve its model, for instance during a change of the model.
func (p *planner) adapterRegistered(name string) bool {
	for _, m := range p.models {
		if _, ok := m.Adapters[name]; ok {
			return true
		}
	}
	return false
}
