package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/controller/claims"
	"trefoilplank.example/pkg/controller/idempotency"
	"trefoilplank.example/pkg/gateway/peertest"
)

// faultyStore is a store that is unavailable while down is set, and that answers the next loseAnswers successful writes
// with ErrUnknown.
type faultyStore struct {
	store.Store
	down        atomic.Bool
	loseAnswers atomic.Int32
	puts        atomic.Int32
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.Object, error) {
	if s.down.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	if s.down.Load() {
		return 0, store.ErrUnavailable
	}
	s.puts.Add(1)
	revision, err := s.Store.Put(ctx, key, value, expect)
	if err == nil && s.loseAnswers.Add(-1) >= 0 {
		return 0, store.ErrUnknown
	}
	return revision, err
}

// startKeyedNodes starts nodes that support idempotency keys and claims, with one shared store.
func startKeyedNodes(t testing.TB, nodes int, upstreams ...*fakeUpstream) ([]*fixture, *peertest.Network, *faultyStore) {
	network, objects := peertest.New(), &faultyStore{Store: memstore.New()}
	all := startNodes(t, network, nodes, func(o *Options, peers *peertest.Node) {
		var err error
		o.Idempotency, err = idempotency.New(idempotency.Options{Self: o.Node, Board: o.Board, Peers: peers}, peers)
		assert.NilError(t, err)
		o.Claims, err = claims.New(claims.Options{Self: o.Node, Board: o.Board, Peers: peers, Store: objects}, peers)
		assert.NilError(t, err)
	}, upstreams...)
	return all, network, objects
}

// delayed returns a fault that only delays the answer.
func delayed(d time.Duration) faultFunc {
	return func(*fakeUpstream, http.ResponseWriter, *http.Request, []byte) bool {
		time.Sleep(d)
		return false
	}
}

// Guards against a second run of a request with an idempotency key: resends through any node, at the same time or
// later, plain or streamed, get the first answer. Another body with the same key is refused.
func TestIdempotencyKey(t *testing.T) {
	e := newUpstream(t, "e0", api.UpstreamEngine)
	e.fault = delayed(50 * time.Millisecond)
	nodes, _, _ := startKeyedNodes(t, 3, e)
	for i, stream := range []bool{false, true} {
		key := fmt.Sprint("key-", stream)
		call := func(n int) reply {
			return nodes[n%3].send(context.Background(), "POST", "/v1/chat/completions", chatBody("hello", stream), "Idempotency-Key", key)
		}
		var group sync.WaitGroup
		bodies := make([]string, 9)
		for n := range bodies {
			group.Go(func() {
				r := call(n)
				assert.Check(t, r.status == 200, r.body)
				bodies[n] = r.body
			})
		}
		group.Wait()
		for n := range bodies {
			assert.Equal(t, bodies[n], bodies[0])
		}
		assert.Equal(t, call(1).body, bodies[0])
		assert.Equal(t, e.runCount(), i+1)
		r := nodes[2].chat("other", "Idempotency-Key", key)
		assert.Equal(t, r.status, 409)
		assert.Equal(t, r.outcome, "not-run")
	}
}

// Guards against losing the answer to a request with an idempotency key when the caller disconnects, and a second run
// when the node that owns the key is lost or no longer answers before the resend.
func TestKeyedRunSurvivesDisconnectAndOwnerLoss(t *testing.T) {
	e := newUpstream(t, "e0", api.UpstreamEngine)
	e.fault = delayed(100 * time.Millisecond)
	nodes, network, _ := startKeyedNodes(t, 3, e)
	for lost := range 3 {
		key := fmt.Sprint("key", lost)
		ctx, stop := context.WithTimeout(context.Background(), 40*time.Millisecond)
		r := nodes[(lost+1)%3].send(ctx, "POST", "/v1/chat/completions", chatBody(key, false), "Idempotency-Key", key)
		stop()
		assert.ErrorContains(t, r.err, "deadline")
		fault := []func(string, bool){network.SetDown, network.SetUnresponsive, network.SetDown}[lost]
		fault(fmt.Sprint("n", lost), true)
		r = nodes[(lost+2)%3].chat(key, "Idempotency-Key", key)
		assert.Equal(t, r.status, 200, r.body)
		assert.Equal(t, e.runCount(), lost+1)
		fault(fmt.Sprint("n", lost), false)
		time.Sleep(2100 * time.Millisecond) // The nodes skip a lost owner for 2 s.
	}
}

// charge sends a non-idempotent call to the plain service.
func charge(f *fixture, header ...string) reply {
	return f.send(context.Background(), "POST", "/v1/services/status/charge", "5",
		append([]string{"Trefoil-Non-Idempotent", "true"}, header...)...)
}

