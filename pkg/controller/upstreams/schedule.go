package upstreams

import (
	"context"
	"time"

	"trefoilplank.example/pkg/blackboard"
)

// pollSchedule holds the poll intervals of one upstream and the times of its last polls.
type pollSchedule struct {
	interval         time.Duration
	steady           bool
	stateAt, cacheAt time.Time
}

// setInterval sets the time until the next load poll: base, or 1.5 times the last interval while the upstream is steady,
// up to steadyLoadInterval.
func (p *pollSchedule) setInterval(base time.Duration, steady bool) {
	p.steady = steady
	if !steady || p.interval < base {
		p.interval = base
		return
	}
	p.interval = min(p.interval+p.interval/2, max(base, steadyLoadInterval))
}

// stateInterval returns the time between state polls.
func (p *pollSchedule) stateInterval() time.Duration {
	if p.steady {
		return steadyStateInterval
	}
	return stateInterval
}

// wait waits for the next poll and returns false when ctx ends. A value on pollNow ends the wait; if the upstream was
// steady, the state is then polled as well.
func (p *pollSchedule) wait(ctx context.Context, pollNow <-chan struct{}) bool {
	timer := time.NewTimer(p.interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-pollNow:
		if p.steady {
			p.stateAt = time.Time{}
		}
		p.interval, p.steady = 0, false
	}
	return true
}

// loadTolerance sets by how many runs a load report, which may be out of date, may differ from the owner's count: by one
// run per loadTolerance slots, and at least by one.
const loadTolerance = 8

// steady reports whether an upstream is ready, is not loading anything, and runs what its owner admitted: the reported
// load must fit the owner's counts before the poll and now.
func (o *Observer) steady(name string, l Load, before int) bool {
	if o.Runs == nil {
		return false
	}
	after := o.Runs(name)
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.entry(name)
	if e.currentStatus(time.Now()).Health != blackboard.HealthReady || time.Now().Before(e.frequentUntil) {
		return false
	}
	if e.engine != nil && len(e.engine.Engine.Loading) > 0 {
		return false
	}
	tolerance := max(1, l.Slots/loadTolerance)
	reported := l.Running + l.Waiting
	return reported >= min(before, after)-tolerance && reported <= max(before, after)+tolerance
}

// PollNow polls an owned upstream at once and then often for frequentPollTime. It is called after a change that the
// load does not show, such as an order of the reconciler. It does nothing for an upstream that another node owns.
func (o *Observer) PollNow(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, ok := o.entries[upstream]; ok {
		e.requestPoll()
	}
}

// requestPoll requests a poll at once and frequent polls for frequentPollTime, if this node polls the upstream.
func (e *entry) requestPoll() {
	if e.stop == nil {
		return
	}
	first := time.Now().After(e.frequentUntil)
	e.frequentUntil = time.Now().Add(frequentPollTime)
	if !first {
		// Polls are frequent already. A burst of failed runs must not cause a poll for each run.
		return
	}
	select {
	case e.pollNow <- struct{}{}:
	default:
	}
}
