package ratelimit

import (
	"math"
	"time"
)

// Verdict is a purse's answer on one request.
type Verdict int

// Verdicts of a purse.
const (
	// Pass lets the request go on.
	Pass Verdict = iota
	// AskOwner means that the purse is empty and the owner must be asked first.
	AskOwner
	// Refuse means that the limit is reached.
	Refuse
)

// Purse is a node's side for one institution. It is not safe for concurrent use.
type Purse struct {
	tokens  float64
	expires time.Time
	// emptyUntil is when to ask again after a grant that was smaller than asked for.
	emptyUntil time.Time
	// wanted is what the last ask was for.
	wanted     float64
	slots      int
	slotsUntil time.Time
	renewAt    time.Time
	inFlight   int
	// waiting counts the requests that wait for a slot, and wantedSlots is what the last ask was for.
	waiting, wantedSlots int
	// short is set when the owner granted fewer slots than asked for.
	short bool
	// fallback is the fair-share bucket for times without an owner.
	fallback float64
	filledAt time.Time
	// arrivals since countedAt feed demand.
	arrivals  float64
	countedAt time.Time
	demand    float64
}

// minRefuse and maxRefuse bound how long a refusal of the owner is repeated without asking again. The lower
// bound limits a node to 50 asks/s for an institution that is over its limit; credits at the owner last longer.
const (
	minRefuse = 20 * time.Millisecond
	maxRefuse = 50 * time.Millisecond
)

// demandWindow is the smoothing time of the demand.
const demandWindow = 500 * time.Millisecond

// Demand returns the recent rate in requests per second, refused ones included.
func (p *Purse) Demand(now time.Time) float64 {
	if p.countedAt.IsZero() {
		p.countedAt = now
	}
	if d := now.Sub(p.countedAt); d >= 20*time.Millisecond {
		keep := math.Exp(-float64(d) / float64(demandWindow))
		p.demand = keep*p.demand + (1-keep)*p.arrivals/d.Seconds()
		p.arrivals, p.countedAt = 0, now
	}
	return p.demand
}

// Arrive counts a request in the demand; it is called once for each request, before Take.
func (p *Purse) Arrive(now time.Time) {
	p.Demand(now)
	p.arrivals++
}

// Take spends one token. retry is set with Refuse.
func (p *Purse) Take(now time.Time) (v Verdict, retry time.Duration) {
	switch {
	case p.tokens >= 1 && now.Before(p.expires):
		p.tokens--
		return Pass, 0
	case now.Before(p.emptyUntil):
		return Refuse, p.emptyUntil.Sub(now)
	}
	return AskOwner, 0
}

// Low reports whether a grant should be asked for before the purse is empty.
func (p *Purse) Low(now time.Time) bool {
	return p.tokens < p.Demand(now)*grantAhead.Seconds()/2 && !now.Before(p.emptyUntil)
}

// Ask returns what to ask the owner for, with at least least tokens. Unspent tokens go back with it, so that the
// ask must be followed by Granted or Failed.
func (p *Purse) Ask(now time.Time, least float64, moreSlots int) Ask {
	a := Ask{Demand: p.Demand(now), InFlight: p.inFlight, WantSlots: p.inFlight + p.waiting + moreSlots}
	p.wantedSlots = a.WantSlots
	if now.Before(p.expires) {
		a.Returned = p.tokens
	}
	p.tokens = 0
	a.Want = math.Max(least, math.Ceil(a.Demand*grantAhead.Seconds()))
	p.wanted = a.Want
	return a
}

// Granted takes the owner's answer.
func (p *Purse) Granted(now time.Time, g Grant) {
	p.tokens += g.Tokens
	p.expires = now.Add(GrantLife)
	if g.Tokens < p.wanted {
		p.emptyUntil = now.Add(max(minRefuse, min(g.RetryAfter, maxRefuse)))
	}
	p.slots, p.slotsUntil = g.Slots, now.Add(g.SlotLife)
	p.renewAt = now.Add(g.SlotLife / 3)
	p.short = g.Slots < p.wantedSlots
}

// TakeFairShare spends from the node's equal part of the limit, for times when the owner is silent.
func (p *Purse) TakeFairShare(now time.Time, lim Limit, liveNodes int) (bool, time.Duration) {
	if lim.Rate <= 0 {
		return true, 0
	}
	n := float64(max(1, liveNodes))
	burst := math.Max(1, lim.Burst/n)
	if p.filledAt.IsZero() {
		p.fallback, p.filledAt = burst, now
	}
	p.fallback = math.Min(burst, p.fallback+lim.Rate/n*now.Sub(p.filledAt).Seconds())
	p.filledAt = now
	if p.fallback >= 1 {
		p.fallback--
		return true, 0
	}
	return false, time.Duration((1 - p.fallback) * n / lim.Rate * float64(time.Second))
}

// RenewDue reports whether granted concurrency that is in use should be renewed; two renewals may be lost.
func (p *Purse) RenewDue(now time.Time) bool { return p.inFlight > 0 && !now.Before(p.renewAt) }

// InFlight returns the number of requests in flight on this node.
func (p *Purse) InFlight() int { return p.inFlight }

// Enter books a request in flight against the granted concurrency; false means that the owner must be asked.
func (p *Purse) Enter(now time.Time, lim Limit) bool {
	if lim.Concurrency > 0 && (p.inFlight >= p.slots || !now.Before(p.slotsUntil)) {
		return false
	}
	p.inFlight++
	return true
}

// Wait changes the number of requests that wait for a slot by n.
func (p *Purse) Wait(n int) { p.waiting += n }

// Short reports whether the last grant held fewer slots than asked for, so that the limit is reached.
func (p *Purse) Short() bool { return p.short }

// EnterFairShare books a request in flight against the node's equal part, for times without an owner. Slots
// that the owner granted before it fell silent still count.
func (p *Purse) EnterFairShare(now time.Time, lim Limit, liveNodes int) bool {
	bound := max(1, lim.Concurrency/max(1, liveNodes))
	if now.Before(p.slotsUntil) {
		bound = max(bound, p.slots)
	}
	if lim.Concurrency > 0 && p.inFlight >= bound {
		return false
	}
	p.inFlight++
	return true
}

// Leave ends a request in flight.
func (p *Purse) Leave() { p.inFlight-- }
