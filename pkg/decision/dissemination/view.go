// Package dissemination decides who passes a change on to whom: two relays in each availability zone learn
// changes from the store, and a tree of bounded degree carries them to the other nodes.
package dissemination

import (
	"maps"
	"math/rand/v2"
	"slices"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/rendezvous"
)

const (
	// Degree bounds the number of nodes that one node passes a change to.
	Degree = 8
	// RelaysPerZone gives each availability zone a second watcher of the store for the time in which the first
	// is dead or paused and not yet noticed.
	RelaysPerZone = 2
	// leadsPerZone is the number of nodes of a zone that can lead it in a tree.
	leadsPerZone = 3
)

// Lead says which node of each zone leads it in a tree. The work is divided between them, so that none of them
// exceeds the bytes a second that a node may use.
type Lead int

// Leads.
const (
	// LeadHead is the first relay; it leads for configuration and membership.
	LeadHead Lead = 0
	// LeadReporter gathers and spreads the versions in force in its zone.
	LeadReporter Lead = 2
)

// Member is a live node and its availability zone.
type Member struct {
	Name             string
	AvailabilityZone string
}

// View is the set of live nodes that decisions are taken on. Nodes may have different views for a moment; a
// change then reaches some nodes twice or only by the digest exchange.
type View struct {
	zoneOf  map[string]string
	members map[string][]string
	zones   []string
	// leads are the first nodes of each zone by rendezvous hashing.
	leads map[string][]string
}

// NewView returns a view of members.
func NewView(members []Member) View {
	v := View{zoneOf: map[string]string{}, members: map[string][]string{}, leads: map[string][]string{}}
	for _, m := range members {
		if _, ok := v.zoneOf[m.Name]; !ok {
			v.zoneOf[m.Name] = m.AvailabilityZone
			v.members[m.AvailabilityZone] = append(v.members[m.AvailabilityZone], m.Name)
		}
	}
	for zone, names := range v.members {
		slices.Sort(names)
		v.leads[zone] = rendezvous.Top("relay/"+zone, names, leadsPerZone)
	}
	v.zones = slices.Sorted(maps.Keys(v.members))
	return v
}

// ViewOf returns the view of the live members.
func ViewOf(m blackboard.Members) View {
	list := make([]Member, 0, len(m.Live))
	for name, member := range m.Live {
		list = append(list, Member{Name: name, AvailabilityZone: member.AvailabilityZone})
	}
	return NewView(list)
}

// Relays returns the relays of a zone; the first of them is the zone's head.
func (v View) Relays(zone string) []string {
	return v.leads[zone][:min(len(v.leads[zone]), RelaysPerZone)]
}

// Leads returns the nodes that lead a zone in a tree, the next one in place of those that do not answer.
func (v View) Leads(zone string, lead Lead) []string {
	all := v.leads[zone]
	if len(all) == 0 {
		return nil
	}
	i := int(lead) % len(all)
	return append(slices.Clone(all[i:]), all[:i]...)
}

// RelayRank returns 0 for the head of the node's zone, 1 for its second relay and -1 for other nodes.
func (v View) RelayRank(name string) int {
	return slices.Index(v.Relays(v.zoneOf[name]), name)
}

// Peers returns the other members of the node's zone, by name.
func (v View) Peers(name string) []string {
	return slices.DeleteFunc(slices.Clone(v.members[v.zoneOf[name]]), func(n string) bool { return n == name })
}

// Others returns all other members, by name.
func (v View) Others(name string) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(v.zoneOf)), func(n string) bool { return n == name })
}

// Len returns the number of members.
func (v View) Len() int { return len(v.zoneOf) }

// Zones returns the number of availability zones.
func (v View) Zones() int { return len(v.zones) }

// Stage says which tree a change is on.
type Stage string

// Stages.
const (
	// StageZones is the tree over the leads of the zones.
	StageZones Stage = "zones"
	// StageMembers is the tree over the members of one zone.
	StageMembers Stage = "members"
)

// Route is the tree that a change travels on.
type Route struct {
	Stage Stage
	// Root is the zone that a StageZones tree starts in, or the node that a StageMembers tree starts at. The
	// root of a StageMembers tree may be a node of another zone that stands in for the zone's leads.
	Root string
	// Zone is the zone of a StageMembers tree.
	Zone string
	// Lead says which nodes lead the zones of a StageZones tree.
	Lead Lead
}

