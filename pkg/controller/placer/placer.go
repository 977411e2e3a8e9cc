// Package placer executes the dispatch decisions of one node: it counts the node's runs, and preempts batch runs when
// online requests need their slots.
package placer

import (
	"math/rand/v2"
	"sync"
	"time"

	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/loadreport"
	"trefoilplank.example/pkg/decision/outlier"
	"trefoilplank.example/pkg/eventlog"
)

// BatchRun is a batch run in progress on an upstream.
type BatchRun struct {
	// Upstream is the id of the upstream, Item the name of the item in logs.
	Upstream, Item string
	Started        time.Time
	// CanStop reports whether the run can be preempted now. It can't be if its item would then miss the deadline.
	CanStop func(now time.Time) bool
	// Stop ends the run; a later run continues its item.
	Stop func()

	// stopped is set when the run is no longer counted.
	stopped bool
}

// Placer chooses upstreams for this node's runs and counts the runs. It is safe for concurrent use.
type Placer struct {
	log *eventlog.Log

	mu    sync.Mutex
	rng   *rand.Rand
	state *dispatch.State
	// runs holds the batch runs in progress, by upstream.
	runs  map[string]map[*BatchRun]struct{}
	freed chan struct{}
	// arrivalRates is by service.
	arrivalRates map[string]*arrivalRate
	// evidence is the evidence from runs, by upstream, since the last call of Evidence.
	evidence map[string]outlier.Evidence
	// moments holds the last report of each upstream that reports its momentary slowness, since the last call of Evidence.
	moments map[string]loadreport.Report
}

// arrivalRate is the moving average of the arrivals of one service per second.
type arrivalRate struct {
	// objective is the shortest objective of the arrivals in the window.
	objective   time.Duration
	perSecond   float64
	windowCount int
	windowStart time.Time
	// waiting is the number of requests that wait for the hub's answer.
	waiting int
}

const (
	// rateWindow is the time over which arrivals are counted before they enter the moving average, and rateWeight the
	// weight of the newest window. Both are small because bursts last only seconds.
	rateWindow = 250 * time.Millisecond
	rateWeight = 0.5
)

// arrivalRate returns the arrival rate of a service; p.mu is held.
func (p *Placer) arrivalRate(service string, now time.Time) *arrivalRate {
	r := p.arrivalRates[service]
	if r == nil {
		r = &arrivalRate{windowStart: now}
		p.arrivalRates[service] = r
	}
	return r
}

func (r *arrivalRate) countArrival(objective time.Duration) {
	if r.windowCount == 0 || objective < r.objective {
		r.objective = objective
	}
	r.windowCount++
}

// Arrivals returns, for each service with arrivals, what the hub needs to grant online slots: the arrivals per second, the
// number of requests that wait for the hub, and how many requests may queue per slot.
func (p *Placer) Arrivals() map[string]dispatch.Want {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	wants := map[string]dispatch.Want{}
	for service, r := range p.arrivalRates {
		if elapsed := now.Sub(r.windowStart); elapsed >= rateWindow {
			r.perSecond += rateWeight * (float64(r.windowCount)/elapsed.Seconds() - r.perSecond)
			r.windowCount, r.windowStart = 0, now
		}
		if r.perSecond > minArrivalRate || r.waiting > 0 {
			wants[service] = p.state.WithQueue(dispatch.Want{Rate: r.perSecond, Waiting: r.waiting}, service, r.objective)
		}
	}
	return wants
}

// minArrivalRate is the number of arrivals per second at or below which a node asks for no slots.
const minArrivalRate = 0.2

// New returns a placer for a node in the availability zone.
func New(availabilityZone string, log *eventlog.Log) *Placer {
	return &Placer{
		log: log, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), state: dispatch.NewState(availabilityZone),
		runs: map[string]map[*BatchRun]struct{}{}, freed: make(chan struct{}, 1), arrivalRates: map[string]*arrivalRate{}, evidence: map[string]outlier.Evidence{},
	}
}

