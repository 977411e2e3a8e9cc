// Package memstore implements store.Store in memory, for tests and for the object API stand-in.
package memstore

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"

	"trefoilplank.example/pkg/adapter/store"
)

// historyLimit is the number of events kept for watches that resume; beyond it the older half is dropped.
const historyLimit = 100_000

// Store is an in-memory store.Store with its revision history.
type Store struct {
	mu       sync.Mutex
	objects  map[string]store.Object
	revision int64
	// history holds the events with revisions above compacted, in order.
	history   []store.Event
	compacted int64
	// changed is closed and replaced at each write.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]store.Object{}, changed: make(chan struct{})}
}

var _ store.Store = (*Store)(nil)

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

// List implements store.Store.
func (s *Store) List(_ context.Context, prefix, after string, limit int) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.objects {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := store.Page{Revision: s.revision}
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
		page.Next = keys[limit-1]
	}
	for _, k := range keys {
		page.Objects = append(page.Objects, s.objects[k])
	}
	return page, nil
}

// Put implements store.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, expect int64) (int64, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conditionHolds(key, expect) {
		return 0, store.ErrConflict
	}
	s.revision++
	o := store.Object{Key: key, Value: bytes.Clone(value), Revision: s.revision}
	s.objects[key] = o
	s.recordEvent(store.Event{Type: store.EventPut, Object: o})
	return s.revision, nil
}

// Delete implements store.Store.
func (s *Store) Delete(_ context.Context, key string, expect int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[key]; !ok {
		return store.ErrNotFound
	}
	if !s.conditionHolds(key, expect) {
		return store.ErrConflict
	}
	s.revision++
	delete(s.objects, key)
	s.recordEvent(store.Event{Type: store.EventDelete, Object: store.Object{Key: key, Revision: s.revision}})
	return nil
}

// conditionHolds reports whether the condition expect holds for key.
func (s *Store) conditionHolds(key string, expect int64) bool {
	return expect == store.AnyRevision || s.objects[key].Revision == expect
}

// recordEvent appends an event to the history, compacts it above historyLimit and wakes the watches. It needs s.mu.
func (s *Store) recordEvent(e store.Event) {
	s.history = append(s.history, e)
	if len(s.history) > historyLimit {
		drop := len(s.history) / 2
		s.compacted = s.history[drop-1].Object.Revision
		s.history = append([]store.Event(nil), s.history[drop:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	s.mu.Lock()
	compacted := s.compacted
	s.mu.Unlock()
	if from < compacted {
		return nil, store.ErrCompacted
	}
	events := make(chan store.Event)
	go func() {
		defer close(events)
		for {
			batch, changed, next, ok := s.eventsSince(prefix, from)
			if !ok {
				return
			}
			for _, e := range batch {
				select {
				case events <- e:
				case <-ctx.Done():
					return
				}
			}
			from = next
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return events, nil
}

// eventsSince returns the events below prefix after from, a channel that is closed at the next change, and the revision
// that the events reach up to. It returns false when from was compacted.
func (s *Store) eventsSince(prefix string, from int64) ([]store.Event, <-chan struct{}, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.compacted {
		return nil, nil, 0, false
	}
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].Object.Revision > from })
	var batch []store.Event
	for _, e := range s.history[start:] {
		if strings.HasPrefix(e.Object.Key, prefix) {
			batch = append(batch, e)
		}
	}
	return batch, s.changed, s.revision, true
}

// Revision returns the revision of the last write.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}
