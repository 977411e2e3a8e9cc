package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/eventlog"
)

// frozenPeers are peers of which one can be frozen: calls to it get no answer until their context ends.
type frozenPeers struct {
	peers
	frozen atomic.Pointer[string]
	// waiting counts the calls to the frozen node.
	waiting atomic.Int64
}

func (p *frozenPeers) Call(ctx context.Context, node, method string, args, reply any) error {
	if frozen := p.frozen.Load(); frozen != nil && *frozen == node {
		p.waiting.Add(1)
		<-ctx.Done()
		return ctx.Err()
	}
	return p.peers.Call(ctx, node, method, args, reply)
}

// followerOfTwo starts a hub that watches the prefixes k/ and c/, the next hub, which watches only k/, and a node that follows the hub.
func followerOfTwo(t *testing.T, s store.Store) (hub, next, node *Mirror, v *view, p *frozenPeers) {
	p = &frozenPeers{peers: peers{}}
	v = &view{}
	start := func(name string, handle func(map[string]store.Object)) *Mirror {
		m := New(Options{Store: s, Peers: p, Others: func() []string { return nil }, Log: &eventlog.Log{}},
			Prefix{Name: "k/", SuccessorWatches: true, Handle: handle}, Prefix{Name: "c/", Handle: func(map[string]store.Object) {}})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = m.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
		p.peers[name] = m
		return m
	}
	ignore := func(map[string]store.Object) {}
	hub, next, node = start("hub", ignore), start("next", ignore), start("node", v.handle)
	hub.WatchStore(context.Background())
	next.SetSuccessor(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		next.FollowNode(context.Background(), "hub", hub.Revisions())
		node.FollowNode(context.Background(), "hub", hub.Revisions())
		if _, ok := next.Revisions()["k/"]; !ok {
			return poll.Continue("the next hub does not watch yet")
		}
		return v.showing(map[string]string{"k/left": "1", "k/stays": "1"})(t)
	}, soon...)
	return hub, next, node, v, p
}

// awaitObjects waits until the copy of a prefix has n objects.
func (m *Mirror) awaitObjects(t *testing.T, prefix string, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c := m.copy[prefix]
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.objects) == n {
			return poll.Success()
		}
		return poll.Continue("%d objects", len(c.objects))
	}, soon...)
}

// readContent returns which content of the followed node's copy was last read.
func (m *Mirror) readContent(prefix string) int64 {
	c := m.copy[prefix]
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readFrom.content
}

// Guards against requests to an upstream that has left, while the hub is lost and the next one watches the upstreams but does not cover all
// other copies yet: the copy of the upstreams waited for these.
func TestCoveredPrefixOfTheNextHubIsFollowedAtOnce(t *testing.T) {
	s := memstore.New()
	put(t, s, "k/left", "1")
	put(t, s, "k/stays", "1")
	_, next, node, v, p := followerOfTwo(t, s)
	hub := "hub"
	p.frozen.Store(&hub)
	assert.NilError(t, s.Delete(context.Background(), "k/left", store.AnyRevision))
	next.awaitObjects(t, "k/", 1)
	_, covered := next.Revisions()["c/"]
	assert.Assert(t, !covered)
	node.FollowNode(context.Background(), "", nil)
	node.FollowNode(context.Background(), "next", next.Revisions())
	poll.WaitOn(t, v.showing(map[string]string{"k/stays": "1"}), poll.WithTimeout(uncoveredMax/2), poll.WithDelay(5*time.Millisecond))
}

// Guards against requests to an upstream that has left, because the copy of the next hub is not read while a read from the frozen one before
// still waits for its answer.
func TestReadFromFrozenNodeDoesNotDelayTheNextHub(t *testing.T) {
	s := memstore.New()
	put(t, s, "k/left", "1")
	put(t, s, "k/stays", "1")
	hub, next, node, v, p := followerOfTwo(t, s)
	put(t, s, "k/stays", "2")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if hub.Revisions()["k/"] > node.readContent("k/") {
			return poll.Success()
		}
		return poll.Continue("the hub has not seen the change")
	}, soon...)
	name := "hub"
	p.frozen.Store(&name)
	node.FollowNode(context.Background(), "hub", hub.Revisions())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.waiting.Load() > 0 {
			return poll.Success()
		}
		return poll.Continue("the hub's copy is not read")
	}, soon...)
	assert.NilError(t, s.Delete(context.Background(), "k/left", store.AnyRevision))
	next.WatchStore(context.Background())
	next.awaitObjects(t, "k/", 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(next.Revisions()) == 2 {
			return poll.Success()
		}
		return poll.Continue("the next hub does not cover all")
	}, soon...)
	node.FollowNode(context.Background(), "next", next.Revisions())
	poll.WaitOn(t, v.showing(map[string]string{"k/stays": "2"}), poll.WithTimeout(peerTimeout/4), poll.WithDelay(5*time.Millisecond))
}
