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
	claimInterval = 2 * time.Second
	// claimsPerRound bounds the claims of one round; the next round starts after a signal or a timer.
	claimsPerRound = 32
	relistMin      = 2 * time.Second
	// relistMax bounds the time until the parts of a failed node are found: two listings at least the lease time apart
	// must show the holder's lease unchanged. While all holders are live members, a listing only finds holders that
	// are cut off from the store, so relistLive is added; the watch reports released parts.
	relistMax  = 20 * time.Second
	relistLive = 2 * time.Minute
	// claimPause is the shortest pause after a round that found nothing to claim.
	claimPause = 50 * time.Millisecond
	// confirmRetry is the first delay before a job record is read again that did not exist yet.
	confirmRetry = 50 * time.Millisecond
	// claimRetry is the pause after a store error.
	claimRetry = time.Second
)

// claimLoop claims parts while upstreams ask for work and too few items are ready for them.
func (c *Controller) claimLoop(ctx context.Context) {
	notify := time.NewTicker(notifyInterval)
	defer notify.Stop()
	for {
		t := time.NewTimer(claimInterval/2 + rand.N(claimInterval))
		select {
		case <-c.claimSignal:
		case <-t.C:
		case <-notify.C:
			c.mu.Lock()
			c.notifyAdmission()
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

// claimableJob is a job from which this node should claim a part.
type claimableJob struct {
	summary jobstate.Summary
	// candidates are the parts without a known holder; relist is set when the part records must be listed first.
	candidates []int
	relist     bool
	reason     string
}

// claimNext claims one part; it returns false when no part is needed or none is available.
func (c *Controller) claimNext(ctx context.Context) (bool, error) {
	readDenied := false
	for _, job := range c.claimableJobs(time.Now()) {
		if ok, err := c.confirmJob(ctx, job.summary); err != nil || !ok {
			if err != nil {
				return false, err
			}
			continue
		}
		if job.relist {
			if !c.allowRead() {
				readDenied = true
				continue
			}
			if err := c.listHolders(ctx, job.summary); err != nil {
				return false, err
			}
			job.candidates = c.unclaimedParts(job.summary.ID)
		}
		// The order is random, so that nodes that see the same job rarely try the same part.
		for _, n := range rand.Perm(len(job.candidates)) {
			claimed, err := c.claim(ctx, job, job.candidates[n])
			if err != nil || claimed {
				return claimed, err
			}
			if !c.allowRead() {
				readDenied = true
				break
			}
		}
	}
	if readDenied {
		time.AfterFunc(time.Duration(float64(time.Second)/float64(c.readLimiter.Limit())), c.signalClaimLoop)
	}
	return false, nil
}

// allowRead reports whether this node's share of fleetReadRate allows a read now, and uses up one read if so.
func (c *Controller) allowRead() bool {
	if r := readRate(len(c.Board.Members.Value().Live)); c.readLimiter.Limit() != r {
		c.readLimiter.SetLimit(r)
	}
	return c.readLimiter.Allow()
}

// usableUpstreams returns the names of the registered upstreams that are not leaving. A part claimed for any other
// upstream would stay unused until it is released.
func usableUpstreams(r api.Register) map[string]bool {
	usable := make(map[string]bool, len(r.Upstreams))
	for _, u := range r.Upstreams {
		usable[u.Name] = !u.Leaving
	}
	return usable
}

// claimableJobs returns the jobs from which a part should be claimed now, in the order in which to try them.
func (c *Controller) claimableJobs(now time.Time) []claimableJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, valid := c.ownHolder(); c.stopping() || !valid || c.pendingBytes >= maxPendingBytes {
		return nil
	}
	config := c.Board.Config.Value()
	askedTargets := map[string]bool{}
	usable := usableUpstreams(config.Register)
	for name, request := range c.workRequests {
		if now.Sub(request.at) > workRequestAge || !usable[name] || !c.healthy(name) || c.Owns != nil && !c.Owns(name) {
			delete(c.workRequests, name)
			continue
		}
		for _, t := range targetsOf(request.upstream, config.Register.Adapters) {
			askedTargets[t] = true
		}
	}
	var jobs []batchfill.Job
	for _, j := range c.openJobs {
		if !j.ended && !now.Before(j.confirmAt) && !j.summary.AllDone() && now.Before(j.summary.Deadline) && len(j.targets(askedTargets)) > 0 {
			rules, _ := config.Rules.ForInstitution(j.summary.Institution)
			jobs = append(jobs, j.fillJob(rules.Share, now))
		}
	}
	live := c.Board.Members.Value().Live
	var list []claimableJob
	for _, n := range c.virtualTime().Order(jobs, now) {
		j := c.openJobs[jobs[n].ID]
		shouldClaim, reason := batchfill.ShouldClaim(c.countHeldWork(j.targets(askedTargets)), j.summary.ID, j.summary.Items/max(j.summary.Parts, 1))
		if !shouldClaim {
			continue
		}
		candidate := claimableJob{summary: j.summary, candidates: c.candidateParts(j), reason: reason}
		candidate.relist = j.relistAt.IsZero() && j.summary.Parts > 1 && !j.untouched ||
			len(candidate.candidates) == 0 && !now.Before(j.relistAt.Add(j.relistExtra(live)))
		if candidate.relist || len(candidate.candidates) > 0 {
			list = append(list, candidate)
		}
	}
	return list
}

// relistExtra returns the additional delay of the next listing when all known holders are live members.
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

// targets returns those targets of the job that upstreams ask for.
func (j *openJob) targets(askedTargets map[string]bool) []string {
	var targets []string
	for _, m := range j.summary.Models {
		if t := targetOf(m, ""); askedTargets[t] {
			targets = append(targets, t)
		}
	}
	for _, s := range j.summary.Services {
		if t := targetOf("", s); askedTargets[t] {
			targets = append(targets, t)
		}
	}
	return targets
}

// countHeldWork counts this node's parts and their ready and running items, for batchfill.ShouldClaim. WaitingItems counts
// only items that are ready for the targets, RunningItems all running items; c.mu is held.
func (c *Controller) countHeldWork(targets []string) batchfill.HeldWork {
	s := batchfill.HeldWork{PartsByJob: map[string]int{}, WaitingByJob: map[string]int{}}
	for id, p := range c.parts {
		s.PartsByJob[id.job]++
		for _, list := range p.ready {
			s.WaitingByJob[id.job] += len(list)
		}
		s.Bytes += p.lineBytes
		for _, t := range targets {
			s.WaitingItems += len(p.ready[t])
		}
		s.RunningItems += len(p.running)
	}
	return s
}

// candidateParts returns the unfinished parts without a known holder; c.mu is held.
func (c *Controller) candidateParts(j *openJob) []int {
	var parts []int
	for i := range j.summary.Parts {
		_, held := j.heldParts[i]
		id := partID{j.summary.ID, i}
		if !held && !j.summary.Done.Has(i) && c.parts[id] == nil && !c.releasing[id] {
			parts = append(parts, i)
		}
	}
	return parts
}

// unclaimedParts returns the unfinished parts without a known holder of the job with this id.
func (c *Controller) unclaimedParts(job string) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.openJobs[job]; j != nil {
		return c.candidateParts(j)
	}
	return nil
}

// listHolders reads the part records of a job and updates heldParts and holders of the open job. It queues the marks of
// parts that are done but not marked in the summary.
func (c *Controller) listHolders(ctx context.Context, summary jobstate.Summary) error {
	parts, err := c.jobs.Parts(ctx, summary.ID)
	if err != nil {
		return err
	}
	held, holders := map[int]int64{}, map[string]bool{}
	live := c.Board.Members.Value().Live
	lostHolders := map[jobstate.Holder]bool{}
	var done []int
	for i, p := range parts {
		switch {
		case p.State == jobstate.PartDone && !summary.Done.Has(i):
			done = append(done, i)
		case p.State != jobstate.PartOpen:
			held[i] = p.Token
		case p.Holder != nil:
			lost, known := lostHolders[*p.Holder]
			if !known {
				// A holder that is not a live member is always looked up. Live members may be cut off from the
				// store, so they are looked up too, but only within the read budget.
				_, member := live[p.Holder.Node]
				lost = (!member || c.allowRead()) && c.holderExpired(ctx, *p.Holder)
				lostHolders[*p.Holder] = lost
			}
			if !lost {
				held[i] = p.Token
				holders[p.Holder.Node] = true
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.openJobs[summary.ID]
	if j == nil {
		return nil
	}
	j.heldParts, j.holders = held, holders
	j.delayRelist(time.Now())
	if len(done) > 0 {
		c.queueDoneMarks(summary.ID, summary, done...)
	}
	return nil
}

// delayRelist doubles the delay of the next listing of the part records, with jitter.
func (j *openJob) delayRelist(now time.Time) {
	j.relistDelay = min(max(2*j.relistDelay, relistMin), relistMax)
	j.relistAt = now.Add(j.relistDelay/2 + rand.N(j.relistDelay))
}

// claim tries to claim one part, loads its items and starts its committer. It returns false without an error if another
// node holds the part or the part or job is over.
func (c *Controller) claim(ctx context.Context, job claimableJob, index int) (bool, error) {
	holder, _ := c.ownHolder()
	in, err := c.input(ctx, job.summary.InputFile)
	if err != nil {
		return false, err
	}
	if index >= len(in.plan) {
		return false, Error.New("job %s has no part %d", job.summary.ID, index)
	}
	valid := func() bool {
		now, ok := c.ownHolder()
		return ok && now == holder
	}
	held, err := c.jobs.Claim(ctx, job.summary, index, in.plan[index].Size, holder, valid, c.holderExpired)
	switch {
	case errors.Is(err, jobstore.ErrPartLost), errors.Is(err, jobstate.ErrState):
		c.mu.Lock()
		if j := c.openJobs[job.summary.ID]; j != nil {
			j.heldParts[index] = 0
			j.untouched = false
			if j.summary.Parts == 1 {
				// The claim has just read the only part record, so a listing would show nothing new.
				j.delayRelist(time.Now())
			}
		}
		c.mu.Unlock()
		return false, nil
	case errors.Is(err, jobstore.ErrJobEnded):
		c.releaseInBackground(job.summary, index, holder)
		c.endJob(job.summary.ID)
		return false, nil
	case err != nil:
		c.releaseInBackground(job.summary, index, holder)
		return false, err
	}
	p, err := c.loadPart(ctx, in, job.summary, held, holder)
	if err != nil {
		c.releaseInBackground(job.summary, index, holder)
		return false, err
	}
	c.mu.Lock()
	if j := c.openJobs[job.summary.ID]; j == nil || j.ended {
		// The job ended while the part was claimed and loaded, when there was nothing to drop yet.
		c.mu.Unlock()
		c.releaseInBackground(job.summary, index, holder)
		return false, nil
	}
	c.explain(job.summary.ID, "", "", "claim", job.reason, map[string]any{"part": index, "token": held.Part().Token, "items": p.remaining})
	c.parts[p.id] = p
	for i, o := range p.recovered {
		p.addResult(i, o)
	}
	p.recovered = nil
	c.notifyAdmission()
	c.mu.Unlock()
	c.tasks.Go(func() { p.commitLoop(ctx) })
	return true, nil
}

// confirmJob reads the job record once before the first claim: the summary is written first, so the record may not
// exist yet.
func (c *Controller) confirmJob(ctx context.Context, summary jobstate.Summary) (bool, error) {
	c.mu.Lock()
	j := c.openJobs[summary.ID]
	known := j == nil || j.confirmed
	c.mu.Unlock()
	if known {
		return j != nil, nil
	}
	_, err := c.jobs.Get(ctx, summary.Institution, summary.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(err, store.ErrNotFound):
		// If the node that created the job crashed, the record never appears, so the delay increases.
		j.confirmDelay = min(max(2*j.confirmDelay, confirmRetry), claimInterval)
		j.confirmAt = time.Now().Add(j.confirmDelay)
		time.AfterFunc(j.confirmDelay, c.signalClaimLoop)
		return false, nil
	case err != nil:
		return false, err
	}
	j.confirmed = true
	return true, nil
}

// releaseInBackground releases a part whose record may name this node as holder. It retries until the store answers
// or the node stops.
func (c *Controller) releaseInBackground(summary jobstate.Summary, index int, holder jobstate.Holder) {
	id := partID{summary.ID, index}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.releasing[id] {
		return
	}
	c.releasing[id] = true
	ctx := c.ctx
	c.tasks.Go(func() {
		delay := claimRetry
		for {
			token, err := c.jobs.ReleaseIfHeldBy(ctx, summary.ID, index, holder)
			if err == nil && token > 0 {
				err = c.jobs.ChangeSummary(ctx, summary.ID, func(s jobstate.Summary) (jobstate.Summary, bool) {
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
		delete(c.releasing, id)
	})
}
