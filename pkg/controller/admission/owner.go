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

// owned is the admission of one upstream at its owner.
type owned struct {
	c    *Controller
	name string

	mu    sync.Mutex
	state *decision.State
	tuner *decision.Tuner
	// estimates are of online runs; batchSlots is the present batch allowance.
	estimates  decision.Estimates
	batchSlots int
	// weight is the online_tail_weight that applies: the largest of the institutions heard of late.
	weight   float64
	weightAt time.Time
	tickets  map[string]*ticket
	runs     map[string]*batchRun
	// cancelled holds the ids of requests that were released before they were asked for, since calls may
	// overtake each other.
	cancelled map[string]time.Time
	ticking   bool
	// wasOwner and health are what the last sync saw.
	wasOwner bool
	health   blackboard.UpstreamHealth
	// reported holds the nodes that have reported their slots to a new owner; nil when that is no longer awaited.
	reported map[string]bool
}

// ticket is a request that waits in the queue. decided has room for the one decision.
type ticket struct {
	decided chan decision.Decision
	// done is when the decision was made; a ticket that nobody collects is forgotten later.
	done time.Time
}

// batchRun is a batch item that holds a slot.
type batchRun struct {
	run    serving.BatchRun
	cancel context.CancelCauseFunc
}

// ticketLife is how long a decision or a cancellation is kept for a call that is under way.
const ticketLife = 5 * time.Second

// newOwned returns the admission of an upstream; c.mu is held. A node that takes over from another owner
// starts at the limit that this one had learned, and grants nothing until the other members have reported the
// slots that they hold, or for the time of takeover. Requests go to other upstreams meanwhile.
func newOwned(c *Controller, name string) *owned {
	limit := defaultLimit
	if st := c.Board.Upstreams.Value()[name]; st.Slots > 0 {
		limit = st.Slots
	}
	if v, ok := c.views[name]; ok && v.load.Limit > 0 {
		limit = v.load.Limit
	}
	o := &owned{c: c, name: name, tickets: map[string]*ticket{}, runs: map[string]*batchRun{}, cancelled: map[string]time.Time{},
		state: decision.NewState(decision.DefaultSettings(), limit), tuner: decision.NewTuner(limit), batchSlots: limit}
	if len(c.Board.Members.Value().Live) > 1 {
		o.reported = map[string]bool{}
		o.state.Freeze(time.Now(), time.Now().Add(takeover))
		time.AfterFunc(takeover, o.tick)
	}
	return o
}

// acquire offers a request to the upstream.
func (o *owned) acquire(a *AcquireArgs, reply *AcquireReply) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.cancelled[a.Work.Ticket]; ok {
		reply.Status, reply.Reason = StatusRefused, "request was given up"
		return
	}
	if reason := o.closed(a.MaxWait); reason != "" {
		reply.Status, reply.Reason, reply.RetryAfter = StatusRefused, reason, time.Second
		return
	}
	it := a.Work.item(a.Node, now)
	it.StartBy = o.startBy(now, a.Work, it)
	o.refreshProgress()
	decisions := o.state.Offer(now, it, a.MaxWait)
	own := decisions[0]
	if own.Kind == decision.Wait {
		o.tickets[it.ID] = &ticket{decided: make(chan decision.Decision, 1)}
	}
	if !own.Elsewhere {
		o.explain(own)
	}
	o.apply(now, decisions[1:])
	reply.fill(own)
}

func (r *AcquireReply) fill(d decision.Decision) {
	r.Reason, r.Wait, r.RetryAfter, r.Elsewhere = d.Reason, d.Wait, d.RetryAfter, d.Elsewhere
	switch d.Kind {
	case decision.Grant:
		r.Status = StatusGranted
	case decision.Wait:
		r.Status = StatusQueued
	default:
		r.Status = StatusRefused
	}
}

// wait returns the decision on a queued request, or StatusQueued after the poll time.
func (o *owned) wait(ctx context.Context, a *WaitArgs, reply *AcquireReply) {
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
		reply.fill(d)
		o.mu.Lock()
		delete(o.tickets, a.Ticket)
		o.mu.Unlock()
	case <-timer.C:
		reply.Status = StatusQueued
	case <-ctx.Done():
		reply.Status = StatusQueued
	}
}

