// Package retry decides whether a failed attempt of an online request is repeated on another upstream.
package retry

import "time"

const (
	// DefaultShare is the number of retries allowed per recent success. With a third of the upstreams failing,
	// upstream calls stay below 1.1 times the caller calls.
	DefaultShare = 0.08
	// Window is how long successes and retries count as recent.
	Window = 10 * time.Second
	// RetryReserve is the number of retries allowed per Window in addition, even without any success, so that a node with
	// little traffic can retry at all.
	RetryReserve = 2
	// MaxRuns limits the attempts of one request that an upstream may have begun, MaxAttempts all its attempts. The
	// second limit is higher because an attempt that no upstream began costs no upstream work, and several upstreams
	// may be down at once.
	MaxRuns     = 4
	MaxAttempts = 8
	// MinTimeLeft is the time that must remain before the deadline for another attempt to be useful.
	MinTimeLeft = 5 * time.Millisecond

	firstRetryDelay = 5 * time.Millisecond
	maxRetryDelay   = 200 * time.Millisecond

	windowSlots = 10
)

// Budget limits retries to a share of the successes within Window plus a reserve. It is not safe for concurrent use.
type Budget struct {
	share     float64
	reserve   float64
	successes [windowSlots]int
	retries   [windowSlots]int
	// tick is the number of the newest slot, counted from the Unix epoch.
	tick int64
}

// NewBudget returns a budget that allows, within each Window, share times the number of successes plus reserve
// retries.
func NewBudget(share, reserve float64) *Budget { return &Budget{share: share, reserve: reserve} }

// advance clears the slots that have left the window and returns the index of the current slot.
func (b *Budget) advance(now time.Time) int {
	tick := now.UnixNano() / int64(Window/windowSlots)
	if tick-b.tick >= windowSlots {
		b.successes, b.retries = [windowSlots]int{}, [windowSlots]int{}
		b.tick = tick
	}
	for b.tick < tick {
		b.tick++
		b.successes[b.tick%windowSlots], b.retries[b.tick%windowSlots] = 0, 0
	}
	return int(b.tick % windowSlots)
}

// RecordSuccess counts a request that succeeded.
func (b *Budget) RecordSuccess(now time.Time) { b.successes[b.advance(now)]++ }

// Take counts one retry if the budget allows it, and reports whether it does.
func (b *Budget) Take(now time.Time) bool {
	slot := b.advance(now)
	if spent, limit := b.Usage(); float64(spent)+1 > limit {
		return false
	}
	b.retries[slot]++
	return true
}

// Usage returns the number of retries spent within the window and its limit.
func (b *Budget) Usage() (spent int, limit float64) {
	successes := 0
	for i := range windowSlots {
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
	// Repeatable is set when the request may run more than once.
	Repeatable bool
	// PartlyAnswered is set when part of the answer was sent to the caller and another run can't continue it.
	PartlyAnswered bool
	// UpstreamCrashed is set when the upstream crashed during this attempt and had not crashed shortly before it began.
	// Crashes counts the attempts of the request during which an upstream crashed.
	UpstreamCrashed bool
	Crashes         int
	// TimeLeft is the time left until the deadline.
	TimeLeft time.Duration
}

// Decision says whether, when and why a failed attempt is repeated.
type Decision struct {
	Retry bool
	// Delay is the time to wait before the next attempt.
	Delay  time.Duration
	Reason string
}

// Decide decides whether a failed attempt is repeated. random is uniform in [0,1) and varies the delay. The first retry
// after a crash of the upstream does not count against the budget, since all requests on that upstream except the one
// that caused the crash need exactly one. Neither does a retry after an attempt that no upstream began, since it adds
// no upstream call.
func Decide(a Attempt, b *Budget, now time.Time, random float64) Decision {
	refuse := func(reason string) Decision { return Decision{Reason: reason} }
	switch {
	case a.PartlyAnswered:
		return refuse("part of the answer was already sent to the caller")
	case a.Runs > 0 && !a.Repeatable:
		return refuse("an upstream may have begun the request, which must not run twice")
	case a.Number >= MaxAttempts || a.Runs >= MaxRuns:
		return refuse("the limit of attempts is reached")
	}
	delay := min(firstRetryDelay<<(a.Number-1), maxRetryDelay)
	delay = delay/2 + time.Duration(random*float64(delay))
	if a.TimeLeft < delay+MinTimeLeft {
		return refuse("too little time before the deadline")
	}
	switch {
	case !a.Started:
		return Decision{Retry: true, Delay: delay, Reason: "no upstream began the attempt"}
	case a.UpstreamCrashed && a.Crashes == 1:
		return Decision{Retry: true, Delay: delay, Reason: "first crash of an upstream during the request"}
	case !b.Take(now):
		return refuse("retry budget exhausted")
	}
	return Decision{Retry: true, Delay: delay, Reason: "repeatable and within the budget"}
}
