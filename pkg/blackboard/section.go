// Package blackboard is the typed in-process store of observations that controllers read and write.
package blackboard

import "sync"

// Section holds one value with a revision that grows by one at each write. The value must not be changed
// in place after it was set, since readers share it.
type Section[T any] struct {
	mu       sync.Mutex
	value    T
	revision int64
	changed  chan struct{}
}

// Get returns the value and its revision; revision 0 means that it was never set.
func (s *Section[T]) Get() (T, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.revision
}

// Value returns the value alone.
func (s *Section[T]) Value() T {
	v, _ := s.Get()
	return v
}

// Set replaces the value and returns the new revision.
func (s *Section[T]) Set(v T) int64 {
	return s.Update(func(T) T { return v })
}

// Update replaces the value by f of it and returns the new revision. f must not call the section.
func (s *Section[T]) Update(f func(T) T) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = f(s.value)
	s.revision++
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return s.revision
}

// closed is what Changed returns for a change that already happened.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Changed returns a channel that is closed once the revision is above after.
func (s *Section[T]) Changed(after int64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision > after {
		return closed
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
