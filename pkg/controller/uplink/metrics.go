package uplink

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts the connections to upstreams and measures those through other nodes.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set} }

// observeLinks registers the gauges of links.
func (m *Metrics) observeLinks(l *Links) {
	if m == nil {
		return
	}
	m.set.NewGauge("trefoilplank_upstreams_reached_through_others", func() float64 { return float64(l.ReachedThroughOthers()) })
	m.set.NewGauge("trefoilplank_connections_relayed_for_others", func() float64 { return float64(l.RelayedForOthers()) })
}

// countConnect counts an attempt to connect to an upstream by its outcome: ok, failed or cancelled.
func (m *Metrics) countConnect(outcome string) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_upstream_connects_total{outcome="` + outcome + `"}`).Inc()
	}
}

// countDiagnosis counts a check of an upstream by its result.
func (m *Metrics) countDiagnosis(d Diagnosis) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_upstream_checks_total{result="` + string(d) + `"}`).Inc()
	}
}

// observeRelay counts an attempt to connect through another node by its outcome: connected, upstream_unreachable or
// no_helper.
func (m *Metrics) observeRelay(outcome string, took time.Duration) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_relayed_connects_total{outcome="` + outcome + `"}`).Inc()
		m.set.GetOrCreateHistogram(`trefoilplank_relayed_connect_seconds`).Update(took.Seconds())
	}
}

// countAccepted counts a connection that another node asked for by its outcome: connected or refused.
func (m *Metrics) countAccepted(outcome string) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_accepted_relays_total{outcome="` + outcome + `"}`).Inc()
	}
}
