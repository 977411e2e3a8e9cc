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

// breakable is a store that can be away, and whose history can be gone.
type breakable struct {
	*memstore.Store
	mu      sync.Mutex
	away    bool
	gone    bool
	watches []context.CancelFunc
	lists   int
}

func (b *breakable) set(away bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.away = away
	for _, cancel := range b.watches {
		cancel()
	}
	b.watches = nil
}

func (b *breakable) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	b.mu.Lock()
	away := b.away
	b.lists++
	b.mu.Unlock()
	if away {
		return store.Page{}, store.ErrUnavailable
	}
	return b.Store.List(ctx, prefix, after, limit)
}

func (b *breakable) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	b.mu.Lock()
	away, gone := b.away, b.gone
	b.gone = false
	b.watches = append(b.watches, cancel)
	b.mu.Unlock()
	if away {
		cancel()
		return nil, store.ErrUnavailable
	}
	if gone {
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

// view is what a mirror handed on last.
type view struct {
	mu   sync.Mutex
	keys map[string]string
}

func (v *view) take(objects map[string]store.Object) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.keys = map[string]string{}
	for key, o := range objects {
		v.keys[key] = string(o.Value)
	}
}

func (v *view) is(want map[string]string) poll.Check {
	return func(poll.LogT) poll.Result {
		v.mu.Lock()
		defer v.mu.Unlock()
		if fmt.Sprint(v.keys) == fmt.Sprint(want) {
			return poll.Success()
		}
		return poll.Continue("%v, want %v", v.keys, want)
	}
}

// peers reaches other mirrors in process.
type peers map[string]*Mirror

func (p peers) Call(_ context.Context, node, _ string, args, reply any) error {
	m := p[node]
	if m == nil {
		return peer.ErrUnreachable
	}
	return m.Receiver().Read(args.(ReadArgs), reply.(*ReadReply))
}

func (peers) CallAddress(context.Context, string, string, any, any) error { return peer.ErrUnreachable }

func start(t *testing.T, s store.Store, p peers, others []string, grace time.Duration) (*Mirror, *view) {
	v := &view{}
	m := New(Options{Store: s, Peers: p, Others: func() []string { return others }, Log: &eventlog.Log{}},
		Prefix{Name: "k/", AbsenceGrace: grace, Handle: v.take})
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

var soon = []poll.SettingOp{poll.WithTimeout(3 * time.Second), poll.WithDelay(5 * time.Millisecond)}

// Guards against changes that are missed while the watch is broken or after the store forgot its history.
func TestFollowsChangesThroughInterruptions(t *testing.T) {
	s := &breakable{Store: memstore.New()}
	put(t, s, "k/a", "1")
	m, v := start(t, s, nil, nil, 0)
	m.Watch(context.Background())
	poll.WaitOn(t, v.is(map[string]string{"k/a": "1"}), soon...)
	s.set(true)
	put(t, s.Store, "k/b", "2")
	s.set(false)
	poll.WaitOn(t, v.is(map[string]string{"k/a": "1", "k/b": "2"}), soon...)
	s.mu.Lock()
	s.gone = true
	s.mu.Unlock()
	s.set(false)
	assert.NilError(t, s.Delete(context.Background(), "k/a", store.AnyRevision))
	poll.WaitOn(t, v.is(map[string]string{"k/b": "2"}), soon...)
}

// Guards against upstreams that are dropped because their entries lapsed while the store was away: they are written again
// soon after its return, and one that is still missing then is gone.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	s := &breakable{Store: memstore.New()}
	put(t, s, "k/a", "1")
	put(t, s, "k/b", "1")
	m, v := start(t, s, nil, nil, 400*time.Millisecond)
	m.Watch(context.Background())
	poll.WaitOn(t, v.is(map[string]string{"k/a": "1", "k/b": "1"}), soon...)
	s.set(true)
	assert.NilError(t, s.Store.Delete(context.Background(), "k/a", store.AnyRevision))
	assert.NilError(t, s.Store.Delete(context.Background(), "k/b", store.AnyRevision))
	s.set(false)
	time.Sleep(200 * time.Millisecond)
	put(t, s.Store, "k/b", "2")
	poll.WaitOn(t, v.is(map[string]string{"k/a": "1", "k/b": "2"}), soon...)
	poll.WaitOn(t, v.is(map[string]string{"k/b": "2"}), soon...)
}

