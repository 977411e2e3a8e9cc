package listjob

import (
	"context"
	"errors"
	"time"

	"trefoilplank.example/pkg/wait"
)

// readPoll is how often the log of a job without a reachable owner is read while a caller waits for a result.
const readPoll = 400 * time.Millisecond

// Listing is the answer to a read.
type Listing struct {
	Total   int
	Results []Result
}

// Read returns the results from position after on. It waits up to longest for the first one while there is none to come yet.
func (c *Controller) Read(ctx context.Context, id string, after int, longest time.Duration) (Listing, error) {
	if j := c.owned(id); j != nil {
		if l, ok := c.readOwned(ctx, j, after, longest); ok {
			return l, nil
		}
	}
	until := time.Now().Add(longest)
	who, _, err := c.ownerOf(ctx, id)
	if err != nil {
		return Listing{}, err
	}
	if who.Node != c.self().Node && c.o.Fleet.Alive(who.Node, who.Incarnation) {
		var reply ReadReply
		err := c.callOwner(ctx, who, id, "Jobs.Read", ReadArgs{ID: id, After: after, Wait: longest}, longest, &reply)
		if err == nil && reply.Found {
			return reply.Listing, nil
		}
	}
	return c.readStore(ctx, id, after, until)
}

// callOwner calls a job's owner, and forgets who it was when it does not answer as one.
func (c *Controller) callOwner(ctx context.Context, who owner, id, method string, args any, wait time.Duration, reply interface{ found() bool }) error {
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	err := c.o.Peers.Call(ctx, who.Node, method, args, reply)
	if err != nil || !reply.found() {
		c.o.Log.Routine("owner of a job did not answer", "job", id, "owner", who.Node, "method", method, "error", err)
		c.mu.Lock()
		if c.hints[id] == who {
			delete(c.hints, id)
		}
		c.mu.Unlock()
	}
	return err
}

// verifyEvery is how often the log of an owned job is checked while another node may have taken the job over; a position
// that was read must be there everywhere a second later.
const verifyEvery = 500 * time.Millisecond

// readOwned reads from memory. While the fleet may be seen differently elsewhere, an answer without results is first
// checked against the log, to which another owner may have added.
func (c *Controller) readOwned(ctx context.Context, j *job, after int, wait time.Duration) (Listing, bool) {
	j.mu.Lock()
	// An ended job is checked too: what another owner listed before the end stays readable.
	check := len(page(j.results, after)) == 0 && len(j.results) < len(j.items) && time.Since(j.verified) > verifyEvery
	// What the previous owner added while nobody read shows only if the log is read once more after that time.
	contested := j.verified.Before(j.contested)
	j.mu.Unlock()
	if check && (contested || c.o.Fleet.Doubtful()) && !c.verify(ctx, j) {
		return Listing{}, false
	}
	return j.read(ctx, after, wait)
}

// verify takes entries of the log that other nodes added; false when the log can't be read.
func (c *Controller) verify(ctx context.Context, j *job) bool {
	begun := time.Now()
	entries, err := c.readEntries(ctx, j.head.ID)
	if err != nil {
		c.o.Log.Notice("log of a job not verified", "job", j.head.ID, "error", err)
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.verified = begun
	for ; j.next < len(entries); j.next++ {
		c.o.Log.Notice("another node added to the log of a job", "job", j.head.ID, "entry", j.next)
		j.list(entries[j.next])
	}
	return true
}

// read returns the results of an owned job; false when the node stopped owning it meanwhile.
func (j *job) read(ctx context.Context, after int, wait time.Duration) (Listing, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		j.mu.Lock()
		l := Listing{Total: len(j.items), Results: page(j.results, after)}
		done := len(l.Results) > 0 || !j.open()
		released, changed := j.released, j.changed
		j.mu.Unlock()
		switch {
		case released && len(l.Results) == 0:
			return l, false
		case done || wait <= 0:
			return l, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return l, true
		case <-ctx.Done():
			return l, true
		}
	}
}

// readStore reads the log itself, for a job whose owner can't be reached.
func (c *Controller) readStore(ctx context.Context, id string, after int, until time.Time) (Listing, error) {
	for {
		h, _, err := c.readHead(ctx, id)
		if err != nil {
			return Listing{}, err
		}
		results, _, err := c.readLog(ctx, id)
		if err != nil {
			return Listing{}, err
		}
		l := Listing{Total: h.Total, Results: page(results, after)}
		if len(l.Results) > 0 || h.Ended || len(results) >= h.Total || time.Until(until) < readPoll || ctx.Err() != nil {
			return l, nil
		}
		_ = wait.Sleep(ctx, readPoll)
	}
}

// Body returns the body of an item that is not listed yet.
func (c *Controller) Body(ctx context.Context, id, itemID string) ([]byte, error) {
	if j := c.owned(id); j != nil {
		if body, ok := j.body(itemID); ok {
			return body, nil
		}
	} else if who, _, err := c.ownerOf(ctx, id); err != nil {
		return nil, err
	} else if who != c.self() && c.o.Fleet.Alive(who.Node, who.Incarnation) {
		var reply BodyReply
		if err := c.callOwner(ctx, who, id, "Jobs.Body", BodyArgs{ID: id, Item: itemID}, 0, &reply); err == nil && reply.Found {
			return reply.Body, nil
		}
	}
	h, _, err := c.readHead(ctx, id)
	if err != nil {
		return nil, err
	}
	items, err := c.readItems(ctx, h)
	if err != nil {
		return nil, err
	}
	for _, it := range items {
		if it.ID == itemID {
			return it.Body, nil
		}
	}
	return nil, ErrNotFound
}

