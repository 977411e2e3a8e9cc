package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/keyvalidity"
	"trefoilplank.example/pkg/wait"
)

const (
	// oldInterval is how often a node looks for copies above MaxAge, and oldReadPause the time between two reads of the store for one.
	oldInterval, oldReadPause = 100 * time.Millisecond, 500 * time.Millisecond
	// oldListTimeout bounds a list of the store for a copy above MaxAge. The usual call waits 1.2 s, three times: one that was begun just before
	// the store returned would keep the copy old for that long.
	oldListTimeout = 700 * time.Millisecond
	// oldRetryMax bounds the time between attempts to watch a prefix whose copy is above MaxAge: with a call that was begun just before the
	// store returned, and times out after 0.7 s, the copy is confirmed within 1.5 s.
	oldRetryMax = 350 * time.Millisecond
)

// Ages returns the ages of the copies whose age is kept, by prefix; nil if there are none. A copy whose age is not known is listed too, which
// shows others that this build keeps ages.
func (m *Mirror) Ages() map[string]keyvalidity.Age {
	var all map[string]keyvalidity.Age
	for name, c := range m.copy {
		if c.prefix.InForce == nil {
			continue
		}
		if all == nil {
			all = map[string]keyvalidity.Age{}
		}
		c.mu.Lock()
		all[name] = *m.ageOf(c)
		c.mu.Unlock()
	}
	return all
}

// ageOf returns the age of a copy, or nil if it is not kept. c.mu is held.
func (m *Mirror) ageOf(c *prefixCopy) *keyvalidity.Age {
	if c.prefix.InForce == nil {
		return nil
	}
	age := keyvalidity.AgeOf(c.known.Known(), m.options.Now())
	return &age
}

// ApplyAges records the ages of the hub's copies, from an answer to a call that this node began at the given moment. An answer of an earlier
// build has none; this node then watches these prefixes itself.
func (m *Mirror) ApplyAges(begun time.Duration, ages map[string]keyvalidity.Age) {
	m.mu.Lock()
	m.agesMissing = ages == nil
	m.mu.Unlock()
	for name, age := range ages {
		c := m.copy[name]
		if c == nil {
			continue
		}
		complete := m.confirmAge(c, &age, begun)
		c.mu.Lock()
		c.lacksFollowed = !complete
		c.mu.Unlock()
	}
}

// confirmAge records the age of another node's copy, from an answer to a call that was begun at the given moment. It returns false if this copy
// lacks changes that the other one holds.
func (m *Mirror) confirmAge(c *prefixCopy, age *keyvalidity.Age, begun time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := knownFrom(age, begun)
	return c.confirmKnown(known) || !c.loaded || known.AsOf <= 0
}

func knownFrom(age *keyvalidity.Age, begun time.Duration) keyvalidity.Known {
	if age == nil {
		return keyvalidity.Known{}
	}
	return keyvalidity.KnownFrom(*age, begun)
}

// confirmKnown records what is known of the copy and reports whether the copy holds all that was counted on. c.mu is held.
func (c *prefixCopy) confirmKnown(known keyvalidity.Known) bool {
	if c.prefix.InForce == nil || !c.loaded {
		return false
	}
	confirmed := c.known.Confirm(known, c.revision, c.content)
	c.inForceUpTo.Store(int64(c.known.InForceUpTo()))
	return confirmed
}

// confirmSync records that all events have been applied that a call has shown, which was begun at the given moment. c.mu is held.
func (c *prefixCopy) confirmSync(begun time.Duration) {
	if c.deleted {
		c.lastChange, c.deleted = c.revision, false
	}
	c.confirmKnown(keyvalidity.Known{AsOf: begun, Changed: c.lastChange})
}

// supersedes reports whether the copy holds a newer version of an event's object: it may have been read from a peer since the watch
// was begun. Otherwise it notes the change. c.mu is held.
func (c *prefixCopy) supersedes(e store.Event) bool {
	if c.prefix.InForce == nil || e.Type != store.EventPut && e.Type != store.EventDelete {
		return false
	}
	if o, ok := c.objects[e.Object.Key]; ok && o.Revision > e.Object.Revision {
		return true
	}
	c.lastChange = max(c.lastChange, e.Object.Revision)
	c.deleted = c.deleted || e.Type == store.EventDelete
	return false
}

// recordPassed records that Handle has been called with a content that was known as of a moment.
func (c *prefixCopy) recordPassed(content int64, asOf time.Duration) {
	if c.prefix.InForce == nil {
		return
	}
	inForce := c.prefix.InForce()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known.Passed(content, asOf, inForce, c.content)
	c.inForceUpTo.Store(int64(c.known.InForceUpTo()))
}

// InForceAge returns the time since the objects of a prefix that are in force were last known to be the store's newest. The age must be kept.
func (m *Mirror) InForceAge(prefix string) time.Duration {
	return keyvalidity.AgeAt(time.Duration(m.copy[prefix].inForceUpTo.Load()), m.options.Now())
}

// isOld reports whether the age of a copy is kept and above MaxAge.
func (m *Mirror) isOld(c *prefixCopy) bool {
	return c.prefix.InForce != nil && m.InForceAge(c.prefix.Name) > c.prefix.MaxAge
}

// list reads a prefix in full from the store.
func (m *Mirror) list(ctx context.Context, c *prefixCopy) (store.Page, error) {
	c.mu.Lock()
	loaded := c.loaded
	c.mu.Unlock()
	if loaded && m.isOld(c) {
		// A shared call may have been begun long ago.
		short, cancel := context.WithTimeout(store.WithFresh(ctx), oldListTimeout)
		defer cancel()
		ctx = short
	}
	return store.ListAll(ctx, m.options.Store, c.prefix.Name)
}

// confirmOld reads a copy above MaxAge from the store while this node does not watch it itself, until ctx ends: the node that it follows may have
// no way to the store, or not have run.
func (m *Mirror) confirmOld(ctx context.Context, c *prefixCopy) {
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, oldInterval)
		c.mu.Lock()
		follows := c.loaded && !isClosed(c.watches)
		c.mu.Unlock()
		if follows && m.isOld(c) {
			m.readStore(c)
			_ = wait.Sleep(ctx, oldReadPause+rand.N(oldReadPause/2))
		}
	}
}
