package admission

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// modelBatch is an endless backlog that runs on the model engines.
type modelBatch struct {
	f       func() modelProber
	ids     atomic.Int64
	tokens  atomic.Int64
	wasted  atomic.Int64
	stock   chan struct{}
	enabled atomic.Bool
}

type modelRun struct {
	b       *modelBatch
	request serving.Request
	tokens  atomic.Int64
}

func (b *modelBatch) Next(api.Upstream) (serving.BatchRun, bool) {
	if !b.enabled.Load() {
		return nil, false
	}
	return &modelRun{b: b, request: serving.Request{ID: fmt.Sprint("b", b.ids.Add(1)), Institution: "agencia", Model: "m", Batch: true}}, true
}
func (b *modelBatch) Pressure(string) float64  { return 0 }
func (b *modelBatch) Waiting() <-chan struct{} { return b.stock }
func (r *modelRun) Request() serving.Request   { return r.request }
func (r *modelRun) Progress() (int, bool)      { return int(r.tokens.Load()), false }

func (r *modelRun) Run(ctx context.Context, s *serving.Slot) serving.Usage {
	u := r.b.f()[s.Upstream.Name].run(ctx, nil, 40, func(n int) { r.tokens.Store(int64(n)) })
	if errors.Is(context.Cause(ctx), serving.ErrPreempted) {
		r.b.wasted.Add(r.tokens.Load())
	} else {
		r.b.tokens.Add(r.tokens.Load())
	}
	return u
}

// BenchmarkBatchBeside compares online p99 first token with a full batch backlog and without, and the tokens that
// batch work completes with those that idle slots could hold.
func BenchmarkBatchBeside(b *testing.B) {
	const load = 0.6
	for _, weight := range []float64{0, 0.6, 1} {
		b.Run(fmt.Sprintf("weight=%.1f", weight), func(b *testing.B) {
			for range b.N {
				var f *fleet
				batch := &modelBatch{f: func() modelProber { return f.engines }, stock: make(chan struct{})}
				f = newFleet(b, func(o *Options) {
					o.Batch = batch
					cfg := o.Board.Config.Value()
					cfg.Rules.Institutions = slices.Clone(cfg.Rules.Institutions)
					cfg.Rules.Institutions[0].OnlineTailWeight = weight
					o.Board.Config.Set(cfg)
				})
				rate := load * capacity(meanTokens)
				without := drive(rate, f.ours, nil)
				batch.enabled.Store(true)
				time.Sleep(1500 * time.Millisecond)
				began, tokens := time.Now(), batch.tokens.Load()
				with := drive(rate, f.ours, nil)
				done := float64(batch.tokens.Load()-tokens) / time.Since(began).Seconds()
				batch.enabled.Store(false)
				b.ReportMetric(with.p99(), "with-p99-ms")
				b.ReportMetric(without.p99(), "without-p99-ms")
				b.ReportMetric(with.p99()/without.p99(), "with/without")
				b.ReportMetric(float64(with.first.ValueAtQuantile(50))/float64(without.first.ValueAtQuantile(50)), "p50-with/without")
				b.ReportMetric(100*done/((1-load)*meanTokens*capacity(meanTokens)), "batch/idle-capacity-%")
				b.ReportMetric(float64(batch.wasted.Load()), "tokens-wasted")
			}
		})
	}
}
