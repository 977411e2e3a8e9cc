package ratelimit

import (
	"math"
	"time"
)

// Verdict is the decision of a bucket on one request.
type Verdict int

const (
	// Pass lets the request proceed.
	Pass Verdict = iota
	// AskOwner means that the bucket holds no valid token and the limit's owner must be asked for a grant.
	AskOwner
	// Refuse means that the limit is reached.
	Refuse
)

// LocalBucket holds a node's grants for one institution. It is not safe for concurrent use.
type LocalBucket struct {
	tokens  float64
	expires time.Time
	// refuseUntil is when the owner may be asked again after it granted fewer tokens than asked for.
	refuseUntil time.Time
	// askedTokens is the number of tokens that the last ask was for.
	askedTokens float64
	slots       int
	slotsUntil  time.Time
	renewAt     time.Time
	inFlight    int
	// waiting is the number of requests that wait for a slot, waitingTokens the number of those that wait for a token.
	waiting, waitingTokens int
	// longGrant is set when the slots were granted for longer than LowUseSlotLife.
	longGrant bool
	// shortGrant is set when the owner granted fewer slots than asked for.
	shortGrant bool
	// fairShareTokens is the bucket of the node's equal share of the rate, for times without an owner.
	fairShareTokens   float64
	fairShareFilledAt time.Time
	// arrivals is the number of requests since countedAt, which are not yet part of demand.
	arrivals  float64
	countedAt time.Time
	demand    float64
}

// minRefuseTime and maxRefuseTime limit how long requests are refused without asking the owner again. The lower limit
// keeps a node to 50 asks/s for an institution that is over its limit; credits at the owner last longer.
const (
	minRefuseTime = 20 * time.Millisecond
	maxRefuseTime = 50 * time.Millisecond
)

// demandWindow is the time constant of the exponential smoothing of the demand.
const demandWindow = 500 * time.Millisecond

// Demand returns the recent rate in requests per second, refused ones included.
func (b *LocalBucket) Demand(now time.Time) float64 {
	if b.countedAt.IsZero() {
		b.countedAt = now
	}
	if elapsed := now.Sub(b.countedAt); elapsed >= 20*time.Millisecond {
		oldWeight := math.Exp(-float64(elapsed) / float64(demandWindow))
		b.demand = oldWeight*b.demand + (1-oldWeight)*b.arrivals/elapsed.Seconds()
		b.arrivals, b.countedAt = 0, now
	}
	return b.demand
}

// Arrive counts a request in the demand. It must be called once for each request, before Take.
func (b *LocalBucket) Arrive(now time.Time) {
	b.Demand(now)
	b.arrivals++
}

// Take spends one token if it can. For Refuse, retry is the time after which to try again.
func (b *LocalBucket) Take(now time.Time) (v Verdict, retry time.Duration) {
	switch {
	case b.tokens >= 1 && now.Before(b.expires):
		b.tokens--
		return Pass, 0
	case now.Before(b.refuseUntil):
		return Refuse, b.refuseUntil.Sub(now)
	}
	return AskOwner, 0
}

// TokensLow reports whether the owner should be asked now, before the bucket is empty: the tokens cover less than half
// of grantHorizon.
func (b *LocalBucket) TokensLow(now time.Time) bool {
	return b.tokens < b.Demand(now)*grantHorizon.Seconds()/2 && !now.Before(b.refuseUntil)
}

// Ask returns the ask to send to the owner, for at least minTokens tokens. It returns the unspent tokens to the owner,
// so that the bucket is empty until Granted is called with the answer.
func (b *LocalBucket) Ask(now time.Time, minTokens float64, moreSlots int) Ask {
	a := Ask{Demand: b.Demand(now), InFlight: b.inFlight, WantSlots: b.inFlight + b.waiting + moreSlots}
	if now.Before(b.expires) {
		a.Returned = b.tokens
	}
	b.tokens = 0
	a.Want = math.Max(math.Max(minTokens, float64(b.waitingTokens)), math.Ceil(a.Demand*grantHorizon.Seconds()))
	b.askedTokens = a.Want
	return a
}

