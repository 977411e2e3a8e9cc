package listjob

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts jobs and items.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set} }

// countJob counts an outcome of a job at this node: accepted, elsewhere (accepted by another node on behalf of this
// one), refused, unknown, taken_over, handed_on or left (another node became its owner).
func (m *Metrics) countJob(outcome string) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_jobs_total{outcome="` + outcome + `"}`).Inc()
	}
}

// countRun counts how a run of an item ended: completed, failed, stopped or broken.
func (m *Metrics) countRun(outcome string) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_item_runs_total{outcome="` + outcome + `"}`).Inc()
	}
}

// observeItem measures the time from a job's submission to the result of one of its items.
func (m *Metrics) observeItem(since time.Duration) {
	if m != nil {
		m.set.GetOrCreateHistogram(`trefoilplank_item_seconds`).Update(since.Seconds())
	}
}

// observeAccept measures how long it took to accept a job.
func (m *Metrics) observeAccept(took time.Duration) {
	if m != nil {
		m.set.GetOrCreateHistogram(`trefoilplank_job_accept_seconds`).Update(took.Seconds())
	}
}
