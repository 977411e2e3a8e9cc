package listjob

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/pkg/forward"
	"trefoilplank.example/pkg/wait"
)

const (
	// sweepEvery is the time between reads of all heads, in which orphaned and ended jobs are found.
	sweepEvery = 2 * time.Second
	// firstSweeps reads follow each other faster after a start: when all nodes were restarted nobody runs the open jobs, and
	// two seconds would pass before they go on.
	firstSweeps, firstSweepEvery = 5, 400 * time.Millisecond
	// peerTimeout bounds a call to a job's owner beyond the wait that it asks for.
	peerTimeout = 700 * time.Millisecond
	// maxHeldPart is the part of the memory limit that item bodies and results may take; more jobs are refused.
	maxHeldPart = 0.15
	// bodyFactor counts a body twice: while it is written it also exists as text.
	bodyFactor = 2
	// itemOverhead is about what an item takes beside its body.
	itemOverhead = 1000
	// keptAfter is how long a job stays readable after its submission beyond the bound of the platform.
	keptAfter = 30 * time.Second
)

// Options configures a Controller.
type Options struct {
	Store  store.Store
	Peers  peer.Caller
	Fleet  *fleet.Fleet
	Placer *placer.Placer
	Client *forward.Client
	Table  func() *routing.Table
	// MemoryBytes is the node's memory limit.
	MemoryBytes int64
	// Readable is how long after its submission a job must stay readable.
	Readable time.Duration
	Log      *eventlog.Log
	Metrics  *Metrics
}

// owner is the node that runs a job, as far as this node knows.
type owner struct {
	Node        string
	Incarnation int64
}

// Controller accepts, runs and reads jobs. It is safe for concurrent use.
type Controller struct {
	o Options

	mu    sync.Mutex
	jobs  map[string]*job
	hints map[string]owner
	// stopping is set once the node hands its jobs on.
	stopping bool
	// loading are the jobs that are being taken over.
	loading map[string]bool
	wake    chan struct{}
	lengths *lengths
	// slowUntil is the Unix nanosecond until which the store is taken to be slow.
	slowUntil atomic.Int64
}

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{
		o: o, jobs: map[string]*job{}, hints: map[string]owner{}, loading: map[string]bool{}, wake: make(chan struct{}, 1),
		lengths: newLengths(),
	}
}

// Run schedules items and looks for orphaned jobs until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var all sync.WaitGroup
	all.Go(func() { c.schedule(ctx) })
	all.Go(func() { c.sweepLoop(ctx) })
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
	m := c.o.Fleet.Self()
	return owner{m.Name, m.Incarnation}
}

// add begins a job that this node owns.
func (c *Controller) add(j *job) {
	c.times(j)
	c.mu.Lock()
	c.jobs[j.head.ID] = j
	delete(c.hints, j.head.ID)
	c.mu.Unlock()
	c.wakeUp()
}

// times sets when the job's results are due, by its route in force.
func (c *Controller) times(j *job) {
	j.due, j.until = j.head.Submitted.Add(presetCompletion), j.head.Submitted.Add(presetRetention)
	table := c.o.Table()
	if table == nil {
		return
	}
	if r := table.Match(j.head.Host, j.head.Path); r != nil {
		if r.Completion > 0 {
			j.due = j.head.Submitted.Add(r.Completion)
		}
		if r.Retention > 0 {
			j.until = j.head.Submitted.Add(r.Retention)
		}
	}
}

// Times of jobs whose route names none.
const (
	presetCompletion = time.Minute
	presetRetention  = time.Hour
)

func (c *Controller) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// announce tells the other nodes who owns a job, so that they need not ask the store.
func (c *Controller) announce(id string, revision int64) {
	for _, node := range c.o.Fleet.Others() {
		go c.tell(node, id, revision)
	}
}

// tell tells a node that this one owns a job.
func (c *Controller) tell(node, id string, revision int64) {
	self := c.self()
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := c.o.Peers.Call(ctx, node, "Jobs.Owned", Owned{ID: id, Owner: self.Node, Incarnation: self.Incarnation, Revision: revision}, &Nothing{}); err != nil {
		c.o.Log.Routine("owner of a job not announced", "job", id, "peer", node, "error", err)
	}
}

