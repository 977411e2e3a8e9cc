// Package admission drives the admission decisions: it serves the queues and slots of the upstreams that this
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
	// ownerSilence is how long a serving node waits for an owner's answer to Acquire (design section 6.1).
	ownerSilence = 5 * time.Millisecond
	// waitPoll bounds one Wait call, so that a paused owner is noticed.
	waitPoll = 200 * time.Millisecond
	// waitSilence is what a Wait call may take beyond its poll time.
	waitSilence = 50 * time.Millisecond
	// releaseTimeout bounds the call that returns a slot; a lost call is repaired by the held-slot exchange.
	releaseTimeout = time.Second
	releaseTries   = 3
	// queueTick is the interval at which waiting items are checked against their deadlines and preempted runs
	// against their grace.
	queueTick = 5 * time.Millisecond
	// syncInterval is the interval of the checks on lost nodes, old tickets and stale views.
	syncInterval = time.Second
	// reportInterval is the interval at which an owner is told the slots held on its upstreams. It only repairs
	// lost calls: a lost node is known from the members, and a moved owner is told at once.
	reportInterval = 5 * time.Second
	// staleView is the age from which the load of an upstream is asked for, one owner per syncInterval, so that
	// the traffic does not grow with the number of nodes times upstreams. With more than staleOwners owners a turn
	// takes minutes however often one is asked, and the replies to requests bring most loads; an owner is then asked
	// less often, in proportion.
	staleView   = 5 * time.Second
	staleOwners = 100
	// takeover is how long a new owner grants nothing while members have not reported the slots that they hold.
	takeover = 100 * time.Millisecond
	// heldGrace is how long a granted slot stays reserved for a node that does not list it as held.
	heldGrace = 2 * time.Second
	// defaultLimit is the concurrency limit of an upstream that has not reported its slots.
	defaultLimit = 4
)

// Observer knows the health, load and cache contents of upstreams.
type Observer interface {
	// Report takes the result of a run on the upstream as evidence for its health.
	Report(upstream string, r serving.RunResult)
	// Learn takes the owner's view of an upstream that this node does not poll.
	Learn(upstream string, s blackboard.UpstreamStatus)
	// Cached returns the number of leading blocks of a prompt that the upstream is believed to have cached, and
	// the trust in that between 0 and 1.
	Cached(upstream string, hashes []uint64) (blocks int, trust float64)
	// Ran notes that the upstream has just run a prompt and so has its blocks cached.
	Ran(upstream string, hashes []uint64)
	// LearnCached takes the owner's answer on a prompt: so many leading blocks are cached, the others are not.
	LearnCached(upstream string, hashes []uint64, blocks int, trust float64)
}

// Options are the collaborators of a Controller.
type Options struct {
	// Self is the name of this node.
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	// Registrar gets the receiver "Admission"; nil when the node has no peers.
	Registrar peer.Registrar
	// Batch supplies items for idle slots; nil when the node runs no batch work.
	Batch serving.BatchSource
	// Log records decisions; nil records none.
	Log *explain.Log
	// Observer may be nil.
	Observer Observer
	// Seed makes random choices repeatable; 0 takes a random one.
	Seed uint64
}

// Controller implements serving.Slots. It is safe for concurrent use.
type Controller struct {
	Options
	ownerOf upstreams.Owners
	layouts layouts
	tickets atomic.Int64

	// mu guards the maps; it is taken before no other lock of this package.
	mu     sync.Mutex
	owned  map[string]*owned
	held   map[*serving.Slot]*heldSlot
	views  map[string]*view
	silent map[string]silence
	// told is when each owner was last told the held slots; talked marks owners that were asked since.
	told   map[string]time.Time
	talked map[string]bool
	// lastOwner is the owner of each upstream at the last exchange, which was made under lastLayout.
	lastOwner  map[string]string
	lastLayout *layout
	// passes counts the exchanges.
	passes   int
	random   *rand.Rand
	batchCtx context.Context
	// life ends with Run; background counts calls to other nodes that nobody waits for.
	life       context.Context
	end        context.CancelFunc
	background sync.WaitGroup
	// stopped is set when Run has ended; fills counts batch runs and filling passes.
	stopped bool
	fills   sync.WaitGroup
}

