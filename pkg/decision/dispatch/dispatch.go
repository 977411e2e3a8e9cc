// Package dispatch decides where a forwarded request goes, what yields to it, and when it is refused.
//
// The state holds, for each upstream, the runs of this node and the totals of all nodes as they were last exchanged.
// The load of an upstream is the total, less what this node had reported, plus what it runs now: so own decisions count
// at once and others' within one exchange.
package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/decision/outlier"
)

const (
	// totalsFresh is how long exchanged totals count; it spans ten exchanges of 100 ms.
	totalsFresh = time.Second
	// observedFresh is how long the load that an upstream sent with an answer counts while there are no totals; half
	// of a usual run of 0.7 s.
	observedFresh = 400 * time.Millisecond
	// presetDuration and presetFirst stand for the durations of a run and of its first event until some were seen.
	presetDuration, presetFirst = 500 * time.Millisecond, 80 * time.Millisecond
	// learnWeight is the weight of a new duration in the running mean: about the last 20 runs.
	learnWeight = 0.05
	// queueMargin is kept free of an objective for the network and for the error of the estimate.
	queueMargin = 40 * time.Millisecond
	// maxQueued bounds the requests that wait at an engine: beyond it an arrival is refused although it could still be
	// answered late, since engines queue two dozen and refuse the rest.
	maxQueued = 16
	// ejectFirst doubles with each further failure up to ejectMax; a replica that crashed is back after some seconds.
	ejectFirst, ejectMax = 400 * time.Millisecond, 5 * time.Second
	// softFailures is how many answers in a row must break before an upstream that accepts connections is ejected.
	softFailures = 3
	// zoneWeight prefers upstreams of the own zone.
	zoneWeight = 1.3
	// WarmFor is how long after a run a connection to its upstream is probably kept.
	WarmFor = 6 * time.Second
	// sureFree is how many free slots an upstream must show to be used without asking the hub: the last ones are probably
	// taken by other nodes at the same time.
	sureFree = 3
	// askFresh is how old totals may be for the hub to be asked; older ones mean that it does not answer in time.
	askFresh = 250 * time.Millisecond
	// freePower makes the chance of an upstream grow with its free slots. The emptiest one is not always chosen, since all
	// nodes see the same totals and would send all arrivals of an exchange there.
	freePower = 1
)

// Upstream is one upstream as it registered itself.
type Upstream struct {
	// ID is new at each start, unless the upstream keeps its id; Incarnation then tells the starts apart.
	ID               string
	Incarnation      int64
	Address          string
	Service          string
	AvailabilityZone string
	Slots            int
	Draining         bool
}

// Load counts the runs on an upstream.
type Load struct {
	Online, Batch int
	// Firm is how many of the batch runs can't yield now, since their items would miss their time.
	Firm int
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{Online: l.Online + o.Online, Batch: l.Batch + o.Batch, Firm: l.Firm + o.Firm}
}

// Minus returns the load without another one; no count goes below zero.
func (l Load) Minus(o Load) Load {
	return Load{Online: max(0, l.Online-o.Online), Batch: max(0, l.Batch-o.Batch), Firm: max(0, l.Firm-o.Firm)}
}

type upstream struct {
	Upstream
	mine, reported, total Load
	observed              int
	observedAt            time.Time

	failures     int
	ejectedUntil time.Time
	probing      bool
}

type pool struct {
	upstreams []*upstream
	duration  time.Duration
	first     time.Duration
}

// State is the load of all upstreams as one node sees it. It is not safe for concurrent use.
type State struct {
	// AvailabilityZone is the node's own.
	AvailabilityZone string
	byID             map[string]*upstream
	pools            map[string]*pool
	totalsAt         time.Time
	// granted are the slots that the hub gave this node alone.
	granted Grant
	// learned is the evidence of this node's runs, reported that of all nodes, when this node is the hub.
	learned, reported *outlier.Tracker
	// own and fleet are the parts of their usual work that outliers get, by the evidence of this node and of all nodes.
	own, fleet map[string]float64
	reviewed   time.Time
}

// NewState returns an empty state.
func NewState(availabilityZone string) *State {
	return &State{
		AvailabilityZone: availabilityZone, byID: map[string]*upstream{}, pools: map[string]*pool{}, learned: outlier.New(), reported: outlier.New(),
	}
}

