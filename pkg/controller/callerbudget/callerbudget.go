// Package callerbudget accounts for what a node holds for callers and connections, and closes the connections that give way
// when it is more than the node can bear.
package callerbudget

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	decision "trefoilplank.example/pkg/decision/callerbudget"
)

// Errors of request bodies whose connection gave way. The request has not run.
var (
	// ErrNoRoom means that the node needed the room.
	ErrNoRoom = errs.New("no room for the request body")
	// ErrTooSlow means that the body did not arrive in time.
	ErrTooSlow = errs.New("request body did not arrive in time")
)

// Options configures a Budget.
type Options struct {
	// Bytes is the memory for callers, Descriptors the limit on the descriptors of the process, or 0 if it is not known.
	Bytes       int64
	Descriptors int
	// BodyTimeout limits the time to send a body, and UnreadTimeout the time for which a caller may read nothing of an answer.
	BodyTimeout, UnreadTimeout time.Duration
	// HeadBytes returns the limit on header sections, or 0 for that of the server.
	HeadBytes func() int
	Log       Log
	Metrics   *metrics.Set
}

// Log takes the lines of the account: an event, and names and values in turn.
type Log interface {
	Notice(event string, fields ...any)
}

// Budget is the account of one node.
type Budget struct {
	options Options
	started time.Time
	groups  map[decision.Class]*Group
}

// New returns the account of a node.
func New(o Options) *Budget {
	b := &Budget{options: o, started: time.Now(), groups: map[decision.Class]*Group{}}
	for class, name := range classNames {
		b.groups[class] = &Group{budget: b, name: name, limit: decision.Limit(class, o.Bytes, o.Descriptors), conns: map[*conn]struct{}{}, serves: class == decision.Callers}
		b.groups[class].register(o.Metrics)
	}
	return b
}

// Group returns the part of the account for a class of servers.
func (b *Budget) Group(c decision.Class) *Group { return b.groups[c] }

// sweepInterval is how often connections are checked for the timeouts, which are many times as long.
const sweepInterval = time.Second

// Run closes connections that exceed the timeouts, until ctx ends.
func (b *Budget) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			for _, g := range b.groups {
				g.sweep()
			}
		}
	}
}

// now returns the time since the start, which takes one word.
func (b *Budget) now() int64 { return int64(time.Since(b.started)) }

// Group is the part of the account for one class of servers.
type Group struct {
	budget *Budget
	name   string
	limit  decision.Usage
	// serves is set if each request needs a connection to an upstream.
	serves             bool
	bytes, descriptors atomic.Int64
	// served are the bytes of the requests that are being served.
	served  atomic.Int64
	mu      sync.Mutex // guards the fields below
	conns   map[*conn]struct{}
	holders []decision.Holder
	held    []*conn
	log     series
}

func (g *Group) used() decision.Usage {
	return decision.Usage{Bytes: g.bytes.Load(), Descriptors: g.descriptors.Load()}
}

// enforce makes connections give way until the group is within its limit, and reports whether it is.
func (g *Group) enforce() bool {
	if !g.used().Exceeds(g.limit) {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.used().Exceeds(g.limit) {
		return true
	}
	g.snapshot()
	for _, i := range decision.Victims(g.holders, g.used(), g.limit) {
		g.evict(g.held[i], reasonNoRoom)
	}
	return !g.used().Exceeds(g.limit)
}

// snapshot fills holders and held. The caller holds g.mu.
func (g *Group) snapshot() {
	now := g.budget.now()
	g.holders, g.held = g.holders[:0], g.held[:0]
	for c := range g.conns {
		g.holders, g.held = append(g.holders, c.holder(now)), append(g.held, c)
	}
}

// sweep closes the connections whose body or reading takes too long.
func (g *Group) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.snapshot()
	o := g.budget.options
	for i, h := range g.holders {
		switch {
		case h.Phase == decision.Body && o.BodyTimeout > 0 && h.Age > o.BodyTimeout:
			g.evict(g.held[i], reasonBody)
		case h.Phase == decision.Answer && o.UnreadTimeout > 0 && h.Stalled > o.UnreadTimeout:
			g.evict(g.held[i], reasonUnread)
		}
	}
}

// evict ends a connection. The caller holds g.mu.
func (g *Group) evict(c *conn, why reason) {
	phase := c.currentPhase()
	if phase == decision.Body && !c.phase.CompareAndSwap(int32(phase), int32(decision.Closing)) {
		return // The body has just arrived.
	}
	if c.evicted.CompareAndSwap(noReason, int32(why)) {
		g.count(phase, why)
		if g.log.first(phase, time.Now()) {
			g.budget.options.Log.Notice("connections of callers are closed", "server", g.name, "phase", phaseNames[phase], "reason", reasonNames[why],
				"held_bytes", g.bytes.Load(), "limit_bytes", g.limit.Bytes, "descriptors", g.descriptors.Load(), "limit_descriptors", g.limit.Descriptors)
		}
	}
	if phase == decision.Body {
		// The handler drops what it has read and answers that the request has not run.
		c.setPhase(decision.Closing)
		c.add(min(0, decision.ConnectionBytes-c.bytes.Load()), 0)
		_ = c.Conn.SetReadDeadline(past) // An error means that the connection has ended.
		return
	}
	delete(g.conns, c)
	c.forget()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // The kernel drops what the caller has not read.
	}
	_ = c.Conn.Close() // An error means that the connection has ended.
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Listener returns a listener whose connections are accounted for.
func (g *Group) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	group *Group
}

// Accept accepts a connection. If there is no room for it and no other gives way, it is closed, and the next one is accepted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, group: l.group}
		c.setPhase(decision.Idle)
		l.group.mu.Lock()
		l.group.conns[c] = struct{}{}
		l.group.mu.Unlock()
		c.add(decision.ConnectionBytes, 1)
		if l.group.enforce() {
			return c, nil
		}
		l.group.countRefused()
		_ = c.Close() // The caller sees that the connection ended.
	}
}
