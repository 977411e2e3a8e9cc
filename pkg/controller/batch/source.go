package batch

import (
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
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand[u.Name] = demand{upstream: u, at: now}
	if c.stopping() || c.pending >= pendingBytes || !c.mayRun() {
		return nil, false
	}
	config := c.Board.Config.Value()
	targets := targetsOf(u, config.Register.Adapters)
	jobs, first := c.candidates(targets, config.Rules, now)
	if len(jobs) == 0 {
		c.wake()
		return nil, false
	}
	job := jobs[c.ledger.Order(jobs, now)[0]]
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
		r := c.newRun(p, i, config)
		c.ledger.Add(job, r.cost())
		p.running[i] = struct{}{}
		p.progressAt = now
		return r, true
	}
	return nil, false
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
	most := 0.0
	for _, j := range c.open {
		for _, m := range j.sum.Models {
			if m == model && !j.ended {
				most = max(most, j.fill(1, now).Pressure(now))
			}
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

// newRun builds the run of item i of p; c.mu is held.
func (c *Controller) newRun(p *part, i int, config api.Config) *run {
	// The line was parsed when the part was loaded, so it is valid.
	parsed, err := line.Parse(p.items[i].raw)
	if err != nil {
		parsed = &line.Item{}
	}
	r := &run{c: c, p: p, index: i, item: parsed, suspect: p.items[i].suspect, charge: p.items[i].attempts, failures: p.items[i].failures}
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
		Fingerprint: c.Fingerprint(p.sum.Institution, parsed.Model+parsed.Service, parsed.Body), Alone: p.items[i].suspect,
	}
	if id := p.items[i].requestID; id != "" {
		r.request.ID, p.items[i].requestID = id, ""
	}
	return r
}
