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

// Accept stores a job and starts it. It returns nil once the job is durable, also if it was stored by an earlier
// call.
func (c *Controller) Accept(ctx context.Context, s Submission) error {
	begun := time.Now()
	s.TableVersion = max(s.TableVersion, c.tableVersion())
	err := c.acceptLocally(ctx, s)
	outcome := "accepted"
	if errors.Is(err, errNoCapacity) {
		err = c.acceptElsewhere(ctx, s)
		outcome = "elsewhere"
	}
	switch {
	case errors.Is(err, ErrRefused):
		outcome = "refused"
	case err != nil:
		outcome = "unknown"
	default:
		c.options.Metrics.observeAccept(time.Since(begun))
	}
	c.options.Metrics.countJob(outcome)
	return err
}

// errNoCapacity is returned by a node that is stopping or has no memory for the job; another node may accept it.
var errNoCapacity = errors.Join(ErrRefused, Error.New("node has no capacity for the job"))

// acceptLocally stores a job and starts it on this node. It returns errNoCapacity if another node may accept the job.
func (c *Controller) acceptLocally(ctx context.Context, s Submission) error {
	size := int64(0)
	for _, it := range s.Items {
		size += itemMemory(it.Body)
	}
	c.mu.Lock()
	existing := c.jobs[s.ID]
	jobOwner, knownElsewhere := c.knownOwners.get(s.ID)
	used, stopping := c.jobMemory(), c.stopping
	c.mu.Unlock()
	limit := c.waitingLimit(s.Host, s.Path)
	if existing == nil && limit > 0 {
		// A known owner may not have decided yet whether the job fits.
		knownElsewhere = knownElsewhere && c.ownerHasJob(ctx, jobOwner, s.ID)
	}
	switch {
	case existing != nil && existing.unconfirmed.Load():
		return errors.Join(ErrUnknown, Error.New("items of the job are not stored yet"))
	case existing != nil || knownElsewhere:
		c.options.Log.Routine("job is already accepted", "job", s.ID)
		return nil
	case limit > 0 && totalTokens(s.Items) > limit:
		c.options.Log.Notice("job refused", "job", s.ID, "reason", "larger than the limit on waiting tokens", "tokens", totalTokens(s.Items), "limit", limit)
		return errors.Join(ErrRefused, ErrTooLarge)
	case stopping, used+size > int64(maxJobMemoryFraction*float64(c.options.MemoryBytes)):
		c.options.Log.Notice("job refused", "job", s.ID, "held_bytes", used, "bytes", size, "stopping", stopping)
		return errNoCapacity
	}
	if limit > 0 {
		if err := c.refuseEarly(ctx, s); err != nil {
			c.options.Log.Routine("job refused", "job", s.ID, "reason", "limit on waiting tokens", "error", err)
			return err
		}
	}
	return c.createJob(ctx, s)
}

const (
	// acceptAttempts is how many other nodes are asked to accept a job for which this node has no capacity.
	acceptAttempts = 2
	// acceptTimeout limits one such call if the caller would wait longer, and acceptMargin is how much less the other node takes: what it
	// decides must arrive before the call ends, after which the outcome is unknown.
	acceptTimeout, acceptMargin = 2 * time.Second, 300 * time.Millisecond
)

// AcceptReply is the answer of a node that was asked to accept a job. Full means that it has no capacity either.
type AcceptReply struct {
	Accepted, Refused, Full bool
	// RetryAfter is set if the job does not fit into the limit on waiting tokens now, and TooLarge if it never does.
	RetryAfter time.Duration
	TooLarge   bool
	// ItemTooLarge is set if an item is too large to be stored.
	ItemTooLarge bool
}

// refusal returns the error for a reply whose Refused is set.
func (r AcceptReply) refusal() error {
	switch {
	case r.TooLarge:
		return errors.Join(ErrRefused, ErrTooLarge)
	case r.ItemTooLarge:
		return errors.Join(ErrRefused, ErrItemTooLarge)
	case r.RetryAfter > 0:
		return &FullError{RetryAfter: r.RetryAfter}
	}
	return ErrRefused
}

// Accept accepts a job for which another node has no capacity.
func (r *Receiver) Accept(s Submission, reply *AcceptReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout-acceptMargin)
	defer cancel()
	if !r.c.awaitTable(ctx, s.TableVersion) {
		r.c.options.Log.Notice("job refused", "job", s.ID, "reason", "older configuration than at the node that asks", "version", r.c.tableVersion(), "asked", s.TableVersion)
		*reply = AcceptReply{Refused: true, Full: true}
		return nil
	}
	err := r.c.acceptLocally(ctx, s)
	*reply = AcceptReply{
		Accepted: err == nil, Refused: errors.Is(err, ErrRefused), Full: errors.Is(err, errNoCapacity), TooLarge: errors.Is(err, ErrTooLarge),
		ItemTooLarge: errors.Is(err, ErrItemTooLarge),
	}
	if full := (*FullError)(nil); errors.As(err, &full) {
		reply.RetryAfter = full.RetryAfter
	}
	return nil
}

