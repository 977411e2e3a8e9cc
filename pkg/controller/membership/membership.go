// Package membership keeps the board's Members section: the nodes that this node considers alive. It detects failures
// with heartbeats, distributes updates along a tree, and repairs differences by comparing tables with random partners.
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
	// callTimeout bounds each call to a node; a node that needs longer for a heartbeat counts as not answering.
	callTimeout = time.Second
	// partnerInterval is the time between two heartbeats to a random partner, which compare table digests.
	partnerInterval = 5 * time.Second
	// removedProbeInterval is the time between two heartbeats to a removed node. With 10 s a node that was cut off
	// missed the time limit for receiving configurations after the partition healed. Probing a dead VM costs 40 B/s.
	removedProbeInterval = 3 * time.Second
	// publishInterval bounds how old LastHeard on the board may be when nothing else changes. Only operators see
	// LastHeard, and each write copies 380 members and wakes all readers.
	publishInterval = 10 * time.Second
	// settleTime is how long the digest must be unchanged before a difference from another node's table is repaired.
	settleTime = 2 * time.Second
	// versionsInterval is the time between two checks whether to report configuration versions, and so the least time
	// between two reports of a zone.
	versionsInterval = 3 * time.Second
	// versionsMaxDelay is how long a zone report waits for nodes that have not reported the newest version, so that
	// most changes cause one report per zone to all nodes and not two.
	versionsMaxDelay = 5 * time.Second
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
	// Log, when set, records each status change of a node and its evidence.
	Log *explain.Log
}

// memberChanges counts the status changes of other nodes in the table, by kind.
var memberChanges = expvar.NewMap("membership_changes")

// Controller detects failed nodes and distributes status updates. Register its Receiver as "Membership".
type Controller struct {
	options Options
	name    string

	mu    sync.Mutex
	table *membership.Table
	// publishedRevision is the table revision of the last write of the section, and publishedAt its time.
	publishedRevision int64
	publishedAt       time.Time
	// cachedView is the view of the live members when the LiveRevision of the table was viewRevision.
	cachedView   dissemination.View
	viewRevision int64
	// digest is the sum of the digests when the DigestRevision of the table was digestRevision; digestChanged is when the
	// sum last changed.
	digest         uint64
	digestRevision int64
	digestChanged  time.Time
	// reports holds Versions.At of the last version report of each zone.
	reports map[string]int64
	// versionsDue is set when the reporter received versions, or delayed a report, since it last checked.
	versionsDue bool
	forwarder   *dissemination.Forwarder
	// Each of the fields below is used by one goroutine only.

	// lastReport is the last version report that this node sent to its zone's reporter.
	lastReport versionReport
	// cachedFile is the content of the cache file.
	cachedFile []string
	// lastZoneHash is a hash of the last zone report that this node distributed.
	lastZoneHash uint64
	// incompleteSince is when the current zone report began to wait for nodes; zero while none waits.
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
		options: o, name: self.Name, table: membership.NewTable(o.Params, self, time.Now()),
		publishedRevision: -1, viewRevision: -1, digestRevision: -1, reports: map[string]int64{}, forwarder: dissemination.NewForwarder(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publish()
	return c
}

// Resolver returns a function for peer.ClientOptions that looks up the peer address of a live node.
func Resolver(b *blackboard.Board) func(string) (string, bool) {
	return func(node string) (string, bool) {
		m, ok := b.Members.Value().Live[node]
		return m.PeerAddress, ok && m.PeerAddress != ""
	}
}

// ObserveCall is called with the result of each peer call to a node, as peer.ClientOptions.Observe. A failed call to a
// live node makes the next round send a heartbeat to it; an answered call has no effect.
func (c *Controller) ObserveCall(node string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u, ok := c.table.Get(node); ok && !answered && u.Status == membership.Alive {
		c.table.RequestProbe(node)
	}
}

// Run keeps the board's Members section up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { c.join(ctx); return c.readLeases(ctx) })
	group.Go(func() error { return c.runEvery(ctx, c.options.Params.ProbeInterval, c.probeRounds()) })
	group.Go(func() error { return c.runEvery(ctx, partnerInterval, c.heartbeatPartner) })
	group.Go(func() error { return c.runEvery(ctx, removedProbeInterval, c.probeRemoved) })
	group.Go(func() error { return c.runEvery(ctx, versionsInterval, c.reportVersions) })
	group.Go(func() error { return c.followDraining(ctx) })
	return group.Wait()
}

