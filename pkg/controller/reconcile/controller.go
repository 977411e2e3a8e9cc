// Package reconcile drives the engines of the fleet towards the register: it reads their state, plans with
// pkg/decision/reconcile and sends fenced orders.
//
// Upstreams that share models form a group, and one node reconciles a group: the rendezvous choice over the live
// members. Two nodes that both believe to be chosen are kept apart by the order lease of each upstream and by
// the conditional update of each model's roll-out record.
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
	Begin(ctx context.Context, model, version string) error
}

// Options are the parts and bounds of a controller. Zero bounds take their defaults.
type Options struct {
	Node    string
	Board   *blackboard.Board
	Store   store.Store
	Engines Engines
	// Weights may be nil when the platform has no weight store; loads then begin at once.
	Weights Weights
	// Peers, when set, tells the admission owner of an engine of each order, so that it reads the state soon.
	Peers peer.Caller
	// Look has this node read the state of an engine that it owns; nil does nothing.
	Look func(upstream string)
	// Explain may be nil.
	Explain *explain.Log
	Now     func() time.Time

	// Interval is the time between passes while changes are in progress, IdleInterval while there are none.
	Interval, IdleInterval time.Duration
	StateTimeout           time.Duration
	OrderTimeout           time.Duration
	LeaseDuration          time.Duration
	// ClockRateBound is the part by which two nodes' clocks may differ in rate.
	ClockRateBound float64
	// OrderInFlight is the longest time that a sent order can be on its way.
	OrderInFlight time.Duration
	LoadTimeout   time.Duration
	// Probation is how long a replica must serve a version before the version counts as proven.
	Probation time.Duration
	// StateMaxAge is how long the last state of an unreachable engine is used.
	StateMaxAge            time.Duration
	FailureLimit           int
	BackoffMin, BackoffMax time.Duration
}

// withDefaults fills in the bounds.
func (o Options) withDefaults() Options {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&o.Interval, 2*time.Second)
	// 500 engines read every 30 s are 17 reads/s at one node, about 0.3 % of a core.
	set(&o.IdleInterval, 30*time.Second)
	set(&o.StateTimeout, 2*time.Second)
	set(&o.OrderTimeout, 5*time.Second)
	set(&o.LeaseDuration, 15*time.Second)
	set(&o.OrderInFlight, 10*time.Second)
	set(&o.LoadTimeout, 10*time.Minute)
	set(&o.Probation, 30*time.Second)
	set(&o.StateMaxAge, time.Minute)
	set(&o.BackoffMin, 5*time.Second)
	set(&o.BackoffMax, 5*time.Minute)
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

// Controller reconciles the groups of one node. Run or Sync must be called by one goroutine; Status by any.
type Controller struct {
	Options
	leases   *leases
	rollouts *rollouts
	engines  map[string]*observed
	// owned are the groups that this node reconciled in the last pass, by key.
	owned map[string]bool
	// live are the nodes that shared the groups in the last pass.
	live []string
	// leased is set when the last pass acquired an order lease.
	leased bool
	// reads is the number of engines that the last pass read itself.
	reads int
	// upstreamOwners are the nodes whose reports on an engine count.
	upstreamOwners upstreams.Owners

	mu   sync.Mutex
	view view
	// reports are the last ones of each node, and news has an entry after one that brought a change.
	reports map[string]*report
	news    chan struct{}
}

var _ status.Provider = (*Controller)(nil)

// New returns a controller that holds no lease.
func New(o Options) *Controller {
	o = o.withDefaults()
	return &Controller{
		Options:  o,
		leases:   newLeases(o.Node, o.Store, o.Now, o.LeaseDuration, o.ClockRateBound, o.OrderInFlight),
		rollouts: &rollouts{store: o.Store, cache: map[string]*cachedRollout{}},
		engines:  map[string]*observed{}, owned: map[string]bool{}, view: newView(),
		reports: map[string]*report{}, news: make(chan struct{}, 1),
	}
}

// releaseTimeout bounds the release of leases at the end of Run; an unreleased lease only makes a successor wait.
const releaseTimeout = 2 * time.Second

// stateCost stretches the idle passes of a node that reads the states of many engines itself, 385 bytes each, so that
// they take at most 1.6 KB/s. States that the admission owners report cost no reads.
const stateCost = 240 * time.Millisecond

