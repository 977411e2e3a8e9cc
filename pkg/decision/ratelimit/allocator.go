// Package ratelimit divides an institution's rate and concurrency limits among the nodes: the limit owner keeps
// an Allocator and hands out short grants by demand, each node spends from a LocalBucket.
package ratelimit

import (
	"math"
	"time"

	"trefoilplank.example/api"
)

// Parameters of grants.
const (
	// GrantLife is how long a node may spend granted tokens.
	GrantLife = time.Second
	// SlotLife is how long granted concurrency stays reserved without a renewal, and RoomySlotLife the same while at
	// most roomyPart of the limit is reserved. Most institutions stay far below their limit, and renewing all of
	// them as often as the tight ones would take a node 22 KB/s at the two-year target. Each roomy renewal with
	// about the same need doubles the time up to SteadySlotLife. Idle reservations can hold back at most roomyPart
	// of a limit, for RoomySlotLife, or for a third of SteadySlotLife, when a node returns idle slots of a long grant.
	SlotLife       = 3 * time.Second
	RoomySlotLife  = time.Minute
	SteadySlotLife = 5 * time.Minute
	roomyPart      = 0.25
	// steadyChange is the change of the need, as a part of the slots held, up to which use is steady; one slot more
	// or less always is.
	steadyChange = 0.25
	// grantAhead is the time for which a grant covers a node's demand.
	grantAhead = 200 * time.Millisecond
	// demandLife is how long the demand of a silent node counts.
	demandLife = time.Second
)

// Limit is an institution's bound over all nodes.
type Limit struct {
	// Rate is in requests per second; not above 0 means no bound.
	Rate  float64
	Burst float64
	// Concurrency is in requests; 0 means no bound.
	Concurrency int
}

// LimitOf returns the limit that the rules state.
func LimitOf(r api.Rate) Limit {
	l := Limit{Rate: r.RequestsPerSecond, Burst: float64(r.Burst), Concurrency: r.Concurrency}
	if l.Burst <= 0 {
		l.Burst = math.Max(1, l.Rate)
	}
	return l
}

// Ask is a node's request for a grant.
type Ask struct {
	// Demand is the node's recent rate in requests per second.
	Demand float64
	// Want is the number of tokens asked for and Returned the number of granted ones not spent.
	Want, Returned float64
	// InFlight is the number of requests in flight and WantSlots the concurrency asked for, including these.
	InFlight, WantSlots int
}

// Grant answers an Ask.
type Grant struct {
	// Tokens may be spent within GrantLife.
	Tokens float64
	// Slots is the concurrency that the node may use until SlotLife has passed.
	Slots    int
	SlotLife time.Duration
	// Short is set when the limit left fewer slots than were asked for.
	Short bool
	// RetryAfter is when tokens are expected again, if none were granted.
	RetryAfter time.Duration
}

// account is what the owner knows of one node.
type account struct {
	demand float64
	// credit is the part of the bucket that is reserved for the node while others ask.
	credit float64
	// slots are reserved until slotsUntil.
	slots      int
	slotsUntil time.Time
	// life is the time that the slots were last granted for.
	life  time.Duration
	heard time.Time
}

// Allocator is the owner's side for one institution. It is not safe for concurrent use.
type Allocator struct {
	tokens  float64
	at      time.Time
	started bool
	nodes   map[string]*account
}

// NewAllocator returns an allocator whose bucket is full at its first use.
func NewAllocator() *Allocator { return &Allocator{nodes: map[string]*account{}} }

