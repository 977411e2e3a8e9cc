package bench

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary is what the calls of one kind saw. Times are milliseconds from the intended start.
type Summary struct {
	Kind  Kind `json:"kind"`
	Calls int  `json:"calls"`
	// OK counts whole answers, Good those within the objective, Refused answers 429 and 503, Failed the rest.
	OK      int `json:"ok"`
	Good    int `json:"good"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// FirstToken is the first token of a stream and the whole answer otherwise.
	FirstToken    Quantiles `json:"first_token_ms"`
	Whole         Quantiles `json:"whole_ms"`
	BetweenTokens Quantiles `json:"between_tokens_ms"`
	Tokens        int       `json:"tokens"`
	FirstError    string    `json:"first_error,omitempty"`
}

// Quantiles are points of a latency distribution in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Result is what one run saw.
type Result struct {
	Variant string  `json:"variant"`
	Seconds float64 `json:"seconds"`

	mu    sync.Mutex
	kinds map[Kind]*kindResult
}

type kindResult struct {
	summary                          Summary
	firstToken, whole, betweenTokens *hdrhistogram.Histogram
}

func newResult(variant string) *Result {
	return &Result{Variant: variant, kinds: map[Kind]*kindResult{}}
}

// highestTime is the largest latency that a histogram holds; longer ones count as this.
const highestTime = 2 * time.Minute

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestTime.Microseconds(), 3)
}

func (r *Result) add(s Share, o outcome) {
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
	record(k.firstToken, o.firstToken)
	record(k.whole, o.whole)
	if o.tokens > 1 {
		record(k.betweenTokens, o.betweenTokens)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the histogram's bounds, so that no error can come.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestTime.Microseconds()))
}

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

// merge adds the calls of other to r, for repetitions of one variant.
func (r *Result) merge(other *Result) {
	r.Seconds += other.Seconds
	for kind, k := range other.kinds {
		mine := r.kinds[kind]
		if mine == nil {
			r.kinds[kind] = k
			continue
		}
		a, b := &mine.summary, k.summary
		a.Calls, a.OK, a.Good = a.Calls+b.Calls, a.OK+b.OK, a.Good+b.Good
		a.Refused, a.Failed, a.Tokens = a.Refused+b.Refused, a.Failed+b.Failed, a.Tokens+b.Tokens
		if a.FirstError == "" {
			a.FirstError = b.FirstError
		}
		mine.firstToken.Merge(k.firstToken)
		mine.whole.Merge(k.whole)
		mine.betweenTokens.Merge(k.betweenTokens)
	}
}
