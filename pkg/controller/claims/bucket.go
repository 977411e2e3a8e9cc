package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/store"
)

const (
	// keep is how long a claim stays, as the contract with callers has it.
	keep = 24 * time.Hour
	// commitTimeout bounds the store calls for one group of claims. A caller is told not-run after that.
	commitTimeout = 1500 * time.Millisecond
	// storeTries bounds the attempts of one group; conflicts with a second owner and lost answers need a few.
	storeTries = 6
	// retryDelay is the mean delay between two attempts.
	retryDelay = 10 * time.Millisecond
	// undoDelay is the time from a failed commit to the first attempt to withdraw its claims, which doubles up to
	// maxUndoDelay during a store outage.
	undoDelay    = 200 * time.Millisecond
	maxUndoDelay = 30 * time.Second
	// maxOpen is the number of claims in the head of a bucket above which they are moved to a segment. A claim writes
	// half of them again on average, about 2 KB.
	maxOpen = 32
	// maxGroup bounds the claims of one commit; with about 130 bytes each they stay far below the store's 1 MB.
	maxGroup = 1000
)

// entry is one claim. Without a request it says that the claims of the key before it were withdrawn.
type entry struct {
	Request string `json:"r"`
	Digest  string `json:"d"`
	// At is the unix time in seconds.
	At int64 `json:"t"`
}

// operation is one change of a bucket that waits for the next commit.
type operation struct {
	key    string
	entry  entry
	undo   bool
	result Result
	done   chan struct{}
}

// bucket is a range of claims on the node that serves it. The head object in the store is what counts, and each claim
// is a conditional update of it; the fields are a copy that the condition of each write checks.
type bucket struct {
	name  string
	store store.Store
	now   func() time.Time
	limit int

	mu      sync.Mutex
	pending []*operation
	running bool
	// undoPlanned is set while an attempt to clear undone is planned, and undoAfter is its delay.
	undoPlanned bool
	undoAfter   time.Duration

	// The fields below belong to the committing goroutine.

	// undone holds the keys of requests that never ran although their claim may be in the store, or may reach it
	// late. The next successful write removes the claim, and its new revision makes a late one fail.
	undone   map[string]string
	loaded   bool
	head     head
	revision int64
	// closed holds the newest claim of each key in the segments, which end with head.Last.
	closed   map[string]entry
	segments []segmentRef
	purged   time.Time
}

// submit hands an operation to the next group and waits for its result.
func (b *bucket) submit(o *operation) Result {
	o.done = make(chan struct{})
	b.mu.Lock()
	b.pending = append(b.pending, o)
	if !b.running {
		b.running = true
		go b.commitAll()
	}
	b.mu.Unlock()
	<-o.done
	return o.result
}

