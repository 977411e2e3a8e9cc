package membership

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/decision/dissemination"
	"trefoilplank.example/pkg/decision/membership"
)

// maxUpdates bounds the updates accepted in one message; the two-year target has 380 nodes.
const maxUpdates = 10_000

// notifyConcurrency bounds the concurrent calls that notify nodes of their removal.
const notifyConcurrency = 16

// Receiver holds the methods that other nodes call over net/rpc.
type Receiver struct{ c *Controller }

// Receiver returns the receiver to register as "Membership".
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// ExchangeArgs is a heartbeat with the sender's status and its record of the receiver.
type ExchangeArgs struct {
	From  string
	Stamp membership.Stamp
	// About is the receiver's stamp in the sender's table.
	About membership.Stamp
	// Version is the configuration version in force at the sender.
	Version int64
	// Digest is the sum of the sender's table digests.
	Digest uint64
	// Brief says that the sender accepts a reply with Brief set.
	Brief bool
}

// ExchangeReply answers a heartbeat.
type ExchangeReply struct {
	Stamp    membership.Stamp
	Draining bool
	// Self is the receiver's full update, set when the sender knows another incarnation of it.
	Self *membership.Update
	// You is the sender's stamp in the receiver's table; a zero incarnation means that the sender is not in it.
	You     membership.Stamp
	Version int64
	Digest  uint64
	// Brief says that Stamp, You, Version and Digest are omitted because they equal About, Stamp, Version and Digest
	// of the heartbeat. Draining and Self are never omitted. This saves a quarter of the bytes of the usual reply, of
	// which each node sends and receives 1.2 per second.
	Brief bool
}

// omitKnown turns the reply into a brief one if the sender accepts that and all omitted fields equal its heartbeat.
func (r *ExchangeReply) omitKnown(args *ExchangeArgs) {
	if !args.Brief || r.Stamp != args.About || r.You != args.Stamp || r.Version != args.Version || r.Digest != args.Digest {
		return
	}
	*r = ExchangeReply{Draining: r.Draining, Self: r.Self, Brief: true}
}

// fillOmitted fills in the fields that a brief reply omits.
func (r *ExchangeReply) fillOmitted(args *ExchangeArgs) {
	if r.Brief {
		r.Stamp, r.You, r.Version, r.Digest = args.About, args.Stamp, args.Version, args.Digest
	}
}

// PushArgs carries updates or a version report along a tree. Without a Route it is not forwarded along the tree.
type PushArgs struct {
	Updates  []membership.Update
	Versions *Versions
	Route    dissemination.Route
}

// contentHash returns a hash of the content, by which each node forwards it once.
func (p *PushArgs) contentHash() uint64 {
	h := xxh3.New()
	for _, u := range p.Updates {
		fmt.Fprintf(h, "%s\x00%d\x00%d\x00%d\x00%t\x00", u.Name, u.Incarnation, u.Seq, u.Status, u.Draining)
	}
	if v := p.Versions; v != nil {
		fmt.Fprintf(h, "%s\x00%d", v.AvailabilityZone, v.At)
	}
	return h.Sum64()
}

// Versions reports the configuration version in force on the nodes of one zone.
type Versions struct {
	AvailabilityZone string
	// At orders the reports of one zone: Unix milliseconds at its reporter.
	At int64
	// Version is in force on all nodes of the zone but those in Behind.
	Version int64
	Behind  map[string]int64
}

// PushReply is empty.
type PushReply struct{}

// SyncArgs asks for the updates in the table buckets whose digests differ from Digests.
type SyncArgs struct{ Digests membership.Digests }

// SyncReply holds the receiver's digests and its updates in the differing buckets.
type SyncReply struct {
	Digests membership.Digests
	Updates []membership.Update
}

// ReportArgs reports the configuration version in force on the node From to the reporter of its zone.
type ReportArgs struct {
	From    string
	Version int64
}

