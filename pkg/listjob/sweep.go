package listjob

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/wait"
)

// The hub reads the heads of all jobs periodically and finds those whose owner is lost, which it hands to their successors,
// and owners that missed a change of theirs, which it tells. A node reads the heads itself while no hub does.

const (
	// sweepInterval is the time between reads of all heads by a node without a hub, and hubSweepInterval that of the hub: an
	// owner that was not told of the end of its job must learn it within three seconds, and the list may be a second old.
	sweepInterval, hubSweepInterval = 2 * time.Second, 700 * time.Millisecond
	// The first firstSweeps reads of a hub are only firstSweepInterval apart: when all nodes were restarted, no node runs the
	// open jobs, which would otherwise wait two seconds.
	firstSweeps, firstSweepInterval = 5, 400 * time.Millisecond
	// uncoveredTime is how long a node has no hub that sweeps before it reads the heads itself: longer than the change from a
	// lost hub to the next one.
	uncoveredTime = time.Second
	// sweepCallTimeout limits a call of the hub to an owner or a successor. A takeover goes on after it.
	sweepCallTimeout = time.Second
	// retellSweeps is the number of the hub's sweeps after which it tells all owners again which jobs are theirs.
	retellSweeps = 10
	// followUpInterval is the time between checks of a job whose head this node may have written, and followUpTime the time
	// after which these checks end: a write without an answer may be carried out seconds later.
	followUpInterval, followUpTime = time.Second, 15 * time.Second
	// checkInterval is the time between two checks whether this node must sweep.
	checkInterval = 100 * time.Millisecond
)

// sweeper decides when a node reads the heads of all jobs.
type sweeper struct {
	// begun counts the sweeps since this node sweeps, and next is the time of the next one.
	begun int
	next  time.Time
	// coveredAt is when a hub last swept for this node; missed is set if this node owned jobs while none did, so that it may
	// have missed changes of them.
	coveredAt time.Time
	missed    bool
}

// due reports whether the heads must be read now. covered is whether the hub, another node, sweeps, and hub whether this node
// is the hub; ownsJobs is whether this node has jobs that another node may have taken over.
func (s *sweeper) due(hub, covered, ownsJobs bool, now time.Time) bool {
	switch {
	case covered && s.missed:
		s.missed, s.coveredAt, s.begun = false, now, 0
		return true
	case covered:
		s.coveredAt, s.begun, s.next = now, 0, time.Time{}
		return false
	case !hub:
		if s.coveredAt.IsZero() {
			s.coveredAt = now
		}
		s.missed = s.missed || ownsJobs
		if now.Sub(s.coveredAt) < uncoveredTime {
			return false
		}
	}
	if now.Before(s.next) {
		return false
	}
	every := sweepInterval
	if hub {
		every = hubSweepInterval
	}
	if s.begun < firstSweeps {
		every = firstSweepInterval
	}
	s.begun++
	s.next = now.Add(every + rand.N(every/4))
	return true
}

// sweepLoop sweeps whenever that is due, until ctx ends.
func (c *Controller) sweepLoop(ctx context.Context) {
	var s sweeper
	kept := time.Now()
	var verified time.Time
	var check hubCheck
	for wait.Sleep(ctx, checkInterval) == nil {
		c.onlyCustomers.observe(c.options.Table(), time.Now())
		if now := time.Now(); now.Sub(kept) > sweepInterval {
			kept = now
			c.markDoneJobs()
			c.dropOldJobs(now)
		}
		if c.options.Table() == nil {
			continue // Without a configuration no job can run.
		}
		if now := time.Now(); now.Sub(verified) >= verifyRetry && c.mustVerify() {
			verified = now
			c.verify(ctx)
		}
		hub := c.options.IsHub()
		c.mu.Lock()
		ownsJobs := len(c.jobs) > 0
		c.mu.Unlock()
		if s.due(hub, !hub && c.options.HubSweeps() && check.covers(ctx, c), ownsJobs, time.Now()) {
			c.sweep(ctx, hub)
		}
	}
}

// hubCheck is when the hub last answered what changed of this node's jobs.
type hubCheck struct{ asked, answered time.Time }

// covers asks the hub if that is due, and reports whether it has answered lately, or need not be asked.
func (h *hubCheck) covers(ctx context.Context, c *Controller) bool {
	open := c.openJobs()
	now := time.Now()
	if len(open) == 0 {
		h.answered = now
		return true
	}
	if now.Sub(h.asked) >= hubSweepInterval {
		h.asked = now
		if hub := c.options.Hub(); hub != "" && c.checkAtHub(ctx, hub, open) {
			h.answered = now
		}
	}
	return now.Sub(h.answered) <= maxSweepAge
}

