package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/controller/upstreams"
	"trefoilplank.example/pkg/serving"
)

const (
	benchNodes   = 8
	benchEngines = 12
	benchSlots   = 8
	benchTime    = 6 * time.Second
	warmupTime   = time.Second
	// benchObjective is the first-token objective of the online class.
	benchObjective = 300 * time.Millisecond
)

// fleet is a set of simulated engines behind a cluster of nodes.
type fleet struct {
	engines modelProber
	cfg     api.Config
	net     *network
}

func newFleet(t testing.TB, adjust func(o *Options)) *fleet {
	f := prepareFleet()
	f.start(t, adjust)
	return f
}

// prepareFleet returns a fleet that is not started.
func prepareFleet() *fleet {
	f := &fleet{engines: modelProber{}, cfg: engines(benchEngines)}
	for i := range benchEngines {
		token := 8 * time.Millisecond
		if i%4 == 3 {
			// A quarter of the engines are slower, as in a fleet of mixed accelerators.
			token = 12 * time.Millisecond
		}
		f.engines[fmt.Sprint("e", i)] = newModelEngine(benchSlots, token)
	}
	f.cfg.Rules.Institutions = []api.InstitutionRules{{Institution: "board", Share: 1, OnlineTailWeight: 1, Objectives: []api.Objective{
		{Name: "first", Metric: api.MetricFirstToken, Latency: api.Duration(benchObjective), Target: 0.95},
		{Name: "between", Metric: api.MetricBetweenTokens, Latency: api.Duration(33 * time.Millisecond), Target: 0.95}}}}
	return f
}

func (f *fleet) start(t testing.TB, adjust func(o *Options)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	f.net = cluster(t, benchNodes, f.cfg, func(o *Options) {
		obs := upstreams.New(upstreams.Options{Self: o.Self, Board: o.Board, Prober: f.engines, Seed: 5})
		o.Observer = obs
		wg.Go(func() { _ = obs.Run(ctx) })
		if adjust != nil {
			adjust(o)
		}
	})
	time.Sleep(1500 * time.Millisecond)
}

// capacity returns the request rate per second at which every slot is always in use.
func capacity(meanTokens float64) float64 {
	total := 0.0
	for i := range benchEngines {
		token := 0.008
		if i%4 == 3 {
			token = 0.012
		}
		total += benchSlots / (token * 1.7 * meanTokens)
	}
	return total
}

// policy runs one request. It returns the time from arrival to the first token and whether the request was accepted.
type policy func(node int, r serving.Request, tokens int) (first time.Duration, accepted bool)

func (f *fleet) withPrefixes(node int, r serving.Request, tokens int) (time.Duration, bool) {
	return f.runAdmitted(node, r, tokens, true)
}

// runAdmitted runs a request on a slot of the controller; with showPrefix, placement gets the hashes of the prompt's
// blocks.
func (f *fleet) runAdmitted(node int, r serving.Request, tokens int, showPrefix bool) (time.Duration, bool) {
	began, hashes := time.Now(), r.PrefixHashes
	if !showPrefix {
		r.PrefixHashes = nil
	}
	c := f.net.nodes[fmt.Sprint("n", node)].c
	slot, err := c.Acquire(context.Background(), r)
	if err != nil {
		return 0, false
	}
	sent := time.Since(began)
	u := f.engines[slot.Upstream.Name].run(context.Background(), hashes, tokens, func(int) {})
	c.Release(slot, u)
	return sent + u.FirstToken, true
}

// withoutAdmission returns a policy that sends each request to the picked engine at once.
func (f *fleet) withoutAdmission(pick func(node int) int, done func(node, engine int)) policy {
	return func(node int, r serving.Request, tokens int) (time.Duration, bool) {
		i := pick(node)
		u := f.engines[fmt.Sprint("e", i)].run(context.Background(), r.PrefixHashes, tokens, func(int) {})
		done(node, i)
		return u.FirstToken, true
	}
}

func (f *fleet) roundRobin() policy {
	var next [benchNodes]atomic.Int64
	for i := range next {
		next[i].Store(int64(i))
	}
	return f.withoutAdmission(func(n int) int { return int(next[n].Add(1) % benchEngines) }, func(int, int) {})
}

// twoChoices returns a policy that takes the less used of two random engines by the node's own counts.
func (f *fleet) twoChoices() policy {
	var counts [benchNodes][benchEngines]atomic.Int64
	return f.withoutAdmission(func(n int) int {
		a, b := rand.IntN(benchEngines), rand.IntN(benchEngines)
		if counts[n][b].Load() < counts[n][a].Load() {
			a = b
		}
		counts[n][a].Add(1)
		return a
	}, func(n, e int) { counts[n][e].Add(-1) })
}

