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

// targetLoad is the load of engines at the two-year target: 2 requests/s that hold a slot for 7.3 s. Reports lag by
// half a second.
type targetLoad struct {
	mu                   sync.Mutex
	random               *rand.Rand
	running              map[string][]int
	loads, caches, reads int
}

const (
	loadStep     = 100 * time.Millisecond
	reportLag    = 5
	arriveInStep = 0.2
	leaveInStep  = 0.1 / 7.3
)

// step moves the load of all engines on by loadStep.
func (l *targetLoad) step(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		past := l.running[name]
		now := 12
		if len(past) > 0 {
			now = past[len(past)-1]
		}
		for range now {
			if l.random.Float64() < leaveInStep {
				now--
			}
		}
		if l.random.Float64() < arriveInStep && now < 16 {
			now++
		}
		past = append(past, now)
		l.running[name] = past[max(0, len(past)-reportLag-1):]
	}
}

func (l *targetLoad) runs(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	past := l.running[name]
	return past[len(past)-1]
}

func (l *targetLoad) Load(_ context.Context, u api.Upstream) (upstreams.Load, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads++
	return upstreams.Load{Running: l.running[u.Name][0], Slots: 16}, nil
}

func (l *targetLoad) State(context.Context, api.Upstream) (upstreams.State, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return upstreams.State{Models: []string{"model-0"}, Engine: decision.State{Models: map[string]string{"model-0": "v1"}}}, nil
}

func (l *targetLoad) CacheEvents(context.Context, api.Upstream, int64) (upstreams.Events, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.caches++
	return upstreams.Events{}, nil
}

// BenchmarkPollRhythm gives the polls a second of an owner in virtual time, by the number of upstreams that it owns,
// under the load of the two-year target and no faults.
func BenchmarkPollRhythm(b *testing.B) {
	const length = 10 * time.Minute
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			l := &targetLoad{random: rand.New(rand.NewPCG(5, 7)), running: map[string][]int{}}
			for b.Loop() {
				inBubble(func(*testing.T) { pollFor(l, n, length) })
			}
			rate := func(count int) float64 { return float64(count) / length.Seconds() }
			b.ReportMetric(rate(l.loads), "loads/s")
			b.ReportMetric(rate(l.caches), "caches/s")
			b.ReportMetric(rate(l.reads), "states/s")
		})
	}
}

func pollFor(l *targetLoad, n int, length time.Duration) {
	board := blackboard.New()
	cfg := configOf(n, 1)
	board.Config.Set(cfg)
	board.Members.Set(membersOf(1))
	var names []string
	for _, u := range cfg.Register.Upstreams {
		names = append(names, u.Name)
	}
	l.step(names)
	o := upstreams.New(upstreams.Options{Self: nodeName(0), Board: board, Prober: l, Seed: 3, Runs: l.runs})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = o.Run(ctx) }()
	steps := func(d time.Duration) {
		for range int(d / loadStep) {
			time.Sleep(loadStep)
			l.step(names)
		}
	}
	// Upstreams start slowly for the first seconds.
	steps(2 * time.Minute)
	l.mu.Lock()
	l.loads, l.caches, l.reads = 0, 0, 0
	l.mu.Unlock()
	steps(length)
	stop()
	<-done
}
