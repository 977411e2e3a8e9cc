// Package address selects the nodes whose addresses a caller is given, nearest first.
package address

import (
	"cmp"
	"math"
	"slices"

	"trefoilplank.example/pkg/blackboard"
)

// MaxAnswerNodes bounds the nodes in one answer. A caller needs only a few to fail over to, and listing all 380 nodes
// would make the answer large.
const MaxAnswerNodes = 16

// otherZoneNodes is the number of places in a full answer that are reserved for availability zones of which the answer
// has no nearer node, one node each. Otherwise, in a fleet of 380 nodes, all nodes of an answer would be in the caller's
// zone, and a caller that caches the answer could reach no node when that zone fails.
const otherZoneNodes = 4

// Query is the input of SelectNodes.
type Query struct {
	// AvailabilityZone is the caller's zone, or "" if unknown.
	AvailabilityZone string
	// Region is the region of the answering node. It is used when no live node is in the caller's zone.
	Region  string
	Members map[string]blackboard.Member
	// VMs is the platform's VM list by VM name. A node has the name of its VM; nodes on lost or leaving VMs are
	// left out.
	VMs map[string]blackboard.VMState
	// Load returns the number of requests in progress on a node, negative if unknown. It may be nil.
	Load func(node string) float64
	// Random returns a random number in [0,1).
	Random func() float64
}

// Distance classes between caller and node, nearest first.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

// candidate is a node that can be part of the answer, with its sort order.
type candidate struct {
	blackboard.Member
	distance int
	sortKey  float64
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.distance, other.distance), cmp.Compare(c.sortKey, other.sortKey))
}

// SelectNodes returns the nodes that the caller should use. Nodes at the same distance are in random order, weighted
// against load, to spread callers over them. An answer that can't hold all nodes has nodes of several availability
// zones.
func SelectNodes(q Query) []blackboard.Member {
	region := q.Region
	for _, m := range q.Members {
		if m.AvailabilityZone == q.AvailabilityZone && m.AvailabilityZone != "" {
			region = m.Region
		}
	}
	var candidates []candidate
	names := make([]string, 0, len(q.Members))
	for name := range q.Members {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		m := q.Members[name]
		if m.Draining || m.Address == "" || q.VMs[name] == blackboard.VMLost || q.VMs[name] == blackboard.VMLeaving {
			continue
		}
		c := candidate{Member: m, distance: otherRegion, sortKey: q.weightedKey(name)}
		switch {
		case m.AvailabilityZone == q.AvailabilityZone:
			c.distance = sameZone
		case m.Region == region:
			c.distance = sameRegion
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, candidate.compare)
	var answer []blackboard.Member
	for _, c := range spreadOverZones(candidates) {
		answer = append(answer, c.Member)
	}
	return answer
}

// spreadOverZones selects up to MaxAnswerNodes of the sorted candidates: the nearest ones, and one node of each of the
// next zones.
func spreadOverZones(candidates []candidate) []candidate {
	if len(candidates) <= MaxAnswerNodes {
		return candidates
	}
	near, rest := candidates[:MaxAnswerNodes-otherZoneNodes], candidates[MaxAnswerNodes-otherZoneNodes:]
	zonesIncluded := map[string]bool{}
	for _, c := range near {
		zonesIncluded[c.AvailabilityZone] = true
	}
	var newZones, sameZones []candidate
	for _, c := range rest {
		if len(newZones) < otherZoneNodes && !zonesIncluded[c.AvailabilityZone] {
			zonesIncluded[c.AvailabilityZone] = true
			newZones = append(newZones, c)
		} else if len(sameZones) < otherZoneNodes {
			sameZones = append(sameZones, c)
		}
	}
	farther := append(newZones, sameZones[:otherZoneNodes-len(newZones)]...)
	slices.SortFunc(farther, candidate.compare)
	return append(slices.Clone(near), farther...)
}

// weightedKey draws a random sort key such that a node sorts first with a probability proportional to its weight,
// which is 1/(1+load).
func (q Query) weightedKey(name string) float64 {
	weight := 1.0
	if q.Load != nil {
		if load := q.Load(name); load > 0 {
			weight = 1 / (1 + load)
		}
	}
	return -math.Log(1-q.Random()) / weight
}
