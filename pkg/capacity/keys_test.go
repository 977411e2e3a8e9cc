package capacity_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/controller/claims"
	"trefoilplank.example/pkg/controller/idempotency"
	"trefoilplank.example/pkg/controller/limits"
	"trefoilplank.example/pkg/controller/quarantine"
	"trefoilplank.example/pkg/decision/failedruns"
	decision "trefoilplank.example/pkg/decision/idempotency"
	"trefoilplank.example/pkg/decision/ratelimit"
)

// listenForAll makes one server answer for all nodes, so that a call to any owner is counted and served.
func listenForAll(m *countingNetwork, nodes int, s *peer.Server) {
	for i := range nodes {
		m.Listen(nodeName(i), s)
	}
}

func testFingerprint(i int) string { return fmt.Sprintf("%064x", i) }

// BenchmarkFingerprints measures the costs of the check and the report of a request, including those on the owners of
// its fingerprint, by the number of suspects that they hold. Each request has a new fingerprint, as most have.
func BenchmarkFingerprints(b *testing.B) {
	for _, suspects := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("suspects=%d", suspects), func(b *testing.B) {
			board, m, s := testBoard(380, 1, 1), newCountingNetwork(), peer.NewServer("", nil)
			listenForAll(m, 380, s)
			ctx := context.Background()
			c, err := quarantine.New(quarantine.Options{Self: nodeName(0), Board: board, Peers: m.caller(nodeName(0))}, s)
			assert.NilError(b, err)
			state := retainedBytes(func() any {
				for i := range suspects {
					c.ReportRun(ctx, failedruns.Works{Request: testFingerprint(i)}, fmt.Sprint("node-000-", i), "engine-0000", true)
				}
				return c
			})
			time.Sleep(50 * time.Millisecond)
			calls, size := m.totals(nil)
			n := suspects
			used := processorTime()
			for b.Loop() {
				id := fmt.Sprint("node-000-", n)
				c.Check(ctx, failedruns.Works{Request: testFingerprint(n)}, id)
				c.ReportRun(ctx, failedruns.Works{Request: testFingerprint(n)}, id, "engine-0000", false)
				n++
			}
			time.Sleep(100 * time.Millisecond)
			used = processorTime() - used
			calls2, size2 := m.totals(nil)
			checks := float64(n - suspects)
			b.ReportMetric(state/float64(suspects), "B/suspect")
			b.ReportMetric(float64(used.Nanoseconds())/checks, "cpu-ns/check")
			b.ReportMetric(float64(calls2-calls)/checks, "calls/check")
			b.ReportMetric(float64(size2-size)/checks, "B/check")
		})
	}
}

// BenchmarkIdempotencyKeys measures the costs of a request with an idempotency key, by the number of keys that the owner
// holds. Each kept answer has 1 KB.
func BenchmarkIdempotencyKeys(b *testing.B) {
	for _, keys := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			board, m, s := testBoard(380, 1, 1), newCountingNetwork(), peer.NewServer("", nil)
			listenForAll(m, 380, s)
			ctx := context.Background()
			c, err := idempotency.New(idempotency.Options{Self: nodeName(0), Board: board, Peers: m.caller(nodeName(0))}, s)
			assert.NilError(b, err)
			run := func(i int) {
				t, _, _ := c.Begin(ctx, "institution-000", fmt.Sprint("key-", i), testFingerprint(i), fmt.Sprint("node-000-", i), time.Minute)
				if t == nil {
					b.Fatal("Begin returned no ticket for a new idempotency key")
				}
				t.End(ctx, &decision.Answer{Status: 200, Body: make([]byte, 1024), RequestID: fmt.Sprint("node-000-", i)}, true)
			}
			state := retainedBytes(func() any {
				for i := range keys {
					run(i)
				}
				return c
			})
			calls, size := m.totals(nil)
			n := keys
			used := processorTime()
			for b.Loop() {
				run(n)
				n++
			}
			used = processorTime() - used
			calls2, size2 := m.totals(nil)
			runs := float64(n - keys)
			b.ReportMetric(state/float64(keys), "B/key")
			b.ReportMetric(float64(used.Nanoseconds())/runs, "cpu-ns/run")
			b.ReportMetric(float64(calls2-calls)/runs, "calls/run")
			b.ReportMetric(float64(size2-size)/runs, "B/run")
		})
	}
}

