// Package customerlimits keeps the rate limits of customers over all nodes. It decides on the requests of this node, and on the
// reports of all nodes when this node is the hub; the decisions are made by package customerlimit.
package customerlimits

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"trefoilplank.example/pkg/decision/customerlimit"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventlog"
)

// Options configures a Controller.
type Options struct {
	// Table returns the configuration in force, nil if there is none.
	Table func() *routing.Table
	// Nodes returns the number of registered nodes.
	Nodes func() int
	// ExchangeNow exchanges reports with the hub at once and reports whether the hub answered. All callers that wait share
	// an exchange.
	ExchangeNow func(context.Context) bool
	// Window is the sliding window over which limits are judged.
	Window  time.Duration
	Log     *eventlog.Log
	Metrics *Metrics
}

// Controller keeps the limits of customers.
type Controller struct {
	options Options
	mu      sync.Mutex
	node    *customerlimit.Node
	// hubMu guards hub, so that the requests of a node do not wait for the reports of others.
	hubMu sync.Mutex
	hub   *customerlimit.Hub
	// divided is set while the hub divides the limits; known once that has been logged.
	divided, known bool
}

// New returns a controller.
func New(o Options) *Controller {
	c := &Controller{options: o, node: customerlimit.NewNode(o.Window, rand.Float64)}
	c.hub = customerlimit.NewHub(o.Window, c.limit)
	return c
}

// limit returns the limit of a customer in force, none if the customer is unknown.
func (c *Controller) limit(name string) customerlimit.Limit {
	if t := c.options.Table(); t != nil {
		if customer := t.Customer(name); customer != nil {
			return limitOf(customer)
		}
	}
	return customerlimit.Limit{}
}

func limitOf(c *routing.Customer) customerlimit.Limit {
	return customerlimit.Limit{Rate: c.Rate, Burst: max(0, c.Burst)}
}

// active reports whether the configuration has customers.
func (c *Controller) active() bool {
	t := c.options.Table()
	return t != nil && t.HasCustomers()
}

// Take counts a request against the limit of its customer. If the limit is reached, it returns false and the time after which
// a request may pass.
func (c *Controller) Take(ctx context.Context, customer *routing.Customer) (retryAfter time.Duration, ok bool) {
	if customer.Rate <= 0 {
		return 0, true
	}
	l, nodes := limitOf(customer), c.options.Nodes()
	c.mu.Lock()
	verdict, retryAfter := c.node.Take(time.Now(), customer.Name, l, nodes)
	if verdict == customerlimit.Ask {
		c.node.Wait(time.Now(), customer.Name)
	}
	c.mu.Unlock()
	if verdict != customerlimit.Ask {
		c.options.Metrics.countDecision(verdict, false)
		return retryAfter, verdict == customerlimit.Pass
	}
	answered := c.options.ExchangeNow(ctx)
	c.mu.Lock()
	verdict, retryAfter = c.node.TakeAsked(time.Now(), customer.Name, l, nodes, answered)
	c.mu.Unlock()
	c.options.Metrics.countDecision(verdict, true)
	return retryAfter, verdict == customerlimit.Pass
}

// Return takes back a request that ended without having run.
func (c *Controller) Return(customer *routing.Customer) {
	if customer.Rate <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.Return(time.Now(), customer.Name)
}

// Report returns this node's report for a hub, nil if the configuration has no customers.
func (c *Controller) Report(hub string) (*customerlimit.Report, customerlimit.Sent) {
	if !c.active() {
		return nil, customerlimit.Sent{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Report(time.Now(), hub)
}

// Answered applies the hub's answer to a report.
func (c *Controller) Answered(sent customerlimit.Sent, a *customerlimit.Answer) {
	if !sent.Holds() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.Answered(time.Now(), sent, a)
	if divided := a != nil; !c.known || divided != c.divided {
		c.known, c.divided = true, divided
		if !divided {
			c.options.Log.Notice("load hub does not divide the limits of customers, using this node's equal share", "hub", sent.Hub())
		}
	}
}

// HandleReport answers the report of a process of a node when this node is the hub; r is nil in reports of builds without
// limits.
func (c *Controller) HandleReport(node string, incarnation int64, r *customerlimit.Report) *customerlimit.Answer {
	if !c.active() {
		return nil
	}
	c.hubMu.Lock()
	defer c.hubMu.Unlock()
	return c.hub.Answer(time.Now(), node, incarnation, c.options.Nodes(), r)
}
