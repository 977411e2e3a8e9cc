package failedruns

import (
	"context"
	"maps"
	"time"

	"trefoilplank.example/pkg/decision/failedruns"
)

// trialTime is how long a granted trial keeps other nodes from another one of the same request: a run and the report of
// its end.
const trialTime = 10 * time.Second

// TryTrial reports whether a quarantined request may run once now, alone on an upstream, to show whether it crashes it.
// One node grants all trials of a request or of a part of prompts, so that equal requests do not run at the same time.
func (c *Controller) TryTrial(ctx context.Context, works failedruns.Works) bool {
	if c.TrialIn(works) > 0 {
		return false
	}
	c.mu.Lock()
	blamed := c.ledger.Blamed(works, time.Now())
	c.mu.Unlock()
	for _, work := range blamed {
		if !c.askTrial(ctx, work) {
			return false
		}
		c.options.Log.Notice("quarantined request runs alone", "fingerprint", works.Request, "quarantined", work)
	}
	return true
}

// askTrial asks the owner of a quarantined work for a trial.
func (c *Controller) askTrial(ctx context.Context, work string) bool {
	owner := c.options.Owner(work)
	if owner == c.options.Node {
		return c.grantTrial(work)
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var reply TrialReply
	if err := c.options.Peers.Call(ctx, owner, "FailedRuns.Trial", TrialArgs{Fingerprint: work}, &reply); err != nil {
		c.options.Log.Notice("trial of quarantined request not granted", "fingerprint", work, "member", owner, "error", err)
	}
	return reply.Granted
}

// ComeBackIn returns the time after which the caller of a quarantined request should send it again: when a trial is due, or
// when the one in progress has ended.
func (c *Controller) ComeBackIn(works failedruns.Works) time.Duration {
	if wait := c.TrialIn(works); wait > 0 {
		return wait
	}
	return trialTime
}

// TrialIn returns the time after which a quarantined request may run once, as far as this node knows.
func (c *Controller) TrialIn(works failedruns.Works) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.TrialIn(works, time.Now())
}

// grantTrial grants a trial of a work unless one is not due yet or was granted within trialTime.
func (c *Controller) grantTrial(work string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.trials, func(_ string, at time.Time) bool { return now.Sub(at) >= trialTime })
	if _, granted := c.trials[work]; granted || c.ledger.TrialIn(failedruns.Works{Request: work}, now) > 0 {
		return false
	}
	c.trials[work] = now
	return true
}

// ItemBegan records that a batch item is sent to an upstream, so that others with a part under which upstreams have crashed wait for
// its end. It returns what ItemEnded needs, zero if the item has no such part.
func (c *Controller) ItemBegan(works func() failedruns.Works) (trial time.Time) {
	if c == nil || !c.blames.Load() {
		return time.Time{}
	}
	w := works()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, work := range c.ledger.Blamed(failedruns.Works{Parts: w.Parts}, now) {
		c.trials[work], trial = now, now
	}
	return trial
}

// ItemEnded records the end of a run that ItemBegan recorded, however it ended.
func (c *Controller) ItemEnded(works failedruns.Works, trial time.Time) {
	if c == nil || trial.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range works.Parts {
		if c.trials[part].Equal(trial) {
			delete(c.trials, part)
		}
	}
}