// body returns the body of an item while it is not listed.
func (j *job) body(id string) ([]byte, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	it := j.byID[id]
	if it == nil || it.phase == listed {
		return nil, false
	}
	return it.Body, true
}

// Types of the calls between nodes.
type (
	// Nothing is an empty answer.
	Nothing struct{ Done bool }
	// Owned tells who owns a job since the given revision of its head.
	Owned struct {
		ID, Owner             string
		Incarnation, Revision int64
	}
	// AdoptArgs asks a node to take a job over.
	AdoptArgs struct {
		ID       string
		Partials []Partial
	}
	// ReadArgs asks a job's owner for results.
	ReadArgs struct {
		ID    string
		After int
		Wait  time.Duration
	}
	// ReadReply is the owner's answer; Found is false when it does not own the job.
	ReadReply struct {
		Found   bool
		Listing Listing
	}
	// BodyArgs asks for an item's body.
	BodyArgs struct{ ID, Item string }
	// BodyReply is the owner's answer.
	BodyReply struct {
		Found bool
		Body  []byte
	}
	// EndArgs asks the owner to end a job.
	EndArgs struct{ ID string }
	// EndReply is the owner's answer; Found is false when it does not own the job.
	EndReply struct{ Found bool }
)

func (r *ReadReply) found() bool { return r.Found }
func (r *BodyReply) found() bool { return r.Found }
func (r *EndReply) found() bool  { return r.Found }

// Receiver answers other nodes.
type Receiver struct{ c *Controller }

// Receiver returns the receiver for net/rpc.
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// Owned takes the owner of a job.
func (r *Receiver) Owned(args Owned, _ *Nothing) error {
	to := owner{args.Owner, args.Incarnation}
	if j := r.c.owned(args.ID); j != nil {
		j.mu.Lock()
		newer := args.Revision > j.revision
		j.mu.Unlock()
		if newer && to != r.c.self() {
			r.c.relinquish(j, to)
		} // An older announcement came late: this node has taken the job over since.
		return nil
	}
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.c.hints[args.ID] = to
	return nil
}

// Adopt takes a job over from a node that stops.
func (r *Receiver) Adopt(args AdoptArgs, reply *Nothing) error {
	reply.Done = true
	return r.c.adopt(context.Background(), args.ID, args.Partials)
}

// Read returns the results of an owned job.
func (r *Receiver) Read(args ReadArgs, reply *ReadReply) error {
	j := r.c.owned(args.ID)
	if j == nil {
		return nil
	}
	reply.Listing, reply.Found = r.c.readOwned(context.Background(), j, args.After, args.Wait)
	return nil
}

// Body returns the body of an item of an owned job.
func (r *Receiver) Body(args BodyArgs, reply *BodyReply) error {
	if j := r.c.owned(args.ID); j != nil {
		reply.Body, reply.Found = j.body(args.Item)
	}
	return nil
}

// End ends an owned job.
func (r *Receiver) End(args EndArgs, reply *EndReply) error {
	if r.c.owned(args.ID) == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	err := r.c.endInStore(ctx, args.ID)
	reply.Found = err == nil
	return err
}

// endTimeout bounds the write that ends a job.
const endTimeout = 3 * time.Second

// End ends a job. It returns nil once the end is durable.
func (c *Controller) End(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	err := c.endInStore(ctx, id)
	if err == nil || errors.Is(err, ErrNotFound) {
		return err
	}
	who, _, ownerErr := c.ownerOf(ctx, id)
	if ownerErr != nil || who == c.self() {
		return err
	}
	var reply EndReply
	if c.callOwner(ctx, who, id, "Jobs.End", EndArgs{ID: id}, time.Second, &reply) == nil && reply.Found {
		return nil
	}
	return err
}

// endInStore marks the head as ended and tells the owner, which stops its runs.
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
		c.ended(h, revision)
		return nil
	}
}

// ended stops the work on a job here, or tells the owner to.
func (c *Controller) ended(h head, revision int64) {
	if j := c.owned(h.ID); j != nil {
		j.mu.Lock()
		j.revision = max(j.revision, revision)
		j.mu.Unlock()
		c.stopJob(j)
		return
	}
	who := owner{h.Owner, h.Incarnation}
	if who == c.self() || !c.o.Fleet.Alive(who.Node, who.Incarnation) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if err := c.o.Peers.Call(ctx, who.Node, "Jobs.Stop", EndArgs{ID: h.ID}, &Nothing{}); err != nil {
			c.o.Log.Notice("owner not told of a job's end", "job", h.ID, "owner", who.Node, "error", err)
		}
	}()
}

// Stop ends the work on a job whose end is durable.
func (r *Receiver) Stop(args EndArgs, _ *Nothing) error {
	if j := r.c.owned(args.ID); j != nil {
		r.c.stopJob(j)
	}
	return nil
}
