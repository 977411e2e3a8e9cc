// Package health tracks the health of upstreams from the results of regular requests and of load polls. It ejects an
// upstream on evidence of failure and returns it to service by a slow start.
package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/serving"
)

const (
	// ejectScore is the amount of evidence at which an upstream is ejected. Evidence halves every halfLife, and one
	// success removes the fraction successRelief of it, so that single failures under load do not eject.
	ejectScore    = 2.0
	halfLife      = 5 * time.Second
	successRelief = 0.5
	// An upstream that answers with errors is ejected when more than the fraction maxFailureRatio of at least minRatioRuns
	// recent runs failed. These limits are high, since the requests of one caller may fail on every upstream.
	minRatioRuns    = 20
	maxFailureRatio = 0.8
	// baseEjection is the duration of a first ejection. It doubles, up to maxEjection, with each ejection that follows
	// within forgetAfter of the return.
	baseEjection = 2 * time.Second
	maxEjection  = time.Minute
	forgetAfter  = time.Minute
	// slowStart is how long an upstream gets less than its usual work after its return. Its share rises from
	// slowStartShare to 1.
	slowStart      = 10 * time.Second
	slowStartShare = 0.1
)

// evidenceWeights holds the evidence that each result adds. Results that are not listed are not failures. Two refused
// connections or two crashes eject; a rejected request is no evidence but counts as a failed run.
var evidenceWeights = map[serving.RunResult]float64{
	serving.RunNotStarted: 1, serving.RunCrashed: 1, serving.RunRejected: 0,
}

// Tracker tracks the health of one upstream. It is not safe for concurrent use.
type Tracker struct {
	state  blackboard.UpstreamHealth
	since  time.Time
	reason string
	// score is the evidence of failure, runs and failures count recent runs. All three are decayed up to decayedAt.
	score     float64
	decayedAt time.Time
	runs      float64
	failures  float64
	// ejections is the number of consecutive ejections, each within forgetAfter of the previous return.
	ejections    int
	ejectedUntil time.Time
	// polled is set once the upstream has answered a poll. It then returns from an ejection only after another
	// answered poll, which sets answered.
	polled, answered bool
	leaving          bool
}

// New returns a tracker of an upstream that is assumed to be ready.
func New(now time.Time) *Tracker {
	return &Tracker{state: blackboard.HealthReady, since: now, reason: "no failure seen", decayedAt: now}
}

// State returns the current state, when it began and the reason for it.
func (t *Tracker) State() (blackboard.UpstreamHealth, time.Time, string) {
	return t.state, t.since, t.reason
}

// WorkShare returns the share of its usual work that the upstream may get: 0 when ejected or leaving, rising from
// slowStartShare to 1 during a slow start.
func (t *Tracker) WorkShare(now time.Time) float64 {
	return WorkShare(t.state, now.Sub(t.since))
}

// WorkShare returns the share of its usual work that an upstream may get after it has been in state for timeInState.
func WorkShare(state blackboard.UpstreamHealth, timeInState time.Duration) float64 {
	switch state {
	case blackboard.HealthEjected, blackboard.HealthLeaving:
		return 0
	case blackboard.HealthSlowStart:
		return math.Max(slowStartShare, math.Min(1, float64(timeInState)/float64(slowStart)))
	}
	return 1
}

// decay halves the evidence and the counts of runs for each halfLife since the last call.
func (t *Tracker) decay(now time.Time) {
	if elapsed := now.Sub(t.decayedAt); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(halfLife))
		t.score, t.runs, t.failures, t.decayedAt = t.score*factor, t.runs*factor, t.failures*factor, now
	}
}

// RecordRun records the result of a run and reports whether the state changed.
func (t *Tracker) RecordRun(now time.Time, result serving.RunResult, random *rand.Rand) bool {
	if result == serving.RunCancelled || result == "" {
		return t.Advance(now)
	}
	t.decay(now)
	t.runs++
	weight, failed := evidenceWeights[result]
	if !failed {
		t.score *= 1 - successRelief
		return t.Advance(now)
	}
	t.failures++
	t.score += weight
	// The tolerance of 0.1 covers the decay between two results in close succession.
	if weight > 0 && t.score > ejectScore-0.1 {
		return t.eject(now, fmt.Sprintf("evidence %.1f after a run that ended %q", t.score, result), random)
	}
	if t.runs >= minRatioRuns && t.failures/t.runs > maxFailureRatio {
		return t.eject(now, fmt.Sprintf("%.0f %% of recent runs failed", 100*t.failures/t.runs), random)
	}
	return t.Advance(now)
}

// RecordPoll records the result of a load poll and reports whether the state changed. A failed poll counts like a
// refused connection.
func (t *Tracker) RecordPoll(now time.Time, ok bool, random *rand.Rand) bool {
	if !ok {
		t.answered = false
		return t.RecordRun(now, serving.RunNotStarted, random)
	}
	t.polled, t.answered = true, true
	return t.Advance(now)
}

// SetLeaving sets or clears the mark that the upstream is leaving, and reports whether the state changed. A leaving
// upstream gets no new requests from then on.
func (t *Tracker) SetLeaving(now time.Time, leaving bool, why string) bool {
	switch {
	case leaving && !t.leaving:
		t.leaving = true
		t.setState(now, blackboard.HealthLeaving, why)
		return true
	case !leaving && t.leaving:
		t.leaving = false
		t.setState(now, blackboard.HealthSlowStart, "no longer leaving")
		return true
	}
	return false
}

// Advance ends an ejection or a slow start that is over and reports whether the state changed.
func (t *Tracker) Advance(now time.Time) bool {
	switch {
	case t.state == blackboard.HealthEjected && !now.Before(t.ejectedUntil) && (!t.polled || t.answered):
		t.score, t.runs, t.failures = 0, 0, 0
		t.setState(now, blackboard.HealthSlowStart, "ejection is over")
		return true
	case t.state == blackboard.HealthSlowStart && now.Sub(t.since) >= slowStart:
		t.setState(now, blackboard.HealthReady, "slow start is over")
		return true
	case t.state == blackboard.HealthReady && t.ejections > 0 && now.Sub(t.since) >= forgetAfter:
		t.ejections = 0
	}
	return false
}

// eject ejects an upstream that is neither ejected nor leaving, and reports whether it did.
func (t *Tracker) eject(now time.Time, why string, random *rand.Rand) bool {
	if t.state == blackboard.HealthEjected || t.state == blackboard.HealthLeaving {
		return false
	}
	duration := min(maxEjection, baseEjection<<min(t.ejections, 6))
	// Random jitter of up to a quarter keeps upstreams that were ejected together from returning together.
	duration += time.Duration(random.Float64() * 0.25 * float64(duration))
	t.ejections++
	t.ejectedUntil = now.Add(duration)
	t.answered = false
	t.setState(now, blackboard.HealthEjected, why)
	return true
}

func (t *Tracker) setState(now time.Time, s blackboard.UpstreamHealth, why string) {
	t.state, t.since, t.reason = s, now, why
}

// Worse reports whether a allows less work than b.
func Worse(a, b blackboard.UpstreamHealth) bool { return severity(a) > severity(b) }

// severity ranks the states; a higher rank allows less work.
func severity(s blackboard.UpstreamHealth) int {
	switch s {
	case blackboard.HealthLeaving:
		return 3
	case blackboard.HealthEjected:
		return 2
	case blackboard.HealthSlowStart:
		return 1
	}
	return 0
}
