// Package quarantine isolates requests that crash upstreams over all nodes. The rendezvous owner of a fingerprint
// decides; its successor keeps crashes as well and decides when the owner gives no answer. When both are lost, the next
// nodes in rendezvous order decide. They ask the others first: a serving node remembers its runs and the crashes that
// it saw. When the members change, each node hands what it knows to the owners that are new.
package quarantine

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/quarantine"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// Timeouts bound the waits for other nodes. The crash bound holds while live nodes answer within them.
type Timeouts struct {
	// Call bounds a call to an owner. It is far above a usual round trip, because a check that skips the owner can let
	// a second crash through.
	Call time.Duration
	// Successor bounds the wait for a successor, which is usually one round trip away.
	Successor time.Duration
	// Recall bounds one round of questions to other nodes. A check waits for it, so two rounds fit into Call.
	Recall time.Duration
}

// DefaultTimeouts suit nodes that are a few milliseconds apart.
var DefaultTimeouts = Timeouts{Call: 250 * time.Millisecond, Successor: 20 * time.Millisecond, Recall: 90 * time.Millisecond}

const (
	// avoidFor is how long an owner that gave no answer is passed over.
	avoidFor = 2 * time.Second
	// busyWait is how long an owner holds a check while an equal request runs. It is well below Timeouts.Call.
	busyWait = 100 * time.Millisecond
	// pollInterval is the least time between two checks of a request that waits.
	pollInterval = 2 * time.Millisecond
	// candidates is the number of nodes in rendezvous order that are asked before the node decides alone.
	candidates = 6
	// holders is the number of nodes that keep a fingerprint, besides the serving nodes.
	holders = 2
	// busyRetry is the retry time of a request that waited in vain for an equal one.
	busyRetry = time.Second
	// maxRuns bounds the requests with a reservation that a node remembers.
	maxRuns = 20_000
	// maxOver bounds the ended reservations that a node remembers, for some seconds at the target.
	maxOver = 4096
	// ulidLength is the length of the part of a request id after "NODE-".
	ulidLength = 26
)

// CheckArgs asks whether a request may run.
type CheckArgs struct {
	Fingerprint, Request string
	// Inform is set when another holder has decided already.
	Inform bool
	// Moved is set when the asking node passed over an owner or saw the members change a moment ago.
	Moved bool
	// Known holds the crashes that the asking node saw; their reports may be on their way.
	Known []quarantine.Record
}

// CheckReply answers CheckArgs.
type CheckReply struct {
	Verdict quarantine.Verdict
	Left    time.Duration
	// Reserved is set when others with the fingerprint wait for this request.
	Reserved bool
}

// Options are the collaborators of a Controller.
type Options struct {
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	// Explain may be nil.
	Explain *explain.Log
	// Timeouts are DefaultTimeouts when unset.
	Timeouts Timeouts
}

// Controller is the serving.Quarantine of a node and the owner of a part of the fingerprints. A caller calls
// Finished once after each Check that allowed a run, with an empty upstream if no run took place.
type Controller struct {
	Options

	checks atomic.Int64

	mu    sync.Mutex
	table *quarantine.Table
	// runs holds the requests of this node that were cleared to run. It is bounded, since a user may leave out a
	// report.
	runs *lru.Cache[string, run]
	// avoid is the time until which an owner is passed over.
	avoid map[string]time.Time
	// waiting holds a channel by fingerprint that is closed when its state changes.
	waiting map[string]chan struct{}
	// blocked counts the requests of this node that wait for an equal one.
	blocked map[string]int
	// asking holds the checks of this node that await an answer.
	asking  map[string]*asking
	members history
	// recalled is when the others were last asked about a fingerprint.
	recalled *lru.Cache[string, time.Time]
	recalls  singleflight.Group
	// over holds reservations that ended, since word of one may arrive after its end.
	over *lru.Cache[string, struct{}]
}

// run is a request of this node in progress.
type run struct {
	// reservation names the run to the holders. Each check has another one, so that a late report of a run that did not
	// take place can't free the next run of the same request.
	reservation     string
	fingerprint     string
	trial, reserved bool
	began           time.Time
	// order is that of its check, exported the nodes that learned of the run by a question.
	order, exported []string
}

var _ serving.Quarantine = (*Controller)(nil)

