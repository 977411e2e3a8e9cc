package gateway

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// checkGrace is how long a slot is kept while the verdict on the request is still open.
const checkGrace = 20 * time.Millisecond

// verdict is the answer of the quarantine.
type verdict struct {
	serving.Verdict
	retry time.Duration
}

// admit asks the quarantine and admission at the same time and returns a slot that suits the verdict. alone is set
// for the run of a suspect.
func (g *Gateway) admit(ctx context.Context, j *job) (slot *serving.Slot, alone bool, err error) {
	if g.Quarantine == nil {
		slot, err = g.acquire(ctx, j, false)
		return slot, false, err
	}
	// A verdict usually arrives before the slot; only a request that has to wait for an equal one has none yet.
	slot, v, err := g.acquireBeside(ctx, j)
	alone = v.Verdict == serving.VerdictSuspect
	if err == nil || v.Verdict == serving.VerdictQuarantined {
		err = refusal(v)
	}
	if err == nil && alone && slot != nil {
		g.giveBack(slot)
		slot = nil
	}
	if err == nil && slot == nil {
		slot, err = g.acquire(ctx, j, alone)
	}
	if err != nil {
		if slot != nil {
			g.giveBack(slot)
		}
		if v.Verdict != serving.VerdictQuarantined && v.retry == 0 {
			g.Quarantine.Finished(ctx, j.req.Fingerprint, j.req.ID, "", false)
		}
		return nil, false, err
	}
	return slot, alone, nil
}

// acquireBeside asks for the verdict and acquires a slot meanwhile. It returns without a slot when the verdict comes
// first and needs another kind of slot or none, or when it takes longer than checkGrace after the slot.
func (g *Gateway) acquireBeside(ctx context.Context, j *job) (*serving.Slot, verdict, error) {
	checkCtx, stopCheck := context.WithCancel(ctx)
	defer stopCheck()
	acquireCtx, stopAcquire := context.WithCancel(ctx)
	defer stopAcquire()
	fingerprint, id := j.req.Fingerprint, j.req.ID
	verdicts := make(chan verdict, 1)
	go func() {
		v, retry := g.Quarantine.Check(checkCtx, fingerprint, id)
		if v != serving.VerdictClear {
			stopAcquire()
		}
		verdicts <- verdict{v, retry}
	}()
	slot, err := g.acquire(acquireCtx, j, false)
	if err != nil {
		if acquireCtx.Err() != nil && ctx.Err() == nil {
			return nil, <-verdicts, nil
		}
		stopCheck()
		return nil, <-verdicts, err
	}
	timer := time.NewTimer(checkGrace)
	defer timer.Stop()
	select {
	case v := <-verdicts:
		return slot, v, nil
	case <-timer.C:
		g.giveBack(slot)
		return nil, <-verdicts, nil
	}
}

// refusal returns the error of a verdict that lets the request not run.
func refusal(v verdict) error {
	switch {
	case v.Verdict == serving.VerdictQuarantined:
		err := api.Errorf(http.StatusUnprocessableEntity, api.CodeQuarantined, api.NotRun,
			"this request crashed the upstreams that ran it")
		err.RetryAfter = v.retry
		return err
	case v.retry > 0:
		err := api.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.NotRun,
			"an equal request that may crash upstreams is running")
		err.RetryAfter = v.retry
		return err
	}
	return nil
}

// acquire gets a slot, alone on its upstream if asked.
func (g *Gateway) acquire(ctx context.Context, j *job, alone bool) (*serving.Slot, error) {
	req := j.req
	req.Alone = alone
	slot, err := g.Slots.Acquire(ctx, req)
	if err != nil {
		return nil, err
	}
	g.record(j, slot.Upstream.Name, "slot", "granted", map[string]any{
		"owner": slot.Owner, "queued": slot.Queued.String(), "alone": alone, "attempt": j.attempts + 1,
	})
	return slot, nil
}

func (g *Gateway) giveBack(slot *serving.Slot) {
	g.Slots.Release(slot, serving.Usage{Result: serving.RunCancelled})
}

const (
	// deathWindow and commonDeaths tell a common cause, such as the loss of a rack, from a request that crashes
	// upstreams: such a request runs once at a time, so that it takes down one upstream after the other.
	deathWindow  = 2 * time.Second
	commonDeaths = 3
)

// commonCause records the death of an upstream and reports whether several died at about the same time.
func (g *Gateway) commonCause(upstream string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.deaths, func(_ string, at time.Time) bool { return now.Sub(at) > deathWindow })
	g.deaths[upstream] = now
	return len(g.deaths) >= commonDeaths
}

// finished reports the end of a run to the quarantine. A run that was cancelled, or cut without a death of the
// upstream, says nothing about the request. Neither does one that died with several upstreams, unless it was alone:
// hundreds of suspects that each need an idle upstream would harm all others.
func (g *Gateway) finished(ctx context.Context, j *job, a attempt, alone bool) {
	if g.Quarantine == nil {
		return
	}
	upstream := a.upstream
	died := errors.Is(a.err, serving.ErrUpstreamDied)
	if died && g.commonCause(upstream, time.Now()) && !alone {
		g.record(j, upstream, "crash-excused", "several upstreams died at the same time", nil)
		died = false
	}
	if a.err != nil && !died {
		upstream = ""
	}
	g.Quarantine.Finished(ctx, j.req.Fingerprint, j.req.ID, upstream, died)
}
