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

// modelBatch is an endless backlog that runs on the model engines. A preempted run goes on from its exported state.
type modelBatch struct {
	f       func() modelProber
	ids     atomic.Int64
	tokens  atomic.Int64
	ended   atomic.Int64
	stock   chan struct{}
	enabled atomic.Bool

	mu   sync.Mutex
	kept []int
}

// exportTime is the time of an export, which ends the run.
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
	if len(b.kept) > 0 {
		r.from, b.kept = b.kept[0], b.kept[1:]
	}
	r.tokens.Store(int64(r.from))
	return r, true
}
func (b *modelBatch) Pressure(string) float64  { return 0 }
func (b *modelBatch) Waiting() <-chan struct{} { return b.stock }
func (r *modelRun) Request() serving.Request   { return r.request }
func (r *modelRun) Progress() (int, bool)      { return int(r.tokens.Load()), r.tokens.Load() >= 4 }

func (r *modelRun) Run(ctx context.Context, s *serving.Slot) serving.Usage {
	late, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	defer context.AfterFunc(ctx, func() {
		time.Sleep(exportTime)
		stop(context.Cause(ctx))
	})()
	u := r.b.f()[s.Upstream.Name].runStepped(late, 0, r.from, batchTokens, func(n int) {
		r.tokens.Store(int64(n))
		r.b.tokens.Add(1)
	})
	if errors.Is(context.Cause(late), serving.ErrPreempted) {
		r.b.ended.Add(1)
		n := int(r.tokens.Load())
		if n < 4 {
			r.b.tokens.Add(int64(r.from - n))
			return u
		}
		r.b.mu.Lock()
		r.b.kept = append(r.b.kept, n)
		r.b.mu.Unlock()
	}
	return u
}

// BenchmarkBatchBeside compares online latency under bursts with a full batch backlog and without, in virtual time, and
// the tokens that batch work completes with those that it would complete on the idle slots at the pace of full engines.
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
						synctest.Test(&testing.T{}, func(*testing.T) { besideRun(b, patterns[name], weights[name], load) })
					}()
					<-done
				}
			})
		}
	}
}

// bubble runs cleanups before the bubble ends, which a benchmark's own would not.
type bubble struct {
	testing.TB
	cleanups []func()
}

func (t *bubble) Cleanup(f func()) { t.cleanups = append(t.cleanups, f) }

func (t *bubble) close() {
	for _, f := range slices.Backward(t.cleanups) {
		f()
	}
	// The engines end their last step.
	time.Sleep(time.Minute)
}

func besideRun(b *testing.B, pattern burst, weight, load float64) {
	const length = 20 * time.Second
	t := &bubble{TB: b}
	defer t.close()
	var f *fleet
	batch := &modelBatch{f: func() modelProber { return f.engines }, stock: make(chan struct{})}
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
	idle := 1 - without.slots.Seconds()/(float64(benchEngines*benchSlots)*length.Seconds())
	batch.enabled.Store(true)
	time.Sleep(3 * time.Second)
	began, tokens, ended := time.Now(), batch.tokens.Load(), batch.ended.Load()
	with := f.driveBursts(rate, pattern, length)
	done := float64(batch.tokens.Load()-tokens) / time.Since(began).Seconds()
	batch.enabled.Store(false)
	b.ReportMetric(quantile(with.first, 99)/quantile(without.first, 99), "first-p99-ratio")
	b.ReportMetric(quantile(with.first, 50)/quantile(without.first, 50), "first-p50-ratio")
	b.ReportMetric(quantile(with.whole, 99)/quantile(without.whole, 99), "whole-p99-ratio")
	b.ReportMetric(quantile(without.first, 99), "first-p99-without-ms")
	b.ReportMetric(100*done/(full*idle), "batch/idle-%")
	b.ReportMetric(float64(batch.ended.Load()-ended)*batchTokens/done/time.Since(began).Seconds(), "ended/item")
	b.ReportMetric(0, "ns/op")
}
