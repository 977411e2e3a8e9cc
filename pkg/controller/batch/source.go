package batch

import (
	"slices"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/decision/batchfill"
	"trefoilplank.example/pkg/serving"

	"github.com/oklog/ulid/v2"
)

// Next implements serving.BatchSource. A caller that can't run the item, such as one that must run alone on a
// busy upstream, calls Run with a context that ended with cause serving.ErrPreempted.
func (c *Controller) Next(u api.Upstream) (serving.BatchRun, bool) {
	p, i, job := c.take(u)
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

// take removes an item that u can run from stock; the part is nil when there is none.
func (c *Controller) take(u api.Upstream) (*part, int, batchfill.Job) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand[u.Name] = demand{upstream: u, at: now}
	c.asked[u.Name] = u
	if c.stopping() || c.pending >= pendingBytes || !c.mayRun() {
		return nil, 0, batchfill.Job{}
	}
	config := c.Board.Config.Value()
	targets := targetsOf(u, config.Register.Adapters)
	jobs, first := c.candidates(targets, config.Rules, now)
	if len(jobs) == 0 {
		c.wake()
		return nil, 0, batchfill.Job{}
	}
	job := jobs[c.virtualTime().Order(jobs, now)[0]]
	p := first[job.ID]
	for _, target := range targets {
		list := p.ready[target]
		if len(list) == 0 {
			continue
		}
		i := list[0]
		if p.ready[target] = list[1:]; len(list) == 1 {
			delete(p.ready, target)
			// The claim loop refills before the stock is empty; this is the last item for the target.
			c.wake()
		}
		p.running[i] = struct{}{}
		p.progressAt = now
		c.served[target] = now
		return p, i, job
	}
	return nil, 0, batchfill.Job{}
}

// mayRun reports whether items may be started: under a valid lease, or while the store is down, when the lease
// can't be renewed and nobody else can take the parts; c.mu is held.
func (c *Controller) mayRun() bool {
	_, valid := c.holder()
	return valid || c.storeDown
}

// candidates returns the jobs with a ready item for one of the targets, and for each the part to take it from.
func (c *Controller) candidates(targets []string, rules api.Rules, now time.Time) ([]batchfill.Job, map[string]*part) {
	var jobs []batchfill.Job
	first := map[string]*part{}
	for id, p := range c.parts {
		if now.After(p.sum.Deadline) || !p.hasReady(targets) {
			continue
		}
		// The part with the least left goes first, so that parts end one after the other.
		if old := first[id.job]; old != nil && (old.remaining < p.remaining || old.remaining == p.remaining && old.id.index < id.index) {
			continue
		}
		if first[id.job] == nil {
			jobs = append(jobs, c.fillJob(id.job, p, rules, now))
		}
		first[id.job] = p
	}
	return jobs, first
}

func (p *part) hasReady(targets []string) bool {
	for _, t := range targets {
		if len(p.ready[t]) > 0 {
			return true
		}
	}
	return false
}

func (c *Controller) fillJob(id string, p *part, rules api.Rules, now time.Time) batchfill.Job {
	institution, _ := rules.ForInstitution(p.sum.Institution)
	if j := c.open[id]; j != nil {
		return j.fill(institution.Share, now)
	}
	return batchfill.Job{ID: id, Institution: p.sum.Institution, Share: institution.Share, Created: p.sum.Created,
		Deadline: p.sum.Deadline, Remaining: p.sum.Items}
}

// Pressure implements serving.BatchSource.
func (c *Controller) Pressure(model string) float64 {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	adapters := c.Board.Config.Value().Register.Adapters
	most := 0.0
	for _, j := range c.open {
		if !j.ended && slices.ContainsFunc(j.sum.Models, func(m string) bool {
			return m == model || slices.ContainsFunc(adapters, func(a api.Adapter) bool { return a.Name == m && a.Model == model })
		}) {
			most = max(most, j.fill(1, now).Pressure(now))
		}
	}
	return most
}

// Waiting implements serving.BatchSource.
func (c *Controller) Waiting() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
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
	r := &run{c: c, p: p, index: i, item: parsed, suspect: it.suspect, unstreamed: it.unstreamed, charge: it.attempts, failures: it.failures}
	base, adapter := parsed.Model, ""
	for _, a := range config.Register.Adapters {
		if a.Name == parsed.Model {
			base, adapter = a.Model, a.Name
		}
	}
	rules, _ := config.Rules.ForInstitution(p.sum.Institution)
	class, rank := rules.Classify(p.sum.Caller, parsed.Model, parsed.Service, true)
	r.request = serving.Request{
		ID: c.Node + "-" + ulid.Make().String(), Institution: p.sum.Institution, Caller: p.sum.Caller,
		Class: class, Rank: rank, Share: rules.Share, Model: base, Adapter: adapter, Service: parsed.Service, Batch: true,
		Deadline: p.sum.Deadline, PromptTokens: parsed.PromptTokens, MaxTokens: parsed.MaxTokens,
		Fingerprint: fingerprint(p.sum.Institution, parsed), Alone: it.suspect,
	}
	if it.requestID != "" {
		r.request.ID = it.requestID
	}
	// An engine knows an exported run, and names its events, by the id that it began with.
	if id := c.states.requestID(r.itemID()); id != "" {
		r.request.ID = id
	}
	return r
}
