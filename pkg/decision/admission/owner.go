package admission

import (
	"math"
	"sort"
	"time"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// Owner returns the node that owns admission of the upstream under the given members.
func Owner(upstream string, m blackboard.Members) string {
	return OwnerAmong(upstream, PossibleOwners(m), m.Self)
}

// PossibleOwners returns, in order, the live members that do not drain, or all when every member drains.
func PossibleOwners(m blackboard.Members) []string {
	nodes := make([]string, 0, len(m.Live))
	for name, member := range m.Live {
		if !member.Draining {
			nodes = append(nodes, name)
		}
	}
	if len(nodes) == 0 {
		for name := range m.Live {
			nodes = append(nodes, name)
		}
	}
	sort.Strings(nodes)
	return nodes
}

// OwnerAmong returns the rendezvous choice among nodes, or self while no member is known.
func OwnerAmong(upstream string, nodes []string, self string) string {
	if len(nodes) == 0 {
		return self
	}
	return rendezvous.Owner("admission/"+upstream, nodes)
}

// LocalBound returns how many online requests a node may run on an upstream at one time without its owner: the
// node's equal part of the limit, at least one.
func LocalBound(limit, liveNodes int) int {
	return max(1, int(math.Ceil(float64(limit)/float64(max(1, liveNodes)))))
}

// firstTokenMargin times the mean first-token time is kept for a request that starts at the last moment, so that
// its tail still meets the objective; with 1, about 1 % of accepted requests missed it by a few milliseconds.
const firstTokenMargin = 2

// StartBy returns the latest time at which a start meets both the deadline, given the expected run time, and
// the first-token objective of a request that arrived at the given time, given the expected first-token time.
// An objective of 0 is none. It is never before now, since an idle upstream is worth a try before the deadline.
func StartBy(now, arrived, deadline time.Time, run, objective, firstToken time.Duration) time.Time {
	var by time.Time
	if !deadline.IsZero() {
		by = deadline.Add(-run)
	}
	if objective > 0 {
		if o := arrived.Add(objective - firstTokenMargin*firstToken); by.IsZero() || o.Before(by) {
			by = o
		}
	}
	if !by.IsZero() && by.Before(now) {
		by = now
	}
	return by
}
