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
}

// NewView returns a view of members.
func NewView(members []Member) View {
	v := View{zoneOf: map[string]string{}, members: map[string][]string{}}
	for _, m := range members {
		if _, ok := v.zoneOf[m.Name]; !ok {
			v.zoneOf[m.Name] = m.AvailabilityZone
			v.members[m.AvailabilityZone] = append(v.members[m.AvailabilityZone], m.Name)
		}
	}
	for _, names := range v.members {
		slices.Sort(names)
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
	return rendezvous.Top("relay/"+zone, v.members[zone], RelaysPerZone)
}

// RelayRank returns 0 for the head of the node's zone, 1 for its second relay and -1 for other nodes.
func (v View) RelayRank(name string) int {
	return slices.Index(v.Relays(v.zoneOf[name]), name)
}

// Peers returns the other members of the node's zone, by name.
func (v View) Peers(name string) []string {
	return slices.DeleteFunc(slices.Clone(v.members[v.zoneOf[name]]), func(n string) bool { return n == name })
}

// Stage says which tree a change is on.
type Stage string

// Stages.
const (
	// StageZones is the tree over the heads of the zones.
	StageZones Stage = "zones"
	// StageMembers is the tree over the members of one zone.
	StageMembers Stage = "members"
)

// Route is the tree that a change travels on.
type Route struct {
	Stage Stage
	// Root is the zone that a StageZones tree starts in, or the node that a StageMembers tree starts at. The
	// root of a StageMembers tree may be a node of another zone that stands in for the zone's relays.
	Root string
	// Zone is the zone of a StageMembers tree.
	Zone string
}

// Step is one message to send.
type Step struct {
	To    string
	Route Route
}

// Origin returns the first message of a change that self makes known: to the head of its zone, which passes it
// on. When self is the head, the result is what the head sends.
func (v View) Origin(self string) []Step {
	zone := v.zoneOf[self]
	route := Route{Stage: StageZones, Root: zone}
	relays := v.Relays(zone)
	if len(relays) == 0 || relays[0] == self {
		return v.Forward(self, route)
	}
	return []Step{{To: relays[0], Route: route}}
}

// Zone returns the messages by which a relay that read a change from the store starts its zone's tree. All zones
// have relays of their own that watch the store.
func (v View) Zone(self string) []Step {
	return v.Forward(self, Route{Stage: StageMembers, Root: self, Zone: v.zoneOf[self]})
}

// Forward returns the messages that self sends when it receives a change that is new to it on a route.
func (v View) Forward(self string, r Route) []Step {
	if r.Stage == StageZones {
		return append(v.zoneSteps(v.zoneOf[self], r), v.Zone(self)...)
	}
	return v.memberSteps(self, r)
}

// zoneSteps returns the messages to the heads of the zones below zone in the tree of zones.
func (v View) zoneSteps(zone string, r Route) []Step {
	var steps []Step
	for _, z := range children(v.order("zones/", r.Root, v.zones), zone) {
		steps = append(steps, Step{To: v.Relays(z)[0], Route: r})
	}
	return steps
}

// memberSteps returns the messages to the members below name in the tree of a zone.
func (v View) memberSteps(name string, r Route) []Step {
	var steps []Step
	for _, child := range children(v.order("tree/", r.Root, v.members[r.Zone]), name) {
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
	relays := v.Relays(zone)
	if next := slices.Index(relays, failed.To) + 1; next > 0 && next < len(relays) && relays[next] != self {
		return []Step{{To: relays[next], Route: r}}
	}
	stand := Route{Stage: StageMembers, Root: self, Zone: zone}
	return append(v.zoneSteps(zone, r), v.memberSteps(self, stand)...)
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

// Slice returns the range of names (above after, up to until; until "" is open) whose lease records the head of a
// zone reads. The heads share the records, so that no node reads those of the whole fleet.
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
