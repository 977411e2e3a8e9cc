package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/service"
	"trefoilplank.example/pkg/controller/drain"
	"trefoilplank.example/pkg/decision/retry"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

const (
	// retryAfter is the Retry-After of errors whose cause usually passes quickly.
	retryAfter = time.Second
	// cancelTimeout bounds the call that cancels a run.
	cancelTimeout = 2 * time.Second
)

// attempt is the result of one run on one upstream; upstream is empty if no slot was granted.
type attempt struct {
	upstream  string
	startedAt time.Time
	res       *serving.Result
	err       error
}

// maybeStarted reports whether the upstream may have started the run.
func (a attempt) maybeStarted() bool { return a.err == nil || !notStarted(a.err) }

// execute attempts the request until an attempt succeeds, no retry is allowed or ctx ends.
func (g *Gateway) execute(ctx context.Context, rs *requestState) (*serving.Result, error) {
	for {
		a, err := g.attemptOnce(ctx, rs)
		if err != nil {
			return nil, g.finalError(ctx, rs, err)
		}
		if a.err == nil && !retryableStatus(a.res.Status) {
			g.recordSuccess()
			klog.V(1).InfoS("Request served", "request", rs.req.ID, "institution", rs.req.Institution, "class", rs.req.Class,
				"upstream", a.upstream, "status", a.res.Status, "attempts", rs.attempts+1)
			g.explainDecision(rs, a.upstream, "complete", "the upstream answered", map[string]any{"status": a.res.Status, "attempts": rs.attempts + 1})
			return a.res, nil
		}
		if ctx.Err() != nil {
			rs.countFailure(a)
			return nil, g.finalError(ctx, rs, context.Cause(ctx))
		}
		d := g.decideRetry(rs, a)
		klog.V(1).InfoS("Attempt failed", "request", rs.req.ID, "upstream", a.upstream, "retry", d.Retry, "reason", d.Reason,
			"err", errorText(a))
		g.explainDecision(rs, a.upstream, "retry", d.Reason, map[string]any{
			"retry": d.Retry, "attempt": rs.attempts, "begun": rs.mayHaveRun, "error": errorText(a),
		})
		if !d.Retry {
			if a.err == nil {
				return a.res, nil
			}
			return nil, g.finalError(ctx, rs, a.err)
		}
		g.exclude(rs, a.upstream)
		select {
		case <-time.After(d.Delay):
		case <-ctx.Done():
			return nil, g.finalError(ctx, rs, context.Cause(ctx))
		}
	}
}

// exclude excludes the upstream from the next attempt. Once every suitable upstream has been tried, only the last one
// stays excluded; the only suitable upstream may be tried again.
func (g *Gateway) exclude(rs *requestState, upstream string) {
	rs.req.Exclude = append(rs.req.Exclude, upstream)
	usable := 0
	for _, u := range g.Board.Config.Value().Register.Upstreams {
		if !u.Leaving && u.Serves(rs.req.Model, rs.req.Service) {
			usable++
			if !slices.Contains(rs.req.Exclude, u.Name) {
				return
			}
		}
	}
	if rs.req.Exclude = nil; usable > 1 {
		rs.req.Exclude = []string{upstream}
	}
}

// retryableStatus reports whether a status means that the upstream could not serve the request, rather than that the
// request itself is wrong.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// errNotLoaded means that an engine has not loaded a model or adapter that the register lists for it: it is loading or
// switching, and this node's view of it is out of date. The engine started nothing, so another one may run the request.
var errNotLoaded = fmt.Errorf("the engine has not loaded the model: %w", serving.ErrNotStarted)

// errorText describes why an attempt failed: its error, or the status of its answer.
func errorText(a attempt) string {
	if a.err != nil {
		return a.err.Error()
	}
	return http.StatusText(a.res.Status)
}

