package capacity_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/burn"
	"trefoilplank.example/pkg/controller/reconcile"
	"trefoilplank.example/pkg/controller/upstreams"
	decision "trefoilplank.example/pkg/decision/reconcile"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/explain"
)

// BenchmarkOwnerLookup measures the time to find the owner of a key among the live members, as limits and claims do for
// each call, and to find the owner and its successor, as quarantine and idempotency do.
func BenchmarkOwnerLookup(b *testing.B) {
	for _, n := range nodeSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			live := testMembers(n).Live
			for b.Loop() {
				if rendezvous.Owner("limits/institution-000", slices.Collect(maps.Keys(live))) == "" {
					b.Fatal("no owner found for limits/institution-000")
				}
			}
		})
		b.Run(fmt.Sprintf("nodes=%d/successor", n), func(b *testing.B) {
			live := testMembers(n).Live
			for b.Loop() {
				if len(rendezvous.Top("quarantine/fingerprint", slices.Collect(maps.Keys(live)), 2)) != 2 {
					b.Fatal("no owner and successor found for quarantine/fingerprint")
				}
			}
		})
	}
}

// steadyEngines reports that every engine has loaded the models that the register asks for, and accepts every order.
type steadyEngines struct{}

func (steadyEngines) State(_ context.Context, u api.Upstream) (decision.State, error) {
	s := decision.State{Models: map[string]string{}}
	for _, m := range u.Models {
		s.Models[m] = ""
	}
	return s, nil
}

func (steadyEngines) Order(context.Context, api.Upstream, int64, decision.Order) error { return nil }

// BenchmarkReconcile measures the memory, processor time and store calls of a pass without a change on a node that
// reconciles all groups, by the number of upstreams. States are read without I/O.
func BenchmarkReconcile(b *testing.B) {
	for _, n := range upstreamSizes {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			board, s := testBoard(1, n, 400), newCountingStore(memstore.New())
			ctx := context.Background()
			var c *reconcile.Controller
			state := retainedBytes(func() any {
				c = reconcile.New(reconcile.Options{Node: nodeName(0), Board: board, Store: s, Engines: steadyEngines{}})
				for range 3 {
					c.Sync(ctx)
				}
				return c
			})
			reads, writes, _ := s.totals("")
			passes := 0
			used := processorTime()
			for b.Loop() {
				c.Sync(ctx)
				passes++
			}
			used = processorTime() - used
			reads2, writes2, _ := s.totals("")
			b.ReportMetric(state/float64(n), "B/upstream")
			b.ReportMetric(float64(used.Nanoseconds())/float64(passes*n), "cpu-ns/upstream")
			b.ReportMetric(float64(reads2-reads)/float64(passes), "reads/pass")
			b.ReportMetric(float64(writes2-writes)/float64(passes), "writes/pass")
		})
	}
}

// ownedStates holds the states of the engines that a node owns, which never change.
type ownedStates struct {
	states   map[string]upstreams.State
	revision int64
}

func (o *ownedStates) States() (map[string]upstreams.State, int64) { return o.states, o.revision }

func (o *ownedStates) StatesChanged(int64) <-chan struct{} { return nil }

// BenchmarkEngineReports measures the calls and bytes with which a node reports the engines that it owns to the node that
// reconciles them, in an hour of virtual time and by the number of engines, and the processor time of both ends.
func BenchmarkEngineReports(b *testing.B) {
	const length = time.Hour
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			var calls, size int
			var used time.Duration
			for b.Loop() {
				inVirtualTime(func(t *testing.T) { calls, size, used = measureReports(b, n, length) })
			}
			b.ReportMetric(float64(calls)/length.Seconds(), "calls/s")
			b.ReportMetric(float64(size)/float64(calls), "B/report")
			b.ReportMetric(float64(used.Nanoseconds())/float64(calls), "cpu-ns/report")
		})
	}
}

