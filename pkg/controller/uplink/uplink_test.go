package uplink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/decision/reach"
	"trefoilplank.example/pkg/eventlog"
)

// node is a node with links to test upstreams. While cut is set its own connections are refused, as are the next refusals ones; they
// take delay nanoseconds more.
type node struct {
	*Links
	cut   atomic.Bool
	delay atomic.Int64
	// refusals is negative or zero if no connection is refused.
	refusals atomic.Int64
	server   *peer.Server
	client   *peer.Client
}

// newNodes returns nodes that relay for each other, with links to the upstreams.
func newNodes(t *testing.T, names []string, upstreams []reach.Upstream) map[string]*node {
	addresses := map[string]string{}
	nodes := map[string]*node{}
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addresses[name] = l.Addr().String()
		n := &node{server: peer.NewServer("secret", nil)}
		n.client = peer.NewClient(peer.ClientOptions{Self: name, Secret: "secret", Resolve: func(other string) (string, bool) { return addresses[other], true }})
		n.Links = New(Options{
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				if n.cut.Load() || n.refusals.Add(-1) >= 0 {
					return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
				}
				time.Sleep(time.Duration(n.delay.Load()))
				return (&net.Dialer{}).DialContext(ctx, network, address)
			},
			Helpers: func(string) (others []string) {
				for _, other := range names {
					if other != name {
						others = append(others, other)
					}
				}
				return others
			},
			Relay: n.client.Relay, Log: &eventlog.Log{},
		})
		n.SetUpstreams(upstreams)
		n.server.HandleRelays(n.Accept)
		go func() { _ = n.server.Serve(l) }()
		t.Cleanup(func() { n.client.Close(); n.server.Close() })
		nodes[name] = n
	}
	return nodes
}

// startUpstreams starts upstreams of service s with a handler.
func startUpstreams(t *testing.T, count int, handler http.HandlerFunc) (list []reach.Upstream) {
	for range count {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		list = append(list, reach.Upstream{Address: strings.TrimPrefix(server.URL, "http://"), Service: "s"})
	}
	return list
}

// get sends a request without a body and returns the whole answer.
func get(ctx context.Context, rt http.RoundTripper, address string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return "", err
	}
	resp, err := rt.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// awaitDirect waits until an upstream is reached directly again.
func awaitDirect(t *testing.T, n *node, address string) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); n.Relayed(address); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the upstream is not reached directly again")
	}
}

// Guards against requests that fail at a node whose connections to all upstreams are refused while other nodes connect, and
// against requests that go on through others after the node's own connections work again.
func TestRequestsGoThroughOtherNodesWhileOwnConnectionsFail(t *testing.T) {
	upstreams := startUpstreams(t, 3, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	nodes := newNodes(t, []string{"a", "b"}, upstreams)
	a := nodes["a"]
	transport := a.Transport(&http.Transport{})
	a.cut.Store(true)
	failed := 0
	for range 3 {
		for _, u := range upstreams {
			if body, err := get(t.Context(), transport, u.Address); err != nil {
				failed++
			} else {
				assert.Equal(t, body, "answer")
			}
		}
	}
	assert.Assert(t, failed <= 1, "%d requests failed before the node knew that it is cut off", failed)
	assert.Assert(t, a.CutOff())
	assert.Assert(t, !nodes["b"].CutOff())
	a.cut.Store(false)
	for _, u := range upstreams {
		awaitDirect(t, a, u.Address) // No request is needed for the return.
		_, err := get(t.Context(), transport, u.Address)
		assert.NilError(t, err)
	}
	assert.Assert(t, !a.CutOff())
	for deadline := time.Now().Add(5 * time.Second); nodes["b"].RelayedForOthers() > 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "relayed connections are left open")
	}
}

// Guards against a third hop: a node that is cut off itself must not ask yet another one on behalf of the first.
func TestCutOffNodesDoNotRelay(t *testing.T) {
	upstreams := startUpstreams(t, 2, func(http.ResponseWriter, *http.Request) {})
	nodes := newNodes(t, []string{"a", "b"}, upstreams)
	transport := nodes["a"].Transport(&http.Transport{})
	nodes["a"].cut.Store(true)
	nodes["b"].cut.Store(true)
	for range 2 {
		for _, u := range upstreams {
			begun := time.Now()
			_, err := get(t.Context(), transport, u.Address)
			var op *net.OpError
			assert.Assert(t, errors.As(err, &op) && op.Op == "dial", "%v", err)
			assert.Assert(t, time.Since(begun) < time.Second, "what can't be served must be refused at once")
		}
	}
	_, err := nodes["b"].Accept(t.Context(), upstreams[0].Address)
	assert.ErrorIs(t, err, ErrCutOff)
	_, err = nodes["b"].Accept(t.Context(), "127.0.0.1:1")
	assert.ErrorIs(t, err, ErrUnknownUpstream)
}

