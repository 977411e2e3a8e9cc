package dispatch

import (
	"math"
	"slices"
	"time"
)

// Want is what a node asks for a service: slots for batch items.
type Want struct {
	// Items could start now; Urgent of them would miss their time if they waited, and also get the slots that are kept
	// free for online requests.
	Items, Urgent int
}

// reserveSpread times the square root of the online runs is kept free of batch runs: about the change of a Poisson load
// within two exchanges.
const reserveSpread = 1.0

// Grants shares the free slots of a service among the nodes that want them. totals are the runs of all nodes and given the
// slots granted but not yet reported as runs; all is what all nodes want together. It returns the slots on each upstream
// that one node may use for batch runs.
func (s *State) Grants(service string, want, all Want, totals map[string]Load, given map[string]int, now time.Time) map[string]int {
	if want.Items <= 0 {
		return nil
	}
	type place struct {
		id   string
		free int
	}
	var places []place
	free, online := 0, 0
	for _, u := range s.candidates(s.pool(service), nil, now) {
		l := totals[u.ID]
		online += l.Online
		if n := u.Slots - l.Online - l.Batch - given[u.ID]; n > 0 {
			places = append(places, place{u.ID, n})
			free += n
		}
	}
	reserve := int(math.Ceil(reserveSpread*math.Sqrt(float64(online)))) + 1
	n := share(max(0, free-reserve), want.Items, all.Items)
	n = max(n, share(free, want.Urgent, all.Urgent))
	grants := map[string]int{}
	for ; n > 0; n-- {
		// The emptiest upstream next, so that arrivals find free slots on all of them.
		best := slices.MaxFunc(places, func(a, b place) int { return a.free - b.free })
		if best.free <= 0 {
			break
		}
		grants[best.id]++
		for i := range places {
			if places[i].id == best.id {
				places[i].free--
			}
		}
	}
	return grants
}

// share returns a node's part of n slots by its part of all wants, rounded up so that the last slot is used.
func share(n, mine, all int) int {
	if n <= 0 || mine <= 0 {
		return 0
	}
	return min(mine, (n*mine+max(all, mine)-1)/max(all, mine))
}

// SetGrants replaces the slots that this node may use for batch runs.
func (s *State) SetGrants(grants map[string]int) { s.grants = grants }

// takeGrant uses one granted slot of a service; false when none is left.
func (s *State) takeGrant(service string) (Upstream, bool) {
	var best *upstream
	for id, n := range s.grants {
		u := s.byID[id]
		if n > 0 && u != nil && !u.Draining && u.Service == service && (best == nil || n > s.grants[best.ID]) {
			best = u
		}
	}
	if best == nil {
		return Upstream{}, false
	}
	s.grants[best.ID]--
	return best.Upstream, true
}
