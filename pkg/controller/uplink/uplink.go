// Package uplink connects a node to its upstreams: by connections of its own or, while these fail and those of other nodes do
// not, by connections through another node.
//
// A relayed connection carries bytes only. The node at which a caller's request arrived goes on to decide on it, and the other
// one just passes on what it receives, so that everything that holds for a request holds over a relayed connection too. A
// connection is relayed once at most.
package uplink

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/adapter/dial"
	"trefoilplank.example/pkg/decision/reach"
	"trefoilplank.example/pkg/eventlog"
)

// Error is the class of the errors of this package.
var Error = errs.Class("uplink")

// Errors of connections that another node asked for; test with errors.Is. They are also what this node gets when it asks.
var (
	// ErrUnknownUpstream means that the node does not know an upstream at the address.
	ErrUnknownUpstream = Error.New("no upstream at this address")
	// ErrCutOff means that the node that was asked does not reach the upstream itself, and probably for a cause of its own.
	ErrCutOff = Error.New("node does not reach the upstream itself")
	// ErrBusy means that the node relays as many connections as it may, or drains.
	ErrBusy = Error.New("node relays no more connections")
	// ErrRefused and ErrUnreachable mean that the upstream refused the connection, or could not be reached, although the node
	// reaches others.
	ErrRefused     = Error.New("upstream refused the connection")
	ErrUnreachable = Error.New("upstream can't be reached")
	// ErrNoHelper means that no other node could be asked.
	ErrNoHelper = Error.New("no other node connects to the upstream")
)

const (
	// connectTimeout of the time in which this process runs bounds a connection attempt of this node: upstreams are a few milliseconds
	// away, and a VM without power does not answer.
	connectTimeout = 300 * time.Millisecond
	// relayTimeout bounds a connection attempt through one other node, which includes one of that node. If it has not ended after
	// nextHelperDelay, a further node is asked too.
	relayTimeout    = connectTimeout + 700*time.Millisecond
	nextHelperDelay = 150 * time.Millisecond
	// helperDelay is how long a check waits for a connection of this node before it asks another one too.
	helperDelay = 60 * time.Millisecond
	// maxHelpers is the number of other nodes that are asked for one connection.
	maxHelpers = 3
	// avoidTime is how long a node that could not help is asked after the others.
	avoidTime = time.Second
	// pollInterval is the time between two looks at the connections while data is awaited.
	pollInterval = 100 * time.Millisecond
	// maxReturnChecks is the number of checks that a poll begins of upstreams that are reached through other nodes.
	maxReturnChecks = 2
	// diagnosisLifetime is how long the result of a check is used for further failures of the same upstream.
	diagnosisLifetime = 100 * time.Millisecond
	// recheckInterval is how long a connection to a silent upstream shows that it can be reached.
	recheckInterval = 500 * time.Millisecond
	// maxRelayed is the number of connections that this node relays for others at a time. Each takes two descriptors, two
	// goroutines and 24 KB of buffers.
	maxRelayed = 256
)

// DialFunc connects to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures Links.
type Options struct {
	// Dial makes the connections of this node; nil selects a dialer that detects unreachable peers.
	Dial DialFunc
	// Helpers returns the other nodes that may connect to an upstream for this one, in the order in which they are asked.
	Helpers func(address string) []string
	// Relay connects to an upstream through another node; nil if there is none.
	Relay func(ctx context.Context, node, address string) (net.Conn, error)
	// Draining reports whether this node relays no more connections since it is about to stop; nil if it never does.
	Draining func() bool
	// Changed is called when upstreams are reached in another way than before; direct is set if it is by this node's own
	// connections again.
	Changed func(addresses []string, direct bool)
	Log     *eventlog.Log
	Metrics *Metrics
}

// Links holds a node's connections to its upstreams. It is safe for concurrent use.
type Links struct {
	options Options
	// polling is set while a poll is scheduled.
	polling atomic.Bool
	// relayedForOthers counts the connections that this node relays.
	relayedForOthers atomic.Int64
	// traffic holds the *counters of each upstream by address.
	traffic sync.Map

	mu         sync.Mutex
	state      *reach.State
	avoid      map[string]time.Time
	transports []*http.Transport
	// diagnoses holds the checks in progress and those of the last diagnosisLifetime.
	diagnoses map[diagnosisKey]*diagnosis
	// asked holds the questions to other nodes in progress and those of the last diagnosisLifetime, by address.
	asked map[string]chan struct{}
}

