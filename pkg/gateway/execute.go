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
	"trefoilplank.example/pkg/decision/retry"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

const (
	// retryAfter is the retry time of answers whose cause passes quickly.
	retryAfter = time.Second
	// cancelTimeout bounds the call that cancels a run.
	cancelTimeout = 2 * time.Second
)

// attempt is the result of one run on one upstream.
type attempt struct {
	upstream string
	began    time.Time
	res      *serving.Result
	err      error
}

// started reports whether the upstream may have begun the run.
func (a attempt) started() bool { return a.err == nil || !notStarted(a.err) }

// execute runs the job until it has an answer or is given up.
func (g *Gateway) execute(ctx context.Context, j *job) (*serving.Result, error) {
	for {
		a, err := g.attempt(ctx, j)
		if err != nil {
			return nil, g.giveUp(ctx, j, err)
		}
		if a.err == nil && !retryableStatus(a.res.Status) {
			g.succeeded()
			klog.V(1).InfoS("Request served", "request", j.req.ID, "institution", j.req.Institution, "class", j.req.Class,
				"upstream", a.upstream, "status", a.res.Status, "attempts", j.attempts+1)
			g.record(j, a.upstream, "complete", "the upstream answered", map[string]any{"status": a.res.Status, "attempts": j.attempts + 1})
			return a.res, nil
		}
		if ctx.Err() != nil {
			j.note(a)
			return nil, g.giveUp(ctx, j, context.Cause(ctx))
		}
		d := g.decideRetry(j, a)
		klog.V(1).InfoS("Attempt failed", "request", j.req.ID, "upstream", a.upstream, "retry", d.Retry, "reason", d.Reason,
			"err", errorText(a))
		g.record(j, a.upstream, "retry", d.Reason, map[string]any{
			"retry": d.Retry, "attempt": j.attempts, "begun": j.begun, "error": errorText(a),
		})
		if !d.Retry {
			if a.err == nil {
				return a.res, nil
			}
			return nil, g.giveUp(ctx, j, a.err)
		}
		g.exclude(j, a.upstream)
		select {
		case <-time.After(d.Delay):
		case <-ctx.Done():
			return nil, g.giveUp(ctx, j, context.Cause(ctx))
		}
	}
}

// exclude keeps the next attempt off the upstream. When every upstream that could serve has been tried, only the last
// one stays excluded, and a single one may be tried again.
func (g *Gateway) exclude(j *job, upstream string) {
	j.req.Exclude = append(j.req.Exclude, upstream)
	usable := 0
	for _, u := range g.Board.Config.Value().Register.Upstreams {
		if !u.Leaving && u.Serves(j.req.Model, j.req.Service) {
			usable++
			if !slices.Contains(j.req.Exclude, u.Name) {
				return
			}
		}
	}
	if j.req.Exclude = nil; usable > 1 {
		j.req.Exclude = []string{upstream}
	}
}

// retryableStatus reports whether an answer says that the upstream could not serve, rather than that the
// request is wrong.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// errNotLoaded means that an engine does not hold the model or adapter, which the register lists for it: it loads or
// changes it, and what the node knows of that lags. The engine began nothing, so another one may run the request.
var errNotLoaded = fmt.Errorf("the engine has not loaded the model: %w", serving.ErrNotStarted)

func errorText(a attempt) string {
	if a.err != nil {
		return a.err.Error()
	}
	return http.StatusText(a.res.Status)
}

// attempt gets a slot and runs the job on its upstream once. An error means that no run took place.
func (g *Gateway) attempt(ctx context.Context, j *job) (attempt, error) {
	slot, alone, err := g.admit(ctx, j)
	if err != nil {
		return attempt{}, err
	}
	if alone {
		ctx = service.WithProbe(ctx)
	}
	if err := g.claim(ctx, j); err != nil {
		g.giveBack(slot)
		g.finished(ctx, j, attempt{upstream: slot.Upstream.Name, err: err}, alone)
		return attempt{}, err
	}
	if j.hedge {
		return g.runHedged(ctx, j, slot, alone), nil
	}
	return g.run(ctx, j, slot, alone), nil
}

