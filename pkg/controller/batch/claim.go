package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/jobstore"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/batchfill"
	"trefoilplank.example/pkg/decision/jobstate"
)

// Times and bounds of the search for work.
const (
	claimEvery = 2 * time.Second
	// claimsPerRound bounds the claims before the stock is looked at afresh.
	claimsPerRound = 32
	relistMin      = 2 * time.Second
	// relistMax bounds the time until a part of a lost node is found: the node must see the holder's lease
	// unchanged in two listings that are leaseTime apart. While all holders are live members, the listing only
	// finds those that are cut off from the store, and relistLive suffices; released parts come by watch.
	relistMax  = 20 * time.Second
	relistLive = 2 * time.Minute
	// claimPause is the least time between two rounds that found nothing to claim.
	claimPause = 50 * time.Millisecond
	// confirmRetry is the first pause until a job is looked for again whose summary came first.
	confirmRetry = 50 * time.Millisecond
	// claimRetry is the pause after the store gave no answer.
	claimRetry = time.Second
)

// claimLoop takes parts while upstreams ask for work that the stock does not have.
func (c *Controller) claimLoop(ctx context.Context) {
	renew := time.NewTicker(wakeEvery)
	defer renew.Stop()
	for {
		t := time.NewTimer(claimEvery/2 + rand.N(claimEvery))
		select {
		case <-c.wakeup:
		case <-t.C:
		case <-renew.C:
			c.mu.Lock()
			c.announce()
			c.mu.Unlock()
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
		for range claimsPerRound {
			claimed, err := c.claimNext(ctx)
			if err != nil {
				klog.V(2).InfoS("Could not claim batch work", "err", err)
				sleep(ctx, claimRetry/2+rand.N(claimRetry))
				break
			}
			if !claimed {
				sleep(ctx, claimPause)
				break
			}
		}
	}
}

// wanted is a job from which the node wants a part.
type wanted struct {
	sum jobstate.Summary
	// candidates are parts that nobody is known to hold; relist says that the part records must be read first.
	candidates []int
	relist     bool
	reason     string
}

// claimNext takes one part, or reports that none is wanted or to be had.
func (c *Controller) claimNext(ctx context.Context) (bool, error) {
	denied := false
	for _, w := range c.wants(time.Now()) {
		if ok, err := c.confirm(ctx, w.sum); err != nil || !ok {
			if err != nil {
				return false, err
			}
			continue
		}
		if w.relist {
			if !c.mayRead() {
				denied = true
				continue
			}
			if err := c.relist(ctx, w.sum); err != nil {
				return false, err
			}
			w.candidates = c.unclaimed(w.sum.ID)
		}
		// A random part, so that nodes that find the same job rarely try the same one.
		for _, n := range rand.Perm(len(w.candidates)) {
			claimed, err := c.claim(ctx, w, w.candidates[n])
			if err != nil || claimed {
				return claimed, err
			}
			if !c.mayRead() {
				denied = true
				break
			}
		}
	}
	if denied {
		time.AfterFunc(time.Duration(float64(time.Second)/float64(c.reads.Limit())), c.wake)
	}
	return false, nil
}

// mayRead takes one read from the node's part of the fleet's budget for the search for work.
func (c *Controller) mayRead() bool {
	if r := readRate(len(c.Board.Members.Value().Live)); c.reads.Limit() != r {
		c.reads.SetLimit(r)
	}
	return c.reads.Allow()
}

// usableUpstreams returns the names of the upstreams that may get work. A part that is claimed for any other one
// would wait unused until it is released.
func usableUpstreams(r api.Register) map[string]bool {
	usable := make(map[string]bool, len(r.Upstreams))
	for _, u := range r.Upstreams {
		usable[u.Name] = !u.Leaving
	}
	return usable
}

// wants returns the jobs from which a part should be taken now, in order.
func (c *Controller) wants(now time.Time) []wanted {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, valid := c.holder(); c.stopping() || !valid || c.pending >= pendingBytes {
		return nil
	}
	config := c.Board.Config.Value()
	asked := map[string]bool{}
	usable := usableUpstreams(config.Register)
	for name, d := range c.demand {
		if now.Sub(d.at) > demandAge || !usable[name] || !c.healthy(name) || c.Owns != nil && !c.Owns(name) {
			delete(c.demand, name)
			continue
		}
		for _, t := range targetsOf(d.upstream, config.Register.Adapters) {
			asked[t] = true
		}
	}
	var jobs []batchfill.Job
	for _, j := range c.open {
		if !j.ended && !now.Before(j.waitUntil) && !j.sum.AllDone() && now.Before(j.sum.Deadline) && len(j.targets(asked)) > 0 {
			rules, _ := config.Rules.ForInstitution(j.sum.Institution)
			jobs = append(jobs, j.fill(rules.Share, now))
		}
	}
	live := c.Board.Members.Value().Live
	var list []wanted
	for _, n := range c.virtualTime().Order(jobs, now) {
		j := c.open[jobs[n].ID]
		take, reason := batchfill.Take(c.stock(j.targets(asked)), j.sum.ID, j.sum.Items/max(j.sum.Parts, 1))
		if !take {
			continue
		}
		w := wanted{sum: j.sum, candidates: c.candidateParts(j), reason: reason}
		w.relist = j.relistAt.IsZero() && j.sum.Parts > 1 && !j.fresh ||
			len(w.candidates) == 0 && !now.Before(j.relistAt.Add(j.relistExtra(live)))
		if w.relist || len(w.candidates) > 0 {
			list = append(list, w)
		}
	}
	return list
}

// relistExtra returns by how much the next listing may wait because all known holders are live members.
func (j *openJob) relistExtra(live map[string]blackboard.Member) time.Duration {
	if len(live) == 0 || j.relistDelay < relistMax {
		return 0
	}
	for node := range j.holders {
		if _, ok := live[node]; !ok {
			return 0
		}
	}
	return relistLive
}

// targets returns the job's targets that are asked for.
func (j *openJob) targets(asked map[string]bool) []string {
	var targets []string
	for _, m := range j.sum.Models {
		if t := targetOf(m, ""); asked[t] {
			targets = append(targets, t)
		}
	}
	for _, s := range j.sum.Services {
		if t := targetOf("", s); asked[t] {
			targets = append(targets, t)
		}
	}
	return targets
}

// stock counts what is held for the targets; c.mu is held.
func (c *Controller) stock(targets []string) batchfill.Stock {
	s := batchfill.Stock{Parts: map[string]int{}, Waiting: map[string]int{}}
	for id, p := range c.parts {
		s.Parts[id.job]++
		for _, list := range p.ready {
			s.Waiting[id.job] += len(list)
		}
		s.Bytes += p.bytes
		for _, t := range targets {
			s.Items += len(p.ready[t])
		}
		s.Running += len(p.running)
	}
	return s
}

// candidateParts returns the parts that nobody is known to hold; c.mu is held.
func (c *Controller) candidateParts(j *openJob) []int {
	var parts []int
	for i := range j.sum.Parts {
		_, held := j.held[i]
		id := partID{j.sum.ID, i}
		if !held && !j.sum.Done.Has(i) && c.parts[id] == nil && !c.givingBack[id] {
			parts = append(parts, i)
		}
	}
	return parts
}

func (c *Controller) unclaimed(job string) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.open[job]; j != nil {
		return c.candidateParts(j)
	}
	return nil
}