// sweep reads all heads and compares them with the state of this node, or of all nodes if it is the hub. The cheap lists of the store may be
// seconds old; a node whose jobs others may have ended needs a present one to go on with them.
func (c *Controller) sweep(ctx context.Context, hub bool) {
	begun, fresh := time.Now(), c.hasUncertainJobs()
	read := store.WithStale(ctx)
	if fresh {
		read = store.WithFresh(ctx)
	}
	table, now := c.options.Table(), time.Now()
	var heads, over []sweptHead
	var newest time.Time
	_, err := store.ListEach(read, c.options.Store, headKind, func(page []store.Object) {
		for _, o := range page {
			h, err := decodeHead(o)
			if err != nil {
				c.options.Log.Notice("job head can't be decoded", "key", o.Key, "error", err)
				continue
			}
			if h.Submitted.After(newest) {
				newest = h.Submitted
			}
			switch {
			case !c.isOver(h, table, now):
				heads = append(heads, sweptHead{h, o.Revision})
			case len(over) < maxRemovals:
				over = append(over, sweptHead{h, o.Revision})
			}
		}
	})
	if err != nil {
		return // The store watches log that the store is unavailable.
	}
	c.mu.Lock()
	c.sweptAt = begun
	if fresh {
		c.sweptFreshAt = begun
	}
	c.mu.Unlock()
	c.recordStoreLatency(time.Since(begun))
	for _, h := range heads {
		c.checkHead(ctx, h.Head, h.Revision)
	}
	if hub {
		c.sweepForOthers(ctx, heads)
		if newest.Before(now) {
			now = newest // A node whose clock is ahead removes nothing.
		}
		c.removeOver(ctx, slices.DeleteFunc(over, func(h sweptHead) bool { return !c.isOver(h.Head, table, now) }))
	}
}

// sweptHead is a head as a sweep read it.
type sweptHead struct {
	Head     head
	Revision int64
}

// checkHead compares a stored head with this node's state, and takes the job over if its owner is gone.
func (c *Controller) checkHead(ctx context.Context, h head, revision int64) {
	self := c.self()
	headOwner := owner{h.Owner, h.Incarnation}
	if c.ownedJob(h.ID) != nil {
		c.compareOwned(ownedIn(h, revision))
		return
	}
	if headOwner == self && !h.Refused && time.Since(h.Submitted) <= c.options.Readable {
		// The write that made this node the owner got no answer, or the job's head was read before another node gave it up.
		go c.resume(ctx, h.ID)
		return
	}
	if !c.orphaned(h) {
		return
	}
	// An earlier incarnation of this node is certainly gone; whether another node is gone takes time to establish.
	certain := headOwner.Node == self.Node
	if c.isStopping() || !certain && (!c.options.Fleet.MayDeclareLost() || c.successor(h.ID) != self.Node) {
		return
	}
	go c.adoptOrphan(ctx, sweptHead{h, revision})
}

// adoptOrphan takes over a job; the next sweep repeats an attempt that fails.
func (c *Controller) adoptOrphan(ctx context.Context, h sweptHead) {
	if c.adoptFrom(context.WithoutCancel(ctx), h.Head.ID, &h, nil) != nil { // adoptFrom logs its errors.
		c.followUp(ctx, h.Head.ID)
	}
}

// orphaned reports whether a job must be taken over: its owner is gone, and it must be run or read.
func (c *Controller) orphaned(h head) bool {
	return !h.Refused && (!h.Ended || time.Since(h.Submitted) <= c.options.Readable) && c.options.Fleet.Lost(h.Owner, h.Incarnation)
}

func (c *Controller) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

// compareOwned compares what the store says of a job with this node's state of it. A job that is this node's, but does not run
// here, is taken over: the write that made this node its owner got no answer.
func (c *Controller) compareOwned(stored Owned) {
	to := owner{stored.Owner, stored.Incarnation}
	j := c.ownedJob(stored.ID)
	if j == nil {
		c.mu.Lock()
		c.keepMissed(stored)
		c.mu.Unlock()
		if to == c.self() && !c.isStopping() {
			go c.resume(context.Background(), stored.ID)
		}
		return
	}
	j.mu.Lock()
	newer := stored.Revision > j.revision
	j.mu.Unlock()
	switch {
	case newer && to != c.self():
		c.relinquish(j, to)
	case newer && stored.Ended:
		c.stopJob(j)
	}
}

