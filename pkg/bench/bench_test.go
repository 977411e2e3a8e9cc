package bench

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against plans that differ between variants although the seed is the same; the variants could not be compared.
func TestScheduleIsRepeatable(t *testing.T) {
	p, err := ProfileByName("board")
	assert.NilError(t, err)
	assert.DeepEqual(t, p.Schedule(100, time.Second, 7), p.Schedule(100, time.Second, 7))
	assert.Assert(t, len(p.Schedule(100, time.Second, 7)) > 0)
}

// Guards against bursts that raise the average rate above the requested one.
func TestScheduleKeepsTheAverageRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, _ := ProfileByName(rapid.SampledFrom(ProfileNames()).Draw(t, "profile"))
		rate := rapid.Float64Range(50, 500).Draw(t, "rate")
		const seconds = 40
		n := float64(len(p.Schedule(rate, seconds*time.Second, rapid.Uint64().Draw(t, "seed"))))
		if n < 0.85*rate*seconds || n > 1.15*rate*seconds {
			t.Fatalf("%v calls planned, %v wanted", n, rate*seconds)
		}
	})
}

// Guards against latency that counts from the actual start of a call, which hides a stall of the server.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	const stall = 200 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(stall)
	}))
	defer server.Close()
	p, _ := ProfileByName("lookup")
	target := Target{Name: "a", Addresses: []string{strings.TrimPrefix(server.URL, "http://")}}
	r := Run(t.Context(), target, p, []Arrival{{At: 0, Spec: p.Mix[0]}}, func() {})
	s := r.Summaries()[0]
	assert.Equal(t, s.OK, 1)
	assert.Assert(t, s.FirstToken.P50 >= float64(stall.Milliseconds()), "%v", s.FirstToken)
}

// Guards against a stream that ends without [DONE] and counts as a complete answer.
func TestCutStreamCountsAsFailed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "data: {}\n\n")
	}))
	defer server.Close()
	p, _ := ProfileByName("board")
	target := Target{Name: "a", Addresses: []string{strings.TrimPrefix(server.URL, "http://")}}
	r := Run(t.Context(), target, p, []Arrival{{Spec: p.Mix[0]}}, func() {})
	assert.Equal(t, r.Summaries()[0].Failed, 1)
}

// Guards against a report of two variants without their ratios, calls that are missing in it, and a plot that can't be
// rendered.
func TestExperimentReportsRatios(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "ok")
	}))
	defer server.Close()
	p, _ := ProfileByName("lookup")
	target := Target{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}}
	e := Experiment{Profile: p, Rate: 200, Length: 200 * time.Millisecond, Repetitions: 2, Seed: 1, Variants: []Variant{{Target: target}, {Target: target}}}
	results, err := e.Run(t.Context())
	assert.NilError(t, err)
	report := NewReport(e, results)
	assert.Equal(t, len(report.Ratios), 1)
	assert.Equal(t, report.Variants[0].Kinds[0].Calls+report.Variants[1].Kinds[0].Calls, e.Calls())
	var plot bytes.Buffer
	assert.NilError(t, report.WritePlot(&plot))
	assert.Assert(t, strings.Contains(plot.String(), "lookup"))
}
