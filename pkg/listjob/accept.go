package listjob

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/wait"
)

// Accept stores a job and begins it. It returns nil once the job is durable, also when it was before.
func (c *Controller) Accept(ctx context.Context, s Submission) error {
	begun := time.Now()
	err := c.accept(ctx, s)
	outcome := "accepted"
	if errors.Is(err, errNoRoom) {
		err = c.acceptElsewhere(ctx, s)
		outcome = "elsewhere"
	}
	switch {
	case errors.Is(err, ErrRefused):
		outcome = "refused"
	case err != nil:
		outcome = "unknown"
	default:
		c.o.Metrics.accepting(time.Since(begun))
	}
	c.o.Metrics.job(outcome)
	return err
}

// errNoRoom is a refusal of a node that stops or has no memory for the job; another node may take it.
var errNoRoom = errors.Join(ErrRefused, Error.New("no room on this node"))

func (c *Controller) accept(ctx context.Context, s Submission) error {
	size := int64(0)
	for _, it := range s.Items {
		size += heldBytes(it.Body)
	}
	c.mu.Lock()
	mine := c.jobs[s.ID]
	_, hinted := c.hints[s.ID]
	held, stopping := c.held(), c.stopping
	c.mu.Unlock()
	switch {
	case mine != nil && mine.unconfirmed.Load():
		return errors.Join(ErrUnknown, Error.New("items not stored yet"))
	case mine != nil || hinted:
		c.o.Log.Routine("job was accepted before", "job", s.ID)
		return nil
	case stopping, held+size > int64(maxHeldPart*float64(c.o.MemoryBytes)):
		c.o.Log.Notice("job refused", "job", s.ID, "held_bytes", held, "bytes", size, "stopping", stopping)
		return errNoRoom
	}
	return c.create(ctx, s)
}

const (
	// acceptTries is how many other nodes are asked to take a job for which this one has no room.
	acceptTries = 2
	// acceptTimeout bounds one such call where the caller waits longer.
	acceptTimeout = 2 * time.Second
)

// AcceptReply tells what became of a job that another node was asked to take.
type AcceptReply struct{ Accepted, Refused, Full bool }

// Accept takes a job for which another node has no room.
func (r *Receiver) Accept(s Submission, reply *AcceptReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	err := r.c.accept(ctx, s)
	*reply = AcceptReply{Accepted: err == nil, Refused: errors.Is(err, ErrRefused), Full: errors.Is(err, errNoRoom)}
	return nil
}

// acceptElsewhere has another node accept a job. A call without an answer leaves the outcome open.
func (c *Controller) acceptElsewhere(ctx context.Context, s Submission) error {
	others := rendezvous.Ranked(s.ID, c.o.Fleet.Takers())
	for _, node := range others[:min(acceptTries, len(others))] {
		var reply AcceptReply
		call, cancel := context.WithTimeout(ctx, acceptTimeout)
		err := c.o.Peers.Call(call, node, "Jobs.Accept", s, &reply)
		cancel()
		c.o.Log.Routine("job given to another node", "job", s.ID, "peer", node, "accepted", reply.Accepted, "refused", reply.Refused, "error", err)
		switch {
		case err == nil && reply.Accepted:
			return nil
		case errors.Is(err, peer.ErrUnreachable), err == nil && reply.Full:
			continue
		case err == nil && reply.Refused:
			return ErrRefused
		}
		return errors.Join(ErrUnknown, err)
	}
	return ErrRefused
}

func heldBytes(body []byte) int64 { return bodyFactor * int64(len(body)+itemOverhead) }

// held returns the bytes that open jobs take. The caller holds the lock.
func (c *Controller) held() int64 {
	sum := int64(0)
	for _, j := range c.jobs {
		j.mu.Lock()
		for _, it := range j.items {
			if it.phase != listed {
				sum += heldBytes(it.Body) + int64(len(it.text))
			}
		}
		for _, r := range j.results {
			sum += int64(len(r.Text))
		}
		j.mu.Unlock()
	}
	return sum
}

const (
	// hedgeAfter is how long a write may stay without an answer before it is sent once more: the store answers in some
	// milliseconds, and may lose answers to writes that it did. A job must be accepted in a few tenths of a second.
	hedgeAfter = 100 * time.Millisecond
	// slowCall is the time from which an answered call counts as slow; usual ones take a tenth of that. slowFor is how long
	// the store is taken to be slow after one, a little longer than sweepEvery.
	slowCall, slowFor = 60 * time.Millisecond, 3 * time.Second
	// repairRetry and repairFor are the pause and the longest time for which items are written whose head is stored already.
	repairRetry, repairFor = 200 * time.Millisecond, 30 * time.Second
)

// create stores a job: first its items, then its head, which makes it accepted. While the store is slow both are written at
// the same time.
func (c *Controller) create(ctx context.Context, s Submission) error {
	var values [][]byte
	for _, part := range chunks(s.Items) {
		value, err := json.Marshal(part)
		if err != nil {
			return errors.Join(ErrRefused, err)
		}
		values = append(values, value)
	}
	self := c.self()
	h := head{
		ID: s.ID, Host: s.Host, Path: s.Path, Total: len(s.Items), Chunks: len(values), Submitted: time.Now().UTC(),
		Owner: self.Node, Incarnation: self.Incarnation,
	}
	if c.storeSlow(time.Now()) {
		return c.createAtOnce(ctx, s, h, values)
	}
	if err := c.putChunks(ctx, s.ID, values); err != nil {
		// Without its head nothing of the job runs, whatever became of the items.
		c.o.Log.Notice("job refused", "job", s.ID, "reason", "items not stored", "error", err)
		return errors.Join(ErrRefused, err)
	}
	revision, err := c.createHead(ctx, h)
	return c.created(s, h, revision, err)
}