// counters counts the writes to an upstream and the reads from it. heardAt is the time of the last read since clockStart, steadySince that
// of the first one after the last pause of reach.RunningLimit or more, open the number of connections that write to the counters.
type counters struct {
	sent, received, seenSent, seenReceived atomic.Uint32
	heardAt, steadySince, open             atomic.Int64
}

// countRead counts a read. The end of a pause is visible before the read, so that nobody sees a steady time over it.
func (c *counters) countRead(at time.Duration) {
	c.received.Add(1)
	if at-time.Duration(c.heardAt.Load()) >= reach.RunningLimit {
		c.steadySince.Store(int64(at))
	}
	c.heardAt.Store(int64(at))
}

// clockStart is the origin of the times in counters.
var clockStart = time.Now()

// New returns Links without upstreams.
func New(o Options) *Links {
	if o.Dial == nil {
		o.Dial = dial.Dialer(0).DialContext // Its context limits the time.
	}
	l := &Links{options: o, state: reach.New(), avoid: map[string]time.Time{}, diagnoses: map[diagnosisKey]*diagnosis{}, asked: map[string]chan struct{}{}}
	o.Metrics.observeLinks(l)
	return l
}

// SetUpstreams replaces the list of upstreams.
func (l *Links) SetUpstreams(list []reach.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.SetUpstreams(list, time.Now())
	l.traffic.Range(func(address, value any) bool {
		// Kept connections are used again if the entry comes back. New ones are counted while l.mu is held.
		if !l.state.Known(address.(string)) && value.(*counters).open.Load() == 0 {
			l.traffic.Delete(address)
		}
		return true
	})
}

func (l *Links) counters(address string) *counters {
	if c, ok := l.traffic.Load(address); ok {
		return c.(*counters)
	}
	c, _ := l.traffic.LoadOrStore(address, &counters{})
	return c.(*counters)
}

// dial makes one attempt to connect, for connectTimeout of the time in which this process runs, and reports whether it ended while the
// process did not run.
func (l *Links) dial(ctx context.Context, network, address string) (conn net.Conn, stalled bool, err error) {
	dialCtx, wait := withRunTime(ctx, connectTimeout)
	conn, err = l.options.Dial(dialCtx, network, address)
	late := wait.stop()
	return conn, err != nil && late, err
}

// connect makes a connection of this node to an upstream and records whether that succeeded.
func (l *Links) connect(ctx context.Context, network, address string) (net.Conn, error) {
	conn, stalled, err := l.dial(ctx, network, address)
	if stalled && ctx.Err() == nil {
		conn, stalled, err = l.dial(ctx, network, address)
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.options.Metrics.countConnect("ok")
		if l.state.Connected(address, now) {
			l.options.Log.Notice("upstream is reached directly again", "upstream_address", address)
			l.changed([]string{address}, true)
		}
		c := l.counters(address)
		c.open.Add(1)
		return &countedConn{Conn: conn, counters: c}, nil
	case ctx.Err() != nil:
		l.options.Metrics.countConnect("cancelled") // The end of a request says nothing about the connection.
	case stalled:
		l.options.Metrics.countConnect("stalled")
	default:
		l.options.Metrics.countConnect("failed")
		heard := l.state.LastHeard(l.state.Service(address))
		l.state.ConnectFailed(address, now)
		l.options.Log.Routine("connection to upstream failed", "upstream_address", address, "error", err,
			"heard_ms", now.Sub(heard).Milliseconds(), "suspected", l.state.Suspected(l.state.Service(address), now))
	}
	return nil, err
}

// changed reports that upstreams are reached in another way; l.mu is held.
func (l *Links) changed(addresses []string, direct bool) {
	if l.options.Changed != nil {
		go l.options.Changed(addresses, direct)
	}
}

// countedConn counts the data on a connection of this node.
type countedConn struct {
	net.Conn
	firstWrite
	counters *counters
	closed   atomic.Bool
}

