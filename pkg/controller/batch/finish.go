package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/batch/jobstore"
	"trefoilplank.example/pkg/decision/jobstate"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// Times and bounds of finishing jobs.
const (
	// doneMarkDelay lets parts that are done at about the same time be marked in the summary by one write.
	doneMarkDelay   = 200 * time.Millisecond
	finishTimeout   = 30 * time.Second
	janitorInterval = 10 * time.Second
	// janitorRecheck is how often the node responsible for a job checks whether it can be finished, even when its
	// summary does not show that.
	janitorRecheck = 2 * time.Minute
	// cancelCallTimeout bounds the call to the holder of a part; a holder that misses it notices the cancellation at
	// its next commit.
	cancelCallTimeout = 2 * time.Second
	// cancelParallel bounds the concurrent calls of one cancellation.
	cancelParallel = 16
)

// partDone drops a part that is done and queues its mark in the summary; the mark of the last part finishes the job.
func (c *Controller) partDone(p *part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.drop(errPartDone)
	c.queueDoneMarks(p.id.job, p.summary, p.id.index)
}

// queueDoneMarks marks parts as done in the job's summary, in the background after about doneMarkDelay; c.mu is held.
func (c *Controller) queueDoneMarks(job string, summary jobstate.Summary, parts ...int) {
	j := c.openJobs[job]
	if j == nil {
		// Either the watch has not shown the job yet, or the job is final and the mark has no effect.
		j = &openJob{summary: summary, seenAt: time.Now(), heldParts: map[int]int64{}}
	}
	notScheduled := len(j.unmarkedDone) == 0
	j.unmarkedDone = append(j.unmarkedDone, parts...)
	if notScheduled {
		c.tasks.Go(func() { c.markDone(j) })
	}
}

// markDone marks the queued parts of a job as done in its summary and finishes the job if all its parts are done.
func (c *Controller) markDone(j *openJob) {
	c.mu.Lock()
	stop := c.ctx
	c.mu.Unlock()
	sleep(stop, doneMarkDelay/2+rand.N(doneMarkDelay))
	c.mu.Lock()
	due := slices.Clone(j.unmarkedDone)
	j.unmarkedDone = nil
	id := j.summary.ID
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	var updated jobstate.Summary
	err := c.jobs.ChangeSummary(ctx, id, func(s jobstate.Summary) (jobstate.Summary, bool) {
		var changed bool
		updated, changed = s.MarkDone(due...)
		return updated, changed
	})
	if err != nil {
		// The node responsible for the job finds these parts when its janitor checks the job.
		klog.V(2).InfoS("Could not mark parts done", "job", id, "err", err)
		return
	}
	if updated.ID != "" && updated.AllDone() {
		c.finishJob(ctx, updated)
	}
}

// finishJob moves a job to its final state if its work is over. Otherwise it marks the parts that are done but not yet
// marked in the summary.
func (c *Controller) finishJob(ctx context.Context, summary jobstate.Summary) {
	parts, err := c.jobs.Finish(ctx, summary, time.Now(), c.Retention)
	switch {
	case errors.Is(err, jobstore.ErrNotDone):
		var done []int
		for i, p := range parts {
			if p.State == jobstate.PartDone && !summary.Done.Has(i) {
				done = append(done, i)
			}
		}
		if len(done) > 0 {
			c.mu.Lock()
			c.queueDoneMarks(summary.ID, summary, done...)
			c.mu.Unlock()
		}
	case err != nil:
		klog.V(2).InfoS("Could not finish a job", "job", summary.ID, "err", err)
	default:
		c.explain(summary.ID, "", "", "finish", "the job's work is over", nil)
	}
}

// endJob drops this node's parts of a job that accepts no more results, and finishes the job.
func (c *Controller) endJob(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropJob(id, errJobEnded)
	if j := c.openJobs[id]; j != nil && !j.ended {
		j.ended = true
		summary := j.summary
		c.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
			defer cancel()
			c.finishJob(ctx, summary)
		})
	}
}

