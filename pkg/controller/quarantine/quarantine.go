// Package quarantine isolates, over all nodes, requests that crash upstreams. The rendezvous owner of a request's
// fingerprint decides whether the request may run. Its successor stores crashes as well and decides when the owner does
// not answer. When both are lost, the next nodes in rendezvous order decide; they first ask the other nodes, since each
// serving node remembers its own runs and the crashes that it saw. When the members change, each node sends its records
// to the new owners.
package quarantine

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/failedruns"
	failed "trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/quarantine"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// Timeouts bound the waits for other nodes. The bound on the crashes that one request causes holds only while live nodes
// answer within them.
type Timeouts struct {
	// Call bounds a call to an owner. It is far above a usual round trip, because a check that skips the owner can let
	// a second crash through.
	Call time.Duration
	// Successor bounds the wait for a successor, which is usually one round trip away.
	Successor time.Duration
	// Recall bounds one round of Recall calls to other nodes. A check may wait for two rounds, which fit into Call.
	Recall time.Duration
}

// DefaultTimeouts suit nodes that are a few milliseconds apart.
var DefaultTimeouts = Timeouts{Call: 250 * time.Millisecond, Successor: 20 * time.Millisecond, Recall: 90 * time.Millisecond}

const (
	// avoidFor is how long a node that did not answer is passed over.
	avoidFor = 2 * time.Second
	// busyWait is how long an owner keeps a Check call open while an equal request runs. It is well below Timeouts.Call.
	busyWait = 100 * time.Millisecond
	// recheckInterval is the least time between two checks of a request that waits.
	recheckInterval = 2 * time.Millisecond
	// candidateCount is the number of nodes in rendezvous order that are asked before the node decides alone.
	candidateCount = 6
	// holderCount is the number of nodes that store a fingerprint, besides the serving nodes: the owner and its successor.
	holderCount = 2
	// busyRetry is the retry time of a request whose context ended while it waited for an equal one.
	busyRetry = time.Second
	// maxRuns bounds the requests with a reservation that a node remembers.
	maxRuns = 20_000
	// maxEnded bounds the ended reservations that a node remembers; at the target load they cover some seconds.
	maxEnded = 4096
	// requestULIDLength is the length of the part of a request id after "NODE-".
	requestULIDLength = 26
)

// CheckArgs asks whether a request may run.
type CheckArgs struct {
	Fingerprint, Request string
	// Inform is set when another holder has already decided. The callee then answers at once, without waiting for equal
	// requests or asking other nodes.
	Inform bool
	// Moved is set when the asking node passed over an owner or saw the members change within recentChange.
	Moved bool
	// Known holds the crashes that the asking node saw, since their reports may not have arrived yet.
	Known []quarantine.Record
}

// CheckReply answers CheckArgs.
type CheckReply struct {
	Verdict quarantine.Verdict
	// Left is how long the verdict stays the same if it is Refused or Held.
	Left time.Duration
	// Reserved is set when the request holds the reservation of the fingerprint, for which equal requests wait.
	Reserved bool
}

// Options configures a Controller.
type Options struct {
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	// Store keeps quarantines for nodes that start when no other node knows of them; nil if they are not stored.
	Store store.Store
	// Explain records decisions; if it is nil, none are recorded.
	Explain *explain.Log
	// Timeouts defaults to DefaultTimeouts.
	Timeouts Timeouts
}

// Controller implements serving.Quarantine for a node and is the owner of a part of the fingerprints. The caller must
// call ReportRun once after each Check that allowed a run, with an empty upstream if no run took place.
type Controller struct {
	Options

	// reservationCount numbers the reservations of this node.
	reservationCount atomic.Int64

	// failedRuns decides who is to blame for a crash. It holds the crashes of all nodes.
	failedRuns *failedruns.Controller

	mu    sync.Mutex
	table *quarantine.Table
	// runs holds the requests of this node that were allowed to run, by request id. It is bounded, since a caller may
	// fail to call ReportRun.
	runs *lru.Cache[string, run]
	// avoidUntil is the time until which a node that did not answer is passed over.
	avoidUntil map[string]time.Time
	// stateChanged holds for each busy fingerprint a channel that is closed when its state changes.
	stateChanged map[string]chan struct{}
	// blocked counts by fingerprint the requests of this node that wait for an equal one.
	blocked map[string]int
	// pendingChecks holds by reservation the checks of this node that have no answer yet.
	pendingChecks map[string]*pendingCheck
	members       memberHistory
	// recalledAt is when other nodes were last asked about a fingerprint.
	recalledAt *lru.Cache[string, time.Time]
	// reviewedAt is when the reservation of a fingerprint was last reviewed.
	reviewedAt *lru.Cache[string, time.Time]
	recalls    singleflight.Group
	// ended holds reservations that have ended, since a Check call or a record of one may arrive after its end.
	ended *lru.Cache[string, struct{}]
	// storedRead is closed once this node has read the stored quarantines, or has failed to at the first attempt.
	storedRead chan struct{}
}

