package batch

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/decision/jobstate"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// Bounds of a run.
const (
	// cancelTimeout bounds the call that cancels a run at the engine, since the slot stays occupied until it returns.
	cancelTimeout = 250 * time.Millisecond
	// startMarkRetry is the delay of an item whose start mark could not be made durable.
	startMarkRetry = 5 * time.Second
	// If the quarantine asks to wait for at most maxTrialWait, a trial run of an equal request is in progress; the item
	// waits for it up to maxTrialWaits times.
	maxTrialWaits = 5
	maxTrialWait  = 30 * time.Second
	// maxCheckWait bounds how long the quarantine may keep an item waiting while it occupies a slot.
	maxCheckWait = time.Second
	// reportTimeout bounds the report of a run's end to the quarantine.
	reportTimeout = time.Second
	// defaultCost is the cost of an item without max_tokens, in tokens.
	defaultCost = 256
)

// run is one run of an item that was taken from its part. It implements serving.BatchRun.
type run struct {
	c        *Controller
	p        *part
	index    int
	item     *line.Item
	request  serving.Request
	suspect  bool
	charge   int
	failures int
	// unstreamed is copied from the item.
	unstreamed bool

	// answer collects the events of a streamed run. resumedFrom is the state that the run resumes from, until its first
	// event; exported is its state after a preemption.
	answer      *answer
	resumedFrom *state
	exported    *state
	// tokens and upstream are read by admission during the run; upstream is nil for an unstreamed run.
	tokens   atomic.Int64
	upstream atomic.Pointer[string]
}

var _ serving.BatchRun = (*run)(nil)

func (r *run) cost() float64 {
	if r.item.Model == "" {
		return 1
	}
	if r.item.MaxTokens > 0 {
		return float64(r.item.PromptTokens + r.item.MaxTokens)
	}
	return float64(r.item.PromptTokens + defaultCost)
}

// Request implements serving.BatchRun.
func (r *run) Request() serving.Request { return r.request }

// Progress implements serving.BatchRun. A non-idempotent run can't be repeated, so it reports the largest progress and
// is preempted last. The progress of an unstreamed run is not known and reported as 0.
func (r *run) Progress() (int, bool) {
	if r.item.NonIdempotent {
		return math.MaxInt, false
	}
	return int(r.tokens.Load()), r.exportable()
}

// Run implements serving.BatchRun.
func (r *run) Run(ctx context.Context, s *serving.Slot) serving.Usage {
	started := time.Now()
	if ctx.Err() != nil || r.p.ctx.Err() != nil {
		return r.requeue(0, serving.RunCancelled)
	}
	if usage, ok := r.checkQuarantine(ctx); !ok {
		return usage
	}
	if r.item.NonIdempotent {
		if err := r.p.markStart(ctx, r.index); err != nil {
			return r.requeue(startMarkRetry, serving.RunNotStarted)
		}
		// The item may run only this once, so a preemption must not interrupt it from here on.
		ctx = context.WithoutCancel(ctx)
	}
	result, err := r.invoke(ctx, s)
	excused := r.report(s, result, err)
	usage := serving.Usage{Result: resultOf(result, err), Duration: time.Since(started)}
	if result != nil {
		usage.FirstToken, usage.BetweenTokens, usage.Tokens = result.FirstToken, result.BetweenTokens, result.Tokens
	}
	switch {
	case r.p.ctx.Err() != nil:
		// The part was lost or the job has ended, so nothing is recorded.
		usage.Result = serving.RunCancelled
		r.c.removeRun(r)
	case r.exported != nil:
		return r.requeueWithState()
	case errors.Is(err, errNotRebuilt):
		return r.requeueUnstreamed()
	case err != nil && ctx.Err() != nil, errors.Is(err, serving.ErrNotResumed):
		return r.requeue(0, serving.RunCancelled)
	default:
		r.recordOrRetry(s, result, err, excused)
	}
	return usage
}

