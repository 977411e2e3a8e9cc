// Package dispatch decides to which upstream a forwarded request is sent, which batch runs are preempted for it, and when
// it is refused.
//
// The state holds, for each upstream, the runs of this node and the totals of all nodes as of the last exchange. The
// load of an upstream is the total, minus what this node had reported, plus what it runs now. So the node's own
// decisions count immediately and those of other nodes after at most one exchange.
package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilplank.example/pkg/decision/loadreport"
	"trefoilplank.example/pkg/decision/outlier"
	"trefoilplank.example/pkg/decision/upstreamspeed"
	"trefoilplank.example/pkg/decision/zonespill"
)

const (
	// maxTotalsAge is how long exchanged totals are used; it spans ten exchanges of 100 ms.
	maxTotalsAge = time.Second
	// maxObservedAge is how long the load that an upstream reported with an answer is used while there are no totals:
	// about half of a typical run of 0.7 s.
	maxObservedAge = 400 * time.Millisecond
	// defaultRunDuration and defaultFirstEvent are the assumed duration of a run and time to its first event until
	// runs have been observed.
	defaultRunDuration, defaultFirstEvent = 500 * time.Millisecond, 80 * time.Millisecond
	// smoothingFactor is the weight of a new duration in the moving average, which covers about the last 20 runs.
	smoothingFactor = 0.05
	// objectiveMargin is the time of an objective that is reserved for the network and for errors of the estimate.
	objectiveMargin = 40 * time.Millisecond
	// maxQueuedPerUpstream bounds the requests that wait at an engine. Further requests are refused, even those that may
	// be answered late, since engines queue about 24 requests and refuse the rest.
	maxQueuedPerUpstream = 16
	// minEjection is the duration of the first ejection of an upstream. It doubles with each further failure up to
	// maxEjection; a replica that crashed is back after some seconds.
	minEjection, maxEjection = 400 * time.Millisecond, 5 * time.Second
	// failuresToEject is how many answers in a row must fail before an upstream that accepts connections is ejected.
	failuresToEject = 3
	// WarmConnectionTime is how long after a run the connection to its upstream is probably still open.
	WarmConnectionTime = 6 * time.Second
	// minFreeWithoutAsking is the least number of free slots with which an upstream is used without asking the hub. With
	// fewer, other nodes probably use them at the same time.
	minFreeWithoutAsking = 3
	// maxTotalsAgeToAsk is the age of the totals up to which the hub is asked. Older totals mean that it does not answer
	// in time.
	maxTotalsAgeToAsk = 250 * time.Millisecond
	// freeSlotsExponent is the power of its free slots that an upstream's probability is proportional to. The one with
	// the most free slots is not always chosen, since all nodes see the same totals and would send all arrivals between
	// two exchanges there.
	freeSlotsExponent = 1
)

// Upstream is an upstream with the properties that it registered.
type Upstream struct {
	// ID is new at each start of the upstream, or stays the same; Incarnation then distinguishes the starts.
	ID               string
	Incarnation      int64
	Address          string
	Service          string
	AvailabilityZone string
	Slots            int
	Draining         bool
	// SoftwareVersion is the version of the upstream's software. What two versions generate does not fit together.
	SoftwareVersion string
	// StreamsFrom is when resumable streams may begin on the upstream: before, other nodes may not know yet that its
	// software version serves. Zero if they may begin at once.
	StreamsFrom time.Time
}

// Load holds the numbers of runs on an upstream.
type Load struct {
	Online, Batch int
	// Firm is how many of the batch runs can't be preempted now, since their items would miss their deadline.
	Firm int
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Online: l.Online + o.Online, Batch: l.Batch + o.Batch, Firm: l.Firm + o.Firm}
}

// Minus returns the difference of two loads, with negative counts set to zero.
func (l Load) Minus(o Load) Load {
	return Load{Online: max(0, l.Online-o.Online), Batch: max(0, l.Batch-o.Batch), Firm: max(0, l.Firm-o.Firm)}
}

