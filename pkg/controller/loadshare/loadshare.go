// Package loadshare exchanges the load of upstreams between nodes through a hub.
//
// Each node reports its own runs to the hub several times a second and gets the totals of all nodes with the answer: two
// messages a node and exchange, whatever the number of nodes. The hub is a soft role by weighted rendezvous hashing; a node
// whose hub does not answer reports to the next one. Reports also are the heartbeats of the nodes.
package loadshare

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/eventlog"
)

const (
	// busyEvery is the time between exchanges while anything runs: an arrival that sees totals of this age misses at most
	// a few of the others'. idleEvery is the time while nothing runs.
	busyEvery, idleEvery = 50 * time.Millisecond, 300 * time.Millisecond
	// perMember stretches the time between exchanges, so that a hub answers at most 1,250 a second.
	perMember = 800 * time.Microsecond
	// exchangeTimeout ends a call to a hub that does not answer; the platform's zones are at most some ms apart.
	exchangeTimeout = 400 * time.Millisecond
	// askTimeout is how long an arrival waits for the hub's answer before it goes by what is known.
	askTimeout = 30 * time.Millisecond
	// suspectFor is how long a hub that did not answer is passed over.
	suspectFor = 2 * time.Second
	// reportKept is how long a report counts in the totals: three idle exchanges.
	reportKept = time.Second
	// silentAfter is how long a registered node may not report before it counts as silent: four idle exchanges.
	silentAfter = 1300 * time.Millisecond
	// hubWarmUp is how long a node must have received reports before it calls others silent.
	hubWarmUp = 2 * time.Second
	// hubIdle is the time without any report after which a node no longer is a hub.
	hubIdle = time.Second
	// reachable is the part of the registered nodes that must report before the hub calls the rest silent; below it the
	// hub itself is probably the one that is cut off.
	reachable = 0.5
	// hubKey is the rendezvous key of the hub.
	hubKey = "load-hub"
)

// Report is a node's load.
type Report struct {
	Node        string
	Incarnation int64
	Draining    bool
	Loads       map[string]dispatch.Load
	// Wants are the slots that the node asks for, by service.
	Wants map[string]dispatch.Want
}

// Totals is the hub's answer.
type Totals struct {
	Loads            map[string]dispatch.Load
	Silent, Draining []string
	// Grant holds the slots that the node alone may use until its next report.
	Grant dispatch.Grant
	// Revisions are how far the hub's own copies of the store are, by prefix; without those that it can't follow.
	Revisions map[string]int64
}

// Options configures an Exchange.
type Options struct {
	Fleet *fleet.Fleet
	Peers peer.Caller
	// Mine returns the own load, and Wants the slots that are wanted. Take gets the totals with the report that they
	// contain, and the granted slots.
	Mine  func() map[string]dispatch.Load
	Wants func() map[string]dispatch.Want
	Take  func(totals, reported map[string]dispatch.Load, granted dispatch.Grant)
	// Grants shares free slots among the nodes, when this node is the hub.
	Grants func(service string, want, all dispatch.Want, totals map[string]dispatch.Load, given map[string]int, warm func(string) bool) dispatch.Grant
	// Revisions returns how far the own copies of the store are, and Heard takes those of the hub. Heard is called with an
	// empty hub after an exchange that failed.
	Revisions func() map[string]int64
	Heard     func(hub string, revisions map[string]int64)
	// Draining reports whether the node takes no new callers.
	Draining func() bool
	Log      *eventlog.Log
}

// Exchange reports the node's load and serves as the hub of others.
type Exchange struct {
	o    Options
	hub  hub
	last string

	mu sync.Mutex
	// flight is the exchange in progress, or nil; ahead the one that follows it at once.
	flight, ahead *flight
}

// flight is one exchange.
type flight struct {
	done     chan struct{}
	answered bool
}

// New returns an exchange.
func New(o Options) *Exchange {
	return &Exchange{o: o, hub: hub{o: &o, reports: map[string]report{}, given: map[string]given{}, warm: map[string]map[string]time.Time{}}}
}

// Run exchanges until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-e.begin(ctx).done:
		case <-ctx.Done():
		}
		every := idleEvery
		if len(e.o.Mine())+len(e.o.Wants()) > 0 {
			every = max(busyEvery, time.Duration(len(e.o.Fleet.Known()))*perMember)
		}
		t := time.NewTimer(every + rand.N(every/5))
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return ctx.Err()
}

