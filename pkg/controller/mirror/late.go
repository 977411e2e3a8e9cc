package mirror

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/keyvalidity"
)

const (
	// otherTimeout bounds a read of another node's copy while the followed node does not answer, and storeReadTimeout one of the store.
	otherTimeout, storeReadTimeout = 100 * time.Millisecond, 500 * time.Millisecond
	// storeReadPause is the least time between two reads of the store because the followed node does not answer; if it goes on not to, the
	// node watches the store itself.
	storeReadPause = 500 * time.Millisecond
)

// FollowedLate is called when the followed node has not answered in time. next would be followed if it were lost; empty if there is none. The
// copies that next keeps up to date too are read there, or in the store if it does not answer either.
func (m *Mirror) FollowedLate(next string) {
	for _, c := range m.copy {
		if c.prefix.SuccessorWatches {
			go m.readElsewhere(c, next)
		}
	}
}

// readElsewhere reads a copy once from next or from the store, unless it is confirmed otherwise meanwhile.
func (m *Mirror) readElsewhere(c *prefixCopy, next string) {
	begun := time.Now()
	c.mu.Lock()
	confirming := c.confirmation.done != nil && begun.Sub(c.confirmation.since) < confirmWait
	if !c.loaded || c.elsewhere || confirming || isClosed(c.watches) {
		c.mu.Unlock()
		return
	}
	c.elsewhere = true
	revision := c.revision
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.elsewhere = false
	}()
	if next != "" {
		ctx, cancel := context.WithTimeout(context.Background(), otherTimeout)
		defer cancel()
		if m.readPeer(ctx, c, next, revision, false) != notRead {
			c.recordReadElsewhere(begun)
			return
		}
	}
	c.mu.Lock()
	answered, readLately := c.followedAt.After(begun), begun.Sub(c.storeReadAt) < storeReadPause
	c.mu.Unlock()
	if !answered && !readLately {
		m.readStore(c)
	}
}

// recordReadElsewhere records that the copy is that of the store, or of a node whose watch works, as of the given time. The copy of the followed node is
// read again once it answers: it may hold other entries that are kept for a while.
func (c *prefixCopy) recordReadElsewhere(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readFrom = source{}
	if at.After(c.followedAt) {
		c.followedAt = at
	}
}

// readStore reads the changes of a prefix from the store with one call, unless this node watches the prefix.
func (m *Mirror) readStore(c *prefixCopy) {
	begun := time.Now()
	c.mu.Lock()
	if isClosed(c.watches) {
		c.mu.Unlock()
		return
	}
	c.storeReadAt = begun
	stalls, revision, objects := c.confirmation.stalls, c.revision, maps.Clone(c.objects)
	for key := range c.vanished {
		delete(objects, key)
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), storeReadTimeout)
	defer cancel()
	revision, asOf, err := m.readChanges(ctx, c.prefix.Name, objects, revision)
	list := slices.Collect(maps.Values(objects))
	if errors.Is(err, store.ErrCompacted) {
		var page store.Page
		page, err = store.ListAll(ctx, m.options.Store, c.prefix.Name)
		list, revision, asOf = page.Objects, page.Revision, page.Begun
	}
	now := time.Now()
	m.options.Log.Notice("store read in place of the followed node", "prefix", c.prefix.Name, "revision", revision, "ms", now.Sub(begun).Milliseconds(), "error", err)
	if err != nil || c.mustWatch() || !c.replace(list, revision, sourceStore, keyvalidity.Known{AsOf: asOf, Changed: revision}, now) {
		return
	}
	c.confirm(stalls)
	c.recordReadElsewhere(begun)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restartOutage(now)
}

// readChanges applies the changes of a prefix after a revision to objects, and returns the revision and the moment up to which they are complete.
func (m *Mirror) readChanges(ctx context.Context, prefix string, objects map[string]store.Object, revision int64) (int64, time.Duration, error) {
	ctx, cancel := context.WithCancel(store.WithSingleSync(ctx))
	defer cancel()
	events, err := m.options.Store.Watch(ctx, prefix, revision)
	if err != nil {
		return 0, 0, err
	}
	for e := range events {
		revision = max(revision, e.Object.Revision)
		switch e.Type {
		case store.EventPut:
			objects[e.Object.Key] = e.Object
		case store.EventDelete:
			delete(objects, e.Object.Key)
		case store.EventSync:
			return revision, e.Begun, nil
		case store.EventGone:
			return 0, 0, store.ErrCompacted
		}
	}
	return 0, 0, store.ErrUnavailable
}
