package loadshare

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts exchanges.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are written with the set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set} }

// exchanged counts one exchange by its outcome, answered or failed, and measures how long the hub took to answer.
func (m *Metrics) exchanged(answered bool, took time.Duration) {
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