// attemptOnce gets a slot and runs the request once on its upstream. An error means that no run took place.
func (g *Gateway) attemptOnce(ctx context.Context, rs *requestState) (attempt, error) {
	slot, alone, err := g.admit(ctx, rs)
	if err != nil {
		return attempt{}, err
	}
	if alone {
		ctx = service.WithProbe(ctx)
	}
	err = g.ensureClaim(ctx, rs)
	if err == nil && g.Gate.Context().Err() != nil {
		// The end of a drain frees slots, and ends this request a moment later.
		err = errStopping()
	}
	if err != nil {
		g.releaseUnused(slot)
		g.reportToQuarantine(ctx, rs, attempt{upstream: slot.Upstream.Name, err: err})
		return attempt{}, err
	}
	if rs.hedgeable {
		return g.runHedged(ctx, rs, slot, alone), nil
	}
	return g.run(ctx, rs, slot), nil
}

// run sends the request to the upstream of the slot, then releases the slot and reports the end of the run.
func (g *Gateway) run(ctx context.Context, rs *requestState, slot *serving.Slot) attempt {
	start := time.Now()
	a := attempt{upstream: slot.Upstream.Name, startedAt: start}
	if rs.isInference() {
		rs.lastEngineRunStart = start
	}
	if rs.stream {
		rs.events.beginRun()
		a.res, a.err = g.Invoker.Stream(ctx, slot.Upstream, rs.call, rs.events.emit)
		if a.err == nil && rs.events.started() && (a.res.Status != http.StatusOK || !rs.events.caughtUp()) {
			a.err = errs.Combine(serving.ErrInterrupted, errDiverged)
			rs.events.diverged = a.res.Status == http.StatusOK
		}
	} else {
		a.res, a.err = g.Invoker.Do(ctx, slot.Upstream, rs.call)
	}
	usage := usageOf(ctx, a, time.Since(start))
	g.Slots.Release(slot, usage)
	g.reportToQuarantine(ctx, rs, a)
	if a.err != nil && !notStarted(a.err) && usage.Result == serving.RunCancelled {
		g.cancelRun(rs, slot.Upstream)
	}
	if rs.isInference() && a.err == nil && a.res.Status == http.StatusNotFound {
		a.err = errNotLoaded
	}
	return a
}

// usageOf returns what admission learns from the run: how it ended, how long it took and the latency of its tokens.
func usageOf(ctx context.Context, a attempt, took time.Duration) serving.Usage {
	u := serving.Usage{Duration: took}
	switch {
	case a.err == nil && a.res.Status < 500 && a.res.Status != http.StatusTooManyRequests:
		u.Result = serving.RunOK
		u.FirstToken, u.BetweenTokens, u.Tokens = a.res.FirstToken, a.res.BetweenTokens, a.res.Tokens
	case a.err == nil:
		u.Result = serving.RunRejected
	case notStarted(a.err):
		u.Result = serving.RunNotStarted
	case errors.Is(a.err, serving.ErrUpstreamCrashed):
		u.Result = serving.RunCrashed
	case ctx.Err() != nil || errors.Is(a.err, errCallerGone) || errors.Is(a.err, errDiverged):
		u.Result = serving.RunCancelled
	default:
		u.Result = serving.RunCrashed
	}
	return u
}

// cancelRun asks the upstream, in the background, to stop a run whose answer nobody waits for.
func (g *Gateway) cancelRun(rs *requestState, u api.Upstream) {
	klog.V(1).InfoS("Cancelling run", "request", rs.req.ID, "upstream", u.Name)
	g.explainDecision(rs, u.Name, "cancel", "the answer is no longer needed", nil)
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		if err := g.Invoker.Cancel(ctx, u, rs.req.ID); err != nil {
			klog.V(1).InfoS("Cancelling run failed", "request", rs.req.ID, "upstream", u.Name, "err", err)
		}
	}()
}

// recordSuccess adds a successful request to the retry budget, which allows retries in proportion to the successes.
func (g *Gateway) recordSuccess() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget.RecordSuccess(time.Now())
}

// notStarted reports whether the error shows that no upstream can have started the request. An error with several
// causes counts as started if any of them does.
func notStarted(err error) bool {
	return errors.Is(err, serving.ErrNotStarted) && !errors.Is(err, serving.ErrInterrupted) &&
		!errors.Is(err, serving.ErrMismatch) && !errors.Is(err, serving.ErrUpstreamCrashed)
}

