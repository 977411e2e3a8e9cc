package batch

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/jobstate"
)

// Times of the observation of other nodes' leases.
const (
	// leaseTime is how long a lease lasts after its last renewal.
	leaseTime = 30 * time.Second
	// clockError bounds the difference in rate between two nodes' clocks over leaseTime, with a large margin.
	clockError = 2 * time.Second
	// leaseRecheck is the least time between two reads of one lease.
	leaseRecheck = 5 * time.Second
)

// leaseReader decides from the store whether another node's lease is over. It needs no common clock: a lease is
// over when its object did not change for the whole lease time on the own monotonic clock.
type leaseReader struct {
	store  store.Store
	number func([]byte) (int64, error)

	mu   sync.Mutex
	seen map[string]leaseSeen
}

type leaseSeen struct {
	revision, number int64
	// since is when this revision was first seen, read when it was last read.
	since, read time.Time
	absent      bool
}

func newLeaseReader(s store.Store, number func([]byte) (int64, error)) *leaseReader {
	return &leaseReader{store: s, number: number, seen: map[string]leaseSeen{}}
}

// leaseNumber reads the number of a lease object.
func leaseNumber(value []byte) (int64, error) {
	var l struct {
		Number int64 `json:"number"`
	}
	err := json.Unmarshal(value, &l)
	return l.Number, err
}

// over reports whether h's lease has expired, was removed, or has a larger number. In doubt it is not over.
func (l *leaseReader) over(ctx context.Context, h jobstate.Holder) bool {
	now := time.Now()
	l.mu.Lock()
	s, known := l.seen[h.Node]
	l.mu.Unlock()
	if !known || now.Sub(s.read) >= leaseRecheck {
		var ok bool
		if s, ok = l.refresh(ctx, h.Node, now); !ok {
			return false
		}
	}
	return s.absent || s.number > h.Lease || s.read.Sub(s.since) >= leaseTime+clockError
}

func (l *leaseReader) refresh(ctx context.Context, node string, now time.Time) (leaseSeen, bool) {
	s := leaseSeen{since: now, read: now}
	o, err := l.store.Get(ctx, "nodes/"+node)
	switch {
	case errors.Is(err, store.ErrNotFound):
		s.absent = true
	case err != nil:
		return s, false
	default:
		s.revision = o.Revision
		if s.number, err = l.number(o.Value); err != nil {
			return s, false
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.seen[node]; ok && old.revision == s.revision && !s.absent {
		s.since = old.since
	}
	l.seen[node] = s
	return s, true
}

// lost decides whether a part's holder no longer has it. A live member is asked for in the store too, but only
// when the part is looked at, which the caller's read budget bounds.
func (c *Controller) lost(ctx context.Context, h jobstate.Holder) bool {
	if h.Node == c.Node {
		// An earlier run of this node; the caller never asks for a part that it holds now.
		return true
	}
	return c.leases.over(ctx, h)
}