// runEvery calls f once per interval until ctx ends, with a random deviation of 10 % so that nodes don't act in step.
func (c *Controller) runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	for ctx.Err() == nil {
		wait(ctx, interval*9/10+rand.N(interval/5))
		if ctx.Err() == nil {
			f(ctx)
		}
	}
	return ctx.Err()
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// probeRounds returns a function that applies timeouts in the table and sends the heartbeats of the next round.
func (c *Controller) probeRounds() func(context.Context) {
	round := 0
	return func(ctx context.Context) {
		c.mu.Lock()
		c.table.SetVMs(c.options.Board.VMs.Value())
		toAnnounce := c.table.Tick(time.Now())
		targets := c.table.Targets(round)
		c.publish()
		c.mu.Unlock()
		round++
		c.announce(toAnnounce)
		for _, name := range targets {
			go c.heartbeat(ctx, name)
		}
	}
}

// heartbeat sends one heartbeat to a node and handles the result.
func (c *Controller) heartbeat(ctx context.Context, name string) {
	c.mu.Lock()
	about, ok := c.table.Get(name)
	args := ExchangeArgs{
		From: c.name, Stamp: c.table.Self().Stamp, About: about.Stamp, Version: c.configVersion(), Digest: c.digest,
		Brief: true,
	}
	c.mu.Unlock()
	if !ok {
		return
	}
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply ExchangeReply
	// The call goes by address, since Call does not resolve removed nodes, which are probed too.
	err := c.options.Peers.CallAddress(calling, about.PeerAddress, "Membership.Exchange", &args, &reply)
	if ctx.Err() != nil {
		return
	}
	reply.fillOmitted(&args)
	c.handleReply(ctx, name, args, reply, err)
}

// handleReply updates the table from the result of a heartbeat, announces what changed, and compares tables with the
// node when their digests stay different.
func (c *Controller) handleReply(ctx context.Context, name string, args ExchangeArgs, reply ExchangeReply, err error) {
	now := time.Now()
	c.mu.Lock()
	var toAnnounce []membership.Update
	differs := false
	if err != nil {
		toAnnounce = c.table.RecordMissedCall(name, now)
	} else {
		if reply.Self != nil && reply.Self.Name == name {
			if fresh, _ := c.table.Merge(*reply.Self, now); fresh {
				toAnnounce = append(toAnnounce, *reply.Self)
			}
		}
		toAnnounce = append(toAnnounce, c.table.RecordAnswer(name, reply.Stamp, reply.Draining, reply.Version, now)...)
		toAnnounce = append(toAnnounce, c.table.Refute(reply.You, now)...)
		if reply.You.Incarnation < args.Stamp.Incarnation {
			// The receiver does not know this incarnation yet.
			toAnnounce = append(toAnnounce, c.table.Self())
		}
		// Updates in transit often make the digests differ; they arrive and change the table within settleTime.
		differs = reply.Digest != args.Digest && reply.Digest != c.digest && now.Sub(c.digestChanged) >= settleTime
	}
	c.publish()
	c.mu.Unlock()
	if len(toAnnounce) > 0 {
		klog.V(1).Infof("announce update: node %s is %s", toAnnounce[0].Name, toAnnounce[0].Status)
	}
	c.announce(toAnnounce)
	if differs {
		c.sync(ctx, name)
	}
}

// sync compares tables with a node: it merges the newer updates of that node and sends those that are newer here.
func (c *Controller) sync(ctx context.Context, name string) {
	c.mu.Lock()
	u, _ := c.table.Get(name)
	c.mu.Unlock()
	if err := c.syncAddress(ctx, u.PeerAddress); err != nil {
		klog.V(1).Infof("compare members with %s: %v", name, err)
	}
}

// syncAddress is sync with the node at a peer address.
func (c *Controller) syncAddress(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.mu.Lock()
	digests := c.table.Digests()
	c.mu.Unlock()
	var reply SyncReply
	if err := c.options.Peers.CallAddress(ctx, address, "Membership.Sync", &SyncArgs{digests}, &reply); err != nil {
		return err
	}
	if len(reply.Updates) > maxUpdates {
		return membership.Error.New("reply to Membership.Sync has too many updates: %d", len(reply.Updates))
	}
	c.forwardMerged(c.merge(reply.Updates))
	c.mu.Lock()
	newer := c.table.NewerThan(reply.Digests, reply.Updates)
	c.mu.Unlock()
	if len(newer) == 0 {
		return nil
	}
	return c.options.Peers.CallAddress(ctx, address, "Membership.Push", &PushArgs{Updates: newer}, &PushReply{})
}

