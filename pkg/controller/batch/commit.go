package batch

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/batch/jobstore"
	"trefoilplank.example/pkg/decision/jobstate"
)

// Times of the committer.
const (
	commitCheckInterval = 500 * time.Millisecond
	commitRetryMin      = 250 * time.Millisecond
	commitRetryMax      = 10 * time.Second
	// commitTimeout bounds one commit and release, which continue when the node stops.
	commitTimeout = 10 * time.Second
)

// markStart has the committer record that the run of non-idempotent item i may have started, and waits until that is
// durable.
func (p *part) markStart(ctx context.Context, i int) error {
	p.c.mu.Lock()
	if p.dropped {
		p.c.mu.Unlock()
		return errNoMark
	}
	if p.items[i].marked {
		// An earlier mark is durable and its run did not start, so this run uses it.
		p.items[i].marked = false
		p.c.mu.Unlock()
		return nil
	}
	s := startMark{index: i, result: make(chan error, 1)}
	p.startMarks = append(p.startMarks, s)
	p.signalCommitter()
	p.c.mu.Unlock()
	select {
	case err := <-s.result:
		return err
	case <-ctx.Done():
	}
	// If the mark is still queued, it is withdrawn. Otherwise its commit has begun: it may have ended just now, so that
	// the result is in the channel, or its outcome may be unknown, in which case committed sets marked after a
	// successful retry. A commit that is still in progress and then succeeds leaves the item unmarked.
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	for n, other := range p.startMarks {
		if other.index == i {
			p.startMarks = append(p.startMarks[:n], p.startMarks[n+1:]...)
			return errNoMark
		}
	}
	select {
	case err := <-s.result:
		if err == nil {
			p.items[i].marked = true
		}
	default:
	}
	return errNoMark
}

// commitLoop is the committer of a part; it ends when the part is done, lost or released.
func (p *part) commitLoop(ctx context.Context) {
	check := time.NewTicker(commitCheckInterval)
	defer check.Stop()
	retryAt, delay := time.Time{}, commitRetryMin
	for {
		select {
		case <-p.commitSignal:
		case <-check.C:
		}
		work := p.nextWork(ctx.Err() != nil, time.Now().Before(retryAt))
		if work.dropped {
			return
		}
		if !work.commit && !work.release {
			continue
		}
		err := p.commitAndRelease(ctx, work)
		switch {
		case err == nil:
			delay = commitRetryMin
		case p.handleEnd(err):
			return
		case ctx.Err() != nil:
			// The store does not answer while the node stops, so another node will run the items again.
			klog.ErrorS(err, "Node stops with batch results that could not be committed; other nodes run these items again", "job", p.id.job, "part", p.id.index)
			p.lockAndDrop(errPartLost)
			return
		default:
			retryAt = time.Now().Add(delay/2 + rand.N(delay))
			delay = min(2*delay, commitRetryMax)
		}
	}
}

// partWork is what the committer has to do for its part now.
type partWork struct {
	dropped, commit, release bool
	group                    jobstore.Group
	marks                    []startMark
}

// nextWork decides what is due, and moves the group out of the part when it must be committed. While the committer backs
// off after a failure, nothing is due, and runs that wait for a start mark get errNoMark so that they free their slots.
func (p *part) nextWork(stopping, backingOff bool) partWork {
	c := p.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.dropped {
		return partWork{dropped: true}
	}
	if h, _ := c.ownHolder(); h != p.holder && h.Lease > 0 {
		// The node has a new lease with another token, so nothing can be recorded under the old one any more.
		p.drop(errPartLost)
		return partWork{dropped: true}
	}
	if backingOff && !stopping {
		for _, s := range p.startMarks {
			s.result <- errNoMark
		}
		p.startMarks = nil
		return partWork{}
	}
	stopping = stopping || c.stopping()
	idle := len(p.running) == 0 && p.remaining > 0 && (stopping || p.starved(time.Now()))
	complete := p.remaining == 0 || idle
	items := len(p.group.Items)
	due := jobstate.CommitDue(p.itemRange.Size, items, len(p.group.Lines), time.Since(p.groupSince), complete) ||
		items > 0 && c.leaseRunsOut()
	w := partWork{release: idle, commit: due || len(p.startMarks) > 0 || p.unsettled || idle && len(p.group.Charges) > 0}
	if !w.commit || p.unsettled {
		return w
	}
	w.group, w.marks = p.group, p.startMarks
	p.group, p.startMarks = jobstore.Group{}, nil
	var starts []startMark
	for _, s := range w.marks {
		if p.items[s.index].marked {
			p.items[s.index].marked = false
			s.result <- nil
			continue
		}
		w.group.Starts = append(w.group.Starts, s.index)
		starts = append(starts, s)
	}
	w.marks = starts
	return w
}

// leaseRunsOut reports whether this node's lease was not renewed in time. Waiting results are then committed before the
// lease's deadline, since other nodes run their items again after it.
func (c *Controller) leaseRunsOut() bool {
	return time.Until(c.Board.Lease.Value().Deadline) < c.Lease.Renew
}

