package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/gateway/peertest"
)

// BenchmarkAddedLatency sends 500 calls/s, alternately direct to the upstream, through a handler that only copies, and
// through the gateway. It reports the latency that the gateway adds and its ratio to both, from one run: the copying
// handler shows the least latency that a hop with net/http adds on the machine at that time.
func BenchmarkAddedLatency(b *testing.B) {
	e := newUpstream(b, "e1", api.UpstreamEngine)
	e.fault = delayed(2 * time.Millisecond)
	f := startNodes(b, peertest.New(), 1, nil, e)[0]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	copier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := client.Post(e.server.URL+r.URL.Path, "application/json", r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		_, _ = io.Copy(w, resp.Body)
	}))
	defer copier.Close()
	urls := []string{e.server.URL, copier.URL, f.url}
	body := chatBody(strings.Repeat("a letter to summarise ", 100), false)
	call := func(url string) time.Duration {
		req, err := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(body))
		assert.NilError(b, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set("X-Request-Id", "direct")
		start := time.Now()
		resp, err := client.Do(req)
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		assert.Equal(b, resp.StatusCode, 200)
		return time.Since(start)
	}
	const interval = 2 * time.Millisecond
	var mu sync.Mutex
	times := map[string]*hdrhistogram.Histogram{}
	for _, url := range urls {
		times[url] = hdrhistogram.New(1, 10_000_000, 3)
		call(url)
	}
	var group sync.WaitGroup
	next := time.Now()
	for i := 0; b.Loop(); i++ {
		url := urls[i/500%3]
		next = next.Add(interval)
		time.Sleep(time.Until(next))
		group.Go(func() {
			took := call(url)
			mu.Lock()
			defer mu.Unlock()
			_ = times[url].RecordValue(took.Microseconds())
		})
	}
	group.Wait()
	direct, copied, through := times[e.server.URL], times[copier.URL], times[f.url]
	for _, q := range []struct {
		name string
		q    float64
	}{{"p50", 50}, {"p99", 99}} {
		d, c, g := direct.ValueAtQuantile(q.q), copied.ValueAtQuantile(q.q), through.ValueAtQuantile(q.q)
		b.ReportMetric(float64(g-d)/1000, q.name+"-added-ms")
		b.ReportMetric(float64(g)/float64(max(d, 1)), q.name+"-ratio-direct")
		b.ReportMetric(float64(g)/float64(max(c, 1)), q.name+"-ratio-copy")
	}
}
