package upstreams

import (
	"context"
	"time"

	"trefoilplank.example/pkg/blackboard"
)

// pace is the rhythm of the polls of one upstream.
type pace struct {
	interval         time.Duration
	steady           bool
	stateAt, cacheAt time.Time
}

// next sets the time to the next load poll: base, or up to steadyLoad by steps of a half while the upstream is steady.
func (p *pace) next(base time.Duration, steady bool) {
	p.steady = steady
	if !steady || p.interval < base {
		p.interval = base
		return
	}
	p.interval = min(p.interval+p.interval/2, max(base, steadyLoad))
}

// stateInterval is the time between state reads.
func (p *pace) stateInterval() time.Duration {
	if p.steady {
		return steadyState
	}
	return stateInterval
}

// wait waits for the next poll. A reason to look polls at once and reads the state too.
func (p *pace) wait(ctx context.Context, look <-chan struct{}) bool {
	timer := time.NewTimer(p.interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-look:
		if p.steady {
			p.stateAt = time.Time{}
		}
		p.interval, p.steady = 0, false
	}
	return true
}

// loadTolerance is the part of the slots by which a load report may differ from the owner's count, since it lags.
const loadTolerance = 8

// steady reports whether an upstream is ready, is not loading anything, and runs what its owner admitted, counted
// before the poll and now.
func (o *Observer) steady(name string, l Load, before int) bool {
	if o.Runs == nil {
		return false
	}
	after := o.Runs(name)
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.entry(name)
	if e.current(time.Now()).Health != blackboard.HealthReady || time.Now().Before(e.lookUntil) {
		return false
	}
	if e.engine != nil && len(e.engine.Engine.Loading) > 0 {
		return false
	}
	slack := max(1, l.Slots/loadTolerance)
	reported := l.Running + l.Waiting
	return reported >= min(before, after)-slack && reported <= max(before, after)+slack
}

// Look polls an owned upstream at once and often for lookLife: something that its load does not show has happened, as
// an order of the reconciler. It does nothing for an upstream that another node owns.
func (o *Observer) Look(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, ok := o.entries[upstream]; ok {
		e.lookNow()
	}
}

func (e *entry) lookNow() {
	if e.stop == nil {
		return
	}
	first := time.Now().After(e.lookUntil)
	e.lookUntil = time.Now().Add(lookLife)
	if !first {
		// The polls are frequent already; a burst of failed runs must not add one for each.
		return
	}
	select {
	case e.look <- struct{}{}:
	default:
	}
}
