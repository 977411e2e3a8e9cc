// Package reconcile brings the engines of the fleet to the state that the register describes: it reads their state,
// plans with pkg/decision/reconcile and sends fenced orders.
//
// Upstreams that share models form a group, and one node reconciles a group: its rendezvous owner among the live
// members. When two nodes both consider themselves the owner, the order lease of each upstream and the conditional
// update of each model's roll-out record prevent conflicting orders.
package reconcile

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/upstreams"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/operator/status"
)

// Weights starts weight transfers; *weights.Client implements it.
type Weights interface {
	RequestTransfer(ctx context.Context, model, version string) error
}

// Options holds the dependencies and limits of a Controller. Zero limits take their defaults.
type Options struct {
	Node    string
	Board   *blackboard.Board
	Store   store.Store
	Engines Engines
	// Weights may be nil when the platform has no weight store; loads then begin at once.
	Weights Weights
	// Peers, when set, is used to notify the admission owner of an engine of each order, so that it reads the state soon.
	Peers peer.Caller
	// PollNow makes this node read the state of an engine that it owns soon; it may be nil.
	PollNow func(upstream string)
	// Explain may be nil.
	Explain *explain.Log
	Now     func() time.Time

	// Interval is the time between passes while changes are in progress, and IdleInterval otherwise.
	Interval, IdleInterval time.Duration
	StateTimeout           time.Duration
	OrderTimeout           time.Duration
	LeaseDuration          time.Duration
	// ClockRateBound is the fraction by which the clocks of two nodes may differ in rate.
	ClockRateBound float64
	// OrderInFlight is the longest time that a sent order takes to arrive.
	OrderInFlight time.Duration
	LoadTimeout   time.Duration
	// Probation is how long a replica must serve a version before the version counts as proven.
	Probation time.Duration
	// StateMaxAge is how long the last state of an unreachable engine is used.
	StateMaxAge time.Duration
	// FailureLimit is the number of failures that stops the roll-out of a version.
	FailureLimit           int
	BackoffMin, BackoffMax time.Duration
}

