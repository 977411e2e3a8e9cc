// Package streamversions tells a node at which software version a stream began that it is asked to continue, whichever
// node served it before.
//
// While a service has several versions, a node records each stream that it begins. The hub of the load exchange gets the
// records of all nodes and passes them on to its successor, so that they outlive any single node. A node that lacks a
// record asks both.
package streamversions

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/softwareversion"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/pkg/wait"
)

const (
	// lookupTimeout bounds the question to other nodes; a stream that continues later than the pause objective of callers
	// is late.
	lookupTimeout = 150 * time.Millisecond
	// LookupNodes is the number of nodes that are asked: the hub, its successor, and one more, since the nodes may not agree
	// on the hub for a moment.
	LookupNodes = 3
	// startWait is how long a stream that is taken up waits after a start for what earlier processes left, and startPoll the
	// time between two looks at it.
	startWait, startPoll = time.Second, 50 * time.Millisecond
	// exchangeRecords limits the records in one message, at about 60 bytes each.
	exchangeRecords = 512
	// expireInterval is the time between two searches for streams that can't continue any more.
	expireInterval = 5 * time.Second
)

// Options configures a Controller.
type Options struct {
	Peers peer.Caller
	// Hubs returns the other live nodes in the order in which they serve as the hub.
	Hubs func() []string
	// Exchange starts an exchange with the hub.
	Exchange func()
	// Store holds the history of versions for processes that start later. IsHub reports whether this node writes it.
	Store store.Store
	IsHub func() bool
	// Joined reports whether this node knows the others, and Asked whether it is among those that they ask for streams.
	Joined, Asked func() bool
	// FirstStart is set if no process of the deployment has run before.
	FirstStart bool
	// ListAge returns the age of this node's list of upstreams.
	ListAge func() time.Duration
	Log     *eventlog.Log
	Metrics *Metrics
}

// Controller holds the software versions of streams. A nil Controller knows none and records none. It is safe for
// concurrent use.
type Controller struct {
	options Options
	// reading is set until the records of earlier processes were read.
	reading atomic.Bool

	mu        sync.Mutex
	versions  *softwareversion.Versions
	directory *softwareversion.Directory
	expiredAt time.Time
	// versionsChanged receives a value when the versions of a service have changed.
	versionsChanged chan struct{}
	// recordsAdded receives a value when streams of a service with several versions were recorded.
	recordsAdded chan struct{}
}

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{
		options: o, versions: softwareversion.NewVersions(), directory: softwareversion.NewDirectory(), versionsChanged: make(chan struct{}, 1),
		recordsAdded: make(chan struct{}, 1),
	}
}

// Observe records the versions in a list of upstreams and sets in it when streams may begin on each. The streams of a
// service that has several versions now are exchanged from the earliest known on.
func (c *Controller) Observe(list []dispatch.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	before := map[string]bool{}
	for _, u := range list {
		before[u.Service] = c.versions.MustRecord(u.Service, now)
	}
	if c.versions.Observe(list, now) {
		select {
		case c.versionsChanged <- struct{}{}:
		default:
		}
	}
	for service, recorded := range before {
		if !recorded && c.versions.MustRecord(service, now) {
			c.directory.Touch(service)
			c.options.Log.Notice("service has several software versions", "service", service)
		}
	}
}

// Began records that a stream of a customer, "" if there is none, began, or has continued, at a software version. With several versions the hub gets the record
// at once, since the node may be lost at any time, and otherwise with the next exchange.
func (c *Controller) Began(stream, service, version, customer string) {
	if c != nil && c.add(softwareversion.Record{Stream: stream, Service: service, Version: version, Customer: customer}) {
		c.options.Exchange()
	}
}

// add adds a record of this node and reports whether it must be exchanged at once.
func (c *Controller) add(r softwareversion.Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.expiredAt) >= expireInterval {
		c.expiredAt = now
		c.directory.Expire(now)
	}
	if !c.directory.Add(r, "", now) || !c.versions.Several(r.Service, now) {
		return false
	}
	c.signalRecords(r.Service, now)
	return true
}