// Guards against a node that the store turns away and that goes on with an old configuration although a peer knows better.
func TestNodeThatTheStoreTurnsAwayReadsFromAPeer(t *testing.T) {
	good, bad := &breakable{Store: memstore.New()}, &breakable{Store: memstore.New(), away: true}
	p := peers{}
	served, _ := start(t, good, p, nil, 0)
	served.Watch(context.Background())
	p["served"] = served
	m, v := start(t, bad, p, []string{"served"}, 0)
	m.Watch(context.Background())
	put(t, good, "k/a", "1")
	poll.WaitOn(t, v.is(map[string]string{"k/a": "1"}), soon...)
	put(t, good, "k/a", "2")
	poll.WaitOn(t, v.is(map[string]string{"k/a": "2"}), soon...)
}

// Guards against a node that starts while the store serves nobody and refuses its callers until it returns, although its peers
// know the configuration: on a standard day four of seven nodes did so for 1.5 s.
func TestStartingNodeTakesTheLastCopyOfAPeer(t *testing.T) {
	s := &breakable{Store: memstore.New()}
	put(t, s, "k/a", "1")
	p := peers{}
	old, seen := start(t, s, p, nil, 0)
	old.Watch(context.Background())
	p["old"] = old
	poll.WaitOn(t, seen.is(map[string]string{"k/a": "1"}), soon...)
	s.set(true)
	m, v := start(t, s, p, nil, 0)
	m.Watch(context.Background())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(old.Revisions()) == 0 {
			return poll.Success()
		}
		return poll.Continue("the peer still follows the store")
	}, soon...)
	m.Introduce(context.Background(), "old")
	poll.WaitOn(t, v.is(map[string]string{"k/a": "1"}), soon...)
	put(t, s.Store, "k/a", "2")
	s.set(false)
	poll.WaitOn(t, v.is(map[string]string{"k/a": "2"}), soon...)
}

// Guards against whole copies for each change, which took the link of the watching node on a grown site, and against a merged copy
// that differs from the peer's.
func TestFollowerReadsOnlyWhatChanged(t *testing.T) {
	s := memstore.New()
	for n := range 20 {
		put(t, s, fmt.Sprint("k/", n), "1")
	}
	p := peers{}
	hub, seen := start(t, s, p, nil, 0)
	hub.Watch(context.Background())
	p["hub"] = hub
	m, v := start(t, &breakable{Store: memstore.New()}, p, nil, 0)
	follows := func(want map[string]string) {
		t.Helper()
		poll.WaitOn(t, seen.is(want), soon...)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			m.Follow(context.Background(), "hub", hub.Revisions())
			return v.is(want)(t)
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
	// A copy that is not what its revision says is read as a whole.
	c := m.copy["k/"]
	c.mu.Lock()
	delete(c.objects, "k/7")
	c.taken = source{}
	c.mu.Unlock()
	put(t, s, "k/5", "2")
	want["k/5"] = "2"
	follows(want)
}

// Guards against store calls of nodes that can follow another node's copy, and against a node that stays with one which no
// longer covers the store.
func TestFollowerSparesTheStore(t *testing.T) {
	s, own := &breakable{Store: memstore.New()}, &breakable{Store: memstore.New()}
	p := peers{}
	hub, _ := start(t, s, p, nil, 0)
	hub.Watch(context.Background())
	p["hub"] = hub
	m, v := start(t, own, p, nil, 0)
	put(t, s, "k/a", "1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		m.Follow(context.Background(), "hub", hub.Revisions())
		return v.is(map[string]string{"k/a": "1"})(t)
	}, soon...)
	own.mu.Lock()
	assert.Equal(t, own.lists, 0)
	own.mu.Unlock()
	put(t, own, "k/own", "3")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		m.Follow(context.Background(), "hub", nil)
		own.mu.Lock()
		defer own.mu.Unlock()
		if own.lists > 0 {
			return poll.Success()
		}
		return poll.Continue("the store is not asked")
	}, soon...)
}
