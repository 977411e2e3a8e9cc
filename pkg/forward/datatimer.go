package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/reach"
	"trefoilplank.example/pkg/decision/routing"
)

// silenceCheckInterval is how often a request that bears the silence of its upstream is looked at again. It is under half of the
// time for which a run may go on at an upstream that the node reaches after another one has taken it over.
const silenceCheckInterval = 100 * time.Millisecond

// dataTimer cancels an attempt of a repeatable request when its upstream sends no data for too long.
type dataTimer struct {
	x        *exchange
	upstream dispatch.Upstream
	// others describes the request to placement, for the other upstreams.
	others dispatch.OnlineRequest
	cancel context.CancelCauseFunc
	// relayed is set once the attempt has a connection through another node.
	relayed atomic.Bool
	// pause is the limit between events, or 0 for none.
	pause time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// stopped is set once the attempt has ended, begun with the first event.
	stopped, begun bool
	// lastEvent is when the last event arrived, or the attempt was sent. quiet measures the silence since.
	lastEvent time.Time
	quiet     reach.Quiet
	// stalled is set if the timer was late when it fired last, since this process did not run.
	stalled bool
	// borne is set while the request must bear the silence, since the budget allowed no retry. unheard is set if the upstream was
	// unheard when the attempt was last looked at.
	borne, unheard bool
}

// Stop stops the timer, so that it no longer cancels the attempt.
func (t *dataTimer) Stop() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// eventReceived restarts the timer for the next event, or stops it if pauses are not limited.
func (t *dataTimer) eventReceived() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun, t.borne, t.unheard, t.stalled, t.lastEvent = true, false, false, false, time.Now()
	t.quiet.Begin(t.lastEvent, t.pause)
	if t.pause > 0 {
		t.timer.Reset(t.pause)
	} else {
		t.timer.Stop()
	}
}

// startDataTimer starts the timer for the first byte. On the last attempt of a request it returns a timer that
// never fires.
func (x *exchange) startDataTimer(choice dispatch.Choice, cancel context.CancelCauseFunc) *dataTimer {
	if x.lastAttempt() {
		return &dataTimer{}
	}
	first := x.options.Placer.FirstEvent(x.service)
	wait := max(minDataTimeout, time.Duration(firstByteFraction*float64(x.route.Objective))) + first + choice.Wait
	if choice.Free <= 0 {
		wait += x.route.Objective
	}
	t := &dataTimer{
		x: x, upstream: choice.Upstream, cancel: cancel, lastEvent: time.Now(),
		others: dispatch.OnlineRequest{Service: x.service, Exclude: append(slices.Clone(x.tried), choice.Upstream.ID), Continues: x.version},
	}
	if x.route.Kind == routing.KindStream && x.route.PauseObjective > 0 {
		t.pause = max(minDataTimeout, time.Duration(pauseFraction*float64(x.route.PauseObjective)))
	}
	t.mu.Lock() // It may fire before t.timer is set.
	defer t.mu.Unlock()
	t.quiet.Begin(t.lastEvent, wait)
	t.timer = time.AfterFunc(wait, t.fire)
	return t
}

// lookAgain sets when the attempt is looked at again. t.mu is held.
func (t *dataTimer) lookAgain(after time.Duration) {
	t.quiet.Next(time.Now(), after)
	t.timer.Reset(after)
}

// fire decides on an attempt whose upstream has sent nothing for too long.
func (t *dataTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.stopped || !t.quiet.Due(now) || t.begun && t.pause == 0 {
		return // An event has arrived meanwhile.
	}
	lasted, stalled := t.quiet.Look(now)
	if stalled && !t.stalled {
		// What arrived in the gap is read first. The upstream counts as unheard until then: all that is heard of it may be old.
		t.stalled, t.unheard = true, true
		t.lookAgain(reach.ReadTime)
		return
	}
	t.stalled = false
	silence := t.x.options.Client.silence(t.upstream, lasted, t.relayed.Load())
	silence.Woke = t.unheard
	t.unheard = !silence.Running()
	step := silence.Step()
	switch {
	case step == reach.Move:
	case t.begun && !t.x.options.Placer.HasFreeSlot(t.others):
		// The upstream may be slow and sound. What it has sent is lost to the caller if no other one can go on.
		t.lookAgain(t.pause)
		return
	case t.x.route.Kind != routing.KindStream:
		step = reach.MayMove // It may run at several upstreams.
	case step == reach.Check:
		if step = t.check(silence); step == "" {
			return
		}
	}
	switch {
	case step == reach.Move:
	case step == reach.MayMove && !t.borne && t.x.takeTimeoutRetry():
	case step == reach.Bear && !t.unheard:
		t.lookAgain(max(t.pause, minDataTimeout))
		return
	default:
		t.borne = t.borne || step == reach.MayMove
		t.lookAgain(silenceCheckInterval)
		return
	}
	if t.x.route.Kind != routing.KindStream && t.unheard && silence.Lasted < reach.SoundSilence {
		t.cancel(errs.Combine(ErrUnresponsive, errMaySound))
		return
	}
	t.cancel(ErrUnresponsive)
}

// check checks the upstream and returns what to do then, or "" if the attempt went on or ended meanwhile. t.mu is held before and
// after, but not during the check.
func (t *dataTimer) check(silence reach.Silence) reach.Step {
	at := t.lastEvent
	t.mu.Unlock()
	silence.Diagnosis = t.x.options.Client.diagnose(t.upstream, silence.Relayed)
	t.mu.Lock()
	if t.stopped || t.lastEvent != at {
		return ""
	}
	return silence.Step()
}
