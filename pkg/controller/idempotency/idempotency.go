// Package idempotency lets resends of a request under the same idempotency key join the run in progress or get the
// first answer, whichever node they reach. The rendezvous owner of the key decides; its successor knows the runs
// and answers as well, so that the loss of the owner loses neither. Losing both costs a second run.
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
	// joinWait is how long the owner holds a join before it answers that the run goes on. The joining node
	// notices a lost owner within joinWait and callTimeout.
	joinWait = time.Second
	// avoidFor is how long an owner that gave no answer is passed over.
	avoidFor = 2 * time.Second
	// lapseMargin is added to a run's deadline before the key is freed without a report.
	lapseMargin = 30 * time.Second
	// endWait bounds the wait for owners at the end of a run; a round trip takes about a millisecond.
	endWait = 50 * time.Millisecond
	// finishTries bounds the attempts to deliver an answer to an owner.
	finishTries = 3
	// ulidLength is the length of the part of a request id after "NODE-".
	ulidLength = 26
)

// BeginArgs asks what to do with a request; it serves Begin and Join. Key holds institution and key.
type BeginArgs struct {
	Key, Digest, Request string
	// Left is the time to the run's deadline.
	Left time.Duration
}

// BeginReply answers BeginArgs.
type BeginReply struct {
	Action idempotency.Action
	Answer *idempotency.Answer
}

// FinishArgs reports the end of a run. A nil answer lets one of those that joined run the request.
type FinishArgs struct {
	Key, Digest, Request string
	Answer               *idempotency.Answer
	// Keep is set when a later resend gets the answer as well.
	Keep bool
}

// Options are the collaborators of a Controller.
type Options struct {
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	// Capacity bounds the bytes of answers kept; 0 means idempotency.DefaultCapacity.
	Capacity int
}

// Controller serves the keys of a node's callers and owns a part of all keys.
type Controller struct {
	Options

	mu    sync.Mutex
	table *idempotency.Table
	// waiting holds the channels of joins by key; each takes one answer, nil when the run ended without one.
	waiting map[string][]chan *idempotency.Answer
	avoid   map[string]time.Time
}

// New returns a controller and registers the receiver "Idempotency".
func New(o Options, r peer.Registrar) (*Controller, error) {
	if o.Capacity == 0 {
		o.Capacity = idempotency.DefaultCapacity
	}
	c := &Controller{
		Options: o, table: idempotency.NewTable(o.Capacity),
		waiting: map[string][]chan *idempotency.Answer{}, avoid: map[string]time.Time{},
	}
	return c, r.Register("Idempotency", &Receiver{c})
}

// Run frees the keys of runs on lost nodes until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		members, revision := c.Board.Members.Get()
		if revision > 0 {
			c.mu.Lock()
			keys := c.table.Drop(func(request string) bool {
				if len(request) <= ulidLength {
					return false
				}
				_, live := members.Live[request[:len(request)-ulidLength-1]]
				return !live
			})
			for _, key := range keys {
				c.wake(key, nil)
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

// wake hands an answer to those that joined; c.mu is held.
func (c *Controller) wake(key string, a *idempotency.Answer) {
	for _, ch := range c.waiting[key] {
		ch <- a
	}
	delete(c.waiting, key)
}

// Receiver serves the calls of other nodes.
type Receiver struct{ c *Controller }

// Begin decides about a request.
func (r *Receiver) Begin(a *BeginArgs, reply *BeginReply) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	now := time.Now()
	v := r.c.table.Begin(a.Key, a.Digest, a.Request, now.Add(a.Left+lapseMargin), now)
	reply.Action, reply.Answer = v.Action, v.Answer
	return nil
}

// Join is Begin that waits up to joinWait while an equal request is in progress.
func (r *Receiver) Join(a *BeginArgs, reply *BeginReply) error {
	if err := r.Begin(a, reply); err != nil || reply.Action != idempotency.Join {
		return err
	}
	ch := make(chan *idempotency.Answer, 1)
	r.c.mu.Lock()
	// The run may have ended since Begin.
	if v := r.c.table.Begin(a.Key, a.Digest, a.Request, time.Now().Add(a.Left+lapseMargin), time.Now()); v.Action != idempotency.Join {
		r.c.mu.Unlock()
		reply.Action, reply.Answer = v.Action, v.Answer
		return nil
	}
	r.c.waiting[a.Key] = append(r.c.waiting[a.Key], ch)
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
		left := slices.DeleteFunc(r.c.waiting[a.Key], func(o chan *idempotency.Answer) bool { return o == ch })
		if r.c.waiting[a.Key] = left; len(left) == 0 {
			delete(r.c.waiting, a.Key)
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
		r.c.wake(a.Key, a.Answer)
	}
	return nil
}

// Ticket is the right to run a request under its key.
type Ticket struct {
	c      *Controller
	args   BeginArgs
	owners []string
}

// Begin decides about a request and waits while an equal one is in progress. Exactly one of the results is set:
// a ticket when the request must be run, the first answer, or conflict. When ctx ends first, all are zero.
func (c *Controller) Begin(ctx context.Context, institution, key, digest, requestID string, left time.Duration) (t *Ticket, a *idempotency.Answer, conflict bool) {
	args := BeginArgs{Key: institution + "\x00" + key, Digest: digest, Request: requestID, Left: left}
	for ctx.Err() == nil {
		owners := c.owners(args.Key)
		ticket := &Ticket{c: c, args: args, owners: owners}
		reply, ok := c.begin(ctx, ticket)
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

// begin asks the owner and, when it says to run, its successor, which may know a run or an answer from before a
// change of the members. It reports false when the owners must be asked again.
func (c *Controller) begin(ctx context.Context, t *Ticket) (BeginReply, bool) {
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
			// The owner must not wait for a run that this node gives up in favour of the other one.
			c.finish(ctx, t.owners[:i], &FinishArgs{Key: t.args.Key, Digest: t.args.Digest, Request: t.args.Request})
		}
		return reply, true
	}
	return BeginReply{Action: idempotency.Run}, true
}

// End reports the answer to the owners. With keep it is given to later resends as well; a nil answer lets another
// request run. It waits up to endWait, so that a resend that follows the answer finds it.
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
		t.c.finish(context.WithoutCancel(ctx), owners, args)
	}()
	select {
	case <-done:
	case <-time.After(endWait):
	}
}

func (c *Controller) finish(ctx context.Context, owners []string, args *FinishArgs) {
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

// owners returns the owner and its successor, without those that gave no answer a moment ago. Without any it
// returns this node.
func (c *Controller) owners(key string) []string {
	live := c.Board.Members.Value().Live
	names := make([]string, 0, len(live))
	for name := range live {
		names = append(names, name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	owners := slices.DeleteFunc(rendezvous.Top(key, names, 2), func(n string) bool { return now.Before(c.avoid[n]) })
	if len(owners) == 0 {
		return []string{c.Self}
	}
	return owners
}

func (c *Controller) call(ctx context.Context, node, method string, args, reply any, timeout time.Duration) bool {
	if node == c.Self {
		return c.local(ctx, method, args, reply)
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
	klog.V(1).InfoS("Idempotency owner gave no answer", "node", node, "method", method, "err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[node] = time.Now().Add(avoidFor)
	return false
}

// local serves a call of the own node; false when ctx ended while it waited. The receiver's methods have no errors.
func (c *Controller) local(ctx context.Context, method string, args, reply any) bool {
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
