package capacity_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/admission"
	"trefoilplank.example/pkg/controller/upstreams"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// newAdmissionNode returns the admission controller of node 0 and its peer server.
func newAdmissionNode(b testing.TB, board *blackboard.Board, m *countingNetwork, o *upstreams.Observer) (*admission.Controller, *peer.Server) {
	s := peer.NewServer("", nil)
	m.Listen(nodeName(0), s)
	options := admission.Options{
		Self: nodeName(0), Board: board, Peers: m.caller(nodeName(0)), Registrar: s, Log: explain.NewLog(nodeName(0), 1000, time.Now), Seed: 1,
	}
	if o != nil {
		options.Observer = o
	}
	c, err := admission.New(options)
	assert.NilError(b, err)
	return c, s
}

// testWork returns the work of request i, of one of 25 institutions.
func testWork(i int) admission.Work {
	return admission.Work{
		Ticket: fmt.Sprint("node-000/1/", i), Request: fmt.Sprintf("node-000-%026d", i), Institution: fmt.Sprintf("institution-%03d", i%25),
		Class: "interactive", Share: 1, MaxTokens: 220, DeadlineIn: 2 * time.Minute,
	}
}

// BenchmarkAdmissionOwnerState measures the memory of an admission owner for each upstream, with 1 and 16 granted slots.
func BenchmarkAdmissionOwnerState(b *testing.B) {
	for _, n := range []int{100, 500, 1500} {
		for _, slots := range []int{1, 16} {
			b.Run(fmt.Sprintf("upstreams=%d/slots=%d", n, slots), func(b *testing.B) {
				for b.Loop() {
					board := testBoard(1, n, 1)
					m := newCountingNetwork()
					c, s := newAdmissionNode(b, board, m, nil)
					b.ReportMetric(retainedBytes(func() any {
						for i := range n * slots {
							args := &admission.AcquireArgs{Upstream: fmt.Sprintf("engine-%04d", i%n), Node: nodeName(0), Work: testWork(i), MaxWait: time.Hour}
							reply := &admission.AcquireReply{}
							assert.NilError(b, s.CallLocal(context.Background(), "Admission.Acquire", args, reply))
							assert.Equal(b, reply.Status, admission.StatusGranted, reply.Reason)
						}
						return c
					})/float64(n), "B/upstream")
				}
			})
		}
	}
}

// BenchmarkAdmissionOwnerQueue measures the memory and time of an admission owner for each request that waits for one
// upstream.
func BenchmarkAdmissionOwnerQueue(b *testing.B) {
	for _, depth := range []int{16, 64, 240} {
		b.Run(fmt.Sprintf("waiting=%d", depth), func(b *testing.B) {
			m := newCountingNetwork()
			// Zero institutions have no rules and so no objective, which would limit the queue to the requests that can
			// start within it.
			board := testBoard(1, 1, 0)
			c, s := newAdmissionNode(b, board, m, nil)
			acquire := func(i int) admission.Status {
				args := &admission.AcquireArgs{Upstream: "engine-0000", Node: nodeName(0), Work: testWork(i), MaxWait: time.Hour}
				reply := &admission.AcquireReply{}
				assert.NilError(b, s.CallLocal(context.Background(), "Admission.Acquire", args, reply))
				return reply.Status
			}
			release := func(i int) {
				args := &admission.ReleaseArgs{Upstream: "engine-0000", Node: nodeName(0),
					Work: testWork(i), Usage: serving.Usage{Result: serving.RunCancelled}}
				assert.NilError(b, s.CallLocal(context.Background(), "Admission.Release", args, &admission.ReleaseReply{}))
			}
			for i := range 16 {
				assert.Equal(b, acquire(i), admission.StatusGranted)
			}
			state := retainedBytes(func() any {
				for i := range depth {
					assert.Equal(b, acquire(100+i), admission.StatusQueued)
				}
				return c
			})
			next := 1000
			for b.Loop() {
				if acquire(next) != admission.StatusQueued {
					b.Fatal("not queued")
				}
				release(next)
				next++
			}
			b.ReportMetric(state/float64(depth), "B/waiting")
		})
	}
}

// newOwner returns the server of a node that, as the only member of its own view, owns every upstream of source.
func newOwner(b testing.TB, source *blackboard.Board, m *countingNetwork) *peer.Server {
	board := blackboard.New()
	board.Config.Set(source.Config.Value())
	board.Members.Set(blackboard.Members{Self: "owner", Live: map[string]blackboard.Member{"owner": {Name: "owner"}}})
	board.Upstreams.Set(source.Upstreams.Value())
	s := peer.NewServer("", nil)
	_, err := admission.New(admission.Options{Self: "owner", Board: board, Peers: m.caller("owner"), Registrar: s})
	assert.NilError(b, err)
	return s
}