// upstream is an upstream with its load and failures as this node knows them.
type upstream struct {
	Upstream
	// own holds the current runs of this node, total those of all nodes as of the last exchange, and ownReported the part
	// of total that this node reported.
	own, ownReported, total Load
	// slowness is the time of work on the upstream as a multiple of the usual one, by the hub's answers, and hubSlowness the same by
	// the evidence of all nodes, if this node is the hub; 0 if it is the usual one.
	slowness, hubSlowness float64
	// report is the load that the upstream last reported with an answer to this node.
	report loadreport.Report

	// failures counts failures since the last answer.
	failures     int
	ejectedUntil time.Time
	// probing is set while a run tests an upstream that was ejected. Until it ends, no other run is sent there.
	probing bool
	// announced is what the upstream says of itself.
	announced announced
	// awaitedSince is since when data of runs of this node is awaited, or zero.
	awaitedSince time.Time
}

// serviceState holds the upstreams of one service, and the average duration of their runs and time to the first event.
type serviceState struct {
	upstreams   []*upstream
	runDuration time.Duration
	firstEvent  time.Duration
	// beginning and all are the candidates for the hub's grants at candidatesAt; see grantCandidates.
	beginning, all []*upstream
	candidatesAt   time.Time
	// spill decides how much leaves each zone, if this node is the hub, and leaving is its decision at leavingAt. owed is the part of a
	// granted slot that should have left its zone; see homeZone.
	spill     zonespill.Spill
	leaving   map[string]float64
	leavingAt time.Time
	owed      map[string]float64
}

// State holds the load of all upstreams as one node knows it. It is not safe for concurrent use.
type State struct {
	// AvailabilityZone is the zone of this node.
	AvailabilityZone string
	byID             map[string]*upstream
	services         map[string]*serviceState
	totalsAt         time.Time
	// granted holds the slots that the hub granted to this node only, less those used since.
	granted Grant
	// ownEvidence holds observations of this node's runs; hubEvidence those of all nodes, if this node is the hub.
	ownEvidence, hubEvidence *outlier.Tracker
	// ownWeights and fleetWeights are the fractions of normal work that outlier upstreams get, by the evidence of this
	// node and of all nodes.
	ownWeights, fleetWeights map[string]float64
	weightsUpdatedAt         time.Time
	// speeds holds the evidence of all nodes on the speed of upstreams, if this node is the hub. slownessAt is when the hub last
	// sent a slowness.
	speeds     *upstreamspeed.Tracker
	slownessAt time.Time
	// outOfZone counts the runs of this node on upstreams in other zones.
	outOfZone int
	// started counts the requests that were sent to limited upstreams and are not reported yet. hubDivides is set if the hub
	// divides the limits, and nodes is the number of nodes that share them otherwise.
	started    map[string]int
	hubDivides bool
	nodes      int
	// heardAt returns when an upstream was last heard; nil if that is not known.
	heardAt func(address string) time.Time
}

// NewState returns an empty state.
func NewState(availabilityZone string) *State {
	return &State{
		AvailabilityZone: availabilityZone, byID: map[string]*upstream{}, services: map[string]*serviceState{}, ownEvidence: outlier.New(), hubEvidence: outlier.New(),
		speeds: upstreamspeed.New(),
	}
}

// EndedUpstream is an upstream whose entry is gone, or shows a later start of its process.
type EndedUpstream struct {
	Upstream
	// Restarted is set if there is a later start. An upstream without one may be leaving as planned and still serve.
	Restarted bool
}

// SetUpstreams replaces the set of upstreams. Those that remain keep their state. It returns the upstreams that ended.
func (s *State) SetUpstreams(list []Upstream) (ended []EndedUpstream) {
	byID := make(map[string]*upstream, len(list))
	previous := make(map[string]Upstream, len(s.byID))
	for id, u := range s.byID {
		previous[id] = u.Upstream
	}
	for _, svc := range s.services {
		svc.upstreams, svc.candidatesAt = svc.upstreams[:0], time.Time{}
	}
	for _, u := range list {
		known := s.byID[u.ID]
		if known == nil || known.Address != u.Address {
			known = &upstream{}
		} else if known.Incarnation != u.Incarnation {
			// Failures before the restart are no evidence against the new process. The node's runs stay counted until each ends.
			known.failures, known.ejectedUntil, known.announced, known.awaitedSince = 0, time.Time{}, announced{}, time.Time{}
			s.ownEvidence.Forget(u.ID)
			s.hubEvidence.Forget(u.ID)
			s.speeds.Forget(u.ID)
			known.slowness, known.hubSlowness = 0, 0
		}
		known.Upstream = u
		byID[u.ID] = known
		svc := s.serviceState(u.Service)
		svc.upstreams = append(svc.upstreams, known)
	}
	for id, before := range previous {
		if now := byID[id]; now == nil || now.Incarnation != before.Incarnation {
			ended = append(ended, EndedUpstream{before, now != nil})
		}
	}
	s.byID = byID
	return ended
}

