// Package upstreams observes the upstreams. It polls those whose admission this node owns, determines the health of all
// from this node's runs and from their owners' replies, and writes the Upstreams section of the blackboard.
package upstreams

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/health"
	"trefoilplank.example/pkg/decision/placement"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// Error is the class of the errors of this package.
var Error = errs.Class("upstreams")

const (
	// loadInterval is the least time between load polls of one upstream; cache events are read at every second one. A
	// node that owns several upstreams polls each at an interval of intervalPerUpstream times their number, so that all
	// polls together take about 1.2 KB/s: a load poll takes 427 bytes, cache events 359 and the state 408.
	loadInterval        = 250 * time.Millisecond
	intervalPerUpstream = 650 * time.Millisecond
	stateInterval       = 5 * time.Second
	// steadyLoadInterval and steadyStateInterval are the poll intervals of a steady upstream: it is ready and runs only
	// what its owner admitted. Cache events are then read at every load poll. A failed run or an order to the engine
	// ends the longer intervals at once.
	steadyLoadInterval  = 10 * time.Second
	steadyStateInterval = 30 * time.Second
	// frequentPollTime is how long polls stay frequent after a cause whose effect may show later, such as an order to
	// load a model.
	frequentPollTime = 30 * time.Second
	probeTimeout     = time.Second
	// flushInterval bounds how often the section is written, since each write copies the map of up to 1,500
	// upstreams and wakes its readers. A change of health is written at once, a change of slots or models within
	// flushInterval, and a change of only the load, which no decision uses, within loadFlushInterval.
	flushInterval     = time.Second
	loadFlushInterval = 5 * time.Second
	// ownerHealthLifetime is how long the health reported by an owner is used without a new report.
	ownerHealthLifetime = 30 * time.Second
	// absenceTrust is the trust that a block is not cached when the cache events of an owned engine do not list it.
	absenceTrust = 0.9
)

// Options configures an Observer.
type Options struct {
	Self  string
	Board *blackboard.Board
	// Prober polls the owned upstreams; if it is nil, none is polled.
	Prober Prober
	// Runs returns the number of runs that this node, as admission owner, has admitted to an upstream. If it is nil, no
	// upstream counts as steady and all polls stay frequent.
	Runs func(upstream string) int
	// Log records changes of health; if it is nil, none are recorded.
	Log *explain.Log
	// Seed makes jitter repeatable; 0 selects a random seed.
	Seed uint64
}

// Observer tracks the health, load and cache contents of all upstreams. It is safe for concurrent use.
type Observer struct {
	Options
	owners Owners

	mu             sync.Mutex
	entries        map[string]*entry
	random         *rand.Rand
	flushRequested chan struct{}
	// loadChanged is set when the load of an upstream has changed since the section was written at publishedAt.
	loadChanged bool
	publishedAt time.Time
	// states gets a new revision whenever the result of States changes.
	states blackboard.Section[struct{}]
	// polledUpstreams counts the upstreams that this node polls.
	polledUpstreams atomic.Int64
}

// entry is what is known about one upstream.
type entry struct {
	tracker *health.Tracker
	status  blackboard.UpstreamStatus
	// published is the health in the section that was written last.
	published blackboard.UpstreamHealth
	cache     *placement.CacheIndex
	// ownerHealth is the health that the owner reported, and ownerHealthAt the time from which it applies.
	ownerHealth   blackboard.UpstreamHealth
	ownerHealthAt time.Time
	// engine is the last state read of an owned engine; nil while it is not known or the engine does not answer.
	engine *State
	// pollNow holds a value when the upstream must be polled now. Polls stay frequent until frequentUntil.
	pollNow       chan struct{}
	frequentUntil time.Time
	// stop ends polling; nil while another node owns the upstream.
	stop context.CancelFunc
}

// New returns an observer. It polls only while Run is running.
func New(o Options) *Observer {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Observer{Options: o, entries: map[string]*entry{}, random: rand.New(rand.NewPCG(o.Seed, 2)),
		flushRequested: make(chan struct{}, 1)}
}