// commitAndRelease commits and releases the part as w requires. After an error that doesn't end the part, the group stays
// pending, either in the part or as the unsettled write.
func (p *part) commitAndRelease(ctx context.Context, w partWork) error {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer stop()
	if w.commit {
		var err error
		retrying := p.claim.Unsettled()
		if retrying {
			err = p.claim.RetryUnsettled(ctx)
			w.group, w.marks = p.inflightGroup, nil
		} else {
			err = p.claim.Commit(ctx, w.group)
		}
		p.committed(w, err)
		if err != nil {
			return err
		}
		if p.claim.Part().State == jobstate.PartDone {
			p.c.partDone(p)
			return errPartDone
		}
		if retrying {
			return nil
		}
	}
	if !w.release {
		return nil
	}
	return p.release(ctx)
}

// errPartDone ends the committer of a part whose items all have results.
var errPartDone = Error.New("part is done")

// committed updates the part after a commit that returned err.
func (p *part) committed(w partWork, err error) {
	c := p.c
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range w.marks {
		if err != nil || p.dropped {
			s.result <- errNoMark
		} else {
			s.result <- nil
		}
	}
	if p.dropped {
		// drop has subtracted only the group that was in the part then.
		c.pendingBytes -= len(w.group.Lines)
		return
	}
	p.unsettled = p.claim.Unsettled()
	c.storeDown = err != nil && !endsPart(err)
	switch {
	case err == nil:
		c.pendingBytes -= len(w.group.Lines)
		if w.marks == nil {
			// The runs that requested these marks got errNoMark and did not start, so the next runs of the items use
			// the marks.
			for _, i := range w.group.Starts {
				p.items[i].marked = true
			}
		}
		p.inflightGroup = jobstore.Group{}
	case p.unsettled:
		p.inflightGroup = w.group
	case endsPart(err):
		c.pendingBytes -= len(w.group.Lines)
	default:
		p.restore(w.group)
	}
}

// restore puts a group that was not recorded back into the part, before the results that were added since; c.mu is held.
func (p *part) restore(g jobstore.Group) {
	since := p.group
	p.group = g
	p.group.Starts = nil
	if p.group.Items == nil {
		p.group.Items = map[int]bool{}
		p.groupSince = time.Now()
	}
	for i, ok := range since.Items {
		p.group.Items[i] = ok
	}
	p.group.Lines = append(p.group.Lines, since.Lines...)
	p.group.OutputBytes += since.OutputBytes
	p.group.ErrorBytes += since.ErrorBytes
	if p.group.Charges == nil {
		p.group.Charges = map[int]int{}
	}
	for i, n := range since.Charges {
		p.group.Charges[i] = n
	}
	for i := range p.group.Items {
		delete(p.group.Charges, i)
	}
}

// release releases the part if no run of it has started since nextWork.
func (p *part) release(ctx context.Context) error {
	c := p.c
	c.mu.Lock()
	if len(p.running) > 0 || len(p.group.Items) > 0 || p.dropped {
		c.mu.Unlock()
		return nil
	}
	// The part is dropped even if the release fails, since the write may take effect after an error.
	p.drop(errPartLost)
	if j := c.openJobs[p.id.job]; j != nil {
		// This node does not claim the part again before it next lists the part records.
		j.heldParts[p.id.index] = math.MaxInt64
	}
	c.mu.Unlock()
	token := p.claim.Part().Token
	if err := p.claim.Release(ctx); err != nil {
		klog.V(2).InfoS("Could not release a part", "job", p.id.job, "part", p.id.index, "err", err)
		if !endsPart(err) {
			c.releaseInBackground(p.summary, p.id.index, p.holder)
		}
		return errPartLost
	}
	c.explain(p.id.job, "", "", "release", "no upstream of this node had an idle slot for the part", map[string]any{"part": p.id.index})
	err := c.jobs.ChangeSummary(ctx, p.id.job, func(s jobstate.Summary) (jobstate.Summary, bool) {
		return s.Release(p.id.index, token)
	})
	if err != nil {
		klog.V(2).InfoS("Could not mark a released part in the summary of its job", "job", p.id.job, "part", p.id.index, "err", err)
	}
	return errPartLost
}

// endsPart reports whether err means that this node can record nothing more for the part.
func endsPart(err error) bool {
	return errors.Is(err, jobstore.ErrPartLost) || errors.Is(err, jobstore.ErrJobEnded) || errors.Is(err, jobstate.ErrState)
}

// handleEnd drops the part if err means that nothing more can be recorded for it, and reports whether the committer
// ends.
func (p *part) handleEnd(err error) bool {
	switch {
	case errors.Is(err, errPartDone), errors.Is(err, errPartLost):
		return true
	case errors.Is(err, jobstore.ErrJobEnded):
		p.lockAndDrop(errJobEnded)
		p.c.endJob(p.id.job)
		return true
	case endsPart(err):
		klog.V(2).InfoS("Part is no longer held", "job", p.id.job, "part", p.id.index, "err", err)
		p.lockAndDrop(errPartLost)
		return true
	}
	return false
}

func (p *part) lockAndDrop(cause error) {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.drop(cause)
}