// BeginsToDrain reports whether an upstream that is about to be set is draining and was not before.
func (s *State) BeginsToDrain(u Upstream) bool {
	known := s.byID[u.ID]
	return u.Draining && known != nil && !known.Draining
}

// serviceState returns the state of a service, which is created if needed.
func (s *State) serviceState(service string) *serviceState {
	svc := s.services[service]
	if svc == nil {
		svc = &serviceState{runDuration: defaultRunDuration, firstEvent: defaultFirstEvent, owed: map[string]float64{}}
		s.services[service] = svc
	}
	return svc
}

// OwnLoads returns the runs of this node by upstream ID, for the exchange. nonPreemptible returns how many of the node's
// batch runs on an upstream can't be preempted now.
func (s *State) OwnLoads(nonPreemptible func(upstream string) int) map[string]Load {
	loads := map[string]Load{}
	for id, u := range s.byID {
		if u.own != (Load{}) {
			u.own.Firm = min(nonPreemptible(id), u.own.Batch)
			loads[id] = u.own
		}
	}
	return loads
}

// SetTotals sets the totals of all nodes, by upstream ID; reported is the part of them that this node reported.
func (s *State) SetTotals(totals, reported map[string]Load, now time.Time) {
	s.totalsAt = now
	for id, u := range s.byID {
		u.total, u.ownReported = totals[id], reported[id]
	}
}

// load estimates the load of an upstream from the totals if they are recent, else from this node's runs and the load
// that the upstream last reported.
func (s *State) load(u *upstream, now time.Time) Load {
	if now.Sub(s.totalsAt) <= maxTotalsAge {
		return u.total.Minus(u.ownReported).Plus(u.own)
	}
	l := u.own
	if u.report.Age(now) <= maxObservedAge {
		l.Online = max(l.Online, u.report.Busy()-l.Batch)
	}
	return l
}

// OnlineRequest describes a request for which an upstream is needed.
type OnlineRequest struct {
	Service string
	// Exclude holds the IDs of upstreams that must not be chosen.
	Exclude []string
	// Objective is the time left until the first event is late; Remaining is the time left until the deadline.
	Objective, Remaining time.Duration
	// FirstDecision is set at the first decision on a request.
	FirstDecision bool
	// HubAsked is set once the hub has been asked for a slot, HubAnswered once it has answered.
	HubAsked, HubAnswered bool
	// Retried is set for a request that the caller sent again after a refusal. It may wait longer.
	Retried bool
	// Alone is set for a request that may crash its upstream. It is sent only to an upstream that runs nothing else.
	Alone bool
	// Begins is set for a resumable stream that has not begun. It avoids upstreams before their StreamsFrom.
	Begins bool
	// Continues holds the software version at which a stream has begun, on whose upstreams alone it can continue; nil for
	// all other requests.
	Continues *string
}

// Verdict is what to do with a request.
type Verdict string

// Verdicts.
const (
	// Send sends the request to the chosen upstream.
	Send Verdict = "send"
	// Preempt preempts a batch run of this node on the chosen upstream and sends the request there.
	Preempt Verdict = "preempt"
	// Ask asks the hub to grant this node a slot, after which the decision is made again.
	Ask Verdict = "ask"
	// Refuse answers that the request was not run, with a Retry-After time.
	Refuse Verdict = "refuse"
	// NoUpstream means that the service has no upstream that may be used.
	NoUpstream Verdict = "no-upstream"
)

// Choice is a decision with the values that it is based on.
type Choice struct {
	Verdict    Verdict
	Upstream   Upstream
	RetryAfter time.Duration
	// Wait is the expected time in the engine's queue.
	Wait time.Duration
	// Free is the estimated number of free slots on the chosen upstream, negative if requests wait there.
	Free int
	// Granted is set if the hub granted the slot to this node.
	Granted bool
	// TotalsAge is the age of the exchanged totals.
	TotalsAge time.Duration
}

