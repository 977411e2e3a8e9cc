package admission

import (
	"context"
	"sync"
	"time"

	"trefoilplank.example/pkg/blackboard"
	decision "trefoilplank.example/pkg/decision/admission"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// ownedUpstream is the admission state of one upstream at its owner.
type ownedUpstream struct {
	c    *Controller
	name string

	mu    sync.Mutex
	state *decision.State
	tuner *decision.Tuner
	// estimates are for online runs; batchSlots is how many slots batch work may use now.
	estimates  decision.Estimates
	batchSlots int
	// weight is the online_tail_weight that applies: the largest of the institutions that ran here within
	// weightLifetime.
	weight   float64
	weightAt time.Time
	tickets  map[string]*ticket
	runs     map[string]*batchRun
	// cancelled holds the time at which each ticket was released. A Release call may overtake the Acquire call of its
	// ticket, which must then get no slot.
	cancelled map[string]time.Time
	// ticking is set while a call of tick is scheduled because requests wait.
	ticking bool
	// wasOwner and health are the values at the last sync.
	wasOwner bool
	health   blackboard.UpstreamHealth
	// reported holds the nodes that have reported their slots to this new owner; nil once all have reported or when
	// there is no other member. It grants nothing until then or until takeoverEnds.
	reported     map[string]bool
	takeoverEnds time.Time
}

// ticket is a request that waits in the queue. decided has a buffer for the one decision.
type ticket struct {
	decided chan decision.Decision
	// decidedAt is when the decision was made. A ticket whose decision is not fetched is dropped after ticketRetention.
	decidedAt time.Time
}

// batchRun is a batch item that holds a slot.
type batchRun struct {
	run    serving.BatchRun
	cancel context.CancelCauseFunc
}

// ticketRetention is how long a decision or a cancellation is kept for calls that are still in progress.
const ticketRetention = 5 * time.Second

// newOwnedUpstream returns the admission state of an upstream; c.mu is held. A node that takes over from another owner
// starts at the limit in the other owner's last load report. It grants nothing until all members have reported the slots
// that they hold, at most for takeoverFreeze; requests go to other upstreams meanwhile.
func newOwnedUpstream(c *Controller, name string) *ownedUpstream {
	limit := defaultLimit
	if st := c.Board.Upstreams.Value()[name]; st.Slots > 0 {
		limit = st.Slots
	}
	if v, ok := c.views[name]; ok && v.load.Limit > 0 {
		limit = v.load.Limit
	}
	o := &ownedUpstream{c: c, name: name, tickets: map[string]*ticket{}, runs: map[string]*batchRun{}, cancelled: map[string]time.Time{},
		state: decision.NewState(decision.DefaultSettings(), limit), tuner: decision.NewTuner(limit), batchSlots: limit}
	if len(c.Board.Members.Value().Live) > 1 {
		now := time.Now()
		o.reported, o.takeoverEnds = map[string]bool{}, now.Add(takeoverFreeze)
		o.state.Freeze(now, o.takeoverEnds)
		time.AfterFunc(takeoverFreeze, o.tick)
	}
	return o
}

// acquire decides on a request for a slot: it is granted, queued or refused.
func (o *ownedUpstream) acquire(a *AcquireArgs, reply *AcquireReply) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.cancelled[a.Work.Ticket]; ok {
		reply.Status, reply.Reason = StatusRefused, "request was given up"
		return
	}
	if reason := o.closedReason(a.MaxWait); reason != "" {
		reply.Status, reply.Reason, reply.RetryAfter = StatusRefused, reason, time.Second
		return
	}
	if o.isStray(now) {
		reply.Status, reply.Reason = StatusUnknown, ownedElsewhere
		return
	}
	it := a.Work.toItem(a.Node, now)
	it.LatestStart = o.latestStart(now, a.Work, it)
	o.refreshProgress()
	decisions := o.state.Offer(now, it, a.MaxWait)
	own := decisions[0]
	if own.Kind == decision.Wait {
		o.tickets[it.ID] = &ticket{decided: make(chan decision.Decision, 1)}
	}
	if !own.ExceedsMaxWait {
		o.logDecision(own)
	}
	o.applyDecisions(now, decisions[1:])
	reply.setDecision(own)
}