// Guards against an upstream that is down being taken for a fault of the node's own connections.
func TestUpstreamThatIsDownIsDiagnosed(t *testing.T) {
	upstreams := startUpstreams(t, 2, func(http.ResponseWriter, *http.Request) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	down := reach.Upstream{Address: l.Addr().String(), Service: "s"}
	l.Close()
	nodes := newNodes(t, []string{"a", "b"}, append(upstreams, down))
	a := nodes["a"]
	assert.Equal(t, a.Diagnose(t.Context(), down.Address), Refused)
	assert.Equal(t, a.Diagnose(t.Context(), upstreams[0].Address), Reached)
	assert.ErrorIs(t, a.TryConnect(t.Context(), down.Address), syscall.ECONNREFUSED)
	assert.Assert(t, !a.Relayed(down.Address))
	a.cut.Store(true)
	time.Sleep(2 * diagnosisLifetime)
	assert.Equal(t, a.Diagnose(t.Context(), upstreams[0].Address), ReachedByOthers)
	assert.Equal(t, a.Diagnose(t.Context(), down.Address), Refused)
}

// Guards against an upstream that restarts, refuses a connection of this node and takes that of another one a moment later: it was
// taken for one that only this node does not reach, and its crash was not blamed on the request that it ran.
func TestUpstreamThatRestartsIsNotReachedByOthersOnly(t *testing.T) {
	upstreams := startUpstreams(t, 2, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	a := newNodes(t, []string{"a", "b"}, upstreams)["a"]
	transport := a.Transport(&http.Transport{})
	t.Cleanup(transport.CloseIdleConnections)
	a.refusals.Store(1)
	assert.Equal(t, a.Diagnose(t.Context(), upstreams[0].Address), Reached)
	assert.Assert(t, !a.Relayed(upstreams[0].Address))
	a.refusals.Store(1)
	_, err := get(t.Context(), transport, upstreams[1].Address)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	<-a.askOthersOnce(upstreams[1].Address, err) // Waits for the question that the failure began.
	assert.Assert(t, !a.Relayed(upstreams[1].Address))
}

// Guards against the silence of an upstream being taken for a cut of the node, whose own connection to it is only made later than
// that of another node.
func TestSilentUpstreamThatConnectsLateIsReached(t *testing.T) {
	upstreams := startUpstreams(t, 2, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	a := newNodes(t, []string{"a", "b"}, upstreams)["a"]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = get(ctx, a.Transport(&http.Transport{}), upstreams[0].Address) }() // It ends with the test.
	silent := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.state.Failing(upstreams[0].Address, time.Now())
	}
	for deadline := time.Now().Add(5 * time.Second); !silent(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the upstream is not silent")
	}
	time.Sleep(recheckInterval)
	a.delay.Store(int64(2 * helperDelay))
	diagnosed := make(chan Diagnosis, 1)
	go func() { diagnosed <- a.DiagnoseSilent(ctx, upstreams[0].Address) }()
	for len(diagnosed) == 0 {
		assert.Assert(t, !a.Relayed(upstreams[0].Address))
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, <-diagnosed, Reached)
}

// Guards against the same for all upstreams of a silent service, which polls check.
func TestSilentServiceThatConnectsLateIsNotRelayed(t *testing.T) {
	upstreams := startUpstreams(t, 2, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	a := newNodes(t, []string{"a", "b"}, upstreams)["a"]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	transport := a.Transport(&http.Transport{})
	for _, u := range upstreams {
		go func() { _, _ = get(ctx, transport, u.Address) }() // It ends with the test.
	}
	time.Sleep(100 * time.Millisecond)
	a.delay.Store(int64(2 * helperDelay))
	for until := time.Now().Add(1300 * time.Millisecond); time.Now().Before(until); time.Sleep(time.Millisecond) {
		assert.Equal(t, a.ReachedThroughOthers(), 0)
	}
}

// Guards against an answer that breaks off on a relayed connection and looks complete, and against one that ends with its
// connection and looks broken off.
func TestEndOfRelayedAnswerDiffersFromItsBreak(t *testing.T) {
	var breakOff atomic.Bool
	upstreams := startUpstreams(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nanswer")
		_ = buffered.Flush()
		if breakOff.Load() {
			time.Sleep(20 * time.Millisecond) // The data arrives before the reset.
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	})
	nodes := newNodes(t, []string{"a", "b"}, upstreams)
	a := nodes["a"]
	a.cut.Store(true)
	transport := a.Transport(&http.Transport{})
	body, err := get(t.Context(), transport, upstreams[0].Address)
	assert.NilError(t, err)
	assert.Equal(t, body, "answer")
	breakOff.Store(true)
	_, err = get(t.Context(), transport, upstreams[0].Address)
	assert.ErrorIs(t, err, peer.ErrBrokeOff)

	// The node that relays is lost in the middle of an answer.
	blocked := startUpstreams(t, 1, func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		_ = buffered.Flush()
		nodes["b"].server.Close()
		_, _ = io.Copy(io.Discard, conn) // Ends with the connection.
	})
	a.SetUpstreams(blocked)
	nodes["b"].SetUpstreams(blocked)
	_, err = get(t.Context(), transport, blocked[0].Address)
	assert.ErrorIs(t, err, peer.ErrBrokeOff)
}

// Guards against a run that goes on at an upstream after its caller has left, when its connection is relayed.
func TestCallerThatLeavesEndsRelayedRun(t *testing.T) {
	begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	upstreams := startUpstreams(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	nodes := newNodes(t, []string{"a", "b"}, upstreams)
	nodes["a"].cut.Store(true)
	ctx, leave := context.WithCancel(t.Context())
	go func() { _, _ = get(ctx, nodes["a"].Transport(&http.Transport{}), upstreams[0].Address) }()
	<-begun
	left := time.Now()
	leave()
	<-ended
	assert.Assert(t, time.Since(left) < 500*time.Millisecond)
}

// Guards against events that wait for each other on a relayed connection, and against a relaying node that holds more of an
// answer than its buffers when the caller reads slowly.
func TestRelayedStreamArrivesEventByEventWithBoundedBuffers(t *testing.T) {
	var written atomic.Int64
	next := make(chan struct{})
	const events = 5
	upstreams := startUpstreams(t, 1, func(w http.ResponseWriter, r *http.Request) {
		for n := range events {
			fmt.Fprintf(w, "event %d\n", n)
			w.(http.Flusher).Flush()
			<-next
		}
		for r.Context().Err() == nil {
			n, err := w.Write(make([]byte, 64<<10))
			if written.Add(int64(n)); err != nil {
				return
			}
		}
	})
	nodes := newNodes(t, []string{"a", "b"}, upstreams)
	nodes["a"].cut.Store(true)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+upstreams[0].Address+"/", nil)
	assert.NilError(t, err)
	resp, err := nodes["a"].Transport(&http.Transport{ReadBufferSize: 4 << 10}).RoundTrip(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	for n := range events {
		line := make([]byte, len("event 0\n"))
		_, err := io.ReadFull(resp.Body, line)
		assert.NilError(t, err)
		assert.Equal(t, string(line), fmt.Sprintf("event %d\n", n))
		next <- struct{}{}
	}
	var before int64
	for now := written.Load(); now != before || now == 0; now = written.Load() { // Until all buffers are full.
		before = now
		time.Sleep(300 * time.Millisecond)
	}
	const socketBuffers = 24 << 20 // Linux lets each of the four socket buffers grow to 4 to 6 MB.
	assert.Assert(t, before < socketBuffers, "%d bytes were read from the upstream", before)
}

// Guards against a node that relays more connections than its limit, and against one that drains and takes new ones.
func TestRelaysAreLimited(t *testing.T) {
	upstreams := startUpstreams(t, 1, func(http.ResponseWriter, *http.Request) {})
	nodes := newNodes(t, []string{"a"}, upstreams)
	a := nodes["a"]
	var open []net.Conn
	for range maxRelayed {
		conn, err := a.Accept(t.Context(), upstreams[0].Address)
		assert.NilError(t, err)
		open = append(open, conn)
	}
	_, err := a.Accept(t.Context(), upstreams[0].Address)
	assert.ErrorIs(t, err, ErrBusy)
	for _, conn := range open {
		_ = conn.Close()
		_ = conn.Close()
	}
	assert.Equal(t, a.RelayedForOthers(), int64(0))
	a.options.Draining = func() bool { return true }
	_, err = a.Accept(t.Context(), upstreams[0].Address)
	assert.ErrorIs(t, err, ErrBusy)
}
