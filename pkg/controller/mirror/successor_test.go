package mirror

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// Guards against an upstream that has left and gets requests for seconds, because the followed node is lost at the moment of its
// removal: the next one took its own gap for an outage of the store, in which entries of live upstreams lapse.
func TestEntryRemovedWhileTheFollowedNodeIsLostIsGone(t *testing.T) {
	const grace, lapse = 5 * time.Second, 500 * time.Millisecond
	s := &breakableStore{Store: memstore.New()}
	put(t, s, "k/left", "1")
	put(t, s, "k/stays", "1")
	p := peers{}
	hub, _ := startMirror(t, s, p, nil, 0)
	hub.WatchStore(context.Background())
	p["hub"] = hub
	next, v := startMirrorWithLapseTime(t, s, p, []string{"hub"}, grace, lapse)
	next.copy["k/"].prefix.SuccessorWatches = true
	both := map[string]string{"k/left": "1", "k/stays": "1"}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		next.SetSuccessor(true)
		next.FollowNode(context.Background(), "hub", hub.Revisions())
		return v.showing(both)(t)
	}, soon...)
	for range 4 {
		time.Sleep(50 * time.Millisecond)
		next.FollowNode(context.Background(), "hub", hub.Revisions())
	}
	delete(p, "hub")
	assert.NilError(t, s.Delete(context.Background(), "k/left", store.AnyRevision))
	time.Sleep(2 * lapse)
	next.WatchStore(context.Background())
	poll.WaitOn(t, v.showing(map[string]string{"k/stays": "1"}), soon...)

	// An outage of the store that the node has seen itself is one, also right before it is followed.
	s.setDown(true)
	time.Sleep(2 * lapse)
	assert.NilError(t, s.Store.Delete(context.Background(), "k/stays", store.AnyRevision))
	s.setDown(false)
	time.Sleep(2 * lapse)
	assert.Assert(t, v.showing(map[string]string{"k/stays": "1"})(t).Done(), "the entry may have lapsed")
}

// Guards against a node that watches the store for good after it would have been followed next, and against copies that it then
// no longer reads.
func TestFormerSuccessorFollowsAgain(t *testing.T) {
	s, own := &breakableStore{Store: memstore.New()}, &breakableStore{Store: memstore.New()}
	p := peers{}
	hub, _ := startMirror(t, s, p, nil, 0)
	hub.WatchStore(context.Background())
	p["hub"] = hub
	m, v := startMirror(t, own, p, nil, 0)
	m.copy["k/"].prefix.SuccessorWatches = true
	follow := func(successor bool, want map[string]string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			m.SetSuccessor(successor)
			m.FollowNode(context.Background(), "hub", hub.Revisions())
			return v.showing(want)(t)
		}, soon...)
	}
	put(t, s, "k/a", "1")
	follow(false, map[string]string{"k/a": "1"})
	own.mu.Lock()
	assert.Equal(t, own.lists, 0)
	own.mu.Unlock()
	put(t, own, "k/own", "1")
	put(t, own, "k/own", "2")
	follow(true, map[string]string{"k/own": "2"})
	for range 3 {
		put(t, s, "k/a", "2")
	}
	follow(false, map[string]string{"k/a": "2"})
	lists := own.lists
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, own.lists, lists)
}