// owned returns a job that this node runs, or nil.
func (c *Controller) owned(id string) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// ownerOf returns the node that runs a job, asking the store when it is not known. The error is ErrNotFound when the job
// does not exist.
func (c *Controller) ownerOf(ctx context.Context, id string) (owner, head, error) {
	c.mu.Lock()
	hint, ok := c.hints[id]
	c.mu.Unlock()
	if ok && c.o.Fleet.Alive(hint.Node, hint.Incarnation) {
		return hint, head{}, nil
	}
	h, _, err := c.readHead(ctx, id)
	if err != nil {
		return owner{}, head{}, err
	}
	found := owner{h.Owner, h.Incarnation}
	c.mu.Lock()
	c.hints[id] = found
	c.mu.Unlock()
	return found, h, nil
}

func (c *Controller) readHead(ctx context.Context, id string) (head, int64, error) {
	o, err := c.o.Store.Get(store.WithFresh(ctx), headKind+id)
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

// sweepLoop reads all heads from time to time.
func (c *Controller) sweepLoop(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		every := sweepEvery
		if n < firstSweeps {
			every = firstSweepEvery
		}
		_ = wait.Sleep(ctx, every+rand.N(every/4))
		if c.o.Table() == nil {
			n = -1 // Without a configuration nothing can run.
			continue
		}
		begun := time.Now()
		page, err := store.ListAll(store.WithStale(ctx), c.o.Store, headKind)
		if err != nil {
			continue // The watches log that the store is away.
		}
		c.answeredIn(time.Since(begun))
		for _, o := range page.Objects {
			h, err := decodeHead(o)
			if err != nil {
				c.o.Log.Notice("head of a job can't be read", "key", o.Key, "error", err)
				continue
			}
			c.inspect(ctx, h, o.Revision)
		}
		c.forget(time.Now())
	}
}

// inspect compares a head with what this node believes, and takes the job over if its owner is gone.
func (c *Controller) inspect(ctx context.Context, h head, revision int64) {
	self := c.self()
	named := owner{h.Owner, h.Incarnation}
	if j := c.owned(h.ID); j != nil {
		j.mu.Lock()
		newer := revision > j.revision
		j.mu.Unlock()
		switch {
		case newer && named != self:
			c.relinquish(j, named)
		case newer && h.Ended:
			c.stopJob(j)
		}
		return
	}
	if h.Ended && time.Since(h.Submitted) > c.o.Readable {
		return
	}
	if named != self && c.o.Fleet.Alive(h.Owner, h.Incarnation) {
		return
	}
	c.mu.Lock()
	stopping := c.stopping
	c.mu.Unlock()
	// An earlier start of this node is gone for certain; whether another node is takes a while to know.
	certain := named.Node == self.Node
	if stopping || !certain && (!c.o.Fleet.Sure() || c.successor(h.ID) != self.Node) {
		return
	}
	go c.adopt(context.WithoutCancel(ctx), h.ID, nil)
}

// successor returns the node that takes an orphaned job over.
func (c *Controller) successor(id string) string {
	if ranked := rendezvous.Ranked(id, c.o.Fleet.Weights()); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

// forget drops jobs that need not be readable any more.
func (c *Controller) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, j := range c.jobs {
		j.mu.Lock()
		old := now.Sub(j.head.Submitted) > c.o.Readable+keptAfter && !j.open()
		j.mu.Unlock()
		if old {
			delete(c.jobs, id)
		}
	}
}

// relinquish leaves a job to its new owner.
func (c *Controller) relinquish(j *job, to owner) {
	c.mu.Lock()
	delete(c.jobs, j.head.ID)
	c.hints[j.head.ID] = to
	c.mu.Unlock()
	j.mu.Lock()
	j.released = true
	j.stopRuns()
	close(j.changed)
	j.changed = make(chan struct{})
	j.mu.Unlock()
	c.o.Metrics.job("left")
	c.o.Log.Notice("job left to another node", "job", j.head.ID, "owner", to.Node)
}

// stopRuns ends the runs of a job. The caller holds the lock.
func (j *job) stopRuns() {
	for _, it := range j.items {
		if it.stop != nil {
			it.stop()
		}
	}
}

// stopJob ends the work on a job whose end is durable.
func (c *Controller) stopJob(j *job) {
	j.mu.Lock()
	j.head.Ended = true
	j.stopRuns()
	close(j.changed)
	j.changed = make(chan struct{})
	j.mu.Unlock()
	c.o.Log.Routine("job ended", "job", j.head.ID, "listed", len(j.results), "total", j.head.Total)
}
