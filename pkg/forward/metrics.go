package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"trefoilplank.example/pkg/decision/drain"
	"trefoilplank.example/pkg/decision/routing"
)

// Metrics counts requests by outcome and measures their durations.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set} }

// countOutcome counts an event of a request: delivered, sent_again, refused, quarantined, failed, left (the caller
// disconnected), silence_borne (the upstream is unresponsive, but the budget allows no retry) or own_connection_failed (only
// this node does not reach the upstream).
func (m *Metrics) countOutcome(outcome string) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_requests_total{outcome="` + outcome + `"}`).Inc()
	}
}

// countDraining counts a decision on a request that came while the node drained, or one that was ended since the drain was over.
func (m *Metrics) countDraining(v drain.Verdict) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_drain_requests_total{verdict="` + string(v) + `"}`).Inc()
	}
}

// observeDelivered counts a delivered request and measures its duration and, for a stream, the time to the first event.
func (m *Metrics) observeDelivered(r *routing.Route, total, first time.Duration) {
	if m == nil {
		return
	}
	m.countOutcome("delivered")
	m.set.GetOrCreateHistogram(`trefoilplank_request_seconds{kind="` + string(r.Kind) + `"}`).Update(total.Seconds())
	if first > 0 {
		m.set.GetOrCreateHistogram(`trefoilplank_first_event_seconds{kind="` + string(r.Kind) + `"}`).Update(first.Seconds())
	}
}
