// Package quota decides whether a batch job fits into the limit on the tokens that may wait on a route, over all nodes.
//
// Each job records a claim in the store before it is admitted, which puts the claims of all nodes into one order. A job is
// admitted if it fits beside all earlier claims. Claims that arrive later are checked against this one, so the sum of the
// admitted claims never exceeds the limit, whichever nodes decide and however old their knowledge of finished items is.
package quota

import "time"

// Claim is the claim of a job on the limit of its route.
type Claim struct {
	Job string
	// Order is the store revision at which the claim was recorded.
	Order int64
	// Tokens is an upper bound of the tokens of the job's unfinished items.
	Tokens int64
}

// Verdict is the outcome of a decision.
type Verdict string

// Verdicts.
const (
	Admitted Verdict = "admitted"
	// Full means that the job does not fit at present.
	Full Verdict = "full"
	// TooLarge means that the job is larger than the limit and can never fit.
	TooLarge Verdict = "too large"
)

// Decision is a verdict and the values that it rests on.
type Decision struct {
	Verdict Verdict
	// Ahead is the sum of the tokens of the earlier claims, and Excess by how much the job exceeds the limit beside them.
	Ahead, Excess int64
}

// Decide decides on the claim own among the claims of all jobs on the route; a claim of the same job in claims is ignored.
func Decide(limit int64, own Claim, claims []Claim) Decision {
	d := Decision{Verdict: Admitted}
	for _, c := range claims {
		if c.Job != own.Job && c.Order < own.Order {
			d.Ahead += c.Tokens
		}
	}
	d.Excess = max(0, d.Ahead+own.Tokens-limit)
	switch {
	case own.Tokens > limit:
		d.Verdict = TooLarge
	case d.Excess > 0:
		d.Verdict = Full
	}
	return d
}

// minRetryAfter is the shortest time after which a refused job is invited again: nodes learn of finished items in about
// 0.3 s.
const minRetryAfter = 500 * time.Millisecond

// RetryAfter returns when a refused job is likely to fit: jobs that fill the limit take at most completion, so excess tokens
// are finished in that part of it.
func RetryAfter(limit, excess int64, completion time.Duration) time.Duration {
	if limit <= 0 {
		return minRetryAfter
	}
	return max(minRetryAfter, time.Duration(float64(completion)*min(1, float64(excess)/float64(limit))))
}