// janitorLoop finishes jobs that no other code path has finished: those past their deadline, those cancelled by a node
// that then crashed, and those with all parts done. One live node is responsible for each job; two at once do no harm.
func (c *Controller) janitorLoop(ctx context.Context) {
	for {
		sleep(ctx, janitorInterval/2+rand.N(janitorInterval))
		if ctx.Err() != nil {
			return
		}
		nodes := c.liveNodes()
		for _, summary := range c.jobsToFinish(nodes, time.Now()) {
			c.finishJob(ctx, summary)
		}
	}
}

// jobsToFinish returns the jobs that this node is responsible for and whose next check by the janitor is due.
func (c *Controller) jobsToFinish(nodes []string, now time.Time) []jobstate.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []jobstate.Summary
	for id, j := range c.openJobs {
		over := j.ended || j.summary.AllDone() || now.After(j.summary.Deadline)
		if now.Sub(j.checkedAt) < janitorInterval || !over && now.Sub(j.checkedAt) < janitorRecheck {
			continue
		}
		if rendezvous.Owner(id, nodes) == c.Node {
			if !j.checkedAt.IsZero() || over {
				due = append(due, j.summary)
			}
			j.checkedAt = now
		}
	}
	return due
}

// CancelJob implements handler.Canceller. The status in the job record is already Cancelling.
func (c *Controller) CancelJob(ctx context.Context, summary jobstate.Summary) {
	c.mu.Lock()
	c.dropJob(summary.ID, errJobEnded)
	if j := c.openJobs[summary.ID]; j != nil {
		j.ended = true
	}
	// Run locks mu between the end of its context and tasks.Wait, so no task is added during the wait.
	tracked := c.ctx.Err() == nil
	if tracked {
		c.tasks.Add(1)
	}
	c.mu.Unlock()
	c.explain(summary.ID, "", "", "cancel", "the caller cancelled the job", nil)
	go func() {
		if tracked {
			defer c.tasks.Done()
		}
		ctx, stop := context.WithTimeout(ctx, finishTimeout)
		defer stop()
		c.notifyHolders(ctx, summary)
		c.finishJob(ctx, summary)
	}()
}

// CancelArgs names a cancelled job.
type CancelArgs struct{ Job string }

// CancelReply is empty.
type CancelReply struct{}

// notifyHolders calls the other nodes that hold parts of the job, which then stop these parts.
func (c *Controller) notifyHolders(ctx context.Context, summary jobstate.Summary) {
	if c.Peers == nil {
		return
	}
	parts, err := c.jobs.Parts(ctx, summary.ID)
	if err != nil {
		return
	}
	holders := map[string]bool{}
	for _, p := range parts {
		if p.Holder != nil && p.Holder.Node != c.Node {
			holders[p.Holder.Node] = true
		}
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, cancelParallel)
	for node := range holders {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, stop := context.WithTimeout(ctx, cancelCallTimeout)
			defer stop()
			if err := c.Peers.Call(ctx, node, "Batch.Cancel", CancelArgs{Job: summary.ID}, &CancelReply{}); err != nil {
				klog.V(2).InfoS("Could not notify the holder of a part of a cancelled job", "job", summary.ID, "node", node, "err", err)
			}
		})
	}
	group.Wait()
}

// Receiver returns the net/rpc receiver to be registered under the name "Batch".
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// Receiver serves the calls of other nodes.
type Receiver struct{ c *Controller }

// Cancel drops this node's parts of a cancelled job and stops their runs. The calling node finishes the job.
func (r *Receiver) Cancel(args CancelArgs, _ *CancelReply) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.c.dropJob(args.Job, errJobEnded)
	if j := r.c.openJobs[args.Job]; j != nil {
		j.ended = true
	}
	return nil
}
