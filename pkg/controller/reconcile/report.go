package reconcile

import (
	"context"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/decision/reconcile"
)

const (
	// reportInterval is the time between two reports of a node without a change. They only repair what no rule covers,
	// since changes are sent until they are confirmed, a new process of the receiver is told all, and the receiver
	// drops the reports of a node that is not live or does not own the engine. 278 nodes own engines of one model at
	// the two-year target, so that their digests take the reconciling node about 0.2 KB/s.
	reportInterval = 5 * time.Minute
	// reportLife is how long a report counts without a new one; one may be late.
	reportLife = reportInterval + 90*time.Second
	// maxReported bounds the engines in one report; at the two-year target a node owns four.
	maxReported = 2000
)

// EngineReport is the state of one engine as its admission owner read it.
type EngineReport struct {
	Upstream string
	State    reconcile.State
	// NoOrders is set for an engine without a state to read.
	NoOrders bool
}

// ReportArgs reports the engines that a node owns and the receiver reconciles. Without States the digest says that
// the last full report still holds.
type ReportArgs struct {
	Node   string
	Digest uint64
	Full   bool
	States []EngineReport
}

// ReportReply answers ReportArgs.
type ReportReply struct {
	// Resend asks for a full report, since the receiver does not have the one that the digest is of.
	Resend bool
}

// report is what a node reported last.
type report struct {
	digest uint64
	at     time.Time
	states map[string]EngineReport
}

// Receiver is the net/rpc receiver "Reconcile".
type Receiver struct{ c *Controller }

// Receiver returns the receiver to register as "Reconcile".
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// Report takes the states of the engines that a node owns.
func (r *Receiver) Report(args *ReportArgs, reply *ReportReply) error {
	if len(args.States) > maxReported {
		return Error.New("%d engines in one report", len(args.States))
	}
	c, now := r.c, r.c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.reports[args.Node]
	if !args.Full {
		reply.Resend = known == nil || known.digest != args.Digest
		if !reply.Resend {
			known.at = now
		}
		return nil
	}
	states := map[string]EngineReport{}
	for _, s := range args.States {
		states[s.Upstream] = s
	}
	c.reports[args.Node] = &report{args.Digest, now, states}
	if known == nil || known.digest != args.Digest {
		select {
		case c.news <- struct{}{}:
		default:
		}
	}
	return nil
}

// OrderedArgs says that an engine was sent an order.
type OrderedArgs struct{ Upstream string }

// OrderedReply is empty.
type OrderedReply struct{}

// Ordered has this node, as admission owner of the engine, read its state soon.
func (r *Receiver) Ordered(args *OrderedArgs, _ *OrderedReply) error {
	if r.c.Look != nil {
		r.c.Look(args.Upstream)
	}
	return nil
}

// tellOwner tells the admission owner of an engine that an order was sent, without waiting for it. When the call is
// lost the owner sees the effect at its next regular read.
func (c *Controller) tellOwner(upstream string) {
	owner := c.upstreamOwners.Of(&c.Board.Members, upstream)
	if owner == "" || owner == c.Node {
		_ = c.Receiver().Ordered(&OrderedArgs{upstream}, &OrderedReply{})
		return
	}
	if c.Peers == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_ = c.Peers.Call(ctx, owner, "Reconcile.Ordered", &OrderedArgs{upstream}, &OrderedReply{})
	}()
}

// currentReports returns the reported states of engines, each from the node that owns it now.
func (c *Controller) currentReports() map[string]EngineReport {
	now := c.Now()
	live := c.Board.Members.Value().Live
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]EngineReport{}
	for node, r := range c.reports {
		if _, ok := live[node]; !ok || now.Sub(r.at) > reportLife {
			delete(c.reports, node)
			continue
		}
		for name, s := range r.states {
			if c.upstreamOwners.Of(&c.Board.Members, name) == node {
				out[name] = s
			}
		}
	}
	return out
}

// mustRead reports whether the pass needs a state that this node reads itself: an order was or is about to be given,
// or the engine did not answer.
func (c *Controller) mustRead(upstream string, e *observed) bool {
	return e.err != nil || e.reread || e.pending != nil || c.leases.held[upstream] != nil ||
		e.state != nil && len(e.state.Loading) > 0
}

// adopt takes a reported state. The owner reports each change, so that the state counts as read now.
func (c *Controller) adopt(u api.Upstream, e *observed, r EngineReport) {
	c.take(u, e, r.State, !r.NoOrders)
	e.reported = true
}
