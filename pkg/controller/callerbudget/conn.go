package callerbudget

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	decision "trefoilplank.example/pkg/decision/callerbudget"
)

const (
	// readAhead is how much more than a header section the server may have read when it takes the section for complete, and
	// headSlack what the configuration's limit leaves out, such as the request line.
	readAhead, headSlack = 4 << 10, 4 << 10
	// shortHead limits header sections at the servers for readiness, addresses and metrics, whose requests have no more than some
	// hundred bytes.
	shortHead = 8 << 10
	// largeWrite is the size from which the data of a write counts while the caller does not read it. Smaller ones are within
	// the buffers that each connection is charged for.
	largeWrite = 8 << 10
	// maxAhead is how many more requests than others a caller may send before it has got the answer to the one before. No
	// known client library sends requests ahead.
	maxAhead = 32
)

// headTooLong is the answer to a header section over the configuration's limit.
const headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// conn is an accounted connection.
type conn struct {
	net.Conn
	group *Group
	phase atomic.Int32
	// began and progressed are when the phase began and when the caller last sent or read something, as Budget.now counts.
	began, progressed  atomic.Int64
	bytes, descriptors atomic.Int64
	// arrived are the bytes that arrived in the phase.
	arrived atomic.Int64
	served  atomic.Bool
	// evicted is why the connection gave way. forgotten is set once it holds nothing in the account.
	evicted   atomic.Int32
	forgotten atomic.Bool
	// reads counts the reads since the last answer; early is set if a part of the next request arrived before anything was
	// written since the request in progress had arrived, which wrote says.
	reads        atomic.Int32
	early, wrote atomic.Bool
	// ahead is how many more requests were sent ahead than not.
	ahead int
	// headBytes and headLines are what has arrived of a header section.
	headBytes, headLines int
}

func (c *conn) currentPhase() decision.Phase { return decision.Phase(c.phase.Load()) }

func (c *conn) setPhase(p decision.Phase) {
	now := c.group.budget.now()
	c.began.Store(now)
	c.progressed.Store(now)
	c.arrived.Store(0)
	c.phase.Store(int32(p))
}

func (c *conn) holder(now int64) decision.Holder {
	return decision.Holder{
		Phase: c.currentPhase(), Usage: decision.Usage{Bytes: c.bytes.Load(), Descriptors: c.descriptors.Load()},
		Age: time.Duration(now - c.began.Load()), Stalled: time.Duration(now - c.progressed.Load()), Received: c.arrived.Load(),
		Served: c.served.Load(),
	}
}

// add changes what the connection holds.
func (c *conn) add(bytes, descriptors int64) {
	if c.forgotten.Load() {
		return
	}
	c.bytes.Add(bytes)
	c.group.bytes.Add(bytes)
	if descriptors != 0 {
		c.descriptors.Add(descriptors)
		c.group.descriptors.Add(descriptors)
	}
}

// reserve adds bytes and reports whether there is room for them after others gave way.
func (c *conn) reserve(bytes int64) bool {
	c.add(bytes, 0)
	return c.group.enforce() && c.evicted.Load() == noReason
}

// forget removes from the account what the connection holds.
func (c *conn) forget() {
	// It may be called again for what another goroutine added meanwhile.
	c.forgotten.Store(true)
	c.group.bytes.Add(-c.bytes.Swap(0))
	c.group.descriptors.Add(-c.descriptors.Swap(0))
}

// Close closes the connection.
func (c *conn) Close() error {
	c.group.mu.Lock()
	delete(c.group.conns, c)
	c.group.mu.Unlock()
	c.forget()
	return c.Conn.Close()
}

// CloseWrite lets the server end its answers before it closes the connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetReadDeadline sets the deadline, except for a connection that gave way: its reads have to end.
func (c *conn) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil || c.evicted.Load() == noReason {
		return err
	}
	return c.Conn.SetReadDeadline(past)
}

