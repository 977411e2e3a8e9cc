package customerlimits

import (
	"github.com/VictoriaMetrics/metrics"

	"trefoilplank.example/pkg/decision/customerlimit"
)

// Metrics counts decisions on requests of customers with a limit.
type Metrics struct{ passed, refused, asked *metrics.Counter }

// NewMetrics returns metrics that are registered in the set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		passed:  set.GetOrCreateCounter(`trefoilplank_customer_limit_decisions_total{outcome="passed"}`),
		refused: set.GetOrCreateCounter(`trefoilplank_customer_limit_decisions_total{outcome="refused"}`),
		asked:   set.GetOrCreateCounter(`trefoilplank_customer_limit_asked_total`),
	}
}

// countDecision counts one decision; asked is set if the hub was asked for it.
func (m *Metrics) countDecision(v customerlimit.Verdict, asked bool) {
	if m == nil {
		return
	}
	if v == customerlimit.Pass {
		m.passed.Inc()
	} else {
		m.refused.Inc()
	}
	if asked {
		m.asked.Inc()
	}
}
