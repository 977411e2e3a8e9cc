// Package faultstore has a store for tests that counts calls and injects the faults of the object API: outages, answers
// that are lost after a write took effect, and write requests that are lost.
package faultstore

import (
	"context"
	"strings"
	"sync/atomic"

	"trefoilplank.example/pkg/adapter/store"
)

// Fault is the way in which one call fails.
type Fault int

// Faults of a call.
const (
	None Fault = iota
	// Down returns store.ErrUnavailable without making the call.
	Down
	// LoseAnswer applies a write and returns store.ErrUnknown; a read fails with store.ErrUnavailable.
	LoseAnswer
	// LoseRequest returns store.ErrUnknown without applying a write; a read fails with store.ErrUnavailable.
	LoseRequest
)

// Op describes a call that is about to be made. Write is set for Put and Delete.
type Op struct {
	Name  string
	Key   string
	Write bool
}

// Store passes calls on to another store, counts them and injects faults.
type Store struct {
	store.Store
	// Before returns the fault of each call before it is made; nil means no faults. It may block or panic.
	Before func(Op) Fault

	reads, writes, readBytes, writeBytes atomic.Int64
}

// Reads returns the number of Get, List and Watch calls, without those for node leases.
func (s *Store) Reads() int64 { return s.reads.Load() }

// Writes returns the number of Put and Delete calls, without those for node leases.
func (s *Store) Writes() int64 { return s.writes.Load() }

// WriteBytes returns the total size of the values written.
func (s *Store) WriteBytes() int64 { return s.writeBytes.Load() }

// ReadBytes returns the total size of the values read by Get and List.
func (s *Store) ReadBytes() int64 { return s.readBytes.Load() }

// faultOf counts a call and returns the fault that Before decides for it.
func (s *Store) faultOf(name, key string, write bool) Fault {
	// The objects of node leases are not part of batch work, so calls for them are not counted.
	if !strings.HasPrefix(key, "nodes/") {
		if write {
			s.writes.Add(1)
		} else {
			s.reads.Add(1)
		}
	}
	if s.Before == nil {
		return None
	}
	return s.Before(Op{Name: name, Key: key, Write: write})
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	if s.faultOf("get", key, false) != None {
		return store.Object{}, store.ErrUnavailable
	}
	o, err := s.Store.Get(ctx, key)
	s.readBytes.Add(int64(len(o.Value)))
	return o, err
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	if s.faultOf("list", prefix, false) != None {
		return store.Page{}, store.ErrUnavailable
	}
	p, err := s.Store.List(ctx, prefix, after, limit)
	for _, o := range p.Objects {
		s.readBytes.Add(int64(len(o.Value)))
	}
	return p, err
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	if s.faultOf("watch", prefix, false) != None {
		return nil, store.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, from)
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	fault := s.faultOf("put", key, true)
	switch fault {
	case Down:
		return 0, store.ErrUnavailable
	case LoseRequest:
		return 0, store.ErrUnknown
	}
	rev, err := s.Store.Put(ctx, key, value, expect)
	s.writeBytes.Add(int64(len(value)))
	if fault == LoseAnswer {
		return 0, store.ErrUnknown
	}
	return rev, err
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, expect int64) error {
	fault := s.faultOf("delete", key, true)
	switch fault {
	case Down:
		return store.ErrUnavailable
	case LoseRequest:
		return store.ErrUnknown
	}
	err := s.Store.Delete(ctx, key, expect)
	if fault == LoseAnswer {
		return store.ErrUnknown
	}
	return err
}