// Read reads what the caller sent.
func (c *conn) Read(p []byte) (int, error) {
	if c.evicted.Load() != noReason {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.forgotten.Load() && !c.received(p[:n]) {
		return 0, io.EOF
	}
	return n, err
}

// received accounts for data, and returns false if a header section is too long.
func (c *conn) received(data []byte) bool {
	c.reads.Add(1)
	switch c.currentPhase() {
	case decision.Idle:
		c.setPhase(decision.Head)
		c.headBytes, c.headLines = 0, 0
	case decision.Serving, decision.Answer, decision.Closing:
		// A caller that waits for its answer may have it before the server has noted that it is complete.
		if !c.wrote.Load() {
			c.early.Store(true)
		}
		return true
	case decision.Body:
		c.progressed.Store(c.group.budget.now())
		c.arrived.Add(int64(len(data)))
		return true
	default:
		c.progressed.Store(c.group.budget.now())
	}
	c.arrived.Add(int64(len(data)))
	before := decision.HeadBytes(c.headBytes, c.headLines)
	c.headBytes += len(data)
	c.headLines += bytes.Count(data, []byte{'\n'})
	if limit := c.group.headLimit(); limit > 0 && c.headBytes > limit {
		c.group.countHead()
		_, _ = io.WriteString(c.Conn, headTooLong) // The connection is closed anyway.
		return false
	}
	c.reserve(decision.HeadBytes(c.headBytes, c.headLines) - before)
	return true
}

// headLimit returns how many bytes of a header section may arrive, or 0 if only the server limits them.
func (g *Group) headLimit() int {
	if !g.serves {
		return shortHead
	}
	if g.budget.options.HeadBytes == nil {
		return 0
	}
	if limit := g.budget.options.HeadBytes(); limit > 0 {
		return limit + headSlack + readAhead
	}
	return 0
}

// Write writes to the caller. A caller that does not read blocks it.
func (c *conn) Write(p []byte) (int, error) {
	before := c.phase.Load()
	c.progressed.Store(c.group.budget.now())
	large := len(p) >= largeWrite
	if large {
		c.add(int64(len(p)), 0)
	}
	c.phase.Store(int32(decision.Answer))
	c.wrote.Store(true)
	if large {
		c.group.enforce()
	}
	n, err := c.Conn.Write(p)
	c.phase.CompareAndSwap(int32(decision.Answer), before)
	if large {
		c.add(-int64(len(p)), 0)
	}
	return n, err
}

// Identified removes a connection from the account, once its other side has proved that it is another node.
func (c *conn) Identified() {
	c.group.mu.Lock()
	delete(c.group.conns, c)
	c.group.mu.Unlock()
	c.forget()
}

// answered is called when the answer to a request is complete.
func (c *conn) answered() {
	c.served.Store(true)
	c.reads.Store(0)
	c.setPhase(decision.Idle)
	c.add(decision.ConnectionBytes-c.bytes.Load(), 0)
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Serve makes a server account for its connections and requests. Its listener must be one of Listener, or wrap the connections of
// one in types that have NetConn.
func (g *Group) Serve(s *http.Server) {
	next, connContext, connState := s.Handler, s.ConnContext, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.serve(next, w, r) })
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if connState != nil {
			connState(c, state)
		}
		if held := unwrap(c); held != nil && state == http.StateIdle {
			held.answered()
		}
	}
}

// unwrap returns the accounted connection below others, or nil.
func unwrap(c net.Conn) *conn {
	for {
		switch wrapped := c.(type) {
		case *conn:
			return wrapped
		case interface{ NetConn() net.Conn }:
			c = wrapped.NetConn()
		default:
			return nil
		}
	}
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

func (g *Group) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	if c.early.Swap(false) || c.reads.Load() == 0 {
		c.ahead++
	} else if c.ahead > 0 {
		c.ahead--
	}
	if c.ahead > maxAhead {
		g.countAhead()
		w.Header()["Connection"] = []string{"close"}
	}
	c.wrote.Store(false)
	if r.ContentLength == 0 {
		c.setPhase(decision.Serving)
	} else {
		c.setPhase(decision.Body)
		b := &body{ReadCloser: r.Body, conn: c}
		r.Body = b
		defer func() { g.served.Add(-b.admitted) }()
	}
	if g.serves {
		c.add(0, 1)
		defer c.add(0, -1)
		g.enforce()
	}
	next.ServeHTTP(w, r)
	if c.evicted.Load() != noReason {
		// The server would keep the connection for half a second, since it has not read the whole body.
		_ = http.NewResponseController(w).Flush() // An error means that the connection has ended.
		panic(http.ErrAbortHandler)
	}
}

// body is the body of a request. What was read of it counts until the request is answered.
type body struct {
	io.ReadCloser
	conn *conn
	// admitted are the bytes of the complete request, once it may be served. refused is set if it may not.
	admitted int64
	refused  bool
}

// admit reports whether the complete request may be served.
func (b *body) admit() bool {
	g, bytes := b.conn.group, b.conn.bytes.Load()
	switch {
	case b.refused:
		return false
	case b.admitted > 0:
	case decision.MayServe(bytes, g.served.Load(), g.limit):
		b.admitted = bytes
		g.served.Add(bytes)
	default:
		b.refused = true
		g.countReason("served_full")
		b.conn.add(min(0, decision.ConnectionBytes-bytes), 0)
		return false
	}
	return true
}

// Read reads from the body. Its error says if the connection gave way; the request must not run then.
func (b *body) Read(p []byte) (int, error) { return b.read(p, true) }

func (b *body) read(p []byte, counts bool) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if counts && n > 0 && b.conn.currentPhase() == decision.Body {
		b.conn.reserve(int64(n))
	}
	if err == io.EOF && counts && !b.admit() {
		return 0, ErrNoRoom
	}
	switch {
	case err == io.EOF && b.conn.phase.CompareAndSwap(int32(decision.Body), int32(decision.Serving)):
		b.conn.wrote.Store(false) // The server may have written that it expects the body.
		b.conn.setPhase(decision.Serving)
	case b.conn.currentPhase() != decision.Closing:
	case reason(b.conn.evicted.Load()) == reasonBody:
		return 0, ErrTooSlow
	default:
		return 0, ErrNoRoom
	}
	return n, err
}

// Reserve adds bytes to what is held for a request until it is answered, and reports whether there is room for them.
func Reserve(ctx context.Context, bytes int64) bool {
	c := connOf(ctx)
	return c == nil || c.reserve(bytes)
}

// Uncounted returns the body of a request without the account of what was read of it, for handlers that keep nothing of it.
func Uncounted(r io.ReadCloser) io.ReadCloser {
	if b, ok := r.(*body); ok {
		return &passedBody{b}
	}
	return r
}

// passedBody is a body that is passed on as it is read.
type passedBody struct{ *body }

// Read reads from the body.
func (b *passedBody) Read(p []byte) (int, error) { return b.read(p, false) }

// Discard reads and drops up to n bytes of a request body, which do not count.
func Discard(r io.ReadCloser, n int64) {
	_, _ = io.CopyN(io.Discard, Uncounted(r), n) // The body may be shorter.
}
