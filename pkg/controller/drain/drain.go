// Package drain takes a node out of service without interrupting requests. At the start, address answers stop naming
// the node and it reports that it is not ready. It accepts connections until the last address answer with its address
// has expired, since callers use the address until then. After that it closes its listeners and waits for the requests
// in progress. Requests that are not done when the time for the drain is over get an error response.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/blackboard"
	decision "trefoilplank.example/pkg/decision/drain"
)

// propagationTime is how long other nodes may still give out this node's address, until they learn of the drain by
// their next membership exchange.
const propagationTime = 2 * time.Second

// Options holds the dependencies and settings of a Controller.
type Options struct {
	Board *blackboard.Board
	// AddressesValidUntil returns when the last address answer that this node gave expires.
	AddressesValidUntil func() time.Time
	// AddressTTL is the lifetime of address answers, which is the same on all nodes.
	AddressTTL time.Duration
	// Servers are those for callers.
	Servers *Servers
	// Relayed returns the number of connections that are relayed for other nodes; nil if there are none.
	Relayed func() int64
	// Timeout bounds the drain; 0 means no bound.
	Timeout time.Duration
}

// Controller drains one node.
type Controller struct {
	Options
	once sync.Once
	done chan struct{}
	plan atomic.Pointer[decision.Plan]
}

// New returns a controller.
func New(o Options) *Controller { return &Controller{Options: o, done: make(chan struct{})} }

// Serve serves callers on l until the node is drained; then it returns nil.
func (c *Controller) Serve(s *http.Server, l net.Listener, serve func(net.Listener) error) error {
	if err := c.Servers.Serve(s, l, serve); err != nil {
		return err
	}
	<-c.done
	return nil
}

// Plan returns the schedule of the drain, or the zero plan while the node does not drain.
func (c *Controller) Plan() decision.Plan {
	if p := c.plan.Load(); p != nil {
		return *p
	}
	return decision.Plan{}
}

// Drain starts the drain unless it has started, and waits until the node is drained or ctx ends.
func (c *Controller) Drain(ctx context.Context) error {
	c.once.Do(func() {
		c.begin()
		go c.run()
	})
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Abort ends the service at once, also during a drain: requests in progress get an error response.
func (c *Controller) Abort() {
	_ = c.Servers.Refuse() // An error means that a listener is closed.
	c.Servers.Stop(time.Now(), nil)
	c.once.Do(func() { close(c.done) })
}

// begin makes the node name other nodes only, and plans the drain.
func (c *Controller) begin() {
	begun := time.Now()
	c.Board.Draining.Set(true)
	until := begun.Add(c.AddressTTL + propagationTime)
	if own := c.AddressesValidUntil(); own.After(until) {
		until = own
	}
	plan := decision.Plan{Begun: begun, LateCallers: until, Quiet: until}
	if c.Timeout > 0 {
		if plan.End = begun.Add(c.Timeout - StopTime); plan.End.Before(until) {
			plan.End = until
		}
	}
	c.plan.Store(&plan)
}

// Done returns a channel that is closed when the node is drained.
func (c *Controller) Done() <-chan struct{} { return c.done }

// run drains the node: it waits for address answers to expire, closes the listeners, waits for the requests in progress,
// and shuts down the servers.
func (c *Controller) run() {
	defer close(c.done)
	plan := c.Plan()
	klog.InfoS("Draining", "refuseAt", plan.Quiet, "endAt", plan.End)
	time.Sleep(time.Until(plan.Quiet))
	if err := c.Servers.Refuse(); err != nil {
		klog.ErrorS(err, "Closing a listener failed")
	}
	klog.InfoS("Refusing new connections", "inProgress", c.Servers.Gate.Active())
	ended := c.Servers.Stop(plan.End, c.Relayed)
	klog.InfoS("Drained", "took", time.Since(plan.Begun), "ended", ended)
}