// Exchange handles a heartbeat and replies with this node's status and its record of the sender.
func (r *Receiver) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	c, now := r.c, time.Now()
	c.mu.Lock()
	toAnnounce := c.table.Refute(args.About, now)
	toAnnounce = append(toAnnounce, c.table.RecordAnswer(args.From, args.Stamp, c.knownDraining(args.From), args.Version, now)...)
	self := c.table.Self()
	reply.Stamp, reply.Draining = self.Stamp, self.Draining
	if args.About.Incarnation != self.Incarnation {
		reply.Self = &self
	}
	c.publish()
	if you, ok := c.table.Get(args.From); ok {
		reply.You = you.Stamp
	}
	reply.Version, reply.Digest = c.configVersion(), c.digest
	reply.omitKnown(args)
	c.mu.Unlock()
	c.announce(toAnnounce)
	return nil
}

// knownDraining returns a node's draining flag from the table, since ExchangeArgs does not carry it. c.mu must be
// held.
func (c *Controller) knownDraining(name string) bool {
	u, _ := c.table.Get(name)
	return u.Draining
}

// Push merges updates or a version report and forwards them along the route. A message without a route comes from a
// comparison of tables.
func (r *Receiver) Push(args *PushArgs, _ *PushReply) error {
	if len(args.Updates) > maxUpdates {
		return membership.Error.New("%d updates in one message", len(args.Updates))
	}
	c := r.c
	fresh, toAnnounce := c.merge(args.Updates)
	if args.Route.Stage == "" {
		c.forwardMerged(fresh, toAnnounce)
		return nil
	}
	c.announce(toAnnounce)
	if args.Versions != nil {
		c.applyVersions(*args.Versions)
	}
	view := c.view()
	c.mu.Lock()
	steps := c.forwarder.Forward(view, c.name, args.contentHash(), args.Route)
	c.mu.Unlock()
	c.send(PushArgs{Updates: args.Updates, Versions: args.Versions}, steps)
	return nil
}

// notifyDead sends each update that declares a node dead to that node, so that a live node refutes it at once. Without
// this it would take longer: this node probes only a few nodes per round, and a node that was isolated considers all
// others dead.
func (c *Controller) notifyDead(fresh []membership.Update) {
	var group errgroup.Group
	group.SetLimit(notifyConcurrency)
	for _, u := range fresh {
		if u.Status != membership.Dead {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			return c.options.Peers.CallAddress(ctx, u.PeerAddress, "Membership.Push", &PushArgs{Updates: []membership.Update{u}}, &PushReply{})
		})
	}
	if err := group.Wait(); err != nil {
		klog.V(1).Infof("notify nodes that they are considered dead: %v", err)
	}
}

// merge applies updates to the table. It returns the updates that were newer than the table, and the updates to
// announce that the table made in response, such as refutations by this node.
func (c *Controller) merge(updates []membership.Update) (fresh, toAnnounce []membership.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, u := range updates {
		isFresh, own := c.table.Merge(u, now)
		if isFresh {
			fresh = append(fresh, u)
		}
		toAnnounce = append(toAnnounce, own...)
	}
	c.publish()
	return fresh, toAnnounce
}

// applyVersions applies a zone's version report and returns true, unless it is not newer than the last one.
func (c *Controller) applyVersions(v Versions) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.At <= c.reports[v.AvailabilityZone] {
		return false
	}
	c.reports[v.AvailabilityZone] = v.At
	for _, m := range c.table.Live().Live {
		if m.AvailabilityZone != v.AvailabilityZone {
			continue
		}
		version, ok := v.Behind[m.Name]
		if !ok {
			version = v.Version
		}
		c.table.SetVersion(m.Name, version)
	}
	c.publish()
	return true
}

// Sync returns the updates in the table buckets that differ from the caller's.
func (r *Receiver) Sync(args *SyncArgs, reply *SyncReply) error {
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Digests, reply.Updates = c.table.Digests(), c.table.DifferingUpdates(args.Digests)
	return nil
}

// Report records the configuration version in force on a node of the zone.
func (r *Receiver) Report(args *ReportArgs, _ *PushReply) error {
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetVersion(args.From, args.Version)
	c.versionsDue = true
	c.publish()
	return nil
}