// SetUpstreams replaces the set of upstreams and keeps what is known of those that stay.
func (s *State) SetUpstreams(list []Upstream) {
	byID := make(map[string]*upstream, len(list))
	for _, p := range s.pools {
		p.upstreams = p.upstreams[:0]
	}
	for _, u := range list {
		known := s.byID[u.ID]
		if known == nil || known.Address != u.Address {
			known = &upstream{}
		} else if known.Incarnation != u.Incarnation {
			// A new start knows nothing of earlier failures; runs of this node on it end by themselves.
			known.failures, known.ejectedUntil = 0, time.Time{}
			s.learned.Forget(u.ID)
			s.reported.Forget(u.ID)
		}
		known.Upstream = u
		byID[u.ID] = known
		p := s.pool(u.Service)
		p.upstreams = append(p.upstreams, known)
	}
	s.byID = byID
}

func (s *State) pool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{duration: presetDuration, first: presetFirst}
		s.pools[service] = p
	}
	return p
}

// Mine returns the runs of this node by upstream id, for the exchange. firm counts the node's batch runs on an upstream that
// can't yield now.
func (s *State) Mine(firm func(upstream string) int) map[string]Load {
	loads := map[string]Load{}
	for id, u := range s.byID {
		if u.mine != (Load{}) {
			u.mine.Firm = min(firm(id), u.mine.Batch)
			loads[id] = u.mine
		}
	}
	return loads
}

// SetTotals takes the totals of all nodes; reported is what they contain of this node.
func (s *State) SetTotals(totals, reported map[string]Load, now time.Time) {
	s.totalsAt = now
	for id, u := range s.byID {
		u.total, u.reported = totals[id], reported[id]
	}
}

// load estimates the runs on an upstream.
func (s *State) load(u *upstream, now time.Time) Load {
	if now.Sub(s.totalsAt) <= totalsFresh {
		return u.total.Minus(u.reported).Plus(u.mine)
	}
	l := u.mine
	if now.Sub(u.observedAt) <= observedFresh {
		l.Online = max(l.Online, u.observed-l.Batch)
	}
	return l
}

// Need describes a request to place.
type Need struct {
	Service string
	// Exclude names upstreams that must not be chosen.
	Exclude []string
	// Objective is the time left for an on-time first event; Remaining the time left until the deadline.
	Objective, Remaining time.Duration
	// First is set at the first decision on a request.
	First bool
	// Asked is set once the hub was asked for a slot, and Answered if it did answer.
	Asked, Answered bool
	// Returned is set for a request that came back after a refusal: it may wait longer.
	Returned bool
}

// Verdict says what to do with a request.
type Verdict string

// Verdicts.
const (
	// Send sends the request to the chosen upstream.
	Send Verdict = "send"
	// Preempt stops a batch run of this node on the chosen upstream and sends the request there.
	Preempt Verdict = "preempt"
	// Ask asks the hub for a slot of the node's own and decides again.
	Ask Verdict = "ask"
	// Refuse answers that the request was not run, with the time after which to come back.
	Refuse Verdict = "refuse"
	// NoUpstream means that no upstream of the service is known or left to try.
	NoUpstream Verdict = "no-upstream"
)

// Choice is a decision with the values it was taken on.
type Choice struct {
	Verdict    Verdict
	Upstream   Upstream
	RetryAfter time.Duration
	// Wait is the expected time in the engine's queue.
	Wait time.Duration
	// Free is the number of free slots that were seen on the chosen upstream; negative when requests wait there.
	Free int
	// Granted is set when the slot was this node's alone.
	Granted bool
	// TotalsAge is how old the exchanged totals were.
	TotalsAge time.Duration
}

