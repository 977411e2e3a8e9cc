package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/eventlog"
)

// stoppableCaller is a peer caller that gets no answer from the processes that are stopped.
type stoppableCaller struct {
	peers
	mu      sync.Mutex
	stopped map[string]bool
}

func (s *stoppableCaller) stop(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.stopped[name] = true
	}
}

func (s *stoppableCaller) Call(ctx context.Context, node, method string, args, reply any) error {
	s.mu.Lock()
	stopped := s.stopped[node]
	s.mu.Unlock()
	if stopped {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.peers.Call(ctx, node, method, args, reply)
}

// countedStore counts the calls of one node.
type countedStore struct {
	*breakableStore
	mu    sync.Mutex
	calls int
}

func (s *countedStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	s.count()
	events, err := s.breakableStore.Watch(ctx, prefix, from)
	if err != nil || !store.IsSingleSync(ctx) {
		return events, err
	}
	page, err := s.Store.List(ctx, prefix, "", 100)
	if err != nil {
		return nil, err
	}
	// The platform's watches report changes before the revision up to which they are complete.
	changes := make(chan store.Event)
	go func() {
		defer close(changes)
		t := time.NewTimer(earlyWatchCall)
		defer t.Stop()
		for {
			e := store.Event{Type: store.EventSync, Object: store.Object{Revision: page.Revision}}
			select {
			case e = <-events:
			case <-t.C:
			}
			if e.Type == store.EventSync && e.Object.Revision < page.Revision {
				continue
			}
			select {
			case changes <- e:
			case <-ctx.Done():
				return
			}
			if e.Type == store.EventSync || e.Type == store.EventGone {
				return
			}
		}
	}()
	return changes, nil
}

func (s *countedStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	s.count()
	return s.breakableStore.List(ctx, prefix, after, limit)
}

func (s *countedStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *countedStore) taken() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// lateFleet is a node that follows a hub. The hub and the next one watch the store.
type lateFleet struct {
	store  *countedStore
	caller *stoppableCaller
	node   *Mirror
	view   *view
}

// newLateFleet starts a fleet whose copies hold k/left and k/stays.
func newLateFleet(t *testing.T) *lateFleet {
	s := &breakableStore{Store: memstore.New()}
	put(t, s, "k/left", "1")
	put(t, s, "k/stays", "1")
	f := &lateFleet{&countedStore{breakableStore: s}, &stoppableCaller{peers: peers{}, stopped: map[string]bool{}}, nil, &view{}}
	f.node = New(Options{Store: f.store, Peers: f.caller, Others: func() []string { return nil }, Log: &eventlog.Log{}},
		Prefix{Name: "k/", Handle: f.view.handle, SuccessorWatches: true, ConfirmAfterStall: true})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = f.node.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	for _, name := range []string{"hub", "next"} {
		m, v := startMirror(t, s, nil, nil, 0)
		m.WatchStore(context.Background())
		f.caller.peers[name] = m
		poll.WaitOn(t, v.showing(map[string]string{"k/left": "1", "k/stays": "1"}), soon...)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.node.FollowNode(context.Background(), "hub", f.caller.peers["hub"].Revisions())
		return f.view.showing(map[string]string{"k/left": "1", "k/stays": "1"})(t)
	}, soon...)
	assert.Equal(t, f.store.taken(), 0)
	return f
}

// removeEntry removes k/left from the store and waits until nodes that watch have noticed.
func (f *lateFleet) removeEntry(t *testing.T) {
	assert.NilError(t, f.store.Delete(context.Background(), "k/left", store.AnyRevision))
	time.Sleep(2 * publishDelay)
}

// shows fails the test unless the node's copy holds the entries within d.
func (f *lateFleet) shows(t *testing.T, want map[string]string, d time.Duration) {
	t.Helper()
	poll.WaitOn(t, f.view.showing(want), poll.WithTimeout(d), poll.WithDelay(5*time.Millisecond))
}

var (
	bothEntries = map[string]string{"k/left": "1", "k/stays": "1"}
	entryGone   = map[string]string{"k/stays": "1"}
)

// Guards against requests to an upstream that is gone while the hub does not answer, and against a call to the store of each node for a pause
// of the hub.
func TestNodeReadsTheNextHubWhileItsHubIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateFleet(t)
		f.caller.stop("hub")
		f.removeEntry(t)
		f.node.FollowedLate("next")
		f.shows(t, entryGone, otherTimeout)
		assert.Equal(t, f.store.taken(), 0)
	})
}

// Guards against requests to an upstream that is gone while the hub and the next one are stopped at once.
func TestNodeReadsTheStoreWhileItsHubAndTheNextAreLate(t *testing.T) {
	for name, next := range map[string]string{"both_stopped": "next", "no_other_node": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLateFleet(t)
				f.caller.stop("hub", "next")
				f.removeEntry(t)
				for range 3 { // Exchanges follow each other.
					f.node.FollowedLate(next)
				}
				f.shows(t, entryGone, otherTimeout+50*time.Millisecond)
				time.Sleep(storeReadPause / 2)
				f.node.FollowedLate(next)
				time.Sleep(2 * otherTimeout)
				assert.Equal(t, f.store.taken(), 1)
			})
		})
	}
}

// Guards against a read of the store after compaction that keeps an entry that is gone.
func TestLateNodeListsACompactedStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateFleet(t)
		f.removeEntry(t)
		f.store.breakableStore.mu.Lock()
		f.store.compacted = true
		f.store.breakableStore.mu.Unlock()
		f.node.FollowedLate("")
		f.shows(t, entryGone, otherTimeout)
		assert.Equal(t, f.store.taken(), 2)
	})
}

// Guards against a copy that is dropped although neither other nodes nor the store answer, and against a node that calls the store although it
// was answered meanwhile.
func TestLateNodeKeepsItsCopyDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateFleet(t)
		f.caller.stop("hub", "next")
		f.store.breakableStore.mu.Lock()
		f.store.down = true
		f.store.breakableStore.mu.Unlock()
		f.node.FollowedLate("next")
		time.Sleep(time.Second)
		assert.Assert(t, f.view.showing(bothEntries)(t).Done())
		assert.Equal(t, f.store.taken(), 1)

		f.node.FollowedLate("next")
		time.Sleep(otherTimeout / 2)
		f.node.FollowNode(context.Background(), "hub", f.caller.peers["hub"].Revisions())
		time.Sleep(time.Second)
		assert.Equal(t, f.store.taken(), 1)
	})
}