// acceptElsewhere asks other nodes to accept a job. If a call gets no answer, the outcome is unknown.
func (c *Controller) acceptElsewhere(ctx context.Context, s Submission) error {
	others := rendezvous.Ranked(s.ID, c.options.Fleet.AcceptingWeights())
	for _, node := range others[:min(acceptAttempts, len(others))] {
		var reply AcceptReply
		call, cancel := context.WithTimeout(ctx, acceptTimeout)
		err := c.options.Peers.Call(call, node, "Jobs.Accept", s, &reply)
		cancel()
		c.options.Log.Routine("asked another node to accept job", "job", s.ID, "peer", node, "accepted", reply.Accepted, "refused", reply.Refused, "error", err)
		switch {
		case err == nil && reply.Accepted:
			return nil
		case errors.Is(err, peer.ErrUnreachable), err == nil && reply.Full:
			continue
		case err == nil && reply.Refused:
			return reply.refusal()
		}
		return errors.Join(ErrUnknown, err)
	}
	return ErrRefused
}

// itemMemory returns the memory in bytes that an item uses before it has any output.
func itemMemory(body []byte) int64 { return bodyFactor * int64(len(body)+itemOverhead) }

// jobMemory returns the memory in bytes that the jobs of this node use. The caller holds c.mu.
func (c *Controller) jobMemory() int64 {
	sum := int64(0)
	for _, j := range c.jobs {
		j.mu.Lock()
		for _, it := range j.items {
			if it.phase != listed {
				sum += itemMemory(it.Body) + int64(len(it.text))
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
	// hedgeAfter is how long a write may go unanswered before it is sent a second time: the store answers within a
	// few milliseconds, and may lose the answer to a write that succeeded. A job must be accepted in a few tenths of
	// a second.
	hedgeAfter = 100 * time.Millisecond
	// slowCall is the duration from which an answered call counts as slow; usual calls take a tenth of that. After a
	// slow call the store counts as slow for slowPeriod, a little longer than sweepInterval.
	slowCall, slowPeriod = 60 * time.Millisecond, 3 * time.Second
	// repairInterval and repairTimeout are the pause between attempts to write the items of a job whose head is
	// already stored, and the time after which these attempts end.
	repairInterval, repairTimeout = 200 * time.Millisecond, 30 * time.Second
)

// createJob stores a job: first its items, then its head, which makes it accepted. While the store is slow both are
// written concurrently.
func (c *Controller) createJob(ctx context.Context, s Submission) error {
	values, err := encodeChunks(s.Items)
	if err != nil {
		c.options.Log.Notice("job refused", "job", s.ID, "reason", "items can't be stored", "error", err)
		return errors.Join(ErrRefused, err)
	}
	if !c.setCreating(s.ID, true) {
		return errNoCapacity
	}
	err = c.createStored(ctx, s, values)
	c.setCreating(s.ID, false)
	if errors.Is(err, ErrUnknown) && c.waitingLimit(s.Host, s.Path) == 0 {
		go c.followUp(ctx, s.ID)
	}
	return err
}

// creation is the beginning of the earliest attempt to create the head of a job, and the number of attempts in progress.
type creation struct {
	begun    time.Time
	attempts int
}

// setCreating records that an attempt to create the head of a job begins or ends. It returns false if none may begin, since the node hands its
// jobs over.
func (c *Controller) setCreating(id string, creating bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.creating[id]
	if creating {
		if c.stopping {
			return false
		}
		if now.attempts == 0 {
			now.begun = time.Now()
		}
		now.attempts++
		c.creating[id] = now
		return true
	}
	if now.attempts--; now.attempts > 0 {
		c.creating[id] = now
		return true
	}
	delete(c.creating, id)
	c.dropMissed(id)
	return true
}

// createStored stores a job whose items are encoded as values.
func (c *Controller) createStored(ctx context.Context, s Submission, values [][]byte) error {
	self := c.self()
	h := head{
		ID: s.ID, Host: s.Host, Path: s.Path, Total: len(s.Items), Chunks: len(values), Submitted: time.Now().UTC(),
		Owner: self.Node, Incarnation: self.Incarnation, Tokens: totalTokens(s.Items), Customer: s.Customer,
		TableVersion: max(s.TableVersion, c.tableVersion()),
	}
	if c.waitingLimit(s.Host, s.Path) > 0 {
		decided, isFirst := c.beginDecision(s.ID)
		if !isFirst {
			return c.awaitDecision(ctx, s.ID, decided)
		}
		defer c.endDecision(s.ID, decided)
	}
	if c.storeSlow(time.Now()) {
		return c.createConcurrently(ctx, s, h, values)
	}
	if err := c.putChunks(ctx, s.ID, values); err != nil {
		// Without a head no part of the job runs, whether or not the items were stored.
		c.options.Log.Notice("job refused", "job", s.ID, "reason", "items not stored", "error", err)
		return errors.Join(ErrRefused, err)
	}
	revision, err := c.createHead(ctx, h)
	return c.finishCreate(ctx, s, h, revision, err)
}

// createConcurrently writes the items and the head concurrently. If only the head is stored, the job is started and
// the items are written again until they are stored; acceptance is not confirmed before that.
func (c *Controller) createConcurrently(ctx context.Context, s Submission, h head, values [][]byte) error {
	var chunksErr error
	var both sync.WaitGroup
	both.Go(func() { chunksErr = c.putChunks(ctx, s.ID, values) })
	revision, err := c.createHead(ctx, h)
	both.Wait()
	switch {
	case chunksErr == nil || errors.Is(err, store.ErrUnavailable):
		return c.finishCreate(ctx, s, h, revision, err)
	case err != nil:
		c.options.Log.Notice("job not stored for certain, it may have been accepted", "job", s.ID, "error", errors.Join(chunksErr, err))
		return errors.Join(ErrUnknown, chunksErr, c.withdrawUnknown(ctx, h))
	}
	if err := c.admit(ctx, h, revision); err != nil {
		return err
	}
	c.options.Log.Notice("job head stored but not its items, writing them again", "job", s.ID, "error", chunksErr)
	j := newJob(h, revision, s.Items)
	j.unconfirmed.Store(true)
	c.startJob(j)
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

// finishCreate starts the job or returns an error, depending on the outcome of writing its head.
func (c *Controller) finishCreate(ctx context.Context, s Submission, h head, revision int64, err error) error {
	switch {
	case errors.Is(err, store.ErrConflict):
		return c.checkExisting(ctx, s)
	case errors.Is(err, store.ErrUnavailable):
		c.options.Log.Notice("job refused", "job", s.ID, "reason", "head not stored", "error", err)
		return errors.Join(ErrRefused, err)
	case err != nil:
		c.options.Log.Notice("job not stored for certain, it may have been accepted", "job", s.ID, "error", err)
		return errors.Join(ErrUnknown, err, c.withdrawUnknown(ctx, h))
	}
	if err := c.admit(ctx, h, revision); err != nil {
		return err
	}
	c.options.Log.Routine("job accepted", "job", s.ID, "items", len(s.Items), "chunks", h.Chunks)
	c.startJob(newJob(h, revision, s.Items))
	if c.ownedJob(s.ID) != nil {
		c.announce(s.ID, revision)
	}
	return nil
}

// createHead creates a head, in place of that of a refused job if there is one. A conflict with this node's own head is not
// an error, unless the job was ended meanwhile: the answer to an earlier write was lost.
func (c *Controller) createHead(ctx context.Context, h head) (int64, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return 0, errors.Join(store.ErrUnavailable, err)
	}
	revision, err := c.createObject(ctx, headKind+h.ID, value)
	if !errors.Is(err, store.ErrConflict) {
		return revision, err
	}
	stored, storedRevision, readErr := c.readStoredHead(ctx, h.ID)
	if readErr == nil && stored.Refused {
		return c.replaceHead(ctx, h, storedRevision)
	}
	if readErr == nil && !stored.Ended && stored.Owner == h.Owner && stored.Incarnation == h.Incarnation && stored.Submitted.Equal(h.Submitted) {
		return storedRevision, nil
	}
	return 0, err
}

// putChunks writes a job's items. Chunks that exist were written by an earlier attempt for the same job.
func (c *Controller) putChunks(ctx context.Context, id string, values [][]byte) error {
	for n, value := range values {
		if _, err := c.createObject(ctx, chunkKey(id, n), value); err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}

// repairChunks writes a job's items again until they are stored or repairTimeout ends.
func (c *Controller) repairChunks(ctx context.Context, id string, values [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	for {
		err := c.putChunks(ctx, id, values)
		if err == nil || ctx.Err() != nil {
			c.options.Log.Notice("finished writing the items of a stored job head", "job", id, "error", err)
			return err
		}
		_ = wait.Sleep(ctx, repairInterval)
	}
}

// createObject creates an object, with a second attempt if the first is not answered soon. An error that matches
// ErrUnavailable means that neither attempt was carried out.
func (c *Controller) createObject(ctx context.Context, key string, value []byte) (int64, error) {
	type outcome struct {
		revision int64
		err      error
	}
	outcomes := make(chan outcome, 2)
	attempt := func() {
		begun := time.Now()
		revision, err := c.options.Store.Put(ctx, key, value, store.CreateOnly)
		if err == nil || errors.Is(err, store.ErrConflict) {
			c.recordStoreLatency(time.Since(begun))
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

// recordStoreLatency records how long an answered call to the store took.
func (c *Controller) recordStoreLatency(took time.Duration) {
	if took > slowCall {
		c.slowUntil.Store(time.Now().Add(slowPeriod).UnixNano())
	}
}

// storeSlow reports whether the store answered slowly within the last slowPeriod. Calls that are not answered at all
// do not count.
func (c *Controller) storeSlow(now time.Time) bool { return now.UnixNano() < c.slowUntil.Load() }