// serveOwners adds each member of source as a node that owns its share of the upstreams, so that its replies carry as
// many loads as on a real node.
func serveOwners(b testing.TB, source *blackboard.Board, m *countingNetwork) {
	var owners upstreams.Owners
	held := map[string][]admission.HeldSlot{}
	for i, u := range source.Config.Value().Register.Upstreams {
		node := owners.Of(&source.Members, u.Name)
		held[node] = append(held[node], admission.HeldSlot{Upstream: u.Name, Work: testWork(i)})
	}
	for node := range source.Members.Value().Live {
		board := blackboard.New()
		board.Config.Set(source.Config.Value())
		members := source.Members.Value()
		members.Self = node
		board.Members.Set(members)
		board.Upstreams.Set(source.Upstreams.Value())
		s := peer.NewServer("", nil)
		_, err := admission.New(admission.Options{Self: node, Board: board, Peers: m.caller(node), Registrar: s})
		must(err == nil, err)
		// The first report of held slots makes the node take over its upstreams; the second, empty one frees the slots.
		for _, slots := range [][]admission.HeldSlot{held[node], nil} {
			args := &admission.LoadArgs{Node: nodeName(0), Held: slots}
			must(s.CallLocal(context.Background(), "Admission.Load", args, &admission.LoadReply{}) == nil, node)
		}
		m.Listen(node, s)
	}
}

// BenchmarkAdmissionRequest measures the time, calls and bytes of one request from Acquire to Release, by the size of
// the register. A single server answers as owner of all upstreams that node 0 doesn't own.
func BenchmarkAdmissionRequest(b *testing.B) {
	for _, n := range upstreamSizes {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			board := testBoard(380, n, 400)
			m := newCountingNetwork()
			listenForAll(m, 380, newOwner(b, board, m))
			c, _ := newAdmissionNode(b, board, m, nil)
			granted, next := 0, 0
			for b.Loop() {
				next++
				slot, err := c.Acquire(context.Background(), testRequest(next))
				if err == nil {
					granted++
					c.Release(slot, serving.Usage{Result: serving.RunOK, FirstToken: 200 * time.Millisecond, Duration: time.Second, Tokens: 220})
				}
			}
			if granted == 0 {
				b.Fatal("no request got a slot")
			}
			time.Sleep(50 * time.Millisecond)
			calls, size := m.totals(nil)
			b.ReportMetric(float64(granted)/float64(next), "granted/request")
			b.ReportMetric(float64(calls)/float64(next), "calls/request")
			b.ReportMetric(float64(size)/float64(next), "B/request")
		})
	}
}

// fixedProber answers polls with the same values, without I/O.
type fixedProber struct{}

func (fixedProber) Load(context.Context, api.Upstream) (upstreams.Load, error) {
	return upstreams.Load{Slots: 16, Running: 8, KVCapacity: 1000, At: time.Now()}, nil
}

func (fixedProber) State(_ context.Context, u api.Upstream) (upstreams.State, error) {
	return upstreams.State{Models: u.Models}, nil
}

func (fixedProber) CacheEvents(context.Context, api.Upstream, int64) (upstreams.Events, error) {
	return upstreams.Events{}, nil
}

// BenchmarkIdleLoops measures the processor time of a node's admission controller and upstream observer when no request
// arrives, by the size of the register, over idleTime of virtual time. Polls are answered at once. The variant
// "observer" runs the observer alone and "both" adds admission. In "learning" the observer also learns 16 upstream
// states a second, as many as the replies to two calls for each of 8 requests/s bring; in "holding" the node has heldSlots
// requests in flight.
func BenchmarkIdleLoops(b *testing.B) {
	for _, n := range upstreamSizes {
		for _, variant := range []string{"observer", "both", "learning", "holding"} {
			b.Run(fmt.Sprintf("upstreams=%d/%s", n, variant), func(b *testing.B) {
				var figures map[string]float64
				for b.Loop() {
					inVirtualTime(func(*testing.T) { figures = measureIdleLoops(b, n, variant) })
				}
				for name, v := range figures {
					b.ReportMetric(v, name)
				}
			})
		}
	}
}

// heldSlots is the number of requests in flight on a node at the target.
const heldSlots = 58

