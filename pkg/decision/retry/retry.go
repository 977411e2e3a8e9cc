// Package retry decides whether a failed attempt of an online request is repeated on another upstream.
package retry

import "time"

const (
	// DefaultShare is the part of recent successes that may be spent on retries. With a third of the
	// upstreams failing, upstream calls stay below 1.1 times the caller calls.
	DefaultShare = 0.08
	// Window is how long a success counts as recent.
	Window = 10 * time.Second
	// Reserve is the number of retries per window that are allowed without any success, so that a node with
	// little traffic can retry at all.
	Reserve = 2
	// MaxRuns bounds the attempts of one request that an upstream may have begun, MaxAttempts all of them. An
	// attempt that did not start costs no upstream work, and several upstreams may be down at once.
	MaxRuns     = 4
	MaxAttempts = 8
	// MinTimeLeft is the least time to the deadline for which another attempt is useful.
	MinTimeLeft = 5 * time.Millisecond

	firstDelay = 5 * time.Millisecond
	maxDelay   = 200 * time.Millisecond

	slots = 10
)

// Budget bounds retries to a share of the successes within Window. It is not safe for concurrent use.
type Budget struct {
	share     float64
	reserve   float64
	successes [slots]int
	retries   [slots]int
	// tick is the number of the newest slot since the zero time.
	tick int64
}

// NewBudget returns a budget of share of the recent successes plus reserve retries per window.
func NewBudget(share, reserve float64) *Budget { return &Budget{share: share, reserve: reserve} }

func (b *Budget) advance(now time.Time) int {
	tick := now.UnixNano() / int64(Window/slots)
	if tick-b.tick >= slots {
		b.successes, b.retries = [slots]int{}, [slots]int{}
		b.tick = tick
	}
	for b.tick < tick {
		b.tick++
		b.successes[b.tick%slots], b.retries[b.tick%slots] = 0, 0
	}
	return int(b.tick % slots)
}

// Success counts a request that succeeded.
func (b *Budget) Success(now time.Time) { b.successes[b.advance(now)]++ }

// Take spends one retry; false when the budget is exhausted.
func (b *Budget) Take(now time.Time) bool {
	i := b.advance(now)
	if spent, limit := b.Load(); float64(spent)+1 > limit {
		return false
	}
	b.retries[i]++
	return true
}

// Load returns the retries spent within the window and their limit.
func (b *Budget) Load() (spent int, limit float64) {
	successes := 0
	for i := range slots {
		spent += b.retries[i]
		successes += b.successes[i]
	}
	return spent, b.reserve + b.share*float64(successes)
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts the attempts made, including this one, and Runs those that an upstream may have begun.
	Number, Runs int
	// Started is set when an upstream may have begun this attempt.
	Started bool
	// Repeatable is set when running the request twice does no harm.
	Repeatable bool
	// PassedOn is set when a part of the answer went to the caller and no further run can be joined to it.
	PassedOn bool
	// Died is set when the upstream died under the request and had not died shortly before it began. Deaths counts all
	// deaths under the request.
	Died   bool
	Deaths int
	// Left is the time to the deadline.
	Left time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	Retry bool
	// Delay is the time to wait before the next attempt.
	Delay  time.Duration
	Reason string
}

// Decide judges a failed attempt. random is uniform in [0,1). The first retry after the death of an upstream is
// outside the budget, since all requests beside the one that caused it need exactly one. So is a retry after
// an attempt that no upstream began, since it adds no upstream call.
func Decide(a Attempt, b *Budget, now time.Time, random float64) Decision {
	refuse := func(reason string) Decision { return Decision{Reason: reason} }
	switch {
	case a.PassedOn:
		return refuse("a part of the answer was passed on")
	case a.Runs > 0 && !a.Repeatable:
		return refuse("an upstream may have begun it and it must not be repeated")
	case a.Number >= MaxAttempts || a.Runs >= MaxRuns:
		return refuse("no attempt left")
	}
	delay := min(firstDelay<<(a.Number-1), maxDelay)
	delay = delay/2 + time.Duration(random*float64(delay))
	if a.Left < delay+MinTimeLeft {
		return refuse("too little time before the deadline")
	}
	switch {
	case !a.Started:
		return Decision{Retry: true, Delay: delay, Reason: "no upstream began it"}
	case a.Died && a.Deaths == 1:
		return Decision{Retry: true, Delay: delay, Reason: "first death of an upstream under it"}
	case !b.Take(now):
		return refuse("retry budget exhausted")
	}
	return Decision{Retry: true, Delay: delay, Reason: "repeatable and within the budget"}
}
