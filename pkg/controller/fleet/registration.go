package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/wait"
)

const (
	// registerRetry is the time between attempts to register; up to half of it is added at random.
	registerRetry = 300 * time.Millisecond
	// entryCheckInterval is the time between comparisons of the node's entry with its state. entrySettleTime is how long after a
	// write this node's copy of the entries may lack it: a copy that follows the hub's is read every idle exchange, and later while the hub
	// changes.
	entryCheckInterval, entrySettleTime = time.Second, 5 * time.Second
	// maxEntryConflicts limits the writes of one attempt that meet another entry than expected.
	maxEntryConflicts = 4
)

// registration is the state of the node's own entry. The store may carry out a write whose answer was lost seconds later, after
// the process that sent it has ended. So each write of the entry names the revision that it replaces, and the entry is
// compared with this process for as long as it runs: whatever write replaces or removes it is undone.
type registration struct {
	// wanted is set once the entry was written, and left once the node leaves the fleet: nothing is written from then on.
	wanted, left bool
	// revision is that of the entry as this node last wrote or read it, 0 if there was none. writtenAt is when it last wrote it.
	revision  int64
	writtenAt time.Time
	// seen is the highest revision of the entry in this node's copy so far.
	seen int64
	// changed is signalled when the entry may not be as it should.
	changed chan struct{}
}

func newRegistration() registration { return registration{changed: make(chan struct{}, 1)} }

// errLeft means that the node has left the fleet, and its entry is no longer written.
var errLeft = store.Error.New("node has left the fleet")

// observeOwnEntry signals that the entry in this node's copy must be written again. f.mu must be held.
func (f *Fleet) observeOwnEntry() {
	r := &f.registration
	revision, exists := f.revisions[f.self.Name]
	r.seen = max(r.seen, revision)
	if exists && revision > r.revision || !exists && r.revision > 0 {
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
}

// entryOutdated reports whether the entry in this node's copy is not that of this process in its present state.
func (f *Fleet) entryOutdated(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &f.registration
	if !r.wanted || r.left || f.knownSince.IsZero() {
		return false
	}
	entry, exists := f.members[f.self.Name]
	if exists && entry.Incarnation == f.self.Incarnation && entry.Draining == f.self.Draining && entry.Challenged == 0 {
		return false
	}
	// A copy that may be older than the last write shows nothing.
	newer := exists && f.revisions[f.self.Name] > r.revision || !exists && r.seen >= r.revision
	return newer || now.Sub(r.writtenAt) > entrySettleTime
}

// Register writes the node's entry, with retries until it succeeds or ctx ends.
func (f *Fleet) Register(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.writeEntry(ctx)
		if err == nil {
			f.log.Notice("node registered", "incarnation", f.Self().Incarnation)
			return nil
		}
		if errors.Is(err, errLeft) {
			return nil
		}
		f.log.Notice("node not registered yet", "error", err)
		_ = wait.Sleep(ctx, registerRetry+rand.N(registerRetry/2))
	}
	return ctx.Err()
}

// KeepRegistered writes the node's entry again whenever it was removed or replaced, until ctx ends. Other nodes remove the entry of a
// node that is unresponsive for long, although it may only have been disconnected; late writes of earlier processes of the
// node, or of this one, replace it.
func (f *Fleet) KeepRegistered(ctx context.Context) error {
	check := time.NewTicker(entryCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.registration.changed:
		case <-check.C:
		}
		if !f.entryOutdated(time.Now()) {
			continue
		}
		f.logOutdatedEntry()
		if err := f.Register(ctx); err != nil {
			return err
		}
	}
}

func (f *Fleet) logOutdatedEntry() {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, exists := f.members[f.self.Name]
	f.log.Notice("own entry was removed or replaced", "incarnation", f.self.Incarnation, "exists", exists, "entry_incarnation", entry.Incarnation,
		"entry_draining", entry.Draining, "revision", f.revisions[f.self.Name])
}

// writeEntry makes the node's entry that of this process in its present state. Each write replaces the entry that this node knows, so
// that one that is carried out late replaces no later entry; if there is another one, it is read and replaced.
func (f *Fleet) writeEntry(ctx context.Context) error {
	var err error
	for range maxEntryConflicts {
		f.mu.Lock()
		self, left := f.self, f.registration.left
		revision := max(f.registration.revision, f.revisions[self.Name])
		f.mu.Unlock()
		if left {
			return errLeft
		}
		value, encodeErr := json.Marshal(self)
		if encodeErr != nil {
			return encodeErr
		}
		if revision, err = f.store.Put(ctx, Prefix+self.Name, value, revision); err == nil {
			f.entryWritten(revision)
			return nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		o, readErr := f.readOwnEntry(ctx)
		if readErr != nil {
			return readErr
		}
		if bytes.Equal(o.Value, value) {
			f.entryWritten(o.Revision)
			return nil
		}
	}
	return err
}

// readOwnEntry reads the node's entry, and keeps its revision for the next write. The object is empty if there is none.
func (f *Fleet) readOwnEntry(ctx context.Context) (store.Object, error) {
	name := f.Self().Name
	o, err := f.store.Get(store.WithFresh(ctx), Prefix+name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return store.Object{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registration.revision = o.Revision
	if o.Revision == 0 {
		delete(f.revisions, name) // The copy is older than the removal.
	}
	return o, nil
}

func (f *Fleet) entryWritten(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &f.registration
	r.wanted, r.revision, r.writtenAt = true, revision, time.Now()
}

// Drain marks the node as one that accepts no new callers and writes its entry. If that fails, KeepRegistered repeats it.
func (f *Fleet) Drain(ctx context.Context) error {
	f.mu.Lock()
	f.self.Draining = true
	f.mu.Unlock()
	return f.writeEntry(ctx)
}

// Leave deletes the node's entry, but not that of another process of the node.
func (f *Fleet) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.registration.left = true
	self, revision := f.self, max(f.registration.revision, f.revisions[f.self.Name])
	f.mu.Unlock()
	var err error
	for range maxEntryConflicts {
		if revision > 0 {
			err = f.store.Delete(ctx, Prefix+self.Name, revision)
			if err == nil || errors.Is(err, store.ErrNotFound) {
				return nil
			}
			if !errors.Is(err, store.ErrConflict) {
				return err
			}
		}
		o, readErr := f.readOwnEntry(ctx)
		if readErr != nil {
			return readErr
		}
		var entry Member
		if json.Unmarshal(o.Value, &entry) != nil || entry.Incarnation != self.Incarnation {
			return nil // There is none, or it is another process's.
		}
		revision = o.Revision
	}
	return err
}
