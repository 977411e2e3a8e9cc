// Package batch is the controller of batch work on one node. It claims parts of jobs when upstreams that the
// node owns have idle slots, offers their items to admission, calls the upstreams and records the results.
//
// Jobs are found by one watch on the compact summaries below `open/` (one open store call per node); jobs are never
// polled. The part records of a job are listed only when the node needs work, with increasing delays.
package batch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2"
	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/handler"
	"trefoilplank.example/pkg/batch/jobstore"
	"trefoilplank.example/pkg/blackboard"
	leases "trefoilplank.example/pkg/controller/lease"
	"trefoilplank.example/pkg/decision/batchfill"
	"trefoilplank.example/pkg/decision/jobstate"
	"trefoilplank.example/pkg/decision/lease"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// Error is the class of the errors of this package.
var Error = errs.Class("batch")

// Times and rates of the controller.
const (
	// workRequestAge is how long an upstream's request for work is valid. Admission is notified more often than that,
	// so that the requests of upstreams that this node still owns are renewed.
	workRequestAge = 30 * time.Second
	notifyInterval = 10 * time.Second
	// idleRelease is the time without progress after which a part is released.
	idleRelease = 30 * time.Second
	// fleetReadRate bounds the store reads with which all nodes together search for work, in calls per second: a
	// fifth of the store's 2,000 reads/s. Each node gets an equal share, at most maxNodeReadRate; at 380 nodes that
	// is 1/s. A fixed 1/s would let an idle fleet of three nodes claim only one part of a small job per second. A
	// node that knows no other node gets minNodeReadRate, since many nodes may have just started or be cut off.
	fleetReadRate   = 400
	maxNodeReadRate = 50
	minNodeReadRate = 1
	readBurst       = 20
	// maxPendingBytes bounds the results that are not stored yet; at that size no item is started.
	maxPendingBytes = 32 << 20
)

// Options configure a controller. Node, Store, Board and Invoker are required.
type Options struct {
	Node    string
	Store   store.Store
	Board   *blackboard.Board
	Invoker serving.Invoker
	// Resumer may be nil; then items run unstreamed, and preempted ones restart from the beginning.
	Resumer serving.Resumer
	// Quarantine may be nil; then no request is quarantined.
	Quarantine serving.Quarantine
	// Owns reports whether this node is the admission owner of an upstream; if nil, every upstream that has asked for
	// work counts as owned. It is called with the controller's lock held and must not call the controller.
	Owns func(upstream string) bool
	// Peers may be nil; then the holders of parts notice a cancelled job at their next commit.
	Peers peer.Caller
	// Explain may be nil.
	Explain *explain.Log
	// Lease holds the times of node leases; zero means lease.Default. They must be the same on all nodes.
	Lease lease.Params
	// Retention is how long finished jobs and files are kept; 0 means handler.DefaultRetention.
	Retention time.Duration
}

// Controller runs the batch work of one node. It implements serving.BatchSource and handler.Canceller.
type Controller struct {
	Options
	jobs        jobstore.Jobs
	leases      *leases.Observer
	readLimiter *rate.Limiter
	states      *states
	inputs      *lru.Cache[string, *input]
	// claimSignal wakes the claim loop; its buffer holds one signal.
	claimSignal chan struct{}
	// tasks counts the committers and other goroutines that Run waits for.
	tasks sync.WaitGroup

	mu sync.Mutex
	// ctx is the context of Run; no new work is started after it ends.
	ctx      context.Context
	openJobs map[string]*openJob
	parts    map[partID]*part
	// vtime must be read through virtualTime; vtimeStale is set when open jobs were added or removed since vtime was
	// last aligned.
	vtime        batchfill.VirtualTime
	vtimeStale   bool
	workRequests map[string]workRequest
	// askedUpstreams holds the upstreams that have asked for work. unusableSince maps each target that an upstream of this
	// node could run before and none can run now to the time when this was noticed.
	askedUpstreams map[string]api.Upstream
	unusableSince  map[string]time.Time
	// itemsReady is closed and replaced whenever items may have become ready.
	itemsReady chan struct{}
	// lastTaken is when a ready item for a target was last taken.
	lastTaken map[string]time.Time
	// releasing holds the parts whose record may name this node as holder although it doesn't hold them.
	releasing map[partID]bool
	// pendingBytes is the size of the results that are not committed yet.
	pendingBytes int
	// storeDown is set while the store does not answer commits or the watch.
	storeDown bool
}

