package admission

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// modelBatch is an endless batch backlog for the simulated engines. A preempted run resumes from its exported state.
type modelBatch struct {
	engines   func() modelProber
	ids       atomic.Int64
	tokens    atomic.Int64
	preempted atomic.Int64
	waiting   chan struct{}
	enabled   atomic.Bool

	mu       sync.Mutex
	exported []int
}

// exportTime is how long an export takes, after which the run ends; batchTokens is the length of a batch item.
const (
	exportTime  = 2 * time.Millisecond
	batchTokens = 40
)

type modelRun struct {
	b       *modelBatch
	request serving.Request
	from    int
	tokens  atomic.Int64
}

func (b *modelBatch) Next(api.Upstream) (serving.BatchRun, bool) {
	if !b.enabled.Load() {
		return nil, false
	}
	r := &modelRun{b: b, request: serving.Request{ID: fmt.Sprint("b", b.ids.Add(1)), Institution: "agencia", Model: "m", Batch: true}}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.exported) > 0 {
		r.from, b.exported = b.exported[0], b.exported[1:]
	}
	r.tokens.Store(int64(r.from))
	return r, true
}
func (b *modelBatch) Pressure(string) float64     { return 0 }
func (b *modelBatch) ItemsReady() <-chan struct{} { return b.waiting }
func (r *modelRun) Request() serving.Request      { return r.request }
func (r *modelRun) Progress() (int, bool)         { return int(r.tokens.Load()), r.tokens.Load() >= 4 }

func (r *modelRun) Run(ctx context.Context, s *serving.Slot) serving.Usage {
	runCtx, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	defer context.AfterFunc(ctx, func() {
		time.Sleep(exportTime)
		stop(context.Cause(ctx))
	})()
	u := r.b.engines()[s.Upstream.Name].runStepped(runCtx, 0, r.from, batchTokens, func(n int) {
		r.tokens.Store(int64(n))
		r.b.tokens.Add(1)
	})
	if errors.Is(context.Cause(runCtx), serving.ErrPreempted) {
		r.b.preempted.Add(1)
		n := int(r.tokens.Load())
		if n < 4 {
			r.b.tokens.Add(int64(r.from - n))
			return u
		}
		r.b.mu.Lock()
		r.b.exported = append(r.b.exported, n)
		r.b.mu.Unlock()
	}
	return u
}

// BenchmarkBatchBeside compares, in virtual time, the online latency under bursts with a full batch backlog and without
// one. It also compares the tokens that batch work generates with those that it would generate on the idle slots at the
// rate of full engines.
func BenchmarkBatchBeside(b *testing.B) {
	patterns := map[string]burst{
		"board":   {3, 4 * time.Second, 500 * time.Millisecond},
		"agencia": {2, 5 * time.Second, time.Second},
	}
	weights := map[string]float64{"board": 0.8, "agencia": 0.3}
	for _, name := range []string{"board", "agencia"} {
		for _, load := range []float64{0.15, 0.3, 0.6} {
			b.Run(fmt.Sprintf("%s/load=%.0f%%", name, 100*load), func(b *testing.B) {
				for range b.N {
					done := make(chan struct{})
					go func() {
						defer close(done)
						synctest.Test(&testing.T{}, func(*testing.T) { runBesideBatch(b, patterns[name], weights[name], load) })
					}()
					<-done
				}
			})
		}
	}
}

// bubbleTB runs its cleanups before the synctest bubble ends; those of the benchmark would run after it.
type bubbleTB struct {
	testing.TB
	cleanups []func()
}

func (t *bubbleTB) Cleanup(f func()) { t.cleanups = append(t.cleanups, f) }

func (t *bubbleTB) close() {
	for _, f := range slices.Backward(t.cleanups) {
		f()
	}
	// Let the engines end their last step.
	time.Sleep(time.Minute)
}

func runBesideBatch(b *testing.B, pattern burst, weight, load float64) {
	const length = 20 * time.Second
	t := &bubbleTB{TB: b}
	defer t.close()
	var f *fleet
	batch := &modelBatch{engines: func() modelProber { return f.engines }, waiting: make(chan struct{})}
	f = newFleet(t, func(o *Options) {
		o.Batch = batch
		cfg := o.Board.Config.Value()
		cfg.Rules.Institutions = slices.Clone(cfg.Rules.Institutions)
		cfg.Rules.Institutions[0].OnlineTailWeight = weight
		o.Board.Config.Set(cfg)
	})
	full := 0.0
	for _, e := range f.engines {
		full += float64(e.slots) / (e.token.Seconds() * (1 + 0.05*float64(e.slots-1)))
	}
	rate := load * full / onlineTokens
	without := f.driveBursts(rate, pattern, length)
	idle := 1 - without.engineTime.Seconds()/(float64(benchEngines*benchSlots)*length.Seconds())
	batch.enabled.Store(true)
	time.Sleep(3 * time.Second)
	began, tokens, preempted := time.Now(), batch.tokens.Load(), batch.preempted.Load()
	with := f.driveBursts(rate, pattern, length)
	done := float64(batch.tokens.Load()-tokens) / time.Since(began).Seconds()
	batch.enabled.Store(false)
	b.ReportMetric(quantile(with.first, 99)/quantile(without.first, 99), "first-p99-ratio")
	b.ReportMetric(quantile(with.first, 50)/quantile(without.first, 50), "first-p50-ratio")
	b.ReportMetric(quantile(with.whole, 99)/quantile(without.whole, 99), "whole-p99-ratio")
	b.ReportMetric(quantile(without.first, 99), "first-p99-without-ms")
	b.ReportMetric(100*done/(full*idle), "batch/idle-%")
	b.ReportMetric(float64(batch.preempted.Load()-preempted)*batchTokens/done/time.Since(began).Seconds(), "ended/item")
	b.ReportMetric(0, "ns/op")
}
