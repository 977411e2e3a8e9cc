package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// statusBatch is an endless batch backlog for the engines and, when services is set, for the status service as well.
type statusBatch struct {
	*modelBatch
	services bool
}

func (b statusBatch) Next(u api.Upstream) (serving.BatchRun, bool) {
	run, ok := b.modelBatch.Next(u)
	if !ok || u.Kind != api.UpstreamService {
		return run, ok
	}
	if !b.services {
		return nil, false
	}
	r := run.(*modelRun)
	r.request.Model, r.request.Service = "", "status"
	return r, true
}

// addServices adds three replicas of the status service that answer in 3 ms, 5 ms when full.
func (f *fleet) addServices() {
	for i := range 3 {
		u := api.Upstream{Name: fmt.Sprint("s", i), Kind: api.UpstreamService, Service: "status", AvailabilityZone: "z1"}
		f.cfg.Register.Upstreams = append(f.cfg.Register.Upstreams, u)
		f.engines[u.Name] = newModelEngine(benchSlots, 3*time.Millisecond)
	}
}

func (f *fleet) lookup(node int, r serving.Request, _ int) (time.Duration, bool) {
	r.Model, r.Service = "", "status"
	began := time.Now()
	c := f.net.nodes[fmt.Sprint("n", node)].c
	slot, err := c.Acquire(context.Background(), r)
	if err != nil {
		return 0, false
	}
	c.Release(slot, f.engines[slot.Upstream.Name].run(context.Background(), nil, 1, func(int) {}))
	return time.Since(began), true
}

// measureLookups measures lookups without a backlog, with one, and without it again.
func measureLookups(t *testing.T, services bool) (without, with, again loadResult) {
	var f *fleet
	batch := &modelBatch{engines: func() modelProber { return f.engines }, waiting: make(chan struct{})}
	f = prepareFleet()
	f.addServices()
	f.start(t, func(o *Options) { o.Batch = statusBatch{batch, services} })
	const rate = 300
	without = drive(rate, f.lookup, nil)
	batch.enabled.Store(true)
	time.Sleep(1500 * time.Millisecond)
	began := batch.tokens.Load()
	with = drive(rate, f.lookup, nil)
	if batch.tokens.Load() == began {
		t.Fatal("no batch work ran")
	}
	batch.enabled.Store(false)
	time.Sleep(1500 * time.Millisecond)
	return without, with, drive(rate, f.lookup, nil)
}

// BenchmarkStatusLookup compares the p99 latency of status lookups at 300 calls/s with a full batch backlog and without
// one. It runs in virtual time, since the overhead of the machine in both would hide a wait of some milliseconds.
func BenchmarkStatusLookup(b *testing.B) {
	for name, services := range map[string]bool{"backlog on engines": false, "backlog on the service too": true} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				var without, with, again loadResult
				done := make(chan struct{})
				go func() {
					defer close(done)
					synctest.Test(&testing.T{}, func(t *testing.T) { without, with, again = measureLookups(t, services) })
				}()
				<-done
				b.ReportMetric(with.p99(), "with-p99-ms")
				b.ReportMetric(without.p99(), "without-p99-ms")
				b.ReportMetric(with.p99()/without.p99(), "with/without")
				b.ReportMetric(again.p99()/without.p99(), "without-again/without")
				b.ReportMetric(100*float64(with.ok)/float64(max(1, with.offered)), "accepted-%")
			}
		})
	}
}
