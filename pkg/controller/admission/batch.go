package admission

import (
	"context"
	"time"

	"trefoilplank.example/pkg/serving"
)

// refreshProgress updates the progress of each batch run, by which the runs to preempt are chosen; o.mu is held.
func (o *ownedUpstream) refreshProgress() {
	for id, r := range o.runs {
		tokens, resumable := r.run.Progress()
		o.state.SetProgress(id, tokens, resumable)
	}
}

// fillIdleSlots starts batch runs on idle slots.
func (o *ownedUpstream) fillIdleSlots() {
	if o.c.Batch == nil {
		return
	}
	u, ok := o.c.findUpstream(o.name)
	if !ok || !o.c.mayStartBatch(o.name, u) || !o.c.beginFill() {
		return
	}
	defer o.c.batchTasks.Done()
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.state.FreeBatchSlots(time.Now(), o.batchSlots) > 0 {
		run, ok := o.c.Batch.Next(u)
		if !ok {
			return
		}
		o.startBatchRun(run, &serving.Slot{Upstream: u, RequestID: run.Request().ID, Owner: o.c.Self})
	}
}

// startBatchRun occupies a slot for the run and starts it in the background; o.mu is held.
func (o *ownedUpstream) startBatchRun(run serving.BatchRun, s *serving.Slot) {
	now := time.Now()
	r := run.Request()
	w := workOf(r, o.c.newTicket(), now)
	w.Batch = true
	o.state.StartBatch(now, w.toItem(o.c.Self, now), o.batchSlots)
	ctx, cancel := context.WithCancelCause(o.c.batchContext())
	o.runs[w.Ticket] = &batchRun{run: run, cancel: cancel}
	o.c.batchTasks.Add(1)
	go func() {
		defer o.c.batchTasks.Done()
		usage := run.Run(ctx, s)
		cancel(nil)
		o.finishBatchRun(&ReleaseArgs{Upstream: o.name, Node: o.c.Self, Work: w, Usage: usage})
	}()
}

// finishBatchRun frees the slot of a batch run, records the run's result and fills idle slots again.
func (o *ownedUpstream) finishBatchRun(a *ReleaseArgs) {
	now := time.Now()
	o.mu.Lock()
	delete(o.runs, a.Work.Ticket)
	o.refreshProgress()
	o.observeRun(now, a)
	o.applyDecisions(now, o.state.Release(now, a.Work.Ticket))
	o.mu.Unlock()
	if o.c.Observer != nil {
		o.c.Observer.Report(o.name, a.Usage.Result)
	}
	o.fillIdleSlots()
}

// beginFill registers a pass that fills idle slots. It returns false before Run has started and after its end. The
// caller ends the pass with batchTasks.Done.
func (c *Controller) beginFill() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.batchCtx == nil || c.stopped || c.batchCtx.Err() != nil {
		return false
	}
	c.batchTasks.Add(1)
	return true
}

func (c *Controller) batchContext() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.batchCtx
}
