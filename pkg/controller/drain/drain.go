// Package drain takes a node out of service without an interruption. The node leaves address answers and
// readiness at once. It goes on accepting connections until the longest address answer given has run out, since
// callers use those addresses until then. After that it closes its listener and waits for the requests in progress.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/blackboard"
)

const (
	// spreadTime is how long other nodes may go on giving out this node's address, because they learn of the
	// drain by their next membership exchange.
	spreadTime = 2 * time.Second
	// pollInterval is the time between looks at the requests in progress.
	pollInterval = 20 * time.Millisecond
	// quietTime is how long a kept connection without a request stays open at the end, so that a request
	// that is on its way to it is still read.
	quietTime = 250 * time.Millisecond
	// shutdownWait is how long a connection may take to send its first request at the end.
	shutdownWait = time.Second
)

// Options are the collaborators of a Controller.
type Options struct {
	Board *blackboard.Board
	// AnswersUntil returns when the last address answer of this node runs out.
	AnswersUntil func() time.Time
	// AddressTTL is the lifetime of the answers of all nodes.
	AddressTTL time.Duration
	// Active returns the number of requests in progress.
	Active func() int64
	// Timeout bounds the wait for requests in progress; 0 means no bound.
	Timeout time.Duration
}

// Controller drains one node.
type Controller struct {
	Options
	once sync.Once
	done chan struct{}

	mu        sync.Mutex
	listeners []*listener
	servers   []*http.Server
}

// New returns a controller.
func New(o Options) *Controller { return &Controller{Options: o, done: make(chan struct{})} }

// Serve serves callers on l until the node is drained; then it returns nil.
func (c *Controller) Serve(s *http.Server, l net.Listener, serve func(net.Listener) error) error {
	wrapped := &listener{Listener: l, closed: make(chan struct{})}
	c.mu.Lock()
	c.listeners = append(c.listeners, wrapped)
	c.servers = append(c.servers, s)
	c.mu.Unlock()
	if err := serve(wrapped); err != nil && err != http.ErrServerClosed {
		return err
	}
	<-c.done
	return nil
}

// listener refuses new connections after refuse without an error for the server, which would otherwise return
// while requests are in progress.
type listener struct {
	net.Listener
	once   sync.Once
	closed chan struct{}
}

func (l *listener) refuse() error { return l.Listener.Close() }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	<-l.closed
	return nil, http.ErrServerClosed
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Drain begins the drain if it has not begun, and waits until the node is drained or ctx ends.
func (c *Controller) Drain(ctx context.Context) error {
	c.once.Do(func() {
		c.Board.Draining.Set(true)
		go c.run()
	})
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done is closed when the node is drained.
func (c *Controller) Done() <-chan struct{} { return c.done }

func (c *Controller) run() {
	defer close(c.done)
	begun := time.Now()
	until := begun.Add(c.AddressTTL + spreadTime)
	if own := c.AnswersUntil(); own.After(until) {
		until = own
	}
	klog.InfoS("Draining", "refuseAt", until)
	time.Sleep(time.Until(until))
	c.mu.Lock()
	listeners, servers := c.listeners, c.servers
	c.mu.Unlock()
	for _, l := range listeners {
		if err := l.refuse(); err != nil {
			klog.ErrorS(err, "Closing a listener failed")
		}
	}
	klog.InfoS("Refusing new connections", "inProgress", c.Active())
	c.waitIdle(begun)
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() { c.shutdown(s, begun) })
	}
	group.Wait()
	klog.InfoS("Drained", "took", time.Since(begun))
}

// shutdown closes the idle connections and waits for the others. A connection that is left when no request is in
// progress has sent none.
func (c *Controller) shutdown(s *http.Server, begun time.Time) {
	for {
		ctx, stop := context.WithTimeout(context.Background(), shutdownWait)
		err := s.Shutdown(ctx)
		stop()
		if err == nil {
			return
		}
		if c.Active() == 0 || c.expired(begun) {
			s.Close()
			return
		}
	}
}

func (c *Controller) expired(begun time.Time) bool {
	return c.Timeout > 0 && time.Since(begun) > c.Timeout
}

// waitIdle returns when no request was in progress for quietTime, or at the timeout.
func (c *Controller) waitIdle(begun time.Time) {
	quietSince := time.Now()
	for {
		now := time.Now()
		if c.Active() > 0 {
			quietSince = now
		}
		if now.Sub(quietSince) >= quietTime {
			return
		}
		if c.expired(begun) {
			klog.InfoS("Drain timeout", "inProgress", c.Active())
			return
		}
		time.Sleep(pollInterval)
	}
}