// run is a request of this node that was allowed to run and has not ended.
type run struct {
	// reservation identifies the run at the holders. It differs for each check, so that a late report of a run that did
	// not take place can't free the next run of the same request.
	reservation     string
	fingerprint     string
	trial, reserved bool
	began           time.Time
	// order holds the holders at the time of the check, and exported the other nodes that learned of the run, or may have:
	// by a Recall call, or by a Check call as a substitute or without an answer.
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
	reviewed, err := lru.New[string, time.Time](maxRuns)
	if err != nil {
		return nil, err
	}
	ended, err := lru.New[string, struct{}](maxEnded)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		Options: o, ended: ended, table: quarantine.NewTable(quarantine.Capacity), runs: runs, recalledAt: recalled, reviewedAt: reviewed,
		avoidUntil: map[string]time.Time{}, stateChanged: map[string]chan struct{}{}, blocked: map[string]int{},
		pendingChecks: map[string]*pendingCheck{}, storedRead: make(chan struct{}),
	}
	if o.Store == nil {
		close(c.storedRead)
	}
	c.failedRuns = failedruns.New(failedruns.Options{
		Node: o.Self, Incarnation: time.Now().UnixNano(), Store: o.Store, Peers: o.Peers, Others: c.otherMembers,
		Owner:  func(work string) string { return rendezvous.Top(work, c.liveMembers(), 1)[0] },
		Prefix: partPrefix, ReadStored: o.Store != nil, Log: &eventlog.Log{},
	})
	if err := r.Register("FailedRuns", c.failedRuns.Receiver()); err != nil {
		return nil, err
	}
	return c, r.Register("Quarantine", &Receiver{c})
}

// partPrefix is the key prefix of the quarantines of parts of prompts in the store.
const partPrefix = "quarantined-parts/"

// Run reads the stored quarantines, frees the reservations of lost nodes and sends records to new owners until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var reading sync.WaitGroup
	defer reading.Wait()
	reading.Go(func() { _ = c.failedRuns.Run(ctx) }) // It only returns the error of ctx.
	if c.Store != nil {
		reading.Go(func() { c.readStored(ctx) })
	}
	for {
		members, revision := c.Board.Members.Get()
		if revision > 0 {
			c.mu.Lock()
			before := c.members.update(c.Self, members.Live, time.Now())
			c.table.ReleaseLost(func(request string) bool {
				_, live := members.Live[nodeOf(request)]
				return !live
			})
			c.wakeAllChecks()
			c.mu.Unlock()
			c.handOver(ctx, before, memberNames(members.Live))
		}
		select {
		case <-c.Board.Members.Changed(revision):
		case <-ctx.Done():
			return nil
		}
	}
}

// nodeOf returns the node part of a request id or reservation, or "" if there is none.
func nodeOf(request string) string {
	request = requestOf(request)
	if len(request) <= requestULIDLength {
		return ""
	}
	return request[:len(request)-requestULIDLength-1]
}

// requestOf returns the request id of a reservation.
func requestOf(reservation string) string {
	request, _, _ := strings.Cut(reservation, "#")
	return request
}

// isReservation reports whether a name is that of a reservation and not of a request.
func isReservation(name string) bool { return requestOf(name) != name }

// Receiver is the net/rpc receiver "Quarantine".
type Receiver struct{ c *Controller }

