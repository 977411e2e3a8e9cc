package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// Objectives counts finished requests against the service-level objectives.
type Objectives interface {
	// Observe counts one request; one that is not ok is bad whatever its latency.
	Observe(institution, class string, metric api.Metric, latency time.Duration, ok bool)
}

// observe counts a finished job. Times run from the arrival at this node, so that waiting and failed attempts count. A
// request that its caller gave up, or that is wrong in itself, says nothing about the service.
func (g *Gateway) observe(ctx context.Context, j *job, res *serving.Result, err error, arrived time.Time) {
	if g.Objectives == nil || errors.Is(context.Cause(ctx), context.Canceled) || err == nil && res.Status >= 400 && res.Status < 500 {
		return
	}
	var e *api.Error
	if errors.As(err, &e) && e.Status < 500 && e.Status != http.StatusRequestTimeout {
		return
	}
	took, ok := time.Since(arrived), err == nil && res.Status < 400
	count := func(metric api.Metric, latency time.Duration) {
		g.Objectives.Observe(j.req.Institution, j.req.Class, metric, latency, ok)
	}
	count(api.MetricDuration, took)
	if !j.engine() {
		return
	}
	if !ok {
		count(api.MetricFirstToken, took)
		return
	}
	count(api.MetricFirstToken, j.lastRun.Sub(arrived)+res.FirstToken)
	if res.BetweenTokens > 0 {
		count(api.MetricBetweenTokens, res.BetweenTokens)
	}
}