// invoke calls the upstream. If the run is cancelled or must restart, invoke exports the run or cancels it at the engine.
func (r *run) invoke(ctx context.Context, s *serving.Slot) (*serving.Result, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(r.p.ctx, func() { stop(context.Cause(r.p.ctx)) })()
	ctx, timeout := context.WithDeadline(ctx, r.request.Deadline)
	defer timeout()
	call := serving.Call{RequestID: r.request.ID, CustomID: r.item.CustomID,
		IdempotencyKey: line.OutputID(r.p.id.job, r.p.itemRange.Item+r.index),
		Method:         r.item.Method, Path: r.item.Path, Header: http.Header{}, Body: r.item.Body}
	for name, value := range r.item.Headers {
		call.Header.Set(name, value)
	}
	if len(call.Body) > 0 {
		call.Header.Set("Content-Type", "application/json")
	}
	result, err := r.call(ctx, s.Upstream, call)
	if err != nil && (ctx.Err() != nil || mustRestart(err)) && !r.export(ctx, s.Upstream, err) {
		cancelCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer stop()
		if err := r.c.Invoker.Cancel(cancelCtx, s.Upstream, r.request.ID); err != nil {
			r.explain(s.Upstream.Name, "cancel", "the engine did not confirm the cancel", map[string]any{"err": err.Error()})
		}
	}
	return result, err
}

// checkQuarantine asks whether the item may run now. If not, it requeues the item or records its failure, and returns
// false.
func (r *run) checkQuarantine(ctx context.Context) (serving.Usage, bool) {
	if r.c.Quarantine == nil {
		return serving.Usage{}, true
	}
	ctx, stop := context.WithTimeout(ctx, maxCheckWait)
	defer stop()
	verdict, wait := r.c.Quarantine.Check(ctx, r.request.Works(), r.request.ID)
	switch {
	case verdict == serving.VerdictClear:
		r.suspect = false
		return serving.Usage{}, true
	case verdict == serving.VerdictSuspect && wait <= 0 && r.request.Alone:
		r.suspect = true
		return serving.Usage{}, true
	case verdict == serving.VerdictSuspect:
		// The check may have reserved a trial run for this request id, so the item keeps the id until it runs alone
		// on an upstream.
		return r.postpone(wait), false
	case wait > 0 && wait <= maxTrialWait && r.waitForTrial():
		return r.postpone(wait), false
	}
	r.explain("", "quarantine", "the request crashed the upstreams that ran it", nil)
	r.recordResult(&line.Output{Error: &line.Failure{Code: string(api.CodeQuarantined), Outcome: api.Failed,
		Message: "this request crashed the upstreams that ran it"}})
	return serving.Usage{Result: serving.RunCancelled}, false
}

// waitForTrial counts a wait for a trial run and reports whether the item may wait once more.
func (r *run) waitForTrial() bool {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	it := &r.p.items[r.index]
	if it.trialWaits >= maxTrialWaits {
		return false
	}
	it.trialWaits++
	return true
}

// postpone requeues an item that may not run now. Without a wait the item is a suspect and runs alone next. With a wait,
// an equal request is running or upstreams have just crashed, which is no reason to run the item alone.
func (r *run) postpone(wait time.Duration) serving.Usage {
	r.c.mu.Lock()
	r.p.items[r.index].suspect = r.p.items[r.index].suspect || wait <= 0
	r.p.items[r.index].requestID = r.request.ID
	r.c.mu.Unlock()
	return r.requeue(wait, serving.RunCancelled)
}

// report reports to the quarantine how an allowed run ended. A run that was cancelled or never started says nothing about
// the request and is reported with an empty upstream; without that report an equal item would wait until the
// reservation of the trial run expires. It returns whether the upstream crashed for a cause other than the item.
func (r *run) report(s *serving.Slot, result *serving.Result, err error) (excused bool) {
	if r.c.Quarantine == nil {
		return false
	}
	crashed := errors.Is(err, serving.ErrUpstreamCrashed)
	upstream := s.Upstream.Name
	if result == nil && !crashed {
		upstream = ""
	}
	ctx, stop := context.WithTimeout(context.Background(), reportTimeout)
	defer stop()
	works := r.request.Works()
	if crashed && r.tokens.Load() > 1 {
		works.Parts = nil
	}
	return r.c.Quarantine.ReportRun(ctx, works, r.request.ID, upstream, crashed)
}

