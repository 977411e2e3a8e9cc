package listjob

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/controller/failedruns"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/quota"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/pkg/forward"
)

const (
	// peerTimeout limits a call to a job's owner, in addition to the wait that the call requests.
	peerTimeout = 700 * time.Millisecond
	// maxJobMemoryFraction is the fraction of the memory limit that item bodies and results may use; jobs beyond it are
	// refused.
	maxJobMemoryFraction = 0.15
	// bodyFactor counts a body twice: while it is written it also exists as text.
	bodyFactor = 2
	// itemOverhead is the approximate memory in bytes of an item without its body.
	itemOverhead = 1000
	// readableMargin is how much longer than the platform requires a job stays readable.
	readableMargin = 30 * time.Second
)

// Options configures a Controller.
type Options struct {
	Store  store.Store
	Peers  peer.Caller
	Fleet  *fleet.Fleet
	Placer *placer.Placer
	Client *forward.Client
	// Diagnose tries to connect to a silent upstream, as DiagnoseSilent of uplink.Links does.
	Diagnose func(ctx context.Context, address string) uplink.Diagnosis
	// FailedRuns holds the failed runs of all nodes; nil if they are not recorded.
	FailedRuns *failedruns.Controller
	Table      func() *routing.Table
	// AwaitTable waits until the table can be relied on, if the process did not run for a while; nil if it always can.
	AwaitTable func(ctx context.Context)
	// IsHub reports whether this node is the hub, which sweeps the heads of all jobs for the others. HubSweeps reports whether
	// this node has a hub that does.
	IsHub, HubSweeps func() bool
	// Hub returns the node that last answered as the hub, "" if none did.
	Hub func() string
	// MemoryBytes is the node's memory limit in bytes.
	MemoryBytes int64
	// Readable is how long after its submission a job must stay readable.
	Readable time.Duration
	// HubWaiting returns the tokens of the unfinished items by job, as the owners last reported them to the hub, for jobs on
	// routes with a limit on waiting tokens. ReserveWaiting asks the hub whether a job fits and returns by how much it exceeds
	// the limit. Both fail if there is no hub.
	HubWaiting     func(context.Context) (map[string]int64, error)
	ReserveWaiting func(context.Context, quota.Reservation) (excess int64, err error)
	Log            *eventlog.Log
	Metrics        *Metrics
}

// owner identifies the node that runs a job. Incarnation differs between the starts of a node.
type owner struct {
	Node        string
	Incarnation int64
}

// Controller accepts, runs and reads jobs. It is safe for concurrent use.
type Controller struct {
	options Options

	mu sync.Mutex
	// jobs holds the jobs that this node owns; knownOwners caches the owners of other jobs.
	jobs        map[string]*job
	knownOwners knownOwners
	// stopping is set once the node hands its jobs over.
	stopping bool
	// adopting holds the jobs that are being taken over, with the beginnings of these attempts.
	adopting map[string]time.Time
	// undecided holds the jobs whose heads are stored and that may not fit into the limit of their route; the channels are
	// closed with the decision.
	undecided map[string]chan struct{}
	// withdrawing holds those of them that do not fit, while their withdrawal is not stored.
	withdrawing map[string]bool
	// lastRefusals holds the last refusals because of the limits of routes, by limitName.
	lastRefusals map[string]lastRefusal
	// swept is what the last sweep of this node as the hub found, by job. sweeps counts these sweeps; it is used by sweepLoop only.
	swept  map[string]Owned
	sweeps int
	// onlyCustomersAt is when the last of these sweeps began, if it found no job without a customer.
	onlyCustomersAt time.Time
	onlyCustomers   onlyCustomers
	// reported holds what other nodes have told this one of jobs, as the hub, while its sweeps do not show it.
	reported map[string]reportedJob
	// untold holds what other processes must be told of jobs.
	untold map[owner]*untold
	// creating holds the jobs whose heads are being created.
	creating map[string]creation
	// ending holds the jobs whose ends are stored by repeated attempts.
	ending map[string]bool
	// missed holds what this node was told of jobs that it creates or takes over, until it owns them in memory.
	missed map[string]Owned
	// verifiedAt is when this node last began to compare all its jobs with the store, sweptAt when it last began a sweep of its
	// own, and sweptFreshAt one that read the store's present state: others may be seconds old.
	verifiedAt, sweptAt, sweptFreshAt time.Time
	// ran is the time in which this process ran.
	ran runClock
	// running ends, by stopped, with Run.
	running context.Context
	stopped context.CancelFunc
	// wake makes schedule look for items to start at once.
	wake    chan struct{}
	lengths *lengthModel
	// entryLimit is the size in bytes up to which this node writes entries of result logs.
	entryLimit atomic.Int64
	// removing is set while this node removes jobs from the store.
	removing atomic.Bool
	// slowUntil is the time, in Unix nanoseconds, until which the store counts as slow.
	slowUntil atomic.Int64
}

// New returns a controller; Run starts its work.
func New(o Options) *Controller {
	c := &Controller{
		options: o, jobs: map[string]*job{}, adopting: map[string]time.Time{}, undecided: map[string]chan struct{}{},
		creating: map[string]creation{}, missed: map[string]Owned{}, reported: map[string]reportedJob{}, ending: map[string]bool{}, withdrawing: map[string]bool{}, lastRefusals: map[string]lastRefusal{}, untold: map[owner]*untold{}, wake: make(chan struct{}, 1),
		lengths: newLengthModel(),
	}
	c.running, c.stopped = context.WithCancel(context.Background())
	c.entryLimit.Store(maxEntryBytes)
	return c
}

