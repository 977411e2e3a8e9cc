package dispatch

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Want is the demand of a node for slots of a service.
type Want struct {
	// Items is the number of batch items that could start now. Urgent of them would miss their deadline if they
	// waited, and may use the slots that are reserved for online requests.
	Items, Urgent int
	// Rate is the number of online requests that arrive at the node per second.
	Rate float64
	// Waiting is the number of requests that wait for the hub's answer.
	Waiting int
	// Queue is how many requests may wait per slot of an engine and still be on time.
	Queue float64
	// QueueFirst is the part of Queue that the time to the first event on a usual upstream takes away. With it the hub knows how many
	// may wait on a slower or faster one.
	QueueFirst float64
	// Zone is the availability zone of the node. ZoneRates are the rates of a sum of demands by zone; it is not sent.
	Zone      string
	ZoneRates map[string]float64
}

const (
	// reserveFactor, times the square root of the number of online runs, is the number of slots that batch runs leave free
	// beside those granted for arrivals. It is about the change of a Poisson load between two exchanges.
	reserveFactor = 1.0
	// arrivalWindow is the period for whose arrivals a node is granted slots: one exchange including its answer.
	arrivalWindow = 60 * time.Millisecond
)

// Grant is what the hub grants one node until its next report: slots that no other node uses meanwhile, by upstream ID.
type Grant struct {
	// Online slots are for arriving requests, Batch slots for batch runs. Queue places are for arriving requests that
	// find no free slot, as many as can be served on time.
	Online, Batch, Queue map[string]int
	// Leaving is the part of the node's requests that should leave its zone, by service; those whose requests should stay while there
	// is room are left out.
	Leaving map[string]float64
}

// Slots returns the sum of all slots and queue places of a grant by upstream ID.
func (g Grant) Slots() map[string]int {
	all := map[string]int{}
	for _, slots := range []map[string]int{g.Online, g.Batch, g.Queue} {
		for id, n := range slots {
			all[id] += n
		}
	}
	return all
}

// Grants returns the part of a service's free slots that a node with demand want is granted. demand is that of all nodes
// together, totals their runs, and outstanding the slots that are granted but not yet reported as runs. warm reports
// whether the node has a connection to an upstream.
func (s *State) Grants(service string, want, demand Want, totals map[string]Load, outstanding map[string]int, warm func(upstream string) bool, now time.Time) Grant {
	weight := func(u *upstream) float64 { return s.weight(u, now) / u.grantSlowness() }
	// limited holds the slots of limited upstreams, and free those of all others.
	svc := s.serviceState(service)
	zone := &homeZone{name: want.Zone, leaving: s.leavingPart(svc, want, demand, totals, now), owed: svc.owed}
	free := slotPool{entries: make([]poolEntry, 0, len(svc.upstreams)), warm: warm, weight: weight, zone: zone}
	limited := slotPool{warm: warm, weight: weight, zone: zone}
	online := 0
	beginning, all := s.grantCandidates(svc, now)
	for _, u := range beginning {
		online += totals[u.ID].Online
		s.addFree(&free, &limited, u, totals[u.ID], outstanding[u.ID], now)
	}
	// Reserve slots for the arrivals at other nodes until their next reports.
	reserve := int(math.Ceil(reserveFactor*math.Sqrt(float64(online)) + max(0, demand.Rate-want.Rate)*arrivalWindow.Seconds()))
	var g Grant
	if zone.leaving > 0 {
		g.Leaving = map[string]float64{service: zone.leaving}
	}
	if arrivals := want.Waiting + int(math.Round(want.Rate*arrivalWindow.Seconds())); arrivals > 0 {
		first, second := &free, &limited
		if free.total < arrivals+reserve {
			first, second = &limited, &free
		}
		g.Online = first.allocate(arrivals)
		g.Online = addSlots(g.Online, second.allocate(arrivals-sumSlots(g.Online)))
		if missing := arrivals - sumSlots(g.Online); missing > 0 {
			places := s.queuePlaces(service, want, totals, outstanding, now)
			places.warm, places.weight, places.zone = warm, weight, zone
			g.Queue = places.allocate(missing)
			// What is still missing would be refused while a limit is left.
			outliers := slotPool{warm: warm, weight: weight, zone: zone}
			for _, u := range s.limitedOutliers(svc, missing-sumSlots(g.Queue), now) {
				s.addFree(&free, &outliers, u, totals[u.ID], outstanding[u.ID], now)
			}
			g.Online = addSlots(g.Online, outliers.allocate(missing-sumSlots(g.Queue)))
		}
	}
	if want.Items <= 0 {
		return g
	}
	// Streams may not begin yet on other upstreams, which leaves them to batch runs.
	if !slices.Equal(all, beginning) {
		for _, u := range all {
			if !slices.Contains(beginning, u) {
				s.addFree(&free, &limited, u, totals[u.ID], outstanding[u.ID], now)
			}
		}
	}
	// A limit counts requests and not their length, so batch runs, which are long, use what online requests leave of it first.
	g.Batch = limited.allocate(proportionalShare(int(float64(limited.total)*s.batchPart(svc, demand.Rate)), want.Items, demand.Items))
	want.Items -= sumSlots(g.Batch)
	want.Urgent = min(want.Urgent, want.Items)
	batchSlots := proportionalShare(max(0, free.total-reserve), want.Items, demand.Items)
	g.Batch = addSlots(g.Batch, free.allocate(max(batchSlots, proportionalShare(free.total, want.Urgent, demand.Urgent))))
	return g
}