// Close ends the connection.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.counters.open.Add(-1)
	}
	return c.Conn.Close()
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.counters.countRead(time.Since(clockStart))
	}
	return n, err
}

// watch schedules polls, which go on while data is awaited or upstreams are reached through other nodes.
func (l *Links) watch() {
	if l.polling.CompareAndSwap(false, true) {
		time.AfterFunc(pollInterval, l.poll)
	}
}

// poll records what arrived and checks silent upstreams.
func (l *Links) poll() {
	activity := map[string]reach.Activity{}
	l.traffic.Range(func(address, value any) bool {
		c := value.(*counters)
		sent, received := c.sent.Load(), c.received.Load()
		a := reach.Activity{Sent: sent != c.seenSent.Swap(sent), Received: received != c.seenReceived.Swap(received)}
		if a.Sent || a.Received {
			activity[address.(string)] = a
		}
		return true
	})
	now := time.Now()
	l.mu.Lock()
	l.state.Poll(activity, now)
	checks, returns := l.state.SilentChecks(now), l.state.ReturnChecks(maxReturnChecks, now)
	waiting := l.state.Waiting()
	l.mu.Unlock()
	for _, address := range returns {
		go func() { _ = l.check(address) }() // The result is recorded.
	}
	for _, address := range checks {
		l.options.Log.Notice("upstreams owe answers and none is heard", "upstream_address", address)
		// A connection of the last half second, with which DiagnoseSilent is content, shows nothing about a cut since.
		go l.diagnoseAwaitingOwn(context.Background(), address)
	}
	if waiting || len(activity) > 0 {
		time.AfterFunc(pollInterval, l.poll)
		return
	}
	l.polling.Store(false)
}

// Relayed reports whether an upstream is reached through other nodes.
func (l *Links) Relayed(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Relayed(address)
}

// Lost reports whether what this node has sent to an upstream over its own connections can't be answered any more.
func (l *Links) Lost(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Lost(address)
}

// Unheard returns how long no data has arrived from an upstream on this node's own connections. A new
// connection says nothing here, since the kernel of a stopped process answers it.
func (l *Links) Unheard(address string) time.Duration {
	return time.Since(clockStart) - time.Duration(l.counters(address).heardAt.Load())
}

// Steady returns for how long data had arrived from an upstream without a pause of reach.RunningLimit when it last arrived.
func (l *Links) Steady(address string) time.Duration {
	c := l.counters(address)
	return max(0, time.Duration(c.heardAt.Load()-c.steadySince.Load()))
}

// HeardAt returns when data last arrived from an upstream. Data that comes through other nodes is not watched: it counts as heard.
func (l *Links) HeardAt(address string) time.Time {
	at := clockStart.Add(time.Duration(l.counters(address).heardAt.Load()))
	if now := time.Now(); now.Sub(at) > reach.RunningLimit && l.Relayed(address) {
		return now
	}
	return at
}

// Restarted reports whether another process than the one of the given incarnation serves at an address.
func (l *Links) Restarted(address string, incarnation int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Restarted(address, incarnation)
}

// Doubtful reports whether the silence of an upstream may be that of this node's own connections.
func (l *Links) Doubtful(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Relayed(address) || l.state.Suspected(l.state.Service(address), time.Now())
}

// CutOff reports whether this node reaches no upstream of some service itself.
func (l *Links) CutOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, cutOff := l.state.Unreached()
	return cutOff
}

// ReachedThroughOthers returns the number of upstreams that are reached through other nodes.
func (l *Links) ReachedThroughOthers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, _ := l.state.Unreached()
	return n
}

// path returns how a request gets to an upstream, and starts a check of the node's own connection if one is due.
func (l *Links) path(address string) reach.Path {
	l.watch()
	l.mu.Lock()
	path, check := l.state.Path(address, time.Now())
	l.mu.Unlock()
	if check {
		go func() { _ = l.check(address) }() // The result is recorded.
	}
	return path
}

// check connects to an upstream directly and closes the connection.
func (l *Links) check(address string) error {
	conn, err := l.connect(context.Background(), "tcp", address)
	if err == nil {
		_ = conn.Close() // Nothing was sent.
	}
	return err
}
