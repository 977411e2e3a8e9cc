package listjob

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/wait"
)

// End ends a job that this node owns.
func (r *Receiver) End(args EndArgs, reply *EndReply) error {
	if r.c.ownedJob(args.ID) == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	err := r.c.endInStore(ctx, args.ID)
	reply.Found = err == nil
	return err
}

const (
	// endTimeout limits one attempt to store the end of a job.
	endTimeout = 3 * time.Second
	// endRetry is the pause after an attempt that failed, and endFor the time after which attempts end: an end that the platform
	// did not get confirmed counts too, from four seconds of a calm store on.
	endRetry, endFor = time.Second, 2 * time.Minute
	// endTellTimeout is how long the confirmation of an end waits for the job's owner; the platform waits four seconds for it.
	endTellTimeout = 500 * time.Millisecond
)

// End ends a job. It returns nil once the end is stored and the job's owner was told, if it answers soon. The end is stored also if
// ctx ends before, or if the first attempt fails.
func (c *Controller) End(ctx context.Context, id string) error {
	first := make(chan error, 1)
	go c.endUntilStored(context.WithoutCancel(ctx), id, first)
	select {
	case err := <-first:
		return err
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	}
}

// endUntilStored ends a job, with further attempts if the first one fails, whose outcome it sends to first. They end with the node: the
// caller of an end that was not confirmed repeats it at another.
func (c *Controller) endUntilStored(ctx context.Context, id string, first chan<- error) {
	begun := time.Now()
	err := c.endOnce(ctx, id)
	first <- err
	if err == nil || errors.Is(err, ErrNotFound) || !c.beginEnding(id) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endFor)
	defer cancel()
	defer context.AfterFunc(c.running, cancel)()
	for err != nil && !errors.Is(err, ErrNotFound) && wait.Sleep(ctx, endRetry+rand.N(endRetry/2)) == nil {
		err = c.endOnce(ctx, id)
	}
	c.options.Log.Notice("finished storing the end of a job", "job", id, "ms", time.Since(begun).Milliseconds(), "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ending, id)
}

// beginEnding reports whether no other call repeats the attempts to end a job.
func (c *Controller) beginEnding(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending[id] {
		return false
	}
	c.ending[id] = true
	return true
}

// endOnce makes one attempt to end a job.
func (c *Controller) endOnce(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	err := c.endInStore(ctx, id)
	if err == nil || errors.Is(err, ErrNotFound) {
		return err
	}
	jobOwner, _, ownerErr := c.ownerOf(ctx, id)
	if ownerErr != nil || jobOwner == c.self() {
		return err
	}
	var reply EndReply
	if c.callOwner(ctx, jobOwner, id, "Jobs.End", EndArgs{ID: id}, time.Second, &reply) == nil && reply.Found {
		return nil
	}
	return err
}

// endInStore marks the head as ended and stops the runs at the owner.
func (c *Controller) endInStore(ctx context.Context, id string) error {
	for {
		h, revision, err := c.readHead(ctx, id)
		if err != nil {
			return err
		}
		if !h.Ended {
			h.Ended = true
			revision, err = c.putHead(ctx, h, revision)
			if isConflict(err) {
				continue
			}
			if err != nil {
				return errors.Join(ErrUnavailable, err)
			}
		}
		c.options.Log.Routine("end of job stored", "job", id, "revision", revision, "owner", h.Owner)
		c.stopEnded(h, revision)
		return nil
	}
}

// stopEnded stops the work on an ended job, here and at its owner. An owner that does not answer soon is told until it does.
func (c *Controller) stopEnded(h head, revision int64) {
	stored := ownedIn(h, revision)
	to := owner{h.Owner, h.Incarnation}
	if j := c.ownedJob(h.ID); j != nil && to == c.self() {
		j.mu.Lock()
		j.revision = max(j.revision, revision)
		j.mu.Unlock()
		c.stopJob(j)
		return
	}
	c.compareOwned(stored)
	if to == c.self() {
		return
	}
	told := make(chan struct{})
	go func() {
		defer close(told)
		ctx, cancel := context.WithTimeout(context.Background(), endTellTimeout)
		defer cancel()
		if err := c.options.Peers.Call(ctx, to.Node, "Jobs.Stop", EndArgs{ID: h.ID}, &Nothing{}); err != nil {
			c.options.Log.Notice("job owner not told of the job's end, retrying", "job", h.ID, "owner", to.Node, "error", err)
			c.tell(to, stored)
		}
	}()
	if !c.options.Fleet.Lost(to.Node, to.Incarnation) {
		<-told
	}
}

// Stop stops the work on a job whose end is stored.
func (r *Receiver) Stop(args EndArgs, _ *Nothing) error {
	self := r.c.self()
	r.c.mu.Lock()
	j := r.c.jobs[args.ID]
	r.c.keepMissed(Owned{ID: args.ID, Owner: self.Node, Incarnation: self.Incarnation, Revision: math.MaxInt64, Ended: true})
	r.c.mu.Unlock()
	if j != nil {
		r.c.stopJob(j)
	}
	return nil
}
