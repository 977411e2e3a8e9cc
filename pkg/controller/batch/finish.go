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

// Times of the end of jobs.
const (
	// markDelay lets the marks of parts that end together share one write.
	markDelay    = 200 * time.Millisecond
	markTimeout  = 30 * time.Second
	janitorEvery = 10 * time.Second
	// janitorCheck is how often the node responsible for a job looks whether it can be finished although
	// nothing was heard of it.
	janitorCheck = 2 * time.Minute
	// cancelCall bounds the message to a part owner; an owner that does not get it finds out at its next commit.
	cancelCall = 2 * time.Second
	// cancelParallel bounds the messages of one cancel in flight.
	cancelParallel = 16
)

// partDone notes a part that is done and ends the job with the last one.
func (c *Controller) partDone(p *part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.drop(errPartDone)
	c.doneDue(p.id.job, p.sum, p.id.index)
}

// doneDue has parts marked in the summary; c.mu is held.
func (c *Controller) doneDue(job string, sum jobstate.Summary, parts ...int) {
	j := c.open[job]
	if j == nil {
		// The mirror learns of the job later, or the job is final already and the mark has no effect.
		j = &openJob{sum: sum, seenAt: time.Now(), held: map[int]int64{}}
	}
	first := len(j.doneDue) == 0
	j.doneDue = append(j.doneDue, parts...)
	if first {
		c.tasks.Go(func() { c.markDone(j) })
	}
}

func (c *Controller) markDone(j *openJob) {
	c.mu.Lock()
	stop := c.ctx
	c.mu.Unlock()
	sleep(stop, markDelay/2+rand.N(markDelay))
	c.mu.Lock()
	due := slices.Clone(j.doneDue)
	j.doneDue = nil
	id := j.sum.ID
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), markTimeout)
	defer cancel()
	var after jobstate.Summary
	err := c.jobs.ChangeSummary(ctx, id, func(s jobstate.Summary) (jobstate.Summary, bool) {
		var changed bool
		after, changed = s.MarkDone(due...)
		return after, changed
	})
	if err != nil {
		// The responsible node finds the parts done when it looks at the job.
		klog.V(2).InfoS("Could not mark parts done", "job", id, "err", err)
		return
	}
	if after.ID != "" && after.AllDone() {
		c.finish(ctx, after)
	}
}

// finish ends a job if its work is over, and corrects the summary if not.
func (c *Controller) finish(ctx context.Context, sum jobstate.Summary) {
	parts, err := c.jobs.Finish(ctx, sum, time.Now(), c.Retention)
	switch {
	case errors.Is(err, jobstore.ErrNotDone):
		var done []int
		for i, p := range parts {
			if p.State == jobstate.PartDone && !sum.Done.Has(i) {
				done = append(done, i)
			}
		}
		if len(done) > 0 {
			c.mu.Lock()
			c.doneDue(sum.ID, sum, done...)
			c.mu.Unlock()
		}
	case err != nil:
		klog.V(2).InfoS("Could not finish a job", "job", sum.ID, "err", err)
	default:
		c.explain(sum.ID, "", "", "finish", "the job's work is over", nil)
	}
}

// jobEnded notes that a job accepts no more results and finishes it.
func (c *Controller) jobEnded(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropJob(id, errJobEnded)
	if j := c.open[id]; j != nil && !j.ended {
		j.ended = true
		sum := j.sum
		c.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), markTimeout)
			defer cancel()
			c.finish(ctx, sum)
		})
	}
}

// janitorLoop finishes jobs that nobody else finished: past their deadline, cancelled by a node that died, or
// with all parts done. One live node is responsible for each job; two at once do no harm.
func (c *Controller) janitorLoop(ctx context.Context) {
	for {
		sleep(ctx, janitorEvery/2+rand.N(janitorEvery))
		if ctx.Err() != nil {
			return
		}
		nodes := c.liveNodes()
		for _, sum := range c.overdue(nodes, time.Now()) {
			c.finish(ctx, sum)
		}
	}
}

func (c *Controller) overdue(nodes []string, now time.Time) []jobstate.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []jobstate.Summary
	for id, j := range c.open {
		over := j.ended || j.sum.AllDone() || now.After(j.sum.Deadline)
		if now.Sub(j.checkedAt) < janitorEvery || !over && now.Sub(j.checkedAt) < janitorCheck {
			continue
		}
		if rendezvous.Owner(id, nodes) == c.Node {
			if !j.checkedAt.IsZero() || over {
				due = append(due, j.sum)
			}
			j.checkedAt = now
		}
	}
	return due
}

// CancelJob implements handler.Canceller: the job record says Cancelling already.
func (c *Controller) CancelJob(ctx context.Context, sum jobstate.Summary) {
	c.mu.Lock()
	c.dropJob(sum.ID, errJobEnded)
	if j := c.open[sum.ID]; j != nil {
		j.ended = true
	}
	// Run takes mu after its context has ended and before it waits, so nothing is added to tasks while it waits.
	counted := c.ctx.Err() == nil
	if counted {
		c.tasks.Add(1)
	}
	c.mu.Unlock()
	c.explain(sum.ID, "", "", "cancel", "the caller cancelled the job", nil)
	go func() {
		if counted {
			defer c.tasks.Done()
		}
		ctx, stop := context.WithTimeout(ctx, markTimeout)
		defer stop()
		c.tellOwners(ctx, sum)
		c.finish(ctx, sum)
	}()
}

// CancelArgs name a job that was cancelled.
type CancelArgs struct{ Job string }

// CancelReply is empty.
type CancelReply struct{}

// tellOwners tells the nodes that hold parts of the job.
func (c *Controller) tellOwners(ctx context.Context, sum jobstate.Summary) {
	if c.Peers == nil {
		return
	}
	parts, err := c.jobs.Parts(ctx, sum.ID)
	if err != nil {
		return
	}
	owners := map[string]bool{}
	for _, p := range parts {
		if p.Holder != nil && p.Holder.Node != c.Node {
			owners[p.Holder.Node] = true
		}
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, cancelParallel)
	for node := range owners {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, stop := context.WithTimeout(ctx, cancelCall)
			defer stop()
			if err := c.Peers.Call(ctx, node, "Batch.Cancel", CancelArgs{Job: sum.ID}, &CancelReply{}); err != nil {
				klog.V(2).InfoS("Part owner was not told of a cancel", "job", sum.ID, "node", node, "err", err)
			}
		})
	}
	group.Wait()
}

// Receiver returns the net/rpc receiver to be registered under the name "Batch".
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// Receiver has the calls that other nodes make.
type Receiver struct{ c *Controller }

// Cancel drops the parts of a cancelled job and stops their runs. The caller finishes the job.
func (r *Receiver) Cancel(args CancelArgs, _ *CancelReply) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.c.dropJob(args.Job, errJobEnded)
	if j := r.c.open[args.Job]; j != nil {
		j.ended = true
	}
	return nil
}
