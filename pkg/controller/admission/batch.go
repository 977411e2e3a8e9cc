package admission

import (
	"context"
	"time"

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
	if !ok || !o.c.mayFill(o.name, u) || !o.c.beginFill() {
		return
	}
	defer o.c.fills.Done()
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.state.BatchRoom(time.Now(), o.batchSlots) > 0 {
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
	w := workOf(r, o.c.ticket(), now)
	w.Batch = true
	o.state.StartBatch(now, w.item(o.c.Self, now), o.batchSlots)
	ctx, cancel := context.WithCancelCause(o.c.batchContext())
	o.runs[w.Ticket] = &batchRun{run: run, cancel: cancel}
	o.c.fills.Add(1)
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
	delete(o.runs, a.Work.Ticket)
	o.refreshProgress()
	o.learn(now, a)
	o.apply(now, o.state.Release(now, a.Work.Ticket))
	o.mu.Unlock()
	if o.c.Observer != nil {
		o.c.Observer.Report(o.name, a.Usage.Result)
	}
	o.fill()
}

// beginFill registers a filling pass; false after Run has ended. The caller ends it by fills.Done.
func (c *Controller) beginFill() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.batchCtx == nil || c.stopped || c.batchCtx.Err() != nil {
		return false
	}
	c.fills.Add(1)
	return true
}

func (c *Controller) batchContext() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.batchCtx
}
