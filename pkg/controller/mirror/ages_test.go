package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/boottime"
	"trefoilplank.example/pkg/decision/keyvalidity"
	"trefoilplank.example/pkg/eventlog"
)

// agedStore is a store whose answers carry the beginning of their call, as the platform's do.
type agedStore struct {
	*breakableStore
	interval time.Duration
}

func (s *agedStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	begun := boottime.Now()
	p, err := s.breakableStore.List(ctx, prefix, after, limit)
	p.Begun = begun
	return p, err
}

func (s *agedStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	begun := boottime.Now()
	inner, err := s.breakableStore.Watch(ctx, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	events := make(chan store.Event)
	go func() {
		defer close(events)
		defer cancel()
		revision := from
		poll := time.NewTicker(s.interval)
		defer poll.Stop()
		for {
			e := store.Event{Type: store.EventSync, Object: store.Object{Revision: revision}}
			select {
			case got, open := <-inner:
				if !open {
					return
				}
				if got.Type == store.EventSync {
					continue
				}
				e, revision = got, max(revision, got.Object.Revision)
			case <-poll.C:
				e.Object.Revision, e.Begun, begun = revision, begun, boottime.Now()
			}
			select {
			case events <- e:
			case <-ctx.Done():
				return
			}
			if e.Type == store.EventSync && store.IsSingleSync(ctx) {
				return
			}
		}
	}()
	return events, nil
}

// agedMirror is a mirror that keeps the age of the prefix c/.
type agedMirror struct {
	*Mirror
	mu      sync.Mutex
	value   string
	refused atomic.Bool
	// ahead is how much further the clock is than boottime.
	ahead atomic.Int64
}

func (a *agedMirror) applied() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.value
}

func (a *agedMirror) age() time.Duration { return a.InForceAge("c/") }

func startAged(t *testing.T, s store.Store, p peers, name string, others ...string) *agedMirror {
	a := &agedMirror{}
	a.Mirror = New(Options{
		Store: s, Peers: p, Others: func() []string { return others }, Log: &eventlog.Log{},
		Now: func() time.Duration { return boottime.Now() + time.Duration(a.ahead.Load()) },
	}, Prefix{
		Name: "c/", ConfirmAfterStall: true, MaxAge: 3 * time.Second, InForce: func() bool { return !a.refused.Load() },
		Handle: func(objects map[string]store.Object) {
			a.mu.Lock()
			defer a.mu.Unlock()
			if !a.refused.Load() {
				a.value = string(objects["c/main"].Value)
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	p[name] = a.Mirror
	return a
}

func newAgedStore(t *testing.T) *agedStore {
	s := &agedStore{&breakableStore{Store: memstore.New()}, 100 * time.Millisecond}
	_, err := s.Put(context.Background(), "c/main", []byte("1"), store.AnyRevision)
	assert.NilError(t, err)
	return s
}

// follow plays an exchange of a node with the hub.
func (a *agedMirror) follow(hub *agedMirror) {
	begun := boottime.Now() + time.Duration(a.ahead.Load())
	a.ApplyAges(begun, hub.Ages())
	a.FollowNode(context.Background(), "hub", hub.Revisions())
}

func youngerThan(a *agedMirror, limit time.Duration) poll.Check {
	return func(poll.LogT) poll.Result {
		if age := a.age(); age >= limit {
			return poll.Continue("age is %v", age)
		}
		return poll.Success()
	}
}

// Guards against a node without a store of its own whose age is not confirmed by the hub's answers, and one that has it before it read
// anything.
func TestAgeComesFromTheHub(t *testing.T) {
	s, p := newAgedStore(t), peers{}
	hub := startAged(t, s, p, "hub")
	hub.WatchStore(context.Background())
	poll.WaitOn(t, youngerThan(hub, time.Second), soon...)
	away := &agedStore{&breakableStore{Store: memstore.New(), down: true}, time.Second}
	node := startAged(t, away, p, "node")
	assert.Equal(t, node.age(), keyvalidity.Never)
	node.ApplyAges(boottime.Now(), hub.Ages())
	assert.Equal(t, node.age(), keyvalidity.Never, "nothing was read")
	node.follow(hub)
	poll.WaitOn(t, youngerThan(node, time.Second), soon...)
	assert.Equal(t, node.applied(), "1")

	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, node.age() >= 500*time.Millisecond)
	node.follow(hub)
	assert.Assert(t, node.age() < 400*time.Millisecond, "age %v", node.age())
	assert.Assert(t, node.age() >= hub.age()-20*time.Millisecond)
}

// Guards against an age of the hub's newer copy that a node takes for that of its own one, while it has not read the change.
func TestAgeOfANewerCopyDoesNotCount(t *testing.T) {
	s, p := newAgedStore(t), peers{}
	hub := startAged(t, s, p, "hub")
	hub.WatchStore(context.Background())
	node := startAged(t, s, p, "node")
	poll.WaitOn(t, func(l poll.LogT) poll.Result { node.follow(hub); return youngerThan(node, time.Second)(l) }, soon...)
	_, err := s.Put(context.Background(), "c/main", []byte("2"), store.AnyRevision)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if hub.applied() == "2" {
			return poll.Success()
		}
		return poll.Continue("the hub has not read the change")
	}, soon...)
	time.Sleep(300 * time.Millisecond)
	before := node.age()
	node.ApplyAges(boottime.Now(), hub.Ages())
	assert.Assert(t, node.age() >= before, "age %v, before %v", node.age(), before)
	assert.Equal(t, node.applied(), "1")
	node.follow(hub)
	poll.WaitOn(t, youngerThan(node, 300*time.Millisecond), soon...)
	assert.Equal(t, node.applied(), "2")
}

// Guards against a configuration that can't be put in force and counts as current.
func TestAgeGrowsWhileTheCopyIsRefused(t *testing.T) {
	s, p := newAgedStore(t), peers{}
	hub := startAged(t, s, p, "hub")
	hub.WatchStore(context.Background())
	poll.WaitOn(t, youngerThan(hub, time.Second), soon...)
	hub.refused.Store(true)
	_, err := s.Put(context.Background(), "c/main", []byte("2"), store.AnyRevision)
	assert.NilError(t, err)
	time.Sleep(600 * time.Millisecond)
	assert.Assert(t, hub.age() >= 500*time.Millisecond, "age %v", hub.age())
	hub.refused.Store(false)
	_, err = s.Put(context.Background(), "c/main", []byte("3"), store.AnyRevision)
	assert.NilError(t, err)
	poll.WaitOn(t, youngerThan(hub, 400*time.Millisecond), soon...)
}

// Guards against an age that leaves out the time in which the machine was suspended, and against a node that stays old after it although
// the node it follows is, and against store calls of a node whose age is young.
func TestOldCopyIsReadFromTheStore(t *testing.T) {
	s, p := newAgedStore(t), peers{}
	hub := startAged(t, s, p, "hub")
	hub.WatchStore(context.Background())
	counted := &countingStore{agedStore: s}
	node := startAged(t, counted, p, "node")
	poll.WaitOn(t, func(l poll.LogT) poll.Result { node.follow(hub); return youngerThan(node, time.Second)(l) }, soon...)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, counted.calls.Load(), int64(0))
	node.ahead.Store(int64(10 * time.Second))
	assert.Assert(t, node.age() > 10*time.Second)
	time.Sleep(400 * time.Millisecond) // The store's clock is that of the test, so the copy stays old, and the node reads it again and again.
	assert.Assert(t, counted.calls.Load() > 0)
	assert.Assert(t, node.age() > 9*time.Second)
}

