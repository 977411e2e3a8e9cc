package admission

import (
	"math"
	"sort"
	"time"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// Owner returns the node that decides admission to the upstream, given the members.
func Owner(upstream string, m blackboard.Members) string {
	return OwnerAmong(upstream, PossibleOwners(m), m.Self)
}

// PossibleOwners returns, sorted, the live members that are not draining, or all live members if every one is.
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

// OwnerAmong returns the upstream's owner among nodes by rendezvous hashing, or self if nodes is empty.
func OwnerAmong(upstream string, nodes []string, self string) string {
	if len(nodes) == 0 {
		return self
	}
	return rendezvous.Owner("admission/"+upstream, nodes)
}

// MaxRunsWithoutOwner returns how many online requests a node may run on an upstream at once without asking its owner:
// an equal share of the limit, at least one.
func MaxRunsWithoutOwner(limit, liveNodes int) int {
	return max(1, int(math.Ceil(float64(limit)/float64(max(1, liveNodes)))))
}

// firstTokenFactor, times the mean first-token time, is reserved after the latest start, so that slower than average
// first tokens still meet the objective. With 1, about 1 % of accepted requests missed it by a few milliseconds.
const firstTokenFactor = 2

// LatestStart returns the latest start that meets both the deadline, given the expected run time, and the first-token
// objective counted from arrival, given the expected first-token time. An objective of 0 means none; a zero result
// means no bound. The result is never before now, since a request may always try an idle upstream before its deadline.
func LatestStart(now, arrived, deadline time.Time, runTime, objective, firstToken time.Duration) time.Time {
	var latest time.Time
	if !deadline.IsZero() {
		latest = deadline.Add(-runTime)
	}
	if objective > 0 {
		if byObjective := arrived.Add(objective - firstTokenFactor*firstToken); latest.IsZero() || byObjective.Before(latest) {
			latest = byObjective
		}
	}
	if !latest.IsZero() && latest.Before(now) {
		latest = now
	}
	return latest
}
