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

// Guards against an upstream that has left and gets requests for seconds, because a node that is not the next hub loses the nodes that
// watch the store, or does not run itself for a while, and takes this for an outage of the store, in which entries of live upstreams lapse.
func TestEntryRemovedWhileTheNodeHeardNothingIsGone(t *testing.T) {
	const grace, lapse = 5 * time.Second, 500 * time.Millisecond
	s := &breakableStore{Store: memstore.New()}
	for _, key := range []string{"k/left", "k/leaves", "k/stays"} {
		put(t, s, key, "1")
	}
	p := peers{}
	hub, _ := startMirror(t, s, p, nil, 0)
	hub.WatchStore(context.Background())
	p["hub"] = hub
	node, v := startMirrorWithLapseTime(t, s, p, []string{"hub"}, grace, lapse)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		node.FollowNode(context.Background(), "hub", hub.Revisions())
		return v.showing(map[string]string{"k/left": "1", "k/leaves": "1", "k/stays": "1"})(t)
	}, soon...)
	delete(p, "hub")
	assert.NilError(t, s.Delete(context.Background(), "k/left", store.AnyRevision))
	time.Sleep(2 * lapse)
	node.FollowNode(context.Background(), "", nil)
	time.Sleep(uncoveredMax)
	node.FollowNode(context.Background(), "", nil)
	poll.WaitOn(t, v.showing(map[string]string{"k/leaves": "1", "k/stays": "1"}), soon...)
	assert.NilError(t, s.Delete(context.Background(), "k/leaves", store.AnyRevision))
	poll.WaitOn(t, v.showing(map[string]string{"k/stays": "1"}), soon...)
}

// Guards against live upstreams that are dropped after an outage of the store, because the followed node was the first to see it and this
// node called the store only at its end.
func TestOutageThatTheFollowedNodeSawIsOne(t *testing.T) {
	const grace, lapse = 5 * time.Second, 600 * time.Millisecond
	s := &breakableStore{Store: memstore.New()}
	put(t, s, "k/lapses", "1")
	p := peers{}
	hub, _ := startMirror(t, s, p, nil, 0)
	hub.WatchStore(context.Background())
	p["hub"] = hub
	node, v := startMirrorWithLapseTime(t, s, p, []string{"hub"}, grace, lapse)
	listed := map[string]string{"k/lapses": "1"}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		node.FollowNode(context.Background(), "hub", hub.Revisions())
		return v.showing(listed)(t)
	}, soon...)
	s.setDown(true)
	assert.NilError(t, s.Store.Delete(context.Background(), "k/lapses", store.AnyRevision))
	for end := time.Now().Add(2 * lapse); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		node.FollowNode(context.Background(), "hub", hub.Revisions())
	}
	delete(p, "hub")
	s.setDown(false)
	node.FollowNode(context.Background(), "", nil)
	time.Sleep(lapse)
	assert.Assert(t, v.showing(listed)(t).Done(), "the entry may have lapsed")
}
