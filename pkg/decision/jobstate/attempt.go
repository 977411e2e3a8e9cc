package jobstate

import "time"

// Ending says how one run of an item ended.
type Ending string

// Endings of a run.
const (
	// EndAnswered is an answer that stands.
	EndAnswered Ending = "answered"
	// EndRefused is an answer that asks to come again, such as 429 or 5xx.
	EndRefused Ending = "refused"
	// EndNotStarted means that no upstream began the run.
	EndNotStarted Ending = "not-started"
	// EndInterrupted means that a run may have begun and gave no whole answer.
	EndInterrupted Ending = "interrupted"
	// EndDied means that the upstream died with several runs, EndDiedAlone with this run only.
	EndDied      Ending = "died"
	EndDiedAlone Ending = "died-alone"
	// EndPreempted means that online work took the slot.
	EndPreempted Ending = "preempted"
)

// MaxAttempts is the charge at which an item gets its own error. An ordinary failure charges attemptCharge. The
// death of an upstream that ran other items too charges less, since most of its items are innocent.
const (
	MaxAttempts   = 6
	attemptCharge = 2
	deathCharge   = 1
)

// Times between the attempts of an item.
const (
	retryMin = 500 * time.Millisecond
	retryMax = 30 * time.Second
)

// Step is what follows a run of an item.
type Step struct {
	// Record says that the answer or error is the item's result; otherwise the item is run again after Delay.
	Record bool
	// Unknown says that the result is an error with outcome unknown.
	Unknown bool
	// Attempts is the item's charge after the run.
	Attempts int
	Delay    time.Duration
}

// AfterRun decides what follows a run. attempts is the charge so far, failures the number of runs in a row
// without an answer, for the delay. A non-idempotent item runs again only if no upstream began it.
func AfterRun(e Ending, nonIdempotent bool, attempts, failures int) Step {
	if nonIdempotent {
		switch e {
		case EndAnswered, EndRefused:
			return Step{Record: true, Attempts: attempts}
		case EndNotStarted:
			return Step{Attempts: attempts, Delay: retryDelay(failures)}
		}
		return Step{Record: true, Unknown: true, Attempts: attempts}
	}
	switch e {
	case EndAnswered:
		return Step{Record: true, Attempts: attempts}
	case EndPreempted:
		return Step{Attempts: attempts}
	case EndNotStarted:
		// An unreachable upstream is no fault of the item; the completion window bounds these retries.
		return Step{Attempts: attempts, Delay: retryDelay(failures)}
	case EndDied:
		attempts += deathCharge
	default:
		attempts += attemptCharge
	}
	if attempts >= MaxAttempts {
		return Step{Record: true, Attempts: attempts}
	}
	return Step{Attempts: attempts, Delay: retryDelay(failures)}
}

// retryDelay doubles with each failure from retryMin to retryMax.
func retryDelay(failures int) time.Duration {
	const maxShift = 6
	return min(retryMin<<min(max(failures, 0), maxShift), retryMax)
}
