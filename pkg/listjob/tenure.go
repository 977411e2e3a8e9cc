package listjob

import (
	"context"
	"slices"
	"time"

	"trefoilplank.example/pkg/adapter/store"
)

// An owner that was frozen, cut off or starved may have lost its jobs without being told. It learns so by its own clock: a job is
// certainly its own only while the hub has answered its reports without a gap since it last compared the job with the store.

const (
	// runBelief is how long after it last compared a job with the store a node starts items of it while others may count the node
	// as lost: items of an ended job must not reach an upstream three seconds after the end, and a sound upstream that is silent
	// reads them over a second after they were sent.
	runBelief = 1500 * time.Millisecond
)

// ownership is what this node knows at a moment of its owning jobs.
type ownership struct {
	now time.Time
	// certain is set if other nodes certainly count this node as live, without a gap since the time since.
	certain bool
	since   time.Time
	// verifiedAt and sweptFreshAt are those of the controller.
	verifiedAt, sweptFreshAt time.Time
}

func (c *Controller) ownership() ownership {
	since, certain := c.options.Fleet.CertainSince()
	c.mu.Lock()
	defer c.mu.Unlock()
	return ownership{time.Now(), certain, since, c.verifiedAt, c.sweptFreshAt}
}

// isCertain reports whether a job is certainly this node's, so that nothing of it changed without this node.
func (o ownership) isCertain(j *job) bool { return o.certain && !o.comparedAt(j).Before(o.since) }

// comparedAt returns when this node last certainly owned the job by the store: when it began to accept it, to take it over or to
// compare all its jobs.
func (o ownership) comparedAt(j *job) time.Time {
	if j.ownedAt.After(o.verifiedAt) {
		return j.ownedAt
	}
	return o.verifiedAt
}

// mayRun reports whether items of the job may start.
func (o ownership) mayRun(j *job) bool {
	return o.isCertain(j) || o.now.Sub(o.comparedAt(j)) <= runBelief || o.now.Sub(o.sweptFreshAt) <= runBelief
}

// hasUncertainJobs reports whether this node has open jobs that others may have taken over or ended.
func (c *Controller) hasUncertainJobs() bool {
	o := c.ownership()
	return slices.ContainsFunc(c.openJobs(), func(j *job) bool { return !o.isCertain(j) })
}

// mustVerify reports whether the hub hears this node again, and it has open jobs that others may have taken over or ended before.
// While no hub hears the node, reads check the logs and sweeps the heads.
func (c *Controller) mustVerify() bool {
	o := c.ownership()
	if !o.certain {
		return false
	}
	return c.hasUncertainJobs()
}

func (c *Controller) ownedJobs() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	return list
}

func (c *Controller) openJobs() (open []*job) {
	for _, j := range c.ownedJobs() {
		j.mu.Lock()
		if j.isOpen() {
			open = append(open, j)
		}
		j.mu.Unlock()
	}
	return open
}

// verifyTimeout bounds one comparison of this node's jobs with the store, and verifyRetry is the least time between two.
const verifyTimeout, verifyRetry = time.Second, 200 * time.Millisecond

// verify compares this node's jobs with the store, after a time in which others may have counted it as lost. What they began then
// may end later: for a while the logs are checked before answers without results.
func (c *Controller) verify(ctx context.Context) {
	begun := time.Now()
	before := c.ownedJobs()
	for _, j := range before {
		j.mu.Lock()
		j.contestedUntil = begun.Add(contestPeriod)
		j.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	_, err := store.ListEach(store.WithFresh(ctx), c.options.Store, headKind, func(page []store.Object) {
		for _, o := range page {
			if h, err := decodeHead(o); err == nil && c.ownedJob(h.ID) != nil { // Sweeps log heads that can't be decoded.
				c.compareOwned(ownedIn(h, o.Revision))
			}
		}
	})
	if err != nil {
		c.options.Log.Notice("own jobs not compared with the store, retrying", "jobs", len(before), "error", err)
		return
	}
	c.mu.Lock()
	c.verifiedAt = begun
	c.mu.Unlock()
	c.options.Log.Notice("own jobs compared with the store", "jobs", len(before), "kept", len(c.ownedJobs()), "ms", time.Since(begun).Milliseconds())
	c.wakeUp()
}

// compareWithHead compares a job of this node with its stored head.
func (c *Controller) compareWithHead(ctx context.Context, id string) {
	h, revision, err := c.readStoredHead(ctx, id)
	if err != nil {
		c.options.Log.Notice("head of job not read", "job", id, "error", err)
		return
	}
	c.compareOwned(ownedIn(h, revision))
}

// ownedIn returns what a head says of the owner of its job.
func ownedIn(h head, revision int64) Owned {
	return Owned{ID: h.ID, Owner: h.Owner, Incarnation: h.Incarnation, Revision: revision, Ended: h.Ended}
}

// CheckArgs asks the hub which jobs have changed since the given revisions of their heads.
type CheckArgs struct{ Jobs map[string]int64 }

// CheckReply is the hub's answer. Swept is false if the node has not read the heads lately. OnlyCustomers is set if it has, and all jobs are
// those of customers; hubs of builds before this field never set it.
type CheckReply struct {
	Swept         bool
	Changed       []Owned
	OnlyCustomers bool
}

// Check answers by the last sweep of this node, and by what other nodes have reported since.
func (r *Receiver) Check(args CheckArgs, reply *CheckReply) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	reply.Swept = r.c.swept != nil && time.Since(r.c.sweptAt) <= maxSweepAge
	reply.OnlyCustomers = time.Since(r.c.onlyCustomersAt) <= maxSweepAge
	for id, revision := range args.Jobs {
		if now := r.c.latest(id); now.Revision > revision {
			reply.Changed = append(reply.Changed, now)
		}
	}
	return nil
}

// maxSweepAge is how old the last sweep of a hub may be: two that were late.
const maxSweepAge = 2 * hubSweepInterval

// checkAtHub asks the hub what changed of this node's open jobs: a hub or a new owner that tells it may fail to. It returns false
// if the hub has not answered, or does not know.
func (c *Controller) checkAtHub(ctx context.Context, hub string, open []*job) bool {
	args := CheckArgs{Jobs: make(map[string]int64, len(open))}
	for _, j := range open {
		j.mu.Lock()
		args.Jobs[j.head.ID] = j.revision
		j.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply CheckReply
	if err := c.options.Peers.Call(ctx, hub, "Jobs.Check", args, &reply); err != nil {
		c.options.Log.Routine("hub not asked for changes of own jobs", "peer", hub, "error", err)
		return false
	}
	for _, stored := range reply.Changed {
		c.compareOwned(stored)
	}
	return reply.Swept
}