// Now exchanges at once and reports whether the hub answered in time.
func (e *Exchange) Now(ctx context.Context) bool {
	f := e.begin(context.WithoutCancel(ctx))
	t := time.NewTimer(askTimeout)
	defer t.Stop()
	select {
	case <-f.done:
		return f.answered
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// begin starts an exchange whose report contains all that is known now: one that is already under way does not, so another
// one follows it, for all that ask meanwhile.
func (e *Exchange) begin(ctx context.Context) *flight {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.flight != nil {
		if e.ahead == nil {
			e.ahead = &flight{done: make(chan struct{})}
		}
		return e.ahead
	}
	e.flight = &flight{done: make(chan struct{})}
	go e.fly(ctx, e.flight)
	return e.flight
}

func (e *Exchange) fly(ctx context.Context, f *flight) {
	for f != nil {
		f.answered = e.exchange(ctx, e.o.Mine(), e.o.Wants())
		close(f.done)
		e.mu.Lock()
		f, e.flight, e.ahead = e.ahead, e.ahead, nil
		e.mu.Unlock()
	}
}

// exchange reports to the hub, and reports whether it answered.
func (e *Exchange) exchange(ctx context.Context, mine map[string]dispatch.Load, wants map[string]dispatch.Want) bool {
	self := e.o.Fleet.Self()
	r := Report{Node: self.Name, Incarnation: self.Incarnation, Draining: e.o.Draining(), Loads: mine, Wants: wants}
	weights := map[string]float64{}
	for _, m := range e.o.Fleet.Live() {
		if !m.Draining {
			weights[m.Name] = m.Weight
		}
	}
	ranked := rendezvous.Ranked(hubKey, weights)
	if len(ranked) == 0 {
		return false
	}
	name := ranked[0]
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var totals Totals
	if err := e.o.Peers.Call(call, name, "Load.Report", r, &totals); err != nil {
		if ctx.Err() == nil {
			e.o.Fleet.Suspect(name, suspectFor, err)
			e.o.Heard("", nil)
		}
		return false
	}
	if name != e.last {
		e.o.Log.Notice("load hub chosen", "hub", name, "before", e.last)
		e.last = name
	}
	e.o.Take(totals.Loads, mine, totals.Grant)
	e.o.Heard(name, totals.Revisions)
	e.o.Fleet.SetSilent(totals.Silent, totals.Draining)
	return true
}

// Receiver returns the hub for net/rpc.
func (e *Exchange) Receiver() *Receiver { return &Receiver{&e.hub} }

// Receiver answers reports.
type Receiver struct{ hub *hub }

// Report takes a node's load and answers with the totals.
func (r *Receiver) Report(args Report, reply *Totals) error {
	r.hub.take(args, reply, time.Now())
	return nil
}

type report struct {
	Report
	at time.Time
}

// given are slots that were granted and are not in a report yet.
type given struct {
	slots map[string]int
	at    time.Time
}

type hub struct {
	o       *Options
	mu      sync.Mutex
	reports map[string]report
	given   map[string]given
	// warm is when each node last had a run on each upstream.
	warm  map[string]map[string]time.Time
	since time.Time
	last  time.Time
}

func (h *hub) take(r Report, reply *Totals, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.last) > hubIdle {
		h.since = now
	}
	h.last = now
	h.reports[r.Node] = report{r, now}
	reply.Loads = map[string]dispatch.Load{}
	recent := map[string]bool{}
	for name, r := range h.reports {
		age := now.Sub(r.at)
		if age <= silentAfter {
			recent[name] = true
			if r.Draining {
				reply.Draining = append(reply.Draining, name)
			}
		}
		if age > reportKept {
			continue
		}
		for id, l := range r.Loads {
			sum := reply.Loads[id]
			reply.Loads[id] = dispatch.Load{Online: sum.Online + l.Online, Batch: sum.Batch + l.Batch}
		}
	}
	h.grant(r, reply, now)
	reply.Revisions = h.o.Revisions()
	maps.DeleteFunc(h.reports, func(_ string, r report) bool { return now.Sub(r.at) > time.Minute })
	if now.Sub(h.since) < hubWarmUp {
		return
	}
	known := h.o.Fleet.Known()
	if float64(len(recent)) < reachable*float64(len(known)) {
		return
	}
	for _, m := range known {
		if !recent[m.Name] && now.UnixNano()-m.Incarnation > int64(hubWarmUp) {
			reply.Silent = append(reply.Silent, m.Name)
		}
	}
}

// grantKept is how long a grant counts against free slots when its node does not report again.
const grantKept = 500 * time.Millisecond

// grant answers what a node wants. The caller holds the lock.
func (h *hub) grant(r Report, reply *Totals, now time.Time) {
	delete(h.given, r.Node)
	if len(r.Wants) == 0 {
		return
	}
	warm := h.warm[r.Node]
	if warm == nil {
		warm = map[string]time.Time{}
		h.warm[r.Node] = warm
	}
	for id := range r.Loads {
		warm[id] = now
	}
	maps.DeleteFunc(warm, func(_ string, at time.Time) bool { return now.Sub(at) > dispatch.WarmFor })
	isWarm := func(id string) bool { return !warm[id].IsZero() }
	outstanding := map[string]int{}
	for node, g := range h.given {
		if now.Sub(g.at) > grantKept {
			delete(h.given, node)
			continue
		}
		for id, n := range g.slots {
			outstanding[id] += n
		}
	}
	reply.Grant = dispatch.Grant{Online: map[string]int{}, Batch: map[string]int{}, Queue: map[string]int{}}
	for service, want := range r.Wants {
		var all dispatch.Want
		for _, other := range h.reports {
			if now.Sub(other.at) <= grantKept {
				all.Items += other.Wants[service].Items
				all.Urgent += other.Wants[service].Urgent
				all.Rate += other.Wants[service].Rate
			}
		}
		g := h.o.Grants(service, want, all, reply.Loads, outstanding, isWarm)
		maps.Copy(reply.Grant.Online, g.Online)
		maps.Copy(reply.Grant.Batch, g.Batch)
		maps.Copy(reply.Grant.Queue, g.Queue)
	}
	slots := reply.Grant.Slots()
	h.given[r.Node] = given{slots, now}
}