// Online decides on a request that a caller waits for. preemptible reports whether this node has a batch run on an
// upstream that can yield.
func (s *State) Online(n Need, preemptible func(upstream string) bool, now time.Time, rng *rand.Rand) Choice {
	s.review(now)
	p := s.pool(n.Service)
	candidates := s.candidates(p, n.Exclude, now)
	choice := Choice{TotalsAge: now.Sub(s.totalsAt)}
	if len(candidates) == 0 {
		choice.Verdict = NoUpstream
		choice.RetryAfter = bounded(ejectFirst, n.Remaining, rng)
		return choice
	}
	seen := func(u *upstream) int {
		l := s.load(u, now)
		return u.Slots - l.Online - l.Batch
	}
	if choice.TotalsAge <= totalsFresh {
		if u, ok := s.takeGrant(s.granted.Online, n.Service, n.Exclude, now); ok {
			choice.Verdict, choice.Upstream, choice.Free, choice.Granted = Send, u.Upstream, max(1, seen(u)), true
			return choice
		}
	}
	best, free := s.best(candidates, now, rng, seen)
	choice.Upstream, choice.Free = best.Upstream, free
	if free >= sureFree {
		choice.Verdict = Send
		return choice
	}
	if !n.Asked && choice.TotalsAge <= askFresh {
		choice.Verdict = Ask
		return choice
	}
	var yielding []*upstream
	for _, u := range candidates {
		if preemptible(u.ID) {
			yielding = append(yielding, u)
		}
	}
	if len(yielding) == 0 && free > 0 && !n.Answered {
		choice.Verdict = Send
		return choice
	}
	if len(yielding) > 0 {
		u, free := s.best(yielding, now, rng, func(u *upstream) int { return u.Slots - s.load(u, now).Online })
		choice.Verdict, choice.Upstream, choice.Free = Preempt, u.Upstream, free
		return choice
	}
	return s.queueOrRefuse(choice, n, p, candidates, now, rng)
}

// queueOrRefuse lets the request wait in an engine's queue if it can still be answered in time, and refuses it otherwise.
func (s *State) queueOrRefuse(choice Choice, n Need, p *pool, candidates []*upstream, now time.Time, rng *rand.Rand) Choice {
	// Batch runs of other nodes that can yield do so within an exchange, so only half of them count.
	u, free := s.best(candidates, now, rng, func(u *upstream) int {
		l := s.load(u, now)
		return u.Slots - l.Online - l.Firm - (l.Batch-l.Firm+1)/2
	})
	queued := max(0, 1-free)
	wait := time.Duration(queued) * p.duration / time.Duration(max(1, u.Slots-s.load(s.byID[u.ID], now).Firm))
	choice.Upstream, choice.Free, choice.Wait = u.Upstream, free, wait
	allowed := p.allowedWait(n.Objective)
	if n.Answered {
		if granted, ok := s.takeGrant(s.granted.Queue, n.Service, n.Exclude, now); ok {
			choice.Verdict, choice.Upstream, choice.Granted = Send, granted.Upstream, true
			return choice
		}
		// What the hub did not give to this node is promised to others.
		allowed = -1
	}
	if n.Returned {
		// A second refusal ends the request for the caller, so late is better than never.
		allowed = max(allowed, n.Remaining/2)
	}
	if queued <= maxQueued && wait <= allowed {
		choice.Verdict = Send
		return choice
	}
	choice.Verdict = Refuse
	if n.Answered {
		choice.RetryAfter = afterOverload(n.Remaining, rng)
	} else {
		choice.RetryAfter = bounded(wait-allowed, n.Remaining, rng)
	}
	return choice
}

// allowedWait is how long a request may wait for a slot and still be on time.
func (p *pool) allowedWait(objective time.Duration) time.Duration {
	return objective - p.first - queueMargin
}

// queuePart of the mean wait is what a place in a queue may take: the time until a slot is free is spread like a sum of
// exponentials, of which most must be shorter than allowed.
const queuePart = 0.5

// QueuePerSlot returns how many requests may wait for each slot of a service's upstreams and mostly still be on time.
func (s *State) QueuePerSlot(service string, objective time.Duration) float64 {
	p := s.pool(service)
	return max(0, queuePart*float64(p.allowedWait(objective))/float64(max(p.duration, time.Millisecond)))
}

// Retry-After bounds.
const (
	// retryLeast spaces requests that come back, so that they do not arrive as one wave.
	retryLeast, retrySpread = 150 * time.Millisecond, 600 * time.Millisecond
	// retryShorter is the part by which times beyond what callers wait for are spread below it.
	retryShorter = 0.4
	// retryPart of the remaining time is the longest that callers wait for.
	retryPart = 3
)

