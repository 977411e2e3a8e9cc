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

// init drops the log lines of the controllers, which would be part of the times.
func init() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// sizes of the register, the fleet and the institutions that slopes are taken over; the last is the two-year target.
var (
	upstreamSizes    = []int{100, 500, 1500}
	nodeSizes        = []int{38, 128, 380}
	institutionSizes = []int{25, 100, 400}
)

func zone(i, zones int) string { return fmt.Sprintf("zone-%d", i%zones) }

// configOf returns a configuration of three models, with two callers and two objectives for each institution.
func configOf(upstreams, institutions int) api.Config {
	cfg := api.Config{Version: 1}
	for m := range 3 {
		cfg.Register.Models = append(cfg.Register.Models, api.Model{Name: fmt.Sprint("model-", m)})
	}
	for i := range upstreams {
		cfg.Register.Upstreams = append(cfg.Register.Upstreams, api.Upstream{
			Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), VM: fmt.Sprintf("vm-%04d", i),
			AvailabilityZone: zone(i, 8), Kind: api.UpstreamEngine, Models: []string{fmt.Sprint("model-", i%3)}, Fencing: api.FencingEnforced,
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

// membersOf returns a view of live nodes in eight zones as node 0 has it.
func membersOf(nodes int) blackboard.Members {
	m := blackboard.Members{Self: nodeName(0), Live: map[string]blackboard.Member{}}
	for i := range nodes {
		m.Live[nodeName(i)] = blackboard.Member{
			Name: nodeName(i), AvailabilityZone: zone(i, 8), Region: "r", Address: nodeName(i) + ":1", PeerAddress: nodeName(i), Incarnation: 1,
			LastHeard: time.Now(),
		}
	}
	return m
}

// boardOf returns the board of node 0.
func boardOf(nodes, upstreams, institutions int) *blackboard.Board {
	b := blackboard.New()
	b.Config.Set(configOf(upstreams, institutions))
	b.Members.Set(membersOf(nodes))
	status := map[string]blackboard.UpstreamStatus{}
	for i := range upstreams {
		status[fmt.Sprintf("engine-%04d", i)] = blackboard.UpstreamStatus{Health: blackboard.HealthReady, Since: time.Now(), Slots: 16, ReportedAt: time.Now(),
			LoadedModels: []string{fmt.Sprint("model-", i%3)}}
	}
	b.Upstreams.Set(status)
	return b
}

// heap returns the bytes of live objects and stacks after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// retained returns the bytes that build keeps alive by its result.
func retained(build func() any) float64 {
	before := heap()
	v := build()
	after := heap()
	runtime.KeepAlive(v)
	return after - before
}

// cpu returns the processor time that this process has used. Its share of the machine does not depend on what
// other processes do, though the time of a step grows somewhat when caches are shared.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// meter is a peer network that counts calls and bytes. Bytes are those of net/rpc on a connection in use, on
// which gob has sent the types already.
type meter struct {
	*peertest.Network
	mu    sync.Mutex
	out   countingWriter
	enc   *gob.Encoder
	calls map[string]int
	sizes map[string]int
}

type countingWriter int

func (w *countingWriter) Write(p []byte) (int, error) {
	*w += countingWriter(len(p))
	return len(p), nil
}

func newMeter() *meter {
	m := &meter{Network: peertest.New(), calls: map[string]int{}, sizes: map[string]int{}}
	m.enc = gob.NewEncoder(&m.out)
	return m
}

// totals returns the calls and bytes so far of methods that pick selects; nil selects all.
func (m *meter) totals(pick func(method string) bool) (calls, size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for method, n := range m.calls {
		if pick == nil || pick(method) {
			calls, size = calls+n, size+m.sizes[method]
		}
	}
	return calls, size
}

// segment is the TCP/IP header of one message.
const segment = 52

func (m *meter) count(method string, args, reply any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := int(m.out)
	_ = m.enc.Encode(&rpc.Request{ServiceMethod: method, Seq: 1 << 20})
	_ = m.enc.Encode(args)
	_ = m.enc.Encode(&rpc.Response{ServiceMethod: method, Seq: 1 << 20})
	_ = m.enc.Encode(reply)
	m.calls[method]++
	m.sizes[method] += int(m.out) - before + 2*segment
}

// caller is one node's side of a meter. silent answers every call to a node without a server with a zero reply.
type caller struct {
	*peertest.Caller
	meter  *meter
	silent bool
}

func (m *meter) caller(node string) *caller {
	resolve := func(n string) (string, bool) { return n, true }
	return &caller{Caller: &peertest.Caller{Network: m.Network, Address: node, Resolve: resolve}, meter: m}
}

func (c *caller) Call(ctx context.Context, node, method string, args, reply any) error {
	return c.CallAddress(ctx, node, method, args, reply)
}

func (c *caller) CallAddress(ctx context.Context, address, method string, args, reply any) error {
	err := c.Caller.CallAddress(ctx, address, method, args, reply)
	if err != nil && c.silent {
		err = nil
	}
	if err == nil {
		c.meter.count(method, args, reply)
	}
	return err
}

// serve adds a node and returns its server.
func (m *meter) serve(t testing.TB, node string, receivers map[string]any) *peer.Server {
	s := peer.NewServer("", nil)
	for name, r := range receivers {
		assert.NilError(t, s.Register(name, r))
	}
	m.Listen(node, s)
	return s
}

// countedStore counts the calls to a store by the first part of the key; bytes are those of values.
type countedStore struct {
	store.Store
	mu                   sync.Mutex
	reads, writes, bytes map[string]int
}

func newCountedStore(s store.Store) *countedStore {
	return &countedStore{Store: s, reads: map[string]int{}, writes: map[string]int{}, bytes: map[string]int{}}
}

func (s *countedStore) add(key string, reads, writes, size int) {
	kind, _, _ := strings.Cut(key, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[kind] += reads
	s.writes[kind] += writes
	s.bytes[kind] += size
}

// totals returns the calls so far on keys of one kind, or on all keys.
func (s *countedStore) totals(only string) (reads, writes, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := func(m map[string]int) (n int) {
		for kind, v := range m {
			if only == "" || kind == only {
				n += v
			}
		}
		return n
	}
	return sum(s.reads), sum(s.writes), sum(s.bytes)
}

func (s *countedStore) Get(ctx context.Context, key string) (store.Object, error) {
	o, err := s.Store.Get(ctx, key)
	s.add(key, 1, 0, len(o.Value))
	return o, err
}

func (s *countedStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	p, err := s.Store.List(ctx, prefix, after, limit)
	size := 0
	for _, o := range p.Objects {
		size += len(o.Value)
	}
	s.add(prefix, 1, 0, size)
	return p, err
}

func (s *countedStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	s.add(key, 0, 1, len(value))
	return s.Store.Put(ctx, key, value, expect)
}

func (s *countedStore) Delete(ctx context.Context, key string, expect int64) error {
	s.add(key, 0, 1, 0)
	return s.Store.Delete(ctx, key, expect)
}

func (s *countedStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	s.add(prefix, 1, 0, 0)
	return s.Store.Watch(ctx, prefix, from)
}

func request(i int) serving.Request {
	return serving.Request{
		ID: fmt.Sprintf("node-000-%026d", i), Institution: fmt.Sprintf("institution-%03d", i%25), Caller: "caller", Class: "interactive", Share: 1,
		Model: fmt.Sprint("model-", i%3), Deadline: time.Now().Add(2 * time.Minute), PromptTokens: 500, MaxTokens: 220,
	}
}
