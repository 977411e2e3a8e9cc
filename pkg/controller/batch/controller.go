// Package batch is the controller of batch work on one node. It claims parts of jobs when upstreams that the
// node owns have idle slots, offers their items to admission, calls the upstreams and records the results.
//
// Jobs are found by one watch on the compact summaries below `open/` (one waiting store call a node); there is
// no scan over jobs. Part records of a job are listed only when the node wants work, with a growing delay.
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
	// demandAge is how long an upstream's request for work counts. Admission is woken more often, so that the
	// request of an upstream that the node still owns is renewed.
	demandAge = 30 * time.Second
	wakeEvery = 10 * time.Second
	// idleRelease is the time without progress after which a part is given back.
	idleRelease = 30 * time.Second
	// fleetReads bounds the reads of the search for work of all nodes, in calls per second: a fifth of the store's
	// 2,000 reads/s. A node has an equal part of it, at most nodeReads; at 380 nodes that is 1/s. With a fixed 1/s an
	// idle fleet of three nodes claimed the parts of small jobs at one a second. A node that knows no other has
	// leastReads, since it may be one of many that have just started or are cut off.
	fleetReads = 400
	nodeReads  = 50
	leastReads = 1
	readBurst  = 20
	// pendingBytes bounds the results that wait for the store; above it no item is started.
	pendingBytes = 32 << 20
)

// Options configure a controller. Node, Store, Board and Invoker are required.
type Options struct {
	Node    string
	Store   store.Store
	Board   *blackboard.Board
	Invoker serving.Invoker
	// Resumer may be nil; then items run unstreamed, and preempted ones start again.
	Resumer serving.Resumer
	// Quarantine may be nil; then no request is held back.
	Quarantine serving.Quarantine
	// Owns reports whether this node is the admission owner of an upstream; nil takes every upstream that asked for
	// work as owned. It is called under the controller's lock and must not call back.
	Owns func(upstream string) bool
	// Peers may be nil; then owners learn of a cancel at their next commit.
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
	jobs   jobstore.Jobs
	leases *leases.Observer
	reads  *rate.Limiter
	states *states
	inputs *lru.Cache[string, *input]
	// wakeup has room for one signal to the claim loop.
	wakeup chan struct{}
	// tasks counts committers and other goroutines that Run waits for.
	tasks sync.WaitGroup

	mu sync.Mutex
	// ctx is that of Run; its end stops new work.
	ctx   context.Context
	open  map[string]*openJob
	parts map[partID]*part
	// given is read through virtualTime; alignDue is set when the open jobs have changed since.
	given    batchfill.VirtualTime
	alignDue bool
	demand   map[string]demand
	// asked holds the upstreams that have asked for work, and unusable since when no upstream of this node can run a
	// target that one could run before.
	asked    map[string]api.Upstream
	unusable map[string]time.Time
	waiting  chan struct{}
	// served is when an item of a target was last taken from stock.
	served map[string]time.Time
	// givingBack are parts whose record may name this node although it doesn't hold them.
	givingBack map[partID]bool
	// pending is the size of the results that wait to be committed.
	pending int
	// storeDown is set while commits get no answer from the store.
	storeDown bool
}

type partID struct {
	job   string
	index int
}

// demand is an upstream's latest request for work.
type demand struct {
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
	// An input holds a file's record without its lines, up to about 100 KB.
	const cachedInputs = 32
	inputs, err := lru.New[string, *input](cachedInputs)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Controller{
		Options: o, jobs: jobstore.Jobs{Store: o.Store}, inputs: inputs,
		leases: leases.NewObserver(o.Store, o.Lease), states: newStates(),
		reads: rate.NewLimiter(leastReads, readBurst), wakeup: make(chan struct{}, 1),
		ctx: context.Background(), open: map[string]*openJob{}, parts: map[partID]*part{},
		demand: map[string]demand{}, asked: map[string]api.Upstream{}, waiting: make(chan struct{}),
		served: map[string]time.Time{}, givingBack: map[partID]bool{},
	}, nil
}

// readRate is a node's part of the reads of the search for work.
func readRate(nodes int) rate.Limit {
	if nodes < 2 {
		return leastReads
	}
	return min(nodeReads, rate.Limit(fleetReads)/rate.Limit(nodes))
}

// Handler returns the HTTP handler of /v1/files and /v1/batches on this node.
func (c *Controller) Handler() *handler.Handler {
	return handler.New(handler.Options{Store: c.Store, Canceller: c, Retention: c.Retention,
		Rules: func() api.Rules { return c.Board.Config.Value().Rules }})
}

// Run works until ctx ends. Then it starts no new item, waits for running ones, commits and gives the parts back.
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
		p.kick()
	}
	c.mu.Unlock()
	c.tasks.Wait()
	return nil
}

// holder returns the own lease as a part's holder, and whether it allows effects at present.
func (c *Controller) holder() (jobstate.Holder, bool) {
	l := c.Board.Lease.Value()
	return jobstate.Holder{Node: c.Node, Lease: l.Number}, l.Number > 0 && time.Now().Before(l.Deadline)
}

// stopping reports whether the node takes no new batch work; c.mu is held.
func (c *Controller) stopping() bool {
	return c.ctx.Err() != nil || c.Board.Draining.Value()
}

func (c *Controller) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// announce tells admission that stock may be available; c.mu is held.
func (c *Controller) announce() {
	close(c.waiting)
	c.waiting = make(chan struct{})
}

func (c *Controller) explain(job, item, upstream, decision, reason string, values map[string]any) {
	if c.Explain != nil {
		c.Explain.Record(explain.Entry{Job: job, Item: item, Upstream: upstream, Decision: decision, Reason: reason, Values: values})
	}
}

// liveNodes returns the names of the live nodes, or only this one before the first view.
func (c *Controller) liveNodes() []string {
	live := c.Board.Members.Value().Live
	if len(live) == 0 {
		return []string{c.Node}
	}
	return slices.Sorted(maps.Keys(live))
}
