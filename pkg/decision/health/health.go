// Package health judges upstreams by the results of the work that they are given anyway. It ejects on evidence
// and brings an upstream back by a slow start.
package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/serving"
)

// Parameters of the judgement.
const (
	// ejectScore is the evidence that ejects. Evidence halves every halfLife, and one success removes
	// successRelief of it, so that single failures under load do not eject.
	ejectScore    = 2.0
	halfLife      = 5 * time.Second
	successRelief = 0.5
	// minRatioRuns and maxFailures eject an upstream that answers with errors. The bounds are high, since the
	// requests of one caller may be at fault on every upstream.
	minRatioRuns = 20
	maxFailures  = 0.8
	// baseEjection doubles with each ejection that follows within forgetAfter of the return.
	baseEjection = 2 * time.Second
	maxEjection  = time.Minute
	forgetAfter  = time.Minute
	// slowStart is how long a returned upstream gets a reduced part of its work, from slowStartPart on.
	slowStart     = 10 * time.Second
	slowStartPart = 0.1
)

// Weights of evidence. A refused connection is the strongest: two of them eject.
var weights = map[serving.RunResult]float64{
	serving.RunNotStarted: 1, serving.RunDied: 1, serving.RunRejected: 0,
}

// Tracker is the judgement on one upstream. It is not safe for concurrent use.
type Tracker struct {
	state     blackboard.UpstreamHealth
	since     time.Time
	reason    string
	score     float64
	scoredAt  time.Time
	runs      float64
	failures  float64
	ejections int
	until     time.Time
	// polled is set when the upstream answers polls; it then returns only after a poll succeeded.
	polled, answered bool
	leaving          bool
}

// New returns a tracker of an upstream that is believed ready.
func New(now time.Time) *Tracker {
	return &Tracker{state: blackboard.HealthReady, since: now, reason: "no failure seen", scoredAt: now}
}

// State returns the judgement, when it last changed and why.
func (t *Tracker) State() (blackboard.UpstreamHealth, time.Time, string) {
	return t.state, t.since, t.reason
}

// Part returns the part of its usual work that the upstream may get: 0 when ejected or leaving, rising from
// slowStartPart to 1 in a slow start.
func (t *Tracker) Part(now time.Time) float64 {
	return Part(t.state, now.Sub(t.since))
}

// Part is the part of its work that an upstream in the given state gets after the given time in it.
func Part(state blackboard.UpstreamHealth, in time.Duration) float64 {
	switch state {
	case blackboard.HealthEjected, blackboard.HealthLeaving:
		return 0
	case blackboard.HealthSlow:
		return math.Max(slowStartPart, math.Min(1, float64(in)/float64(slowStart)))
	}
	return 1
}

// decay reduces evidence by its age.
func (t *Tracker) decay(now time.Time) {
	if d := now.Sub(t.scoredAt); d > 0 {
		f := math.Exp2(-float64(d) / float64(halfLife))
		t.score, t.runs, t.failures, t.scoredAt = t.score*f, t.runs*f, t.failures*f, now
	}
}

// Report takes the result of a run. It reports whether the state changed.
func (t *Tracker) Report(now time.Time, r serving.RunResult, random *rand.Rand) bool {
	if r == serving.RunCancelled || r == "" {
		return t.Advance(now)
	}
	t.decay(now)
	t.runs++
	w, failed := weights[r]
	if !failed {
		t.score *= 1 - successRelief
		return t.Advance(now)
	}
	t.failures++
	t.score += w
	if w > 0 && t.score > ejectScore-0.1 {
		return t.eject(now, fmt.Sprintf("evidence %.1f after a run that ended %q", t.score, r), random)
	}
	if t.runs >= minRatioRuns && t.failures/t.runs > maxFailures {
		return t.eject(now, fmt.Sprintf("%.0f %% of recent runs failed", 100*t.failures/t.runs), random)
	}
	return t.Advance(now)
}

// Poll takes the result of a load poll. A failed poll is evidence like a refused connection.
func (t *Tracker) Poll(now time.Time, ok bool, random *rand.Rand) bool {
	if !ok {
		t.answered = false
		return t.Report(now, serving.RunNotStarted, random)
	}
	t.polled, t.answered = true, true
	return t.Advance(now)
}

// SetLeaving marks the upstream as leaving or takes the mark away. A leaving upstream gets nothing new at once.
func (t *Tracker) SetLeaving(now time.Time, leaving bool, why string) bool {
	switch {
	case leaving && !t.leaving:
		t.leaving = true
		t.set(now, blackboard.HealthLeaving, why)
		return true
	case !leaving && t.leaving:
		t.leaving = false
		t.set(now, blackboard.HealthSlow, "no longer leaving")
		return true
	}
	return false
}

// Advance ends ejections and slow starts that are over.
func (t *Tracker) Advance(now time.Time) bool {
	switch {
	case t.state == blackboard.HealthEjected && !now.Before(t.until) && (!t.polled || t.answered):
		t.score, t.runs, t.failures = 0, 0, 0
		t.set(now, blackboard.HealthSlow, "ejection is over")
		return true
	case t.state == blackboard.HealthSlow && now.Sub(t.since) >= slowStart:
		t.set(now, blackboard.HealthReady, "slow start is over")
		return true
	case t.state == blackboard.HealthReady && t.ejections > 0 && now.Sub(t.since) >= forgetAfter:
		t.ejections = 0
	}
	return false
}

func (t *Tracker) eject(now time.Time, why string, random *rand.Rand) bool {
	if t.state == blackboard.HealthEjected || t.state == blackboard.HealthLeaving {
		return false
	}
	d := min(maxEjection, baseEjection<<min(t.ejections, 6))
	// Jitter of a quarter keeps upstreams that were ejected together from returning together.
	d += time.Duration(random.Float64() * 0.25 * float64(d))
	t.ejections++
	t.until = now.Add(d)
	t.answered = false
	t.set(now, blackboard.HealthEjected, why)
	return true
}

func (t *Tracker) set(now time.Time, s blackboard.UpstreamHealth, why string) {
	t.state, t.since, t.reason = s, now, why
}

// Worse reports whether a allows less work than b.
func Worse(a, b blackboard.UpstreamHealth) bool { return order(a) > order(b) }

func order(s blackboard.UpstreamHealth) int {
	switch s {
	case blackboard.HealthLeaving:
		return 3
	case blackboard.HealthEjected:
		return 2
	case blackboard.HealthSlow:
		return 1
	}
	return 0
}