// afterOverload is the Retry-After when all places of all nodes are taken or promised. Overload lasts as long as a burst, some
// seconds, so that a caller, who comes back once, finds a place more probably the later that is; within 0.75 s most found
// none, and those that waited for one took it from newcomers. The longest that callers wait for is spread, so that they do not
// come back as one wave.
func afterOverload(remaining time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration((1 - retryShorter*rng.Float64()) * float64(remaining/retryPart))
}

func bounded(d, remaining time.Duration, rng *rand.Rand) time.Duration {
	d = max(d, retryLeast) + time.Duration(rng.Float64()*float64(retrySpread))
	if d > remaining/retryPart {
		d = afterOverload(remaining, rng)
	}
	return max(d, 0)
}

// Batch chooses an upstream for a batch run: a granted slot, or while there are no fresh totals one that keeps headroom
// slots free. It returns false when there is none.
func (s *State) Batch(service string, now time.Time, rng *rand.Rand) (Upstream, bool) {
	s.review(now)
	if now.Sub(s.totalsAt) <= totalsFresh {
		if u, ok := s.takeGrant(s.granted.Batch, service, nil, now); ok {
			return u.Upstream, true
		}
		return Upstream{}, false
	}
	candidates := s.candidates(s.pool(service), nil, now)
	if len(candidates) == 0 {
		return Upstream{}, false
	}
	u, free := s.best(candidates, now, rng, func(u *upstream) int {
		l := s.load(u, now)
		return u.Slots - l.Online - l.Batch
	})
	return u.Upstream, free > u.Slots/blindPart
}

// blindPart is the part of an upstream's slots that a node without totals leaves free, since others may use them unseen.
const blindPart = 2

// Yields returns how many batch runs of this node should stop on each overfull upstream. The excess is shared among the
// nodes by their batch runs there that can yield; fractions are drawn.
func (s *State) Yields(now time.Time, rng *rand.Rand) map[string]int {
	if now.Sub(s.totalsAt) > totalsFresh {
		return nil
	}
	var yields map[string]int
	for id, u := range s.byID {
		l := s.load(u, now)
		excess := l.Online + l.Batch - u.Slots
		mine, all := u.mine.Batch-u.mine.Firm, l.Batch-l.Firm
		if excess <= 0 || mine <= 0 || all <= 0 {
			continue
		}
		part := float64(min(excess, all)) * float64(mine) / float64(all)
		n := int(part)
		if rng.Float64() < part-float64(n) {
			n++
		}
		if n > 0 {
			if yields == nil {
				yields = map[string]int{}
			}
			yields[id] = min(n, mine)
		}
	}
	return yields
}

// candidates returns the upstreams that may be chosen: without outliers, unless there are no others; when all are ejected, the
// one that returns first.
func (s *State) candidates(p *pool, exclude []string, now time.Time) []*upstream {
	var usable, outliers []*upstream
	var soonest *upstream
	for _, u := range p.upstreams {
		if u.Draining || contains(exclude, u.ID) {
			continue
		}
		if now.Before(u.ejectedUntil) || u.failures >= softFailures && u.probing {
			if soonest == nil || u.ejectedUntil.Before(soonest.ejectedUntil) {
				soonest = u
			}
			continue
		}
		if s.weight(u, now) < outlierWeight {
			outliers = append(outliers, u)
			continue
		}
		usable = append(usable, u)
	}
	switch {
	case len(usable) > 0:
		return usable
	case len(outliers) > 0:
		return outliers
	case soonest != nil:
		return []*upstream{soonest}
	}
	return nil
}

func contains(list []string, id string) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

// best draws a candidate with a chance that grows with its free slots; without free slots it returns the one that lacks the
// fewest.
func (s *State) best(candidates []*upstream, now time.Time, rng *rand.Rand, free func(*upstream) int) (*upstream, int) {
	var drawn, roomiest *upstream
	var total float64
	most := math.MinInt
	for _, u := range candidates {
		n := free(u)
		if n > most || n == most && rng.IntN(2) == 0 {
			roomiest, most = u, n
		}
		if n <= 0 {
			continue
		}
		weight := math.Pow(float64(n), freePower) * s.weight(u, now)
		if u.AvailabilityZone == s.AvailabilityZone {
			weight *= zoneWeight
		}
		total += weight
		if rng.Float64()*total < weight {
			drawn = u
		}
	}
	if drawn == nil {
		return roomiest, most
	}
	return drawn, free(drawn)
}
