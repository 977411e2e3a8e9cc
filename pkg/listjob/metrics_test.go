package listjob

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store/memstore"
)

// Guards against counters that miss an outcome: only they show an operator that jobs are refused or items break off.
func TestMetricsCountJobsAndItems(t *testing.T) {
	set := metrics.NewSet()
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	a := net.addNode(t, s, e, "a")
	a.options.Metrics = NewMetrics(set)
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	readAll(t, a.Controller, "j", 20*time.Second)
	a.HandOver(context.Background())
	assert.ErrorIs(t, a.Accept(context.Background(), submission("k", 1)), ErrRefused)
	var text bytes.Buffer
	set.WritePrometheus(&text)
	for _, line := range []string{
		`trefoilplank_jobs_total{outcome="accepted"} 1`, `trefoilplank_jobs_total{outcome="refused"} 1`,
		`trefoilplank_item_runs_total{outcome="completed"} 2`, `trefoilplank_item_seconds_count 2`, `trefoilplank_job_accept_seconds_count 1`,
	} {
		assert.Assert(t, strings.Contains(text.String(), line+"\n"), "%s not in\n%s", line, text.String())
	}
}
