package listjob

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// acceptWithin is how long accepting a job may take on both deployments.
const acceptWithin = 400 * time.Millisecond

// faultyStore delays writes, loses the answer to the first write of each object, or fails writes of items.
type faultyStore struct {
	store.Store
	mu          sync.Mutex
	delay       time.Duration
	loseFirst   bool
	refuseItems bool
	seen        map[string]bool
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	s.mu.Lock()
	delay, lose := s.delay, s.loseFirst && !s.seen[key]
	refuse := s.refuseItems && strings.HasPrefix(key, itemsKind)
	if s.seen == nil {
		s.seen = map[string]bool{}
	}
	s.seen[key] = true
	s.mu.Unlock()
	time.Sleep(delay)
	if refuse {
		return 0, store.ErrUnavailable
	}
	at, err := s.Store.Put(ctx, key, value, revision)
	if lose {
		<-ctx.Done()
		return 0, store.ErrUnknown
	}
	return at, err
}

func (s *faultyStore) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// Guards against jobs that are refused or accepted too late because the store lost the answer to a write that
// succeeded.
func TestJobIsAcceptedWhenAnswersAreLost(t *testing.T) {
	s := &faultyStore{Store: memstore.New(), loseFirst: true}
	net, e := newNetwork(), newEngine(t, 3, time.Millisecond)
	a := net.addNode(t, s, e, "a")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	begun := time.Now()
	assert.NilError(t, a.Accept(ctx, submission("j", 2)))
	assert.Assert(t, time.Since(begun) < acceptWithin, "%v", time.Since(begun))
	assert.Assert(t, a.ownedJob("j") != nil)
	cancel()
	s.withLock(func() { s.loseFirst = false })
	checkResults(t, e, readAll(t, a.Controller, "j", 20*time.Second))
}

// Guards against jobs that are accepted too late while each write takes 0.3 s: two writes in sequence would.
func TestJobIsAcceptedInTimeWhileTheStoreIsSlow(t *testing.T) {
	s := &faultyStore{Store: memstore.New()}
	net, e := newNetwork(), newEngine(t, 3, time.Millisecond)
	a := net.addNode(t, s, e, "a")
	s.withLock(func() { s.delay = 300 * time.Millisecond })
	assert.NilError(t, a.Accept(context.Background(), submission("first", 1))) // This call makes the controller see that the store is slow.
	begun := time.Now()
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	assert.Assert(t, time.Since(begun) < acceptWithin, "%v", time.Since(begun))
	checkResults(t, e, readAll(t, a.Controller, "j", 20*time.Second))
}

// Guards against confirming a job whose items are not stored, and against refusing a job whose head is stored.
func TestHeadWithoutItemsIsNotConfirmed(t *testing.T) {
	s := &faultyStore{Store: memstore.New()}
	net, e := newNetwork(), newEngine(t, 3, time.Millisecond)
	a := net.addNode(t, s, e, "a")
	s.withLock(func() { s.delay = 2 * slowCall })
	assert.NilError(t, a.Accept(context.Background(), submission("first", 1)))
	s.withLock(func() { s.refuseItems = true })
	ctx, cancel := context.WithTimeout(context.Background(), acceptWithin)
	defer cancel()
	assert.ErrorIs(t, a.Accept(ctx, submission("j", 2)), ErrUnknown)
	assert.ErrorIs(t, a.Accept(ctx, submission("j", 2)), ErrUnknown) // The sender submits the job again.
	s.withLock(func() { s.refuseItems = false })
	checkResults(t, e, readAll(t, a.Controller, "j", 20*time.Second))
	items, err := store.ListAll(context.Background(), s.Store, itemsKind)
	assert.NilError(t, err)
	for until := time.Now().Add(5 * time.Second); len(items.Objects) < 2 && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		items, err = store.ListAll(context.Background(), s.Store, itemsKind)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(items.Objects), 2)
}
