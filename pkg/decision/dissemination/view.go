// Package dissemination decides which node sends a change to which others. Two relays in each availability zone learn
// of changes from the store, and a tree of bounded degree distributes them to the other nodes.
package dissemination

import (
	"maps"
	"math/rand/v2"
	"slices"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/rendezvous"
)

const (
	// Degree bounds the number of nodes that one node forwards a change to in a tree.
	Degree = 8
	// RelaysPerZone is the number of nodes in an availability zone that watch the store. The second one covers the
	// time until a dead or paused first one is detected.
	RelaysPerZone = 2
	// leadsPerZone is the number of nodes of a zone that can be its lead in a tree.
	leadsPerZone = 3
)

// Lead selects the node of each zone that is its lead in a tree: the one that receives messages for the zone and forwards
// them. Different messages use different leads, so that no node exceeds its allowed bytes per second.
type Lead int

// Leads.
const (
	// LeadHead selects the first relay, the head, as the lead for configuration and membership.
	LeadHead Lead = 0
	// LeadReporter selects the node that collects and distributes the versions in force in its zone.
	LeadReporter Lead = 2
)

// Member is a live node.
type Member struct {
	Name             string
	AvailabilityZone string
}

// View is the set of live nodes, from which the trees are computed. Nodes may have different views for a short time; a
// change may then reach some nodes twice, or only through the digest exchange.
type View struct {
	zoneOf  map[string]string
	members map[string][]string
	zones   []string
	// leads are the first nodes of each zone by rendezvous hashing.
	leads map[string][]string
}

// NewView returns the view of the given members.
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

// Relays returns the relays of a zone. The first one is the head of the zone.
func (v View) Relays(zone string) []string {
	return v.leads[zone][:min(len(v.leads[zone]), RelaysPerZone)]
}

// Leads returns the leads of a zone in a tree; each one replaces those before it if they do not answer.
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

// Peers returns the other members of the node's zone, sorted by name.
func (v View) Peers(name string) []string {
	return slices.DeleteFunc(slices.Clone(v.members[v.zoneOf[name]]), func(n string) bool { return n == name })
}

// OtherMembers returns all other members, sorted by name.
func (v View) OtherMembers(name string) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(v.zoneOf)), func(n string) bool { return n == name })
}

// MemberCount returns the number of members.
func (v View) MemberCount() int { return len(v.zoneOf) }

// ZoneCount returns the number of availability zones.
func (v View) ZoneCount() int { return len(v.zones) }

// Stage is the kind of tree that a message is sent along.
type Stage string

// Stages.
const (
	// StageZones is the tree over the leads of the zones.
	StageZones Stage = "zones"
	// StageMembers is the tree over the members of one zone.
	StageMembers Stage = "members"
)

// Route identifies the tree that a message is sent along.
type Route struct {
	Stage Stage
	// Root is the zone at the root of a StageZones tree, or the node at the root of a StageMembers tree. The latter
	// may be a node of another zone that replaces the zone's leads.
	Root string
	// Zone is the zone of a StageMembers tree.
	Zone string
	// Lead selects the leads of the zones in a StageZones tree.
	Lead Lead
}

// Step is one message to send.
type Step struct {
	To    string
	Route Route
}

// originRoute returns the route of a message that originates at self, and its first receiver: the lead of self's zone.
func (v View) originRoute(self string, lead Lead) (to string, r Route) {
	zone := v.zoneOf[self]
	if leads := v.Leads(zone, lead); len(leads) > 0 {
		to = leads[0]
	}
	return to, Route{Stage: StageZones, Root: zone, Lead: lead}
}

// zoneRoute returns the route over the members of zone with the given root.
func (v View) zoneRoute(root, zone string) Route {
	return Route{Stage: StageMembers, Root: root, Zone: zone}
}

// zoneSteps returns the messages to the leads of the zones below zone in the tree of zones.
func (v View) zoneSteps(zone string, r Route) []Step {
	var steps []Step
	for _, z := range childrenOf(v.treeOrder("zones/", r.Root, v.zones), zone) {
		steps = append(steps, Step{To: v.Leads(z, r.Lead)[0], Route: r})
	}
	return steps
}

// memberSteps returns the messages to the members below name in the tree of a zone. The zone's leads have other
// work, so they are placed last, where they are leaves.
func (v View) memberSteps(name string, r Route) []Step {
	order := v.treeOrder("tree/", r.Root, v.members[r.Zone])
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
	for _, child := range childrenOf(order, name) {
		steps = append(steps, Step{To: child, Route: r})
	}
	return steps
}

// treeOrder returns root followed by the other names, in an order that depends on root, so that different nodes are
// inner nodes of different trees.
func (v View) treeOrder(kind, root string, names []string) []string {
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == root })
	return append([]string{root}, rendezvous.Top(kind+root, others, len(others))...)
}

// childrenOf returns the children of name in the tree that order represents as an array-based heap with Degree children
// per node.
func childrenOf(order []string, name string) []string {
	i := slices.Index(order, name)
	if i < 0 {
		return nil
	}
	first := min(Degree*i+1, len(order))
	return order[first:min(first+Degree, len(order))]
}

// ReplaceReceiver returns the messages that self sends in place of a receiver that did not answer, so that the nodes
// below it get the change without waiting for the digest exchange. A lead is replaced by the zone's next lead, if there
// is one.
func (v View) ReplaceReceiver(self string, failed Step) []Step {
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

// ExchangePartner returns a random node to compare digests with, or "" if there is none. For a relay it is a relay of
// another zone if there is one, so that zones that were disconnected catch up; otherwise it is a member of the same
// zone.
func (v View) ExchangePartner(self string, random *rand.Rand) string {
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

// ReadsLeases reports whether the node reads lease records for its zone. The last relay does, since the head has the
// most other work.
func (v View) ReadsLeases(name string) bool {
	relays := v.Relays(v.zoneOf[name])
	return len(relays) > 0 && relays[len(relays)-1] == name
}

// LeaseRange returns the range of names (greater than after, up to and including until, without upper bound if until is
// "") whose lease records are read in the node's zone. The records are divided among the zones, so that no node reads
// the records of the complete fleet.
func (v View) LeaseRange(self string) (after, until string) {
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
