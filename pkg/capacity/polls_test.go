package capacity_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/upstreams"
	decision "trefoilplank.example/pkg/decision/reconcile"
)

// targetLoad simulates the load of engines at the two-year target: 2 requests/s on each, which hold a slot for 7.3 s on
// average. An engine reports its load half a second late, as of reportLagSteps steps ago.
type targetLoad struct {
	mu                                sync.Mutex
	random                            *rand.Rand
	history                           map[string][]int
	loadReads, cacheReads, stateReads int
}

const (
	loadStep           = 100 * time.Millisecond
	reportLagSteps     = 5
	arrivalProbability = 0.2
	finishProbability  = 0.1 / 7.3
)

// step advances the load of all engines by loadStep.
func (l *targetLoad) step(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		counts := l.history[name]
		running := 12
		if len(counts) > 0 {
			running = counts[len(counts)-1]
		}
		for range running {
			if l.random.Float64() < finishProbability {
				running--
			}
		}
		if l.random.Float64() < arrivalProbability && running < 16 {
			running++
		}
		counts = append(counts, running)
		l.history[name] = counts[max(0, len(counts)-reportLagSteps-1):]
	}
}

// current returns the requests that run on an engine now, which the engine itself reports only later.
func (l *targetLoad) current(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.history[name]
	return counts[len(counts)-1]
}

func (l *targetLoad) Load(_ context.Context, u api.Upstream) (upstreams.Load, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loadReads++
	return upstreams.Load{Running: l.history[u.Name][0], Slots: 16}, nil
}

func (l *targetLoad) State(context.Context, api.Upstream) (upstreams.State, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stateReads++
	return upstreams.State{Models: []string{"model-0"}, Engine: decision.State{Models: map[string]string{"model-0": "v1"}}}, nil
}

func (l *targetLoad) CacheEvents(context.Context, api.Upstream, int64) (upstreams.Events, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cacheReads++
	return upstreams.Events{}, nil
}

// BenchmarkPollRhythm measures the polls per second of an owner in virtual time, by the number of upstreams that it
// owns, under the load of the two-year target without faults.
func BenchmarkPollRhythm(b *testing.B) {
	const length = 10 * time.Minute
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			l := &targetLoad{random: rand.New(rand.NewPCG(5, 7)), history: map[string][]int{}}
			for b.Loop() {
				inVirtualTime(func(*testing.T) { runObserver(l, n, length) })
			}
			rate := func(count int) float64 { return float64(count) / length.Seconds() }
			b.ReportMetric(rate(l.loadReads), "loads/s")
			b.ReportMetric(rate(l.cacheReads), "caches/s")
			b.ReportMetric(rate(l.stateReads), "states/s")
		})
	}
}

// runObserver runs the upstream observer of a node that owns n upstreams, and counts in l the polls made in length.
func runObserver(l *targetLoad, n int, length time.Duration) {
	board := blackboard.New()
	cfg := testConfig(n, 1)
	board.Config.Set(cfg)
	board.Members.Set(testMembers(1))
	var names []string
	for _, u := range cfg.Register.Upstreams {
		names = append(names, u.Name)
	}
	l.step(names)
	o := upstreams.New(upstreams.Options{Self: nodeName(0), Board: board, Prober: l, Seed: 3, Runs: l.current})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = o.Run(ctx) }()
	advance := func(d time.Duration) {
		for range int(d / loadStep) {
			time.Sleep(loadStep)
			l.step(names)
		}
	}
	// New upstreams are in slow start for the first seconds, which are left out.
	advance(2 * time.Minute)
	l.mu.Lock()
	l.loadReads, l.cacheReads, l.stateReads = 0, 0, 0
	l.mu.Unlock()
	advance(length)
	stop()
	<-done
}