// ownedElsewhere is why a node that is not the owner of an upstream sends requests back.
const ownedElsewhere = "another node owns the upstream now"

// isStray reports whether this state belongs to a node that has not become the owner in the time of a takeover: it was asked
// by a node whose members were older, and does not know all slots in use. o.mu is held.
func (o *ownedUpstream) isStray(now time.Time) bool {
	return o.reported != nil && !now.Before(o.takeoverEnds) && o.c.owner(o.name) != o.c.Self
}

// setDecision copies a decision into the reply.
func (r *AcquireReply) setDecision(d decision.Decision) {
	r.Reason, r.Wait, r.RetryAfter, r.Elsewhere = d.Reason, d.Wait, d.RetryAfter, d.ExceedsMaxWait
	switch d.Kind {
	case decision.Grant:
		r.Status = StatusGranted
	case decision.Wait:
		r.Status = StatusQueued
	default:
		r.Status = StatusRefused
	}
}

// wait returns the decision on a queued request, StatusQueued after the poll time, or StatusUnknown when ctx ends, since a
// node that stops decides no more.
func (o *ownedUpstream) wait(ctx context.Context, a *WaitArgs, reply *AcquireReply) {
	o.mu.Lock()
	t, ok := o.tickets[a.Ticket]
	o.mu.Unlock()
	if !ok {
		reply.Status, reply.Reason = StatusUnknown, "no such ticket"
		return
	}
	timer := time.NewTimer(a.Poll)
	defer timer.Stop()
	select {
	case d, ok := <-t.decided:
		if !ok {
			reply.Status, reply.Reason = StatusUnknown, "the queue was closed"
			return
		}
		reply.setDecision(d)
		o.mu.Lock()
		delete(o.tickets, a.Ticket)
		o.mu.Unlock()
	case <-timer.C:
		reply.Status = StatusQueued
	case <-ctx.Done():
		reply.Status, reply.Reason = StatusUnknown, "the wait has ended"
	}
}

// release frees a slot or a place in the queue and updates the estimates from the run's usage.
func (o *ownedUpstream) release(a *ReleaseArgs) {
	now := time.Now()
	o.mu.Lock()
	o.observeRun(now, a)
	if t, ok := o.tickets[a.Work.Ticket]; ok {
		if t.decidedAt.IsZero() {
			close(t.decided)
		}
		delete(o.tickets, a.Work.Ticket)
	}
	o.cancelled[a.Work.Ticket] = now
	o.refreshProgress()
	o.applyDecisions(now, o.state.Release(now, a.Work.Ticket))
	o.mu.Unlock()
	o.fillIdleSlots()
}

// applyDecisions carries out decisions: it preempts batch runs and delivers grants and refusals to waiting requests.
// o.mu is held.
func (o *ownedUpstream) applyDecisions(now time.Time, decisions []decision.Decision) {
	for _, d := range decisions {
		o.logDecision(d)
		if d.Kind == decision.Preempt {
			if r, ok := o.runs[d.Item.ID]; ok {
				r.cancel(serving.ErrPreempted)
			}
			continue
		}
		if t, ok := o.tickets[d.Item.ID]; ok && t.decidedAt.IsZero() {
			t.decidedAt = now
			t.decided <- d
		}
	}
	if o.state.HasWaiting() && !o.ticking {
		o.ticking = true
		time.AfterFunc(queueTick, o.tick)
	}
}