// ending classifies the end of a run that was not cancelled; excused is set if its upstream crashed for a cause other than
// the item.
func (r *run) ending(result *serving.Result, err error, excused bool) jobstate.Ending {
	switch {
	case errors.Is(err, serving.ErrNotStarted):
		return jobstate.EndNotStarted
	case excused:
		return jobstate.EndCrashExcused
	case errors.Is(err, serving.ErrUpstreamCrashed) && r.request.Alone:
		return jobstate.EndCrashedAlone
	case errors.Is(err, serving.ErrUpstreamCrashed):
		return jobstate.EndCrashed
	case err != nil:
		return jobstate.EndInterrupted
	case result.Status == http.StatusTooManyRequests || result.Status >= http.StatusInternalServerError:
		return jobstate.EndRefused
	}
	return jobstate.EndAnswered
}

// recordOrRetry records the result of a run, or requeues the item for another run.
func (r *run) recordOrRetry(s *serving.Slot, result *serving.Result, err error, excused bool) {
	ending := r.ending(result, err, excused)
	step := jobstate.AfterRun(ending, r.item.NonIdempotent, r.charge, r.failures)
	if !step.Record {
		r.explain(s.Upstream.Name, "retry", string(ending), map[string]any{"attempts": step.Charge, "delay": step.Delay.String()})
		r.c.mu.Lock()
		it := &r.p.items[r.index]
		it.failures++
		// The durable start mark of a run that did not start is used by the next run.
		it.marked = r.item.NonIdempotent && ending == jobstate.EndNotStarted
		it.charge = step.Charge
		// The item runs alone until a check of the quarantine returns a clear verdict.
		it.suspect = it.suspect || ending == jobstate.EndCrashed || ending == jobstate.EndCrashedAlone
		if step.Charge != r.charge && !r.p.dropped {
			if r.p.group.Charges == nil {
				r.p.group.Charges = map[int]int{}
			}
			r.p.group.Charges[r.index] = step.Charge
		}
		r.c.mu.Unlock()
		r.requeue(step.Delay, "")
		return
	}
	if result != nil {
		r.explain(s.Upstream.Name, "complete", "the upstream answered", map[string]any{
			explain.ValueCustomID: r.item.CustomID, "status": result.Status, "request": r.request.ID})
		r.recordResult(&line.Output{Response: &line.Response{StatusCode: result.Status, RequestID: r.request.ID, Body: line.JSONBody(result.Body)}})
		return
	}
	f := &line.Failure{Code: string(api.CodeUpstream), Outcome: api.Failed, Message: err.Error()}
	if step.Unknown || errors.Is(err, serving.ErrInterrupted) {
		f.Outcome = api.Unknown
	}
	r.explain(s.Upstream.Name, "give-up", string(ending), map[string]any{"attempts": step.Charge})
	r.recordResult(&line.Output{Error: f})
}

func (r *run) recordResult(o *line.Output) {
	o.CustomID = r.item.CustomID
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	delete(r.p.running, r.index)
	r.p.progressAt = time.Now()
	r.p.addResult(r.index, o)
}

// requeue makes the item ready again after delay.
func (r *run) requeue(delay time.Duration, result serving.RunResult) serving.Usage {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	delete(r.p.running, r.index)
	r.p.requeue(r.index, delay)
	r.p.signalCommitter()
	return serving.Usage{Result: result}
}

// removeRun removes a run whose part was dropped from the part's running items.
func (c *Controller) removeRun(r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(r.p.running, r.index)
}

func (r *run) explain(upstream, decision, reason string, values map[string]any) {
	r.c.explain(r.p.id.job, r.p.id.job+"/"+strconv.Itoa(r.p.itemRange.Item+r.index), upstream, decision, reason, values)
}

// resultOf returns the run result that is reported to admission for the end of a call.
func resultOf(result *serving.Result, err error) serving.RunResult {
	switch {
	case errors.Is(err, serving.ErrNotStarted):
		return serving.RunNotStarted
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return serving.RunCancelled
	case err != nil:
		return serving.RunCrashed
	case result.Status >= http.StatusBadRequest:
		return serving.RunRejected
	}
	return serving.RunOK
}
