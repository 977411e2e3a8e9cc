package admission

import (
	"context"
	"errors"
	"net/http"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	decision "trefoilplank.example/pkg/decision/admission"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// heldSlot is a slot that this node uses.
type heldSlot struct {
	upstream string
	work     Work
	local    bool
}

// maxTries bounds the upstreams that are asked for a free slot before the request queues at one of them.
const maxTries = 3

// Acquire implements serving.Slots.
func (c *Controller) Acquire(ctx context.Context, r serving.Request) (*serving.Slot, error) {
	began := time.Now()
	var last *AcquireReply
	exclude := append([]string(nil), r.Exclude...)
	for round := 0; round < maxTries; round++ {
		order := c.place(r, exclude)
		if len(order) == 0 {
			break
		}
		if len(order) > maxTries {
			order = order[:maxTries]
		}
		for _, u := range order {
			reply, local := c.ask(ctx, u, r, false)
			if slot := c.take(u, r, reply, local, began); slot != nil {
				return slot, nil
			}
			last = latest(last, reply)
		}
		u := c.shortest(order)
		reply := c.enqueue(ctx, u, r)
		if slot := c.take(u, r, reply, false, began); slot != nil {
			return slot, nil
		}
		if ctx.Err() != nil {
			return nil, refusal(r, http.StatusGatewayTimeout, api.CodeDeadline, "the request was given up while it waited for a slot", 0)
		}
		last = latest(last, reply)
		if reply == nil || reply.Status != StatusUnknown {
			exclude = append(exclude, u.Name)
		}
	}
	if last == nil {
		c.record(explain.Entry{Request: r.ID, Decision: "refuse", Reason: "no upstream is available"})
		return nil, refusal(r, http.StatusServiceUnavailable, api.CodeNoCapacity, "no upstream is available", time.Second)
	}
	c.record(explain.Entry{Request: r.ID, Decision: "refuse", Reason: last.Reason})
	return nil, refusal(r, http.StatusServiceUnavailable, api.CodeNoCapacity, last.Reason, last.RetryAfter)
}

func latest(last, reply *AcquireReply) *AcquireReply {
	if reply != nil {
		return reply
	}
	return last
}

func refusal(r serving.Request, status int, code api.Code, reason string, retry time.Duration) *api.Error {
	e := api.Errorf(status, code, api.NotRun, "%s", reason)
	e.RequestID, e.RetryAfter = r.ID, max(retry, time.Second)
	return e
}

// ask offers the request to the owner of the upstream. A nil reply means that the owner is silent; local says
// that the local estimate permits a run without it.
func (c *Controller) ask(ctx context.Context, u api.Upstream, r serving.Request, mayWait bool) (reply *AcquireReply, local bool) {
	owner := decision.Owner(u.Name, c.Board.Members.Value())
	args := &AcquireArgs{Upstream: u.Name, Node: c.Self, Work: workOf(r, time.Now()), MayWait: mayWait, PrefixHashes: r.PrefixHashes}
	reply = &AcquireReply{}
	if c.isSilent(owner) {
		return nil, c.allowLocal(u, r)
	}
	callCtx, cancel := context.WithTimeout(ctx, ownerSilence)
	err := c.call(callCtx, owner, "Acquire", args, reply)
	cancel()
	if err == nil {
		c.ownerAnswered(owner)
		c.absorb(reply.Loads)
		return reply, false
	}
	if errors.Is(err, peer.ErrTimeout) || errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		// The owner may have granted the slot.
		c.giveBack(owner, u.Name, args.Work, serving.Usage{})
	}
	if ctx.Err() != nil {
		return nil, false
	}
	c.ownerSilent(owner)
	return nil, c.allowLocal(u, r)
}

// allowLocal decides on a run without the owner.
func (c *Controller) allowLocal(u api.Upstream, r serving.Request) bool {
	if r.Batch || r.Alone {
		return false
	}
	members := len(c.Board.Members.Value().Live)
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view(u.Name)
	limit := v.load.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	return v.inFlight < decision.LocalBound(limit, members)
}

// take books a granted slot.
func (c *Controller) take(u api.Upstream, r serving.Request, reply *AcquireReply, local bool, began time.Time) *serving.Slot {
	if !local && (reply == nil || reply.Status != StatusGranted) {
		return nil
	}
	slot := &serving.Slot{Upstream: u, RequestID: r.ID, Queued: time.Since(began)}
	reason := "owner granted a slot"
	if local {
		reason = "owner is silent; local estimate permits the run"
	} else {
		slot.Owner = decision.Owner(u.Name, c.Board.Members.Value())
	}
	c.mu.Lock()
	v := c.view(u.Name)
	v.inFlight++
	if local {
		v.local++
		v.delta++
	}
	c.held[r.ID] = &heldSlot{upstream: u.Name, work: workOf(r, time.Now()), local: local}
	c.mu.Unlock()
	c.record(explain.Entry{Request: r.ID, Upstream: u.Name, Decision: "admit", Reason: reason,
		Values: map[string]any{"owner": slot.Owner, "queued_ms": slot.Queued.Milliseconds()}})
	return slot
}

