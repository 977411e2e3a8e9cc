package store

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Default budgets of one node. The store sustains several hundred writes and 2,000 reads a second for the
// entire fleet; few nodes are busy at the same time.
const (
	DefaultReadsPerSecond  = 100
	DefaultWritesPerSecond = 50
)

// Priority orders the calls of one node when its budget is short.
type Priority int

// Priorities, most urgent first.
const (
	PriorityLease Priority = iota
	PriorityData
	PriorityStatus
)

// reservedShare is the fraction of the burst that calls of a priority leave to more urgent ones.
var reservedShare = [...]float64{PriorityLease: 0, PriorityData: 0.2, PriorityStatus: 0.5}

type priorityKey struct{}

// WithPriority returns a context whose store calls have priority p. Without it a call has PriorityData.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

// priorityOf returns the priority of ctx; a missing or invalid one is PriorityData.
func priorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok && p >= PriorityLease && p <= PriorityStatus {
		return p
	}
	return PriorityData
}

// budget is a token bucket of calls. Each priority may only use the tokens above its reserve.
type budget struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

// newBudget returns a budget of perSecond calls a second, or defaultPerSecond when perSecond is not positive, with a
// burst of two seconds' worth.
func newBudget(perSecond, defaultPerSecond float64) *budget {
	if perSecond <= 0 {
		perSecond = defaultPerSecond
	}
	return &budget{limiter: rate.NewLimiter(rate.Limit(perSecond), max(2, int(2*perSecond)))}
}

// acquire waits until the priority of ctx may use a token and takes it.
func (b *budget) acquire(ctx context.Context) error {
	p := priorityOf(ctx)
	for {
		wait := b.tryAcquire(p, time.Now())
		if wait == 0 {
			return nil
		}
		callCounts.Add("budget_waits", 1)
		if err := sleep(ctx, wait); err != nil {
			return err
		}
	}
}

// tryAcquire takes a token for a call of priority p and returns 0, or returns how long until the bucket holds enough
// tokens.
func (b *budget) tryAcquire(p Priority, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	need := 1 + reservedShare[p]*float64(b.limiter.Burst()-1)
	missing := need - b.limiter.TokensAt(now)
	if missing <= 0 {
		b.limiter.AllowN(now, 1)
		return 0
	}
	return max(time.Millisecond, time.Duration(missing/float64(b.limiter.Limit())*float64(time.Second)))
}