// heartbeatPartner writes the cache file if needed and sends a heartbeat to a random partner from the view.
func (c *Controller) heartbeatPartner(ctx context.Context) {
	c.cacheAddresses()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if name := c.view().ExchangePartner(c.name, random); name != "" {
		c.heartbeat(ctx, name)
	}
}

// probeRemoved sends a heartbeat to a random removed node, to find it again after a partition or a pause.
func (c *Controller) probeRemoved(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.mu.Lock()
	name := c.table.RandomDead(random)
	c.mu.Unlock()
	if name != "" {
		c.heartbeat(ctx, name)
	}
}

// configVersion returns the configuration version in force on this node.
func (c *Controller) configVersion() int64 { return c.options.Board.Config.Value().Version }

// publish counts and logs the table's events, and writes the section when a member changed or when the last write is
// publishInterval ago. c.mu must be held.
func (c *Controller) publish() {
	now := time.Now()
	for _, e := range c.table.Events() {
		memberChanges.Add(e.Change, 1)
		if c.options.Log != nil {
			c.options.Log.Record(explain.Entry{Member: e.Name, Decision: e.Change, Reason: e.Evidence})
		}
	}
	c.table.SetVersion(c.name, c.configVersion())
	changed := c.table.Revision() != c.publishedRevision
	if !changed && now.Sub(c.publishedAt) < publishInterval {
		return
	}
	if changed {
		c.publishedRevision = c.table.Revision()
		c.updateDigest(now)
	}
	c.publishedAt = now
	c.options.Board.Members.Set(c.table.Live())
}

// updateDigest recomputes the digest if the digests of the table changed. c.mu must be held.
func (c *Controller) updateDigest(now time.Time) {
	if c.table.DigestRevision() == c.digestRevision {
		return
	}
	c.digestRevision = c.table.DigestRevision()
	if digest := c.table.Digests().Sum(); digest != c.digest {
		c.digest, c.digestChanged = digest, now
	}
}

// view returns the dissemination view of the live members.
func (c *Controller) view() dissemination.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision := c.table.LiveRevision(); revision != c.viewRevision {
		c.viewRevision, c.cachedView = revision, dissemination.ViewOf(c.table.Live())
	}
	return c.cachedView
}

// announce starts to distribute updates to all nodes.
func (c *Controller) announce(toAnnounce []membership.Update) {
	if len(toAnnounce) > 0 {
		args := PushArgs{Updates: toAnnounce}
		c.send(args, c.originSteps(c.view(), args))
	}
}

// originSteps returns the first steps that distribute args from this node: through the head of its zone, or through the
// reporter for version reports.
func (c *Controller) originSteps(view dissemination.View, args PushArgs) []dissemination.Step {
	c.mu.Lock()
	defer c.mu.Unlock()
	lead := dissemination.LeadHead
	if args.Versions != nil {
		lead = dissemination.LeadReporter
	}
	return c.forwarder.Originate(view, c.name, args.contentHash(), lead)
}

// forwardMerged handles the result of merge after a comparison of tables: it announces the updates in toAnnounce and
// notifies the nodes that fresh declares dead. On a relay it also distributes fresh in its zone.
func (c *Controller) forwardMerged(fresh, toAnnounce []membership.Update) {
	c.announce(toAnnounce)
	go c.notifyDead(fresh)
	view := c.view()
	if len(fresh) == 0 || view.RelayRank(c.name) < 0 {
		return
	}
	args := PushArgs{Updates: fresh}
	c.mu.Lock()
	steps := c.forwarder.OriginateFromStore(view, c.name, args.contentHash())
	c.mu.Unlock()
	c.send(args, steps)
}

// send delivers args along steps in the background.
func (c *Controller) send(args PushArgs, steps []dissemination.Step) {
	for _, s := range steps {
		go c.deliver(context.Background(), args, s)
	}
}

// deliver sends args along one step of the tree. If the receiver does not answer, this node sends to the receiver's
// children itself.
func (c *Controller) deliver(ctx context.Context, args PushArgs, s dissemination.Step) {
	args.Route = s.Route
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.options.Peers.Call(calling, s.To, "Membership.Push", &args, &PushReply{}); err != nil {
		c.send(args, c.view().ReplaceReceiver(c.name, s))
	}
}