var (
	_ serving.Slots = (*Controller)(nil)
	_ Observer      = (*upstreams.Observer)(nil)
)

// New returns a controller and registers its receiver; Run must be running for batch work and expiry.
func New(o Options) (*Controller, error) {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	c := &Controller{
		Options: o, owned: map[string]*owned{}, held: map[*serving.Slot]*heldSlot{}, views: map[string]*view{},
		silent: map[string]silence{}, told: map[string]time.Time{},
		talked: map[string]bool{}, lastOwner: map[string]string{}, random: rand.New(rand.NewPCG(o.Seed, 1)),
	}
	c.life, c.end = context.WithCancel(context.Background())
	if o.Registrar != nil {
		if err := o.Registrar.Register("Admission", &Service{c}); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return c, nil
}

// Run exchanges held slots, expires those of lost nodes and fills idle slots until ctx ends. Batch runs in
// progress are cancelled by the end of ctx.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.batchCtx = ctx
	c.mu.Unlock()
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	// due asks for a pass over all upstreams; a change of members or configuration is one more reason.
	due := true
	var seenMembers, seenConfig int64
	for {
		var stock <-chan struct{}
		if c.Batch != nil {
			stock = c.Batch.Waiting()
		}
		_, m := c.Board.Members.Get()
		_, cfg := c.Board.Config.Get()
		_, u := c.Board.Upstreams.Get()
		if due || m != seenMembers || cfg != seenConfig {
			c.sync(ctx)
			due, seenMembers, seenConfig = false, m, cfg
		} else {
			c.syncOwned(ctx)
		}
		select {
		case <-ctx.Done():
			c.mu.Lock()
			c.stopped = true
			c.mu.Unlock()
			c.fills.Wait()
			c.end()
			c.background.Wait()
			return nil
		case <-tick.C:
			due = true
		case <-c.Board.Members.Changed(m):
		case <-c.Board.Config.Changed(cfg):
		case <-stock:
		case <-c.Board.Upstreams.Changed(u):
		}
	}
}

// sync brings the owned upstreams in line with members and configuration, refills idle slots and exchanges held
// slots. Its passes over all upstreams are made only when members or configuration change, and every second.
func (c *Controller) sync(ctx context.Context) {
	for _, name := range c.layout().byOwner[c.Self] {
		c.upstream(name)
	}
	c.syncOwned(ctx)
	c.exchange(ctx)
}

// syncOwned follows changes of the owned upstreams and refills their idle slots.
func (c *Controller) syncOwned(ctx context.Context) {
	members := c.Board.Members.Value()
	for _, o := range c.ownedList() {
		if o.sync(members) {
			c.forget(o)
			continue
		}
		if ctx.Err() == nil {
			o.fill()
		}
	}
}

// forget drops the state of an upstream that another node owns. Slots in it are reported to the new owner.
func (c *Controller) forget(o *owned) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owned[o.name] == o {
		delete(c.owned, o.name)
	}
}

func (c *Controller) ownedList() []*owned {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*owned, 0, len(c.owned))
	for _, o := range c.owned {
		list = append(list, o)
	}
	return list
}

// upstream returns the state of an upstream of which this node acts as owner. A node acts as owner whenever
// it is asked, since the asking node may have newer members; two owners for a moment cost only efficiency.
func (c *Controller) upstream(name string) *owned {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.owned[name]
	if !ok {
		o = newOwned(c, name)
		c.owned[name] = o
	}
	return o
}

// owner returns the admission owner of the upstream.
func (c *Controller) owner(upstream string) string { return c.ownerOf.Of(&c.Board.Members, upstream) }

// find returns the upstream of that name in the register.
func (c *Controller) find(name string) (api.Upstream, bool) {
	l := c.layout()
	i, ok := l.byName[name]
	if !ok {
		return api.Upstream{}, false
	}
	return l.upstreams[i], true
}

// ticket returns an id that no other attempt to get a slot has.
func (c *Controller) ticket() string {
	return fmt.Sprintf("%s/%x/%d", c.Self, c.Seed, c.tickets.Add(1))
}

func (c *Controller) record(e explain.Entry) {
	if c.Log != nil {
		c.Log.Record(e)
	}
}
