package admission

import (
	"context"
	"sync"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	decision "trefoilplank.example/pkg/decision/admission"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// owned is the admission of one upstream at its owner.
type owned struct {
	c    *Controller
	name string

	mu      sync.Mutex
	state   *decision.State
	tickets map[string]*ticket
	runs    map[string]*batchRun
	// cancelled holds the ids of requests that were released before they were asked for, since calls may
	// overtake each other.
	cancelled map[string]time.Time
	ticking   bool
	filling   bool
	lastUsed  time.Time
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

func newOwned(c *Controller, name string) *owned {
	limit := defaultLimit
	if st, ok := c.Board.Upstreams.Value()[name]; ok && st.Slots > 0 {
		limit = st.Slots
	}
	return &owned{
		c: c, name: name, state: decision.NewState(decision.DefaultSettings(), limit),
		tickets: map[string]*ticket{}, runs: map[string]*batchRun{}, cancelled: map[string]time.Time{},
	}
}

// acquire offers a request to the upstream.
func (o *owned) acquire(a *AcquireArgs, reply *AcquireReply) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastUsed = now
	if _, ok := o.cancelled[a.Work.ID]; ok {
		reply.Status, reply.Reason = StatusRefused, "request was given up"
		return
	}
	it := a.Work.item(a.Node, now)
	it.StartBy = o.startBy(now, it)
	o.refreshProgress()
	decisions := o.state.Offer(now, it, a.MayWait)
	own := decisions[0]
	if own.Kind == decision.Wait {
		o.tickets[it.ID] = &ticket{decided: make(chan decision.Decision, 1)}
	}
	o.explain(own)
	o.apply(now, decisions[1:])
	reply.fill(own)
}

func (r *AcquireReply) fill(d decision.Decision) {
	r.Reason, r.Wait, r.RetryAfter = d.Reason, d.Wait, d.RetryAfter
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
func (o *owned) wait(a *WaitArgs, reply *AcquireReply) {
	o.mu.Lock()
	t, ok := o.tickets[a.ID]
	o.mu.Unlock()
	if !ok {
		reply.Status, reply.Reason = StatusUnknown, "no such ticket"
		return
	}
	timer := time.NewTimer(a.Poll)
	defer timer.Stop()
	select {
	case d := <-t.decided:
		reply.fill(d)
		o.mu.Lock()
		delete(o.tickets, a.ID)
		o.mu.Unlock()
	case <-timer.C:
		reply.Status = StatusQueued
	}
}

// release frees a slot or a place in the queue and learns from the run.
func (o *owned) release(a *ReleaseArgs) {
	now := time.Now()
	o.mu.Lock()
	o.learn(now, a)
	delete(o.tickets, a.Work.ID)
	o.cancelled[a.Work.ID] = now
	o.apply(now, o.state.Release(now, a.Work.ID))
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

// sync frees the slots of lost nodes and forgets old tickets. An owner that lost the role hands its queue back.
func (o *owned) sync(members blackboard.Members, cfg api.Config) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.state.Nodes() {
		if _, ok := members.Live[n]; !ok && n != o.c.Self && len(members.Live) > 0 {
			o.c.record(explain.Entry{Upstream: o.name, Decision: "expire-slots", Reason: "serving node " + n + " was lost"})
			o.apply(now, o.state.DropNode(now, n))
		}
	}
	if decision.Owner(o.name, members) != o.c.Self {
		for _, d := range o.state.Evict(now, "another node owns the upstream now") {
			delete(o.tickets, d.Item.ID)
		}
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
	o.adjust(now, cfg)
}

func (o *owned) explain(d decision.Decision) {
	if d.Kind == decision.Grant && d.Queued == 0 {
		return
	}
	online, batch, waiting := o.state.Counts()
	o.c.record(explain.Entry{
		Request: d.Item.ID, Upstream: o.name, Decision: string(d.Kind), Reason: d.Reason,
		Values: map[string]any{"limit": o.state.Limit(), "online": online, "batch": batch, "waiting": waiting,
			"queued_ms": d.Queued.Milliseconds(), "wait_ms": d.Wait.Milliseconds(), "class": d.Item.Class},
	})
}