// countFailure adds a failed attempt to the counters of the request.
func (rs *requestState) countFailure(a attempt) {
	rs.attempts++
	if errors.Is(a.err, serving.ErrUpstreamCrashed) {
		rs.crashes++
	}
	if a.maybeStarted() {
		rs.runs++
		rs.mayHaveRun = true
	}
}

// decideRetry counts a failed attempt and decides whether and when to retry.
func (g *Gateway) decideRetry(rs *requestState, a attempt) retry.Decision {
	rs.countFailure(a)
	g.mu.Lock()
	defer g.mu.Unlock()
	crashed := errors.Is(a.err, serving.ErrUpstreamCrashed) && g.countsAsCrash(a, time.Now())
	return retry.Decide(retry.Attempt{
		Number: rs.attempts, Runs: rs.runs, Started: a.maybeStarted(), Repeatable: rs.repeatable, UpstreamCrashed: crashed, Crashes: rs.crashes,
		PartlyAnswered: rs.stream && rs.events.diverged, TimeLeft: time.Until(rs.req.Deadline),
	}, g.retryBudget, time.Now(), g.Random())
}

// countsAsCrash reports whether the attempt was in flight at the first crash of its upstream within retry.Window. If
// later crashes counted too, an upstream that breaks every call would cost an additional run for each call. The caller
// holds g.mu.
func (g *Gateway) countsAsCrash(a attempt, now time.Time) bool {
	maps.DeleteFunc(g.firstCrashes, func(_ string, at time.Time) bool { return now.Sub(at) >= retry.Window })
	first, known := g.firstCrashes[a.upstream]
	if !known {
		g.firstCrashes[a.upstream] = now
	}
	return !known || a.startedAt.Before(first)
}

// finalError returns the error that the caller gets for the last error, with the outcome over all attempts.
func (g *Gateway) finalError(ctx context.Context, rs *requestState, err error) error {
	var e *api.Error
	switch {
	case errors.As(err, &e) && (!drain.Ended(ctx) || e.Outcome != api.NotRun):
		copied := *e
		e = &copied
	case drain.Ended(ctx) && !rs.mayHaveRun:
		e = errStopping()
	case drain.Ended(ctx):
		e = api.Errorf(http.StatusGatewayTimeout, api.CodeNotReady, api.Unknown, "the node stopped before the upstream answered")
		e.RetryAfter = retryAfter
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		e = api.Errorf(http.StatusGatewayTimeout, api.CodeDeadline, api.NotRun, "the deadline has passed")
		e.RetryAfter = retryAfter
	case notStarted(err):
		e = api.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.NotRun, "no upstream could be reached")
		e.RetryAfter = retryAfter
	default:
		rs.mayHaveRun = true
		e = api.Errorf(http.StatusBadGateway, api.CodeUpstream, api.Unknown, "the upstream gave no whole answer")
		e.RetryAfter = retryAfter
	}
	if rs.mayHaveRun && e.Outcome == api.NotRun {
		e.Outcome = api.Unknown
		if e.Code == api.CodeQuarantined {
			// Every run of the request ended with a crash of its upstream, so none gave a result.
			e.Outcome = api.Failed
		}
	}
	g.explainDecision(rs, "", "give-up", e.Message, map[string]any{"outcome": e.Outcome, "status": e.Status, "attempts": rs.attempts})
	klog.V(1).InfoS("Request failed", "request", rs.req.ID, "institution", rs.req.Institution, "code", e.Code,
		"outcome", e.Outcome, "attempts", rs.attempts, "err", err)
	return e
}

// explainDecision adds an entry about the request to the explain log.
func (g *Gateway) explainDecision(rs *requestState, upstream, decision, reason string, values map[string]any) {
	g.Explain.Record(explain.Entry{
		Request: rs.req.ID, Upstream: upstream, Decision: decision, Reason: reason, Values: values,
	})
}
