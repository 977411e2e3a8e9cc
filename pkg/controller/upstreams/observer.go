// Package upstreams observes the upstreams: it polls those whose admission this node owns, judges the health of
// all by the runs of this node and by their owners' replies, and writes the Upstreams section.
package upstreams

import (
	"context"
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
	// node that owns more upstreams polls each less often, every pollCost for each of them, so that all polls together
	// stay at about 1.2 KB/s: a load poll takes 427 bytes, cache events 359 and the state 408.
	loadInterval  = 250 * time.Millisecond
	pollCost      = 650 * time.Millisecond
	stateInterval = 5 * time.Second
	// steadyLoad and steadyState are the intervals of an upstream that is ready and runs what its owner gave it; cache
	// events are then read at every load poll. A failed run or an order to the engine ends them at once.
	steadyLoad  = 10 * time.Second
	steadyState = 30 * time.Second
	// lookLife is how long polls stay frequent after a reason that may show only later, such as an order to load.
	lookLife     = 30 * time.Second
	probeTimeout = time.Second
	// flushInterval bounds how often the section is written, since each write copies the map of up to 1,500
	// upstreams and wakes its readers. A change of health is written at once, one of slots or models within
	// flushInterval, and one of the load alone, which no decision uses, within loadFlush.
	flushInterval = time.Second
	loadFlush     = 5 * time.Second
	// learnedLife is how long an owner's word on health holds without a new one.
	learnedLife = 30 * time.Second
	// eventTrust is the trust that a block is absent when the event log does not list it.
	eventTrust = 0.9
)

// Options are the collaborators of an Observer.
type Options struct {
	Self  string
	Board *blackboard.Board
	// Prober reads observations; nil polls nothing.
	Prober Prober
	// Runs returns the number of runs that this node, as admission owner, has admitted to an upstream; nil when it is
	// not known, so that polls are never stretched.
	Runs func(upstream string) int
	// Log records changes of health; nil records none.
	Log *explain.Log
	// Seed makes jitter repeatable; 0 takes a random one.
	Seed uint64
}

// Observer is safe for concurrent use.
type Observer struct {
	Options
	owners Owners

	mu      sync.Mutex
	entries map[string]*entry
	random  *rand.Rand
	dirty   chan struct{}
	// loadStale is set when the load of an upstream has changed since the section was written at publishedAt.
	loadStale   bool
	publishedAt time.Time
	// states changes whenever what States returns does.
	states blackboard.Section[struct{}]
	// polled counts the upstreams that this node polls.
	polled atomic.Int64
}

// entry is what is known of one upstream.
type entry struct {
	tracker *health.Tracker
	status  blackboard.UpstreamStatus
	// shown is the health that the section has.
	shown blackboard.UpstreamHealth
	cache *placement.CacheIndex
	// learned is the owner's word on health and learnedAt its time.
	learned   blackboard.UpstreamHealth
	learnedAt time.Time
	// engine is the last state read of an owned engine; nil while it is not known or the engine does not answer.
	engine *State
	// look has an entry when the upstream must be polled now, and lookUntil is until when polls stay frequent.
	look      chan struct{}
	lookUntil time.Time
	// stop ends polling; nil while another node owns the upstream.
	stop context.CancelFunc
}

// New returns an observer; Run must be running for polling.
func New(o Options) *Observer {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return &Observer{Options: o, entries: map[string]*entry{}, random: rand.New(rand.NewPCG(o.Seed, 2)),
		dirty: make(chan struct{}, 1)}
}

// Run polls owned upstreams and keeps the section current until ctx ends.
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

// sync follows register, members and VM list: it starts and stops polling and marks leaving upstreams.
func (o *Observer) sync(ctx context.Context, polls *sync.WaitGroup) {
	now := time.Now()
	vms := o.Board.VMs.Value()
	register := o.Board.Config.Value().Register.Upstreams
	o.mu.Lock()
	due := o.publishedAt.IsZero()
	for _, u := range register {
		e := o.entry(u.Name)
		o.changed(u.Name, e, e.tracker.SetLeaving(now, u.Leaving || vms[u.VM] == blackboard.VMLeaving, leavingReason(u)))
		o.changed(u.Name, e, e.tracker.Advance(now))
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
		due = due || e.health(now) != e.shown
	}
	if len(o.entries) > len(register) {
		due = true
		o.dropUnlisted(register)
	}
	o.mu.Unlock()
	if due {
		o.publish()
	}
}

// dropUnlisted forgets the upstreams that the register does not list; o.mu is held.
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

// entry returns the entry of an upstream; o.mu is held.
func (o *Observer) entry(name string) *entry {
	e, ok := o.entries[name]
	if !ok {
		e = &entry{tracker: health.New(time.Now()), cache: placement.NewCacheIndex(), look: make(chan struct{}, 1)}
		o.entries[name] = e
	}
	return e
}

