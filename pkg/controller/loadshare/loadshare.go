// Package loadshare exchanges the load of upstreams between nodes through a hub.
//
// Each node reports its own runs to the hub several times a second and gets the totals of all nodes with the answer. That
// takes two messages per node and exchange, whatever the number of nodes. Each node chooses the hub by weighted rendezvous
// hashing without an election; if the hub does not answer, the node reports to the next one. The reports also serve as
// heartbeats of the nodes.
package loadshare

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	controller "trefoilplank.example/pkg/controller/failedruns"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/controller/storecalls"
	"trefoilplank.example/pkg/controller/streamversions"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/keyvalidity"
	"trefoilplank.example/pkg/decision/outlier"
	"trefoilplank.example/pkg/decision/quota"
	"trefoilplank.example/pkg/decision/reach"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/pkg/wait"
)

const (
	// busyInterval is the time between exchanges while the node has runs or wants slots: totals of this age lack at most a
	// few arrivals at other nodes. idleInterval is the time between exchanges otherwise.
	busyInterval, idleInterval = 50 * time.Millisecond, 300 * time.Millisecond
	// intervalPerMember times the number of nodes is the least time between the regular exchanges of a busy node, so that
	// a hub answers at most 3,300 of them per second, and totals are at most 0.1 s old with 300 nodes.
	intervalPerMember = 300 * time.Microsecond
	// exchangeTimeout bounds the call to the hub; the platform's zones are at most a few milliseconds apart.
	exchangeTimeout = 400 * time.Millisecond
	// hubLate is the time without an answer after which a hub counts as late: more than a short pause of it takes. Without its answer, an idle
	// node's copies of the store are at most idleInterval and this old when they are read elsewhere.
	hubLate = 200 * time.Millisecond
	// askTimeout is how long an arriving request waits for the hub's answer. After it, the request is placed by what
	// this node knows.
	askTimeout = 30 * time.Millisecond
	// suspectFor is how long a hub that did not answer is passed over.
	suspectFor = 2 * time.Second
	// reportLifetime is how long a report counts in the totals: three idle exchanges.
	reportLifetime = time.Second
	// unresponsiveAfter is the time without a report after which a registered node counts as unresponsive: four idle
	// exchanges.
	unresponsiveAfter = 1300 * time.Millisecond
	// hubWarmUp is how long a node must have received reports before it lists others as unresponsive.
	hubWarmUp = 2 * time.Second
	// hubIdle is the time without any report after which a node is no longer a hub.
	hubIdle = time.Second
	// minReportingPart is the part of the registered nodes that must report before the hub lists the rest as unresponsive.
	// If fewer do, the hub itself is probably cut off.
	minReportingPart = 0.5
	// hubKey is the rendezvous hashing key by which the hub is chosen.
	hubKey = "load-hub"
)

// Announced holds what upstreams say of themselves in their answers, and the requests that count against their limits.
type Announced interface {
	// Announcements returns what other nodes should know, and MergeAnnounced adds what they do, by upstream ID.
	Announcements() map[string]dispatch.Announcement
	MergeAnnounced(map[string]dispatch.Announcement)
	// Started returns the requests to limited upstreams since the last call. CountStarted counts those of a node against the
	// limits when this node is the hub.
	Started() map[string]int
	CountStarted(map[string]int)
	// BeginTerm is called when this node begins to serve as the hub, or may have been replaced as it for a while.
	BeginTerm()
	// SetHub is called with each answer of the hub: whether its grants keep the limits, and the number of nodes.
	SetHub(dividesLimits bool, nodes int)
}