// countingStore counts the calls of one node.
type countingStore struct {
	*agedStore
	calls atomic.Int64
}

func (s *countingStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	s.calls.Add(1)
	return s.agedStore.Watch(ctx, prefix, from)
}

// Guards against a hub of an earlier build, which sends no ages: its followers' keys would lapse.
func TestHubWithoutAgesIsNotReliedOn(t *testing.T) {
	s, p := newAgedStore(t), peers{}
	hub := startAged(t, s, p, "hub")
	hub.WatchStore(context.Background())
	poll.WaitOn(t, youngerThan(hub, time.Second), soon...)
	node := startAged(t, s, p, "node")
	poll.WaitOn(t, func(l poll.LogT) poll.Result {
		node.ApplyAges(boottime.Now(), nil)
		node.FollowNode(context.Background(), "hub", hub.Revisions())
		return youngerThan(node, time.Second)(l)
	}, soon...)
	node.follow(hub)
	assert.Assert(t, !node.copy["c/"].mustWatch(), "the node goes on watching beside a hub that sends ages")
}

// Guards against a node whose watch fails and whose age lapses although other nodes have one.
func TestAgeComesFromPeersWhileTheWatchIsBroken(t *testing.T) {
	s, p := newAgedStore(t), peers{}
	other := startAged(t, s, p, "other")
	other.WatchStore(context.Background())
	poll.WaitOn(t, youngerThan(other, time.Second), soon...)
	away := &agedStore{&breakableStore{Store: memstore.New(), down: true}, time.Second}
	node := startAged(t, away, p, "node", "other")
	node.WatchStore(context.Background())
	poll.WaitOn(t, youngerThan(node, time.Second), soon...)
	time.Sleep(1500 * time.Millisecond)
	assert.Assert(t, node.age() < time.Second, "age %v", node.age())
}

// Guards against an event of a watch that takes back what was read from a peer meanwhile: others would count the older object as current.
func TestEventsDoNotReplaceNewerObjects(t *testing.T) {
	m := New(Options{Log: &eventlog.Log{}}, Prefix{Name: "c/", InForce: func() bool { return true }, Handle: func(map[string]store.Object) {}})
	c := m.copy["c/"]
	assert.Assert(t, c.replace([]store.Object{{Key: "c/main", Value: []byte("9"), Revision: 9}}, 9, "peer", keyvalidity.Known{}, time.Now()))
	c.apply(store.Event{Type: store.EventPut, Object: store.Object{Key: "c/main", Value: []byte("7"), Revision: 7}}, time.Now())
	assert.Equal(t, string(c.objects["c/main"].Value), "9")
	c.apply(store.Event{Type: store.EventSync, Object: store.Object{Revision: 12}, Begun: boottime.Now()}, time.Now())
	assert.Equal(t, c.known.Known().Changed, int64(9))
	c.apply(store.Event{Type: store.EventDelete, Object: store.Object{Key: "c/main", Revision: 9}}, time.Now())
	c.apply(store.Event{Type: store.EventSync, Object: store.Object{Revision: 15}, Begun: boottime.Now()}, time.Now())
	assert.Equal(t, c.known.Known().Changed, int64(15), "a deletion may carry the revision of the change before")
}