// measureReports runs two nodes, of which one reconciles the n engines that the other owns, and returns the calls, bytes
// and processor time of the other's reports.
func measureReports(b testing.TB, n int, length time.Duration) (calls, size int, used time.Duration) {
	cfg := testConfig(n, 1)
	for i := range cfg.Register.Upstreams {
		cfg.Register.Upstreams[i].Models = []string{"model-0"}
	}
	m := newCountingNetwork()
	owned := &ownedStates{states: map[string]upstreams.State{}}
	for _, u := range cfg.Register.Upstreams {
		owned.states[u.Name] = upstreams.State{Engine: decision.State{Models: map[string]string{"model-0": "v1"}}}
	}
	reconciler := rendezvous.Owner("reconcile/model-0", []string{nodeName(0), nodeName(1)})
	var nodes []*reconcile.Controller
	reporter := 0
	for i := range 2 {
		if nodeName(i) != reconciler {
			reporter = i
		}
		board := blackboard.New()
		board.Config.Set(cfg)
		members := testMembers(2)
		members.Self = nodeName(i)
		board.Members.Set(members)
		c := reconcile.New(reconcile.Options{Node: nodeName(i), Board: board, Store: memstore.New(), Engines: steadyEngines{}})
		m.addNode(b, nodeName(i), map[string]any{"Reconcile": c.Receiver()})
		nodes = append(nodes, c)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = reconcile.NewReporter(nodes[reporter], m.caller(nodeName(reporter)), owned).Run(ctx)
	}()
	time.Sleep(time.Minute)
	callsBefore, sizeBefore := m.totals(nil)
	from := processorTime()
	time.Sleep(length)
	used = processorTime() - from
	calls, size = m.totals(nil)
	stop()
	<-done
	return calls - callsBefore, size - sizeBefore, used
}

// BenchmarkBurn measures the memory of a burn recorder for each institution with two objectives, and the time to count
// one request.
func BenchmarkBurn(b *testing.B) {
	for _, n := range institutionSizes {
		b.Run(fmt.Sprintf("institutions=%d", n), func(b *testing.B) {
			var config blackboard.Section[api.Config]
			config.Set(testConfig(1, n))
			i := 0
			var r *burn.Recorder
			observe := func() {
				r.Observe(fmt.Sprintf("institution-%03d", i%n), "interactive", api.MetricFirstToken, time.Second, true)
				r.Observe(fmt.Sprintf("institution-%03d", i%n), "interactive", api.MetricBetweenTokens, time.Millisecond, true)
				i++
			}
			state := retainedBytes(func() any {
				r = burn.NewRecorder(&config, time.Now)
				for range n {
					observe()
				}
				return r
			})
			for b.Loop() {
				observe()
			}
			b.ReportMetric(state/float64(n), "B/institution")
			rows := len(r.Counts(burn.GetArgs{}).Rows)
			b.ReportMetric(float64(rows)/float64(n), "rows/institution")
		})
	}
}

// BenchmarkExplain measures the memory of the decision log for each entry that it keeps, and the time to record one.
func BenchmarkExplain(b *testing.B) {
	for _, n := range []int{1000, 5000, 20_000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			i := 0
			record := func(l *explain.Log) {
				l.Record(explain.Entry{Request: fmt.Sprintf("node-000-%026d", i), Upstream: "engine-0000", Decision: "place",
					Reason: fmt.Sprintf("least expected first token of %d", i),
					Values: map[string]any{"candidates": 500, "usable": 499, "expected_wait_ms": int64(i), "expected_first_token_ms": int64(i)}})
				i++
			}
			var l *explain.Log
			state := retainedBytes(func() any {
				l = explain.NewLog(nodeName(0), n, time.Now)
				for range n {
					record(l)
				}
				return l
			})
			for b.Loop() {
				record(l)
			}
			b.ReportMetric(state/float64(n), "B/entry")
		})
	}
}