// measureIdleLoops runs the loops of a variant of BenchmarkIdleLoops with n upstreams and returns its metrics by name.
func measureIdleLoops(b testing.TB, n int, variant string) map[string]float64 {
	// After settle all upstreams have been seen, and the node asks for the states that no owner has refreshed.
	const settle, idleTime = 3 * time.Minute, 5 * time.Minute
	// There are four upstreams for each node, as at the target.
	board := testBoard(max(1, n/4), n, 400)
	m := newCountingNetwork()
	before := liveBytes()
	o := upstreams.New(upstreams.Options{Self: nodeName(0), Board: board, Prober: fixedProber{}, Seed: 1})
	serveOwners(b, board, m)
	c, _ := newAdmissionNode(b, board, m, o)
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = o.Run(ctx) })
	if variant == "learning" {
		// The first state learned of an upstream is written to the board at once. That is done before measuring, since a
		// real node has learned all of them long ago.
		for i := range n {
			o.StoreOwnerStatus(fmt.Sprintf("engine-%04d", i), blackboard.UpstreamStatus{Health: blackboard.HealthReady})
		}
		loops.Go(func() { feedStates(ctx, o, n) })
	}
	if variant != "observer" {
		loops.Go(func() { _ = c.Run(ctx) })
	}
	if variant == "holding" {
		for i := range heldSlots {
			_, err := c.Acquire(ctx, testRequest(i))
			must(err == nil, err)
		}
	}
	time.Sleep(settle)
	_, revision := board.Upstreams.Get()
	calls, size := m.totals(nil)
	start := processorTime()
	time.Sleep(idleTime)
	cpuTime := processorTime() - start
	_, after := board.Upstreams.Get()
	calls2, size2 := m.totals(nil)
	state := liveBytes() - before
	stop()
	loops.Wait()
	return map[string]float64{
		"%core": 100 * cpuTime.Seconds() / idleTime.Seconds(), "calls/s": float64(calls2-calls) / idleTime.Seconds(),
		"B/s": 2 * float64(size2-size) / idleTime.Seconds(), "writes/s": float64(after-revision) / idleTime.Seconds(),
		"B/upstream": state / float64(n),
	}
}

// feedStates makes the observer learn 16 states a second, from all upstreams in turn.
func feedStates(ctx context.Context, o *upstreams.Observer, n int) {
	tick := time.NewTicker(time.Second / 16)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			o.StoreOwnerStatus(fmt.Sprintf("engine-%04d", i*7%n),
				blackboard.UpstreamStatus{Health: blackboard.HealthReady, Slots: 16, ReportedAt: time.Now()})
		}
	}
}

// BenchmarkPolls measures the bytes and processor time of one poll of an upstream's load, state or cache events over
// HTTP on loopback, by the number of polls in a round. The time includes that of the answering side.
func BenchmarkPolls(b *testing.B) {
	answers := map[string]string{
		"/load":         `{"running":8,"waiting":0,"slots":16,"kv_used":52000,"kv_capacity":131072,"at":"2026-01-02T03:04:05.678Z"}`,
		"/state":        `{"models":{"model-0":"v1"},"adapters":[],"role":"","fencing":1}`,
		"/cache/events": `{"events":[],"next":1}`,
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, answers[r.URL.Path]) }))
	defer server.Close()
	for _, n := range []int{1, 4, 16} {
		for path := range answers {
			b.Run(fmt.Sprintf("upstreams=%d%s", n, path), func(b *testing.B) {
				var transferred atomic.Int64
				p := &upstreams.HTTPProber{Client: &http.Client{Transport: countingTransport(&transferred)}}
				u := api.Upstream{Address: server.Listener.Addr().String()}
				polls := 0
				used := processorTime()
				for b.Loop() {
					for range n {
						var err error
						switch path {
						case "/load":
							_, err = p.Load(context.Background(), u)
						case "/state":
							_, err = p.State(context.Background(), u)
						default:
							_, err = p.CacheEvents(context.Background(), u, 1)
						}
						assert.NilError(b, err)
						polls++
					}
				}
				b.ReportMetric(float64((processorTime()-used).Nanoseconds())/float64(polls), "cpu-ns/poll")
				b.ReportMetric(float64(transferred.Load())/float64(polls)+2*headerBytes, "B/poll")
			})
		}
	}
}

// countingTransport returns a transport that adds the bytes of its connections to transferred.
func countingTransport(transferred *atomic.Int64) *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &countingConn{c, transferred}, err
	}}
}

// countingConn adds the bytes of both directions to transferred.
type countingConn struct {
	net.Conn
	transferred *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transferred.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transferred.Add(int64(n))
	return n, err
}
