package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilplank.example/api"
)

// BenchmarkUpstreamCalls reports the upstream calls per caller call and the fraction of calls answered with 200 while a
// third of the upstreams fails every call in one way and no health check ejects them.
func BenchmarkUpstreamCalls(b *testing.B) {
	const calls, parallel = 1200, 12
	for name, fault := range map[string]faultFunc{
		"none": nil, "cut": cutWithoutAnswer, "truncated": truncatedAnswer, "other id": answerWithOtherID, "down": nil,
		"error": func(_ *fakeUpstream, w http.ResponseWriter, _ *http.Request, _ []byte) bool {
			w.WriteHeader(http.StatusInternalServerError)
			return true
		},
	} {
		b.Run(name, func(b *testing.B) {
			var runs, answered, asked float64
			for b.Loop() {
				var upstreams []*fakeUpstream
				for i := range 6 {
					e := newUpstream(b, fmt.Sprint("e", i), api.UpstreamEngine)
					if i%3 == 0 {
						e.fault, e.down = fault, name == "down"
					}
					upstreams = append(upstreams, e)
				}
				f := newFixture(b, nil, upstreams...)
				var good atomic.Int32
				var group sync.WaitGroup
				for p := range parallel {
					group.Go(func() {
						for i := range calls / parallel {
							if f.chat(fmt.Sprint(p, " ", i), api.HeaderTimeoutMs, "10000").status == http.StatusOK {
								good.Add(1)
							}
						}
					})
				}
				group.Wait()
				for _, e := range upstreams {
					runs += float64(e.runCount())
				}
				asked, answered = asked+calls, answered+float64(good.Load())
			}
			b.ReportMetric(runs/asked, "upstream-calls/call")
			b.ReportMetric(answered/asked, "answered/call")
			b.ReportMetric(b.Elapsed().Seconds()*float64(time.Second/time.Millisecond)/asked, "ms/call")
		})
	}
}
