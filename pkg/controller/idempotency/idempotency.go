// Package idempotency makes resends of a request with the same idempotency key join the run in progress or get the first
// answer, whichever node they reach. The rendezvous owner of the key decides. Its successor also stores the runs
// and answers, so that they survive the loss of the owner; the loss of both nodes can cause a second run.
package idempotency

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/idempotency"
	"trefoilplank.example/pkg/decision/rendezvous"
)

const (
	callTimeout = 250 * time.Millisecond
	// joinWait is how long the owner keeps a Join call open before it answers that the run is still in progress. The
	// joining node notices a lost owner within joinWait + callTimeout.
	joinWait = time.Second
	// avoidFor is how long an owner that did not answer is passed over.
	avoidFor = 2 * time.Second
	// expiryMargin is how long after a run's deadline the key is freed if the end of the run is not reported.
	expiryMargin = 30 * time.Second
	// endWait bounds how long End waits for the owners; a round trip takes about a millisecond.
	endWait = 50 * time.Millisecond
	// finishTries bounds the attempts to report the end of a run to an owner.
	finishTries = 3
	// requestULIDLength is the length of the part of a request id after "NODE-".
	requestULIDLength = 26
)

// BeginArgs asks the owner of a key what to do with a request, in Begin and Join calls. Key combines institution and key.
type BeginArgs struct {
	Key, Digest, Request string
	// Left is the time until the run's deadline.
	Left time.Duration
}

// BeginReply answers BeginArgs.
type BeginReply struct {
	Action idempotency.Action
	Answer *idempotency.Answer
}

// FinishArgs reports the end of a run. With a nil answer, one of the requests that joined the run is run next.
type FinishArgs struct {
	Key, Digest, Request string
	Answer               *idempotency.Answer
	// Keep is set when the answer is stored for later resends.
	Keep bool
}

// Options configures a Controller.
type Options struct {
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	// Capacity bounds the bytes of answers kept; 0 means idempotency.DefaultCapacity.
	Capacity int
}

// Controller handles the keyed requests of a node's callers and is the owner of a part of all keys.
type Controller struct {
	Options

	mu    sync.Mutex
	table *idempotency.Table
	// waitingJoins holds the channels of the waiting Join calls by key. Each channel receives one answer, nil when the run
	// ended without one.
	waitingJoins map[string][]chan *idempotency.Answer
	avoidUntil   map[string]time.Time
}

// New returns a controller and registers the receiver "Idempotency".
func New(o Options, r peer.Registrar) (*Controller, error) {
	if o.Capacity == 0 {
		o.Capacity = idempotency.DefaultCapacity
	}
	c := &Controller{
		Options: o, table: idempotency.NewTable(o.Capacity),
		waitingJoins: map[string][]chan *idempotency.Answer{}, avoidUntil: map[string]time.Time{},
	}
	return c, r.Register("Idempotency", &Receiver{c})
}

// Run frees the keys of runs on lost nodes until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		members, revision := c.Board.Members.Get()
		if revision > 0 {
			c.mu.Lock()
			keys := c.table.DropLost(func(request string) bool {
				if len(request) <= requestULIDLength {
					return false
				}
				_, live := members.Live[request[:len(request)-requestULIDLength-1]]
				return !live
			})
			for _, key := range keys {
				c.wakeJoins(key, nil)
			}
			c.mu.Unlock()
		}
		select {
		case <-c.Board.Members.Changed(revision):
		case <-ctx.Done():
			return nil
		}
	}
}

// wakeJoins passes an answer to the waiting Join calls of a key; c.mu is held.
func (c *Controller) wakeJoins(key string, a *idempotency.Answer) {
	for _, ch := range c.waitingJoins[key] {
		ch <- a
	}
	delete(c.waitingJoins, key)
}

// Receiver is the net/rpc receiver "Idempotency".
type Receiver struct{ c *Controller }

// Begin decides, as an owner of the key, what to do with a request.
func (r *Receiver) Begin(a *BeginArgs, reply *BeginReply) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	now := time.Now()
	v := r.c.table.Begin(a.Key, a.Digest, a.Request, now.Add(a.Left+expiryMargin), now)
	reply.Action, reply.Answer = v.Action, v.Answer
	return nil
}

// Join is like Begin, but waits up to joinWait for the end of a run in progress under the same key.
func (r *Receiver) Join(a *BeginArgs, reply *BeginReply) error {
	if err := r.Begin(a, reply); err != nil || reply.Action != idempotency.Join {
		return err
	}
	ch := make(chan *idempotency.Answer, 1)
	r.c.mu.Lock()
	// The run may have ended since Begin.
	if v := r.c.table.Begin(a.Key, a.Digest, a.Request, time.Now().Add(a.Left+expiryMargin), time.Now()); v.Action != idempotency.Join {
		r.c.mu.Unlock()
		reply.Action, reply.Answer = v.Action, v.Answer
		return nil
	}
	r.c.waitingJoins[a.Key] = append(r.c.waitingJoins[a.Key], ch)
	r.c.mu.Unlock()
	timer := time.NewTimer(joinWait)
	defer timer.Stop()
	select {
	case answer := <-ch:
		if answer == nil {
			return r.Begin(a, reply)
		}
		reply.Action, reply.Answer = idempotency.Done, answer
	case <-timer.C:
		r.c.mu.Lock()
		defer r.c.mu.Unlock()
		left := slices.DeleteFunc(r.c.waitingJoins[a.Key], func(o chan *idempotency.Answer) bool { return o == ch })
		if r.c.waitingJoins[a.Key] = left; len(left) == 0 {
			delete(r.c.waitingJoins, a.Key)
		}
	}
	return nil
}

