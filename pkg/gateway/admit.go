package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// verdictGrace is how long a granted slot waits for the verdict of the quarantine before it is released.
const verdictGrace = 20 * time.Millisecond

// verdict is the answer of the quarantine. A positive retryAfter says when a request that may not run may be resent.
type verdict struct {
	serving.Verdict
	retryAfter time.Duration
}

// admit asks the quarantine and admission at the same time and returns a slot that fits the verdict. alone is set for
// a request suspected of crashing upstreams, which gets an upstream to itself.
func (g *Gateway) admit(ctx context.Context, rs *requestState) (slot *serving.Slot, alone bool, err error) {
	if g.Quarantine == nil {
		slot, err = g.acquireSlot(ctx, rs, false)
		return slot, false, err
	}
	// The verdict usually arrives before the slot, unless the request has to wait for an equal one to end.
	slot, v, err := g.acquireDuringCheck(ctx, rs)
	alone = v.Verdict == serving.VerdictSuspect
	if err == nil || v.Verdict == serving.VerdictQuarantined {
		err = verdictError(v)
	}
	if err == nil && alone && slot != nil {
		g.releaseUnused(slot)
		slot = nil
	}
	if err == nil && slot == nil {
		slot, err = g.acquireSlot(ctx, rs, alone)
	}
	if err != nil {
		if slot != nil {
			g.releaseUnused(slot)
		}
		if v.Verdict != serving.VerdictQuarantined && v.retryAfter == 0 {
			g.Quarantine.ReportRun(ctx, rs.req.Works(), rs.req.ID, "", false)
		}
		return nil, false, err
	}
	return slot, alone, nil
}

// acquireDuringCheck acquires a slot while the quarantine checks the request. It returns no slot if the verdict comes
// first and is not VerdictClear, which needs an exclusive slot or none, or if the verdict comes more than verdictGrace
// after the slot.
func (g *Gateway) acquireDuringCheck(ctx context.Context, rs *requestState) (*serving.Slot, verdict, error) {
	checkCtx, stopCheck := context.WithCancel(ctx)
	defer stopCheck()
	acquireCtx, stopAcquire := context.WithCancel(ctx)
	defer stopAcquire()
	works, id := rs.req.Works(), rs.req.ID
	verdicts := make(chan verdict, 1)
	go func() {
		v, retry := g.Quarantine.Check(checkCtx, works, id)
		if v != serving.VerdictClear {
			stopAcquire()
		}
		verdicts <- verdict{v, retry}
	}()
	slot, err := g.acquireSlot(acquireCtx, rs, false)
	if err != nil {
		if acquireCtx.Err() != nil && ctx.Err() == nil {
			return nil, <-verdicts, nil
		}
		stopCheck()
		return nil, <-verdicts, err
	}
	timer := time.NewTimer(verdictGrace)
	defer timer.Stop()
	select {
	case v := <-verdicts:
		return slot, v, nil
	case <-timer.C:
		g.releaseUnused(slot)
		return nil, <-verdicts, nil
	}
}

// verdictError returns an error if the verdict forbids the request to run.
func verdictError(v verdict) error {
	switch {
	case v.Verdict == serving.VerdictQuarantined:
		err := api.Errorf(http.StatusUnprocessableEntity, api.CodeQuarantined, api.NotRun,
			"this request, or a part of its prompt, crashed the upstreams that ran it")
		err.RetryAfter = v.retryAfter
		return err
	case v.retryAfter > 0:
		err := api.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.NotRun,
			"upstreams crashed under this request or an equal one, which may not run now")
		err.RetryAfter = v.retryAfter
		return err
	}
	return nil
}

// acquireSlot gets a slot; with alone, one on an upstream that runs nothing else meanwhile.
func (g *Gateway) acquireSlot(ctx context.Context, rs *requestState, alone bool) (*serving.Slot, error) {
	req := rs.req
	req.Alone = alone
	slot, err := g.Slots.Acquire(ctx, req)
	if err != nil {
		return nil, err
	}
	g.explainDecision(rs, slot.Upstream.Name, "slot", "granted", map[string]any{
		"owner": slot.Owner, "queued": slot.QueueTime.String(), "alone": alone, "attempt": rs.attempts + 1,
	})
	return slot, nil
}

// releaseUnused returns a slot on which nothing was run.
func (g *Gateway) releaseUnused(slot *serving.Slot) {
	g.Slots.Release(slot, serving.Usage{Result: serving.RunCancelled})
}

// reportToQuarantine reports the end of a run to the quarantine. A run that was cancelled, or whose connection broke
// without a crash of the upstream, says nothing about the request.
func (g *Gateway) reportToQuarantine(ctx context.Context, rs *requestState, a attempt) {
	if g.Quarantine == nil {
		return
	}
	upstream := a.upstream
	crashed := errors.Is(a.err, serving.ErrUpstreamCrashed)
	if a.err != nil && !crashed {
		upstream = ""
	}
	works := rs.req.Works()
	if crashed && rs.stream && rs.events.replayed > 1 {
		works.Parts = nil
	}
	g.Quarantine.ReportRun(ctx, works, rs.req.ID, upstream, crashed)
}