// Options configures an Exchange.
type Options struct {
	Fleet *fleet.Fleet
	Peers peer.Caller
	// OwnLoads returns this node's own load, Wants the slots that it wants, and Evidence the evidence from its runs since
	// the last call. ApplyTotals receives the hub's answer: the totals, this node's report that they include, the
	// outliers, and the granted slots.
	OwnLoads    func() map[string]dispatch.Load
	Wants       func() map[string]dispatch.Want
	Evidence    func() map[string]outlier.Evidence
	ApplyTotals func(totals, reported map[string]dispatch.Load, outliers map[string]float64, granted dispatch.Grant)
	// AddEvidence adds the evidence that a node reported, and Outliers returns the outliers by the evidence of all nodes.
	// Both are used when this node is the hub.
	AddEvidence func(map[string]outlier.Evidence)
	Outliers    func() map[string]float64
	// Speeds holds how long work takes on uneven upstreams; nil if it is not exchanged.
	Speeds Speeds
	// Grants returns a node's part of the free slots, for what it wants and what all nodes want together. grantedSlots
	// holds the slots that were granted and are not yet reported as runs; warm reports whether the node had a run on an
	// upstream within dispatch.WarmConnectionTime. It is used when this node is the hub.
	Grants func(service string, want, all dispatch.Want, totals map[string]dispatch.Load, grantedSlots map[string]int, warm func(string) bool) dispatch.Grant
	// Revisions returns the revisions of this node's copies of the store, and HubAnswered receives those of the hub.
	// HubAnswered is called with an empty hub after an exchange that failed.
	Revisions   func() map[string]int64
	HubAnswered func(hub string, revisions map[string]int64)
	// EntriesAge returns the age of this node's copy of the members' entries; nil if it is always current.
	EntriesAge func() time.Duration
	// Ages returns the ages of this node's copies of the store, and ApplyAges receives those of the hub, before HubAnswered is called, with the
	// moment at which the exchange was begun, by package boottime. Both are nil if ages are not kept.
	Ages      func() map[string]keyvalidity.Age
	ApplyAges func(begun time.Duration, ages map[string]keyvalidity.Age)
	// HubLate is called when another node has not answered as the hub within hubLate, with the node that would be the hub next, "" if there is
	// none.
	HubLate func(next string)
	// HubIntroduced is called when a hub has introduced itself to this node.
	HubIntroduced func(hub fleet.Member)
	// FailedRuns holds the failed runs of all nodes; nil if they are not exchanged.
	FailedRuns *controller.Controller
	// Streams holds the software versions of streams; nil if they are not exchanged.
	Streams *streamversions.Controller
	// Announced holds what upstreams say of themselves; nil if it is not exchanged.
	Announced Announced
	// Waiting returns what waits of this node's jobs on routes with a limit on waiting tokens, by job; nil if it is not
	// reported.
	Waiting func() map[string]quota.Waiting
	// Retiring returns the nodes on VMs to be emptied, which this node reads from the store when it is the hub.
	Retiring func() []string
	// CutOff reports whether this node reaches no upstream of some service itself; nil if it is not known.
	CutOff func() bool
	// Customers keeps the limits of customers over all nodes; nil if there are no limits.
	Customers Customers
	// Store paces this node's calls to the store by what the hub finds of its own; nil if they are not paced.
	Store *storecalls.Gate
	// Draining reports whether the node accepts no new callers.
	Draining func() bool
	Log      *eventlog.Log
	Metrics  *Metrics
}

// Exchange reports this node's load to the hub and serves the reports of others when this node is the hub.
type Exchange struct {
	options Options
	hub     hub
	// lastHub is the hub that answered last. It, cachedHub and unanswered are used by one exchange at a time.
	lastHub   string
	cachedHub hubChoice
	// unanswered is the number of exchanges without an answer since the last one with.
	unanswered int
	// currentHub is the hub that answered the last exchange, or nil.
	currentHub atomic.Pointer[answeringHub]
	records    recordSync
	limited    limitedRequests
	// index is the hub's index of upstreams.
	index upstreamIndex
	// cutOff are the nodes that reach no upstream of some service, by the hub's answer of revision cutOffSeen.
	cutOff     atomic.Pointer[[]string]
	cutOffSeen int64

	mu sync.Mutex
	// running is the exchange in progress, or nil; next is the one that follows it at once, or nil.
	running, next *exchangeCall
}

// exchangeCall is one exchange that callers may wait for.
type exchangeCall struct {
	done     chan struct{}
	answered bool
	// busy is set when the node has runs or wants slots.
	busy bool
}

// New returns an exchange.
func New(o Options) *Exchange {
	e := &Exchange{options: o}
	e.hub = newHub(&e.options)
	return e
}

// Run exchanges load with the hub at regular intervals until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		call := e.requestExchange(ctx)
		select {
		case <-call.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		interval := idleInterval
		if call.busy {
			interval = max(busyInterval, time.Duration(e.options.Fleet.Size())*intervalPerMember)
		}
		_ = wait.Sleep(ctx, interval+rand.N(interval/5))
	}
	return ctx.Err()
}

// Request starts an exchange without waiting for it.
func (e *Exchange) Request(ctx context.Context) { e.requestExchange(context.WithoutCancel(ctx)) }

