// Package quarantine isolates requests that crash upstreams over all nodes. The rendezvous owner of a fingerprint
// decides; its successor keeps crashes as well and decides when the owner gives no answer.
package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/quarantine"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

const (
	// callTimeout bounds a call to an owner. It is far above a usual round trip, because a check that skips
	// the owner can let a second crash through.
	callTimeout = 250 * time.Millisecond
	// successorWait bounds the wait for a successor, which is usually one round trip away.
	successorWait = 20 * time.Millisecond
	// avoidFor is how long an owner that gave no answer is passed over.
	avoidFor = 2 * time.Second
	// pollInterval is the time between checks while an equal request runs.
	pollInterval = 15 * time.Millisecond
	// busyRetry is the retry time of a request that waited in vain for an equal one.
	busyRetry = time.Second
	// maxRuns bounds the requests with a reservation that a node remembers.
	maxRuns = 20_000
	// ulidLength is the length of the part of a request id after "NODE-".
	ulidLength = 26
)

// CheckArgs asks whether a request may run.
type CheckArgs struct{ Fingerprint, Request string }

// CheckReply answers CheckArgs.
type CheckReply struct {
	Verdict quarantine.Verdict
	Left    time.Duration
	// Reserved is set when others with the fingerprint wait for this request.
	Reserved bool
}

// ReportArgs reports the end of a run.
type ReportArgs struct {
	Fingerprint, Request string
	Trial                bool
	Ending               quarantine.Ending
}

// Options are the collaborators of a Controller.
type Options struct {
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	// Explain may be nil.
	Explain *explain.Log
}

// Controller is the serving.Quarantine of a node and the owner of a part of the fingerprints. A caller calls
// Finished once after each Check that allowed a run, with an empty upstream if no run took place.
type Controller struct {
	Options

	mu    sync.Mutex
	table *quarantine.Table
	// runs holds the requests of this node that have a reservation, with true for a trial. It is bounded, since
	// a user may leave out a report.
	runs *lru.Cache[string, bool]
	// avoid is the time until which an owner is passed over.
	avoid map[string]time.Time
}

var _ serving.Quarantine = (*Controller)(nil)

// New returns a controller and registers the receiver "Quarantine".
func New(o Options, r peer.Registrar) (*Controller, error) {
	runs, err := lru.New[string, bool](maxRuns)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		Options: o, table: quarantine.NewTable(quarantine.Capacity), runs: runs, avoid: map[string]time.Time{},
	}
	return c, r.Register("Quarantine", &Receiver{c})
}

// Run frees the reservations of lost nodes until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		members, revision := c.Board.Members.Get()
		if revision > 0 {
			c.mu.Lock()
			c.table.Release(func(request string) bool {
				_, live := members.Live[nodeOf(request)]
				return !live
			})
			c.mu.Unlock()
		}
		select {
		case <-c.Board.Members.Changed(revision):
		case <-ctx.Done():
			return nil
		}
	}
}

// nodeOf returns the node part of a request id.
func nodeOf(request string) string {
	if len(request) <= ulidLength {
		return ""
	}
	return request[:len(request)-ulidLength-1]
}

// Receiver serves the calls of other nodes.
type Receiver struct{ c *Controller }

// Check decides whether a request may run.
func (r *Receiver) Check(a *CheckArgs, reply *CheckReply) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	reply.Verdict, reply.Left = r.c.table.Check(a.Fingerprint, a.Request, time.Now())
	reply.Reserved = r.c.table.Holds(a.Fingerprint, a.Request)
	return nil
}

// Report records the end of a run.
func (r *Receiver) Report(a *ReportArgs, _ *struct{}) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.c.table.End(a.Fingerprint, a.Request, a.Trial, a.Ending, time.Now())
	return nil
}

// Check implements serving.Quarantine. It waits while an equal request runs that has not yet proved harmless. When
// ctx ends before, it returns VerdictSuspect with a retry time, and the request must not run.
func (c *Controller) Check(ctx context.Context, fingerprint, requestID string) (serving.Verdict, time.Duration) {
	waited := false
	for {
		reply := c.ask(ctx, CheckArgs{fingerprint, requestID})
		switch reply.Verdict {
		case quarantine.Refused:
			c.record(requestID, "", "quarantine-refuse", "the request crashed upstreams before", map[string]any{"left": reply.Left.String()})
			return serving.VerdictQuarantined, reply.Left
		case quarantine.Trial:
			c.record(requestID, "", "quarantine-trial", "an upstream died under it; it runs alone", nil)
			return serving.VerdictSuspect, 0
		case quarantine.Clear:
			return serving.VerdictClear, 0
		}
		if !waited {
			waited = true
			c.record(requestID, "", "quarantine-wait", "an equal request runs that has not proved harmless", nil)
		}
		select {
		case <-time.After(pollInterval/2 + rand.N(pollInterval)):
		case <-ctx.Done():
			return serving.VerdictSuspect, busyRetry
		}
	}
}

