package admission

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"trefoilplank.example/api"
	decision "trefoilplank.example/pkg/decision/admission"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// heldSlot is a slot that this node holds; prefix holds the hashes of the prompt's blocks.
type heldSlot struct {
	upstream string
	work     Work
	prefix   []uint64
}

const (
	// maxTries bounds how often a request is offered in one round. The last offer accepts any wait.
	maxTries = 5
	// maxRefusals is the number of refusals as too late after which a request is given up. The best upstreams are
	// asked first, and under overload further calls would only add load.
	maxRefusals = 3
	// maxRounds bounds the rounds of a request. A new round starts when the owner was lost while the request waited.
	maxRounds = 8
	// ownerChangeWait is how long a request whose owner was lost waits in a round for the members to show the loss. With
	// maxRounds it exceeds the time in which members are found to be lost.
	ownerChangeWait = time.Second
)

// ownerSilent is the reply for an upstream whose owner does not answer.
var ownerSilent = &AcquireReply{Reason: "the upstream's admission owner is silent"}

// Acquire implements serving.SlotAllocator.
func (c *Controller) Acquire(ctx context.Context, r serving.Request) (*serving.Slot, error) {
	began := time.Now()
	var last *AcquireReply
	ownerLost := false
	for range maxRounds {
		_, membersRevision := c.Board.Members.Get()
		slot, reply := c.offerToUpstreams(ctx, r, began)
		if slot != nil {
			return slot, nil
		}
		if ctx.Err() != nil {
			return nil, refusalError(r, http.StatusGatewayTimeout, api.CodeDeadline, "the request was given up while it waited for a slot", 0)
		}
		last = reply
		unknown := reply != nil && reply.Status == StatusUnknown
		if !unknown && !(ownerLost && reply == ownerSilent) {
			break
		}
		if ownerLost {
			c.awaitMembers(ctx, membersRevision)
		}
		ownerLost = true
	}
	if last == nil {
		last = &AcquireReply{Reason: "no upstream is available"}
	}
	c.record(explain.Entry{Request: r.ID, Decision: "refuse", Reason: last.Reason})
	return nil, refusalError(r, http.StatusServiceUnavailable, api.CodeNoCapacity, last.Reason, last.RetryAfter)
}