// ChooseForOnline decides on a request that a caller waits for. preemptible reports whether this node has a batch run
// on an upstream that can be preempted.
func (s *State) ChooseForOnline(request OnlineRequest, preemptible func(upstream string) bool, now time.Time, rng *rand.Rand) Choice {
	s.updateOwnWeights(now)
	svc := s.serviceState(request.Service)
	allowed := request.filter()
	candidates := s.candidates(svc, allowed, now)
	choice := Choice{TotalsAge: now.Sub(s.totalsAt)}
	if len(candidates) == 0 && !s.anyLimited(svc, allowed) {
		choice.Verdict = NoUpstream
		choice.RetryAfter = boundedRetryAfter(minEjection, request.Remaining, rng)
		return choice
	}
	freeSlots := func(u *upstream) int {
		l := s.load(u, now)
		return u.Slots - l.Online - l.Batch
	}
	if request.Alone {
		return s.chooseIdle(choice, request, candidates, now, rng)
	}
	if choice.TotalsAge <= maxTotalsAge {
		if u, ok := s.useGrant(s.granted.Online, request.Service, allowed, now, rng); ok {
			choice.Verdict, choice.Upstream, choice.Free, choice.Granted = Send, u.Upstream, max(1, freeSlots(u)), true
			return choice
		}
	}
	if len(candidates) == 0 {
		return s.askOrRefuseLimited(choice, request, now, rng)
	}
	best, free := s.drawByZone(request.Service, candidates, now, rng, freeSlots)
	choice.Upstream, choice.Free = best.Upstream, free
	if free >= minFreeWithoutAsking {
		choice.Verdict = Send
		return choice
	}
	if !request.HubAsked && choice.TotalsAge <= maxTotalsAgeToAsk && request.Continues == nil {
		choice.Verdict = Ask
		return choice
	}
	var preemptibleUpstreams []*upstream
	for _, u := range candidates {
		if preemptible(u.ID) {
			preemptibleUpstreams = append(preemptibleUpstreams, u)
		}
	}
	if len(preemptibleUpstreams) == 0 && free > 0 && !request.HubAnswered {
		choice.Verdict = Send
		return choice
	}
	if len(preemptibleUpstreams) > 0 {
		u, free := s.drawByFreeSlots(preemptibleUpstreams, now, rng, func(u *upstream) int { return u.Slots - s.load(u, now).Online })
		choice.Verdict, choice.Upstream, choice.Free = Preempt, u.Upstream, free
		return choice
	}
	return s.queueOrRefuse(choice, request, svc, candidates, now, rng)
}

// askOrRefuseLimited decides on a request for which only limited upstreams are left, and none of their requests is granted to
// this node, or only those of outliers. These are used in the end: no other node can use what is granted to this one.
func (s *State) askOrRefuseLimited(choice Choice, request OnlineRequest, now time.Time, rng *rand.Rand) Choice {
	if !request.HubAsked && choice.TotalsAge <= maxTotalsAgeToAsk {
		choice.Verdict = Ask
		return choice
	}
	if choice.TotalsAge <= maxTotalsAge {
		allowed := request.filter()
		allowed.outliers = true
		if u, ok := s.useGrant(s.granted.Online, request.Service, allowed, now, rng); ok {
			choice.Verdict, choice.Upstream, choice.Free, choice.Granted = Send, u.Upstream, 1, true
			return choice
		}
	}
	choice.Verdict, choice.RetryAfter = Refuse, boundedRetryAfter(minRetryAfter, request.Remaining, rng)
	return choice
}

// HasFreeSlot reports whether an upstream that the request may be sent to has a free slot.
func (s *State) HasFreeSlot(request OnlineRequest, now time.Time) bool {
	return slices.ContainsFunc(s.candidates(s.serviceState(request.Service), request.filter(), now), func(u *upstream) bool {
		l := s.load(u, now)
		return !now.Before(u.ejectedUntil) && l.Online+l.Batch < u.Slots && !s.silent(u, now)
	})
}

// chooseIdle sends the request to an upstream that runs nothing, and refuses it if there is none.
func (s *State) chooseIdle(choice Choice, request OnlineRequest, candidates []*upstream, now time.Time, rng *rand.Rand) Choice {
	idle := slices.DeleteFunc(candidates, func(u *upstream) bool { return s.load(u, now) != Load{} })
	if len(idle) == 0 {
		choice.Verdict, choice.RetryAfter = Refuse, boundedRetryAfter(minRetryAfter, request.Remaining, rng)
		return choice
	}
	u, free := s.drawByFreeSlots(idle, now, rng, func(u *upstream) int { return u.Slots })
	choice.Verdict, choice.Upstream, choice.Free = Send, u.Upstream, free
	return choice
}

