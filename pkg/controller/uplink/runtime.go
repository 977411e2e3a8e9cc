package uplink

import (
	"context"
	"sync"
	"time"

	"trefoilplank.example/pkg/decision/reach"
)

// runTimeStep is the time between two looks at whether this process runs while it waits.
const runTimeStep = 50 * time.Millisecond

// runTime ends a wait once this process has run for a limit; most is the part of it before the last reach.ReadTime.
type runTime struct {
	most   time.Duration
	cancel context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	quiet reach.Quiet
	// spent is set once the process has run for most of the limit, endedAt once the wait was ended because of it.
	spent   bool
	endedAt time.Time
}

// withRunTime returns a context that ends once this process has run for the limit, for the last reach.ReadTime of it without a gap: what
// arrived while it did not run is read first. The wait must be stopped.
func withRunTime(ctx context.Context, limit time.Duration) (context.Context, *runTime) {
	ctx, cancel := context.WithCancel(ctx)
	w := &runTime{most: max(0, limit-reach.ReadTime), cancel: cancel}
	w.mu.Lock() // It may fire before w.timer is set.
	defer w.mu.Unlock()
	step := min(runTimeStep, w.most)
	w.quiet.Begin(time.Now(), step)
	w.timer = time.AfterFunc(step, w.fire)
	return ctx, w
}

func (w *runTime) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	lasted, stalled := w.quiet.Look(now)
	if w.spent && !stalled {
		w.endedAt = now
		w.cancel()
		return
	}
	w.spent = lasted >= w.most
	next := reach.ReadTime
	if !w.spent {
		next = min(runTimeStep, w.most-lasted)
	}
	w.quiet.Next(now, next)
	w.timer.Reset(next)
}

// stop ends the wait and reports whether its end, for lack of time, was noticed so late that the process did not run.
func (w *runTime) stop() (late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.cancel()
	return !w.endedAt.IsZero() && reach.Stalled(time.Since(w.endedAt), 0)
}
