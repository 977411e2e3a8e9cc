// Package drain takes a node out of service without interrupting requests. At the start, address answers stop naming
// the node and it reports that it is not ready. It accepts connections until the last address answer with its address
// has expired, since callers use the address until then. After that it closes its listeners and waits for the requests
// in progress.
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
	// propagationTime is how long other nodes may still give out this node's address, until they learn of the drain by
	// their next membership exchange.
	propagationTime = 2 * time.Second
	// pollInterval is the time between two checks of the number of requests in progress.
	pollInterval = 20 * time.Millisecond
	// idleTime is how long the node must have no request in progress before it closes idle connections, so that a request
	// that is in flight on one of them is still read.
	idleTime = 250 * time.Millisecond
	// shutdownTimeout is how long, at the end of the drain, a connection may take to send its first request.
	shutdownTimeout = time.Second
)

// Options holds the dependencies and settings of a Controller.
type Options struct {
	Board *blackboard.Board
	// AddressesValidUntil returns when the last address answer that this node gave expires.
	AddressesValidUntil func() time.Time
	// AddressTTL is the lifetime of address answers, which is the same on all nodes.
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

// listener is a net.Listener whose socket can be closed without an error for the server, which would otherwise return
// while requests are in progress. Accept then blocks until Close.
type listener struct {
	net.Listener
	once   sync.Once
	closed chan struct{}
}

// closeSocket makes the listener refuse new connections.
func (l *listener) closeSocket() error { return l.Listener.Close() }

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

// Drain starts the drain unless it has started, and waits until the node is drained or ctx ends.
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

// Done returns a channel that is closed when the node is drained.
func (c *Controller) Done() <-chan struct{} { return c.done }

// run drains the node: it waits for address answers to expire, closes the listeners, waits for the requests in progress,
// and shuts down the servers.
func (c *Controller) run() {
	defer close(c.done)
	begun := time.Now()
	until := begun.Add(c.AddressTTL + propagationTime)
	if own := c.AddressesValidUntil(); own.After(until) {
		until = own
	}
	klog.InfoS("Draining", "refuseAt", until)
	time.Sleep(time.Until(until))
	c.mu.Lock()
	listeners, servers := c.listeners, c.servers
	c.mu.Unlock()
	for _, l := range listeners {
		if err := l.closeSocket(); err != nil {
			klog.ErrorS(err, "Closing a listener failed")
		}
	}
	klog.InfoS("Refusing new connections", "inProgress", c.Active())
	c.waitIdle(begun)
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() { c.shutdownServer(s, begun) })
	}
	group.Wait()
	klog.InfoS("Drained", "took", time.Since(begun))
}

// shutdownServer shuts a server down, which closes its idle connections and waits for the others. It closes the
// remaining connections when no request is in progress, since they have sent none, or at the timeout.
func (c *Controller) shutdownServer(s *http.Server, begun time.Time) {
	for {
		ctx, stop := context.WithTimeout(context.Background(), shutdownTimeout)
		err := s.Shutdown(ctx)
		stop()
		if err == nil {
			return
		}
		if c.Active() == 0 || c.timedOut(begun) {
			s.Close()
			return
		}
	}
}

// timedOut reports whether the drain takes longer than Timeout.
func (c *Controller) timedOut(begun time.Time) bool {
	return c.Timeout > 0 && time.Since(begun) > c.Timeout
}

// waitIdle returns when no request has been in progress for idleTime, or at the timeout.
func (c *Controller) waitIdle(begun time.Time) {
	idleSince := time.Now()
	for {
		now := time.Now()
		if c.Active() > 0 {
			idleSince = now
		}
		if now.Sub(idleSince) >= idleTime {
			return
		}
		if c.timedOut(begun) {
			klog.InfoS("Drain timed out with requests in progress", "inProgress", c.Active())
			return
		}
		time.Sleep(pollInterval)
	}
}
