package mirror

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/eventlog"
)

// breakableStore is a store that can be down, and whose history can be compacted.
type breakableStore struct {
	*memstore.Store
	mu        sync.Mutex
	down      bool
	compacted bool
	watches   []context.CancelFunc
	lists     int
}

// setDown takes the store down or up again, and ends all watches.
func (b *breakableStore) setDown(down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = down
	for _, cancel := range b.watches {
		cancel()
	}
	b.watches = nil
}

func (b *breakableStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	b.mu.Lock()
	down := b.down
	b.lists++
	b.mu.Unlock()
	if down {
		return store.Page{}, store.ErrUnavailable
	}
	return b.Store.List(ctx, prefix, after, limit)
}

func (b *breakableStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	b.mu.Lock()
	down, compacted := b.down, b.compacted
	b.compacted = false
	b.watches = append(b.watches, cancel)
	b.mu.Unlock()
	if down {
		cancel()
		return nil, store.ErrUnavailable
	}
	if compacted {
		events := make(chan store.Event, 1)
		events <- store.Event{Type: store.EventGone}
		return events, nil
	}
	inner, err := b.Store.Watch(ctx, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	// The platform's watches report their revision at once.
	events := make(chan store.Event)
	go func() {
		defer close(events)
		defer cancel()
		select {
		case events <- store.Event{Type: store.EventSync, Object: store.Object{Revision: from}}:
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

// view holds the values that a mirror last passed to Handle, by key.
type view struct {
	mu   sync.Mutex
	keys map[string]string
}

func (v *view) handle(objects map[string]store.Object) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keys = map[string]string{}
	for key, o := range objects {
		v.keys[key] = string(o.Value)
	}
}

func (v *view) showing(want map[string]string) poll.Check {
	return func(poll.LogT) poll.Result {
		v.mu.Lock()
		defer v.mu.Unlock()
		if fmt.Sprint(v.keys) == fmt.Sprint(want) {
			return poll.Success()
		}
		return poll.Continue("%v, want %v", v.keys, want)
	}
}

// peers is a peer caller that calls other mirrors within the process.
type peers map[string]*Mirror

func (p peers) Call(_ context.Context, node, method string, args, reply any) error {
	m := p[node]
	if m == nil {
		return peer.ErrUnreachable
	}
	if method == "Mirror.ReadPart" {
		return m.Receiver().ReadPart(args.(ReadPartArgs), reply.(*ReadPartReply))
	}
	return m.Receiver().Read(args.(ReadArgs), reply.(*ReadReply))
}

func (peers) CallAddress(context.Context, string, string, any, any) error { return peer.ErrUnreachable }

// startMirror starts a mirror of the prefix k/ for the duration of the test.
func startMirror(t *testing.T, s store.Store, p peers, others []string, grace time.Duration) (*Mirror, *view) {
	return startMirrorWithLapseTime(t, s, p, others, grace, 0)
}

func startMirrorWithLapseTime(t *testing.T, s store.Store, p peers, others []string, grace, lapse time.Duration) (*Mirror, *view) {
	v := &view{}
	m := New(Options{Store: s, Peers: p, Others: func() []string { return others }, Log: &eventlog.Log{}},
		Prefix{Name: "k/", AbsenceGrace: grace, LapseTime: lapse, Handle: v.handle})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return m, v
}

func put(t *testing.T, s store.Store, key, value string) {
	t.Helper()
	_, err := s.Put(context.Background(), key, []byte(value), store.AnyRevision)
	assert.NilError(t, err)
}

// soon limits a wait to 3 s.
var soon = []poll.SettingOp{poll.WithTimeout(3 * time.Second), poll.WithDelay(5 * time.Millisecond)}

// TestFollowsChangesThroughInterruptions guards against changes that are missed while the watch is broken, or after the
// store has compacted its history.
func TestFollowsChangesThroughInterruptions(t *testing.T) {
	s := &breakableStore{Store: memstore.New()}
	put(t, s, "k/a", "1")
	m, v := startMirror(t, s, nil, nil, 0)
	m.WatchStore(context.Background())
	poll.WaitOn(t, v.showing(map[string]string{"k/a": "1"}), soon...)
	s.setDown(true)
	put(t, s.Store, "k/b", "2")
	s.setDown(false)
	poll.WaitOn(t, v.showing(map[string]string{"k/a": "1", "k/b": "2"}), soon...)
	s.mu.Lock()
	s.compacted = true
	s.mu.Unlock()
	s.setDown(false)
	assert.NilError(t, s.Delete(context.Background(), "k/a", store.AnyRevision))
	poll.WaitOn(t, v.showing(map[string]string{"k/b": "2"}), soon...)
}

// TestExpiredEntriesAreKeptForGracePeriod guards against upstreams that are dropped because their entries expired while
// the store was down. Upstreams that are alive write their entries again soon after its return; an entry that is still
// missing after the grace period must be dropped.
func TestExpiredEntriesAreKeptForGracePeriod(t *testing.T) {
	s := &breakableStore{Store: memstore.New()}
	put(t, s, "k/a", "1")
	put(t, s, "k/b", "1")
	m, v := startMirror(t, s, nil, nil, 400*time.Millisecond)
	m.WatchStore(context.Background())
	poll.WaitOn(t, v.showing(map[string]string{"k/a": "1", "k/b": "1"}), soon...)
	s.setDown(true)
	assert.NilError(t, s.Store.Delete(context.Background(), "k/a", store.AnyRevision))
	assert.NilError(t, s.Store.Delete(context.Background(), "k/b", store.AnyRevision))
	s.setDown(false)
	time.Sleep(200 * time.Millisecond)
	put(t, s.Store, "k/b", "2")
	poll.WaitOn(t, v.showing(map[string]string{"k/a": "1", "k/b": "2"}), soon...)
	poll.WaitOn(t, v.showing(map[string]string{"k/b": "2"}), soon...)
}

// Guards against an upstream that has left and gets requests for two more seconds, because its entry was removed while
// this node changed from a followed node's copy to its own watch: no entry of a live upstream expires in that time.
func TestEntryRemovedDuringShortInterruptionIsGone(t *testing.T) {
	const grace, lapse = 5 * time.Second, time.Second
	s := memstore.New()
	put(t, s, "k/left", "1")
	p := peers{}
	hub, _ := startMirror(t, s, p, nil, 0)
	hub.WatchStore(context.Background())
	p["hub"] = hub
	follower, v := startMirrorWithLapseTime(t, s, p, []string{"hub"}, grace, lapse)
	follow := func() poll.Check {
		return func(poll.LogT) poll.Result {
			follower.FollowNode(context.Background(), "hub", hub.Revisions())
			return v.showing(map[string]string{"k/left": "1"})(t)
		}
	}
	poll.WaitOn(t, follow(), soon...)
	time.Sleep(2 * lapse)
	follower.FollowNode(context.Background(), "hub", hub.Revisions())
	assert.NilError(t, s.Delete(context.Background(), "k/left", store.AnyRevision))
	follower.WatchStore(context.Background())
	poll.WaitOn(t, v.showing(map[string]string{}), soon...)
}

// TestNodeWithoutStoreReadsFromPeer guards against a node that can't reach the store and keeps an old
// configuration although a peer has a newer one.
func TestNodeWithoutStoreReadsFromPeer(t *testing.T) {
	good, bad := &breakableStore{Store: memstore.New()}, &breakableStore{Store: memstore.New(), down: true}
	p := peers{}
	served, _ := startMirror(t, good, p, nil, 0)
	served.WatchStore(context.Background())
	p["served"] = served
	m, v := startMirror(t, bad, p, []string{"served"}, 0)
	m.WatchStore(context.Background())
	put(t, good, "k/a", "1")
	poll.WaitOn(t, v.showing(map[string]string{"k/a": "1"}), soon...)
	put(t, good, "k/a", "2")
	poll.WaitOn(t, v.showing(map[string]string{"k/a": "2"}), soon...)
}

// TestStartingNodeTakesTheLastCopyOfAPeer guards against a node that starts while the store is down and refuses its
// callers until the store returns, although its peers have the configuration. In one run, four of seven nodes did so
// for 1.5 s.
func TestStartingNodeTakesTheLastCopyOfAPeer(t *testing.T) {
	s := &breakableStore{Store: memstore.New()}
	put(t, s, "k/a", "1")
	p := peers{}
	old, seen := startMirror(t, s, p, nil, 0)
	old.WatchStore(context.Background())
	p["old"] = old
	poll.WaitOn(t, seen.showing(map[string]string{"k/a": "1"}), soon...)
	s.setDown(true)
	m, v := startMirror(t, s, p, nil, 0)
	m.WatchStore(context.Background())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(old.Revisions()) == 0 {
			return poll.Success()
		}
		return poll.Continue("the watch of the peer still works")
	}, soon...)
	m.ReadMissing(context.Background(), "old")
	poll.WaitOn(t, v.showing(map[string]string{"k/a": "1"}), soon...)
	put(t, s.Store, "k/a", "2")
	s.setDown(false)
	poll.WaitOn(t, v.showing(map[string]string{"k/a": "2"}), soon...)
}

// TestFollowerReadsOnlyWhatChanged guards against a transfer of the whole copy at each change, which used up the link of
// the watching node on a site with many nodes, and against a merged copy that differs from the peer's.
func TestFollowerReadsOnlyWhatChanged(t *testing.T) {
	s := memstore.New()
	for n := range 20 {
		put(t, s, fmt.Sprint("k/", n), "1")
	}
	p := peers{}
	hub, seen := startMirror(t, s, p, nil, 0)
	hub.WatchStore(context.Background())
	p["hub"] = hub
	m, v := startMirror(t, &breakableStore{Store: memstore.New()}, p, nil, 0)
	follows := func(want map[string]string) {
		t.Helper()
		poll.WaitOn(t, seen.showing(want), soon...)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			m.FollowNode(context.Background(), "hub", hub.Revisions())
			return v.showing(want)(t)
		}, soon...)
	}
	want := map[string]string{}
	for n := range 20 {
		want[fmt.Sprint("k/", n)] = "1"
	}
	follows(want)
	at := m.copy["k/"].revision
	put(t, s, "k/3", "2")
	assert.NilError(t, s.Delete(context.Background(), "k/4", store.AnyRevision))
	want["k/3"] = "2"
	delete(want, "k/4")
	follows(want)
	var reply ReadReply
	assert.NilError(t, hub.Receiver().Read(ReadArgs{Prefix: "k/", Revision: at}, &reply))
	assert.Equal(t, len(reply.Objects), 1)
	assert.Equal(t, len(reply.Revisions), 19)
	// A copy that lacks an object of its revision is read in full.
	c := m.copy["k/"]
	c.mu.Lock()
	delete(c.objects, "k/7")
	c.readFrom = source{}
	c.mu.Unlock()
	put(t, s, "k/5", "2")
	want["k/5"] = "2"
	follows(want)
}

