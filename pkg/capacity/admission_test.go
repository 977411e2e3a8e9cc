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

func admissionNode(b testing.TB, board *blackboard.Board, m *meter, o *upstreams.Observer) (*admission.Controller, *peer.Server) {
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

func workOf(i int) admission.Work {
	return admission.Work{
		Ticket: fmt.Sprint("node-000/1/", i), Request: fmt.Sprintf("node-000-%026d", i), Institution: fmt.Sprintf("institution-%03d", i%25),
		Class: "interactive", Share: 1, MaxTokens: 220, DeadlineIn: 2 * time.Minute,
	}
}

// BenchmarkAdmissionOwnerState gives the memory of an owner for each upstream and for each granted slot.
func BenchmarkAdmissionOwnerState(b *testing.B) {
	for _, n := range []int{100, 500, 1500} {
		for _, slots := range []int{1, 16} {
			b.Run(fmt.Sprintf("upstreams=%d/slots=%d", n, slots), func(b *testing.B) {
				for b.Loop() {
					board := boardOf(1, n, 1)
					m := newMeter()
					c, s := admissionNode(b, board, m, nil)
					b.ReportMetric(retained(func() any {
						for i := range n * slots {
							args := &admission.AcquireArgs{Upstream: fmt.Sprintf("engine-%04d", i%n), Node: nodeName(0), Work: workOf(i), MaxWait: time.Hour}
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

// BenchmarkAdmissionOwnerQueue gives the memory and time of an owner for each request that waits for one upstream.
func BenchmarkAdmissionOwnerQueue(b *testing.B) {
	for _, depth := range []int{16, 64, 240} {
		b.Run(fmt.Sprintf("waiting=%d", depth), func(b *testing.B) {
			m := newMeter()
			// Without rules there is no objective, which would bound the queue to what can start within it.
			board := boardOf(1, 1, 0)
			c, s := admissionNode(b, board, m, nil)
			offer := func(i int) admission.Status {
				args := &admission.AcquireArgs{Upstream: "engine-0000", Node: nodeName(0), Work: workOf(i), MaxWait: time.Hour}
				reply := &admission.AcquireReply{}
				assert.NilError(b, s.CallLocal(context.Background(), "Admission.Acquire", args, reply))
				return reply.Status
			}
			drop := func(i int) {
				args := &admission.ReleaseArgs{Upstream: "engine-0000", Node: nodeName(0), Work: workOf(i), Usage: serving.Usage{Result: serving.RunCancelled}}
				assert.NilError(b, s.CallLocal(context.Background(), "Admission.Release", args, &admission.ReleaseReply{}))
			}
			for i := range 16 {
				assert.Equal(b, offer(i), admission.StatusGranted)
			}
			state := retained(func() any {
				for i := range depth {
					assert.Equal(b, offer(100+i), admission.StatusQueued)
				}
				return c
			})
			next := 1000
			for b.Loop() {
				if offer(next) != admission.StatusQueued {
					b.Fatal("not queued")
				}
				drop(next)
				next++
			}
			b.ReportMetric(state/float64(depth), "B/waiting")
		})
	}
}

// ownerOf returns a server that acts as admission owner of whatever upstream it is asked for.
func ownerOf(b testing.TB, like *blackboard.Board, m *meter) *peer.Server {
	board := blackboard.New()
	board.Config.Set(like.Config.Value())
	board.Members.Set(blackboard.Members{Self: "owner", Live: map[string]blackboard.Member{"owner": {Name: "owner"}}})
	board.Upstreams.Set(like.Upstreams.Value())
	s := peer.NewServer("", nil)
	_, err := admission.New(admission.Options{Self: "owner", Board: board, Peers: m.caller("owner"), Registrar: s})
	assert.NilError(b, err)
	return s
}

// serveOwners adds all nodes of a board as owners that have the upstreams which are theirs, so that their replies carry
// as many loads as on a real node.
func serveOwners(b testing.TB, like *blackboard.Board, m *meter) {
	var owner upstreams.Owners
	held := map[string][]admission.HeldSlot{}
	for i, u := range like.Config.Value().Register.Upstreams {
		node := owner.Of(&like.Members, u.Name)
		held[node] = append(held[node], admission.HeldSlot{Upstream: u.Name, Work: workOf(i)})
	}
	for node := range like.Members.Value().Live {
		board := blackboard.New()
		board.Config.Set(like.Config.Value())
		members := like.Members.Value()
		members.Self = node
		board.Members.Set(members)
		board.Upstreams.Set(like.Upstreams.Value())
		s := peer.NewServer("", nil)
		_, err := admission.New(admission.Options{Self: node, Board: board, Peers: m.caller(node), Registrar: s})
		must(err == nil, err)
		// A report of held slots makes the node take its upstreams; the next one gives the slots back.
		for _, slots := range [][]admission.HeldSlot{held[node], nil} {
			args := &admission.LoadArgs{Node: nodeName(0), Held: slots}
			must(s.CallLocal(context.Background(), "Admission.Load", args, &admission.LoadReply{}) == nil, node)
		}
		m.Listen(node, s)
	}
}

// BenchmarkAdmissionRequest gives the time, calls and bytes of one request from Acquire to Release, by the size of
// the register, with one owner on another node for all but its own upstreams.
func BenchmarkAdmissionRequest(b *testing.B) {
	for _, n := range upstreamSizes {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			board := boardOf(380, n, 400)
			m := newMeter()
			owners(m, 380, ownerOf(b, board, m))
			c, _ := admissionNode(b, board, m, nil)
			granted, next := 0, 0
			for b.Loop() {
				next++
				slot, err := c.Acquire(context.Background(), request(next))
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

// fixedProber answers polls without I/O.
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

// BenchmarkIdleLoops gives the processor time that a node's admission and upstream observer take without any
// request, by the size of the register; polls are answered at once. In the variant "learning" the observer also
// takes 16 views a second from owners' replies, as two calls for each of 8 requests/s bring; in "holding" the node
// has heldSlots requests in flight. It runs for idleTime of virtual time.
func BenchmarkIdleLoops(b *testing.B) {
	for _, n := range upstreamSizes {
		for _, part := range []string{"observer", "both", "learning", "holding"} {
			b.Run(fmt.Sprintf("upstreams=%d/%s", n, part), func(b *testing.B) {
				var figures map[string]float64
				for b.Loop() {
					inBubble(func(*testing.T) { figures = idleFigures(b, n, part) })
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

func idleFigures(b testing.TB, n int, part string) map[string]float64 {
	// All upstreams have been seen after settle, and views that no owner refreshed are asked for.
	const settle, idleTime = 3 * time.Minute, 5 * time.Minute
	// Four upstreams for each node, as at the target.
	board := boardOf(max(1, n/4), n, 400)
	m := newMeter()
	before := heap()
	o := upstreams.New(upstreams.Options{Self: nodeName(0), Board: board, Prober: fixedProber{}, Seed: 1})
	serveOwners(b, board, m)
	c, _ := admissionNode(b, board, m, o)
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = o.Run(ctx) })
	if part == "learning" {
		// The first view of an upstream is written at once; all have been seen for long on a real node.
		for i := range n {
			o.Learn(fmt.Sprintf("engine-%04d", i), blackboard.UpstreamStatus{Health: blackboard.HealthReady})
		}
		loops.Go(func() { learn(ctx, o, n) })
	}
	if part != "observer" {
		loops.Go(func() { _ = c.Run(ctx) })
	}
	if part == "holding" {
		for i := range heldSlots {
			_, err := c.Acquire(ctx, request(i))
			must(err == nil, err)
		}
	}
	time.Sleep(settle)
	_, revision := board.Upstreams.Get()
	calls, size := m.totals(nil)
	start := cpu()
	time.Sleep(idleTime)
	used := cpu() - start
	_, after := board.Upstreams.Get()
	calls2, size2 := m.totals(nil)
	state := heap() - before
	stop()
	loops.Wait()
	return map[string]float64{
		"%core": 100 * used.Seconds() / idleTime.Seconds(), "calls/s": float64(calls2-calls) / idleTime.Seconds(),
		"B/s": 2 * float64(size2-size) / idleTime.Seconds(), "writes/s": float64(after-revision) / idleTime.Seconds(),
		"B/upstream": state / float64(n),
	}
}

// learn takes 16 views a second of upstreams in turn.
func learn(ctx context.Context, o *upstreams.Observer, n int) {
	tick := time.NewTicker(time.Second / 16)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			o.Learn(fmt.Sprintf("engine-%04d", i*7%n), blackboard.UpstreamStatus{Health: blackboard.HealthReady, Slots: 16, ReportedAt: time.Now()})
		}
	}
}

// BenchmarkPolls gives the bytes and time of one poll of an upstream's load, state and cache events over HTTP on
// loopback, by the number of upstreams polled in turn; time includes the answering side.
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
				var moved atomic.Int64
				p := &upstreams.HTTPProber{Client: &http.Client{Transport: countedTransport(&moved)}}
				u := api.Upstream{Address: server.Listener.Addr().String()}
				polls := 0
				used := cpu()
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
				b.ReportMetric(float64((cpu()-used).Nanoseconds())/float64(polls), "cpu-ns/poll")
				b.ReportMetric(float64(moved.Load())/float64(polls)+2*segment, "B/poll")
			})
		}
	}
}

// countedTransport adds the bytes of its connections to moved.
func countedTransport(moved *atomic.Int64) *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &countedConn{c, moved}, err
	}}
}

// countedConn counts the bytes in both directions.
type countedConn struct {
	net.Conn
	moved *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.moved.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.moved.Add(int64(n))
	return n, err
}
