// Package membership keeps the board's Members section: the nodes that this node believes to be alive.
package membership

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/dissemination"
	"trefoilplank.example/pkg/decision/lease"
	"trefoilplank.example/pkg/decision/membership"
	"trefoilplank.example/pkg/explain"
)

const (
	// callTimeout bounds a heartbeat; a node that needs longer counts as not answering.
	callTimeout = time.Second
	// partnerInterval is the time between two digest exchanges with a random partner.
	partnerInterval = 5 * time.Second
	// lostInterval is the time between two attempts to reach a removed node. With 10 s a node that was cut off missed
	// the bound for configurations after the heal. An attempt at a dead VM costs 40 B/s.
	lostInterval = 3 * time.Second
	// publishInterval bounds how old LastHeard on the board may be when nothing else changes; it is only shown to
	// operators, and each write copies 380 members and wakes all readers.
	publishInterval = 10 * time.Second
	// settleTime is how long a table must be unchanged before a difference to another one is repaired.
	settleTime = 2 * time.Second
	// versionsInterval is the least time between two reports of a zone's configuration versions.
	versionsInterval = 3 * time.Second
	// versionsPatience is how long the report of a zone waits for nodes that have not said that a change is in force,
	// so that most changes bring one report of each zone to all nodes and not two.
	versionsPatience = 5 * time.Second
)

// Options configures a Controller.
type Options struct {
	Store store.Store
	Board *blackboard.Board
	Peers peer.Caller
	// Self describes this node; its Incarnation must be larger than at earlier starts.
	Self   lease.Record
	Params membership.Params
	// Seeds are peer addresses to ask for members while the store is down.
	Seeds []string
	// CacheFile, when set, keeps the addresses of known peers over restarts.
	CacheFile string
	// Log, when set, keeps what was decided on nodes, and why.
	Log *explain.Log
}

// changes counts the changes of what this node believes of others.
var changes = expvar.NewMap("membership_changes")

// Controller detects failures and spreads what it knows of nodes. Register its Receiver as "Membership".
type Controller struct {
	o    Options
	name string

	mu    sync.Mutex
	table *membership.Table
	// revision and at are of the last write of the section.
	revision int64
	at       time.Time
	// members is the view of the table's topology viewed.
	members dissemination.View
	viewed  int64
	// digest is the sum of the table's digests as of statements, and settled when it last changed.
	digest     uint64
	statements int64
	settled    time.Time
	// reports holds the order stamp of the last version report of each zone.
	reports     map[string]int64
	versionsDue bool
	spread      *dissemination.Spread
	// reported, cached, reportedZone and incompleteSince are each used by one loop only.
	reported report
	cached   []string
	// reportedZone is a hash of the last report of the zone that this node spread.
	reportedZone uint64
	// incompleteSince is when the report of the zone began to wait; zero while it does not.
	incompleteSince time.Time
}