// Run polls the owned upstreams and keeps the section up to date until ctx ends.
func (o *Observer) Run(ctx context.Context) error {
	var polls sync.WaitGroup
	defer polls.Wait()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		_, members := o.Board.Members.Get()
		_, config := o.Board.Config.Get()
		_, vms := o.Board.VMs.Get()
		o.sync(ctx, &polls)
		for again := true; again; {
			again = false
			select {
			case <-ctx.Done():
				return nil
			case <-o.Board.Members.Changed(members):
			case <-o.Board.Config.Changed(config):
			case <-o.Board.VMs.Changed(vms):
			case <-tick.C:
			case <-flush.C:
				again = true
				if o.flushDue() {
					o.publish()
				}
			}
		}
	}
}

// sync applies changes of register, members and VM list: it starts and stops polling and marks leaving upstreams.
func (o *Observer) sync(ctx context.Context, polls *sync.WaitGroup) {
	now := time.Now()
	vms := o.Board.VMs.Value()
	register := o.Board.Config.Value().Register.Upstreams
	o.mu.Lock()
	publishNow := o.publishedAt.IsZero()
	for _, u := range register {
		e := o.entry(u.Name)
		o.recordHealth(u.Name, e, e.tracker.SetLeaving(now, u.Leaving || vms[u.VM] == blackboard.VMLeaving, leavingReason(u)))
		o.recordHealth(u.Name, e, e.tracker.Advance(now))
		owned := o.Prober != nil && o.owners.Of(&o.Board.Members, u.Name) == o.Self
		switch {
		case owned && e.stop == nil:
			pollCtx, stop := context.WithCancel(ctx)
			e.stop = stop
			polls.Go(func() { o.poll(pollCtx, u) })
		case !owned && e.stop != nil:
			e.stop()
			e.stop = nil
			o.setEngine(e, nil)
		}
		publishNow = publishNow || e.health(now) != e.published
	}
	if len(o.entries) > len(register) {
		publishNow = true
		o.dropUnlisted(register)
	}
	o.mu.Unlock()
	if publishNow {
		o.publish()
	}
}

// dropUnlisted drops the entries of upstreams that the register does not list; o.mu is held.
func (o *Observer) dropUnlisted(register []api.Upstream) {
	listed := make(map[string]bool, len(register))
	for i := range register {
		listed[register[i].Name] = true
	}
	for name, e := range o.entries {
		if !listed[name] {
			if e.stop != nil {
				e.stop()
				o.setEngine(e, nil)
			}
			delete(o.entries, name)
		}
	}
}

func leavingReason(u api.Upstream) string {
	if u.Leaving {
		return "the register marks the upstream as leaving"
	}
	return "its VM is leaving"
}

// entry returns the entry of an upstream and creates it if needed; o.mu is held.
func (o *Observer) entry(name string) *entry {
	e, ok := o.entries[name]
	if !ok {
		e = &entry{tracker: health.New(time.Now()), cache: placement.NewCacheIndex(), pollNow: make(chan struct{}, 1)}
		o.entries[name] = e
	}
	return e
}

// recordHealth logs the new health of an upstream if changed is set, and resets its cache index if it was ejected. It
// returns changed; o.mu is held.
func (o *Observer) recordHealth(name string, e *entry, changed bool) bool {
	if !changed {
		return false
	}
	state, _, reason := e.tracker.State()
	if state == blackboard.HealthEjected {
		// An upstream that crashed has probably lost its cache.
		e.cache.Reset()
	}
	if o.Log != nil {
		o.Log.Record(explain.Entry{Upstream: name, Decision: "health", Reason: reason, Values: map[string]any{"health": string(state)}})
	}
	return true
}

// publish writes the Upstreams section.
func (o *Observer) publish() {
	now := time.Now()
	o.mu.Lock()
	out := make(map[string]blackboard.UpstreamStatus, len(o.entries))
	for name, e := range o.entries {
		st := e.currentStatus(now)
		e.published = st.Health
		out[name] = st
	}
	o.loadChanged, o.publishedAt = false, now
	o.mu.Unlock()
	o.Board.Upstreams.Set(out)
}

