package listjob

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
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
	Metrics  *forward.Metrics
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

// Accept stores a job and begins it. It returns nil once the job is durable, also when it was before.
func (c *Controller) Accept(ctx context.Context, s Submission) error {
	err := c.accept(ctx, s)
	if errors.Is(err, errNoRoom) {
		err = c.acceptElsewhere(ctx, s)
	}
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
	_, mine := c.jobs[s.ID]
	_, hinted := c.hints[s.ID]
	held, stopping := c.held(), c.stopping
	c.mu.Unlock()
	switch {
	case mine || hinted:
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

func (c *Controller) create(ctx context.Context, s Submission) error {
	parts := chunks(s.Items)
	for n, part := range parts {
		value, err := json.Marshal(part)
		if err != nil {
			return errors.Join(ErrRefused, err)
		}
		_, err = c.o.Store.Put(ctx, chunkKey(s.ID, n), value, store.CreateOnly)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			// Without its head nothing of the job runs, whatever became of the chunk.
			c.o.Log.Notice("job refused", "job", s.ID, "reason", "items not stored", "error", err)
			return errors.Join(ErrRefused, err)
		}
	}
	self := c.self()
	h := head{
		ID: s.ID, Host: s.Host, Path: s.Path, Total: len(s.Items), Chunks: len(parts), Submitted: time.Now().UTC(),
		Owner: self.Node, Incarnation: self.Incarnation,
	}
	value, err := json.Marshal(h)
	if err != nil {
		return errors.Join(ErrRefused, err)
	}
	revision, err := c.o.Store.Put(ctx, headKind+s.ID, value, store.CreateOnly)
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
	c.o.Log.Routine("job accepted", "job", s.ID, "items", len(s.Items), "chunks", len(parts))
	c.add(newJob(h, revision, s.Items))
	c.announce(s.ID)
	return nil
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
func (c *Controller) announce(id string) {
	for _, node := range c.o.Fleet.Others() {
		go c.tell(node, id)
	}
}

// tell tells a node that this one owns a job.
func (c *Controller) tell(node, id string) {
	self := c.self()
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := c.o.Peers.Call(ctx, node, "Jobs.Owned", Owned{ID: id, Owner: self.Node, Incarnation: self.Incarnation}, &Nothing{}); err != nil {
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
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, sweepEvery+rand.N(sweepEvery/4))
		page, err := store.ListAll(store.WithStale(ctx), c.o.Store, headKind)
		if err != nil {
			continue // The watches log that the store is away.
		}
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
	if stopping || named != self && (!c.o.Fleet.Sure() || c.successor(h.ID) != self.Node) {
		return
	}
	go c.adopt(context.WithoutCancel(ctx), h.ID, nil)
}

// successor returns the node that takes an orphaned job over.
func (c *Controller) successor(id string) string {
	weights := map[string]float64{}
	for _, m := range c.o.Fleet.Live() {
		if !m.Draining {
			weights[m.Name] = m.Weight
		}
	}
	if ranked := rendezvous.Ranked(id, weights); len(ranked) > 0 {
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