// ask asks the owners in turn. Without an answer the request runs: the loss of two owners at once must not stop
// serving. The successor learns of a reservation, so that it holds when the owner is lost during the run.
func (c *Controller) ask(ctx context.Context, args CheckArgs) CheckReply {
	owners := c.owners(args.Fingerprint)
	for i, node := range owners {
		var reply CheckReply
		if !c.call(ctx, node, "Check", &args, &reply) {
			continue
		}
		if reply.Reserved {
			c.runs.Add(args.Request, reply.Verdict == quarantine.Trial)
			c.inform(ctx, owners[i+1:], args)
		}
		return reply
	}
	return CheckReply{Verdict: quarantine.Clear}
}

// inform tells the successors of a reservation and waits for them up to successorWait: a run that begins before the
// successor knows could be followed by a second one if the owner is lost in between.
func (c *Controller) inform(ctx context.Context, successors []string, args CheckArgs) {
	told := make(chan struct{})
	go func() {
		defer close(told)
		for _, node := range successors {
			c.call(context.WithoutCancel(ctx), node, "Check", &args, &CheckReply{})
		}
	}()
	timer := time.NewTimer(successorWait)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// owners returns the owner and its successor, without those that gave no answer a moment ago.
func (c *Controller) owners(fingerprint string) []string {
	live := c.Board.Members.Value().Live
	names := make([]string, 0, len(live))
	for name := range live {
		names = append(names, name)
	}
	if len(names) == 0 {
		names = []string{c.Self}
	}
	owners := rendezvous.Top(fingerprint, names, 2)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(owners, func(n string) bool { return now.Before(c.avoid[n]) })
}

func (c *Controller) call(ctx context.Context, node, method string, args, reply any) bool {
	if node == c.Self {
		c.local(args, reply)
		return true
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	err := c.Peers.Call(ctx, node, "Quarantine."+method, args, reply)
	if err == nil {
		return true
	}
	klog.V(1).InfoS("Quarantine owner gave no answer", "node", node, "method", method, "err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[node] = time.Now().Add(avoidFor)
	return false
}

// local serves a call of the own node. The receiver's methods have no errors.
func (c *Controller) local(args, reply any) {
	r := &Receiver{c}
	switch a := args.(type) {
	case *CheckArgs:
		_ = r.Check(a, reply.(*CheckReply))
	case *ReportArgs:
		_ = r.Report(a, nil)
	}
}

// Finished implements serving.Quarantine. The report of a crash is delivered before it returns, so that the next
// check sees it. Other reports are sent in the background, and only for a run with a reservation.
func (c *Controller) Finished(ctx context.Context, fingerprint, requestID, upstream string, died bool) {
	args := ReportArgs{Fingerprint: fingerprint, Request: requestID, Ending: quarantine.Survived}
	if upstream == "" {
		args.Ending = quarantine.NotRun
	}
	trial, reserved := c.runs.Get(requestID)
	c.runs.Remove(requestID)
	args.Trial = trial
	if !reserved && !died {
		return
	}
	owners := c.owners(fingerprint)
	if died {
		args.Ending = quarantine.Crashed
		c.record(requestID, upstream, "crash-report", "the upstream died under the request", map[string]any{"trial": args.Trial})
		klog.InfoS("Upstream died under request", "request", requestID, "upstream", upstream, "trial", args.Trial)
	}
	ctx = context.WithoutCancel(ctx)
	var group sync.WaitGroup
	for _, node := range owners {
		if node == c.Self {
			c.local(&args, nil)
			continue
		}
		group.Go(func() { c.call(ctx, node, "Report", &args, &struct{}{}) })
	}
	if died {
		group.Wait()
	}
}

func (c *Controller) record(request, upstream, decision, reason string, values map[string]any) {
	if c.Explain != nil {
		c.Explain.Record(explain.Entry{Request: request, Upstream: upstream, Decision: decision, Reason: reason, Values: values})
	}
}