// Run reconciles until ctx ends, and then gives up its leases.
func (c *Controller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_, configRevision := c.Board.Config.Get()
		_, memberRevision := c.Board.Members.Get()
		busy := c.Sync(ctx)
		if c.leased {
			// The second pass reads the state again under the new lease and sends the order. It comes once, so that
			// two nodes that take leases from each other do not spin.
			busy = c.Sync(ctx)
		}
		interval := max(c.IdleInterval, time.Duration(c.reads)*stateCost)
		if busy {
			interval = c.Interval
		}
		c.wait(ctx, interval, configRevision, memberRevision)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	for _, name := range sortedNames(c.leases.held) {
		c.release(ctx, name)
	}
}

// wait returns after the interval, at a new configuration, or when the set of nodes that share the groups changes.
// Heartbeats change the members section all the time and are no reason for a pass.
func (c *Controller) wait(ctx context.Context, interval time.Duration, configRevision, memberRevision int64) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	// Reports of many owners come one by one; a pass follows the first after Interval.
	var news <-chan struct{}
	settled := time.NewTimer(min(c.Interval, interval))
	defer settled.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-settled.C:
			news = c.news
		case <-news:
			return
		case <-c.Board.Config.Changed(configRevision):
			return
		case <-c.Board.Members.Changed(memberRevision):
			_, memberRevision = c.Board.Members.Get()
			if !slices.Equal(c.liveNodes(), c.live) {
				return
			}
		}
	}
}

// Sync makes one idempotent pass and reports whether changes are in progress.
func (c *Controller) Sync(ctx context.Context) (busy bool) {
	c.leased = false
	cfg := c.Board.Config.Value()
	c.live = c.liveNodes()
	var mine []group
	for _, g := range groupsOf(cfg.Register) {
		if rendezvous.Owner("reconcile/"+g.key, c.live) == c.Node {
			mine = append(mine, g)
		}
	}
	c.follow(ctx, mine)
	c.observe(ctx, mine)
	next := newView()
	for _, g := range mine {
		if c.syncGroup(ctx, g, &next) {
			busy = true
		}
	}
	c.mu.Lock()
	next.carry(c.view, c.Now())
	c.view = next
	c.mu.Unlock()
	return busy
}

// liveNodes returns the live members that do not drain. A node that drains hands its groups over.
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

// follow takes a new set of groups over: leases of groups that are gone are released, and records of groups
// that were not reconciled here in the last pass are read again.
func (c *Controller) follow(ctx context.Context, mine []group) {
	owned, upstreams := map[string]bool{}, map[string]bool{}
	for _, g := range mine {
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

// readAdapters reads which adapter versions earlier owners ordered, and reports whether it could.
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

// inFlight reports whether an order without an answer may still reach the upstream.
func (c *Controller) inFlight(upstream string) bool {
	e := c.engines[upstream]
	return e != nil && e.pending != nil && e.pending.unknown && c.Now().Before(e.pending.sent.Add(c.OrderInFlight))
}

func (c *Controller) release(ctx context.Context, upstream string) {
	if c.inFlight(upstream) {
		return
	}
	if err := c.leases.release(ctx, upstream); err != nil {
		klog.V(1).InfoS("Order lease not released", "upstream", upstream, "err", err)
	}
}

// group is a set of engines that share models, with those models.
type group struct {
	// key is the first name of the group's models.
	key       string
	models    []api.Model
	upstreams []api.Upstream
	adapters  []api.Adapter
}

// groupsOf splits the engines of a register into groups.
func groupsOf(r api.Register) []group {
	root := map[string]string{}
	find := func(m string) string {
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
			a, b := find(u.Models[0]), find(m)
			// The smaller name becomes the root, so that the key does not depend on the order of upstreams.
			root[max(a, b)] = min(a, b)
		}
	}
	index := map[string]int{}
	var groups []group
	at := func(model string) *group {
		key := find(model)
		if _, ok := index[key]; !ok {
			index[key] = len(groups)
			groups = append(groups, group{key: key})
		}
		return &groups[index[key]]
	}
	for _, m := range r.Models {
		g := at(m.Name)
		g.models = append(g.models, m)
	}
	for _, u := range r.Upstreams {
		if u.Kind == api.UpstreamEngine && len(u.Models) > 0 && root[u.Models[0]] != "" {
			g := at(u.Models[0])
			g.upstreams = append(g.upstreams, u)
		}
	}
	for _, a := range r.Adapters {
		if root[a.Model] != "" {
			g := at(a.Model)
			g.adapters = append(g.adapters, a)
		}
	}
	return groups
}