// Run schedules items and looks for orphaned jobs until ctx ends, then stops all runs.
func (c *Controller) Run(ctx context.Context) error {
	defer c.stopped()
	var all sync.WaitGroup
	all.Go(func() { c.schedule(ctx) })
	all.Go(func() { c.sweepLoop(ctx) })
	all.Go(func() { c.deliverLoop(ctx) })
	all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		j.mu.Lock()
		j.stopRuns()
		j.mu.Unlock()
	}
	return ctx.Err()
}

func (c *Controller) self() owner {
	m := c.options.Fleet.Self()
	return owner{m.Name, m.Incarnation}
}

// startJob starts a job that this node owns, unless it was told of a later owner, or runs the job already.
func (c *Controller) startJob(j *job) {
	id := j.head.ID
	c.setTimes(j, c.options.Table())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] != nil {
		return
	}
	if now, ok := c.missed[id]; ok && now.Revision > j.revision {
		if to := (owner{now.Owner, now.Incarnation}); to != (owner{j.head.Owner, j.head.Incarnation}) {
			j.released = true
			c.knownOwners.set(id, to)
			c.options.Log.Notice("job is now owned by another node", "job", id, "owner", to.Node)
			return
		}
		j.head.Ended = j.head.Ended || now.Ended
	}
	if begun, ok := c.creating[id]; ok {
		j.ownedAt = begun.begun
	} else {
		j.ownedAt = c.adopting[id]
	}
	c.jobs[id] = j
	c.knownOwners.drop(id)
	c.wakeUp()
}

// keepMissed keeps what this node is told of a job that it creates or takes over. The caller holds c.mu.
func (c *Controller) keepMissed(stored Owned) {
	if c.jobs[stored.ID] == nil && c.isStarting(stored.ID) && stored.Revision > c.missed[stored.ID].Revision {
		c.missed[stored.ID] = stored
	}
}

// dropMissed forgets it once this node neither creates the job nor takes it over. The caller holds c.mu.
func (c *Controller) dropMissed(id string) {
	if !c.isStarting(id) {
		delete(c.missed, id)
	}
}

// isStarting reports whether this node creates a job or takes it over. The caller holds c.mu.
func (c *Controller) isStarting(id string) bool {
	_, creating := c.creating[id]
	_, adopting := c.adopting[id]
	return creating || adopting
}

func (c *Controller) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// ownedJob returns the job if this node owns it, or nil.
func (c *Controller) ownedJob(id string) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// readHead reads a job's head and its revision. The error is ErrNotFound if the job does not exist, was refused or is over, and
// matches ErrUnavailable otherwise.
func (c *Controller) readHead(ctx context.Context, id string) (head, int64, error) {
	h, revision, err := c.readStoredHead(ctx, id)
	if err == nil && (h.Refused || c.isOver(h, c.options.Table(), time.Now())) {
		return head{}, 0, ErrNotFound
	}
	return h, revision, err
}

// readStoredHead is readHead for the heads of refused jobs and of those that are over too.
func (c *Controller) readStoredHead(ctx context.Context, id string) (head, int64, error) {
	o, err := c.options.Store.Get(store.WithFresh(ctx), headKind+id)
	if errors.Is(err, store.ErrNotFound) {
		return head{}, 0, ErrNotFound
	}
	if err != nil {
		return head{}, 0, errors.Join(ErrUnavailable, err)
	}
	h, err := decodeHead(o)
	if err != nil {
		return head{}, 0, errors.Join(ErrUnavailable, err)
	}
	return h, o.Revision, nil
}

// dropOldJobs forgets finished jobs that need not be readable any longer, and owners of jobs that were not looked up lately.
func (c *Controller) dropOldJobs(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knownOwners.rotate(now, c.options.Readable+readableMargin)
	for id, j := range c.jobs {
		j.mu.Lock()
		old := now.Sub(j.head.Submitted) > c.options.Readable+readableMargin && !j.isOpen()
		j.mu.Unlock()
		if old {
			delete(c.jobs, id)
		}
	}
}

// relinquish stops the work on a job that another node now owns, and records the new owner.
func (c *Controller) relinquish(j *job, to owner) {
	c.mu.Lock()
	delete(c.jobs, j.head.ID)
	c.knownOwners.set(j.head.ID, to)
	c.mu.Unlock()
	j.mu.Lock()
	j.released = true
	j.stopRuns()
	close(j.changed)
	j.changed = make(chan struct{})
	j.mu.Unlock()
	c.options.Metrics.countJob("left")
	c.options.Log.Notice("job is now owned by another node", "job", j.head.ID, "owner", to.Node)
}

// stopRuns cancels the runs of a job. The caller holds j.mu.
func (j *job) stopRuns() {
	for _, it := range j.items {
		if it.cancelRun != nil {
			it.cancelRun()
		}
	}
}

// stopJob stops the work on a job whose end is stored.
func (c *Controller) stopJob(j *job) {
	j.mu.Lock()
	j.head.Ended = true
	j.stopRuns()
	close(j.changed)
	j.changed = make(chan struct{})
	listed := len(j.results)
	j.mu.Unlock()
	c.options.Log.Routine("job ended", "job", j.head.ID, "listed", listed, "total", j.head.Total)
}
