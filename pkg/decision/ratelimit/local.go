package ratelimit

import (
	"math"
	"time"
)

// Verdict is a bucket's answer on one request.
type Verdict int

// Verdicts of a bucket.
const (
	// Pass lets the request go on.
	Pass Verdict = iota
	// AskOwner means that the bucket is empty and the owner must be asked first.
	AskOwner
	// Refuse means that the limit is reached.
	Refuse
)

// LocalBucket is a node's side for one institution. It is not safe for concurrent use.
type LocalBucket struct {
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
	// waiting counts the requests that wait for a slot, waitingTokens those that wait for a token.
	waiting, waitingTokens int
	// long is set when the slots were granted for longer than RoomySlotLife.
	long bool
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
func (b *LocalBucket) Demand(now time.Time) float64 {
	if b.countedAt.IsZero() {
		b.countedAt = now
	}
	if d := now.Sub(b.countedAt); d >= 20*time.Millisecond {
		keep := math.Exp(-float64(d) / float64(demandWindow))
		b.demand = keep*b.demand + (1-keep)*b.arrivals/d.Seconds()
		b.arrivals, b.countedAt = 0, now
	}
	return b.demand
}

// Arrive counts a request in the demand; it is called once for each request, before Take.
func (b *LocalBucket) Arrive(now time.Time) {
	b.Demand(now)
	b.arrivals++
}

// Take spends one token. retry is set with Refuse.
func (b *LocalBucket) Take(now time.Time) (v Verdict, retry time.Duration) {
	switch {
	case b.tokens >= 1 && now.Before(b.expires):
		b.tokens--
		return Pass, 0
	case now.Before(b.emptyUntil):
		return Refuse, b.emptyUntil.Sub(now)
	}
	return AskOwner, 0
}

// Low reports whether a grant should be asked for before the bucket is empty.
func (b *LocalBucket) Low(now time.Time) bool {
	return b.tokens < b.Demand(now)*grantAhead.Seconds()/2 && !now.Before(b.emptyUntil)
}

// Ask returns what to ask the owner for, with at least least tokens. Unspent tokens go back with it, so that the
// ask must be followed by Granted or Failed.
func (b *LocalBucket) Ask(now time.Time, least float64, moreSlots int) Ask {
	a := Ask{Demand: b.Demand(now), InFlight: b.inFlight, WantSlots: b.inFlight + b.waiting + moreSlots}
	if now.Before(b.expires) {
		a.Returned = b.tokens
	}
	b.tokens = 0
	a.Want = math.Max(math.Max(least, float64(b.waitingTokens)), math.Ceil(a.Demand*grantAhead.Seconds()))
	b.wanted = a.Want
	return a
}

// Granted takes the owner's answer.
func (b *LocalBucket) Granted(now time.Time, g Grant) {
	b.tokens += g.Tokens
	b.expires = now.Add(GrantLife)
	if g.Tokens < b.wanted {
		b.emptyUntil = now.Add(max(minRefuse, min(g.RetryAfter, maxRefuse)))
	}
	b.GrantedSlots(now, g)
}

// AskSlots returns what to ask the owner for to renew the concurrency in use; tokens stay as they are. The answer goes
// to GrantedSlots.
func (b *LocalBucket) AskSlots(now time.Time) Ask {
	return Ask{Demand: b.Demand(now), InFlight: b.inFlight, WantSlots: b.inFlight + b.waiting}
}

// GrantedSlots takes the concurrency of the owner's answer.
func (b *LocalBucket) GrantedSlots(now time.Time, g Grant) {
	b.slots, b.slotsUntil = g.Slots, now.Add(g.SlotLife)
	b.renewAt = now.Add(g.SlotLife / 3)
	b.short = g.Short
	b.long = g.SlotLife > RoomySlotLife
}

// TakeFairShare spends from the node's equal part of the limit, for times when the owner is silent.
func (b *LocalBucket) TakeFairShare(now time.Time, lim Limit, liveNodes int) (bool, time.Duration) {
	if lim.Rate <= 0 {
		return true, 0
	}
	n := float64(max(1, liveNodes))
	burst := math.Max(1, lim.Burst/n)
	if b.filledAt.IsZero() {
		b.fallback, b.filledAt = burst, now
	}
	b.fallback = math.Min(burst, b.fallback+lim.Rate/n*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if b.fallback >= 1 {
		b.fallback--
		return true, 0
	}
	return false, time.Duration((1 - b.fallback) * n / lim.Rate * float64(time.Second))
}

// RenewDue reports whether granted concurrency should be renewed; two renewals may be lost. That of a long grant is
// renewed, and so returned, even when none is in use.
func (b *LocalBucket) RenewDue(now time.Time) bool {
	return (b.inFlight > 0 || b.long && b.Holds(now)) && !now.Before(b.renewAt)
}

// Holds reports whether the owner reserves concurrency for this node.
func (b *LocalBucket) Holds(now time.Time) bool { return b.slots > 0 && now.Before(b.slotsUntil) }

// InFlight returns the number of requests in flight on this node.
func (b *LocalBucket) InFlight() int { return b.inFlight }

// Enter books a request in flight against the granted concurrency; false means that the owner must be asked.
func (b *LocalBucket) Enter(now time.Time, lim Limit) bool {
	if lim.Concurrency > 0 && (b.inFlight >= b.slots || !now.Before(b.slotsUntil)) {
		return false
	}
	b.inFlight++
	return true
}

// Wait changes the number of requests that wait for a slot by n.
func (b *LocalBucket) Wait(n int) { b.waiting += n }

// WaitForToken changes the number of requests that wait for a token by n.
func (b *LocalBucket) WaitForToken(n int) { b.waitingTokens += n }

// Short reports whether the last grant held fewer slots than asked for, so that the limit is reached.
func (b *LocalBucket) Short() bool { return b.short }

// EnterFairShare books a request in flight against the node's equal part, for times without an owner. Slots
// that the owner granted before it fell silent still count.
func (b *LocalBucket) EnterFairShare(now time.Time, lim Limit, liveNodes int) bool {
	bound := max(1, lim.Concurrency/max(1, liveNodes))
	if now.Before(b.slotsUntil) {
		bound = max(bound, b.slots)
	}
	if lim.Concurrency > 0 && b.inFlight >= bound {
		return false
	}
	b.inFlight++
	return true
}

// Leave ends a request in flight.
func (b *LocalBucket) Leave() { b.inFlight-- }