// run calls the upstream of the slot, then returns the slot and reports the end of the run.
func (g *Gateway) run(ctx context.Context, j *job, slot *serving.Slot, alone bool) attempt {
	start := time.Now()
	a := attempt{upstream: slot.Upstream.Name, began: start}
	if j.engine() {
		j.lastRun = start
	}
	if j.stream {
		j.events.restart()
		a.res, a.err = g.Invoker.Stream(ctx, slot.Upstream, j.call, j.events.emit)
		if a.err == nil && j.events.started() && (a.res.Status != http.StatusOK || !j.events.complete()) {
			a.err = errs.Combine(serving.ErrInterrupted, errDiverged)
			j.events.diverged = a.res.Status == http.StatusOK
		}
	} else {
		a.res, a.err = g.Invoker.Do(ctx, slot.Upstream, j.call)
	}
	usage := usageOf(ctx, a, time.Since(start))
	g.Slots.Release(slot, usage)
	g.finished(ctx, j, a, alone)
	if a.err != nil && !notStarted(a.err) && usage.Result == serving.RunCancelled {
		g.cancel(j, slot.Upstream)
	}
	if j.engine() && a.err == nil && a.res.Status == http.StatusNotFound {
		a.err = errNotLoaded
	}
	return a
}

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
	case errors.Is(a.err, serving.ErrUpstreamDied):
		u.Result = serving.RunDied
	case ctx.Err() != nil || errors.Is(a.err, errCallerGone) || errors.Is(a.err, errDiverged):
		u.Result = serving.RunCancelled
	default:
		u.Result = serving.RunDied
	}
	return u
}

// cancel stops a run that nobody waits for.
func (g *Gateway) cancel(j *job, u api.Upstream) {
	klog.V(1).InfoS("Cancelling run", "request", j.req.ID, "upstream", u.Name)
	g.record(j, u.Name, "cancel", "nobody waits for the answer", nil)
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		if err := g.Invoker.Cancel(ctx, u, j.req.ID); err != nil {
			klog.V(1).InfoS("Cancel failed", "request", j.req.ID, "upstream", u.Name, "err", err)
		}
	}()
}

func (g *Gateway) succeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Success(time.Now())
}

// notStarted reports that no upstream can have begun the request. An error that holds several causes counts as
// begun if any of them does.
func notStarted(err error) bool {
	return errors.Is(err, serving.ErrNotStarted) && !errors.Is(err, serving.ErrInterrupted) &&
		!errors.Is(err, serving.ErrMismatch) && !errors.Is(err, serving.ErrUpstreamDied)
}

// note counts a failed attempt.
func (j *job) note(a attempt) {
	j.attempts++
	if errors.Is(a.err, serving.ErrUpstreamDied) {
		j.deaths++
	}
	if a.started() {
		j.runs++
		j.begun = true
	}
}

// decideRetry counts a failed attempt and decides whether there is another one.
func (g *Gateway) decideRetry(j *job, a attempt) retry.Decision {
	j.note(a)
	g.mu.Lock()
	defer g.mu.Unlock()
	died := errors.Is(a.err, serving.ErrUpstreamDied) && g.newDeath(a, time.Now())
	return retry.Decide(retry.Attempt{
		Number: j.attempts, Runs: j.runs, Started: a.started(), Repeatable: j.repeatable, Died: died, Deaths: j.deaths,
		PassedOn: j.stream && j.events.diverged, Left: time.Until(j.req.Deadline),
	}, g.budget, time.Now(), g.Random())
}

// newDeath reports whether the attempt was in flight when its upstream died for the first time in retry.Window. An
// upstream that breaks every call would otherwise cost a further run for each of them. g.mu is held.
func (g *Gateway) newDeath(a attempt, now time.Time) bool {
	maps.DeleteFunc(g.firstDeaths, func(_ string, at time.Time) bool { return now.Sub(at) >= retry.Window })
	first, known := g.firstDeaths[a.upstream]
	if !known {
		g.firstDeaths[a.upstream] = now
	}
	return !known || a.began.Before(first)
}

// giveUp turns the last error into the one that the caller gets, with the outcome of all attempts.
func (g *Gateway) giveUp(ctx context.Context, j *job, err error) error {
	var e *api.Error
	switch {
	case errors.As(err, &e):
		copied := *e
		e = &copied
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		e = api.Errorf(http.StatusGatewayTimeout, api.CodeDeadline, api.NotRun, "the deadline has passed")
		e.RetryAfter = retryAfter
	case notStarted(err):
		e = api.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.NotRun, "no upstream could be reached")
		e.RetryAfter = retryAfter
	default:
		j.begun = true
		e = api.Errorf(http.StatusBadGateway, api.CodeUpstream, api.Unknown, "the upstream gave no whole answer")
		e.RetryAfter = retryAfter
	}
	if j.begun && e.Outcome == api.NotRun {
		e.Outcome = api.Unknown
		if e.Code == api.CodeQuarantined {
			// Each of its runs ended with its upstream.
			e.Outcome = api.Failed
		}
	}
	g.record(j, "", "give-up", e.Message, map[string]any{"outcome": e.Outcome, "status": e.Status, "attempts": j.attempts})
	klog.V(1).InfoS("Request given up", "request", j.req.ID, "institution", j.req.Institution, "code", e.Code,
		"outcome", e.Outcome, "attempts", j.attempts, "err", err)
	return e
}

func (g *Gateway) record(j *job, upstream, decision, reason string, values map[string]any) {
	g.Explain.Record(explain.Entry{
		Request: j.req.ID, Upstream: upstream, Decision: decision, Reason: reason, Values: values,
	})
}