// release frees a slot or a place in the queue and learns from the run.
func (o *owned) release(a *ReleaseArgs) {
	now := time.Now()
	o.mu.Lock()
	o.learn(now, a)
	if t, ok := o.tickets[a.Work.Ticket]; ok {
		if t.done.IsZero() {
			close(t.decided)
		}
		delete(o.tickets, a.Work.Ticket)
	}
	o.cancelled[a.Work.Ticket] = now
	o.refreshProgress()
	o.apply(now, o.state.Release(now, a.Work.Ticket))
	o.mu.Unlock()
	o.fill()
}

// apply carries decisions out; o.mu is held.
func (o *owned) apply(now time.Time, decisions []decision.Decision) {
	for _, d := range decisions {
		o.explain(d)
		if d.Kind == decision.Preempt {
			if r, ok := o.runs[d.Item.ID]; ok {
				r.cancel(serving.ErrPreempted)
			}
			continue
		}
		if t, ok := o.tickets[d.Item.ID]; ok && t.done.IsZero() {
			t.done = now
			t.decided <- d
		}
	}
	if o.state.Busy() && !o.ticking {
		o.ticking = true
		time.AfterFunc(queueTick, o.tick)
	}
}

// tick checks deadlines and graces while requests wait.
func (o *owned) tick() {
	now := time.Now()
	o.mu.Lock()
	o.ticking = false
	o.refreshProgress()
	o.apply(now, o.state.Advance(now))
	busy := o.ticking
	o.mu.Unlock()
	if !busy {
		o.fill()
	}
}

// sync frees the slots of lost nodes and forgets old tickets. An owner that lost the role hands its queue back
// and ends its batch runs, since the new owner fills the slots; gone is true when nothing is left.
func (o *owned) sync(members blackboard.Members) (gone bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.state.Nodes() {
		if _, ok := members.Live[n]; !ok && n != o.c.Self && len(members.Live) > 0 {
			o.c.record(explain.Entry{Upstream: o.name, Decision: "expire-slots", Reason: "serving node " + n + " was lost"})
			o.apply(now, o.state.DropNode(now, n))
		}
	}
	isOwner, health, why := o.c.owner(o.name) == o.c.Self, o.c.Board.Upstreams.Value()[o.name].Health, ""
	switch {
	case o.wasOwner && !isOwner:
		why = "another node owns the upstream now"
	case health != o.health:
		why = o.closed(0)
	}
	o.wasOwner, o.health = isOwner, health
	if why != "" {
		o.evict(now, why)
	}
	if !isOwner {
		o.apply(now, o.state.TrimBatch(now, 0))
		_, _, waiting := o.state.Counts()
		return len(o.runs) == 0 && waiting == 0
	}
	for id, t := range o.tickets {
		if !t.done.IsZero() && now.Sub(t.done) > ticketLife {
			delete(o.tickets, id)
		}
	}
	for id, at := range o.cancelled {
		if now.Sub(at) > ticketLife {
			delete(o.cancelled, id)
		}
	}
	o.tune(now, o.pressure())
	return false
}

// evict sends the waiting requests back to their nodes, which offer them to other upstreams; o.mu is held. It
// is done once when the upstream or the role is lost: a request that comes back then has no better place.
func (o *owned) evict(now time.Time, why string) {
	for _, d := range o.state.Evict(now, why) {
		o.explain(d)
		if t, ok := o.tickets[d.Item.ID]; ok {
			close(t.decided)
		}
		delete(o.tickets, d.Item.ID)
	}
}

// closed returns why the upstream takes no work, or "". An ejected upstream takes work from a node that knows
// no better one.
func (o *owned) closed(maxWait time.Duration) string {
	st := o.c.Board.Upstreams.Value()[o.name]
	u, ok := o.c.find(o.name)
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

func (o *owned) explain(d decision.Decision) {
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

// Owns reports whether this node is the admission owner of the upstream by the members it knows now.
func (c *Controller) Owns(upstream string) bool { return c.owner(upstream) == c.Self }
