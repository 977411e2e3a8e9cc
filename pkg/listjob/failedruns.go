package listjob

import (
	"context"
	"errors"
	"time"

	"trefoilplank.example/pkg/decision/dispatch"
	decision "trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/forward"
)

// holdFailed reports whether a waiting item must not run now because of its failed runs at this node and others: it has
// used its attempts, and its result is queued, or upstreams crashed under it, and it waits.
func (c *Controller) holdFailed(it *item, route *routing.Route, now time.Time) bool {
	if c.attemptsUsed(it, route) {
		c.options.Log.Notice("item failed: upstreams answered its earlier runs with errors", "job", it.job.head.ID, "item", it.ID)
		c.finishItem(it, Result{ID: it.ID, State: Failed})
		return true
	}
	until := c.options.FailedRuns.PausedUntil(func() decision.Works { return c.works(it) })
	if !now.Before(until) {
		return false
	}
	it.job.mu.Lock()
	defer it.job.mu.Unlock()
	if !until.Equal(it.pausedUntil) {
		it.pausedUntil = until
		c.options.Log.Notice("item waits, since upstreams crashed while they ran it", "job", it.job.head.ID, "item", it.ID, "fingerprint", it.fingerprint,
			"for_ms", until.Sub(now).Milliseconds())
	}
	it.notBefore = now.Add(min(until.Sub(now), pauseReview))
	return true
}

// pauseReview is how often a pause is reviewed: other nodes may report what explains the crashes, or a run without a crash.
const pauseReview = 500 * time.Millisecond

// attemptsUsed reports whether an item may not run again, by the answers that its runs have had at this node and others.
func (c *Controller) attemptsUsed(it *item, route *routing.Route) bool {
	it.job.mu.Lock()
	failures := it.failures
	it.job.mu.Unlock()
	attempts := 1
	if route != nil {
		attempts = max(1, route.MaxAttempts)
	}
	return max(failures, c.options.FailedRuns.Failures(it.key, decision.Errored)) >= attempts ||
		c.options.FailedRuns.Failures(it.key, decision.Rejected) > 0
}

// recordFailedRun records how a run failed, and waits until other nodes know of it, so that it counts before this node
// or a later owner of the job repeats the run.
func (c *Controller) recordFailedRun(ctx context.Context, it *item, u dispatch.Upstream, err error) {
	works := c.works(it)
	if err == nil {
		c.options.FailedRuns.PartsSurvived(works.Parts)
	}
	if it.beganWriting {
		works.Parts = nil
	}
	switch runs := c.options.FailedRuns; {
	case err == nil:
		runs.Survived(it.fingerprint)
	case errors.Is(err, errItemRejected):
		runs.Failed(ctx, it.key, decision.Rejected, u.ID)
	case errors.Is(err, errRunFailed):
		runs.Failed(ctx, it.key, decision.Errored, u.ID)
	case errors.Is(err, forward.ErrOwnConnection):
	case errors.Is(err, forward.ErrUnresponsive):
		runs.Silent(works, u, it.runStart)
	case ctx.Err() == nil && forward.BrokeOff(err):
		runs.Broken(ctx, works, u, it.runStart)
	}
}

// works returns what a run of an item can be blamed for.
func (c *Controller) works(it *item) decision.Works {
	it.job.mu.Lock()
	request := newRequest(it.job.head, &it.Item)
	route := c.routeOf(it)
	it.job.mu.Unlock()
	if route == nil {
		return decision.Works{Request: it.fingerprint}
	}
	return c.options.Client.Works(request, route.Pick(0))
}
