// Package admission executes the admission decisions: it manages the queues and slots of the upstreams that this
// node owns, and acquires slots from the owners of the others.
package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/upstreams"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// Error is the class of the errors of this package.
var Error = errs.Class("admission")

const (
	// acquireTimeout is how long a serving node waits for an owner's answer to Acquire (design section 6.1).
	acquireTimeout = 5 * time.Millisecond
	// waitPoll is how long the owner keeps one Wait call open. It is short so that a paused owner is noticed.
	waitPoll = 200 * time.Millisecond
	// waitMargin is how much longer than its poll time a Wait call may take.
	waitMargin = 50 * time.Millisecond
	// releaseTimeout bounds the call that returns a slot; the next report of held slots repairs a lost call.
	releaseTimeout = time.Second
	releaseTries   = 3
	// queueTick is the interval at which waiting items are checked against their deadlines and preempted runs against
	// their grace time.
	queueTick = 5 * time.Millisecond
	// syncInterval is the interval of the checks for lost nodes, old tickets and stale loads.
	syncInterval = time.Second
	// reportInterval is the interval at which the slots held on an owner's upstreams are reported to it. The report
	// only repairs lost calls: owners see lost nodes in the members, and a new owner gets a report at once.
	reportInterval = 5 * time.Second
	// staleLoadAge is the age from which a node asks an owner for loads. It asks one owner per syncInterval, so that
	// the traffic does not grow with the number of nodes times upstreams. With more than staleLoadOwners owners, asking
	// all of them in turn takes minutes anyway and the replies to requests bring most loads; the node then asks less
	// often, in inverse proportion to the number of owners.
	staleLoadAge    = 5 * time.Second
	staleLoadOwners = 100
	// takeoverFreeze is how long a new owner grants nothing while members have not reported the slots that they hold.
	takeoverFreeze = 100 * time.Millisecond
	// heldSlotGrace is how long a granted slot stays reserved for a node that does not list it as held.
	heldSlotGrace = 2 * time.Second
	// defaultLimit is the concurrency limit of an upstream that has not reported its slots.
	defaultLimit = 4
)

// Observer tracks the health, load and cache contents of upstreams.
type Observer interface {
	// Report records the result of a run on the upstream as evidence of its health.
	Report(upstream string, r serving.RunResult)
	// StoreOwnerStatus stores the owner's observation of an upstream that this node does not poll.
	StoreOwnerStatus(upstream string, s blackboard.UpstreamStatus)
	// Cached returns the estimated number of leading blocks of a prompt that the upstream has cached, and the trust
	// in that estimate between 0 and 1.
	Cached(upstream string, hashes []uint64) (blocks int, trust float64)
	// RecordPrompt records that the upstream has just run a prompt and so has its blocks cached.
	RecordPrompt(upstream string, hashes []uint64)
	// StoreOwnerCached stores the owner's answer to Cached for a prompt: the first blocks are cached, the others are not.
	StoreOwnerCached(upstream string, hashes []uint64, blocks int, trust float64)
}

// Options configures a Controller.
type Options struct {
	// Self is the name of this node.
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	// Registrar gets the receiver "Admission"; nil when the node has no peers.
	Registrar peer.Registrar
	// Batch supplies items for idle slots; nil when the node runs no batch work.
	Batch serving.BatchSource
	// Log records decisions; if it is nil, none are recorded.
	Log *explain.Log
	// Observer may be nil.
	Observer Observer
	// Seed makes random choices repeatable; 0 selects a random seed.
	Seed uint64
}

// Controller implements serving.SlotAllocator. It is safe for concurrent use.
type Controller struct {
	Options
	ownerOf    upstreams.Owners
	indexCache registerIndexCache
	tickets    atomic.Int64

	// mu guards the maps. No other lock of this package is acquired while it is held.
	mu sync.Mutex
	// owned and views are by upstream, ownerBackoffs by node. held holds the slots that this node uses.
	owned         map[string]*ownedUpstream
	held          map[*serving.Slot]*heldSlot
	views         map[string]*view
	ownerBackoffs map[string]backoff
	// lastReport is when the held slots were last reported to each owner; contacted marks the owners that have
	// answered an Acquire since.
	lastReport map[string]time.Time
	contacted  map[string]bool
	// lastOwner is the owner of each upstream at the last call of reportHeldSlots, which used lastIndex; reportPasses
	// counts these calls.
	lastOwner    map[string]string
	lastIndex    *registerIndex
	reportPasses int
	random       *rand.Rand
	batchCtx     context.Context
	// runCtx is cancelled when Run ends. backgroundCalls counts the calls to other nodes that run in the background.
	runCtx          context.Context
	cancelRunCtx    context.CancelFunc
	backgroundCalls sync.WaitGroup
	// stopped is set when Run has ended. batchTasks counts the batch runs and the passes that fill idle slots.
	stopped    bool
	batchTasks sync.WaitGroup
}

