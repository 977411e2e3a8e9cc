package reconcile

import (
	"fmt"
	"maps"
	"slices"
)

// defaultRole is the role that ends draining when the register names none.
const defaultRole = "serve"

// roles drains a leaving upstream and gives others their role.
func (p *planner) roles(u *Upstream) {
	if u.State == nil {
		return
	}
	draining := u.State.Role == RoleDraining
	switch {
	case u.Leaving && !draining:
		// A leaving upstream gets no new requests, so that draining takes no serving replica away.
		p.order(u, Order{Kind: Drain, Reason: "the upstream is leaving"})
	case u.Leaving:
	case draining:
		role := u.Role
		if role == "" {
			role = defaultRole
		}
		p.order(u, Order{Kind: Role, Role: role, Reason: "the upstream is no longer leaving"})
	case u.Role != "" && u.Role != u.State.Role:
		p.changeRole(u)
	}
}

func (p *planner) changeRole(u *Upstream) {
	o := Order{Kind: Role, Role: u.Role, Reason: fmt.Sprintf("role %q is desired, the engine has %q", u.Role, u.State.Role)}
	for _, m := range p.disrupted(u, o) {
		if p.serving[m]-1 < p.models[m].Min {
			p.wait(m, u.Name, fmt.Sprintf("role %q waits: %d replicas of %q serve, the serving minimum is %d",
				u.Role, p.serving[m], m, p.models[m].Min))
			return
		}
	}
	p.order(u, o)
}

// strays unloads models of the register that the upstream does not list. Models that the register does not know
// are left alone, since something else may own them.
func (p *planner) strays(u *Upstream) {
	if u.State == nil || u.Leaving {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(u.State.Models)) {
		if p.models[name] != nil && !slices.Contains(u.Models, name) {
			p.order(u, Order{Kind: Unload, Model: name, Reason: "the register does not list the model for this upstream"})
			return
		}
	}
}

// adapters brings the adapters of an upstream to the register's, one order at a time. An adapter with another
// version is unloaded first, since engines report no adapter versions.
func (p *planner) adapters(u *Upstream) {
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
		if !wanted && p.adapterOfUnservedModel(name) {
			continue
		}
		if !wanted {
			p.order(u, Order{Kind: Unload, Adapter: name, Reason: "the register does not hold the adapter"})
			return
		}
		if known && ordered != version {
			if !p.mayDrop(u, base[name], name) {
				p.wait(base[name], u.Name, fmt.Sprintf("other replicas change adapter %s first", name))
				continue
			}
			unload := Order{Kind: Unload, Adapter: name, Model: base[name],
				Reason: fmt.Sprintf("adapter version %q is desired, %q was loaded", version, ordered)}
			if p.order(u, unload) {
				p.dropped[name] = append(p.dropped[name], u.Name)
			}
			return
		}
	}
	for _, name := range slices.Sorted(maps.Keys(desired)) {
		if !slices.Contains(u.State.Adapters, name) {
			p.order(u, Order{Kind: Load, Adapter: name, Model: base[name], Version: desired[name],
				Reason: "the adapter is missing"})
			return
		}
	}
}

// adapterShare is the part of a model's replicas that may lack an adapter while its version changes.
const adapterShare = 0.1

// mayDrop reports whether the upstream may unload an adapter to change its version. Few replicas do so at a time, and
// never the last one that holds it, since calls of the adapter have no other place to go. A replica that can't take
// orders now does not hold up the others.
func (p *planner) mayDrop(u *Upstream, model, adapter string) bool {
	servers, holders, changing := 1, 0, 0
	for _, x := range p.upstreams {
		if x == u || x.Leaving || x.State == nil || !x.Serves(model) {
			continue
		}
		servers++
		switch {
		case slices.Contains(p.dropped[adapter], x.Name):
			changing++
		case slices.Contains(x.State.Adapters, adapter):
			holders++
		case x.TakesOrders && x.Blocked == "":
			changing++
		}
	}
	if servers == 1 {
		return true
	}
	return holders > 0 && changing < max(1, int(adapterShare*float64(servers)))
}

// adapterOfUnservedModel reports whether the adapter is registered; it stays while its model is being changed.
func (p *planner) adapterOfUnservedModel(name string) bool {
	for _, m := range p.models {
		if _, ok := m.Adapters[name]; ok {
			return true
		}
	}
	return false
}