// Check decides, as a holder of the fingerprint, whether a request may run. While an equal request runs, it waits up to
// busyWait.
func (r *Receiver) Check(a *CheckArgs, reply *CheckReply) error {
	c := r.c
	timer := time.NewTimer(busyWait)
	defer timer.Stop()
	c.mergeRecords(a.Known)
	if !a.Inform {
		c.awaitStored()
		c.recall(a.Fingerprint, a.Moved)
	}
	for {
		changed := c.checkTable(a, reply)
		if reply.Verdict != quarantine.Busy || a.Inform {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			go c.reviewReservation(a.Fingerprint)
			return nil
		}
	}
}

// checkTable decides on a request by the table. If the verdict is Busy, the returned channel is closed when the state of
// the fingerprint changes.
func (c *Controller) checkTable(a *CheckArgs, reply *CheckReply) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended.Contains(a.Request) {
		return nil
	}
	reply.Verdict, reply.Left = c.table.Check(a.Fingerprint, a.Request, time.Now())
	reply.Reserved = c.table.HoldsReservation(a.Fingerprint, a.Request)
	if reply.Verdict != quarantine.Busy || a.Inform {
		return nil
	}
	changed, ok := c.stateChanged[a.Fingerprint]
	if !ok {
		changed = make(chan struct{})
		c.stateChanged[a.Fingerprint] = changed
	}
	return changed
}

// wakeChecks makes the waiting checks of a fingerprint decide again; c.mu is held.
func (c *Controller) wakeChecks(fingerprint string) {
	if changed, ok := c.stateChanged[fingerprint]; ok {
		close(changed)
		delete(c.stateChanged, fingerprint)
	}
}

func (c *Controller) wakeAllChecks() {
	for fingerprint := range c.stateChanged {
		c.wakeChecks(fingerprint)
	}
}

