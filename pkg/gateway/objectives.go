package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// Objectives counts finished requests for the service-level objectives.
type Objectives interface {
	// Observe counts one request; a request that is not ok misses its objective whatever its latency.
	Observe(institution, class string, metric api.Metric, latency time.Duration, ok bool)
}

// observeObjectives counts a finished request for the service-level objectives. Latencies are measured from its arrival
// at this node, so that they include waiting and failed attempts. A request that its caller cancelled, or that got a
// 4xx status other than the gateway's own 408, is not counted, since it says nothing about the service.
func (g *Gateway) observeObjectives(ctx context.Context, rs *requestState, res *serving.Result, err error, arrived time.Time) {
	if g.Objectives == nil || errors.Is(context.Cause(ctx), context.Canceled) || err == nil && res.Status >= 400 && res.Status < 500 {
		return
	}
	var e *api.Error
	if errors.As(err, &e) && e.Status < 500 && e.Status != http.StatusRequestTimeout {
		return
	}
	took, ok := time.Since(arrived), err == nil && res.Status < 400
	count := func(metric api.Metric, latency time.Duration) {
		g.Objectives.Observe(rs.req.Institution, rs.req.Class, metric, latency, ok)
	}
	count(api.MetricDuration, took)
	if !rs.isInference() {
		return
	}
	if !ok {
		count(api.MetricFirstToken, took)
		return
	}
	count(api.MetricFirstToken, rs.lastEngineRunStart.Sub(arrived)+res.FirstToken)
	if res.BetweenTokens > 0 {
		count(api.MetricBetweenTokens, res.BetweenTokens)
	}
}