// candidateLifetime is how long the hub uses the same candidates for its grants.
const candidateLifetime = 5 * time.Millisecond

// grantCandidates returns the upstreams of a service on which streams may begin, and those for all other runs. A hub answers
// thousands of reports a second, so they are kept for candidateLifetime.
func (s *State) grantCandidates(svc *serviceState, now time.Time) (beginning, all []*upstream) {
	if age := now.Sub(svc.candidatesAt); svc.candidatesAt.IsZero() || age < 0 || age >= candidateLifetime {
		svc.candidatesAt = now
		svc.beginning, svc.all = s.candidates(svc, filter{begins: true}, now), s.candidates(svc, filter{}, now)
	}
	return svc.beginning, svc.all
}

// limitedOutliers returns the upstreams of a service that name a limit and are no candidates for grants because they are outliers. It
// returns none if no slots are missing.
func (s *State) limitedOutliers(svc *serviceState, missing int, now time.Time) (outliers []*upstream) {
	if missing <= 0 {
		return nil
	}
	beginning, _ := s.grantCandidates(svc, now)
	allowed := filter{begins: true}
	for _, u := range svc.upstreams {
		if u.limited() && allowed.allows(u) && !allowed.postpones(u, now) && !u.ejected(now) && !s.silent(u, now) && s.weight(u, now) < outlierWeight &&
			!slices.Contains(beginning, u) {
			outliers = append(outliers, u)
		}
	}
	return outliers
}

// batchPart returns the part of the limits of a service's upstreams that its other upstreams leave to batch runs: online
// requests need the rest.
func (s *State) batchPart(svc *serviceState, onlineRate float64) float64 {
	slots, limits := 0, 0.0
	for _, u := range svc.upstreams {
		switch {
		case u.Draining || u.announced.leaving:
		case u.limited():
			limits += u.announced.limit
		default:
			slots += u.Slots
		}
	}
	needed := onlineRate - unlimitedUse*float64(slots)/max(svc.runDuration, time.Millisecond).Seconds()
	return 1 - min(1, max(0, needed)/max(limits, minLimit))
}

// unlimitedUse is the part of the slots of unlimited upstreams that online requests use before they need limited ones.
const unlimitedUse = 0.8

// addSlots adds the slots of b to a.
func addSlots(a, b map[string]int) map[string]int {
	if a == nil {
		return b
	}
	for id, n := range b {
		a[id] += n
	}
	return a
}

// queuePlaces returns the places in the engines' queues from which a request gets a slot in time. Batch runs reduce them
// only if they can't be preempted. Places beyond these are not granted: requests there got no answer for long, were sent
// again and filled further queues.
func (s *State) queuePlaces(service string, want Want, totals map[string]Load, outstanding map[string]int, now time.Time) slotPool {
	beginning, _ := s.grantCandidates(s.serviceState(service), now)
	places := slotPool{}
	for _, u := range beginning {
		if u.limited() {
			continue // Its limit is used by the requests that get its free slots.
		}
		l := totals[u.ID]
		slots := u.Slots - l.Firm
		perUpstream := min(maxQueuedPerUpstream, int(math.Round(want.queueAt(u.grantSlowness())*float64(slots))))
		if n := slots + perUpstream - l.Online - outstanding[u.ID]; n > 0 && perUpstream > 0 {
			places.add(u, min(n, perUpstream))
		}
	}
	return places
}

// sumSlots returns the number of slots on all upstreams.
func sumSlots(slots map[string]int) (n int) {
	for _, k := range slots {
		n += k
	}
	return n
}

// slotPool holds the free slots, or queue places, of a service's upstreams and how to choose among them.
type slotPool struct {
	entries []poolEntry
	total   int
	// rated is the number of entries whose warm and weight are set.
	rated int
	// warm reports whether the node has a connection to the upstream.
	warm func(upstream string) bool
	// weight returns the fraction of normal work that an upstream should get.
	weight func(u *upstream) float64
	// zone is that of the node.
	zone *homeZone
}

// poolEntry holds the free slots of one upstream.
type poolEntry struct {
	upstream *upstream
	free     int
	// bonus is warmConnectionBonus if the node has a connection to the upstream, else 0.
	bonus, weight float64
	// home is set if it is in the node's zone.
	home bool
}

// add adds n slots of an upstream that is not in the pool.
func (p *slotPool) add(u *upstream, n int) {
	p.entries = append(p.entries, poolEntry{upstream: u, free: n})
	p.total += n
}

