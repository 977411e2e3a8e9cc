package capacity_test

import (
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net/rpc"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/peer/peertest"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/serving"
)

// init discards the log lines of the controllers, whose output would add to the measured times.
func init() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// Sizes of the register, the fleet and the institutions that costs are measured at; the last is the two-year target.
var (
	upstreamSizes    = []int{100, 500, 1500}
	nodeSizes        = []int{38, 128, 380}
	institutionSizes = []int{25, 100, 400}
)

func zoneName(i, zones int) string { return fmt.Sprintf("zone-%d", i%zones) }

// testConfig returns a configuration with three models, and two callers and two objectives for each institution.
func testConfig(upstreams, institutions int) api.Config {
	cfg := api.Config{Version: 1}
	for m := range 3 {
		cfg.Register.Models = append(cfg.Register.Models, api.Model{Name: fmt.Sprint("model-", m)})
	}
	for i := range upstreams {
		cfg.Register.Upstreams = append(cfg.Register.Upstreams, api.Upstream{
			Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), VM: fmt.Sprintf("vm-%04d", i),
			AvailabilityZone: zoneName(i, 8), Kind: api.UpstreamEngine, Models: []string{fmt.Sprint("model-", i%3)}, Fencing: api.FencingEnforced,
		})
	}
	for i := range institutions {
		name := fmt.Sprintf("institution-%03d", i)
		cfg.Register.Institutions = append(cfg.Register.Institutions, api.Institution{Name: name})
		for c := range 2 {
			cfg.Register.Callers = append(cfg.Register.Callers, api.Caller{
				Name: fmt.Sprintf("caller-%03d-%d", i, c), Institution: name, KeyDigests: []string{fmt.Sprintf("%064x", 2*i+c+1)},
				Grants: api.Grants{Models: []string{"model-0", "model-1", "model-2"}, Batch: true},
			})
		}
		cfg.Rules.Institutions = append(cfg.Rules.Institutions, api.InstitutionRules{
			Institution: name, Share: 1, Rate: api.Rate{RequestsPerSecond: 1e6, Concurrency: 1e6},
			Classes: []api.Class{{Name: "interactive"}},
			Objectives: []api.Objective{
				{Name: "first", Metric: api.MetricFirstToken, Latency: api.Duration(1600 * time.Millisecond), Target: 0.95},
				{Name: "between", Metric: api.MetricBetweenTokens, Latency: api.Duration(33 * time.Millisecond), Target: 0.95},
			},
			CompletionWindow: api.Duration(24 * time.Hour), OnlineTailWeight: 0.5,
		})
	}
	return cfg
}

func nodeName(i int) string { return fmt.Sprintf("node-%03d", i) }

// testMembers returns node 0's view of a fleet of live nodes in eight zones.
func testMembers(nodes int) blackboard.Members {
	m := blackboard.Members{Self: nodeName(0), Live: map[string]blackboard.Member{}}
	for i := range nodes {
		m.Live[nodeName(i)] = blackboard.Member{
			Name: nodeName(i), AvailabilityZone: zoneName(i, 8), Region: "r", Address: nodeName(i) + ":1", PeerAddress: nodeName(i), Incarnation: 1,
			LastHeard: time.Now(),
		}
	}
	return m
}

// testBoard returns the board of node 0 with all upstreams ready.
func testBoard(nodes, upstreams, institutions int) *blackboard.Board {
	b := blackboard.New()
	b.Config.Set(testConfig(upstreams, institutions))
	b.Members.Set(testMembers(nodes))
	status := map[string]blackboard.UpstreamStatus{}
	for i := range upstreams {
		status[fmt.Sprintf("engine-%04d", i)] = blackboard.UpstreamStatus{Health: blackboard.HealthReady, Since: time.Now(), Slots: 16, ReportedAt: time.Now(),
			LoadedModels: []string{fmt.Sprint("model-", i%3)}}
	}
	b.Upstreams.Set(status)
	return b
}

// liveBytes returns the bytes of live objects and stacks after a garbage collection.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// retainedBytes returns the bytes that the result of build keeps alive.
func retainedBytes(build func() any) float64 {
	before := liveBytes()
	v := build()
	after := liveBytes()
	runtime.KeepAlive(v)
	return after - before
}

// processorTime returns the processor time that this process has used so far. Unlike elapsed time it does not count the
// time that other processes run, though it grows somewhat when they share the processor's caches.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// countingNetwork is a peer network that counts calls and bytes. Bytes are those of net/rpc on a connection on which
// gob has already sent the types.
type countingNetwork struct {
	*peertest.Network
	mu      sync.Mutex
	encoded countingWriter
	enc     *gob.Encoder
	calls   map[string]int
	sizes   map[string]int
}

type countingWriter int

func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}