// awaitMembers waits for members later than a revision, at most for ownerChangeWait.
func (c *Controller) awaitMembers(ctx context.Context, revision int64) {
	timer := time.NewTimer(ownerChangeWait)
	defer timer.Stop()
	select {
	case <-c.Board.Members.Changed(revision):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// offerToUpstreams offers the request to the best upstream and accepts a wait there of at most the one expected at the
// next best. A refusal brings current loads, by which the upstreams are ranked again; the last try accepts any wait.
// It returns the slot, or the reply that decided against one.
func (c *Controller) offerToUpstreams(ctx context.Context, r serving.Request, began time.Time) (*serving.Slot, *AcquireReply) {
	exclude := append([]string(nil), r.Exclude...)
	offered := map[string]time.Duration{}
	var refused *AcquireReply
	refusals := 0
	for try := range maxTries {
		order := c.rankUpstreams(r, exclude)
		if len(order) == 0 || ctx.Err() != nil {
			break
		}
		order = byOfferedWait(order, offered)
		u, maxWait := order[0], decision.Unlimited
		if try < maxTries-1 {
			maxWait = maxAcceptedWait(order, offered[order[0].Upstream.Name])
		}
		reply, work, local := c.acquire(ctx, u.Upstream, r, began, maxWait)
		if slot := c.recordGrant(u, r, reply, work, local, began); slot != nil {
			return slot, nil
		}
		switch {
		case reply == nil:
			exclude = append(exclude, u.Upstream.Name)
			refused = cmp.Or(refused, ownerSilent)
		case reply.Status == StatusUnknown, reply.Waited:
			return nil, reply
		case reply.Elsewhere:
			offered[u.Upstream.Name] = reply.Wait
		default:
			exclude = append(exclude, u.Upstream.Name)
			refused = reply
			if refusals++; refusals == maxRefusals {
				return nil, refused
			}
		}
	}
	return nil, refused
}

// byOfferedWait replaces the expected wait of each upstream by the one that it offered in this round, if that is longer: an
// answer of another node that arrives late may have brought back an older load. If the first of the order has offered a
// wait, the one with the shortest wait comes first.
func byOfferedWait(order []rankedUpstream, offered map[string]time.Duration) []rankedUpstream {
	order = slices.Clone(order)
	for i := range order {
		order[i].Wait = max(order[i].Wait, offered[order[i].Upstream.Name])
	}
	if _, asked := offered[order[0].Upstream.Name]; asked {
		slices.SortStableFunc(order, func(a, b rankedUpstream) int { return cmp.Compare(a.Wait, b.Wait) })
	}
	return order
}

// maxAcceptedWait returns the longest wait to accept at the first upstream of the order: the shortest one expected at
// the others or, if it is longer, a quarter more than the first upstream itself offered when it was asked before.
func maxAcceptedWait(order []rankedUpstream, offered time.Duration) time.Duration {
	wait := decision.Unlimited
	for _, o := range order[1:] {
		wait = min(wait, o.Wait)
	}
	return max(wait, offered+offered/4)
}

func refusalError(r serving.Request, status int, code api.Code, reason string, retry time.Duration) *api.Error {
	e := api.Errorf(status, code, api.NotRun, "%s", reason)
	e.RequestID, e.RetryAfter = r.ID, max(retry, time.Second)
	return e
}

// acquire offers the request to the owner of the upstream and waits if it is queued. A nil reply means that the
// owner did not answer; local reports whether the local estimate then permits a run without the owner's grant.
func (c *Controller) acquire(ctx context.Context, u api.Upstream, r serving.Request, began time.Time, maxWait time.Duration) (reply *AcquireReply, work Work, local bool) {
	owner := c.owner(u.Name)
	work = workOf(r, c.newTicket(), time.Now())
	work.Queued = time.Since(began)
	if c.inBackoff(owner) {
		return nil, work, c.allowLocal(u, r)
	}
	args := &AcquireArgs{Upstream: u.Name, Node: c.Self, Work: work, MaxWait: maxWait, PrefixHashes: r.PrefixHashes}
	reply = &AcquireReply{}
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	err := c.call(callCtx, owner, "Acquire", args, reply)
	cancel()
	if err != nil {
		// The owner may have granted the slot although its answer did not arrive.
		c.returnSlot(owner, u.Name, work, serving.Usage{})
		if ctx.Err() != nil {
			return nil, work, false
		}
		c.backOff(owner)
		return nil, work, c.allowLocal(u, r)
	}
	c.ownerAnswered(owner)
	c.storeLoads(reply.Loads)
	if c.Observer != nil && reply.CacheTrust > 0 && owner != c.Self {
		c.Observer.StoreOwnerCached(u.Name, r.PrefixHashes, reply.CachedBlocks, reply.CacheTrust)
	}
	if reply.Status == StatusQueued {
		reply = c.wait(ctx, owner, u.Name, work)
		reply.Waited = true
	}
	return reply, work, false
}

// wait waits for the owner's decision on a queued request. StatusUnknown means that the owner was lost.
func (c *Controller) wait(ctx context.Context, owner, upstream string, w Work) *AcquireReply {
	for {
		reply := &AcquireReply{}
		args := &WaitArgs{Upstream: upstream, Node: c.Self, Ticket: w.Ticket, Poll: waitPoll}
		callCtx, cancel := context.WithTimeout(ctx, waitPoll+waitMargin)
		err := c.call(callCtx, owner, "Wait", args, reply)
		cancel()
		if err == nil && ctx.Err() == nil {
			c.storeLoads(reply.Loads)
			if reply.Status != StatusQueued {
				return reply
			}
			if c.owner(upstream) == owner {
				continue
			}
		}
		c.returnSlot(owner, upstream, w, serving.Usage{})
		if err != nil && ctx.Err() == nil {
			c.backOff(owner)
		}
		return &AcquireReply{Status: StatusUnknown, Reason: "the upstream's admission owner was lost"}
	}
}

// allowLocal decides whether a request may run without the owner's grant: only an online request that need not run
// alone, and only while this node holds fewer slots than its share of the limit.
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
	return v.inFlight < decision.MaxRunsWithoutOwner(limit, members)
}

// recordGrant creates the slot of a request that the owner or the local estimate admitted, and counts it as held; it
// returns nil if neither did.
func (c *Controller) recordGrant(u rankedUpstream, r serving.Request, reply *AcquireReply, work Work, local bool, began time.Time) *serving.Slot {
	if !local && (reply == nil || reply.Status != StatusGranted) {
		return nil
	}
	queued := time.Since(began)
	slot := &serving.Slot{Upstream: u.Upstream, RequestID: r.ID, QueueTime: queued}
	reason := "owner granted a slot; " + u.Reason
	if local {
		// The failed call's ticket was returned to the owner, so this slot needs another one.
		work.Ticket = c.newTicket()
		reason = "owner did not answer and the local estimate permits the run; " + u.Reason
	} else {
		slot.Owner = c.owner(u.Upstream.Name)
	}
	work.Queued = queued
	c.mu.Lock()
	v := c.view(u.Upstream.Name)
	v.inFlight++
	if local {
		v.slotsTakenHere++
	}
	c.held[slot] = &heldSlot{upstream: u.Upstream.Name, work: work, prefix: r.PrefixHashes}
	c.mu.Unlock()
	c.record(explain.Entry{Request: r.ID, Upstream: u.Upstream.Name, Decision: "admit", Reason: reason,
		Values: map[string]any{"owner": slot.Owner, "queued_ms": slot.QueueTime.Milliseconds()}})
	return slot
}

// Release implements serving.SlotAllocator.
func (c *Controller) Release(s *serving.Slot, u serving.Usage) {
	c.mu.Lock()
	h, ok := c.held[s]
	if ok {
		delete(c.held, s)
		v := c.view(h.upstream)
		v.inFlight--
		v.slotsTakenHere--
	}
	c.mu.Unlock()
	if !ok {
		return
	}
	if c.Observer != nil {
		c.Observer.Report(h.upstream, u.Result)
		if u.Result == serving.RunOK && len(h.prefix) > 0 {
			c.Observer.RecordPrompt(h.upstream, h.prefix)
		}
	}
	c.returnSlot(c.owner(h.upstream), h.upstream, h.work, u)
}

// returnSlot returns a slot or a place in the queue to the owner without blocking. If the call is lost, the next
// report of held slots repairs it.
func (c *Controller) returnSlot(owner, upstream string, w Work, u serving.Usage) {
	args := &ReleaseArgs{Upstream: upstream, Node: c.Self, Work: w, Usage: u}
	if owner == c.Self {
		_ = (&Service{c}).Release(args, &ReleaseReply{})
		return
	}
	c.backgroundCalls.Go(func() {
		for range releaseTries {
			ctx, cancel := context.WithTimeout(c.runCtx, releaseTimeout)
			reply := &ReleaseReply{}
			err := c.call(ctx, owner, "Release", args, reply)
			cancel()
			if err == nil {
				c.storeLoads(reply.Loads)
				return
			}
			select {
			case <-c.runCtx.Done():
				return
			case <-time.After(releaseTimeout):
			}
			if owner = c.owner(upstream); owner == c.Self {
				_ = (&Service{c}).Release(args, &ReleaseReply{})
				return
			}
		}
	})
}

// call calls a method of a node's receiver; this node's own receiver is called directly.
func (c *Controller) call(ctx context.Context, node, method string, args, reply any) error {
	if node != c.Self {
		return c.Peers.Call(ctx, node, "Admission."+method, args, reply)
	}
	s := &Service{c}
	switch a := args.(type) {
	case *AcquireArgs:
		return s.Acquire(a, reply.(*AcquireReply))
	case *WaitArgs:
		c.ownedUpstream(a.Upstream).wait(ctx, a, reply.(*AcquireReply))
		return nil
	case *LoadArgs:
		return s.Load(a, reply.(*LoadReply))
	}
	return Error.New("call to this node: unknown method %q", method)
}