// VersionOf returns the software version at which a stream of a service began. It returns false if neither this node nor those
// that it asks know it, or if another customer began the stream; it must not continue then. stream is empty if it is not named. Shortly after a start it waits
// until this node knows whom to ask, and they have read what earlier processes left.
func (c *Controller) VersionOf(ctx context.Context, stream, service, customer string) (version string, ok bool) {
	if c == nil {
		return "", false
	}
	args := FindArgs{Stream: stream, Service: service, Within: softwareversion.Lifetime, Customer: customer}
	for begun := time.Now(); ; {
		answer := c.find(args)
		if !answer.Known && !answer.Foreign {
			answer = c.askOthers(ctx, args, answer.Reading)
		}
		switch {
		case answer.Known:
			return answer.Version, true
		case answer.Foreign:
			c.options.Metrics.countLookup("foreign")
			return "", false
		case !answer.Reading && c.options.Joined(), time.Since(begun) >= startWait, wait.Sleep(ctx, startPoll) != nil:
			c.options.Metrics.countLookup("unknown")
			return "", false
		}
	}
}

// askOthers asks the nodes that hold records. Reading is set in the answer if one of them, or this node, may know more soon.
func (c *Controller) askOthers(ctx context.Context, args FindArgs, reading bool) FindReply {
	nodes := c.options.Hubs()
	nodes = nodes[:min(LookupNodes, len(nodes))]
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	answers := make(chan FindReply, len(nodes))
	for _, node := range nodes {
		go func() {
			var reply FindReply
			if err := c.options.Peers.Call(ctx, node, "StreamVersions.Find", args, &reply); err != nil {
				c.options.Log.Routine("node not asked for the software version of a stream", "member", node, "stream", args.Stream, "error", err)
			}
			answers <- reply
		}()
	}
	for range nodes {
		answer := <-answers
		if answer.Known {
			c.options.Metrics.countLookup("found")
			return answer
		}
		if answer.Foreign {
			return answer
		}
		reading = reading || answer.Reading
	}
	return FindReply{Reading: reading}
}

// find answers by what this node knows: its record of the stream, or the only version that its recent list has shown.
func (c *Controller) find(args FindArgs) FindReply {
	recent := c.options.ListAge() <= softwareversion.MaxListAge
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if r, ok := c.directory.Find(args.Stream, now); ok {
		if !r.MayResume(args.Customer) {
			return FindReply{Foreign: true}
		}
		return FindReply{Known: r.Service == args.Service, Version: r.Version}
	}
	version, only := c.versions.Only(args.Service, now)
	return FindReply{Known: only && recent, Version: version, Reading: c.reading.Load() && c.options.Asked()}
}

// Add adds the records of another process.
func (c *Controller) Add(from string, records []softwareversion.Record) {
	if c == nil || len(records) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range records {
		if c.directory.Add(r, from, now) {
			c.signalRecords(r.Service, now)
		}
	}
}

// Since returns the records of exchanged services that changed after a revision of this node's directory, without those
// that the process to sent itself, and the revision that they lead to.
func (c *Controller) Since(revision int64, to string) ([]softwareversion.Record, int64) {
	if c == nil {
		return nil, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.directory.Since(revision, to, exchangeRecords, func(service string) bool { return c.versions.MustRecord(service, now) }, now)
}

// Receiver returns the net/rpc receiver "StreamVersions".
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// Receiver is the net/rpc receiver "StreamVersions".
type Receiver struct{ c *Controller }

// FindArgs asks for the software version at which a stream of a service began.
type FindArgs struct {
	Stream, Service string
	// Within is how long ago the stream began at most. Only nodes of earlier versions read it.
	Within time.Duration
	// Customer is the name of the customer that takes the stream up, or "".
	Customer string
}

// FindReply answers FindArgs.
type FindReply struct {
	Known   bool
	Version string
	// Reading is set if the version is not known and the node has not yet read what earlier processes left.
	Reading bool
	// Foreign is set if another customer began the stream.
	Foreign bool
}

// Find answers by what this node knows.
func (r *Receiver) Find(args FindArgs, reply *FindReply) error {
	*reply = r.c.find(args)
	return nil
}