func newCountingNetwork() *countingNetwork {
	m := &countingNetwork{Network: peertest.New(), calls: map[string]int{}, sizes: map[string]int{}}
	m.enc = gob.NewEncoder(&m.encoded)
	return m
}

// totals returns the calls and bytes so far of the methods for which selected returns true; nil selects all methods.
func (m *countingNetwork) totals(selected func(method string) bool) (calls, size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for method, n := range m.calls {
		if selected == nil || selected(method) {
			calls, size = calls+n, size+m.sizes[method]
		}
	}
	return calls, size
}

// headerBytes is the size in bytes of the TCP/IP headers of one message.
const headerBytes = 52

// count adds one call with its request and reply, of one TCP segment each.
func (m *countingNetwork) count(method string, args, reply any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := int(m.encoded)
	_ = m.enc.Encode(&rpc.Request{ServiceMethod: method, Seq: 1 << 20})
	_ = m.enc.Encode(args)
	_ = m.enc.Encode(&rpc.Response{ServiceMethod: method, Seq: 1 << 20})
	_ = m.enc.Encode(reply)
	m.calls[method]++
	m.sizes[method] += int(m.encoded) - before + 2*headerBytes
}

// countingCaller makes the calls of one node and counts those that succeed. With ignoreErrors a failed call, as to a
// node without a server, succeeds with a zero reply.
type countingCaller struct {
	*peertest.Caller
	counter      *countingNetwork
	ignoreErrors bool
}

// caller returns the caller of a node. It uses the names of nodes as their addresses.
func (m *countingNetwork) caller(node string) *countingCaller {
	resolve := func(n string) (string, bool) { return n, true }
	return &countingCaller{Caller: &peertest.Caller{Network: m.Network, Address: node, Resolve: resolve}, counter: m}
}

func (c *countingCaller) Call(ctx context.Context, node, method string, args, reply any) error {
	return c.CallAddress(ctx, node, method, args, reply)
}

func (c *countingCaller) CallAddress(ctx context.Context, address, method string, args, reply any) error {
	err := c.Caller.CallAddress(ctx, address, method, args, reply)
	if err != nil && c.ignoreErrors {
		err = nil
	}
	if err == nil {
		c.counter.count(method, args, reply)
	}
	return err
}

// addNode adds a node that serves the receivers and returns its server.
func (m *countingNetwork) addNode(t testing.TB, node string, receivers map[string]any) *peer.Server {
	s := peer.NewServer("", nil)
	for name, r := range receivers {
		assert.NilError(t, s.Register(name, r))
	}
	m.Listen(node, s)
	return s
}

// countingStore counts the calls to a store and the bytes of values, by the part of the key before the first slash.
type countingStore struct {
	store.Store
	mu                   sync.Mutex
	reads, writes, bytes map[string]int
}

func newCountingStore(s store.Store) *countingStore {
	return &countingStore{Store: s, reads: map[string]int{}, writes: map[string]int{}, bytes: map[string]int{}}
}

func (s *countingStore) count(key string, reads, writes, size int) {
	kind, _, _ := strings.Cut(key, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[kind] += reads
	s.writes[kind] += writes
	s.bytes[kind] += size
}

// totals returns the calls and bytes so far on keys whose part before the first slash is wanted, or on all keys if wanted
// is "".
func (s *countingStore) totals(wanted string) (reads, writes, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := func(m map[string]int) (n int) {
		for kind, v := range m {
			if wanted == "" || kind == wanted {
				n += v
			}
		}
		return n
	}
	return sum(s.reads), sum(s.writes), sum(s.bytes)
}

func (s *countingStore) Get(ctx context.Context, key string) (store.Object, error) {
	o, err := s.Store.Get(ctx, key)
	s.count(key, 1, 0, len(o.Value))
	return o, err
}

func (s *countingStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	p, err := s.Store.List(ctx, prefix, after, limit)
	size := 0
	for _, o := range p.Objects {
		size += len(o.Value)
	}
	s.count(prefix, 1, 0, size)
	return p, err
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	s.count(key, 0, 1, len(value))
	return s.Store.Put(ctx, key, value, expect)
}

func (s *countingStore) Delete(ctx context.Context, key string, expect int64) error {
	s.count(key, 0, 1, 0)
	return s.Store.Delete(ctx, key, expect)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	s.count(prefix, 1, 0, 0)
	return s.Store.Watch(ctx, prefix, from)
}

// testRequest returns request i, of one of 25 institutions and one of three models.
func testRequest(i int) serving.Request {
	return serving.Request{
		ID: fmt.Sprintf("node-000-%026d", i), Institution: fmt.Sprintf("institution-%03d", i%25), Caller: "caller", Class: "interactive", Share: 1,
		Model: fmt.Sprint("model-", i%3), Deadline: time.Now().Add(2 * time.Minute), PromptTokens: 500, MaxTokens: 220,
	}
}