// withDefaults returns o with defaults for zero limits.
func (o Options) withDefaults() Options {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&o.Interval, 2*time.Second)
	// Reading 500 engines every 30 s, 17 reads/s, takes about 0.3 % of a core. Above 125 engines idleTimePerRead
	// lengthens the interval.
	setDefault(&o.IdleInterval, 30*time.Second)
	setDefault(&o.StateTimeout, 2*time.Second)
	setDefault(&o.OrderTimeout, 5*time.Second)
	setDefault(&o.LeaseDuration, 15*time.Second)
	setDefault(&o.OrderInFlight, 10*time.Second)
	setDefault(&o.LoadTimeout, 10*time.Minute)
	setDefault(&o.Probation, 30*time.Second)
	setDefault(&o.StateMaxAge, time.Minute)
	setDefault(&o.BackoffMin, 5*time.Second)
	setDefault(&o.BackoffMax, 5*time.Minute)
	if o.ClockRateBound == 0 {
		// Clocks of VMs drift by at most 500 ppm; the margin covers a clock that is being slewed.
		o.ClockRateBound = 0.01
	}
	if o.FailureLimit == 0 {
		o.FailureLimit = 2
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Controller reconciles the groups that a node owns. Only one goroutine may call Run or Sync; any may call Status.
type Controller struct {
	Options
	leases   *leases
	rollouts *rollouts
	engines  map[string]*engineStatus
	// owned holds the keys of the groups that this node reconciled in the last pass. The value is false while the
	// adapter versions of the group's engines could not be read.
	owned map[string]bool
	// lastLive is the result of liveNodes in the last pass, over which the groups were distributed.
	lastLive []string
	// nextPassNow is set when the next pass must follow at once, to read an engine's state under a new order lease.
	nextPassNow bool
	// stateReads is the number of engines whose state the last pass read itself.
	stateReads int
	// upstreamOwners returns the admission owner of an engine, whose reports on it are used.
	upstreamOwners upstreams.Owners

	mu sync.Mutex
	// lastView is the view of the last pass.
	lastView statusView
	// reports holds the last report of each node. reportChanged is signalled after a report with a change.
	reports       map[string]*nodeReport
	reportChanged chan struct{}
}

var _ status.Provider = (*Controller)(nil)

// New returns a controller that holds no lease.
func New(o Options) *Controller {
	o = o.withDefaults()
	return &Controller{
		Options:  o,
		leases:   newLeases(o.Node, o.Store, o.Now, o.LeaseDuration, o.ClockRateBound, o.OrderInFlight),
		rollouts: &rollouts{store: o.Store, cache: map[string]*cachedRollout{}},
		engines:  map[string]*engineStatus{}, owned: map[string]bool{}, lastView: newStatusView(),
		reports: map[string]*nodeReport{}, reportChanged: make(chan struct{}, 1),
	}
}

// releaseTimeout bounds the release of leases at the end of Run. A successor must wait for a lease that is not released.
const releaseTimeout = 2 * time.Second

// idleTimePerRead is the least time between idle passes per state that the node reads itself, so that these reads of
// 385 bytes take at most 1.6 KB/s. States reported by admission owners need no reads.
const idleTimePerRead = 240 * time.Millisecond

// Run reconciles until ctx ends, and then releases its leases.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_, configRevision := c.Board.Config.Get()
		_, memberRevision := c.Board.Members.Get()
		busy := c.Sync(ctx)
		if c.nextPassNow {
			// The second pass reads the state again under the new lease and sends the order. There is only one, so that
			// two nodes that take leases from each other do not loop without a pause.
			busy = c.Sync(ctx)
		}
		interval := max(c.IdleInterval, time.Duration(c.stateReads)*idleTimePerRead)
		if busy {
			interval = c.Interval
		}
		c.waitForPass(ctx, interval, configRevision, memberRevision)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	for _, name := range sortedNames(c.leases.held) {
		c.release(ctx, name)
	}
}

// waitForPass returns after the interval, at a new configuration, after a changed report, or when the result of
// liveNodes changes. Heartbeats also change the Members section, but need no pass.
func (c *Controller) waitForPass(ctx context.Context, interval time.Duration, configRevision, memberRevision int64) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	// Many owners may report in a short time, so a changed report starts a pass only once Interval is over.
	var reportChanged <-chan struct{}
	reportDelay := time.NewTimer(min(c.Interval, interval))
	defer reportDelay.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-reportDelay.C:
			reportChanged = c.reportChanged
		case <-reportChanged:
			return
		case <-c.Board.Config.Changed(configRevision):
			return
		case <-c.Board.Members.Changed(memberRevision):
			_, memberRevision = c.Board.Members.Get()
			if !slices.Equal(c.liveNodes(), c.lastLive) {
				return
			}
		}
	}
}

// Sync makes one idempotent pass over the groups of this node and reports whether changes are in progress.
func (c *Controller) Sync(ctx context.Context) (busy bool) {
	c.nextPassNow = false
	cfg := c.Board.Config.Value()
	c.lastLive = c.liveNodes()
	var ownGroups []group
	for _, g := range groupsOf(cfg.Register) {
		if rendezvous.Owner("reconcile/"+g.key, c.lastLive) == c.Node {
			ownGroups = append(ownGroups, g)
		}
	}
	c.setGroups(ctx, ownGroups)
	c.observeEngines(ctx, ownGroups)
	next := newStatusView()
	for _, g := range ownGroups {
		if c.syncGroup(ctx, g, &next) {
			busy = true
		}
	}
	c.mu.Lock()
	next.keepTimes(c.lastView, c.Now())
	c.lastView = next
	c.mu.Unlock()
	return busy
}

// liveNodes returns the sorted names of the live members that do not drain; a draining node hands over its groups.
func (c *Controller) liveNodes() []string {
	var names []string
	for name, m := range c.Board.Members.Value().Live {
		if !m.Draining && name != c.Node {
			names = append(names, name)
		}
	}
	if !c.Board.Draining.Value() {
		names = append(names, c.Node)
	}
	slices.Sort(names)
	return names
}

