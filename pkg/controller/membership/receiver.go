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

// maxUpdates bounds the statements taken from one message; the two-year target has 380 nodes.
const maxUpdates = 10_000

// tellLimit bounds the calls in flight that tell nodes of their removal.
const tellLimit = 16

// Receiver holds the methods that peers call.
type Receiver struct{ c *Controller }

// Receiver returns what to register as "Membership".
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// ExchangeArgs is a heartbeat.
type ExchangeArgs struct {
	From  string
	Stamp membership.Stamp
	// About is what the sender believes of the receiver.
	About membership.Stamp
	// Version is the configuration version in force at the sender.
	Version int64
	// Digest is the sum of the sender's table digests.
	Digest uint64
	// Brief says that the sender understands a reply without the parts that are as it believes.
	Brief bool
}

// ExchangeReply answers a heartbeat.
type ExchangeReply struct {
	Stamp    membership.Stamp
	Draining bool
	// Self is the whole statement of the receiver, when the sender knows another incarnation of it.
	Self *membership.Update
	// You is what the receiver believes of the sender; a zero incarnation means that it does not know it.
	You     membership.Stamp
	Version int64
	Digest  uint64
	// Brief is set when the other fields are left out that are as in the heartbeat: Stamp is About, You is Stamp,
	// and Version and Digest are those of the sender. Draining and Self are never left out. It saves a quarter of
	// the bytes of the usual reply, of which each node sends and gets 1.2 a second.
	Brief bool
}

// shorten leaves out what the sender of a heartbeat knows, if it understands that.
func (r *ExchangeReply) shorten(args *ExchangeArgs) {
	if !args.Brief || r.Stamp != args.About || r.You != args.Stamp || r.Version != args.Version || r.Digest != args.Digest {
		return
	}
	*r = ExchangeReply{Draining: r.Draining, Self: r.Self, Brief: true}
}

// complete fills in what the receiver left out.
func (r *ExchangeReply) complete(args *ExchangeArgs) {
	if r.Brief {
		r.Stamp, r.You, r.Version, r.Digest = args.About, args.Stamp, args.Version, args.Digest
	}
}

// PushArgs carries news along a tree. A zero Route is not passed on.
type PushArgs struct {
	Updates  []membership.Update
	Versions *Versions
	Route    dissemination.Route
}

// id identifies the content, so that it is passed on once.
func (p *PushArgs) id() uint64 {
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

// SyncArgs asks for the statements in the parts of the table that differ.
type SyncArgs struct{ Digests membership.Digests }

// SyncReply holds them.
type SyncReply struct {
	Digests membership.Digests
	Updates []membership.Update
}

// ReportArgs tells the reporter of the zone which configuration version is in force on a node.
type ReportArgs struct {
	From    string
	Version int64
}

// Exchange answers a heartbeat.
func (r *Receiver) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	c, now := r.c, time.Now()
	c.mu.Lock()
	news := c.table.Refute(args.About, now)
	news = append(news, c.table.Heard(args.From, args.Stamp, c.drainingOf(args.From), args.Version, now)...)
	self := c.table.Self()
	reply.Stamp, reply.Draining = self.Stamp, self.Draining
	if args.About.Incarnation != self.Incarnation {
		reply.Self = &self
	}
	c.publish()
	if you, ok := c.table.Get(args.From); ok {
		reply.You = you.Stamp
	}
	reply.Version, reply.Digest = c.version(), c.digest
	reply.shorten(args)
	c.mu.Unlock()
	c.announce(news)
	return nil
}

// drainingOf keeps the flag that is known; a heartbeat does not carry it.
func (c *Controller) drainingOf(name string) bool {
	u, _ := c.table.Get(name)
	return u.Draining
}

// Push takes news and passes it on. News without a route come from a comparison of tables.
func (r *Receiver) Push(args *PushArgs, _ *PushReply) error {
	if len(args.Updates) > maxUpdates {
		return membership.Error.New("%d updates in one message", len(args.Updates))
	}
	c := r.c
	fresh, news := c.merge(args.Updates)
	if args.Route.Stage == "" {
		c.passOn(fresh, news)
		return nil
	}
	c.announce(news)
	if args.Versions != nil {
		c.takeVersions(*args.Versions)
	}
	view := c.view()
	c.mu.Lock()
	steps := c.spread.Forward(view, c.name, args.id(), args.Route)
	c.mu.Unlock()
	c.send(PushArgs{Updates: args.Updates, Versions: args.Versions}, steps)
	return nil
}

// tellSubjects tells nodes that another part of the fleet holds them for dead, so that they refute it at once: this
// node itself probes only a few in each round, and a node that was alone holds all others for dead.
func (c *Controller) tellSubjects(fresh []membership.Update) {
	var group errgroup.Group
	group.SetLimit(tellLimit)
	for _, u := range fresh {
		if u.Status != membership.Dead {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			return c.o.Peers.CallAddress(ctx, u.PeerAddress, "Membership.Push", &PushArgs{Updates: []membership.Update{u}}, &PushReply{})
		})
	}
	if err := group.Wait(); err != nil {
		klog.V(1).Infof("tell nodes of their removal: %v", err)
	}
}

// merge takes statements and returns those that were new, and news of this node itself.
func (c *Controller) merge(updates []membership.Update) (fresh, news []membership.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, u := range updates {
		isFresh, own := c.table.Merge(u, now)
		if isFresh {
			fresh = append(fresh, u)
		}
		news = append(news, own...)
	}
	c.publish()
	return fresh, news
}

// takeVersions takes a zone's report; false when it is not newer than the last one.
func (c *Controller) takeVersions(v Versions) bool {
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

// Sync returns the statements in the parts of the table that differ from the caller's.
func (r *Receiver) Sync(args *SyncArgs, reply *SyncReply) error {
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Digests, reply.Updates = c.table.Digests(), c.table.Differing(args.Digests)
	return nil
}

// Report takes the version in force on a node of the zone.
func (r *Receiver) Report(args *ReportArgs, _ *PushReply) error {
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetVersion(args.From, args.Version)
	c.versionsDue = true
	c.publish()
	return nil
}
