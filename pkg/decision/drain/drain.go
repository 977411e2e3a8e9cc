// Package drain decides which requests a stopping node still accepts, so that none of them is without an answer when the process
// ends.
//
// It is made for this load pattern: callers go on using the node, over open connections and cached addresses, while upstreams are
// silent or slow, so that a run can last as long as its caller waits.
package drain

import "time"

const (
	// longRunFactor times the usual duration is how long nearly all runs take; runSlack is what a second attempt may add.
	longRunFactor, runSlack = 2, time.Second
	// lateRequest is how long after the last new caller its request is awaited, before the node stops for lack of requests.
	lateRequest = 800 * time.Millisecond
	// lateCallerPart of the drain is how long callers are accepted whose requests may outlast it, at most, and quietPart how long the node
	// waits for callers before it stops for lack of requests. The first is shorter since such requests need the rest of the drain.
	lateCallerPart, quietPart = 0.4, 0.5
)

// Plan is the schedule of a drain. The zero value is that of a node that does not drain.
type Plan struct {
	Begun time.Time
	// LateCallers is until when callers that could not learn of the drain are accepted if a usual run fits.
	LateCallers time.Time
	// Quiet is from when on the node stops as soon as no request is in progress.
	Quiet time.Time
	// End is when the requests that are still in progress are ended.
	End time.Time
}

// NewPlan returns the schedule of a drain that begins at a moment and takes a limited time. Callers may use the node's address until
// addressesEnd; they are waited for during a part of the time at most, which leaves the rest for their requests.
func NewPlan(begun time.Time, limit time.Duration, addressesEnd time.Time) Plan {
	return Plan{
		Begun:       begun,
		LateCallers: earlier(addressesEnd, begun.Add(time.Duration(lateCallerPart*float64(limit)))),
		Quiet:       earlier(addressesEnd.Add(lateRequest), begun.Add(time.Duration(quietPart*float64(limit)))),
		End:         begun.Add(limit),
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Verdict is the decision on a request.
type Verdict string

const (
	// Whole means that the request may wait as long as its caller does.
	Whole Verdict = "whole"
	// Usual means that the answer comes in time unless the run takes unusually long.
	Usual Verdict = "usual"
	// Refused means that the node would have to end the request before its deadline.
	Refused Verdict = "refused"
)

// Admit decides on a request that has been read and whose caller waits until deadline; usual is the usual duration of its run. While
// callers come that could not learn of the drain, they are served if a usual run ends in time. Later ones have other nodes to go to, and
// are accepted only if the drain leaves them all the time for which they wait.
func (p Plan) Admit(now, deadline time.Time, usual time.Duration) Verdict {
	switch {
	case p.End.IsZero() || !deadline.After(p.End):
		return Whole
	case now.Before(p.LateCallers) && !now.Add(longRunFactor*usual+runSlack).After(p.End):
		return Usual
	}
	return Refused
}
