package failedruns

import (
	"github.com/VictoriaMetrics/metrics"

	"trefoilplank.example/pkg/decision/failedruns"
)

// Metrics counts failed runs and quarantines.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set} }

var kindLabels = map[failedruns.Kind]string{failedruns.Crashed: "crashed", failedruns.Errored: "errored", failedruns.Rejected: "rejected"}

// countFailedRun counts a failed run of this node.
func (m *Metrics) countFailedRun(k failedruns.Kind) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_failed_runs_total{kind="` + kindLabels[k] + `"}`).Inc()
	}
}

// countQuarantine counts a request that this node begins to keep from upstreams.
func (m *Metrics) countQuarantine() {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_quarantines_total`).Inc()
	}
}
