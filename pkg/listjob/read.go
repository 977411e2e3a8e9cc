package listjob

import (
	"context"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/wait"
)

// readPoll is how often the log of a job is read when its owner can't be reached and a caller waits for a result.
const readPoll = 400 * time.Millisecond

// Listing is a page of a job's results, with the total number of its items.
type Listing struct {
	Total   int
	Results []Result
}

// Read returns the results from position after on. If there are none yet, it waits up to maxWait for the first one.
func (c *Controller) Read(ctx context.Context, id string, after int, maxWait time.Duration) (Listing, error) {
	if j := c.ownedJob(id); j != nil {
		if l, ok := c.readOwned(ctx, j, after, maxWait); ok {
			return l, nil
		}
	}
	for until := time.Now().Add(maxWait); ; {
		jobOwner, h, err := c.ownerOf(ctx, id)
		if err != nil {
			return Listing{}, err
		}
		if jobOwner.Node != c.self().Node && c.options.Fleet.Alive(jobOwner.Node, jobOwner.Incarnation) {
			left := max(0, time.Until(until))
			var reply ReadReply
			err := c.callOwner(ctx, jobOwner, id, "Jobs.Read", ReadArgs{ID: id, After: after, Wait: left}, left, &reply)
			if err == nil && reply.Found {
				return reply.Listing, nil
			}
		}
		l, complete, err := c.readStore(ctx, id, h, after)
		if err != nil || complete || len(l.Results) > 0 || time.Until(until) < readPoll || ctx.Err() != nil {
			return l, err
		}
		// Another node may have taken the job over meanwhile, and answers from memory.
		_ = wait.Sleep(ctx, readPoll)
	}
}

// callOwner calls a job's owner. If that node does not answer or does not own the job, callOwner drops it as the
// known owner.
func (c *Controller) callOwner(ctx context.Context, jobOwner owner, id, method string, args any, wait time.Duration, reply interface{ found() bool }) error {
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	err := c.options.Peers.Call(ctx, jobOwner.Node, method, args, reply)
	if err != nil || !reply.found() {
		c.options.Log.Routine("job owner did not answer or does not own the job", "job", id, "owner", jobOwner.Node, "method", method, "error", err)
		c.mu.Lock()
		if known, ok := c.knownOwners.get(id); ok && known == jobOwner {
			c.knownOwners.drop(id)
		}
		c.mu.Unlock()
	}
	return err
}

// logCheckInterval is how often the log of an owned job is checked while another node may own the job too; a position
// that was read must be readable at all nodes a second later.
const logCheckInterval = 500 * time.Millisecond

// readOwned reads from memory. While another node may own the job too and add to the log, it checks the log before it
// answers without results. It returns false if the log can't be read or this node no longer owns the job.
func (c *Controller) readOwned(ctx context.Context, j *job, after int, wait time.Duration) (Listing, bool) {
	if c.mustCheckLog(j, after) && !c.checkLog(ctx, j) {
		return Listing{}, false
	}
	l, ok := j.read(ctx, after, wait)
	// Another owner may have listed results during the wait, and the node may have been frozen.
	if ok && len(l.Results) == 0 && ctx.Err() == nil && c.mustCheckLog(j, after) {
		if !c.checkLog(ctx, j) {
			return Listing{}, false
		}
		return j.read(ctx, after, 0)
	}
	return l, ok
}

// mustCheckLog reports whether another node may have listed results of a job, at a position from which this node has none.
func (c *Controller) mustCheckLog(j *job, after int) bool {
	o := c.ownership()
	j.mu.Lock()
	defer j.mu.Unlock()
	// An ended job is checked too: results that another owner listed before the end stay readable.
	if after < len(j.results) || len(j.results) >= len(j.items) {
		return false
	}
	if o.isCertain(j) && !c.options.Fleet.ViewMayDiffer() {
		// Results that the previous owner added while nobody read the job are found only by reading the log once after
		// contestedUntil.
		return j.logCheckedAt.Before(j.contestedUntil) && o.now.Sub(j.logCheckedAt) > logCheckInterval
	}
	return o.now.Sub(j.logCheckedAt) > logCheckInterval
}