// createAtOnce writes items and head at the same time. If only the head is stored, the job is begun and its items are written
// until they are stored too; its acceptance is not confirmed before that.
func (c *Controller) createAtOnce(ctx context.Context, s Submission, h head, values [][]byte) error {
	var chunksErr error
	var both sync.WaitGroup
	both.Go(func() { chunksErr = c.putChunks(ctx, s.ID, values) })
	revision, err := c.createHead(ctx, h)
	both.Wait()
	switch {
	case chunksErr == nil || errors.Is(err, store.ErrUnavailable):
		return c.created(s, h, revision, err)
	case err != nil:
		c.o.Log.Notice("job may have been accepted", "job", s.ID, "error", errors.Join(chunksErr, err))
		return errors.Join(ErrUnknown, chunksErr)
	}
	c.o.Log.Notice("head of a job stored before its items", "job", s.ID, "error", chunksErr)
	j := newJob(h, revision, s.Items)
	j.unconfirmed.Store(true)
	c.add(j)
	stored := make(chan error, 1)
	go func() {
		err := c.repairChunks(context.WithoutCancel(ctx), s.ID, values)
		if err == nil {
			j.unconfirmed.Store(false)
			c.announce(s.ID, revision)
		}
		stored <- err
	}()
	select {
	case err := <-stored:
		if err != nil {
			return errors.Join(ErrUnknown, err)
		}
		return nil
	case <-ctx.Done():
		return errors.Join(ErrUnknown, chunksErr)
	}
}

// created decides by the outcome of the head's write.
func (c *Controller) created(s Submission, h head, revision int64, err error) error {
	switch {
	case errors.Is(err, store.ErrConflict):
		c.o.Log.Routine("job was accepted before", "job", s.ID)
		return nil
	case errors.Is(err, store.ErrUnavailable):
		c.o.Log.Notice("job refused", "job", s.ID, "reason", "head not stored", "error", err)
		return errors.Join(ErrRefused, err)
	case err != nil:
		c.o.Log.Notice("job may have been accepted", "job", s.ID, "error", err)
		return errors.Join(ErrUnknown, err)
	}
	c.o.Log.Routine("job accepted", "job", s.ID, "items", len(s.Items), "chunks", h.Chunks)
	c.add(newJob(h, revision, s.Items))
	c.announce(s.ID, revision)
	return nil
}

// createHead writes a head that is not there yet. A conflict with the own head, of which an answer got lost, is none.
func (c *Controller) createHead(ctx context.Context, h head) (int64, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return 0, errors.Join(store.ErrUnavailable, err)
	}
	revision, err := c.putNew(ctx, headKind+h.ID, value)
	if !errors.Is(err, store.ErrConflict) {
		return revision, err
	}
	there, at, readErr := c.readHead(ctx, h.ID)
	if readErr == nil && there.Owner == h.Owner && there.Incarnation == h.Incarnation && there.Submitted.Equal(h.Submitted) {
		return at, nil
	}
	return 0, err
}

// putChunks writes a job's items. Chunks that are there already were written by an earlier attempt for the same job.
func (c *Controller) putChunks(ctx context.Context, id string, values [][]byte) error {
	for n, value := range values {
		if _, err := c.putNew(ctx, chunkKey(id, n), value); err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}

func (c *Controller) repairChunks(ctx context.Context, id string, values [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, repairFor)
	defer cancel()
	for {
		err := c.putChunks(ctx, id, values)
		if err == nil || ctx.Err() != nil {
			c.o.Log.Notice("items of a job stored after its head", "job", id, "error", err)
			return err
		}
		_ = wait.Sleep(ctx, repairRetry)
	}
}

// putNew creates an object, with a second attempt when the first gets no answer soon. An error that matches ErrUnavailable
// says that neither attempt was done.
func (c *Controller) putNew(ctx context.Context, key string, value []byte) (int64, error) {
	type outcome struct {
		revision int64
		err      error
	}
	outcomes := make(chan outcome, 2)
	attempt := func() {
		begun := time.Now()
		revision, err := c.o.Store.Put(ctx, key, value, store.CreateOnly)
		if err == nil || errors.Is(err, store.ErrConflict) {
			c.answeredIn(time.Since(begun))
		}
		outcomes <- outcome{revision, err}
	}
	go attempt()
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	var failed error
	for running := 1; running > 0; {
		select {
		case <-hedge.C:
			if !c.storeSlow(time.Now()) {
				running++
				go attempt()
			}
		case o := <-outcomes:
			running--
			if o.err == nil || errors.Is(o.err, store.ErrConflict) {
				return o.revision, o.err
			}
			if failed == nil || errors.Is(failed, store.ErrUnavailable) {
				failed = o.err
			}
		}
	}
	return 0, failed
}

// answeredIn records how long the store took for a call that it answered.
func (c *Controller) answeredIn(took time.Duration) {
	if took > slowCall {
		c.slowUntil.Store(time.Now().Add(slowFor).UnixNano())
	}
}

// storeSlow reports whether the store answered slowly a short time ago. One that does not answer at all is not slow.
func (c *Controller) storeSlow(now time.Time) bool { return now.UnixNano() < c.slowUntil.Load() }
