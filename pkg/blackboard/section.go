// Package blackboard is a typed in-process store of observations, through which the controllers of a node exchange what
// they know.
package blackboard

import "sync"

// Section holds one value with a revision that grows by one at each write. A value must not be modified after it was
// set, since readers share it.
type Section[T any] struct {
	mu       sync.Mutex
	value    T
	revision int64
	// changed is closed at the next write; nil when nobody waits for it.
	changed chan struct{}
}

// Get returns the value and its revision; revision 0 means that it was never set.
func (s *Section[T]) Get() (T, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.revision
}

// Value returns the value without its revision.
func (s *Section[T]) Value() T {
	v, _ := s.Get()
	return v
}

// Set replaces the value and returns the new revision.
func (s *Section[T]) Set(v T) int64 {
	return s.Update(func(T) T { return v })
}

// Update replaces the value with the result of f and returns the new revision. f must not call the section's methods.
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

// closedChannel is the channel that Changed returns when the change has already happened.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Changed returns a channel that is closed once the revision is above after.
func (s *Section[T]) Changed(after int64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision > after {
		return closedChannel
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
