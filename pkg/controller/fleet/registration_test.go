package fleet

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/eventlog"
)

// lateStore loses the answers of the next writes and carries these out when the test says so, if their conditions hold then.
type lateStore struct {
	*memstore.Store
	mu   sync.Mutex
	lose int
	late []func() error
}

func (s *lateStore) isLost(write func() error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose == 0 {
		return false
	}
	s.lose--
	s.late = append(s.late, write)
	return true
}

func (s *lateStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	write := func() error { _, err := s.Store.Put(context.Background(), key, value, expect); return err }
	if s.isLost(write) {
		return 0, store.ErrUnknown
	}
	return s.Store.Put(ctx, key, value, expect)
}

func (s *lateStore) Delete(ctx context.Context, key string, expect int64) error {
	if s.isLost(func() error { return s.Store.Delete(context.Background(), key, expect) }) {
		return store.ErrUnknown
	}
	return s.Store.Delete(ctx, key, expect)
}

func (s *lateStore) carryOutLateWrites() (errs []error) {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, write := range late {
		errs = append(errs, write())
	}
	return errs
}

// entry returns the entry of node 1 in the store.
func entry(t *testing.T, s store.Store) (m Member, exists bool) {
	t.Helper()
	f := New(nil, Member{Name: "reader"}, &eventlog.Log{})
	handleStored(t, f, s)
	m, exists = f.members["1"]
	return m, exists
}

// process returns the fleet of a process of node 1 that has read the entries and runs KeepRegistered. It ends with the test.
func process(t *testing.T, s store.Store, incarnation int64) *Fleet {
	f := New(s, Member{Name: "1", Incarnation: incarnation}, &eventlog.Log{})
	handleStored(t, f, s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.KeepRegistered(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// Guards against the late write of a process that was killed, which replaced the entry of the node's next process: the hub then
// confirmed the node no longer, and its batch jobs were not run.
func TestLateWriteOfAKilledProcessReplacesNoLaterEntry(t *testing.T) {
	s := &lateStore{Store: memstore.New()}
	ctx := context.Background()
	for incarnation := int64(1); incarnation <= 5; incarnation++ {
		f := New(s, Member{Name: "1", Incarnation: incarnation}, &eventlog.Log{})
		handleStored(t, f, s)
		if incarnation%2 == 0 {
			s.lose = 1
			assert.ErrorIs(t, f.writeEntry(ctx), store.ErrUnknown) // Killed before it has registered.
			continue
		}
		assert.NilError(t, f.Register(ctx))
		if incarnation > 2 {
			s.lose = 1
			assert.ErrorIs(t, f.Drain(ctx), store.ErrUnknown) // Killed while it drains.
		}
	}
	last := process(t, s, 6)
	assert.NilError(t, last.Register(ctx))
	for _, err := range s.carryOutLateWrites() {
		assert.ErrorIs(t, err, store.ErrConflict)
	}
	m, exists := entry(t, s)
	assert.Assert(t, exists && m == last.Self())
}

// Guards against an entry that names another start of the node, or has another state than the process that runs, and stays so: earlier
// builds write without a condition, and a late create finds no entry.
func TestReplacedEntryIsWrittenAgain(t *testing.T) {
	ctx := context.Background()
	for name, damage := range map[string]func(*testing.T, store.Store){
		"replaced by another start": func(t *testing.T, s store.Store) {
			_, err := s.Put(ctx, Prefix+"1", memberEntries("1")[Prefix+"1"].Value, store.AnyRevision)
			assert.NilError(t, err)
		},
		"replaced by an entry that drains": func(t *testing.T, s store.Store) {
			_, err := s.Put(ctx, Prefix+"1", []byte(`{"name":"1","incarnation":7,"draining":true}`), store.AnyRevision)
			assert.NilError(t, err)
		},
		"removed": func(t *testing.T, s store.Store) { assert.NilError(t, s.Delete(ctx, Prefix+"1", store.AnyRevision)) },
		"removed and created by another start": func(t *testing.T, s store.Store) {
			assert.NilError(t, s.Delete(ctx, Prefix+"1", store.AnyRevision))
			_, err := s.Put(ctx, Prefix+"1", memberEntries("1")[Prefix+"1"].Value, store.CreateOnly)
			assert.NilError(t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := memstore.New()
			f := process(t, s, 7)
			assert.NilError(t, f.Register(ctx))
			handleStored(t, f, s)
			for range 3 {
				damage(t, s)
				handleStored(t, f, s)
				m, exists := entry(t, s)
				for until := time.Now().Add(3 * time.Second); (!exists || m != f.Self()) && time.Now().Before(until); m, exists = entry(t, s) {
					time.Sleep(5 * time.Millisecond)
				}
				assert.Assert(t, exists && m == f.Self(), "exists %v, entry %+v", exists, m)
				handleStored(t, f, s)
			}
		})
	}
}

// Guards against a node whose drain is not registered because the store lost the only write of it.
func TestDrainIsRegisteredAfterALostWrite(t *testing.T) {
	s := &lateStore{Store: memstore.New()}
	ctx := context.Background()
	f := process(t, s, 1)
	assert.NilError(t, f.Register(ctx))
	handleStored(t, f, s)
	s.lose = 1
	assert.ErrorIs(t, f.Drain(ctx), store.ErrUnknown)
	f.mu.Lock()
	f.registration.writtenAt = time.Now().Add(-2 * entrySettleTime)
	f.mu.Unlock()
	m, _ := entry(t, s)
	for until := time.Now().Add(3 * time.Second); !m.Draining && time.Now().Before(until); m, _ = entry(t, s) {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, m.Draining)
}

// Guards against a late removal by a node that has left, which takes the entry of the node's next process, and against a late entry
// of the former after it has left.
func TestLateWritesOfANodeThatHasLeft(t *testing.T) {
	s := &lateStore{Store: memstore.New()}
	ctx := context.Background()
	first := New(s, Member{Name: "1", Incarnation: 1}, &eventlog.Log{})
	assert.NilError(t, first.Register(ctx))
	s.lose = 1
	assert.ErrorIs(t, first.Leave(ctx), store.ErrUnknown)
	second := New(s, Member{Name: "1", Incarnation: 2}, &eventlog.Log{})
	assert.NilError(t, second.Register(ctx))
	assert.Assert(t, errors.Is(s.carryOutLateWrites()[0], store.ErrConflict))
	m, exists := entry(t, s)
	assert.Assert(t, exists && m.Incarnation == 2)
	assert.NilError(t, first.Leave(ctx), "the entry is another process's")
	_, exists = entry(t, s)
	assert.Assert(t, exists)

	s.lose = 1
	assert.ErrorIs(t, second.Drain(ctx), store.ErrUnknown)
	assert.NilError(t, second.Leave(ctx))
	s.carryOutLateWrites()
	assert.NilError(t, second.Register(ctx), "a node that has left does not register")
	_, exists = entry(t, s)
	assert.Assert(t, !exists)
}
