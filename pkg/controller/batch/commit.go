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
	commitCheck    = 500 * time.Millisecond
	commitRetryMin = 250 * time.Millisecond
	commitRetryMax = 10 * time.Second
	// stopTimeout bounds the last commits of a node that stops.
	stopTimeout = 10 * time.Second
)

// mark waits until the start of item i is durable.
func (p *part) mark(ctx context.Context, i int) error {
	p.c.mu.Lock()
	if p.over {
		p.c.mu.Unlock()
		return errNoMark
	}
	if p.items[i].marked {
		// An earlier mark became durable and the item did not start; it is used up by this run.
		p.items[i].marked = false
		p.c.mu.Unlock()
		return nil
	}
	s := startMark{index: i, result: make(chan error, 1)}
	p.starts = append(p.starts, s)
	p.kick()
	p.c.mu.Unlock()
	select {
	case err := <-s.result:
		return err
	case <-ctx.Done():
	}
	// The mark may still become durable; commit then notes it, unless it did in this moment.
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	for n, other := range p.starts {
		if other.index == i {
			p.starts = append(p.starts[:n], p.starts[n+1:]...)
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

// commitLoop is the committer of a part; it ends when the part is done, lost or given back.
func (p *part) commitLoop(ctx context.Context) {
	check := time.NewTicker(commitCheck)
	defer check.Stop()
	retryAt, delay := time.Time{}, commitRetryMin
	for {
		select {
		case <-p.signal:
		case <-check.C:
		}
		work := p.next(ctx.Err() != nil, time.Now().Before(retryAt))
		if work.over {
			return
		}
		if !work.commit && !work.release {
			continue
		}
		err := p.step(ctx, work)
		switch {
		case err == nil:
			delay = commitRetryMin
		case p.ends(err):
			return
		case ctx.Err() != nil:
			// The store gives no answer while the node stops: another node runs the items again.
			klog.ErrorS(err, "Node stopped with results that could not be recorded", "job", p.id.job, "part", p.id.index)
			p.end(errPartLost)
			return
		default:
			retryAt = time.Now().Add(delay/2 + rand.N(delay))
			delay = min(2*delay, commitRetryMax)
		}
	}
}

// partWork is what the committer has to do.
type partWork struct {
	over, commit, release bool
	group                 jobstore.Group
	marks                 []startMark
}

// next decides what is due, and takes the group out of the part when it is to be committed. While the committer
// waits after a failure, nothing is due and runs that want a start mark are refused, so that they free their slots.
func (p *part) next(stopping, waits bool) partWork {
	c := p.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.over {
		return partWork{over: true}
	}
	if h, _ := c.holder(); h != p.holder && h.Lease > 0 {
		// The node's lease was renewed under a larger number, so nothing more can be recorded under the old one.
		p.drop(errPartLost)
		return partWork{over: true}
	}
	if waits && !stopping {
		for _, s := range p.starts {
			s.result <- errNoMark
		}
		p.starts = nil
		return partWork{}
	}
	stopping = stopping || c.stopping()
	idle := len(p.running) == 0 && p.remaining > 0 && (stopping || p.starved(time.Now()))
	complete := p.remaining == 0 || idle
	items := len(p.group.Items)
	due := jobstate.CommitDue(p.rng.Size, items, len(p.group.Lines), time.Since(p.groupAt), complete) ||
		items > 0 && c.leaseRunsOut()
	w := partWork{release: idle, commit: due || len(p.starts) > 0 || p.unsettled || idle && len(p.group.Attempts) > 0}
	if !w.commit || p.unsettled {
		return w
	}
	w.group, w.marks = p.group, p.starts
	p.group, p.starts = jobstore.Group{}, nil
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

// leaseRunsOut reports that the own lease was not renewed in time. What waits is recorded before its deadline, since
// other nodes run it again after that.
func (c *Controller) leaseRunsOut() bool {
	return time.Until(c.Board.Lease.Value().Deadline) < c.Lease.Renew
}

// step does the work. An error that doesn't end the part leaves the group pending, in the part or in the
// unsettled write.
func (p *part) step(ctx context.Context, w partWork) error {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer stop()
	if w.commit {
		var err error
		settled := p.held.Unsettled()
		if settled {
			err = p.held.Settle(ctx)
			w.group, w.marks = p.inflight, nil
		} else {
			err = p.held.Commit(ctx, w.group)
		}
		p.committed(w, err)
		if err != nil {
			return err
		}
		if p.held.Part().State == jobstate.PartDone {
			p.c.partDone(p)
			return errPartDone
		}
		if settled {
			return nil
		}
	}
	if !w.release {
		return nil
	}
	return p.release(ctx)
}

// errPartDone ends the committer of a part that is done.
var errPartDone = Error.New("part is done")

// committed takes the outcome of a commit into the part.
func (p *part) committed(w partWork, err error) {
	c := p.c
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range w.marks {
		if err != nil || p.over {
			s.result <- errNoMark
		} else {
			s.result <- nil
		}
	}
	if p.over {
		// drop counted only the group that was in the part.
		c.pending -= len(w.group.Lines)
		return
	}
	p.unsettled = p.held.Unsettled()
	c.storeDown = err != nil && !fatal(err)
	switch {
	case err == nil:
		c.pending -= len(w.group.Lines)
		if w.marks == nil {
			// The runs that asked for these marks were told that there is none, and did not start.
			for _, i := range w.group.Starts {
				p.items[i].marked = true
			}
		}
		p.inflight = jobstore.Group{}
	case p.unsettled:
		p.inflight = w.group
	case fatal(err):
		c.pending -= len(w.group.Lines)
	default:
		p.restore(w.group)
	}
}

// restore puts a group that was not recorded before what came since; c.mu is held.
func (p *part) restore(g jobstore.Group) {
	since := p.group
	p.group = g
	p.group.Starts = nil
	if p.group.Items == nil {
		p.group.Items = map[int]bool{}
		p.groupAt = time.Now()
	}
	for i, ok := range since.Items {
		p.group.Items[i] = ok
	}
	p.group.Lines = append(p.group.Lines, since.Lines...)
	p.group.OutputBytes += since.OutputBytes
	p.group.ErrorBytes += since.ErrorBytes
	if p.group.Attempts == nil {
		p.group.Attempts = map[int]int{}
	}
	for i, n := range since.Attempts {
		p.group.Attempts[i] = n
	}
	for i := range p.group.Items {
		delete(p.group.Attempts, i)
	}
}

// release gives the part back when no run of it started meanwhile.
func (p *part) release(ctx context.Context) error {
	c := p.c
	c.mu.Lock()
	if len(p.running) > 0 || len(p.group.Items) > 0 || p.over {
		c.mu.Unlock()
		return nil
	}
	// No item is handed out any more, whatever the outcome: the write may take effect after an error.
	p.drop(errPartLost)
	if j := c.open[p.id.job]; j != nil {
		// This node leaves the part to others until it next lists the parts.
		j.held[p.id.index] = math.MaxInt64
	}
	c.mu.Unlock()
	token := p.held.Part().Token
	if err := p.held.Release(ctx); err != nil {
		klog.V(2).InfoS("Could not give a part back", "job", p.id.job, "part", p.id.index, "err", err)
		if !fatal(err) {
			c.giveBack(p.sum, p.id.index, p.holder)
		}
		return errPartLost
	}
	c.explain(p.id.job, "", "", "release", "no upstream of this node had an idle slot for the part", map[string]any{"part": p.id.index})
	err := c.jobs.ChangeSummary(ctx, p.id.job, func(s jobstate.Summary) (jobstate.Summary, bool) {
		return s.Release(p.id.index, token)
	})
	if err != nil {
		klog.V(2).InfoS("Could not announce a released part", "job", p.id.job, "part", p.id.index, "err", err)
	}
	return errPartLost
}

// fatal reports whether an error means that the part is over for this node.
func fatal(err error) bool {
	return errors.Is(err, jobstore.ErrLost) || errors.Is(err, jobstore.ErrEnded) || errors.Is(err, jobstate.ErrState)
}

// ends drops the part if the error means that it is over.
func (p *part) ends(err error) bool {
	switch {
	case errors.Is(err, errPartDone), errors.Is(err, errPartLost):
		return true
	case errors.Is(err, jobstore.ErrEnded):
		p.end(errJobEnded)
		p.c.jobEnded(p.id.job)
		return true
	case fatal(err):
		klog.V(2).InfoS("Part is no longer held", "job", p.id.job, "part", p.id.index, "err", err)
		p.end(errPartLost)
		return true
	}
	return false
}

func (p *part) end(cause error) {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.drop(cause)
}