// SetHeard sets the function that returns when data last arrived from the upstream at an address. It must not call the placer.
func (p *Placer) SetHeard(heardAt func(address string) time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetHeard(heardAt)
}

// SetUpstreams replaces the list of upstreams, and returns those that ended.
func (p *Placer) SetUpstreams(list []dispatch.Upstream) (ended []dispatch.EndedUpstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range list {
		if p.state.BeginsToDrain(u) {
			p.log.Notice("upstream drains", "upstream", u.ID, "incarnation", u.Incarnation, "service", u.Service)
		}
	}
	ended = p.state.SetUpstreams(list)
	for _, u := range ended {
		p.log.Notice("upstream ended", "upstream", u.ID, "incarnation", u.Incarnation, "service", u.Service, "draining", u.Draining,
			"restarted", u.Restarted)
	}
	p.signalFreed()
	return ended
}

// OwnLoads returns the load that this node puts on each upstream.
func (p *Placer) OwnLoads() map[string]dispatch.Load {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.OwnLoads(func(upstream string) (firm int) {
		for run := range p.runs[upstream] {
			if !run.stopped && !run.CanStop(now) {
				firm++
			}
		}
		return firm
	})
}

// Grants returns a node's part of the free slots. want is what the node wants and all the sum over all nodes; grantedSlots
// holds the slots that were granted and are not yet reported as runs. It is used when this node is the hub.
func (p *Placer) Grants(service string, want, all dispatch.Want, totals map[string]dispatch.Load, grantedSlots map[string]int, warm func(string) bool) dispatch.Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Grants(service, want, all, totals, grantedSlots, warm, time.Now())
}

// ApplyTotals stores the hub's answer: the totals of all nodes, the weights of outliers and the slots granted to this
// node. reported is the part of the totals that this node reported. It preempts batch runs on overfull upstreams.
func (p *Placer) ApplyTotals(totals, reported map[string]dispatch.Load, outliers map[string]float64, granted dispatch.Grant) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetTotals(totals, reported, now)
	p.state.SetGrants(granted)
	p.setOutliers(outliers)
	for id, n := range p.state.RunsToPreempt(now, p.rng) {
		for range n {
			run := p.youngestStoppable(id, now)
			if run == nil {
				break
			}
			p.log.Routine("batch run stopped", "item", run.Item, "upstream", id, "reason", "upstream is overfull", "total", totals[id])
			p.stop(run)
		}
	}
	p.signalFreed()
}

// youngestStoppable returns the youngest batch run on an upstream that can be preempted, or nil.
func (p *Placer) youngestStoppable(upstream string, now time.Time) *BatchRun {
	var youngest *BatchRun
	for run := range p.runs[upstream] {
		if !run.stopped && run.CanStop(now) && (youngest == nil || run.Started.After(youngest.Started)) {
			youngest = run
		}
	}
	return youngest
}

// stop preempts a batch run and no longer counts it, since closing the connection frees its slot.
func (p *Placer) stop(run *BatchRun) {
	run.stopped = true
	p.state.EndRun(run.Upstream, true, time.Now())
	run.Stop()
}

// PlaceOnline decides where an online request is sent. If the verdict is Preempt, a batch run has been stopped and the
// request can be sent.
func (p *Placer) PlaceOnline(request dispatch.OnlineRequest) dispatch.Choice {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.arrivalRate(request.Service, now)
	switch {
	case request.HubAsked:
		r.waiting--
	case request.FirstDecision && !request.Retried:
		r.countArrival(request.Objective)
	}
	choice := p.state.ChooseForOnline(request, func(id string) bool { return p.youngestStoppable(id, now) != nil }, now, p.rng)
	if choice.Verdict == dispatch.Preempt {
		run := p.youngestStoppable(choice.Upstream.ID, now)
		p.log.Routine("batch run stopped", "item", run.Item, "upstream", run.Upstream, "reason", "an online request needs the slot")
		p.stop(run)
	}
	if choice.Verdict == dispatch.Send || choice.Verdict == dispatch.Preempt {
		p.state.BeginRun(choice.Upstream.ID, false)
		p.state.AwaitData(choice.Upstream.ID, now)
	}
	switch choice.Verdict {
	case dispatch.Preempt:
		p.state.UseFreedSlot(choice.Upstream.ID)
	case dispatch.Ask:
		r.waiting++
	}
	return choice
}