// rate sets the bonus and the weight of the entries that were added since the last call.
func (p *slotPool) rate() {
	for ; p.rated < len(p.entries); p.rated++ {
		e := &p.entries[p.rated]
		e.home = p.zone.name != "" && e.upstream.AvailabilityZone == p.zone.name
		if e.weight = p.weight(e.upstream); p.warm(e.upstream.ID) {
			e.bonus = warmConnectionBonus
		}
	}
}

// addFree adds the free slots of an upstream, less those that are outstanding, to one of two pools: as far as its limit
// allows if it names one.
func (s *State) addFree(free, limited *slotPool, u *upstream, l Load, outstanding int, now time.Time) {
	p, n := free, u.Slots-l.Online-l.Batch
	if u.limited() {
		p, n = limited, min(n, s.fleetTokens(u, now))
	}
	if n -= outstanding; n > 0 {
		p.add(u, n)
	}
}

// warmConnectionBonus is the number of free slots added for an upstream with an open connection when upstreams are
// compared, since a new connection costs a round trip and a handshake. A larger bonus overloads the upstreams in use.
const warmConnectionBonus = 1

// allocate removes up to n slots and returns them by upstream ID: those that should leave the node's zone from other ones, the others
// from the node's own, and each from the upstream with the most free ones there. This leaves free slots on all upstreams for later
// arrivals. Where one part has too few free slots, the other has the rest.
func (p *slotPool) allocate(n int) map[string]int {
	if n <= 0 || p.total == 0 {
		return nil
	}
	p.rate()
	allocated := map[string]int{}
	for ; n > 0 && p.total > 0; n-- {
		home := !p.zone.nextLeaves()
		var best *poolEntry
		most := 0.0
		for i := range p.entries {
			e := &p.entries[i]
			if e.free <= 0 {
				continue
			}
			left := (float64(e.free) + e.bonus) * e.weight
			preferred := e.home == home
			if best != nil && preferred != (best.home == home) {
				if preferred {
					best, most = e, left
				}
				continue
			}
			if best == nil || left > most || left == most && e.upstream.ID < best.upstream.ID {
				best, most = e, left
			}
		}
		best.free--
		p.total--
		allocated[best.upstream.ID]++
	}
	return allocated
}

// proportionalShare returns a node's part of n slots, in proportion to its part of the demand of all nodes. It is rounded
// up so that the last slot is used, and at most ownDemand.
func proportionalShare(n, ownDemand, totalDemand int) int {
	if n <= 0 || ownDemand <= 0 {
		return 0
	}
	return min(ownDemand, (n*ownDemand+max(totalDemand, ownDemand)-1)/max(totalDemand, ownDemand))
}

// SetGrants replaces the slots granted to this node.
func (s *State) SetGrants(g Grant) {
	s.granted = Grant{Online: maps.Clone(g.Online), Batch: maps.Clone(g.Batch), Queue: maps.Clone(g.Queue), Leaving: g.Leaving}
	if s.granted.Online == nil {
		s.granted.Online = map[string]int{}
	}
}

// useGrant uses one granted slot of a service, drawn among those in the node's own zone or, as far as its requests should leave it,
// those elsewhere, and returns its upstream. It returns false if there is none. A slot of a silent upstream is used only if none of the service is heard.
func (s *State) useGrant(slots map[string]int, service string, allowed filter, now time.Time, rng *rand.Rand) (*upstream, bool) {
	var best *upstream
	equal := 0
	home := s.staysHome(service, now, rng)
	allSilent := sync.OnceValue(func() bool {
		return !slices.ContainsFunc(s.candidates(s.serviceState(service), allowed, now), func(u *upstream) bool { return !s.silent(u, now) })
	})
	for _, id := range slices.Sorted(maps.Keys(slots)) {
		u := s.byID[id]
		if slots[id] <= 0 || u == nil || !allowed.allows(u) || u.Service != service || now.Before(u.ejectedUntil) || allowed.postpones(u, now) ||
			!allowed.outliers && s.weight(u, now) < outlierWeight || !s.hubLimits(now) && !s.mayTake(u, now) || s.silent(u, now) && !allSilent() {
			continue
		}
		preferred := s.isHome(u) == home
		switch {
		case best == nil || preferred && s.isHome(best) != home:
			best, equal = u, 1
		case preferred == (s.isHome(best) == home):
			if equal++; rng.IntN(equal) == 0 {
				best = u
			}
		}
	}
	if best == nil {
		return nil, false
	}
	slots[best.ID]--
	return best, true
}

// keepFreedSlot adds the slot of an ended run to the node's grant until the next exchange, since no other node knows
// that it is free.
func (s *State) keepFreedSlot(u *upstream, now time.Time) {
	if s.granted.Online == nil || now.Sub(s.totalsAt) > maxTotalsAge || u.limited() {
		return
	}
	if l := s.load(u, now); l.Online+l.Batch+s.granted.Online[u.ID] < u.Slots {
		s.granted.Online[u.ID]++
	}
}

// UseFreedSlot uses the slot that a stopped batch run freed on an upstream.
func (s *State) UseFreedSlot(id string) {
	if s.granted.Online[id] > 0 {
		s.granted.Online[id]--
	}
}
