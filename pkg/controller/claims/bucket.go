package claims

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
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
)

// entry is one claim in a bucket object.
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

// bucket is one object of claims on the node that serves it. The object in the store is what counts; entries is
// a copy that the condition of each write checks.
type bucket struct {
	name  string
	store store.Store
	now   func() time.Time

	mu      sync.Mutex
	pending []*operation
	running bool

	// The fields below belong to the committing goroutine.

	// undone holds requests that never ran although their claim may be in the store, or may reach it late. The
	// next successful write removes the claim, and its new revision makes a late one fail.
	undone   map[string]bool
	loaded   bool
	entries  map[string]entry
	revision int64
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
		group := b.pending
		b.pending = nil
		if len(group) == 0 {
			b.running = false
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
		if changed {
			if b.write(ctx, next) != nil {
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
		b.undone[o.entry.Request] = true
		if o.undo {
			b.undone[second(o.entry.Request)] = true
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

func (b *bucket) load(ctx context.Context) error {
	o, err := b.store.Get(ctx, b.name)
	if errors.Is(err, store.ErrNotFound) {
		b.entries, b.revision, b.loaded = map[string]entry{}, store.CreateOnly, true
		return nil
	}
	if err != nil {
		return err
	}
	entries := map[string]entry{}
	if err := json.Unmarshal(o.Value, &entries); err != nil {
		return Error.Wrap(err)
	}
	b.entries, b.revision, b.loaded = entries, o.Revision, true
	return nil
}

// apply returns the entries after the group, and whether they differ from those in the store.
func (b *bucket) apply(group []*operation) (map[string]entry, bool) {
	next, changed := maps.Clone(b.entries), false
	oldest := b.now().Add(-keep).Unix()
	for key, e := range next {
		if b.undone[e.Request] {
			delete(next, key)
			changed = true
		} else if e.At < oldest {
			delete(next, key)
		}
	}
	for _, o := range group {
		e, ok := next[o.key]
		switch {
		case o.undo:
			if o.result = Granted; ok && (e.Request == o.entry.Request || e.Request == second(o.entry.Request)) {
				delete(next, o.key)
				changed = true
			}
		case ok && e.Digest != o.entry.Digest:
			o.result = OtherBody
		case ok && second(e.Request) == o.entry.Request:
			o.result = Granted
			next[o.key] = o.entry
			changed = true
		case ok && e.Request != o.entry.Request:
			o.result = Held
		default:
			o.result = Granted
			if !ok {
				next[o.key] = o.entry
				changed = true
			}
		}
	}
	return next, changed
}

func (b *bucket) write(ctx context.Context, next map[string]entry) error {
	value, err := json.Marshal(next)
	if err != nil {
		return Error.Wrap(err)
	}
	revision, err := b.store.Put(ctx, b.name, value, b.revision)
	if err != nil {
		return err
	}
	b.entries, b.revision = next, revision
	clear(b.undone)
	return nil
}