// commitAll commits one group after the other until none waits.
func (b *bucket) commitAll() {
	for {
		b.mu.Lock()
		group := b.pending[:min(len(b.pending), maxGroup)]
		b.pending = b.pending[len(group):]
		if len(group) == 0 {
			b.running = false
			b.planUndo()
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		b.commit(group)
		for _, o := range group {
			close(o.done)
		}
	}
}

// planUndo plans an attempt to clear undone, unless one is planned; b.mu is held. Without it a claim whose write was
// late stays for as long as no other claim of the bucket comes to this node.
func (b *bucket) planUndo() {
	switch {
	case len(b.undone) == 0:
		b.undoAfter = 0
	case !b.undoPlanned:
		b.undoPlanned = true
		b.undoAfter = min(max(2*b.undoAfter, undoDelay), maxUndoDelay)
		time.AfterFunc(b.undoAfter, b.retryUndo)
	}
}

// retryUndo withdraws the claims of undone. A commit under way does that too and plans the next attempt at its end.
func (b *bucket) retryUndo() {
	b.mu.Lock()
	b.undoPlanned = false
	if b.running {
		b.mu.Unlock()
		return
	}
	b.running = true
	b.mu.Unlock()
	if len(b.undone) > 0 {
		b.commit(nil)
	}
	b.commitAll()
}

// commit writes a group with one conditional update. After a conflict or a lost answer it reads the object back
// and applies the group again: a claim that is already there for the same request is granted without a write.
func (b *bucket) commit(group []*operation) {
	ctx, stop := context.WithTimeout(context.Background(), commitTimeout)
	defer stop()
	failed := false
	for try := range storeTries {
		if failed && !pause(ctx) {
			break
		}
		if !b.loaded && b.load(ctx) != nil {
			failed = true
			continue
		}
		next, changed := b.apply(group)
		// A write whose answer was lost may still take effect. The new revision of any write makes it fail.
		if changed || len(b.undone) > 0 {
			if b.commitHead(ctx, next) != nil {
				b.loaded, failed = false, true
				continue
			}
		} else if stale(group) && try == 0 {
			// The copy may be older than a claim, or its removal, by another writer.
			b.loaded = false
			continue
		}
		return
	}
	for _, o := range group {
		o.result = Unavailable
		b.undone[o.entry.Request] = o.key
		if o.undo {
			b.undone[second(o.entry.Request)] = o.key
		}
	}
}

// second is the name under which the serving node claims for a request after the owner gave no answer. The owner
// may still remove the claim that it wrote under the request's own name.
func second(request string) string { return request + "/2" }

// stale reports whether a result that needed no write must be taken from the store and not from the copy.
func stale(group []*operation) bool {
	for _, o := range group {
		if o.undo || o.result == Held || o.result == OtherBody {
			return true
		}
	}
	return false
}

func pause(ctx context.Context) bool {
	select {
	case <-time.After(retryDelay/2 + rand.N(retryDelay)):
		return true
	case <-ctx.Done():
		return false
	}
}

// find returns the claim of a key that holds, given the open claims.
func (b *bucket) find(open map[string]entry, key string, oldest int64) (entry, bool) {
	e, ok := open[key]
	if !ok {
		e, ok = b.closed[key]
	}
	return e, ok && e.Request != "" && e.At >= oldest
}

// withdraw removes the claim of a key. One in a segment is outweighed by an entry without a request.
func (b *bucket) withdraw(open map[string]entry, key string) {
	if e, ok := b.closed[key]; ok && e.Request != "" {
		open[key] = entry{At: b.now().Unix()}
		return
	}
	delete(open, key)
}

// apply returns the open claims after the group, and whether they differ from those in the store.
func (b *bucket) apply(group []*operation) (map[string]entry, bool) {
	next, changed := make(map[string]entry, len(b.head.Entries)+len(group)), false
	oldest := b.now().Add(-keep).Unix()
	for key, e := range b.head.Entries {
		if e.At >= oldest {
			next[key] = e
		}
	}
	for request, key := range b.undone {
		if e, ok := b.find(next, key, oldest); ok && e.Request == request {
			b.withdraw(next, key)
			changed = true
		}
	}
	for _, o := range group {
		changed = b.applyOne(next, o, oldest) || changed
	}
	return next, changed
}

// applyOne sets the result of an operation and reports whether it changed the open claims.
func (b *bucket) applyOne(open map[string]entry, o *operation, oldest int64) bool {
	e, ok := b.find(open, o.key, oldest)
	switch {
	case o.undo:
		o.result = Granted
		if !ok || e.Request != o.entry.Request && e.Request != second(o.entry.Request) {
			return false
		}
		b.withdraw(open, o.key)
		return true
	case ok && e.Digest != o.entry.Digest:
		o.result = OtherBody
	case ok && e.Request == o.entry.Request:
		o.result = Granted
	case ok && second(e.Request) != o.entry.Request:
		o.result = Held
	default:
		o.result = Granted
		open[o.key] = o.entry
		return true
	}
	return false
}