var (
	_ serving.SlotAllocator = (*Controller)(nil)
	_ Observer              = (*upstreams.Observer)(nil)
)

// New returns a controller and registers its receiver. Batch work and expiry need Run.
func New(o Options) (*Controller, error) {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	c := &Controller{
		Options: o, owned: map[string]*ownedUpstream{}, held: map[*serving.Slot]*heldSlot{}, views: map[string]*view{},
		ownerBackoffs: map[string]backoff{}, lastReport: map[string]time.Time{},
		contacted: map[string]bool{}, lastOwner: map[string]string{}, random: rand.New(rand.NewPCG(o.Seed, 1)),
	}
	c.runCtx, c.cancelRunCtx = context.WithCancel(context.Background())
	if o.Registrar != nil {
		if err := o.Registrar.Register("Admission", &Service{c}); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return c, nil
}

// Run reports held slots to their owners, expires those of lost nodes and fills idle slots until ctx ends, which also
// cancels batch runs in progress.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.batchCtx = ctx
	c.mu.Unlock()
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	// syncAll requests a pass over all upstreams, which a change of members or configuration also starts.
	syncAll := true
	var seenMembers, seenConfig int64
	for {
		var batchWaiting <-chan struct{}
		if c.Batch != nil {
			batchWaiting = c.Batch.ItemsReady()
		}
		_, membersRevision := c.Board.Members.Get()
		_, configRevision := c.Board.Config.Get()
		_, upstreamsRevision := c.Board.Upstreams.Get()
		if syncAll || membersRevision != seenMembers || configRevision != seenConfig {
			c.sync(ctx)
			syncAll, seenMembers, seenConfig = false, membersRevision, configRevision
		} else {
			c.syncOwned(ctx)
		}
		select {
		case <-ctx.Done():
			c.mu.Lock()
			c.stopped = true
			c.mu.Unlock()
			c.batchTasks.Wait()
			c.cancelRunCtx()
			c.backgroundCalls.Wait()
			return nil
		case <-tick.C:
			syncAll = true
		case <-c.Board.Members.Changed(membersRevision):
		case <-c.Board.Config.Changed(configRevision):
		case <-batchWaiting:
		case <-c.Board.Upstreams.Changed(upstreamsRevision):
		}
	}
}

// sync updates the owned upstreams after changes of members and configuration, fills idle slots and reports held
// slots. It covers all upstreams, so it runs only when members or configuration change, and every second.
func (c *Controller) sync(ctx context.Context) {
	for _, name := range c.registerIndex().byOwner[c.Self] {
		c.ownedUpstream(name)
	}
	c.syncOwned(ctx)
	c.reportHeldSlots(ctx)
}

// syncOwned updates the owned upstreams and fills their idle slots.
func (c *Controller) syncOwned(ctx context.Context) {
	members := c.Board.Members.Value()
	for _, o := range c.ownedList() {
		if o.sync(members) {
			c.dropOwned(o)
			continue
		}
		if ctx.Err() == nil {
			o.fillIdleSlots()
		}
	}
}

// dropOwned drops the state of an upstream that another node owns. The nodes that hold its slots report them to the new
// owner.
func (c *Controller) dropOwned(o *ownedUpstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owned[o.name] == o {
		delete(c.owned, o.name)
	}
}

func (c *Controller) ownedList() []*ownedUpstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*ownedUpstream, 0, len(c.owned))
	for _, o := range c.owned {
		list = append(list, o)
	}
	return list
}

// ownedUpstream returns the state of an upstream for which this node acts as owner. A node acts as owner whenever it is
// asked, since the asking node may have newer members; two owners for a moment cost only efficiency.
func (c *Controller) ownedUpstream(name string) *ownedUpstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.owned[name]
	if !ok {
		o = newOwnedUpstream(c, name)
		c.owned[name] = o
	}
	return o
}

// owner returns the admission owner of the upstream.
func (c *Controller) owner(upstream string) string { return c.ownerOf.Of(&c.Board.Members, upstream) }

// findUpstream returns the upstream of that name in the register.
func (c *Controller) findUpstream(name string) (api.Upstream, bool) {
	index := c.registerIndex()
	i, ok := index.byName[name]
	if !ok {
		return api.Upstream{}, false
	}
	return index.upstreams[i], true
}

// newTicket returns an id that is unique to one attempt to get a slot.
func (c *Controller) newTicket() string {
	return fmt.Sprintf("%s/%x/%d", c.Self, c.Seed, c.tickets.Add(1))
}

func (c *Controller) record(e explain.Entry) {
	if c.Log != nil {
		c.Log.Record(e)
	}
}
