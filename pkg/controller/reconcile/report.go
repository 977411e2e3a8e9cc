package reconcile

import (
	"context"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/decision/reconcile"
)

const (
	// reportInterval is the time between two reports of a node without a change. These are only a safeguard, since
	// changes are sent until they are confirmed, a new process of the receiver gets a full report, and the receiver
	// drops the reports of a node that is not live or does not own the engine. 278 nodes own engines of one model at
	// the two-year target, whose digests bring the reconciling node about 0.2 KB/s.
	reportInterval = 5 * time.Minute
	// reportMaxAge is how long a report is used without a new one, which may be late by 90 s.
	reportMaxAge = reportInterval + 90*time.Second
	// maxReportedEngines bounds the engines in one report; at the two-year target a node owns four.
	maxReportedEngines = 2000
)

// EngineReport is the state of one engine as its admission owner read it.
type EngineReport struct {
	Upstream string
	State    reconcile.State
	// NoOrders is set for an engine that has no order interface and so reports no state.
	NoOrders bool
}

// ReportArgs reports the engines that a node owns and the receiver reconciles. A report that is not Full has no States:
// it confirms the last full report, whose digest must equal Digest.
type ReportArgs struct {
	Node   string
	Digest uint64
	Full   bool
	States []EngineReport
}

// ReportReply answers ReportArgs.
type ReportReply struct {
	// Resend asks for a full report, since the receiver has none with this digest.
	Resend bool
}

// nodeReport is the last report of a node.
type nodeReport struct {
	digest uint64
	at     time.Time
	states map[string]EngineReport
}

// Receiver is the net/rpc receiver "Reconcile".
type Receiver struct{ c *Controller }

// Receiver returns the receiver to register as "Reconcile".
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// Report records the states of the engines that a node owns.
func (r *Receiver) Report(args *ReportArgs, reply *ReportReply) error {
	if len(args.States) > maxReportedEngines {
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
	c.reports[args.Node] = &nodeReport{args.Digest, now, states}
	if known == nil || known.digest != args.Digest {
		select {
		case c.reportChanged <- struct{}{}:
		default:
		}
	}
	return nil
}

// OrderedArgs reports that an engine was sent an order.
type OrderedArgs struct{ Upstream string }

// OrderedReply is empty.
type OrderedReply struct{}

// Ordered makes this node, as admission owner of the engine, read its state soon.
func (r *Receiver) Ordered(args *OrderedArgs, _ *OrderedReply) error {
	if r.c.PollNow != nil {
		r.c.PollNow(args.Upstream)
	}
	return nil
}

// notifyOwner notifies the admission owner of an engine in the background that an order was sent. If the call fails,
// the owner sees the effect at its next regular read.
func (c *Controller) notifyOwner(upstream string) {
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

// currentReports returns the reported states by engine, each from its present owner, and drops the reports of nodes that
// are not live or whose last report is too old.
func (c *Controller) currentReports() map[string]EngineReport {
	now := c.Now()
	live := c.Board.Members.Value().Live
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]EngineReport{}
	for node, r := range c.reports {
		if _, ok := live[node]; !ok || now.Sub(r.at) > reportMaxAge {
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

// mustRead reports whether this node must read the engine's state itself in this pass: an order is pending or about to
// be sent, the engine loads a model, or the last read failed.
func (c *Controller) mustRead(upstream string, e *engineStatus) bool {
	return e.err != nil || e.mustReread || e.pending != nil || c.leases.held[upstream] != nil ||
		e.state != nil && len(e.state.Loading) > 0
}

// setReported records a reported state. It counts as read now, since the owner reports each change.
func (c *Controller) setReported(u api.Upstream, e *engineStatus, r EngineReport) {
	c.setState(u, e, r.State, !r.NoOrders)
	e.reported = true
}