// setGroups sets the groups that this node reconciles. It drops the cached records of groups that are new here, reads
// their adapter versions, and releases the leases of engines that are in no group of this node any more.
func (c *Controller) setGroups(ctx context.Context, ownGroups []group) {
	owned, upstreams := map[string]bool{}, map[string]bool{}
	for _, g := range ownGroups {
		owned[g.key] = true
		for _, u := range g.upstreams {
			upstreams[u.Name] = true
		}
		if !c.owned[g.key] {
			for _, m := range g.models {
				c.rollouts.forget(m.Name)
			}
			owned[g.key] = c.readAdapters(ctx, g)
		}
	}
	c.owned = owned
	for _, name := range sortedNames(c.leases.held) {
		if !upstreams[name] && !c.inFlight(name) {
			c.release(ctx, name)
		}
	}
	for name := range c.engines {
		if !upstreams[name] && c.leases.held[name] == nil {
			delete(c.engines, name)
		}
	}
}

// readAdapters reads the adapter versions that earlier owners ordered, if the group has versioned adapters. It returns
// false if the read failed.
func (c *Controller) readAdapters(ctx context.Context, g group) bool {
	if !slices.ContainsFunc(g.adapters, func(a api.Adapter) bool { return a.Version != "" }) {
		return true
	}
	err := c.leases.readAdapters(ctx)
	if err != nil {
		klog.V(1).InfoS("Adapter versions not read", "group", g.key, "err", err)
	}
	return err == nil
}

// inFlight reports whether an order whose call failed may still reach the upstream.
func (c *Controller) inFlight(upstream string) bool {
	e := c.engines[upstream]
	return e != nil && e.pending != nil && e.pending.unknown && c.Now().Before(e.pending.sent.Add(c.OrderInFlight))
}

// release releases the order lease of an upstream unless an order may still be in flight.
func (c *Controller) release(ctx context.Context, upstream string) {
	if c.inFlight(upstream) {
		return
	}
	if err := c.leases.release(ctx, upstream); err != nil {
		klog.V(1).InfoS("Order lease not released", "upstream", upstream, "err", err)
	}
}

// group is a set of engines connected by shared models, with these models and their adapters.
type group struct {
	// key is the smallest name of the group's models.
	key       string
	models    []api.Model
	upstreams []api.Upstream
	adapters  []api.Adapter
}

// groupsOf splits the models, engines and adapters of a register into groups.
func groupsOf(r api.Register) []group {
	root := map[string]string{}
	findRoot := func(m string) string {
		for root[m] != m {
			m = root[m]
		}
		return m
	}
	for _, m := range r.Models {
		root[m.Name] = m.Name
	}
	for _, u := range r.Upstreams {
		for _, m := range u.Models {
			if _, known := root[m]; !known || root[u.Models[0]] == "" {
				continue
			}
			a, b := findRoot(u.Models[0]), findRoot(m)
			// The smaller name becomes the root, so that the key does not depend on the order of upstreams.
			root[max(a, b)] = min(a, b)
		}
	}
	index := map[string]int{}
	var groups []group
	groupOf := func(model string) *group {
		key := findRoot(model)
		if _, ok := index[key]; !ok {
			index[key] = len(groups)
			groups = append(groups, group{key: key})
		}
		return &groups[index[key]]
	}
	for _, m := range r.Models {
		g := groupOf(m.Name)
		g.models = append(g.models, m)
	}
	for _, u := range r.Upstreams {
		if u.Kind == api.UpstreamEngine && len(u.Models) > 0 && root[u.Models[0]] != "" {
			g := groupOf(u.Models[0])
			g.upstreams = append(g.upstreams, u)
		}
	}
	for _, a := range r.Adapters {
		if root[a.Model] != "" {
			g := groupOf(a.Model)
			g.adapters = append(g.adapters, a)
		}
	}
	return groups
}
