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

// modelExecutions returns the executions of the model's engines, one list for each engine.
func modelExecutions(b *testing.B, f *Fleet, c *demoClient, model string) [][]faults.Execution {
	b.Helper()
	var all [][]faults.Execution
	for _, u := range f.Ready.Upstreams {
		if u.Model == model {
			var rows []faults.Execution
			assert.NilError(b, c.callJSON(context.Background(), "", http.MethodGet, u.Address+"/standin/executions", nil, nil, &rows))
			all = append(all, rows)
		}
	}
	return all
}

// BenchmarkArrivalToFreedSlot sends single online calls while batch work holds every slot. It measures the time from the
// sending of a call to the end of the batch run that is preempted for it, and to the start of the call at the engine, over
// real listeners. The target is one token interval of the full engine, 10.8 ms, plus 10 ms.
func BenchmarkArrivalToFreedSlot(b *testing.B) {
	const (
		model         = "rights-tagger"
		calls         = 120
		latencyTarget = 20800 * time.Microsecond
	)
	for range b.N {
		f, err := Start(Options{Nodes: 3, BasePort: 30600, Seed: 3})
		assert.NilError(b, err)
		c, key := newDemoClient(f), f.Ready.Keys["agencia"]
		_, err = c.submitBatch(context.Background(), key, "bench", model, 20_000)
		assert.NilError(b, err)
		time.Sleep(3 * time.Second)
		var sent []time.Time
		for i := range calls {
			sent = append(sent, time.Now())
			body := fmt.Sprintf(`{"model":%q,"max_tokens":8,"stream":true,"messages":[{"role":"user","content":"call %d"}]}`, model, i)
			_, err := c.send(context.Background(), key, http.MethodPost, f.Ready.Nodes[i%3].Address+"/v1/chat/completions", nil, []byte(body))
			assert.NilError(b, err)
			time.Sleep(30 * time.Millisecond)
		}
		freeTimes, startTimes := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
		lateCalls := 0
		for _, rows := range modelExecutions(b, f, c, model) {
			for _, row := range rows {
				sentAt := sendTime(sent, row)
				if row.CustomID != "" || strings.HasSuffix(row.RequestID, "-cancel") || sentAt.IsZero() {
					continue
				}
				_ = startTimes.RecordValue(row.Started.Sub(sentAt).Microseconds())
				for _, batchRun := range rows {
					if batchRun.Cancelled && batchRun.CustomID != "" && batchRun.Finished.After(sentAt) &&
						batchRun.Finished.Before(row.Started.Add(latencyTarget)) {
						_ = freeTimes.RecordValue(batchRun.Finished.Sub(sentAt).Microseconds())
						break
					}
				}
				if row.Started.Sub(sentAt) > latencyTarget {
					lateCalls++
				}
			}
		}
		assert.NilError(b, f.Close())
		b.ReportMetric(float64(startTimes.TotalCount()), "calls")
		b.ReportMetric(float64(freeTimes.TotalCount()), "preemptions")
		b.ReportMetric(float64(freeTimes.ValueAtQuantile(50))/1e3, "freed-p50-ms")
		b.ReportMetric(float64(freeTimes.ValueAtQuantile(99))/1e3, "freed-p99-ms")
		b.ReportMetric(float64(startTimes.ValueAtQuantile(50))/1e3, "started-p50-ms")
		b.ReportMetric(float64(startTimes.ValueAtQuantile(99))/1e3, "started-p99-ms")
		b.ReportMetric(float64(lateCalls), "late-calls")
		b.ReportMetric(0, "ns/op")
	}
}

// sendTime returns when the call of an execution was sent: the latest time of sending before the start of the execution.
// It is zero if no call was sent before.
func sendTime(sent []time.Time, row faults.Execution) time.Time {
	var latest time.Time
	for _, s := range sent {
		if s.Before(row.Started) {
			latest = s
		}
	}
	return latest
}
