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

// Decide returns the nodes to use. Nodes at the same distance are in random order, weighted against load, so that
// callers spread over them.
func Decide(q Question) []blackboard.Member {
	region := q.Region
	for _, m := range q.Members {
		if m.AvailabilityZone == q.AvailabilityZone && m.AvailabilityZone != "" {
			region = m.Region
		}
	}
	type candidate struct {
		blackboard.Member
		distance int
		key      float64
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
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.key, b.key))
	})
	var answer []blackboard.Member
	for _, c := range all[:min(len(all), MaxAnswer)] {
		answer = append(answer, c.Member)
	}
	return answer
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
