package batch

import (
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/decision/batchfill"
	"trefoilplank.example/pkg/serving"
)

// Next implements serving.BatchSource. A caller that can't run the item, for example one that must run alone while the
// upstream is busy, returns it by calling Run with a context cancelled with cause serving.ErrPreempted.
func (c *Controller) Next(u api.Upstream) (serving.BatchRun, bool) {
	p, i, job := c.takeItem(u)
	if p == nil {
		return nil, false
	}
	// Parsing and hashing a line of up to 1 MiB takes milliseconds, so they are done without the lock.
	r := c.newRun(p, i)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.virtualTime().Add(job, r.cost())
	return r, true
}

// takeItem takes a ready item that u can run from its part, and returns the part, the item's index and the job. The part
// is nil if no item is ready.
func (c *Controller) takeItem(u api.Upstream) (*part, int, batchfill.Job) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workRequests[u.Name] = workRequest{upstream: u, at: now}
	c.askedUpstreams[u.Name] = u
	if c.stopping() || c.pendingBytes >= maxPendingBytes || !c.mayRun() {
		return nil, 0, batchfill.Job{}
	}
	config := c.Board.Config.Value()
	targets := targetsOf(u, config.Register.Adapters)
	jobs, partOf := c.readyJobs(targets, config.Rules, now)
	if len(jobs) == 0 {
		c.signalClaimLoop()
		return nil, 0, batchfill.Job{}
	}
	job := jobs[c.virtualTime().Order(jobs, now)[0]]
	p := partOf[job.ID]
	for _, target := range targets {
		items := p.ready[target]
		if len(items) == 0 {
			continue
		}
		i := items[0]
		if p.ready[target] = items[1:]; len(items) == 1 {
			delete(p.ready, target)
			// This was the part's last ready item for the target; the claim loop claims more.
			c.signalClaimLoop()
		}
		p.running[i] = struct{}{}
		p.progressAt = now
		c.lastTaken[target] = now
		return p, i, job
	}
	return nil, 0, batchfill.Job{}
}

// mayRun reports whether items may be started: under a valid lease, or while the store is down, since then the lease
// can't be renewed and no other node can claim the parts; c.mu is held.
func (c *Controller) mayRun() bool {
	_, valid := c.ownHolder()
	return valid || c.storeDown
}

// readyJobs returns the jobs with a ready item for one of the targets, and for each job the part to take it from; c.mu
// is held.
func (c *Controller) readyJobs(targets []string, rules api.Rules, now time.Time) ([]batchfill.Job, map[string]*part) {
	var jobs []batchfill.Job
	partOf := map[string]*part{}
	for id, p := range c.parts {
		if now.After(p.summary.Deadline) || !p.hasReady(targets) {
			continue
		}
		// The part with the fewest remaining items goes first, so that parts are completed one after the other.
		if old := partOf[id.job]; old != nil && (old.remaining < p.remaining || old.remaining == p.remaining && old.id.index < id.index) {
			continue
		}
		if partOf[id.job] == nil {
			jobs = append(jobs, c.fillJob(id.job, p, rules, now))
		}
		partOf[id.job] = p
	}
	return jobs, partOf
}

func (p *part) hasReady(targets []string) bool {
	for _, t := range targets {
		if len(p.ready[t]) > 0 {
			return true
		}
	}
	return false
}

// fillJob returns what batchfill needs to order the job of part p among others; c.mu is held.
func (c *Controller) fillJob(id string, p *part, rules api.Rules, now time.Time) batchfill.Job {
	institution, _ := rules.ForInstitution(p.summary.Institution)
	if j := c.openJobs[id]; j != nil {
		return j.fillJob(institution.Share, now)
	}
	return batchfill.Job{ID: id, Institution: p.summary.Institution, Share: institution.Share, Created: p.summary.Created,
		Deadline: p.summary.Deadline, Remaining: p.summary.Items}
}

// Pressure implements serving.BatchSource.
func (c *Controller) Pressure(model string) float64 {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	adapters := c.Board.Config.Value().Register.Adapters
	most := 0.0
	for _, j := range c.openJobs {
		if !j.ended && slices.ContainsFunc(j.summary.Models, func(m string) bool {
			return m == model || slices.ContainsFunc(adapters, func(a api.Adapter) bool { return a.Name == m && a.Model == model })
		}) {
			most = max(most, j.fillJob(1, now).Pressure(now))
		}
	}
	return most
}

// ItemsReady implements serving.BatchSource.
func (c *Controller) ItemsReady() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.itemsReady
}

// newRun builds the run of item i of p.
func (c *Controller) newRun(p *part, i int) *run {
	config := c.Board.Config.Value()
	c.mu.Lock()
	it := p.items[i]
	p.items[i].requestID = ""
	c.mu.Unlock()
	// The line was parsed when the part was loaded, so it is valid.
	parsed, err := line.Parse(it.raw)
	if err != nil {
		parsed = &line.Item{}
	}
	r := &run{c: c, p: p, index: i, item: parsed, suspect: it.suspect, unstreamed: it.unstreamed, charge: it.charge, failures: it.failures}
	base, adapter := parsed.Model, ""
	for _, a := range config.Register.Adapters {
		if a.Name == parsed.Model {
			base, adapter = a.Model, a.Name
		}
	}
	rules, _ := config.Rules.ForInstitution(p.summary.Institution)
	class, rank := rules.Classify(p.summary.Caller, parsed.Model, parsed.Service, true)
	r.request = serving.Request{
		ID: c.Node + "-" + ulid.Make().String(), Institution: p.summary.Institution, Caller: p.summary.Caller,
		Class: class, Rank: rank, Share: rules.Share, Model: base, Adapter: adapter, Service: parsed.Service, Batch: true,
		Deadline: p.summary.Deadline, PromptTokens: parsed.PromptTokens, MaxTokens: parsed.MaxTokens,
		Fingerprint: fingerprint(p.summary.Institution, parsed), Parts: promptParts(parsed, base, adapter), Alone: it.suspect,
	}
	if it.requestID != "" {
		r.request.ID = it.requestID
	}
	// An engine knows an exported run, and names its events, by the id that it began with.
	if id := c.states.requestIDOf(r.itemID()); id != "" {
		r.request.ID = id
	}
	return r
}