type partID struct {
	job   string
	index int
}

// workRequest is an upstream's latest request for work.
type workRequest struct {
	upstream api.Upstream
	at       time.Time
}

var (
	_ serving.BatchSource = (*Controller)(nil)
	_ handler.Canceller   = (*Controller)(nil)
)

// New returns a controller; Run starts it.
func New(o Options) (*Controller, error) {
	if o.Node == "" || o.Store == nil || o.Board == nil || o.Invoker == nil {
		return nil, Error.New("Node, Store, Board and Invoker are required")
	}
	if o.Lease == (lease.Params{}) {
		o.Lease = lease.Default
	}
	if o.Retention == 0 {
		o.Retention = handler.DefaultRetention
	}
	// A cached input is a file's record without its lines, up to about 100 KB.
	const cachedInputs = 32
	inputs, err := lru.New[string, *input](cachedInputs)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Controller{
		Options: o, jobs: jobstore.Jobs{Store: o.Store}, inputs: inputs,
		leases: leases.NewObserver(o.Store, o.Lease), states: newStates(),
		readLimiter: rate.NewLimiter(minNodeReadRate, readBurst), claimSignal: make(chan struct{}, 1),
		ctx: context.Background(), openJobs: map[string]*openJob{}, parts: map[partID]*part{},
		workRequests: map[string]workRequest{}, askedUpstreams: map[string]api.Upstream{}, itemsReady: make(chan struct{}),
		lastTaken: map[string]time.Time{}, releasing: map[partID]bool{},
	}, nil
}

// readRate returns this node's share of fleetReadRate in a fleet of the given number of nodes.
func readRate(nodes int) rate.Limit {
	if nodes < 2 {
		return minNodeReadRate
	}
	return min(maxNodeReadRate, rate.Limit(fleetReadRate)/rate.Limit(nodes))
}

// Handler returns the HTTP handler of /v1/files and /v1/batches on this node.
func (c *Controller) Handler() *handler.Handler {
	return handler.New(handler.Options{Store: c.Store, Canceller: c, Retention: c.Retention,
		Rules: func() api.Rules { return c.Board.Config.Value().Rules }})
}

// Run works until ctx ends. Then it starts no new item, waits for running items, commits their results and releases
// the parts.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	for _, loop := range []func(context.Context){c.watchLoop, c.claimLoop, c.usableLoop, c.janitorLoop, c.retentionLoop} {
		c.tasks.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	c.mu.Lock()
	for _, p := range c.parts {
		p.signalCommitter()
	}
	c.mu.Unlock()
	c.tasks.Wait()
	return nil
}

// ownHolder returns this node under its present lease as the holder of parts, and whether the lease is valid now.
func (c *Controller) ownHolder() (jobstate.Holder, bool) {
	l := c.Board.Lease.Value()
	return jobstate.Holder{Node: c.Node, Lease: l.Token}, l.Token > 0 && time.Now().Before(l.Deadline)
}

// stopping reports whether the node stops or drains, so that it accepts no new batch work; c.mu is held.
func (c *Controller) stopping() bool {
	return c.ctx.Err() != nil || c.Board.Draining.Value()
}

func (c *Controller) signalClaimLoop() {
	select {
	case c.claimSignal <- struct{}{}:
	default:
	}
}

// notifyAdmission signals to admission that items may be ready; c.mu is held.
func (c *Controller) notifyAdmission() {
	close(c.itemsReady)
	c.itemsReady = make(chan struct{})
}

func (c *Controller) explain(job, item, upstream, decision, reason string, values map[string]any) {
	if c.Explain != nil {
		c.Explain.Record(explain.Entry{Job: job, Item: item, Upstream: upstream, Decision: decision, Reason: reason, Values: values})
	}
}

// liveNodes returns the names of the live nodes, or only this node before the first member list arrives.
func (c *Controller) liveNodes() []string {
	live := c.Board.Members.Value().Live
	if len(live) == 0 {
		return []string{c.Node}
	}
	return slices.Sorted(maps.Keys(live))
}