// TestFollowerSparesTheStore guards against store calls by a node that follows another node's copies, and against a node
// that still follows another one which no longer covers the prefixes.
func TestFollowerSparesTheStore(t *testing.T) {
	s, own := &breakableStore{Store: memstore.New()}, &breakableStore{Store: memstore.New()}
	p := peers{}
	hub, _ := startMirror(t, s, p, nil, 0)
	hub.WatchStore(context.Background())
	p["hub"] = hub
	m, v := startMirror(t, own, p, nil, 0)
	put(t, s, "k/a", "1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		m.FollowNode(context.Background(), "hub", hub.Revisions())
		return v.showing(map[string]string{"k/a": "1"})(t)
	}, soon...)
	own.mu.Lock()
	assert.Equal(t, own.lists, 0)
	own.mu.Unlock()
	put(t, own, "k/own", "3")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		m.FollowNode(context.Background(), "hub", nil)
		own.mu.Lock()
		defer own.mu.Unlock()
		if own.lists > 0 {
			return poll.Success()
		}
		return poll.Continue("the store is not asked")
	}, soon...)
}

// Guards against a copy that counts as recent while neither the store nor the followed node keeps it up to date, or after
// the machine was suspended, which the monotonic clock does not count.
func TestAgeOfCopy(t *testing.T) {
	s := &breakableStore{Store: memstore.New()}
	put(t, s, "k/a", "1")
	hub, v := startMirror(t, s, nil, nil, 0)
	hub.WatchStore(context.Background())
	poll.WaitOn(t, v.showing(map[string]string{"k/a": "1"}), soon...)
	c := hub.copy["k/"]
	c.prefix.Silence = time.Minute
	assert.Equal(t, hub.Age("k/"), time.Duration(0))
	follower, followed := startMirror(t, s, peers{"hub": hub}, []string{"hub"}, 0)
	assert.Assert(t, follower.Age("k/") > time.Hour, "it has read nothing")
	follower.FollowNode(context.Background(), "hub", hub.Revisions())
	poll.WaitOn(t, followed.showing(map[string]string{"k/a": "1"}), soon...)
	follower.FollowNode(context.Background(), "hub", hub.Revisions())
	assert.Assert(t, follower.Age("k/") < 200*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, follower.Age("k/") >= 200*time.Millisecond)
	c.mu.Lock()
	c.prefix.Silence = 0
	c.mu.Unlock()
	assert.Assert(t, hub.Age("k/") >= 200*time.Millisecond, "its watch is silent")
	s.setDown(true)
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, hub.Age("k/") > time.Hour, "it follows nobody")
	wall := time.Now().Round(0)
	assert.Equal(t, elapsed(wall, wall.Add(time.Hour)), time.Hour)
}
