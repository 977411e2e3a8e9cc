package admission

import (
	"context"
	"time"

	"trefoilplank.example/pkg/decision/admission"
	"trefoilplank.example/pkg/serving"
)

// refreshProgress updates what preempting each batch run would lose; o.mu is held.
func (o *owned) refreshProgress() {
	for id, r := range o.runs {
		tokens, resumable := r.run.Progress()
		o.state.SetProgress(id, tokens, resumable)
	}
}

// fill starts batch runs on idle slots.
func (o *owned) fill() {
	if o.c.Batch == nil {
		return
	}
	u, ok := o.c.find(o.name)
	if !ok || !o.c.mayFill(o.name, u) {
		return
	}
	o.mu.Lock()
	if o.filling {
		o.mu.Unlock()
		return
	}
	o.filling = true
	defer func() { o.filling = false; o.mu.Unlock() }()
	for o.state.BatchRoom(time.Now(), o.allowance()) > 0 {
		run, ok := o.c.Batch.Next(u)
		if !ok {
			return
		}
		o.start(run, &serving.Slot{Upstream: u, RequestID: run.Request().ID, Owner: o.c.Self})
	}
}

// start occupies a slot for the run and runs it; o.mu is held.
func (o *owned) start(run serving.BatchRun, s *serving.Slot) {
	now := time.Now()
	r := run.Request()
	w := workOf(r, now)
	w.Batch = true
	o.state.StartBatch(now, w.item(o.c.Self, now), o.allowance())
	o.c.mu.Lock()
	parent := o.c.batchCtx
	o.c.fills.Add(1)
	o.c.mu.Unlock()
	ctx, cancel := context.WithCancelCause(parent)
	o.runs[r.ID] = &batchRun{run: run, cancel: cancel}
	go func() {
		defer o.c.fills.Done()
		usage := run.Run(ctx, s)
		cancel(nil)
		o.finish(&ReleaseArgs{Upstream: o.name, Node: o.c.Self, Work: w, Usage: usage})
	}()
}

// finish frees the slot of a batch run.
func (o *owned) finish(a *ReleaseArgs) {
	now := time.Now()
	o.mu.Lock()
	delete(o.runs, a.Work.ID)
	o.learn(now, a)
	o.apply(now, o.state.Release(now, a.Work.ID))
	o.mu.Unlock()
	if o.c.Observer != nil {
		o.c.Observer.Report(o.name, a.Usage.Result)
	}
	o.fill()
}

// allowance returns the batch slots that are permitted now; o.mu is held.
func (o *owned) allowance() int { return o.state.Limit() }

// startBy returns the latest useful start of an item; o.mu is held.
func (o *owned) startBy(now time.Time, it admission.Item) time.Time {
	return admission.StartBy(now, it.Deadline, 0, 0, 0)
}
