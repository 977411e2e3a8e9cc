package store

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Default budgets of one node. The store sustains several hundred writes and 2,000 reads a second for the whole
// fleet; few nodes are busy at the same time.
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

// reserve is the part of the burst that calls of a priority leave to more urgent ones.
var reserve = [...]float64{PriorityLease: 0, PriorityData: 0.2, PriorityStatus: 0.5}

type priorityKey struct{}

// WithPriority returns a context whose store calls have priority p. Without it a call has PriorityData.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

func priorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok && p >= PriorityLease && p <= PriorityStatus {
		return p
	}
	return PriorityData
}

// budget is a token bucket of which each priority may use a part.
type budget struct {
	mu      sync.Mutex
	limiter *rate.Limiter
}

// newBudget returns a budget of perSecond calls with a burst of two seconds' worth.
func newBudget(perSecond, preset float64) *budget {
	if perSecond <= 0 {
		perSecond = preset
	}
	return &budget{limiter: rate.NewLimiter(rate.Limit(perSecond), max(2, int(2*perSecond)))}
}

// take waits until the call's priority may use a token.
func (b *budget) take(ctx context.Context) error {
	p := priorityOf(ctx)
	for {
		wait := b.try(p, time.Now())
		if wait == 0 {
			return nil
		}
		calls.Add("budget_waits", 1)
		if err := sleep(ctx, wait); err != nil {
			return err
		}
	}
}

// try takes a token, or returns how long the bucket needs to hold enough of them.
func (b *budget) try(p Priority, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	need := 1 + reserve[p]*float64(b.limiter.Burst()-1)
	missing := need - b.limiter.TokensAt(now)
	if missing <= 0 {
		b.limiter.AllowN(now, 1)
		return 0
	}
	return max(time.Millisecond, time.Duration(missing/float64(b.limiter.Limit())*float64(time.Second)))
}
