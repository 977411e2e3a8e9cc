package streamversions

import "github.com/VictoriaMetrics/metrics"

// Metrics counts the questions to other nodes.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set} }

// countLookup counts a question by its outcome: found or unknown.
func (m *Metrics) countLookup(outcome string) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_stream_version_lookups_total{outcome="` + outcome + `"}`).Inc()
	}
}