// tick checks the deadlines of waiting requests and the grace times of preempted runs.
func (o *ownedUpstream) tick() {
	now := time.Now()
	o.mu.Lock()
	o.ticking = false
	if o.isStray(now) {
		o.evict(now, ownedElsewhere)
	}
	o.refreshProgress()
	o.applyDecisions(now, o.state.Advance(now))
	busy := o.ticking
	o.mu.Unlock()
	if !busy {
		o.fillIdleSlots()
	}
}

// sync frees the slots of lost nodes and drops old tickets. A node that is no longer the owner sends the waiting requests
// back to their nodes and ends its batch runs, since the new owner fills the slots; gone is true when neither is left.
func (o *ownedUpstream) sync(members blackboard.Members) (gone bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.state.Nodes() {
		if _, ok := members.Live[n]; !ok && n != o.c.Self && len(members.Live) > 0 {
			o.c.record(explain.Entry{Upstream: o.name, Decision: "expire-slots", Reason: "serving node " + n + " was lost"})
			o.applyDecisions(now, o.state.DropNode(now, n))
		}
	}
	isOwner, health, reason := o.c.owner(o.name) == o.c.Self, o.c.Board.Upstreams.Value()[o.name].Health, ""
	switch {
	case o.wasOwner && !isOwner:
		reason = ownedElsewhere
	case health != o.health:
		reason = o.closedReason(0)
	}
	o.wasOwner, o.health = isOwner, health
	if reason != "" {
		o.evict(now, reason)
	}
	if !isOwner {
		o.applyDecisions(now, o.state.TrimBatch(now, 0))
		_, _, waiting := o.state.Counts()
		return len(o.runs) == 0 && waiting == 0
	}
	for id, t := range o.tickets {
		if !t.decidedAt.IsZero() && now.Sub(t.decidedAt) > ticketRetention {
			delete(o.tickets, id)
		}
	}
	for id, at := range o.cancelled {
		if now.Sub(at) > ticketRetention {
			delete(o.cancelled, id)
		}
	}
	o.tune(now, o.batchPressure())
	return false
}

// evict sends the waiting requests back to their nodes, which offer them to other upstreams; o.mu is held. It is called
// once when the upstream's health changes or the node is no longer owner: a request that returns after that has found
// no better upstream.
func (o *ownedUpstream) evict(now time.Time, why string) {
	for _, d := range o.state.DropQueue(now, why) {
		o.logDecision(d)
		if t, ok := o.tickets[d.Item.ID]; ok {
			close(t.decided)
		}
		delete(o.tickets, d.Item.ID)
	}
}

// closedReason returns why the upstream accepts no requests, or "" if it does. An ejected upstream accepts requests
// without a bound on the wait, which come from a node that knows no better upstream.
func (o *ownedUpstream) closedReason(maxWait time.Duration) string {
	st := o.c.Board.Upstreams.Value()[o.name]
	u, ok := o.c.findUpstream(o.name)
	switch {
	case !ok:
		return "the register does not list the upstream"
	case u.Leaving || st.Health == blackboard.HealthLeaving:
		return "the upstream is leaving"
	case st.Health == blackboard.HealthEjected && maxWait != decision.Unlimited:
		return "the upstream is ejected"
	}
	return ""
}

// logDecision records a decision in the explain log, except for slots that were granted at once.
func (o *ownedUpstream) logDecision(d decision.Decision) {
	if d.Kind == decision.Grant && d.Queued == 0 {
		return
	}
	online, batch, waiting := o.state.Counts()
	o.c.record(explain.Entry{
		Request: d.Item.Request, Upstream: o.name, Decision: string(d.Kind), Reason: d.Reason,
		Values: map[string]any{"limit": o.state.Limit(), "online": online, "batch": batch, "waiting": waiting,
			"queued_ms": d.Queued.Milliseconds(), "wait_ms": d.Wait.Milliseconds(), "class": d.Item.Class},
	})
}

// Owns reports whether this node is the admission owner of the upstream, according to the members that it knows now.
func (c *Controller) Owns(upstream string) bool { return c.owner(upstream) == c.Self }