// queueOrRefuse sends the request to an engine's queue if it can still be answered in time, and refuses it otherwise.
func (s *State) queueOrRefuse(choice Choice, request OnlineRequest, svc *serviceState, candidates []*upstream, now time.Time, rng *rand.Rand) Choice {
	// Other nodes preempt the batch runs that exceed the slots within one exchange, so only half of the preemptible ones
	// count.
	u, free := s.drawByFreeSlots(candidates, now, rng, func(u *upstream) int {
		l := s.load(u, now)
		return u.Slots - l.Online - l.Firm - (l.Batch-l.Firm+1)/2
	})
	queued := max(0, 1-free)
	wait := time.Duration(float64(queued)*s.slowness(u, now)*float64(svc.runDuration)) / time.Duration(max(1, u.Slots-s.load(s.byID[u.ID], now).Firm))
	choice.Upstream, choice.Free, choice.Wait = u.Upstream, free, wait
	allowed := svc.allowedWait(request.Objective)
	if request.HubAnswered {
		if granted, ok := s.useGrant(s.granted.Queue, request.Service, request.filter(), now, rng); ok {
			choice.Verdict, choice.Upstream, choice.Granted = Send, granted.Upstream, true
			return choice
		}
		// The places that the hub did not grant to this node are granted to others.
		allowed = -1
	}
	if request.Retried || request.Continues != nil {
		// The caller gives up after a second refusal, so a late answer is better. A stream that has begun has fewer
		// upstreams than others.
		allowed = max(allowed, request.Remaining/2)
	}
	if queued <= maxQueuedPerUpstream && wait <= allowed {
		choice.Verdict = Send
		return choice
	}
	choice.Verdict = Refuse
	if request.HubAnswered {
		choice.RetryAfter = overloadRetryAfter(request.Remaining, rng)
	} else {
		choice.RetryAfter = boundedRetryAfter(wait-allowed, request.Remaining, rng)
	}
	return choice
}

// allowedWait returns how long a request may wait for a slot and still meet the objective for its first event.
func (svc *serviceState) allowedWait(objective time.Duration) time.Duration {
	return objective - svc.firstEvent - objectiveMargin
}

// meanWaitFraction is the ratio of the mean wait of a queued request to the allowed wait. The time until a slot is free
// is distributed like a sum of exponentials, most of which must be shorter than allowed.
const meanWaitFraction = 0.5

// WithQueue returns the demand with the node's zone and how many requests may wait per slot of a service's upstreams such that most are still on time.
func (s *State) WithQueue(w Want, service string, objective time.Duration) Want {
	svc := s.serviceState(service)
	perTime := meanWaitFraction / float64(max(svc.runDuration, time.Millisecond))
	w.Queue = max(0, perTime*float64(svc.allowedWait(objective)))
	w.QueueFirst = perTime * float64(svc.firstEvent)
	w.Zone = s.AvailabilityZone
	return w
}

// drawByFreeSlots draws a candidate at random, with a probability that grows with its free slots, and returns it with
// their number and its speed. If no candidate has free slots, it returns the one with the shortest expected wait.
func (s *State) drawByFreeSlots(candidates []*upstream, now time.Time, rng *rand.Rand, free func(*upstream) int) (*upstream, int) {
	var drawn, leastLoaded *upstream
	var total float64
	leastWait, leastFree := math.MaxFloat64, 0
	for _, u := range candidates {
		n := free(u)
		if wait := float64(1-n) * s.slowness(u, now); wait < leastWait || wait == leastWait && rng.IntN(2) == 0 {
			leastLoaded, leastWait, leastFree = u, wait, n
		}
		if n <= 0 {
			continue
		}
		weight := math.Pow(float64(n), freeSlotsExponent) * s.weight(u, now) / s.slowness(u, now)
		total += weight
		if rng.Float64()*total < weight {
			drawn = u
		}
	}
	if drawn == nil {
		return leastLoaded, leastFree
	}
	return drawn, free(drawn)
}