// latestValues is a store that implements only Get and Put and, unlike memstore, keeps no history.
type latestValues struct {
	store.Store
	mu     sync.Mutex
	values map[string]store.Object
	next   int64
	// valueBytes is the memory of the values at the time of addValueSizes.
	valueBytes float64
}

func (s *latestValues) Get(_ context.Context, key string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.values[key]
	if !ok {
		return o, store.ErrNotFound
	}
	return o, nil
}

func (s *latestValues) Put(_ context.Context, key string, value []byte, expect int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if expect != store.AnyRevision && s.values[key].Revision != expect {
		return 0, store.ErrConflict
	}
	s.next++
	s.values[key] = store.Object{Key: key, Value: bytes.Clone(value), Revision: s.next}
	return s.next, nil
}

// addValueSizes adds the memory of the values to valueBytes.
func (s *latestValues) addValueSizes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.values {
		s.valueBytes += float64(cap(o.Value))
	}
}

// BenchmarkClaims measures the costs of a claim of a non-idempotent request, by the number of claims that the buckets
// already hold, with 32 claims in progress at once.
func BenchmarkClaims(b *testing.B) {
	for _, held := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			board, m, s := testBoard(1, 1, 1), newCountingNetwork(), peer.NewServer("", nil)
			listenForAll(m, 1, s)
			objects := &latestValues{values: map[string]store.Object{}}
			counted := newCountingStore(objects)
			c, err := claims.New(claims.Options{Self: nodeName(0), Board: board, Peers: m.caller(nodeName(0)), Store: counted}, s)
			assert.NilError(b, err)
			var next atomic.Int64
			claim := func() {
				i := int(next.Add(1))
				if r := c.Claim(context.Background(), "institution-000", fmt.Sprint("key-", i), testFingerprint(i),
					fmt.Sprintf("node-000-%026d", i)); r != claims.Granted {
					b.Error("not granted", r)
				}
			}
			claimMany := func(n, parallel int) {
				var workers sync.WaitGroup
				for range parallel {
					workers.Go(func() {
						for range n / parallel {
							claim()
						}
					})
				}
				workers.Wait()
			}
			state := retainedBytes(func() any { claimMany(held, min(held, 5000)); return c })
			objects.addValueSizes()
			_, writes, size := counted.totals("")
			from := next.Load()
			used := processorTime()
			for b.Loop() {
				claimMany(32, 32)
			}
			used = processorTime() - used
			_, writes2, size2 := counted.totals("")
			n := float64(next.Load() - from)
			// The store runs in the same process but is not part of a node, so that its values are left out.
			b.ReportMetric((state-objects.valueBytes)/float64(held), "B/claim")
			b.ReportMetric(float64(used.Nanoseconds())/n, "cpu-ns/claim")
			b.ReportMetric(float64(writes2-writes)/n, "writes/claim")
			b.ReportMetric(float64(size2-size)/n, "store-B/claim")
		})
	}
}

