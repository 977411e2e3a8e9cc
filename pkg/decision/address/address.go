// Package address decides which nodes a caller is told to use, nearest first.
package address

import (
	"cmp"
	"math"
	"slices"

	"trefoilplank.example/pkg/blackboard"
)

// MaxAnswer bounds the addresses of one answer. A caller needs a few to go on after a loss, and 380 nodes would
// make the answer large.
const MaxAnswer = 16

// otherZones is the part of a full answer that is kept for availability zones which the nearer nodes leave out, one node
// each. Otherwise all nodes of an answer are in the caller's zone at 380 nodes, and a caller that keeps its answer while
// that zone fails has nobody to ask.
const otherZones = 4

// Question is what an answer is decided on.
type Question struct {
	// AvailabilityZone is the caller's, or "" when it is not known.
	AvailabilityZone string
	// Region is used when no live node is in the zone; it is the answering node's.
	Region  string
	Members map[string]blackboard.Member
	// VMs is the platform's list by VM name; a node on a lost or leaving VM is left out. Nodes are named like
	// their VM.
	VMs map[string]blackboard.VMState
	// Load returns the requests in progress on a node, or a negative number when it is not known.
	Load func(node string) float64
	// Random returns a number in [0,1).
	Random func() float64
}

// distance classes, nearest first.
const (
	sameZone = iota
	sameRegion
	elsewhere
)

// candidate is a node that may be in an answer.
type candidate struct {
	blackboard.Member
	distance int
	key      float64
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.distance, other.distance), cmp.Compare(c.key, other.key))
}

// Decide returns the nodes to use. Nodes at the same distance are in random order, weighted against load, so that
// callers spread over them. An answer that can't hold all nodes names nodes of several availability zones.
func Decide(q Question) []blackboard.Member {
	region := q.Region
	for _, m := range q.Members {
		if m.AvailabilityZone == q.AvailabilityZone && m.AvailabilityZone != "" {
			region = m.Region
		}
	}
	var all []candidate
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
		c := candidate{Member: m, distance: elsewhere, key: q.weightedKey(name)}
		switch {
		case m.AvailabilityZone == q.AvailabilityZone:
			c.distance = sameZone
		case m.Region == region:
			c.distance = sameRegion
		}
		all = append(all, c)
	}
	slices.SortFunc(all, candidate.compare)
	var answer []blackboard.Member
	for _, c := range spread(all) {
		answer = append(answer, c.Member)
	}
	return answer
}

// spread returns the nodes of an answer out of the sorted candidates: the nearest ones, and one node of each of the next
// zones.
func spread(all []candidate) []candidate {
	if len(all) <= MaxAnswer {
		return all
	}
	near, rest := all[:MaxAnswer-otherZones], all[MaxAnswer-otherZones:]
	named := map[string]bool{}
	for _, c := range near {
		named[c.AvailabilityZone] = true
	}
	var first, second []candidate
	for _, c := range rest {
		if len(first) < otherZones && !named[c.AvailabilityZone] {
			named[c.AvailabilityZone] = true
			first = append(first, c)
		} else if len(second) < otherZones {
			second = append(second, c)
		}
	}
	others := append(first, second[:otherZones-len(first)]...)
	slices.SortFunc(others, candidate.compare)
	return append(slices.Clone(near), others...)
}

// weightedKey draws a sort key so that a node comes first with a probability proportional to its weight, which
// falls with its load.
func (q Question) weightedKey(name string) float64 {
	weight := 1.0
	if q.Load != nil {
		if load := q.Load(name); load > 0 {
			weight = 1 / (1 + load)
		}
	}
	return -math.Log(1-q.Random()) / weight
}