// New returns a controller and registers the receiver "Quarantine".
func New(o Options, r peer.Registrar) (*Controller, error) {
	if o.Timeouts == (Timeouts{}) {
		o.Timeouts = DefaultTimeouts
	}
	runs, err := lru.New[string, run](maxRuns)
	if err != nil {
		return nil, err
	}
	recalled, err := lru.New[string, time.Time](maxRuns)
	if err != nil {
		return nil, err
	}
	over, err := lru.New[string, struct{}](maxOver)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		Options: o, over: over, table: quarantine.NewTable(quarantine.Capacity), runs: runs, recalled: recalled,
		avoid: map[string]time.Time{}, waiting: map[string]chan struct{}{}, blocked: map[string]int{},
		asking: map[string]*asking{},
	}
	return c, r.Register("Quarantine", &Receiver{c})
}

// Run frees the reservations of lost nodes and hands records to new owners until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		members, revision := c.Board.Members.Get()
		if revision > 0 {
			c.mu.Lock()
			before := c.members.update(c.Self, members.Live, time.Now())
			c.table.Release(func(request string) bool {
				_, live := members.Live[nodeOf(request)]
				return !live
			})
			c.wakeAll()
			c.mu.Unlock()
			c.handOver(ctx, before, names(members.Live))
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
	request = requestOf(request)
	if len(request) <= ulidLength {
		return ""
	}
	return request[:len(request)-ulidLength-1]
}

// requestOf returns the request of a reservation.
func requestOf(reservation string) string {
	request, _, _ := strings.Cut(reservation, "#")
	return request
}

// Receiver serves the calls of other nodes.
type Receiver struct{ c *Controller }

// Check decides whether a request may run. It waits a little while an equal request runs.
func (r *Receiver) Check(a *CheckArgs, reply *CheckReply) error {
	c := r.c
	timer := time.NewTimer(busyWait)
	defer timer.Stop()
	c.merge(a.Known)
	if !a.Inform {
		c.recall(a.Fingerprint, a.Moved)
	}
	for {
		changed := c.check(a, reply)
		if reply.Verdict != quarantine.Busy || a.Inform {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		}
	}
}

// check asks the table. The channel is closed when the state of a busy fingerprint changes.
func (c *Controller) check(a *CheckArgs, reply *CheckReply) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over.Contains(a.Request) {
		return nil
	}
	reply.Verdict, reply.Left = c.table.Check(a.Fingerprint, a.Request, time.Now())
	reply.Reserved = c.table.Holds(a.Fingerprint, a.Request)
	if reply.Verdict != quarantine.Busy || a.Inform {
		return nil
	}
	changed, ok := c.waiting[a.Fingerprint]
	if !ok {
		changed = make(chan struct{})
		c.waiting[a.Fingerprint] = changed
	}
	return changed
}

// wake lets the checks of a fingerprint look again. c.mu is held.
func (c *Controller) wake(fingerprint string) {
	if changed, ok := c.waiting[fingerprint]; ok {
		close(changed)
		delete(c.waiting, fingerprint)
	}
}

func (c *Controller) wakeAll() {
	for fingerprint := range c.waiting {
		c.wake(fingerprint)
	}
}

// Check implements serving.Quarantine. It waits while an equal request runs that has not yet proved harmless. When
// ctx ends before, it returns VerdictSuspect with a retry time, and the request must not run.
func (c *Controller) Check(ctx context.Context, fingerprint, requestID string) (serving.Verdict, time.Duration) {
	waited := false
	args := CheckArgs{Fingerprint: fingerprint, Request: c.reservation(requestID)}
	for {
		reply := c.ask(ctx, args)
		switch reply.Verdict {
		case quarantine.Refused:
			c.abandon(ctx, fingerprint, requestID)
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
			c.block(fingerprint, 1)
			defer c.block(fingerprint, -1)
		}
		select {
		case <-time.After(pollInterval/2 + rand.N(pollInterval)):
		case <-ctx.Done():
			c.abandon(ctx, fingerprint, requestID)
			return serving.VerdictSuspect, busyRetry
		}
	}
}

// reservation returns the name of a request's reservation: the one that it holds, since an item that waits for an
// upstream of its own is checked again, or else a new one.
func (c *Controller) reservation(requestID string) string {
	if own, ok := c.runs.Get(requestID); ok {
		return own.reservation
	}
	return fmt.Sprintf("%s#%d", requestID, c.checks.Add(1))
}

