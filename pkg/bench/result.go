package bench

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is the results of the calls of one kind. Times are in milliseconds; FirstToken and Whole count from the
// intended start of a call.
type Summary struct {
	Kind  Kind `json:"kind"`
	Calls int  `json:"calls"`
	// OK counts complete answers, Good those within the objective, Refused the statuses 429 and 503, and Failed the rest.
	OK      int `json:"ok"`
	Good    int `json:"good"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// FirstToken is the time to the first token of a stream, or else to the end of the answer.
	FirstToken    Quantiles `json:"first_token_ms"`
	Whole         Quantiles `json:"whole_ms"`
	BetweenTokens Quantiles `json:"between_tokens_ms"`
	Tokens        int       `json:"tokens"`
	FirstError    string    `json:"first_error,omitempty"`
}

// Quantiles are quantiles of a latency distribution in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Result collects the outcomes of the calls of one variant.
type Result struct {
	Variant string  `json:"variant"`
	Seconds float64 `json:"seconds"`

	mu    sync.Mutex
	kinds map[Kind]*kindResult
}

// kindResult collects the outcomes of one kind of call.
type kindResult struct {
	summary                          Summary
	firstToken, whole, betweenTokens *hdrhistogram.Histogram
}

func newResult(variant string) *Result {
	return &Result{Variant: variant, kinds: map[Kind]*kindResult{}}
}

// maxLatency is the largest latency that a histogram holds; longer ones are recorded as maxLatency.
const maxLatency = 2 * time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

// recordCall counts one call. Only complete answers count towards the latencies.
func (r *Result) recordCall(s CallSpec, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[s.Kind]
	if k == nil {
		k = &kindResult{summary: Summary{Kind: s.Kind}, firstToken: newHistogram(), whole: newHistogram(), betweenTokens: newHistogram()}
		r.kinds[s.Kind] = k
	}
	k.summary.Calls++
	switch {
	case o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable:
		k.summary.Refused++
		return
	case o.err != nil || o.status != http.StatusOK:
		k.summary.Failed++
		if k.summary.FirstError == "" {
			k.summary.FirstError = http.StatusText(o.status)
			if o.err != nil {
				k.summary.FirstError = o.err.Error()
			}
		}
		return
	}
	k.summary.OK++
	k.summary.Tokens += o.tokens
	if o.firstToken <= s.Objective {
		k.summary.Good++
	}
	recordLatency(k.firstToken, o.firstToken)
	recordLatency(k.whole, o.whole)
	if o.tokens > 1 {
		recordLatency(k.betweenTokens, o.betweenTokens)
	}
}

// recordLatency adds a latency in microseconds, limited to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the histogram's bounds.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// quantiles returns quantiles in milliseconds of a histogram of microseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// Summaries returns one summary for each kind, ordered by kind.
func (r *Result) Summaries() []Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Summary
	for _, k := range r.kinds {
		s := k.summary
		s.FirstToken, s.Whole, s.BetweenTokens = quantiles(k.firstToken), quantiles(k.whole), quantiles(k.betweenTokens)
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Kind < all[j].Kind })
	return all
}

// merge adds the calls of other, a further repetition of the same variant, to r.
func (r *Result) merge(other *Result) {
	r.Seconds += other.Seconds
	for kind, k := range other.kinds {
		own := r.kinds[kind]
		if own == nil {
			r.kinds[kind] = k
			continue
		}
		sum, added := &own.summary, k.summary
		sum.Calls, sum.OK, sum.Good = sum.Calls+added.Calls, sum.OK+added.OK, sum.Good+added.Good
		sum.Refused, sum.Failed, sum.Tokens = sum.Refused+added.Refused, sum.Failed+added.Failed, sum.Tokens+added.Tokens
		if sum.FirstError == "" {
			sum.FirstError = added.FirstError
		}
		own.firstToken.Merge(k.firstToken)
		own.whole.Merge(k.whole)
		own.betweenTokens.Merge(k.betweenTokens)
	}
}
