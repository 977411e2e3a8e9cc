// Package loadshare exchanges the load of upstreams between nodes through a hub.
//
// Each node reports its own runs to the hub several times a second and gets the totals of all nodes with the answer: two
// messages a node and exchange, whatever the number of nodes. The hub is a soft role by weighted rendezvous hashing; a node
// whose hub does not answer reports to the next one. Reports also are the heartbeats of the nodes.
package loadshare

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/outlier"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/pkg/wait"
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
	// Evidence is what the node's runs showed of upstreams since its last report.
	Evidence map[string]outlier.Evidence
}

// Totals is the hub's answer.
type Totals struct {
	Loads            map[string]dispatch.Load
	Silent, Draining []string
	// Outliers are the upstreams that serve worse than the others, with the part of their usual work that they should get.
	Outliers map[string]float64
	// Grant holds the slots that the node alone may use until its next report.
	Grant dispatch.Grant
	// Revisions are how far the hub's own copies of the store are, by prefix; without those that it can't follow.
	Revisions map[string]int64
}

// Options configures an Exchange.
type Options struct {
	Fleet *fleet.Fleet
	Peers peer.Caller
	// Mine returns the own load, Wants the slots that are wanted, and Evidence what runs showed since the last call. Take
	// gets the totals with the report that they contain, the outliers, and the granted slots.
	Mine     func() map[string]dispatch.Load
	Wants    func() map[string]dispatch.Want
	Evidence func() map[string]outlier.Evidence
	Take     func(totals, reported map[string]dispatch.Load, outliers map[string]float64, granted dispatch.Grant)
	// Learn enters a node's evidence, and Outliers weighs that of all nodes, when this node is the hub.
	Learn    func(map[string]outlier.Evidence)
	Outliers func() map[string]float64
	// Grants shares free slots among the nodes, when this node is the hub.
	Grants func(service string, want, all dispatch.Want, totals map[string]dispatch.Load, given map[string]int, warm func(string) bool) dispatch.Grant
	// Revisions returns how far the own copies of the store are, and Heard takes those of the hub. Heard is called with an
	// empty hub after an exchange that failed.
	Revisions func() map[string]int64
	Heard     func(hub string, revisions map[string]int64)
	// Introduced takes a hub that made itself known to this node.
	Introduced func(hub fleet.Member)
	// Draining reports whether the node takes no new callers.
	Draining func() bool
	Log      *eventlog.Log
	Metrics  *Metrics
}

// Exchange reports the node's load and serves as the hub of others.
type Exchange struct {
	o    Options
	hub  hub
	last string
	// choice is used by one exchange at a time.
	choice choice

	mu sync.Mutex
	// flight is the exchange in progress, or nil; ahead the one that follows it at once.
	flight, ahead *flight
}

// flight is one exchange.
type flight struct {
	done     chan struct{}
	answered bool
	// busy is set when the node runs or wants anything.
	busy bool
}

// New returns an exchange.
func New(o Options) *Exchange {
	e := &Exchange{o: o}
	e.hub = newHub(&e.o)
	return e
}

// Run exchanges until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f := e.begin(ctx)
		select {
		case <-f.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		every := idleEvery
		if f.busy {
			every = max(busyEvery, time.Duration(len(e.o.Fleet.Known()))*perMember)
		}
		_ = wait.Sleep(ctx, every+rand.N(every/5))
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
		mine, wants := e.o.Mine(), e.o.Wants()
		f.busy = len(mine)+len(wants) > 0
		f.answered = e.exchange(ctx, mine, wants)
		close(f.done)
		e.mu.Lock()
		f, e.flight, e.ahead = e.ahead, e.ahead, nil
		e.mu.Unlock()
	}
}

// choice is the hub of a time.
type choice struct {
	hub   string
	until time.Time
}

// chosenFor is how long a chosen hub is kept before the live nodes are looked at again.
const chosenFor = 200 * time.Millisecond

// chosen returns the hub: the first live node in weighted order, or "" without any.
func (e *Exchange) chosen(now time.Time) string {
	if now.Before(e.choice.until) {
		return e.choice.hub
	}
	e.choice = choice{until: now.Add(chosenFor)}
	if ranked := rendezvous.Ranked(hubKey, e.o.Fleet.Weights()); len(ranked) > 0 {
		e.choice.hub = ranked[0]
	}
	return e.choice.hub
}

// exchange reports to the hub, and reports whether it answered.
func (e *Exchange) exchange(ctx context.Context, mine map[string]dispatch.Load, wants map[string]dispatch.Want) bool {
	self := e.o.Fleet.Self()
	r := Report{Node: self.Name, Incarnation: self.Incarnation, Draining: e.o.Draining(), Loads: mine, Wants: wants, Evidence: e.o.Evidence()}
	name := e.chosen(time.Now())
	if name == "" {
		return false
	}
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var totals Totals
	begun := time.Now()
	err := e.o.Peers.Call(call, name, "Load.Report", r, &totals)
	e.o.Metrics.exchanged(err == nil, time.Since(begun))
	if err != nil {
		if ctx.Err() == nil {
			e.o.Fleet.Suspect(name, suspectFor, err)
			e.choice = choice{}
			e.o.Heard("", nil)
		}
		return false
	}
	if name != e.last {
		e.o.Log.Notice("load hub chosen", "hub", name, "before", e.last)
		e.last = name
	}
	e.o.Take(totals.Loads, mine, totals.Outliers, totals.Grant)
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