// Granted adds the tokens and sets the concurrency that the owner granted.
func (b *LocalBucket) Granted(now time.Time, g Grant) {
	b.tokens += g.Tokens
	b.expires = now.Add(GrantLife)
	if g.Tokens < b.askedTokens {
		b.refuseUntil = now.Add(max(minRefuseTime, min(g.RetryAfter, maxRefuseTime)))
	}
	b.GrantedSlots(now, g)
}

// AskSlots returns the ask that renews the concurrency in use and leaves the tokens as they are. Its answer goes to
// GrantedSlots.
func (b *LocalBucket) AskSlots(now time.Time) Ask {
	return Ask{Demand: b.Demand(now), InFlight: b.inFlight, WantSlots: b.inFlight + b.waiting}
}

// GrantedSlots sets the concurrency that the owner granted.
func (b *LocalBucket) GrantedSlots(now time.Time, g Grant) {
	b.slots, b.slotsUntil = g.Slots, now.Add(g.SlotLife)
	b.renewAt = now.Add(g.SlotLife / 3)
	b.shortGrant = g.Short
	b.longGrant = g.SlotLife > LowUseSlotLife
}

// TakeFairShare spends one token of the node's equal share of the rate, for times when the owner does not answer. It
// returns false and the time until the next token if there is none.
func (b *LocalBucket) TakeFairShare(now time.Time, lim Limit, liveNodes int) (bool, time.Duration) {
	if lim.Rate <= 0 {
		return true, 0
	}
	n := float64(max(1, liveNodes))
	burst := math.Max(1, lim.Burst/n)
	if b.fairShareFilledAt.IsZero() {
		b.fairShareTokens, b.fairShareFilledAt = burst, now
	}
	b.fairShareTokens = math.Min(burst, b.fairShareTokens+lim.Rate/n*now.Sub(b.fairShareFilledAt).Seconds())
	b.fairShareFilledAt = now
	if b.fairShareTokens >= 1 {
		b.fairShareTokens--
		return true, 0
	}
	return false, time.Duration((1 - b.fairShareTokens) * n / lim.Rate * float64(time.Second))
}

// RenewDue reports whether granted concurrency should be renewed. It is due after a third of Grant.SlotLife, so that two
// renewals may be lost. A long grant is renewed even when none of it is in use, which returns its slots.
func (b *LocalBucket) RenewDue(now time.Time) bool {
	return (b.inFlight > 0 || b.longGrant && b.Holds(now)) && !now.Before(b.renewAt)
}

// Holds reports whether the owner reserves concurrency for this node.
func (b *LocalBucket) Holds(now time.Time) bool { return b.slots > 0 && now.Before(b.slotsUntil) }

// InFlight returns the number of requests in flight on this node.
func (b *LocalBucket) InFlight() int { return b.inFlight }

// Enter counts a request in flight against the granted concurrency. It returns false if the owner must be asked first.
func (b *LocalBucket) Enter(now time.Time, lim Limit) bool {
	if lim.Concurrency > 0 && (b.inFlight >= b.slots || !now.Before(b.slotsUntil)) {
		return false
	}
	b.inFlight++
	return true
}

// AddWaiting adds n to the number of requests that wait for a slot.
func (b *LocalBucket) AddWaiting(n int) { b.waiting += n }

// AddWaitingForToken adds n to the number of requests that wait for a token.
func (b *LocalBucket) AddWaitingForToken(n int) { b.waitingTokens += n }

// SlotsShort reports whether the last grant had fewer slots than asked for, which means that the limit is reached.
func (b *LocalBucket) SlotsShort() bool { return b.shortGrant }

// EnterFairShare counts a request in flight against the node's equal share of the concurrency, for times when the owner
// does not answer. Slots that the owner granted before still count until they expire.
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