// relist reads the part records of a job to learn who holds which part.
func (c *Controller) relist(ctx context.Context, sum jobstate.Summary) error {
	parts, err := c.jobs.Parts(ctx, sum.ID)
	if err != nil {
		return err
	}
	held, holders := map[int]int64{}, map[string]bool{}
	live := c.Board.Members.Value().Live
	over := map[jobstate.Holder]bool{}
	var done []int
	for i, p := range parts {
		switch {
		case p.State == jobstate.PartDone && !sum.Done.Has(i):
			done = append(done, i)
		case p.State != jobstate.PartOpen:
			held[i] = p.Token
		case p.Holder != nil:
			lost, known := over[*p.Holder]
			if !known {
				// A node that is not a live member is looked up in any case, the others within the read budget: they
				// may be cut off from the store.
				_, member := live[p.Holder.Node]
				lost = (!member || c.mayRead()) && c.lost(ctx, *p.Holder)
				over[*p.Holder] = lost
			}
			if !lost {
				held[i] = p.Token
				holders[p.Holder.Node] = true
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.open[sum.ID]
	if j == nil {
		return nil
	}
	j.held, j.holders = held, holders
	j.listed(time.Now())
	if len(done) > 0 {
		c.doneDue(sum.ID, sum, done...)
	}
	return nil
}

// listed puts the next listing of the part records off.
func (j *openJob) listed(now time.Time) {
	j.relistDelay = min(max(2*j.relistDelay, relistMin), relistMax)
	j.relistAt = now.Add(j.relistDelay/2 + rand.N(j.relistDelay))
}

// claim tries to take one part and starts its committer.
func (c *Controller) claim(ctx context.Context, w wanted, index int) (bool, error) {
	holder, _ := c.holder()
	in, err := c.input(ctx, w.sum.InputFile)
	if err != nil {
		return false, err
	}
	if index >= len(in.plan) {
		return false, Error.New("job %s has no part %d", w.sum.ID, index)
	}
	valid := func() bool {
		now, ok := c.holder()
		return ok && now == holder
	}
	held, err := c.jobs.Claim(ctx, w.sum, index, in.plan[index].Size, holder, valid, c.lost)
	switch {
	case errors.Is(err, jobstore.ErrLost), errors.Is(err, jobstate.ErrState):
		c.mu.Lock()
		if j := c.open[w.sum.ID]; j != nil {
			j.held[index] = 0
			j.fresh = false
			if j.sum.Parts == 1 {
				// The claim has just read all that a listing would show.
				j.listed(time.Now())
			}
		}
		c.mu.Unlock()
		return false, nil
	case errors.Is(err, jobstore.ErrEnded):
		c.giveBack(w.sum, index, holder)
		c.jobEnded(w.sum.ID)
		return false, nil
	case err != nil:
		c.giveBack(w.sum, index, holder)
		return false, err
	}
	p, err := c.load(ctx, in, w.sum, held, holder)
	if err != nil {
		c.giveBack(w.sum, index, holder)
		return false, err
	}
	c.explain(w.sum.ID, "", "", "claim", w.reason, map[string]any{"part": index, "token": held.Part().Token, "items": p.remaining})
	c.mu.Lock()
	c.parts[p.id] = p
	for i, o := range p.recovered {
		p.finish(i, o)
	}
	p.recovered = nil
	c.announce()
	c.mu.Unlock()
	c.tasks.Go(func() { p.commitLoop(ctx) })
	return true, nil
}

// confirm reads the job once before the first claim, since its summary is written before it.
func (c *Controller) confirm(ctx context.Context, sum jobstate.Summary) (bool, error) {
	c.mu.Lock()
	j := c.open[sum.ID]
	known := j == nil || j.confirmed
	c.mu.Unlock()
	if known {
		return j != nil, nil
	}
	_, err := c.jobs.Get(ctx, sum.Institution, sum.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, store.ErrNotFound):
		// A summary whose creator died never gets its record.
		j.waitDelay = min(max(2*j.waitDelay, confirmRetry), claimEvery)
		j.waitUntil = time.Now().Add(j.waitDelay)
		time.AfterFunc(j.waitDelay, c.wake)
		return false, nil
	case err != nil:
		return false, err
	}
	j.confirmed = true
	return true, nil
}

// giveBack releases a part whose record may name this node, until that is settled or the node stops.
func (c *Controller) giveBack(sum jobstate.Summary, index int, holder jobstate.Holder) {
	id := partID{sum.ID, index}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.givingBack[id] {
		return
	}
	c.givingBack[id] = true
	ctx := c.ctx
	c.tasks.Go(func() {
		delay := claimRetry
		for {
			token, err := c.jobs.GiveBack(ctx, sum.ID, index, holder)
			if err == nil && token > 0 {
				err = c.jobs.ChangeSummary(ctx, sum.ID, func(s jobstate.Summary) (jobstate.Summary, bool) {
					return s.Release(index, token)
				})
			}
			if err == nil || ctx.Err() != nil {
				break
			}
			sleep(ctx, delay/2+rand.N(delay))
			delay = min(2*delay, commitRetryMax)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.givingBack, id)
	})
}