// Step is one message to send.
type Step struct {
	To    string
	Route Route
}

// origin returns the route and receiver of a change that self makes known: the lead of its zone passes it on.
func (v View) origin(self string, lead Lead) (to string, r Route) {
	zone := v.zoneOf[self]
	if leads := v.Leads(zone, lead); len(leads) > 0 {
		to = leads[0]
	}
	return to, Route{Stage: StageZones, Root: zone, Lead: lead}
}

// zoneRoute is the tree of the zone that starts at root.
func (v View) zoneRoute(root, zone string) Route {
	return Route{Stage: StageMembers, Root: root, Zone: zone}
}

// zoneSteps returns the messages to the leads of the zones below zone in the tree of zones.
func (v View) zoneSteps(zone string, r Route) []Step {
	var steps []Step
	for _, z := range children(v.order("zones/", r.Root, v.zones), zone) {
		steps = append(steps, Step{To: v.Leads(z, r.Lead)[0], Route: r})
	}
	return steps
}

// memberSteps returns the messages to the members below name in the tree of a zone. The zone's leads have other
// work, so they come last, where a tree has no inner nodes.
func (v View) memberSteps(name string, r Route) []Step {
	order := v.order("tree/", r.Root, v.members[r.Zone])
	isLead := func(n string) bool { return slices.Contains(v.leads[r.Zone], n) }
	slices.SortStableFunc(order[1:], func(a, b string) int {
		switch {
		case isLead(a) == isLead(b):
			return 0
		case isLead(a):
			return 1
		}
		return -1
	})
	var steps []Step
	for _, child := range children(order, name) {
		steps = append(steps, Step{To: child, Route: r})
	}
	return steps
}

// order returns root and then the other names in an order that differs from root to root, so that inner
// positions of the trees are spread over the nodes.
func (v View) order(kind, root string, names []string) []string {
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == root })
	return append([]string{root}, rendezvous.Top(kind+root, others, len(others))...)
}

// children returns the names below name when order is laid out as a heap of the tree's degree.
func children(order []string, name string) []string {
	i := slices.Index(order, name)
	if i < 0 {
		return nil
	}
	first := min(Degree*i+1, len(order))
	return order[first:min(first+Degree, len(order))]
}

// Adopt returns the messages that self sends in place of a receiver that did not answer, so that the nodes below
// it get the change without waiting for the digest exchange.
func (v View) Adopt(self string, failed Step) []Step {
	r := failed.Route
	if r.Stage == StageMembers {
		return v.memberSteps(failed.To, r)
	}
	zone := v.zoneOf[failed.To]
	leads := v.Leads(zone, r.Lead)
	if next := slices.Index(leads, failed.To) + 1; next > 0 && next < len(leads) && leads[next] != self {
		return []Step{{To: leads[next], Route: r}}
	}
	return append(v.zoneSteps(zone, r), v.memberSteps(self, v.zoneRoute(self, zone))...)
}

// Partner returns the node to compare digests with: for a relay one of another zone, so that zones that lost
// contact catch up, and for others any member of the zone. It is "" when there is none.
func (v View) Partner(self string, random *rand.Rand) string {
	var candidates []string
	if v.RelayRank(self) >= 0 {
		for _, z := range v.zones {
			if z != v.zoneOf[self] {
				candidates = append(candidates, v.Relays(z)...)
			}
		}
	}
	if len(candidates) == 0 {
		candidates = v.Peers(self)
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[random.IntN(len(candidates))]
}

// ReadsLeases reports whether the node reads lease records for its zone: its last relay, since the head has the
// most other work.
func (v View) ReadsLeases(name string) bool {
	relays := v.Relays(v.zoneOf[name])
	return len(relays) > 0 && relays[len(relays)-1] == name
}

// Slice returns the range of names (above after, up to until; until "" is open) whose lease records are read in
// the node's zone. The zones share the records, so that no node reads those of the whole fleet.
func (v View) Slice(self string) (after, until string) {
	all := slices.Sorted(maps.Keys(v.zoneOf))
	i, n := slices.Index(v.zones, v.zoneOf[self]), len(v.zones)
	if i < 0 {
		return "", ""
	}
	if i > 0 {
		after = all[i*len(all)/n]
	}
	if i < n-1 {
		until = all[(i+1)*len(all)/n]
	}
	return after, until
}
