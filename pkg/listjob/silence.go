package listjob

import (
	"context"
	"errors"
	"sync"
	"time"

	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/reach"
	"trefoilplank.example/pkg/forward"
)

const (
	// firstEventTimeout is how long a run may send no event at first before the item continues at another upstream: engines
	// queue for less than two seconds. Between events it is paceTimeout times the usual time for one, at least
	// reach.SoundSilence; both double with each run of the item that broke off, up to maxEventTimeout, since an engine may be
	// slow and sound.
	firstEventTimeout = 2500 * time.Millisecond
	paceTimeout       = 8
	maxEventTimeout   = 6 * time.Second
	// minCheckDelay is the least silence between events after which a connection to the upstream is tried.
	minCheckDelay = 700 * time.Millisecond
)

// eventTimeouts are the bounds on the silence of a run: before its first event, and between events until the upstream is checked
// and until the run is given up.
type eventTimeouts struct{ first, check, between time.Duration }

// newEventTimeouts returns the bounds for a run of an item of which brokenRuns runs broke off. pace is the usual time for an event
// of the service.
func newEventTimeouts(pace time.Duration, brokenRuns int) eventTimeouts {
	const maxDoublings = 3
	doublings := min(brokenRuns, maxDoublings)
	limit := func(d time.Duration) time.Duration { return min(d<<doublings, max(d, maxEventTimeout)) }
	between := min(paceTimeout*pace, maxEventTimeout)
	return eventTimeouts{limit(firstEventTimeout), limit(max(minCheckDelay, between)), limit(max(reach.SoundSilence, between))}
}

// maxRunStep is how much of the time between two looks at a runClock counts at most: the process was late by one interval, not stopped.
const maxRunStep = 2 * checkInterval

// runClock measures the time in which this process ran. What an upstream sent while the process was stopped or not scheduled lies unread, so
// that time is no silence of the upstream. It is looked at each checkInterval.
type runClock struct {
	mu     sync.Mutex
	lookAt time.Time
	ran    time.Duration
	// gapAt is when a look last found that the process had not run.
	gapAt time.Time
}

// look returns the time in which the process ran.
func (r *runClock) look(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if step := now.Sub(r.lookAt); step > 0 {
		r.ran += min(step, maxRunStep)
		r.lookAt = now
		if step > maxRunStep {
			r.gapAt = now
		}
	}
	return r.ran
}

// hasCaughtUp reports whether the process has run for long enough to read what arrived before.
func (r *runClock) hasCaughtUp(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.gapAt) >= checkInterval
}

// silenceWatch gives a run up if its upstream sends no event for too long, or if it is silent and can't be connected to.
type silenceWatch struct {
	clock    *runClock
	timeouts eventTimeouts

	mu sync.Mutex
	// heardAt is the time by clock at which the last event arrived or, before the first one, the run was sent. arrivals counts the calls
	// of heard.
	heardAt       time.Duration
	arrivals      int
	stopped       bool
	giveUp, check *time.Timer
}

// watchSilence watches a run that is sent now, until stop is called.
func (c *Controller) watchSilence(ctx context.Context, u dispatch.Upstream, t eventTimeouts, giveUp func()) *silenceWatch {
	w := &silenceWatch{clock: &c.ran, timeouts: t, heardAt: c.ran.look(time.Now())}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.giveUp = time.AfterFunc(t.first, func() {
		if w.giveUpDue(time.Now()) {
			giveUp()
		}
	})
	w.check = time.AfterFunc(t.first, func() {
		begun, due := w.checkDue(time.Now())
		if !due {
			return
		}
		result := c.options.Diagnose(ctx, u.Address)
		if result == uplink.Reached || ctx.Err() != nil || !w.stillSilent(begun, time.Now()) {
			return
		}
		c.options.Log.Notice("upstream of a run is silent and can't be connected to", "upstream", u.ID, "result", result)
		giveUp()
	})
	return w
}

// giveUpDue reports whether the run must be given up. If not, the timer runs on.
func (w *silenceWatch) giveUpDue(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.timeouts.first
	if w.arrivals > 0 {
		limit = w.timeouts.between
	}
	return w.isDue(w.giveUp, limit, now)
}

// checkBegin is the state at which a check of the upstream began; ran is the time of the clock.
type checkBegin struct {
	at       time.Time
	ran      time.Duration
	arrivals int
}

// checkDue reports whether the upstream must be checked. If not, the timer runs on.
func (w *silenceWatch) checkDue(now time.Time) (checkBegin, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.timeouts.first
	if w.arrivals > 0 {
		limit = w.timeouts.check
	}
	due := w.isDue(w.check, limit, now)
	return checkBegin{now, w.clock.look(now), w.arrivals}, due
}

// isDue reports whether the silence has reached limit; otherwise it sets the timer to what is left. The caller holds w.mu.
func (w *silenceWatch) isDue(timer *time.Timer, limit time.Duration, now time.Time) bool {
	if w.stopped {
		return false
	}
	left := limit - (w.clock.look(now) - w.heardAt)
	if !w.clock.hasCaughtUp(now) {
		left = max(left, checkInterval)
	}
	if left > 0 {
		timer.Reset(left)
		return false
	}
	return true
}

// stillSilent reports whether no events arrived during a check that failed, which takes as long as its connects. If this process was stopped
// meanwhile, so that neither events nor the connect were read, the check is made again.
func (w *silenceWatch) stillSilent(begun checkBegin, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.arrivals != begun.arrivals {
		return false
	}
	if gap := now.Sub(begun.at) - (w.clock.look(now) - begun.ran); gap > maxRunStep {
		w.check.Reset(checkInterval)
		return false
	}
	return true
}

// heard records that events arrived.
func (w *silenceWatch) heard(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.heardAt, w.arrivals = w.clock.look(now), w.arrivals+1
	w.giveUp.Reset(w.timeouts.between)
	w.check.Reset(w.timeouts.check)
}

// stop ends the watch and returns for how long no event had arrived.
func (w *silenceWatch) stop(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.giveUp.Stop()
	w.check.Stop()
	return w.clock.look(now) - w.heardAt
}

// holdSilent delays the next run of an item whose run was stopped, with err, while its upstream was silent: that one goes on with the item
// until it reads the end of the run, or begins it then if it had not read the request. The caller holds the job's lock.
func (c *Controller) holdSilent(it *item, u dispatch.Upstream, err error) {
	silent := it.silentFor
	if errors.Is(err, forward.ErrNotRun) || silent < reach.SilenceLimit || silent >= reach.SoundSilence {
		return
	}
	it.notBefore = time.Now().Add(reach.SoundSilence - silent)
	c.options.Log.Routine("item waits, since its upstream is silent", "job", it.job.head.ID, "item", it.ID, "upstream", u.ID, "silent_ms", silent.Milliseconds())
}