// Check implements serving.Quarantine. It waits while an equal request is running that has not yet proved harmless, and
// after crashes until the request may run. If ctx ends during the wait, or would, it returns VerdictSuspect with a retry
// time, and the request must not run.
func (c *Controller) Check(ctx context.Context, works failed.Works, requestID string) (serving.Verdict, time.Duration) {
	fingerprint, blocked := works.Request, false
	parts := failed.Works{Parts: works.Parts}
	trial := false
	if left := c.failedRuns.QuarantinedFor(func() failed.Works { return parts }); left > 0 {
		if trial = c.failedRuns.TryTrial(ctx, parts); !trial {
			c.record(requestID, "", "quarantine-refuse", "requests with a part of this prompt crashed upstreams before", map[string]any{"left": left.String()})
			return serving.VerdictQuarantined, min(left, c.failedRuns.ComeBackIn(parts))
		}
	}
	for {
		reply := c.askHolders(ctx, CheckArgs{Fingerprint: fingerprint, Request: c.reservation(requestID)})
		pause := recheckInterval/2 + rand.N(recheckInterval)
		switch reply.Verdict {
		case quarantine.Refused:
			c.abandonReservation(ctx, fingerprint, requestID)
			c.record(requestID, "", "quarantine-refuse", "the request crashed upstreams before", map[string]any{"left": reply.Left.String()})
			return serving.VerdictQuarantined, reply.Left
		case quarantine.Trial:
			c.record(requestID, "", "quarantine-trial", "an upstream died while it ran the request, which now runs alone", nil)
			return serving.VerdictSuspect, 0
		case quarantine.Clear:
			if trial {
				c.record(requestID, "", "quarantine-trial", "requests with a part of this prompt crashed upstreams, and it now runs alone", nil)
				return serving.VerdictSuspect, 0
			}
			return serving.VerdictClear, 0
		case quarantine.Held:
			c.record(requestID, "", "quarantine-hold", "several upstreams died, one of them while it ran the request", map[string]any{"left": reply.Left.String()})
			if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= reply.Left {
				c.abandonReservation(ctx, fingerprint, requestID)
				return serving.VerdictSuspect, reply.Left
			}
			pause += reply.Left
		default:
			// Two requests that are reserved at one holder each would wait for each other.
			c.abandonReservation(ctx, fingerprint, requestID)
			if !blocked {
				blocked = true
				c.record(requestID, "", "quarantine-wait", "an equal request is running and has not yet proved harmless", nil)
				c.addBlocked(fingerprint, 1)
				defer c.addBlocked(fingerprint, -1)
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			c.abandonReservation(ctx, fingerprint, requestID)
			return serving.VerdictSuspect, busyRetry
		}
	}
}

// addBlocked adds n to the number of requests of this node that wait for an equal one.
func (c *Controller) addBlocked(fingerprint string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked[fingerprint] += n; c.blocked[fingerprint] == 0 {
		delete(c.blocked, fingerprint)
	}
}

// askHolders asks the owner of the fingerprint for a verdict, or the next candidate if the owner does not answer; if none
// is left, this node's own table decides. It reports a reservation to the successor, so that the reservation is kept
// if the owner is lost during the run. A node that gives no answer may still have granted the reservation, so it learns of
// its end, too.
func (c *Controller) askHolders(ctx context.Context, args CheckArgs) CheckReply {
	began := time.Now()
	args.Known = c.knownCrashes(args.Fingerprint)
	c.addPendingCheck(args)
	defer c.removePendingCheck(args.Request)
	var unanswered []string
	for range candidateCount {
		order, moved := c.decidingNodes(args.Fingerprint, holderCount)
		args.Moved = moved
		var reply CheckReply
		if !c.call(ctx, order[0], "Check", &args, &reply) {
			unanswered = append(unanswered, order[0])
			if ctx.Err() != nil {
				break
			}
			continue
		}
		if forbids(reply.Verdict) {
			c.cancelReservation(ctx, unanswered, args)
			return reply
		}
		recalling := c.addRun(requestOf(args.Request), args, run{args.Request, args.Fingerprint, reply.Verdict == quarantine.Trial, reply.Reserved, began, order, unanswered})
		if reply.Reserved {
			reply = c.informSuccessor(ctx, order, args, reply)
		}
		return c.confirm(ctx, recalling, args, reply)
	}
	c.cancelReservation(ctx, unanswered, args)
	return CheckReply{Verdict: quarantine.Busy}
}

// forbids reports whether the request must not run now.
func forbids(v quarantine.Verdict) bool { return v != quarantine.Clear && v != quarantine.Trial }

// informSuccessor reports a reservation to the successor: if the owner were lost before the successor knows of the run, a
// second one could start. It waits up to Timeouts.Successor, or holderCount * Timeouts.Call if the run is a trial. If the
// successor knows another run of the fingerprint, informSuccessor returns the successor's verdict, since nodes may
// briefly disagree on the owner while it is slow.
func (c *Controller) informSuccessor(ctx context.Context, order []string, args CheckArgs, granted CheckReply) CheckReply {
	args.Inform = true
	answer := make(chan CheckReply, 1)
	go func() { answer <- c.askSuccessor(context.WithoutCancel(ctx), order, &args) }()
	wait := c.Timeouts.Successor
	if granted.Verdict == quarantine.Trial {
		wait = holderCount * c.Timeouts.Call
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case other := <-answer:
		if forbids(other.Verdict) {
			return other
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	return granted
}

// call calls a method of a node's receiver and reports whether it answered. A node that did not is passed over for
// avoidFor.
func (c *Controller) call(ctx context.Context, node, method string, args, reply any) bool {
	if node == c.Self {
		c.callLocal(args, reply)
		return true
	}
	callCtx, stop := context.WithTimeout(ctx, c.Timeouts.Call)
	defer stop()
	err := c.Peers.Call(callCtx, node, "Quarantine."+method, args, reply)
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		// The caller's context ended, which says nothing about the node.
		return false
	}
	klog.V(1).InfoS("Quarantine owner did not answer", "node", node, "method", method, "err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[node] = time.Now().Add(avoidFor)
	return false
}

// callLocal calls this node's receiver, whose methods return no errors.
func (c *Controller) callLocal(args, reply any) {
	r := &Receiver{c}
	switch a := args.(type) {
	case *CheckArgs:
		_ = r.Check(a, reply.(*CheckReply))
	case *ReportArgs:
		_ = r.Report(a, nil)
	case *RecallArgs:
		_ = r.Recall(a, reply.(*RecallReply))
	}
}

func (c *Controller) record(request, upstream, decision, reason string, values map[string]any) {
	if c.Explain != nil {
		c.Explain.Record(explain.Entry{Request: request, Upstream: upstream, Decision: decision, Reason: reason, Values: values})
	}
}