// enqueue queues the request at the upstream and waits for the decision.
func (c *Controller) enqueue(ctx context.Context, u api.Upstream, r serving.Request) *AcquireReply {
	reply, _ := c.ask(ctx, u, r, true)
	if reply == nil || reply.Status != StatusQueued {
		return reply
	}
	owner := decision.Owner(u.Name, c.Board.Members.Value())
	for {
		next := &AcquireReply{}
		args := &WaitArgs{Upstream: u.Name, Node: c.Self, ID: r.ID, Poll: waitPoll}
		callCtx, cancel := context.WithTimeout(ctx, waitPoll+waitSilence)
		err := c.call(callCtx, owner, "Wait", args, next)
		cancel()
		moved := decision.Owner(u.Name, c.Board.Members.Value()) != owner
		switch {
		case err == nil && next.Status != StatusQueued:
			c.absorb(next.Loads)
			return next
		case ctx.Err() != nil || err != nil || moved:
			c.giveBack(owner, u.Name, workOf(r, time.Now()), serving.Usage{})
			if err != nil && ctx.Err() == nil {
				c.ownerSilent(owner)
			}
			return &AcquireReply{Status: StatusUnknown, Reason: "the upstream's admission owner was lost"}
		}
		c.absorb(next.Loads)
	}
}

// Release implements serving.Slots.
func (c *Controller) Release(s *serving.Slot, u serving.Usage) {
	c.mu.Lock()
	h, ok := c.held[s.RequestID]
	if ok {
		delete(c.held, s.RequestID)
		v := c.view(h.upstream)
		v.inFlight--
		v.delta--
		if h.local {
			v.local--
		}
	}
	c.mu.Unlock()
	if !ok {
		return
	}
	if c.Observer != nil {
		c.Observer.Report(h.upstream, u.Result)
	}
	c.giveBack(decision.Owner(h.upstream, c.Board.Members.Value()), h.upstream, h.work, u)
}

// giveBack returns a slot or a place in the queue without blocking. A lost call is repaired by the exchange of
// held slots.
func (c *Controller) giveBack(owner, upstream string, w Work, u serving.Usage) {
	args := &ReleaseArgs{Upstream: upstream, Node: c.Self, Work: w, Usage: u}
	if owner == c.Self {
		_ = (&Service{c}).Release(args, &ReleaseReply{})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		reply := &ReleaseReply{}
		if c.call(ctx, owner, "Release", args, reply) == nil {
			c.absorb(reply.Loads)
		}
	}()
}

// call calls the receiver of a node; the own node is called in process.
func (c *Controller) call(ctx context.Context, node, method string, args, reply any) error {
	if node != c.Self {
		return c.Peers.Call(ctx, node, "Admission."+method, args, reply)
	}
	s := &Service{c}
	switch a := args.(type) {
	case *AcquireArgs:
		return s.Acquire(a, reply.(*AcquireReply))
	case *WaitArgs:
		return s.Wait(a, reply.(*AcquireReply))
	case *LoadArgs:
		return s.Load(a, reply.(*LoadReply))
	}
	return Error.New("no method %s", method)
}

// place returns the upstreams that can run the request, best first.
func (c *Controller) place(r serving.Request, exclude []string) []api.Upstream {
	skip := map[string]bool{}
	for _, n := range exclude {
		skip[n] = true
	}
	observed := c.Board.Upstreams.Value()
	var order []api.Upstream
	for _, u := range c.Board.Config.Value().Register.Upstreams {
		h := observed[u.Name].Health
		if !skip[u.Name] && !u.Leaving && u.Serves(r.Model, r.Service) && h != blackboard.HealthEjected && h != blackboard.HealthLeaving {
			order = append(order, u)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// shortest returns the upstream with the shortest expected wait.
func (c *Controller) shortest(order []api.Upstream) api.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, least := order[0], -1.0
	for _, u := range order {
		v := c.view(u.Name)
		l := float64(v.load.Waiting+1) / float64(max(1, v.load.Limit)) * max(v.load.Hold.Seconds(), 1e-3)
		if least < 0 || l < least {
			best, least = u, l
		}
	}
	return best
}
