package listjob

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts jobs and items.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics that are written with the set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set} }

// job counts what became of a job at this node: accepted, elsewhere (accepted by another node for this one), refused, unknown,
// taken_over, handed_on or left.
func (m *Metrics) job(outcome string) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_jobs_total{outcome="` + outcome + `"}`).Inc()
	}
}

// run counts how the run of an item ended: completed, failed, stopped or broken.
func (m *Metrics) run(outcome string) {
	if m != nil {
		m.set.GetOrCreateCounter(`trefoilplank_item_runs_total{outcome="` + outcome + `"}`).Inc()
	}
}

// finished measures the time from a job's submission to the result of one of its items.
func (m *Metrics) finished(since time.Duration) {
	if m != nil {
		m.set.GetOrCreateHistogram(`trefoilplank_item_seconds`).Update(since.Seconds())
	}
}

// accepting measures how long the acceptance of a job took.
func (m *Metrics) accepting(took time.Duration) {
	if m != nil {
		m.set.GetOrCreateHistogram(`trefoilplank_job_accept_seconds`).Update(took.Seconds())
	}
}