// Finish records the end of a run.
func (r *Receiver) Finish(a *FinishArgs, _ *struct{}) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	kept := a.Answer
	if !a.Keep {
		kept = nil
	}
	if r.c.table.End(a.Key, a.Digest, a.Request, kept, time.Now()) {
		r.c.wakeJoins(a.Key, a.Answer)
	}
	return nil
}

// Ticket is the permission to run a request under its key. End must be called after the run.
type Ticket struct {
	c      *Controller
	args   BeginArgs
	owners []string
}

// Begin decides what to do with a request and waits while one with the same key is in progress. Exactly one of its results
// is set: a ticket if the request must be run, the first answer, or conflict if the key was used with another request. If
// ctx ends first, all results are zero.
func (c *Controller) Begin(ctx context.Context, institution, key, digest, requestID string, left time.Duration) (t *Ticket, a *idempotency.Answer, conflict bool) {
	args := BeginArgs{Key: institution + "\x00" + key, Digest: digest, Request: requestID, Left: left}
	for ctx.Err() == nil {
		owners := c.owners(args.Key)
		ticket := &Ticket{c: c, args: args, owners: owners}
		reply, ok := c.askOwners(ctx, ticket)
		if !ok {
			continue
		}
		switch reply.Action {
		case idempotency.Run:
			return ticket, nil, false
		case idempotency.Done:
			return nil, reply.Answer, false
		case idempotency.Conflict:
			return nil, nil, true
		}
	}
	return nil, nil, false
}

// askOwners asks the owner and, if that decides that the request must run, its successor, which may know a run or an
// answer from before a change of the members. It returns false if the owners must be asked again.
func (c *Controller) askOwners(ctx context.Context, t *Ticket) (BeginReply, bool) {
	for i, node := range t.owners {
		var reply BeginReply
		if !c.call(ctx, node, "Begin", &t.args, &reply, callTimeout) {
			return reply, false
		}
		for reply.Action == idempotency.Join {
			reply = BeginReply{}
			if !c.call(ctx, node, "Join", &t.args, &reply, joinWait+callTimeout) {
				return reply, false
			}
		}
		if reply.Action == idempotency.Run {
			continue
		}
		if i > 0 {
			// Free the key at the owner, since this node does not start the run that the owner has recorded.
			c.reportFinish(ctx, t.owners[:i], &FinishArgs{Key: t.args.Key, Digest: t.args.Digest, Request: t.args.Request})
		}
		return reply, true
	}
	return BeginReply{Action: idempotency.Run}, true
}

// End reports the answer to the owners. With keep, they store it for later resends; after a nil answer, another request
// may run. End waits up to endWait, so that a resend that follows the answer gets it.
func (t *Ticket) End(ctx context.Context, a *idempotency.Answer, keep bool) {
	args := &FinishArgs{Key: t.args.Key, Digest: t.args.Digest, Request: t.args.Request, Answer: a, Keep: keep}
	owners := slices.Clone(t.owners)
	for _, node := range t.c.owners(t.args.Key) {
		if !slices.Contains(owners, node) {
			owners = append(owners, node)
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.c.reportFinish(context.WithoutCancel(ctx), owners, args)
	}()
	select {
	case <-done:
	case <-time.After(endWait):
	}
}

// reportFinish reports the end of a run to the owners and waits for them.
func (c *Controller) reportFinish(ctx context.Context, owners []string, args *FinishArgs) {
	var group sync.WaitGroup
	for _, node := range owners {
		group.Go(func() {
			for range finishTries {
				if c.call(ctx, node, "Finish", args, &struct{}{}, callTimeout) {
					return
				}
			}
		})
	}
	group.Wait()
}

// owners returns the owner and its successor, without nodes that did not answer within the last avoidFor. If none is
// left, it returns this node.
func (c *Controller) owners(key string) []string {
	live := c.Board.Members.Value().Live
	names := make([]string, 0, len(live))
	for name := range live {
		names = append(names, name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	owners := slices.DeleteFunc(rendezvous.Top(key, names, 2), func(n string) bool { return now.Before(c.avoidUntil[n]) })
	if len(owners) == 0 {
		return []string{c.Self}
	}
	return owners
}

// call calls a method of a node's receiver and reports whether it answered. A node that did not is passed over for
// avoidFor.
func (c *Controller) call(ctx context.Context, node, method string, args, reply any, timeout time.Duration) bool {
	if node == c.Self {
		return c.callLocal(ctx, method, args, reply)
	}
	callCtx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	err := c.Peers.Call(callCtx, node, "Idempotency."+method, args, reply)
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	klog.V(1).InfoS("Idempotency owner did not answer", "node", node, "method", method, "err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[node] = time.Now().Add(avoidFor)
	return false
}

// callLocal calls a method of this node's receiver, whose methods return no errors. It returns false when ctx ended while
// it waited.
func (c *Controller) callLocal(ctx context.Context, method string, args, reply any) bool {
	r := &Receiver{c}
	switch method {
	case "Finish":
		_ = r.Finish(args.(*FinishArgs), nil)
	case "Begin":
		_ = r.Begin(args.(*BeginArgs), reply.(*BeginReply))
	default:
		joined := make(chan BeginReply, 1)
		go func() {
			var j BeginReply
			_ = r.Join(args.(*BeginArgs), &j)
			joined <- j
		}()
		select {
		case *reply.(*BeginReply) = <-joined:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