// block counts the requests of this node that wait for an equal one.
func (c *Controller) block(fingerprint string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked[fingerprint] += n; c.blocked[fingerprint] == 0 {
		delete(c.blocked, fingerprint)
	}
}

// ask asks the holders in turn; the own table decides when no other node answers. The successor learns of a
// reservation, so that it holds when the owner is lost during the run.
func (c *Controller) ask(ctx context.Context, args CheckArgs) CheckReply {
	began := time.Now()
	args.Known = c.known(args.Fingerprint)
	c.beginAsking(args)
	defer c.endAsking(args.Request)
	for range candidates {
		order, moved := c.order(args.Fingerprint, holders)
		args.Moved = moved
		var reply CheckReply
		if !c.call(ctx, order[0], "Check", &args, &reply) {
			if ctx.Err() != nil {
				break
			}
			continue
		}
		if reply.Verdict != quarantine.Clear && reply.Verdict != quarantine.Trial {
			return reply
		}
		recalling := c.cleared(requestOf(args.Request), args, run{args.Request, args.Fingerprint, reply.Verdict == quarantine.Trial, reply.Reserved, began, order, nil})
		if reply.Reserved {
			reply = c.inform(ctx, order, args, reply)
		}
		return c.confirm(ctx, recalling, args, reply)
	}
	return CheckReply{Verdict: quarantine.Busy}
}

// inform tells the successor of a reservation: a run that begins before the successor knows could be followed by a
// second one if the owner is lost in between. It waits up to Timeouts.Successor, or for the answer if the run is a trial,
// and returns the successor's verdict when that has another run of the fingerprint. Nodes disagree on the owner for a
// moment when it is slow.
func (c *Controller) inform(ctx context.Context, order []string, args CheckArgs, granted CheckReply) CheckReply {
	args.Inform = true
	told := make(chan CheckReply, 1)
	go func() { told <- c.askSuccessor(context.WithoutCancel(ctx), order, &args) }()
	wait := c.Timeouts.Successor
	if granted.Verdict == quarantine.Trial {
		wait = holders * c.Timeouts.Call
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case other := <-told:
		if other.Verdict == quarantine.Busy || other.Verdict == quarantine.Refused {
			return other
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	return granted
}

// order returns the first n nodes that may decide on the fingerprint, the owner first, without those that gave no
// answer a moment ago; the own node is the last resort. moved is set when these may not be the nodes of a moment ago.
func (c *Controller) order(fingerprint string, n int) (order []string, moved bool) {
	live := c.live()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	silent := func(n string) bool { return now.Before(c.avoid[n]) }
	order = rendezvous.Top(fingerprint, live, n)
	if slices.ContainsFunc(order, silent) {
		moved = true
		order = slices.DeleteFunc(rendezvous.Top(fingerprint, live, candidates), silent)
		order = order[:min(len(order), n)]
	}
	if len(order) == 0 {
		order = append(order, c.Self)
	}
	return order, moved || now.Sub(c.members.changed) < settle
}

// live returns the names of the live members. While Run is active they are those of the history, so that a node
// never uses a change that it does not count as recent.
func (c *Controller) live() []string {
	c.mu.Lock()
	known := c.members.live
	c.mu.Unlock()
	if len(known) > 0 {
		return known
	}
	if list := names(c.Board.Members.Value().Live); len(list) > 0 {
		return list
	}
	return []string{c.Self}
}

func names(live map[string]blackboard.Member) []string {
	return slices.AppendSeq(make([]string, 0, len(live)), maps.Keys(live))
}

func (c *Controller) call(ctx context.Context, node, method string, args, reply any) bool {
	if node == c.Self {
		c.local(args, reply)
		return true
	}
	callCtx, stop := context.WithTimeout(ctx, c.Timeouts.Call)
	defer stop()
	err := c.Peers.Call(callCtx, node, "Quarantine."+method, args, reply)
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		// The caller has gone; the node may well answer others.
		return false
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

func (c *Controller) record(request, upstream, decision, reason string, values map[string]any) {
	if c.Explain != nil {
		c.Explain.Record(explain.Entry{Request: request, Upstream: upstream, Decision: decision, Reason: reason, Values: values})
	}
}