// ExchangeNow exchanges load with the hub at once and reports whether the hub answered within askTimeout.
func (e *Exchange) ExchangeNow(ctx context.Context) bool {
	call := e.requestExchange(context.WithoutCancel(ctx))
	t := time.NewTimer(askTimeout)
	defer t.Stop()
	select {
	case <-call.done:
		return call.answered
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// requestExchange starts an exchange whose report contains the present state. The report of an exchange in progress may
// lack it, so another exchange follows it, which all calls of requestExchange meanwhile share.
func (e *Exchange) requestExchange(ctx context.Context) *exchangeCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running != nil {
		if e.next == nil {
			e.next = &exchangeCall{done: make(chan struct{})}
		}
		return e.next
	}
	e.running = &exchangeCall{done: make(chan struct{})}
	go e.runExchanges(ctx, e.running)
	return e.running
}

// runExchanges runs an exchange and those that were requested meanwhile.
func (e *Exchange) runExchanges(ctx context.Context, call *exchangeCall) {
	for call != nil {
		loads, wants := e.options.OwnLoads(), e.options.Wants()
		call.busy = len(loads)+len(wants) > 0
		call.answered = e.exchange(ctx, loads, wants)
		close(call.done)
		e.mu.Lock()
		call, e.running, e.next = e.next, e.next, nil
		e.mu.Unlock()
	}
}

// answeringHub is what the last answer of a hub says of it.
type answeringHub struct {
	name              string
	sweeps, successor bool
	retiring          []string
}

// IsHub reports whether this node is the hub by its last exchange.
func (e *Exchange) IsHub() bool {
	hub := e.currentHub.Load()
	return hub != nil && hub.name == e.options.Fleet.Self().Name
}

// Hub returns the node that last answered as the hub, "" if the last exchange failed.
func (e *Exchange) Hub() string {
	if hub := e.currentHub.Load(); hub != nil {
		return hub.name
	}
	return ""
}

// HubSweeps reports whether another node is the hub and reads the heads of all jobs and the VMs to be emptied for this one.
func (e *Exchange) HubSweeps() bool {
	hub := e.currentHub.Load()
	return hub != nil && hub.sweeps && hub.name != e.options.Fleet.Self().Name
}

// IsSuccessor reports whether this node would be the hub next, as the hub's last answer says.
func (e *Exchange) IsSuccessor() bool {
	hub := e.currentHub.Load()
	return hub != nil && hub.successor
}

// Retiring returns the nodes on VMs to be emptied, as the hub's last answer says.
func (e *Exchange) Retiring() []string {
	if hub := e.currentHub.Load(); hub != nil {
		return hub.retiring
	}
	return nil
}

// CutOff returns the nodes that reach no upstream of some service themselves, as the hub's last answer says.
func (e *Exchange) CutOff() []string {
	if names := e.cutOff.Load(); names != nil {
		return *names
	}
	return nil
}

// hubChoice is the chosen hub and the time until which the choice is valid.
type hubChoice struct {
	hub   string
	until time.Time
}

// hubChoiceLifetime is how long a chosen hub is used before the hub is chosen again among the live nodes.
const hubChoiceLifetime = 200 * time.Millisecond

// chooseHub returns the hub: the first live node in the weighted rendezvous order, or "" if there is none.
func (e *Exchange) chooseHub(now time.Time) string {
	if now.Before(e.cachedHub.until) {
		return e.cachedHub.hub
	}
	e.cachedHub = hubChoice{until: now.Add(hubChoiceLifetime)}
	if ranked := rankedHubs(e.options.Fleet); len(ranked) > 0 {
		e.cachedHub.hub = ranked[0]
	}
	return e.cachedHub.hub
}

// rankedHubs returns the live nodes in the order in which they serve as the hub. A hub answers all nodes, which is more than
// the processors and links of weak nodes of a large deployment carry.
func rankedHubs(f *fleet.Fleet) []string { return rendezvous.RankedStrongFirst(hubKey, f.Weights()) }

// otherHubs returns the other live nodes in the order in which they serve as the hub.
func otherHubs(f *fleet.Fleet) []string {
	self := f.Self().Name
	return slices.DeleteFunc(rankedHubs(f), func(name string) bool { return name == self })
}

// OtherHubs returns the other live nodes in the order in which they serve as the hub.
func (e *Exchange) OtherHubs() []string { return otherHubs(e.options.Fleet) }

// hubAfter returns the other node that would be the hub if the given one were lost, or "" if there is none.
func (e *Exchange) hubAfter(hub string) string {
	for _, name := range e.OtherHubs() {
		if name != hub {
			return name
		}
	}
	return ""
}

// Joined reports whether a hub has answered, which also tells that other nodes are known.
func (e *Exchange) Joined() bool { return e.currentHub.Load() != nil }

// MayBeHub reports whether this node is among the first nodes in the order in which they serve as the hub. It is not until a
// hub has answered: the other nodes may not be known before.
func (e *Exchange) MayBeHub(first int) bool {
	if !e.Joined() {
		return false
	}
	ranked := rankedHubs(e.options.Fleet)
	return slices.Contains(ranked[:min(first, len(ranked))], e.options.Fleet.Self().Name)
}

// exchange sends a report to the hub, applies the answer, and returns whether there was one.
func (e *Exchange) exchange(ctx context.Context, loads map[string]dispatch.Load, wants map[string]dispatch.Want) bool {
	self := e.options.Fleet.Self()
	r := Report{Indexed: true, Index: e.index.revision, Node: self.Name, Incarnation: self.Incarnation, Draining: e.options.Draining(), Loads: loads, Wants: wants, Evidence: e.options.Evidence()}
	name := e.chooseHub(time.Now())
	if name == "" {
		return false
	}
	if e.options.Waiting != nil {
		r.Waiting = e.options.Waiting()
	}
	if e.options.CutOff != nil {
		r.CutOff, r.CutOffSeen = e.options.CutOff(), e.cutOffSeen
	}
	r.StoreReturned = e.options.Store.Returned()
	e.addAnnounced(&r)
	sentCustomers := e.addCustomers(&r, name)
	sentUpTo := e.records.addTo(&r, name, e.options.FailedRuns, e.options.Streams)
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if e.options.HubLate != nil && name != self.Name {
		late := time.AfterFunc(hubLate, func() { e.options.HubLate(e.hubAfter(name)) })
		defer late.Stop()
	}
	var totals Totals
	begun, bootBegun := time.Now(), e.ageClock()
	err := e.options.Peers.Call(callCtx, name, "Load.Report", r, &totals)
	e.options.Metrics.observeExchange(err == nil, time.Since(begun))
	if err != nil {
		if ctx.Err() == nil {
			e.options.Fleet.Suspect(name, suspectFor, err)
			e.cachedHub = hubChoice{}
			e.options.Store.HubReports(false, false)
			e.options.HubAnswered("", nil)
			e.searchHub(ctx)
		}
		e.currentHub.Store(nil)
		return false
	}
	e.applyAges(bootBegun, totals)
	if took := time.Since(begun); reach.Stalled(took, exchangeTimeout) {
		// This process did not run. Loads, grants and revisions may be as old as the call.
		e.options.Log.Notice("answer of the load hub read late, asking again", "hub", name, "ms", took.Milliseconds())
		return false
	}
	e.unanswered = 0
	e.options.Fleet.Heard(name)
	if name != e.lastHub {
		e.options.Log.Notice("load hub chosen", "hub", name, "before", e.lastHub)
		e.lastHub = name
	}
	if totals.IndexedLoads != nil {
		totals.Loads = e.index.expand(totals.IndexedLoads)
		e.applySlowness(totals.IndexedLoads)
	}
	e.currentHub.Store(&answeringHub{name, totals.Sweeps, totals.Successor, totals.Retiring})
	if totals.CutOffRevision != e.cutOffSeen {
		e.cutOffSeen = totals.CutOffRevision
		e.cutOff.Store(&totals.CutOff)
	}
	newHub := e.records.isNew(name, totals)
	e.records.answered(name, sentUpTo, totals)
	e.options.FailedRuns.Merge(e.records.hubProcess(), totals.FailedRuns)
	e.options.Streams.Add(e.records.hubProcess(), totals.Streams)
	e.applyAnnounced(totals, newHub)
	e.applyCustomers(sentCustomers, totals)
	e.options.ApplyTotals(totals.Loads, loads, totals.Outliers, totals.Grant)
	e.options.HubAnswered(name, totals.Revisions)
	e.options.Store.HubReports(totals.StoreDisrupted && name != self.Name, name != self.Name)
	e.options.Fleet.SetHubReport(totals.Silent, totals.Draining)
	if !totals.Unconfirmed && !slices.Contains(totals.Silent, self.Name) {
		e.options.Fleet.Confirm(begun, name == self.Name)
	}
	return true
}

// Receiver returns the net/rpc receiver by which this node serves as the hub.
func (e *Exchange) Receiver() *Receiver { return &Receiver{&e.hub} }

// Receiver is the net/rpc receiver "Load".
type Receiver struct{ hub *hub }

// Report stores a node's report and answers with the totals.
func (r *Receiver) Report(args Report, reply *Totals) error {
	r.hub.handleReport(args, reply, time.Now())
	r.hub.options.answerCustomers(args, reply)
	return nil
}