// loadResult is the result of a load run: the first-token times, and the numbers of requests that were offered, were
// answered, and were answered within the objective.
type loadResult struct {
	first                    *hdrhistogram.Histogram
	offered, ok, inObjective int
	// goodput counts answers within the objective that were complete between warmup and benchTime.
	goodput int
}

func (o loadResult) p99() float64 { return float64(o.first.ValueAtQuantile(99)) / 1e3 }

// drive offers Poisson arrivals at rate for benchTime and waits for all answers.
func drive(rate float64, p policy, prefix func(*rand.Rand) []uint64) loadResult {
	out := loadResult{first: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	rnd := rand.New(rand.NewPCG(11, 13))
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for at := time.Duration(0); at < benchTime; at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(began.Add(at)))
		r := request(fmt.Sprint("r", out.offered))
		tokens := 4 + rnd.IntN(37)
		r.MaxTokens, r.Deadline = 40, time.Now().Add(10*time.Second)
		if prefix != nil {
			r.PrefixHashes = prefix(rnd)
		}
		out.offered++
		node := rnd.IntN(benchNodes)
		wg.Go(func() {
			first, ok := p(node, r, tokens)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				out.ok++
				_ = out.first.RecordValue(int64(first / time.Microsecond))
				if first <= benchObjective {
					out.inObjective++
					if done := time.Since(began); done > warmupTime && done <= benchTime {
						out.goodput++
					}
				}
			}
		})
	}
	wg.Wait()
	return out
}

const meanTokens = 22

// BenchmarkFirstToken compares the p99 time to the first token with that of round robin and of power of two choices on
// local counts. Goodput is the rate of accepted requests that met the objective, relative to the capacity.
func BenchmarkFirstToken(b *testing.B) {
	for _, load := range []float64{0.5, 0.8, 1.0, 1.5} {
		b.Run(fmt.Sprintf("load=%.0f%%", 100*load), func(b *testing.B) {
			for range b.N {
				rate := load * capacity(meanTokens)
				f := newFleet(b, nil)
				rr := drive(rate, f.roundRobin(), nil)
				two := drive(rate, f.twoChoices(), nil)
				ours := drive(rate, f.withPrefixes, nil)
				b.ReportMetric(ours.p99(), "ours-p99-ms")
				b.ReportMetric(rr.p99(), "rr-p99-ms")
				b.ReportMetric(two.p99(), "p2c-p99-ms")
				b.ReportMetric(ours.p99()/rr.p99(), "ours/rr")
				b.ReportMetric(ours.p99()/two.p99(), "ours/p2c")
				b.ReportMetric(100*float64(ours.inObjective)/float64(max(1, ours.ok)), "accepted-in-objective-%")
				b.ReportMetric(100*float64(ours.goodput)/(benchTime-warmupTime).Seconds()/capacity(meanTokens), "goodput/capacity-%")
				b.ReportMetric(100*float64(ours.ok)/float64(ours.offered), "accepted-%")
			}
		})
	}
}

// BenchmarkPrefixHits compares the percentage of prompt blocks that are found cached with that of placement by load
// only.
func BenchmarkPrefixHits(b *testing.B) {
	prefix := func(r *rand.Rand) []uint64 {
		conversation := uint64(r.IntN(120))
		hashes := []uint64{1, 2}
		for i := range uint64(4 + r.IntN(12)) {
			hashes = append(hashes, 1000*(conversation+1)+i)
		}
		return hashes
	}
	hits := func(f *fleet) float64 {
		h, n := 0, 0
		for _, e := range f.engines {
			e.mu.Lock()
			h, n = h+e.hits, n+e.blocks
			e.mu.Unlock()
		}
		return 100 * float64(h) / float64(max(1, n))
	}
	run := func(show bool) (hitPart, p99 float64) {
		f := newFleet(b, nil)
		out := drive(0.6*capacity(meanTokens), func(node int, r serving.Request, tokens int) (time.Duration, bool) {
			return f.runAdmitted(node, r, tokens, show)
		}, prefix)
		return hits(f), out.p99()
	}
	for range b.N {
		byLoad, loadP99 := run(false)
		byPrefix, p99 := run(true)
		b.ReportMetric(byPrefix, "prefix-hit-%")
		b.ReportMetric(byLoad, "load-only-hit-%")
		b.ReportMetric(p99, "prefix-p99-ms")
		b.ReportMetric(loadP99, "load-only-p99-ms")
	}
}
