package jobstate

import "time"

// Ending is how one run of an item ended.
type Ending string

const (
	// EndAnswered means that the item got its final answer.
	EndAnswered Ending = "answered"
	// EndRefused means that the answer asks to try again, such as 429 or 5xx.
	EndRefused Ending = "refused"
	// EndNotStarted means that no upstream began the run.
	EndNotStarted Ending = "not-started"
	// EndInterrupted means that the run may have begun but gave no complete answer.
	EndInterrupted Ending = "interrupted"
	// EndCrashed means that the upstream crashed during this and other runs, EndCrashedAlone that it crashed during
	// this run only.
	EndCrashed      Ending = "died"
	EndCrashedAlone Ending = "died-alone"
	// EndCrashExcused means that the upstream crashed for a cause other than the run.
	EndCrashExcused Ending = "died-excused"
	// EndPreempted means that an online request took the slot.
	EndPreempted Ending = "preempted"
)

// MaxCharge is the total charge at which an item fails with an error of its own. An ordinary failure charges
// attemptCharge. A crash of an upstream that ran other items too charges only crashCharge, since most of these items did
// not cause it.
const (
	MaxCharge     = 6
	attemptCharge = 2
	crashCharge   = 1
)

// Limits of the delay between the attempts of an item.
const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// Step is what to do after a run of an item.
type Step struct {
	// Record is set if the answer or error becomes the item's result; otherwise the item is run again after Delay.
	Record bool
	// Unknown is set if the result is an error with outcome unknown.
	Unknown bool
	// Charge is the item's charge after the run.
	Charge int
	Delay  time.Duration
}

// AfterRun decides what to do after a run. charge is the item's charge so far. failures is the number of consecutive runs
// without an answer, which determines the delay. A non-idempotent item runs again only if no upstream began it.
func AfterRun(e Ending, nonIdempotent bool, charge, failures int) Step {
	if nonIdempotent {
		switch e {
		case EndAnswered, EndRefused:
			return Step{Record: true, Charge: charge}
		case EndNotStarted:
			return Step{Charge: charge, Delay: retryDelay(failures)}
		}
		return Step{Record: true, Unknown: true, Charge: charge}
	}
	switch e {
	case EndAnswered:
		return Step{Record: true, Charge: charge}
	case EndPreempted:
		return Step{Charge: charge}
	case EndNotStarted, EndCrashExcused:
		// An upstream that was lost is not the item's fault. The completion window limits these retries.
		return Step{Charge: charge, Delay: retryDelay(failures)}
	case EndCrashed:
		charge += crashCharge
	default:
		charge += attemptCharge
	}
	if charge >= MaxCharge {
		return Step{Record: true, Charge: charge}
	}
	return Step{Charge: charge, Delay: retryDelay(failures)}
}

// retryDelay returns minRetryDelay doubled for each failure, up to maxRetryDelay.
func retryDelay(failures int) time.Duration {
	const maxShift = 6
	return min(minRetryDelay<<min(max(failures, 0), maxShift), maxRetryDelay)
}
