package dev

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"trefoilplank.example/standin/faults"
)

// preemptRows returns the executions of each engine of the model.
func preemptRows(b *testing.B, f *Fleet, c *demoClient, model string) [][]faults.Execution {
	b.Helper()
	var all [][]faults.Execution
	for _, u := range f.Ready.Upstreams {
		if u.Model == model {
			var rows []faults.Execution
			assert.NilError(b, c.json(context.Background(), "", http.MethodGet, u.Address+"/standin/executions", nil, nil, &rows))
			all = append(all, rows)
		}
	}
	return all
}

// BenchmarkArrivalToFreedSlot gives the time from the sending of a lone online call, while batch work holds every slot,
// to the end of the batch run that makes room for it and to the start of the call at the engine, over real listeners.
// The target is one token interval of the full engine, 10.8 ms, plus 10 ms.
func BenchmarkArrivalToFreedSlot(b *testing.B) {
	const (
		model = "rights-tagger"
		calls = 120
		limit = 20800 * time.Microsecond
	)
	for range b.N {
		f, err := Start(Options{Nodes: 3, BasePort: 30600, Seed: 3})
		assert.NilError(b, err)
		c, key := newDemoClient(f), f.Ready.Keys["agencia"]
		_, err = c.submit(context.Background(), key, "bench", model, 20_000)
		assert.NilError(b, err)
		time.Sleep(3 * time.Second)
		var sent []time.Time
		for i := range calls {
			sent = append(sent, time.Now())
			body := fmt.Sprintf(`{"model":%q,"max_tokens":8,"stream":true,"messages":[{"role":"user","content":"call %d"}]}`, model, i)
			_, err := c.do(context.Background(), key, http.MethodPost, f.Ready.Nodes[i%3].Address+"/v1/chat/completions", nil, []byte(body))
			assert.NilError(b, err)
			time.Sleep(30 * time.Millisecond)
		}
		freed, started := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
		late := 0
		for _, rows := range preemptRows(b, f, c, model) {
			for _, row := range rows {
				at := arrival(sent, row)
				if row.CustomID != "" || strings.HasSuffix(row.RequestID, "-cancel") || at.IsZero() {
					continue
				}
				_ = started.RecordValue(row.Started.Sub(at).Microseconds())
				for _, ended := range rows {
					if ended.Cancelled && ended.CustomID != "" && ended.Finished.After(at) && ended.Finished.Before(row.Started.Add(limit)) {
						_ = freed.RecordValue(ended.Finished.Sub(at).Microseconds())
						break
					}
				}
				if row.Started.Sub(at) > limit {
					late++
				}
			}
		}
		assert.NilError(b, f.Close())
		b.ReportMetric(float64(started.TotalCount()), "calls")
		b.ReportMetric(float64(freed.TotalCount()), "preemptions")
		b.ReportMetric(float64(freed.ValueAtQuantile(50))/1e3, "freed-p50-ms")
		b.ReportMetric(float64(freed.ValueAtQuantile(99))/1e3, "freed-p99-ms")
		b.ReportMetric(float64(started.ValueAtQuantile(50))/1e3, "started-p50-ms")
		b.ReportMetric(float64(started.ValueAtQuantile(99))/1e3, "started-p99-ms")
		b.ReportMetric(float64(late), "late-calls")
		b.ReportMetric(0, "ns/op")
	}
}

// arrival returns when the call that a row belongs to was sent.
func arrival(sent []time.Time, row faults.Execution) time.Time {
	var at time.Time
	for _, s := range sent {
		if s.Before(row.Started) {
			at = s
		}
	}
	return at
}