// flushDue reports whether the section must be written now because of changes that were allowed to wait.
func (o *Observer) flushDue() bool {
	select {
	case <-o.flushRequested:
		return true
	default:
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loadChanged && time.Since(o.publishedAt) >= loadFlushInterval
}

// health returns the health of the upstream that the section gets: the worse of this node's and the owner's.
func (e *entry) health(now time.Time) blackboard.UpstreamHealth {
	own, _, _ := e.tracker.State()
	if now.Sub(e.ownerHealthAt) < ownerHealthLifetime && health.Worse(e.ownerHealth, own) {
		return e.ownerHealth
	}
	return own
}

// currentStatus returns the status of the upstream, with the worse health of this node's and the owner's: the one that
// allows less work.
func (e *entry) currentStatus(now time.Time) blackboard.UpstreamStatus {
	st := e.status
	st.Health, st.Since, st.Reason = e.tracker.State()
	if now.Sub(e.ownerHealthAt) < ownerHealthLifetime && health.Worse(e.ownerHealth, st.Health) {
		st.Health, st.Since, st.Reason = e.ownerHealth, e.ownerHealthAt, "judgement of its admission owner"
	}
	return st
}

// scheduleFlush requests a write of the section after the status of an upstream changed: within flushInterval when slots
// or models changed, within loadFlushInterval when only the load did; o.mu is held.
func (o *Observer) scheduleFlush(before, after blackboard.UpstreamStatus) {
	o.loadChanged = true
	if before.Slots == after.Slots && !before.ReportedAt.IsZero() && slices.Equal(before.LoadedModels, after.LoadedModels) &&
		maps.Equal(before.ModelVersions, after.ModelVersions) {
		return
	}
	select {
	case o.flushRequested <- struct{}{}:
	default:
	}
}

// Report records the result of a run as evidence of the upstream's health. A failed run also causes a poll at once.
func (o *Observer) Report(upstream string, r serving.RunResult) {
	o.mu.Lock()
	e := o.entry(upstream)
	changed := o.recordHealth(upstream, e, e.tracker.RecordRun(time.Now(), r, o.random))
	if r != serving.RunOK && r != serving.RunCancelled && r != "" {
		e.requestPoll()
	}
	o.mu.Unlock()
	if changed {
		o.publish()
	}
}

// StoreOwnerStatus stores the owner's observation of an upstream that this node does not poll.
func (o *Observer) StoreOwnerStatus(upstream string, s blackboard.UpstreamStatus) {
	now := time.Now()
	o.mu.Lock()
	e := o.entry(upstream)
	if e.stop != nil {
		o.mu.Unlock()
		return
	}
	changed := s.Health != e.ownerHealth
	e.ownerHealth = s.Health
	if changed || s.Health != blackboard.HealthSlowStart {
		e.ownerHealthAt = now
	}
	if !s.ReportedAt.IsZero() {
		s.Health, s.Since, s.Reason = "", time.Time{}, ""
		before := e.status
		e.status = s
		o.scheduleFlush(before, s)
	}
	o.mu.Unlock()
	if changed {
		o.publish()
	}
}

// Cached returns the estimated number of leading blocks of a prompt that the upstream has cached, and the trust in that
// estimate between 0 and 1.
func (o *Observer) Cached(upstream string, hashes []uint64) (blocks int, trust float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.entries[upstream]
	if !ok {
		return 0, 0
	}
	blocks, trust = e.cache.Match(time.Now(), hashes)
	if blocks == 0 && e.stop != nil && e.cache.LastSeq() > 0 {
		return 0, absenceTrust
	}
	return blocks, trust
}

// RecordPrompt records that the upstream has just run a prompt and so has its blocks cached.
func (o *Observer) RecordPrompt(upstream string, hashes []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entry(upstream).cache.AddBlocks(time.Now(), hashes)
}

// StoreOwnerCached stores the owner's answer to Cached for a prompt: the first blocks are cached, the others are not. The
// owner's trust is ignored.
func (o *Observer) StoreOwnerCached(upstream string, hashes []uint64, blocks int, _ float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.entry(upstream).cache
	blocks = min(max(blocks, 0), len(hashes))
	c.AddBlocks(time.Now(), hashes[:blocks])
	c.RemoveUnlisted(time.Now(), hashes[blocks:])
}
