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
	// cancelTimeout bounds the order to the engine to stop a run, since the slot counts as taken meanwhile.
	cancelTimeout = 250 * time.Millisecond
	// markRetry is the delay of an item whose start mark could not be made durable.
	markRetry = 5 * time.Second
	// maxQuarantineHolds and holdLimit: a short retry time of the quarantine means that another trial of the same
	// request runs; the item waits for it a few times.
	maxQuarantineHolds = 5
	holdLimit          = 30 * time.Second
	// reportTimeout bounds the report to the quarantine.
	reportTimeout = time.Second
	// defaultCost is the cost of an item without max_tokens, in tokens.
	defaultCost = 256
)

// run is one item taken from stock. It implements serving.BatchRun.
type run struct {
	c        *Controller
	p        *part
	index    int
	item     *line.Item
	request  serving.Request
	suspect  bool
	charge   int
	failures int
	// unstreamed is that of the item.
	unstreamed bool

	// answer collects the events of a streamed run; kept is the state that it goes on from, until the first event;
	// exported is its state after a preemption.
	answer   *answer
	kept     *state
	exported *state
	// tokens and upstream are read by admission while the run goes on; upstream is nil for an unstreamed run.
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

// Progress implements serving.BatchRun. A non-idempotent run can't be repeated, so it claims the most progress
// and is the last to be preempted. The progress of a run that is not streamed is not known.
func (r *run) Progress() (int, bool) {
	if r.item.NonIdempotent {
		return math.MaxInt, false
	}
	return int(r.tokens.Load()), r.resumable()
}

// Run implements serving.BatchRun.
func (r *run) Run(ctx context.Context, s *serving.Slot) serving.Usage {
	started := time.Now()
	if ctx.Err() != nil || r.p.ctx.Err() != nil {
		return r.back(0, serving.RunCancelled)
	}
	if usage, ok := r.checkQuarantine(ctx); !ok {
		return usage
	}
	if r.item.NonIdempotent {
		if err := r.p.mark(ctx, r.index); err != nil {
			return r.back(markRetry, serving.RunNotStarted)
		}
		// From here on the item may run only this once, so a preemption must not end it half-way.
		ctx = context.WithoutCancel(ctx)
	}
	result, err := r.invoke(ctx, s)
	r.report(s, result, err)
	usage := serving.Usage{Result: resultOf(result, err), Duration: time.Since(started)}
	if result != nil {
		usage.FirstToken, usage.BetweenTokens, usage.Tokens = result.FirstToken, result.BetweenTokens, result.Tokens
	}
	switch {
	case r.p.ctx.Err() != nil:
		// The part is lost or the job has ended: nothing is recorded.
		usage.Result = serving.RunCancelled
		r.c.ended(r)
	case r.exported != nil:
		return r.shelve()
	case errors.Is(err, errNotRebuilt):
		return r.backUnstreamed()
	case err != nil && ctx.Err() != nil, errors.Is(err, serving.ErrNotResumed):
		return r.back(0, serving.RunCancelled)
	default:
		r.settle(s, result, err)
	}
	return usage
}

// invoke calls the upstream. When the run is given up, the engine is told to stop.
func (r *run) invoke(ctx context.Context, s *serving.Slot) (*serving.Result, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(r.p.ctx, func() { stop(context.Cause(r.p.ctx)) })()
	ctx, timeout := context.WithDeadline(ctx, r.request.Deadline)
	defer timeout()
	call := serving.Call{RequestID: r.request.ID, CustomID: r.item.CustomID,
		IdempotencyKey: line.OutputID(r.p.id.job, r.p.rng.Item+r.index),
		Method:         r.item.Method, Path: r.item.Path, Header: http.Header{}, Body: r.item.Body}
	for name, value := range r.item.Headers {
		call.Header.Set(name, value)
	}
	if len(call.Body) > 0 {
		call.Header.Set("Content-Type", "application/json")
	}
	result, err := r.call(ctx, s.Upstream, call)
	if err != nil && (ctx.Err() != nil || restarts(err)) && !r.export(ctx, s.Upstream, err) {
		order, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer stop()
		if err := r.c.Invoker.Cancel(order, s.Upstream, r.request.ID); err != nil {
			r.explain(s.Upstream.Name, "cancel", "the engine did not confirm the cancel", map[string]any{"err": err.Error()})
		}
	}
	return result, err
}

// checkQuarantine asks whether the item may run now; if not, it deals with the item.
func (r *run) checkQuarantine(ctx context.Context) (serving.Usage, bool) {
	if r.c.Quarantine == nil {
		return serving.Usage{}, true
	}
	verdict, wait := r.c.Quarantine.Check(ctx, r.request.Fingerprint, r.request.ID)
	switch {
	case verdict == serving.VerdictClear:
		r.suspect = false
		return serving.Usage{}, true
	case verdict == serving.VerdictSuspect && wait <= 0 && r.request.Alone:
		r.suspect = true
		return serving.Usage{}, true
	case verdict == serving.VerdictSuspect:
		// The check may have reserved the trial run for this request id, which the item therefore keeps until
		// it gets an upstream on which it is alone.
		return r.hold(wait), false
	case wait > 0 && wait <= holdLimit && r.holds() < maxQuarantineHolds:
		return r.hold(wait), false
	}
	r.explain("", "quarantine", "the request crashed the upstreams that ran it", nil)
	r.record(&line.Output{Error: &line.Failure{Code: string(api.CodeQuarantined), Outcome: api.Failed,
		Message: "this request crashed the upstreams that ran it"}})
	return serving.Usage{Result: serving.RunCancelled}, false
}

func (r *run) holds() int {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return r.p.items[r.index].held
}

// hold returns an item to stock that may not run now. Without a wait it is a suspect and runs alone next; with one, an
// equal request is running, which is no reason to keep others off an upstream.
func (r *run) hold(wait time.Duration) serving.Usage {
	r.c.mu.Lock()
	r.p.items[r.index].suspect = r.p.items[r.index].suspect || wait <= 0
	r.p.items[r.index].requestID = r.request.ID
	if wait > 0 {
		r.p.items[r.index].held++
	}
	r.c.mu.Unlock()
	return r.back(wait, serving.RunCancelled)
}

// report tells the quarantine how an allowed run ended. A run that was given up or never started says nothing about
// the request, which an empty upstream stands for; without the report an equal item would wait for the reservation.
func (r *run) report(s *serving.Slot, result *serving.Result, err error) {
	if r.c.Quarantine == nil {
		return
	}
	died := errors.Is(err, serving.ErrUpstreamDied)
	upstream := s.Upstream.Name
	if result == nil && !died {
		upstream = ""
	}
	ctx, stop := context.WithTimeout(context.Background(), reportTimeout)
	defer stop()
	r.c.Quarantine.Finished(ctx, r.request.Fingerprint, r.request.ID, upstream, died)
}

// ending classifies a run that was not given up.
func (r *run) ending(result *serving.Result, err error) jobstate.Ending {
	switch {
	case errors.Is(err, serving.ErrNotStarted):
		return jobstate.EndNotStarted
	case errors.Is(err, serving.ErrUpstreamDied) && r.request.Alone:
		return jobstate.EndDiedAlone
	case errors.Is(err, serving.ErrUpstreamDied):
		return jobstate.EndDied
	case err != nil:
		return jobstate.EndInterrupted
	case result.Status == http.StatusTooManyRequests || result.Status >= http.StatusInternalServerError:
		return jobstate.EndRefused
	}
	return jobstate.EndAnswered
}

// settle records the result of a run or returns the item to stock.
func (r *run) settle(s *serving.Slot, result *serving.Result, err error) {
	ending := r.ending(result, err)
	step := jobstate.AfterRun(ending, r.item.NonIdempotent, r.charge, r.failures)
	if !step.Record {
		r.explain(s.Upstream.Name, "retry", string(ending), map[string]any{"attempts": step.Attempts, "delay": step.Delay.String()})
		r.c.mu.Lock()
		it := &r.p.items[r.index]
		it.failures++
		// The durable start mark of a run that did not start serves the next run.
		it.marked = r.item.NonIdempotent && ending == jobstate.EndNotStarted
		it.attempts = step.Attempts
		// A clear verdict at the next check lifts this; until then the item runs alone.
		it.suspect = it.suspect || ending == jobstate.EndDied || ending == jobstate.EndDiedAlone
		if step.Attempts != r.charge && !r.p.over {
			if r.p.group.Attempts == nil {
				r.p.group.Attempts = map[int]int{}
			}
			r.p.group.Attempts[r.index] = step.Attempts
		}
		r.c.mu.Unlock()
		r.back(step.Delay, "")
		return
	}
	if result != nil {
		r.explain(s.Upstream.Name, "complete", "the upstream answered", map[string]any{
			explain.ValueCustomID: r.item.CustomID, "status": result.Status, "request": r.request.ID})
		r.record(&line.Output{Response: &line.Response{StatusCode: result.Status, RequestID: r.request.ID, Body: line.Body(result.Body)}})
		return
	}
	f := &line.Failure{Code: string(api.CodeUpstream), Outcome: api.Failed, Message: err.Error()}
	if step.Unknown || errors.Is(err, serving.ErrInterrupted) {
		f.Outcome = api.Unknown
	}
	r.explain(s.Upstream.Name, "give-up", string(ending), map[string]any{"attempts": step.Attempts})
	r.record(&line.Output{Error: f})
}

func (r *run) record(o *line.Output) {
	o.CustomID = r.item.CustomID
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	delete(r.p.running, r.index)
	r.p.progressAt = time.Now()
	r.p.finish(r.index, o)
}

// back returns the item to stock.
func (r *run) back(delay time.Duration, result serving.RunResult) serving.Usage {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	delete(r.p.running, r.index)
	r.p.putBack(r.index, delay)
	r.p.kick()
	return serving.Usage{Result: result}
}

// ended notes the end of a run whose part is over.
func (c *Controller) ended(r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(r.p.running, r.index)
}

func (r *run) explain(upstream, decision, reason string, values map[string]any) {
	r.c.explain(r.p.id.job, r.p.id.job+"/"+strconv.Itoa(r.p.rng.Item+r.index), upstream, decision, reason, values)
}

// resultOf gives the end of a call its name for admission.
func resultOf(result *serving.Result, err error) serving.RunResult {
	switch {
	case errors.Is(err, serving.ErrNotStarted):
		return serving.RunNotStarted
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return serving.RunCancelled
	case err != nil:
		return serving.RunDied
	case result.Status >= http.StatusBadRequest:
		return serving.RunRejected
	}
	return serving.RunOK
}