// checkLog adds the log entries of other nodes to the job; it returns false if the log can't be read.
func (c *Controller) checkLog(ctx context.Context, j *job) bool {
	begun := time.Now()
	entries, err := c.readEntries(ctx, j.head.ID)
	if err != nil {
		c.options.Log.Notice("result log of job can't be read", "job", j.head.ID, "error", err)
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.logCheckedAt = begun
	for ; j.nextEntry < len(entries); j.nextEntry++ {
		c.options.Log.Notice("found results of another node in the job's log", "job", j.head.ID, "entry", j.nextEntry)
		j.appendEntry(entries[j.nextEntry])
	}
	return true
}

// read returns the results of an owned job, waiting up to wait for the first one; false means that the node no longer
// owns the job.
func (j *job) read(ctx context.Context, after int, wait time.Duration) (Listing, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		j.mu.Lock()
		l := Listing{Total: len(j.items), Results: page(j.results, after)}
		done := len(l.Results) > 0 || !j.isOpen()
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

// readStore reads the log from the store, for a job whose owner can't be reached. h is the job's head if it was just read.
// complete is set if no further results are expected.
func (c *Controller) readStore(ctx context.Context, id string, h head, after int) (l Listing, complete bool, err error) {
	if h.ID == "" {
		if h, _, err = c.readHead(ctx, id); err != nil {
			return Listing{}, false, err
		}
	}
	results, _, err := c.readLog(ctx, id)
	if err != nil {
		return Listing{}, false, err
	}
	return Listing{Total: h.Total, Results: page(results, after)}, h.Ended || len(results) >= h.Total, nil
}

// Body returns the body of an item, from the job's owner or from the store.
func (c *Controller) Body(ctx context.Context, id, itemID string) ([]byte, error) {
	if j := c.ownedJob(id); j != nil {
		if body, ok := j.body(itemID); ok {
			return body, nil
		}
	} else if jobOwner, _, err := c.ownerOf(ctx, id); err != nil {
		return nil, err
	} else if jobOwner != c.self() && c.options.Fleet.Alive(jobOwner.Node, jobOwner.Incarnation) {
		var reply BodyReply
		if err := c.callOwner(ctx, jobOwner, id, "Jobs.Body", BodyArgs{ID: id, Item: itemID}, 0, &reply); err == nil && reply.Found {
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

// body returns the body of an item that is not listed yet.
func (j *job) body(id string) ([]byte, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	it := j.byID[id]
	if it == nil || it.phase == listed {
		return nil, false
	}
	return it.Body, true
}

// Arguments and replies of the calls between nodes.
type (
	// Nothing is the reply of calls that return no data.
	Nothing struct{ Done bool }
	// Owned announces the owner of a job since the given revision of its head, and whether the job has been ended.
	Owned struct {
		ID, Owner             string
		Incarnation, Revision int64
		Ended                 bool
	}
	// AdoptArgs asks a node to take over a job. Head is the stored head at Revision, which must not have changed since; builds up to
	// 4971d18 send none when they stop.
	AdoptArgs struct {
		ID       string
		Partials []Partial
		Head     []byte
		Revision int64
	}
	// ReadArgs asks a job's owner for results.
	ReadArgs struct {
		ID    string
		After int
		Wait  time.Duration
	}
	// ReadReply is the owner's answer; Found is false if the node does not own the job.
	ReadReply struct {
		Found   bool
		Listing Listing
	}
	// BodyArgs asks a job's owner for the body of an item.
	BodyArgs struct{ ID, Item string }
	// BodyReply is the owner's answer; Found is false if the node does not own the job or the item is listed already.
	BodyReply struct {
		Found bool
		Body  []byte
	}
	// EndArgs asks the owner to end a job.
	EndArgs struct{ ID string }
	// EndReply is the owner's answer; Found is false if the node does not own the job.
	EndReply struct{ Found bool }
)

func (r *ReadReply) found() bool { return r.Found }
func (r *BodyReply) found() bool { return r.Found }
func (r *EndReply) found() bool  { return r.Found }

// Receiver serves the calls of other nodes.
type Receiver struct{ c *Controller }

// Receiver returns the receiver for net/rpc.
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// Owned records the announced owner of a job.
func (r *Receiver) Owned(args Owned, _ *Nothing) error {
	if r.c.ownedJob(args.ID) != nil {
		r.c.compareOwned(args) // An older announcement arrives late if this node took the job over since then.
		return nil
	}
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.c.knownOwners.set(args.ID, owner{args.Owner, args.Incarnation})
	return nil
}

// errTakingOver means that a node has not taken a job over yet, or another one has.
var errTakingOver = Error.New("job is not taken over yet")

// Adopt takes over a job from a node that is stopping. It returns nil only if this node owns the job: the other node forgets it then.
func (r *Receiver) Adopt(args AdoptArgs, reply *Nothing) error {
	reply.Done = true
	var known *sweptHead
	if h, err := decodeHead(store.Object{Key: headKind + args.ID, Value: args.Head}); err == nil {
		known = &sweptHead{h, args.Revision}
	}
	err := r.c.adoptFrom(context.Background(), args.ID, known, args.Partials)
	if err != nil && known != nil {
		go r.c.followUp(context.Background(), args.ID)
	}
	if err == nil && r.c.ownedJob(args.ID) == nil {
		return errTakingOver
	}
	return err
}

// Read returns results of a job that this node owns.
func (r *Receiver) Read(args ReadArgs, reply *ReadReply) error {
	j := r.c.ownedJob(args.ID)
	if j == nil {
		return nil
	}
	reply.Listing, reply.Found = r.c.readOwned(context.Background(), j, args.After, args.Wait)
	return nil
}

// Body returns the body of an item of a job that this node owns.
func (r *Receiver) Body(args BodyArgs, reply *BodyReply) error {
	if j := r.c.ownedJob(args.ID); j != nil {
		reply.Body, reply.Found = j.body(args.Item)
	}
	return nil
}