// BenchmarkLimits measures the costs of rate and concurrency limits for each request, on the serving node and the limit
// owner together, by the number of institutions. Requests arrive at 8 a second over all institutions, as on one of 380
// nodes, in real time.
func BenchmarkLimits(b *testing.B) {
	for _, n := range institutionSizes {
		b.Run(fmt.Sprintf("institutions=%d", n), func(b *testing.B) {
			board, m, s := testBoard(380, 1, n), newCountingNetwork(), peer.NewServer("", nil)
			listenForAll(m, 380, s)
			c, err := limits.New(limits.Options{Self: nodeName(0), Board: board, Peers: m.caller(nodeName(0)), Registrar: s})
			assert.NilError(b, err)
			ctx := context.Background()
			i := 0
			runRequest := func() {
				name := fmt.Sprintf("institution-%03d", i%n)
				i++
				if err := c.TakeToken(ctx, name); err != nil {
					b.Fatal(err)
				}
				release, err := c.Enter(ctx, name)
				if err != nil {
					b.Fatal(err)
				}
				release()
			}
			state := retainedBytes(func() any {
				for range n {
					runRequest()
				}
				return c
			})
			calls, size := m.totals(nil)
			from, used := i, processorTime()
			for b.Loop() {
				runRequest()
				time.Sleep(time.Second / 8)
			}
			used = processorTime() - used
			calls2, size2 := m.totals(nil)
			b.ReportMetric(state/float64(n), "B/institution")
			b.ReportMetric(float64(used.Nanoseconds())/float64(i-from), "cpu-ns/request")
			b.ReportMetric(float64(calls2-calls)/float64(i-from), "calls/request")
			b.ReportMetric(float64(size2-size)/float64(i-from), "B/request")
		})
	}
}

// BenchmarkLimitOwner measures the memory and time of a limit owner for one institution, by the number of nodes that
// hold grants.
func BenchmarkLimitOwner(b *testing.B) {
	for _, n := range nodeSizes {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			board, m, s := testBoard(n, 1, 400), newCountingNetwork(), peer.NewServer("", nil)
			listenForAll(m, n, s)
			c, err := limits.New(limits.Options{Self: nodeName(0), Board: board, Peers: m.caller(nodeName(0)), Registrar: s})
			assert.NilError(b, err)
			i := 0
			grant := func() {
				args := &limits.GrantArgs{Node: nodeName(i % n), Institution: "institution-399", Ask: ratelimit.Ask{Demand: 8, Want: 1, InFlight: 1, WantSlots: 3}}
				i++
				assert.NilError(b, s.CallLocal(context.Background(), "Limits.Grant", args, &limits.GrantReply{}))
			}
			state := retainedBytes(func() any {
				for range n {
					grant()
				}
				return c
			})
			for b.Loop() {
				grant()
			}
			b.ReportMetric(state/float64(n), "B/node")
		})
	}
}

// BenchmarkLimitRenewal measures the calls and processor time with which a node renews the concurrency grants of the
// institutions that have a request in flight on it, by the number of institutions, in an hour of virtual time after
// their use has become steady.
func BenchmarkLimitRenewal(b *testing.B) {
	for _, nodes := range []int{8, 380} {
		for _, n := range []int{10, 25, 100} {
			b.Run(fmt.Sprintf("nodes=%d/institutions=%d", nodes, n), func(b *testing.B) {
				var figures map[string]float64
				for b.Loop() {
					inVirtualTime(func(*testing.T) { figures = measureRenewals(b, nodes, n) })
				}
				for name, v := range figures {
					b.ReportMetric(v, name)
				}
			})
		}
	}
}

// measureRenewals holds a request of each of n institutions in flight on a node and returns the metrics by name.
func measureRenewals(b testing.TB, nodes, n int) map[string]float64 {
	const length = time.Hour
	board, m, s := testBoard(nodes, 1, 400), newCountingNetwork(), peer.NewServer("", nil)
	listenForAll(m, nodes, s)
	c, err := limits.New(limits.Options{Self: nodeName(0), Board: board, Peers: m.caller(nodeName(0)), Registrar: s})
	must(err == nil, err)
	for i := range n {
		_, err := c.Enter(context.Background(), fmt.Sprintf("institution-%03d", i))
		must(err == nil, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- c.Run(ctx) }()
	time.Sleep(6 * ratelimit.SteadySlotLife)
	calls, size := m.totals(nil)
	used := processorTime()
	time.Sleep(length)
	used = processorTime() - used
	calls2, size2 := m.totals(nil)
	stop()
	<-done
	return map[string]float64{
		"calls/s/institution": float64(calls2-calls) / length.Seconds() / float64(n),
		"B/s/institution":     float64(size2-size) / length.Seconds() / float64(n),
		"%core":               100 * used.Seconds() / length.Seconds(),
	}
}