// resume takes over a job that is this node's by the store, but does not run here.
func (c *Controller) resume(ctx context.Context, id string) {
	c.mu.Lock()
	busy := c.busyWith(id) || c.stopping
	c.mu.Unlock()
	if busy {
		return
	}
	h, revision, err := c.readHead(ctx, id)
	if err != nil || (owner{h.Owner, h.Incarnation}) != c.self() {
		return // The next sweep or announcement repeats it.
	}
	_ = c.adoptFrom(ctx, id, &sweptHead{h, revision}, nil) // adoptFrom logs its errors.
}

// sweepForOthers hands orphaned jobs to their successors, and tells owners what changed of their jobs since the last sweep.
func (c *Controller) sweepForOthers(ctx context.Context, heads []sweptHead) {
	self := c.self().Node
	previous := c.swept
	c.sweeps++
	retell := previous == nil || c.sweeps%retellSweeps == 0
	swept := make(map[string]Owned, len(heads))
	onlyCustomers := true
	for _, h := range heads {
		onlyCustomers = onlyCustomers && isScoped(h.Head.ID)
		now := ownedIn(h.Head, h.Revision)
		swept[now.ID] = now
		before, known := previous[now.ID]
		if known && before.Owner != now.Owner && before.Owner != self {
			c.tell(owner{before.Owner, before.Incarnation}, now)
		}
		readable := time.Since(h.Head.Submitted) <= c.options.Readable && !h.Head.Refused
		if (retell && readable && c.options.Fleet.Alive(now.Owner, now.Incarnation) || known && now.Ended && !before.Ended) && now.Owner != self {
			c.tell(owner{now.Owner, now.Incarnation}, now)
		}
		if c.orphaned(h.Head) && c.options.Fleet.MayDeclareLost() {
			c.handToSuccessor(ctx, h)
		}
	}
	c.mu.Lock()
	c.swept = swept
	c.dropReported(time.Now())
	c.onlyCustomersAt = time.Time{}
	if onlyCustomers {
		c.onlyCustomersAt = c.sweptAt
	}
	c.mu.Unlock()
	c.deliver(ctx)
}

// handToSuccessor asks the node that should take over an orphaned job to do so: the one that the owner's process ran on, if it
// was restarted, or the first one in rank that is not stopping.
func (c *Controller) handToSuccessor(ctx context.Context, h sweptHead) {
	to := h.Head.Owner
	if !c.options.Fleet.Alive(to, 0) {
		to = c.successor(h.Head.ID)
	}
	if to == "" || to == c.self().Node {
		return // checkHead has done it.
	}
	value, err := json.Marshal(h.Head)
	if err != nil {
		c.options.Log.Notice("job head can't be encoded", "job", h.Head.ID, "error", err)
	}
	go c.callSwept(ctx, to, "Jobs.Adopt", AdoptArgs{ID: h.Head.ID, Head: value, Revision: h.Revision})
}

// callSwept makes a call of the hub's sweep.
func (c *Controller) callSwept(ctx context.Context, node, method string, args any) {
	ctx, cancel := context.WithTimeout(ctx, sweepCallTimeout)
	defer cancel()
	if err := c.options.Peers.Call(ctx, node, method, args, &Nothing{}); err != nil {
		c.options.Log.Routine("hub's sweep did not reach a node", "peer", node, "method", method, "error", err)
	}
}

// ChangedArgs tells a node what the store says of jobs that it owns or owned.
type ChangedArgs struct{ Jobs []Owned }

// Changed compares what the hub's sweep found with this node's state.
func (r *Receiver) Changed(args ChangedArgs, _ *Nothing) error {
	for _, stored := range args.Jobs {
		r.c.compareOwned(stored)
	}
	return nil
}

// followUp takes a job over whose head this node may have written, without an answer of the store, as its owner.
func (c *Controller) followUp(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), followUpTime)
	defer cancel()
	for {
		_ = wait.Sleep(ctx, followUpInterval+rand.N(followUpInterval/2))
		if ctx.Err() != nil || c.ownedJob(id) != nil || c.isStopping() {
			return
		}
		h, revision, err := c.readHead(ctx, id)
		if err != nil {
			continue // Not stored yet, or the store is unavailable.
		}
		if (owner{h.Owner, h.Incarnation}) != c.self() || c.adoptFrom(ctx, id, &sweptHead{h, revision}, nil) == nil {
			return
		}
	}
}

// successor returns the node that should take over an orphaned job.
func (c *Controller) successor(id string) string {
	if ranked := rendezvous.Ranked(id, c.options.Fleet.Weights()); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}
