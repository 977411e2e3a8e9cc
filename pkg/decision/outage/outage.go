// Package outage measures for how long a service has not answered while this process was there to see it.
//
// A process that is stopped, or not scheduled, makes no calls and reads no answers: a gap of its own is no evidence that the service was
// away. Only the time between two looks that follow each other closely counts.
package outage

import "time"

const (
	// LookInterval is the time between two looks of a process that runs.
	LookInterval = 50 * time.Millisecond
	// maxStep is how much of the time between two looks counts at most: a process that is merely busy is late by one interval.
	maxStep = 2 * LookInterval
)

// Meter measures one outage at a time. The zero value measures none. It is not safe for concurrent use.
type Meter struct {
	running bool
	lookAt  time.Time
	seen    time.Duration
}

// Begin starts an outage, unless one is in progress: the process calls the service and has no answer.
func (m *Meter) Begin(now time.Time) {
	if !m.running {
		*m = Meter{running: true, lookAt: now}
	}
}

// Look counts the time since the last look, and reports whether an outage is in progress.
func (m *Meter) Look(now time.Time) bool {
	if !m.running {
		return false
	}
	m.seen += min(max(0, now.Sub(m.lookAt)), maxStep)
	m.lookAt = now
	return true
}

// End ends the outage, if there is one, and returns how much of it this process has seen.
func (m *Meter) End(now time.Time) time.Duration {
	m.Look(now)
	seen := m.seen
	*m = Meter{}
	return seen
}
