// Package ratelimit divides the rate and concurrency limits of an institution among the nodes. The node that owns the
// limit keeps an Allocator, which gives short grants by demand. Each node spends its grants from a LocalBucket.
package ratelimit

import (
	"math"
	"time"

	"trefoilplank.example/api"
)

const (
	// GrantLife is how long a node may spend granted tokens.
	GrantLife = time.Second
	// SlotLife is how long granted concurrency stays reserved without a renewal. While at most lowUseShare of the limit
	// is reserved, LowUseSlotLife applies instead, and each renewal with about the same need doubles the time up to
	// SteadySlotLife. Most institutions stay far below their limit, and renewing all of them every SlotLife would cost a
	// node 22 KB/s at the two-year target. Idle reservations can withhold at most lowUseShare of a limit: for
	// LowUseSlotLife or, if the grant is longer, for a third of SteadySlotLife, after which the node renews the grant and
	// returns its idle slots.
	SlotLife       = 3 * time.Second
	LowUseSlotLife = time.Minute
	SteadySlotLife = 5 * time.Minute
	lowUseShare    = 0.25
	// steadyChange is the change in need, as a fraction of the reserved slots, up to which use counts as steady. A change
	// of one slot is always steady.
	steadyChange = 0.25
	// grantHorizon is the time for which a grant covers a node's demand.
	grantHorizon = 200 * time.Millisecond
	// demandTimeout is how long the demand of a node counts after its last ask.
	demandTimeout = time.Second
)

// Limit is an institution's limit over all nodes together.
type Limit struct {
	// Rate is in requests per second; 0 or less means no limit.
	Rate  float64
	Burst float64
	// Concurrency is the number of requests in flight; 0 means no limit.
	Concurrency int
}

// LimitFromRules returns the limit that an institution's rules state. The default burst is one second at the rate, but
// at least 1.
func LimitFromRules(r api.Rate) Limit {
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
	// Want is the number of tokens asked for, Returned the number of unspent tokens of the previous grant.
	Want, Returned float64
	// InFlight is the number of requests in flight, WantSlots the concurrency asked for, including InFlight.
	InFlight, WantSlots int
}

// Grant answers an Ask.
type Grant struct {
	// Tokens may be spent within GrantLife.
	Tokens float64
	// Slots is the concurrency that the node may use until SlotLife has passed.
	Slots    int
	SlotLife time.Duration
	// Short is set when fewer slots than asked for were left under the limit.
	Short bool
	// RetryAfter is the expected time until a token is available; set if none was granted.
	RetryAfter time.Duration
}

// account is the owner's record of one node.
type account struct {
	demand float64
	// credit is the number of tokens in the bucket that are reserved for the node when others ask.
	credit float64
	// slots is the concurrency reserved for the node until slotsUntil.
	slots      int
	slotsUntil time.Time
	// slotLife is the duration of the last grant of slots.
	slotLife time.Duration
	lastAsk  time.Time
}

// Allocator divides the limits of one institution among the nodes, on the node that owns them. It is not safe for
// concurrent use.
type Allocator struct {
	tokens     float64
	refilledAt time.Time
	started    bool
	nodes      map[string]*account
}

// NewAllocator returns an allocator whose token bucket is full at its first use.
func NewAllocator() *Allocator { return &Allocator{nodes: map[string]*account{}} }

// refill adds the tokens for the time since the last call and credits them to the nodes in proportion to their demand. It
// drops the nodes without an ask for SlotLife and without reserved slots.
func (l *Allocator) refill(now time.Time, lim Limit) {
	if !l.started {
		l.tokens, l.refilledAt, l.started = lim.Burst, now, true
	}
	added := lim.Rate * max(0, now.Sub(l.refilledAt)).Seconds()
	l.refilledAt = now
	l.tokens = math.Min(lim.Burst, l.tokens+added)
	totalDemand := 0.0
	for name, acc := range l.nodes {
		switch sinceAsk := now.Sub(acc.lastAsk); {
		case sinceAsk > SlotLife && now.After(acc.slotsUntil):
			delete(l.nodes, name)
		case sinceAsk > demandTimeout:
			acc.demand, acc.credit = 0, 0
		default:
			totalDemand += acc.demand
		}
	}
	for _, acc := range l.nodes {
		if totalDemand > 0 {
			demandShare := acc.demand / totalDemand
			acc.credit = math.Min(acc.credit+added*demandShare, math.Max(1, lim.Rate*demandShare*grantHorizon.Seconds()))
		}
	}
}

// creditOfOthers returns the total credit of all nodes except acc.
func (l *Allocator) creditOfOthers(acc *account) float64 {
	sum := 0.0
	for _, o := range l.nodes {
		if o != acc {
			sum += o.credit
		}
	}
	return sum
}

// Grant answers a node's ask. When tokens are scarce, each node gets a share in proportion to its demand.
func (l *Allocator) Grant(now time.Time, lim Limit, node string, a Ask) Grant {
	acc, ok := l.nodes[node]
	if !ok {
		acc = &account{}
		l.nodes[node] = acc
	}
	acc.lastAsk = now
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
	g.Tokens = math.Floor(math.Min(a.Want, math.Max(0, l.tokens-l.creditOfOthers(acc))))
	l.tokens -= g.Tokens
	acc.credit = math.Max(0, acc.credit-g.Tokens)
	if g.Tokens <= 0 {
		missing := 1 + l.creditOfOthers(acc) - l.tokens
		g.RetryAfter = time.Duration(missing / lim.Rate * float64(time.Second))
	}
	return g
}

// grantSlots reserves concurrency for a node. A node never gets less than it has in flight, since requests in flight
// can't be taken back.
func (l *Allocator) grantSlots(now time.Time, lim Limit, acc *account, a Ask) int {
	if lim.Concurrency <= 0 {
		return a.WantSlots
	}
	reservedByOthers := 0
	for _, o := range l.nodes {
		if o != acc && !now.After(o.slotsUntil) {
			reservedByOthers += o.slots
		}
	}
	previous := acc.slots
	if now.After(acc.slotsUntil) {
		previous = 0
	}
	acc.slots = max(a.InFlight, min(a.WantSlots, lim.Concurrency-reservedByOthers))
	lowUse := float64(reservedByOthers+acc.slots) <= lowUseShare*float64(lim.Concurrency)
	switch {
	case !lowUse:
		acc.slotLife = SlotLife
	case previous > 0 && acc.slotLife >= LowUseSlotLife && steady(previous, a.WantSlots):
		acc.slotLife = min(2*acc.slotLife, SteadySlotLife)
	default:
		acc.slotLife = LowUseSlotLife
	}
	acc.slotsUntil = now.Add(acc.slotLife)
	return acc.slots
}

// steady reports whether the number of slots wanted differs little from the number reserved.
func steady(reserved, want int) bool {
	diff := math.Abs(float64(want - reserved))
	return want > 0 && diff <= math.Max(1, steadyChange*float64(reserved))
}

// DropNode frees the reservations of a node that was lost.
func (l *Allocator) DropNode(node string) { delete(l.nodes, node) }

// Reserved reports whether concurrency is reserved for any node, so that the allocator must not be discarded.
func (l *Allocator) Reserved(now time.Time) bool {
	for _, acc := range l.nodes {
		if acc.slots > 0 && !now.After(acc.slotsUntil) {
			return true
		}
	}
	return false
}