// changed records a change of health and asks for a write of the section; o.mu is held.
func (o *Observer) changed(name string, e *entry, is bool) bool {
	if !is {
		return false
	}
	state, _, reason := e.tracker.State()
	if state == blackboard.HealthEjected {
		// An upstream that broke off has probably lost its cache.
		e.cache.Reset()
	}
	if o.Log != nil {
		o.Log.Record(explain.Entry{Upstream: name, Decision: "health", Reason: reason, Values: map[string]any{"health": string(state)}})
	}
	return true
}

// publish writes the section.
func (o *Observer) publish() {
	now := time.Now()
	o.mu.Lock()
	out := make(map[string]blackboard.UpstreamStatus, len(o.entries))
	for name, e := range o.entries {
		st := e.current(now)
		e.shown = st.Health
		out[name] = st
	}
	o.loadStale, o.publishedAt = false, now
	o.mu.Unlock()
	o.Board.Upstreams.Set(out)
}

// flushDue reports whether the section is to be written for changes that can wait.
func (o *Observer) flushDue() bool {
	select {
	case <-o.dirty:
		return true
	default:
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loadStale && time.Since(o.publishedAt) >= loadFlush
}

// health returns the judgement on the upstream that the section shows.
func (e *entry) health(now time.Time) blackboard.UpstreamHealth {
	own, _, _ := e.tracker.State()
	if now.Sub(e.learnedAt) < learnedLife && health.Worse(e.learned, own) {
		return e.learned
	}
	return own
}

// current joins this node's judgement with the owner's: the one that allows less work holds.
func (e *entry) current(now time.Time) blackboard.UpstreamStatus {
	st := e.status
	st.Health, st.Since, st.Reason = e.tracker.State()
	if now.Sub(e.learnedAt) < learnedLife && health.Worse(e.learned, st.Health) {
		st.Health, st.Since, st.Reason = e.learned, e.learnedAt, "judgement of its admission owner"
	}
	return st
}

// touch asks for a write of the section after the status of an upstream changed: at the next flush when slots or models
// did, and later when only the load did; o.mu is held.
func (o *Observer) touch(before, after blackboard.UpstreamStatus) {
	o.loadStale = true
	if before.Slots == after.Slots && !before.ReportedAt.IsZero() && slices.Equal(before.LoadedModels, after.LoadedModels) {
		return
	}
	select {
	case o.dirty <- struct{}{}:
	default:
	}
}

// Report takes the result of a run as evidence.
func (o *Observer) Report(upstream string, r serving.RunResult) {
	o.mu.Lock()
	e := o.entry(upstream)
	changed := o.changed(upstream, e, e.tracker.Report(time.Now(), r, o.random))
	if r != serving.RunOK && r != serving.RunCancelled && r != "" {
		e.lookNow()
	}
	o.mu.Unlock()
	if changed {
		o.publish()
	}
}

// Learn takes the owner's view of an upstream that this node does not poll.
func (o *Observer) Learn(upstream string, s blackboard.UpstreamStatus) {
	now := time.Now()
	o.mu.Lock()
	e := o.entry(upstream)
	if e.stop != nil {
		o.mu.Unlock()
		return
	}
	changed := s.Health != e.learned
	e.learned = s.Health
	if changed || s.Health != blackboard.HealthSlow {
		e.learnedAt = now
	}
	if !s.ReportedAt.IsZero() {
		s.Health, s.Since, s.Reason = "", time.Time{}, ""
		before := e.status
		e.status = s
		o.touch(before, s)
	}
	o.mu.Unlock()
	if changed {
		o.publish()
	}
}

// Cached returns the number of leading blocks of a prompt that the upstream is believed to have cached, and the
// trust in that.
func (o *Observer) Cached(upstream string, hashes []uint64) (blocks int, trust float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.entries[upstream]
	if !ok {
		return 0, 0
	}
	blocks, trust = e.cache.Match(time.Now(), hashes)
	if blocks == 0 && e.stop != nil && e.cache.After() > 0 {
		return 0, eventTrust
	}
	return blocks, trust
}

// Ran notes that the upstream has just run a prompt and so has its blocks cached.
func (o *Observer) Ran(upstream string, hashes []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.entry(upstream).cache.Note(time.Now(), hashes)
}

// LearnCached takes the owner's answer on a prompt: so many leading blocks are cached, the others are not.
func (o *Observer) LearnCached(upstream string, hashes []uint64, blocks int, _ float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.entry(upstream).cache
	blocks = min(max(blocks, 0), len(hashes))
	c.Note(time.Now(), hashes[:blocks])
	c.Forget(time.Now(), hashes[blocks:])
}
