package loadshare

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts exchanges with the hub and measures their duration.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in the set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set} }

// observeExchange counts one exchange by its outcome, answered or failed, and records how long the hub took to answer.
func (m *Metrics) observeExchange(answered bool, took time.Duration) {
	if m == nil {
		return
	}
	if !answered {
		m.set.GetOrCreateCounter(`trefoilplank_exchanges_total{outcome="failed"}`).Inc()
		return
	}
	m.set.GetOrCreateCounter(`trefoilplank_exchanges_total{outcome="answered"}`).Inc()
	m.set.GetOrCreateHistogram(`trefoilplank_exchange_seconds`).Update(took.Seconds())
}

// setUneven records how many upstreams are uneven by the evidence of all nodes, while this node is the hub.
func (m *Metrics) setUneven(upstreams int) {
	if m != nil {
		m.set.GetOrCreateGauge(`trefoilplank_uneven_upstreams`, nil).Set(float64(upstreams))
	}
}