// HasFreeSlot reports whether an upstream has a free slot for a request, as far as this node knows.
func (p *Placer) HasFreeSlot(request dispatch.OnlineRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.HasFreeSlot(request, time.Now())
}

// MayUse reports whether an upstream that was chosen before is still listed and not known to leave.
func (p *Placer) MayUse(u dispatch.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.MayUse(u)
}

// EndOnline records the end of an online run that PlaceOnline admitted.
func (p *Placer) EndOnline(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.EndRun(upstream, false, time.Now())
	p.signalFreed()
}

// StartBatch starts a batch run on a slot that was granted to this node, or returns nil if there is none. bind creates
// the run for the chosen upstream. EndBatch must be called at its end. version is the software version at which the item has
// begun, or nil.
func (p *Placer) StartBatch(service string, version *string, bind func(dispatch.Upstream) *BatchRun) *BatchRun {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.state.ChooseForBatch(service, version, now, p.rng)
	if !ok {
		return nil
	}
	run := bind(u)
	run.Upstream, run.Started = u.ID, now
	p.state.BeginRun(run.Upstream, true)
	p.state.AwaitData(run.Upstream, now)
	if p.runs[run.Upstream] == nil {
		p.runs[run.Upstream] = map[*BatchRun]struct{}{}
	}
	p.runs[run.Upstream][run] = struct{}{}
	return run
}

// Serves reports whether a service has an upstream of a software version that is not draining.
func (p *Placer) Serves(service, version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Serves(service, version)
}

// EndBatch records the end of a batch run.
func (p *Placer) EndBatch(run *BatchRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !run.stopped {
		run.stopped = true
		p.state.EndRun(run.Upstream, true, time.Now())
	}
	delete(p.runs[run.Upstream], run)
	if len(p.runs[run.Upstream]) == 0 {
		delete(p.runs, run.Upstream)
	}
	p.signalFreed()
}

// Freed returns a channel that receives a value when a slot may have become free.
func (p *Placer) Freed() <-chan struct{} { return p.freed }

func (p *Placer) signalFreed() {
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// RecordAnswer records an answer of an upstream and the load that the upstream reported with it.
func (p *Placer) RecordAnswer(id string, report loadreport.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.RecordAnswer(id, report)
	p.recordMoment(id, report)
}

// RecordRefusal records that an upstream refused a request because it is full.
func (p *Placer) RecordRefusal(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.RecordRefusal(id, time.Now())
}

// RecordFailure records a failure of an upstream; hard means that no connection could be made.
func (p *Placer) RecordFailure(id string, hard bool, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.state.RecordFailure(id, hard, time.Now(), p.rng); d > 0 {
		p.log.Notice("upstream ejected", "upstream", id, "for_ms", d.Milliseconds(), "error", cause)
	}
}

// ForgetFailures drops what speaks against the upstreams at the given addresses, since they are reached in another way now.
func (p *Placer) ForgetFailures(addresses []string) {
	set := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		set[a] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.ForgetFailures(set)
	p.signalFreed()
}

// RecordOnlineRun updates the usual times of a service from a complete online run. first is its time to the first event;
// a run that was queued is ignored, since its times include the wait.
func (p *Placer) RecordOnlineRun(service string, first, duration time.Duration, queued bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.RecordRunTimes(service, first, duration, queued)
}

// RunDuration returns the usual duration of a service's runs.
func (p *Placer) RunDuration(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.RunDuration(service)
}

// FirstEvent returns the usual time to the first event of a service's runs on a free slot.
func (p *Placer) FirstEvent(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.FirstEvent(service)
}