// Guards the rule that a non-idempotent request runs at most once, and does not run while the store is unavailable.
func TestClaims(t *testing.T) {
	s1, s2 := newUpstream(t, "s1", api.UpstreamService), newUpstream(t, "s2", api.UpstreamService)
	runs := func() int { return s1.runCount() + s2.runCount() }
	nodes, network, objects := startKeyedNodes(t, 3, s1, s2)

	objects.down.Store(true)
	for _, key := range []string{"a", ""} {
		r := charge(nodes[0], "Idempotency-Key", key)
		assert.Equal(t, r.status, 503, r.body)
		assert.Equal(t, r.outcome, "not-run")
		assert.Assert(t, cmp.Contains(r.body, `"retry_after_seconds":2`))
	}
	assert.Equal(t, runs(), 0)

	// The store is available again but loses the answer to the next write, that of the claim.
	objects.down.Store(false)
	objects.loseAnswers.Store(1)
	r := charge(nodes[1], "Idempotency-Key", "a")
	assert.Equal(t, r.status, 200, r.body)
	assert.Equal(t, runs(), 1)

	// New nodes do not have the answers, which are kept in memory; the claim is still in the store.
	fresh, _, _ := startKeyedNodes(t, 1, s1, s2)
	fresh[0].Claims.Store = objects
	r = charge(fresh[0], "Idempotency-Key", "a")
	assert.Equal(t, r.outcome, "unknown", r.body)
	r = fresh[0].send(context.Background(), "POST", "/v1/services/status/charge", "6", "Trefoil-Non-Idempotent", "true", "Idempotency-Key", "a")
	assert.Equal(t, r.status, 409, r.body)
	assert.Equal(t, runs(), 1)

	// Concurrent resends through all nodes. n2 is cut off from the others and acts as the owner of every key.
	network.SetDown("n2", true)
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			r := charge(nodes[i%3], "Idempotency-Key", "b")
			assert.Check(t, r.status == 200 || r.outcome == "unknown", "%d %s", r.status, r.body)
		})
	}
	group.Wait()
	assert.Equal(t, runs(), 2)
}

// Guards against a claim that remains after its request was answered not-run: a resend with the same key must run.
func TestClaimIsWithdrawn(t *testing.T) {
	s := newUpstream(t, "s1", api.UpstreamService)
	s.crash()
	nodes, _, _ := startKeyedNodes(t, 2, s)
	r := charge(nodes[0], "Idempotency-Key", "a", "Trefoil-Timeout-Ms", "300")
	assert.Equal(t, r.outcome, "not-run", r.body)
	good := newUpstream(t, "s2", api.UpstreamService)
	nodes[0].slots.mu.Lock()
	nodes[0].slots.upstreams = []api.Upstream{good.Upstream}
	nodes[0].slots.mu.Unlock()
	r = charge(nodes[1], "Idempotency-Key", "a")
	assert.Equal(t, r.status, 200, r.body)
	assert.Equal(t, good.runCount(), 1)
}

// Guards against a second run of a non-idempotent request whose connection to the upstream broke, by a retry or by a
// resend through any node.
func TestNonIdempotentRequestIsNotRepeated(t *testing.T) {
	s1, s2 := newUpstream(t, "s1", api.UpstreamService), newUpstream(t, "s2", api.UpstreamService)
	fault := func(f *fakeUpstream, w http.ResponseWriter, _ *http.Request, body []byte) bool {
		if bytes.Equal(body, []byte("5")) {
			cut(w)
			return true
		}
		return false
	}
	s1.fault, s2.fault = fault, fault
	nodes, _, _ := startKeyedNodes(t, 3, s1, s2)
	for i := range 6 {
		r := charge(nodes[i%3], "Idempotency-Key", "a")
		assert.Equal(t, r.outcome, "unknown", r.body)
	}
	assert.Equal(t, s1.runCount()+s2.runCount(), 1)
}

// Guards against a second run of a non-idempotent stream whose engine broke the connection after two events.
func TestNonIdempotentStreamIsNotRepeated(t *testing.T) {
	e1, e2 := newUpstream(t, "e1", api.UpstreamEngine), newUpstream(t, "e2", api.UpstreamEngine)
	e1.fault = func(f *fakeUpstream, w http.ResponseWriter, r *http.Request, _ []byte) bool {
		f.stream(w, r.Header.Get("X-Request-Id"), 0, 2, false)
		cut(w)
		return true
	}
	nodes, _, _ := startKeyedNodes(t, 1, e1, e2)
	r := nodes[0].chatStream("hello", api.HeaderNonIdempotent, "true")
	assert.Assert(t, cmp.Contains(r.body, `"outcome":"unknown"`))
	assert.Assert(t, cmp.Contains(r.body, "event: error"))
	assert.Equal(t, e1.runCount()+e2.runCount(), 1)
}