// refill adds the tokens of the time since the last call and credits them to the nodes by demand.
func (l *Allocator) refill(now time.Time, lim Limit) {
	if !l.started {
		l.tokens, l.at, l.started = lim.Burst, now, true
	}
	added := lim.Rate * max(0, now.Sub(l.at)).Seconds()
	l.at = now
	l.tokens = math.Min(lim.Burst, l.tokens+added)
	sum := 0.0
	for name, acc := range l.nodes {
		switch silent := now.Sub(acc.heard); {
		case silent > SlotLife && now.After(acc.slotsUntil):
			delete(l.nodes, name)
		case silent > demandLife:
			acc.demand, acc.credit = 0, 0
		default:
			sum += acc.demand
		}
	}
	for _, acc := range l.nodes {
		if sum > 0 {
			part := acc.demand / sum
			acc.credit = math.Min(acc.credit+added*part, math.Max(1, lim.Rate*part*grantAhead.Seconds()))
		}
	}
}

// reserved returns the credit of the other nodes.
func (l *Allocator) reserved(acc *account) float64 {
	sum := 0.0
	for _, o := range l.nodes {
		if o != acc {
			sum += o.credit
		}
	}
	return sum
}

// Grant decides on a node's ask. When tokens are short, each node gets its part by demand.
func (l *Allocator) Grant(now time.Time, lim Limit, node string, a Ask) Grant {
	acc, ok := l.nodes[node]
	if !ok {
		acc = &account{}
		l.nodes[node] = acc
	}
	acc.heard = now
	l.refill(now, lim)
	acc.demand = math.Max(a.Demand, 0)
	g := Grant{Slots: l.grantSlots(now, lim, acc, a), SlotLife: SlotLife}
	g.Short = g.Slots < a.WantSlots
	if !acc.slotsUntil.IsZero() {
		g.SlotLife = acc.slotsUntil.Sub(now)
	}
	if lim.Rate <= 0 {
		g.Tokens = math.Max(0, a.Want)
		return g
	}
	l.tokens = math.Min(lim.Burst, l.tokens+math.Max(0, a.Returned))
	if a.Want <= 0 {
		return g
	}
	g.Tokens = math.Floor(math.Min(a.Want, math.Max(0, l.tokens-l.reserved(acc))))
	l.tokens -= g.Tokens
	acc.credit = math.Max(0, acc.credit-g.Tokens)
	if g.Tokens <= 0 {
		missing := 1 + l.reserved(acc) - l.tokens
		g.RetryAfter = time.Duration(missing / lim.Rate * float64(time.Second))
	}
	return g
}

// grantSlots decides on concurrency. A node never gets less than it has in flight, since that can't be undone.
func (l *Allocator) grantSlots(now time.Time, lim Limit, acc *account, a Ask) int {
	if lim.Concurrency <= 0 {
		return a.WantSlots
	}
	others := 0
	for _, o := range l.nodes {
		if o != acc && !now.After(o.slotsUntil) {
			others += o.slots
		}
	}
	held := acc.slots
	if now.After(acc.slotsUntil) {
		held = 0
	}
	acc.slots = max(a.InFlight, min(a.WantSlots, lim.Concurrency-others))
	roomy := float64(others+acc.slots) <= roomyPart*float64(lim.Concurrency)
	switch {
	case !roomy:
		acc.life = SlotLife
	case held > 0 && acc.life >= RoomySlotLife && steady(held, a.WantSlots):
		acc.life = min(2*acc.life, SteadySlotLife)
	default:
		acc.life = RoomySlotLife
	}
	acc.slotsUntil = now.Add(acc.life)
	return acc.slots
}

// steady reports whether a need differs little from the slots held.
func steady(held, want int) bool {
	diff := math.Abs(float64(want - held))
	return want > 0 && diff <= math.Max(1, steadyChange*float64(held))
}

// Drop frees what a node holds that was lost.
func (l *Allocator) Drop(node string) { delete(l.nodes, node) }

// Reserved reports whether any node holds concurrency, so that the allocator must be kept.
func (l *Allocator) Reserved(now time.Time) bool {
	for _, acc := range l.nodes {
		if acc.slots > 0 && !now.After(acc.slotsUntil) {
			return true
		}
	}
	return false
}
