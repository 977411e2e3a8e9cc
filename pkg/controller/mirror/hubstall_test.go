package mirror

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

const (
	// firstWatchCall is how long the first call of a watch without changes waits, and earlyWatchCall that of one which is to return soon
	// (platform/store.go). The store answers storeAnswer later: a fraction of a second if it is slow.
	firstWatchCall, earlyWatchCall, storeAnswer = 200 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond
	// hubExchangeTimeout and hubExchangePause are those of exchanges with the hub (pkg/controller/loadshare).
	hubExchangeTimeout, hubExchangePause = 400 * time.Millisecond, 50 * time.Millisecond
)

// slowStartStore is a store whose watches report their revision after their first call only.
type slowStartStore struct{ *breakableStore }

func (s *slowStartStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	inner, err := s.breakableStore.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	events := make(chan store.Event)
	go func() {
		defer close(events)
		call := firstWatchCall
		if store.IsEarlySync(ctx) {
			call = earlyWatchCall
		}
		t := time.NewTimer(call + storeAnswer)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for e := range inner {
			select {
			case events <- e:
			case <-ctx.Done():
				return
			}
		}
	}()
	return events, nil
}

// Guards against all nodes watching the store themselves after a short stall of their hub, whose new watch is not answered soon enough.
func TestNodesGoOnFollowingAHubThatStalledShortly(t *testing.T) {
	synctest.Test(t, playHubStall)
}

func playHubStall(t *testing.T) {
	const followers, stall = 4, 500 * time.Millisecond
	s := &slowStartStore{&breakableStore{Store: memstore.New()}}
	put(t, s, "k/a", "1")
	p := peers{}
	hub, hubView := startMirror(t, s, p, nil, 0)
	confirmStalled(hub)
	hub.WatchStore(context.Background())
	p["hub"] = hub
	poll.WaitOn(t, hubView.showing(map[string]string{"k/a": "1"}), soon...)
	nodes := map[string]*Mirror{}
	for n := range followers {
		m, v := startMirror(t, s, p, []string{"hub"}, 0)
		confirmStalled(m)
		nodes[fmt.Sprint("node", n)] = m
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			m.FollowNode(context.Background(), "hub", hub.Revisions())
			return v.showing(map[string]string{"k/a": "1"})(t)
		}, soon...)
	}
	// Exchanges that began before the stall time out, the next ones are answered after it.
	time.Sleep(hubExchangeTimeout)
	for _, m := range nodes {
		m.FollowNode(context.Background(), "", nil)
	}
	time.Sleep(stall - hubExchangeTimeout)
	hub.stall()
	put(t, s, "k/a", "2")
	for end := time.Now().Add(2 * (firstWatchCall + storeAnswer)); time.Now().Before(end); time.Sleep(hubExchangePause) {
		for name, m := range nodes {
			m.FollowNode(context.Background(), "hub", hub.Revisions())
			assert.Equal(t, m.followedNode(), "hub", name+" watches the store itself")
		}
	}
	assert.Equal(t, len(hub.Revisions()), 1)
}
