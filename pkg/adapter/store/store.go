// Package store defines the interface to the platform's object API and implements its HTTP client.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("store")

// Errors that a Store returns; test with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = Error.New("object not found")
	// ErrConflict means that the condition of a write did not hold; the write was not applied.
	ErrConflict = Error.New("revision conflict")
	// ErrUnavailable means that the store gave no usable answer and the call was not applied.
	ErrUnavailable = Error.New("unavailable")
	// ErrHeldBack means that the call was not sent, since the store is disrupted; it also matches ErrUnavailable. Sending the call again at once
	// would not help.
	ErrHeldBack = Error.New("store is disrupted, call not sent")
	// ErrUnknown means that the answer to a write is missing, so it may or may not have been applied.
	ErrUnknown = Error.New("outcome unknown")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = Error.New("value too large")
	// ErrCompacted means that a watch would start before the oldest revision that the store keeps.
	ErrCompacted = Error.New("revision compacted")
)

// MaxValueBytes is the size of the largest value that the object API accepts.
const MaxValueBytes = 1 << 20

// Special values of the expect argument of writes; a positive value is the object revision that must be current.
const (
	// CreateOnly applies the write only if the object does not exist.
	CreateOnly int64 = 0
	// AnyRevision applies the write without a condition.
	AnyRevision int64 = -1
)

// Object is a stored value. Revision is the store revision of its last write.
type Object struct {
	Key      string
	Value    []byte
	Revision int64
}

// Page is one answer to List, ordered by key.
type Page struct {
	Objects []Object
	// Next is the key to pass as after for the next page; empty on the last page.
	Next string
	// Revision is the store revision that the page was read at.
	Revision int64
	// Begun is when the call that read the page was begun, by package boottime; 0 if the page may be older than that.
	Begun time.Duration
}

// EventType says what a watch event reports.
type EventType string

// Event types.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
	// EventSync carries only a revision up to which the watch is complete.
	EventSync EventType = "sync"
	// EventGone reports that the changes after the last reported revision are no longer available; the watch ends with
	// it.
	EventGone EventType = "gone"
)

// Event is one change below a watched prefix, or a report on the watch itself.
type Event struct {
	Type   EventType
	Object Object
	// Begun is set in an EventSync if the watch is known to be complete up to a moment: the one at which the call that showed so was
	// begun, by package boottime.
	Begun time.Duration
}

// Store is the object API. All methods may block for as long as ctx allows.
type Store interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns up to limit objects below prefix with keys above after.
	List(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Put writes value if the object's revision equals expect, and returns the new revision.
	Put(ctx context.Context, key string, value []byte, expect int64) (int64, error)
	// Delete removes the object if its revision equals expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Watch sends the changes below prefix after revision from, in order. The channel closes when the
	// watch breaks or ctx ends; the caller resumes from the last revision seen.
	Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error)
}
