package listjob

import (
	"context"
	"sync/atomic"
	"time"

	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/reach"
)

const (
	// firstEventTimeout is how long a run may send no event at first before the item continues at another upstream: engines
	// queue for less than two seconds. Between events it is paceTimeout times the usual time for one, at least
	// maxSoundSilence; both double with each run of the item that broke off, up to maxEventTimeout, since an engine may be
	// slow and sound.
	firstEventTimeout = 2500 * time.Millisecond
	paceTimeout       = 8
	maxEventTimeout   = 6 * time.Second
	// maxSoundSilence is how long an upstream that accepts connections may send nothing and still go on with what it runs: by the
	// platform, a sound replica may fall silent for a second or so.
	maxSoundSilence = 2 * time.Second
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
	return eventTimeouts{limit(firstEventTimeout), limit(max(minCheckDelay, between)), limit(max(maxSoundSilence, between))}
}

// silenceWatch gives a run up if its upstream sends no event for too long, or if it is silent and can't be connected to.
type silenceWatch struct {
	timeouts      eventTimeouts
	giveUp, check *time.Timer
	// arrivals counts the calls of heard.
	arrivals atomic.Int64
}

// watchSilence watches a run until stop is called.
func (c *Controller) watchSilence(ctx context.Context, u dispatch.Upstream, t eventTimeouts, giveUp func()) *silenceWatch {
	w := &silenceWatch{timeouts: t, giveUp: time.AfterFunc(t.first, giveUp)}
	w.check = time.AfterFunc(t.first, func() {
		arrivals := w.arrivals.Load()
		result := c.options.Diagnose(ctx, u.Address)
		// The upstream may have gone on during the check, which takes as long as its connects.
		if result == uplink.Reached || ctx.Err() != nil || w.arrivals.Load() != arrivals {
			return
		}
		c.options.Log.Notice("upstream of a run is silent and can't be connected to", "upstream", u.ID, "result", result)
		giveUp()
	})
	return w
}

// heard records that events arrived.
func (w *silenceWatch) heard() {
	w.arrivals.Add(1)
	w.giveUp.Reset(w.timeouts.between)
	w.check.Reset(w.timeouts.check)
}

func (w *silenceWatch) stop() {
	w.giveUp.Stop()
	w.check.Stop()
}

// holdSilent delays the next run of an item whose run was stopped while its upstream was silent: that one goes on with the item
// until it reads the end of the run. The caller holds the job's lock.
func (c *Controller) holdSilent(it *item, u dispatch.Upstream) {
	silent := time.Since(it.heardAt)
	if it.heardAt.IsZero() || silent < reach.SilenceLimit || silent >= maxSoundSilence {
		return
	}
	it.notBefore = time.Now().Add(maxSoundSilence - silent)
	c.options.Log.Routine("item waits, since its upstream is silent", "job", it.job.head.ID, "item", it.ID, "upstream", u.ID, "silent_ms", silent.Milliseconds())
}
