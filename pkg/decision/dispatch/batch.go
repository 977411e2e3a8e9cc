package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// ChooseForBatch chooses an upstream for a batch run: one with a granted slot or, while there are no recent totals, one
// on which enough slots stay free for other nodes. It returns false if there is none. version is the software version at
// which the item has begun, or nil.
func (s *State) ChooseForBatch(service string, version *string, now time.Time, rng *rand.Rand) (Upstream, bool) {
	s.updateOwnWeights(now)
	allowed := filter{version: version, sends: true}
	if now.Sub(s.totalsAt) <= maxTotalsAge {
		if u, ok := s.useGrant(s.granted.Batch, service, allowed, now, rng); ok {
			return u.Upstream, true
		}
		return Upstream{}, false
	}
	candidates := s.candidates(s.serviceState(service), allowed, now)
	if len(candidates) == 0 {
		return Upstream{}, false
	}
	u, free := s.drawByFreeSlots(candidates, now, rng, func(u *upstream) int {
		l := s.load(u, now)
		return u.Slots - l.Online - l.Batch
	})
	return u.Upstream, free > u.Slots/blindReserveDivisor
}

// blindReserveDivisor determines how many slots of an upstream batch runs of a node without totals leave free: its slots
// divided by blindReserveDivisor. Other nodes may use these without this node's knowledge.
const blindReserveDivisor = 2

// RunsToPreempt returns how many batch runs this node should preempt on each upstream that has more runs than slots.
// The excess is divided among the nodes in proportion to their preemptible batch runs there; fractions are rounded at
// random.
func (s *State) RunsToPreempt(now time.Time, rng *rand.Rand) map[string]int {
	if now.Sub(s.totalsAt) > maxTotalsAge {
		return nil
	}
	var withBatch []string
	for id, u := range s.byID {
		if u.own.Batch > 0 {
			withBatch = append(withBatch, id)
		}
	}
	slices.Sort(withBatch)
	var runsToStop map[string]int
	for _, id := range withBatch {
		u := s.byID[id]
		l := s.load(u, now)
		excess := l.Online + l.Batch - u.Slots
		ownPreemptible, allPreemptible := u.own.Batch-u.own.Firm, l.Batch-l.Firm
		if excess <= 0 || ownPreemptible <= 0 || allPreemptible <= 0 {
			continue
		}
		ownPart := float64(min(excess, allPreemptible)) * float64(ownPreemptible) / float64(allPreemptible)
		n := int(ownPart)
		if rng.Float64() < ownPart-float64(n) {
			n++
		}
		if n > 0 {
			if runsToStop == nil {
				runsToStop = map[string]int{}
			}
			runsToStop[id] = min(n, ownPreemptible)
		}
	}
	return runsToStop
}