// New returns a controller and writes the first Members section, which holds only this node.
func New(o Options) *Controller {
	if o.Params == (membership.Params{}) {
		o.Params = membership.Default
	}
	self := membership.Update{
		Name: o.Self.Name, AvailabilityZone: o.Self.AvailabilityZone, Region: o.Self.Region, Address: o.Self.Address,
		AdminAddress: o.Self.AdminAddress, PeerAddress: o.Self.PeerAddress,
		Stamp: membership.Stamp{Incarnation: o.Self.Incarnation},
	}
	c := &Controller{
		o: o, name: self.Name, table: membership.NewTable(o.Params, self, time.Now()),
		revision: -1, viewed: -1, statements: -1, reports: map[string]int64{}, spread: dissemination.NewSpread(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publish()
	return c
}

// Resolve returns the peer address of a live node, for peer.ClientOptions.
func Resolve(b *blackboard.Board) func(string) (string, bool) {
	return func(node string) (string, bool) {
		m, ok := b.Members.Value().Live[node]
		return m.PeerAddress, ok && m.PeerAddress != ""
	}
}

// Observe takes the result of a call that another part made to a node, for peer.ClientOptions. A failure only
// leads to a heartbeat at once in the next round.
func (c *Controller) Observe(node string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u, ok := c.table.Get(node); ok && !answered && u.Status == membership.Alive {
		c.table.Doubt(node)
	}
}

// Run keeps the section until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { c.join(ctx); return c.readLeases(ctx) })
	group.Go(func() error { return c.every(ctx, c.o.Params.ProbeInterval, c.round()) })
	group.Go(func() error { return c.every(ctx, partnerInterval, c.exchangePartner) })
	group.Go(func() error { return c.every(ctx, lostInterval, c.tryLost) })
	group.Go(func() error { return c.every(ctx, versionsInterval, c.reportVersions) })
	group.Go(func() error { return c.followDraining(ctx) })
	return group.Wait()
}

// every calls f about once each interval, spread by a tenth at random so that nodes do not act in step.
func (c *Controller) every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	for ctx.Err() == nil {
		wait(ctx, interval*9/10+rand.N(interval/5))
		if ctx.Err() == nil {
			f(ctx)
		}
	}
	return ctx.Err()
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// round returns the function that sends one round of heartbeats and then judges the answers.
func (c *Controller) round() func(context.Context) {
	number := 0
	return func(ctx context.Context) {
		c.mu.Lock()
		c.table.SetVMs(c.o.Board.VMs.Value())
		news := c.table.Tick(time.Now())
		targets := c.table.Targets(number)
		c.publish()
		c.mu.Unlock()
		number++
		c.announce(news)
		for _, name := range targets {
			go c.exchange(ctx, name)
		}
	}
}

// exchange sends one heartbeat.
func (c *Controller) exchange(ctx context.Context, name string) {
	c.mu.Lock()
	about, ok := c.table.Get(name)
	args := ExchangeArgs{
		From: c.name, Stamp: c.table.Self().Stamp, About: about.Stamp, Version: c.version(), Digest: c.digest,
		Brief: true,
	}
	c.mu.Unlock()
	if !ok {
		return
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ExchangeReply
	// By address, since a removed node is tried as well.
	err := c.o.Peers.CallAddress(calling, about.PeerAddress, "Membership.Exchange", &args, &reply)
	if ctx.Err() != nil {
		return
	}
	reply.complete(&args)
	c.judge(ctx, name, args, reply, err)
}

func (c *Controller) judge(ctx context.Context, name string, args ExchangeArgs, reply ExchangeReply, err error) {
	now := time.Now()
	c.mu.Lock()
	var news []membership.Update
	differs := false
	if err != nil {
		news = c.table.Missed(name, now)
	} else {
		if reply.Self != nil && reply.Self.Name == name {
			if fresh, _ := c.table.Merge(*reply.Self, now); fresh {
				news = append(news, *reply.Self)
			}
		}
		news = append(news, c.table.Heard(name, reply.Stamp, reply.Draining, reply.Version, now)...)
		news = append(news, c.table.Refute(reply.You, now)...)
		if reply.You.Incarnation < args.Stamp.Incarnation {
			// The receiver does not know this process yet.
			news = append(news, c.table.Self())
		}
		// A difference is often only news on its way, which changes the table within that time.
		differs = reply.Digest != args.Digest && reply.Digest != c.digest && now.Sub(c.settled) >= settleTime
	}
	c.publish()
	c.mu.Unlock()
	if len(news) > 0 {
		klog.V(1).Infof("node %s: %s", news[0].Name, news[0].Status)
	}
	c.announce(news)
	if differs {
		c.sync(ctx, name)
	}
}

// sync compares the tables in parts, takes what the other node knows better and sends what this node does.
func (c *Controller) sync(ctx context.Context, name string) {
	c.mu.Lock()
	u, _ := c.table.Get(name)
	c.mu.Unlock()
	if err := c.syncAddress(ctx, u.PeerAddress); err != nil {
		klog.V(1).Infof("compare members with %s: %v", name, err)
	}
}

func (c *Controller) syncAddress(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.mu.Lock()
	digests := c.table.Digests()
	c.mu.Unlock()
	var reply SyncReply
	if err := c.o.Peers.CallAddress(ctx, address, "Membership.Sync", &SyncArgs{digests}, &reply); err != nil {
		return err
	}
	if len(reply.Updates) > maxUpdates {
		return membership.Error.New("%d updates in one message", len(reply.Updates))
	}
	c.passOn(c.merge(reply.Updates))
	c.mu.Lock()
	newer := c.table.NewerThan(reply.Digests, reply.Updates)
	c.mu.Unlock()
	if len(newer) == 0 {
		return nil
	}
	return c.o.Peers.CallAddress(ctx, address, "Membership.Push", &PushArgs{Updates: newer}, &PushReply{})
}

func (c *Controller) exchangePartner(ctx context.Context) {
	c.cacheAddresses()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if name := c.view().Partner(c.name, random); name != "" {
		c.exchange(ctx, name)
	}
}

func (c *Controller) tryLost(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.mu.Lock()
	name := c.table.Lost(random)
	c.mu.Unlock()
	if name != "" {
		c.exchange(ctx, name)
	}
}

// version returns the configuration version in force on this node.
func (c *Controller) version() int64 { return c.o.Board.Config.Value().Version }

// publish writes the section when a member changed, or when only the times of contact did and are due. c.mu is held.
func (c *Controller) publish() {
	now := time.Now()
	for _, e := range c.table.Events() {
		changes.Add(e.Change, 1)
		if c.o.Log != nil {
			c.o.Log.Record(explain.Entry{Member: e.Name, Decision: e.Change, Reason: e.Evidence})
		}
	}
	c.table.SetVersion(c.name, c.version())
	changed := c.table.Revision() != c.revision
	if !changed && now.Sub(c.at) < publishInterval {
		return
	}
	if changed {
		c.revision = c.table.Revision()
		c.digestStatements(now)
	}
	c.at = now
	c.o.Board.Members.Set(c.table.Live())
}

// digestStatements brings the digest up to date; c.mu is held.
func (c *Controller) digestStatements(now time.Time) {
	if c.table.Statements() == c.statements {
		return
	}
	c.statements = c.table.Statements()
	if digest := c.table.Digests().Sum(); digest != c.digest {
		c.digest, c.settled = digest, now
	}
}

// view returns the live members.
func (c *Controller) view() dissemination.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if topology := c.table.Topology(); topology != c.viewed {
		c.viewed, c.members = topology, dissemination.ViewOf(c.table.Live())
	}
	return c.members
}

// announce starts the spread of news.
func (c *Controller) announce(news []membership.Update) {
	if len(news) > 0 {
		args := PushArgs{Updates: news}
		c.send(args, c.originSteps(c.view(), args))
	}
}

func (c *Controller) originSteps(view dissemination.View, args PushArgs) []dissemination.Step {
	c.mu.Lock()
	defer c.mu.Unlock()
	lead := dissemination.LeadHead
	if args.Versions != nil {
		lead = dissemination.LeadReporter
	}
	return c.spread.Originate(view, c.name, args.id(), lead)
}

// passOn announces news of this node. As a relay it also passes on to its zone what a comparison of tables brought.
func (c *Controller) passOn(fresh, news []membership.Update) {
	c.announce(news)
	go c.tellSubjects(fresh)
	view := c.view()
	if len(fresh) == 0 || view.RelayRank(c.name) < 0 {
		return
	}
	args := PushArgs{Updates: fresh}
	c.mu.Lock()
	steps := c.spread.FromStore(view, c.name, args.id())
	c.mu.Unlock()
	c.send(args, steps)
}

// send starts to send news along steps.
func (c *Controller) send(args PushArgs, steps []dissemination.Step) {
	for _, s := range steps {
		go c.deliver(context.Background(), args, s)
	}
}

// deliver sends news one step. A child that does not answer is replaced by its own children.
func (c *Controller) deliver(ctx context.Context, args PushArgs, s dissemination.Step) {
	args.Route = s.Route
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.o.Peers.Call(calling, s.To, "Membership.Push", &args, &PushReply{}); err != nil {
		c.send(args, c.view().Adopt(c.name, s))
	}
}
