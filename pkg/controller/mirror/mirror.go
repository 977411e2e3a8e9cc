// Package mirror keeps copies of parts of the store in memory. A node whose own watch of the store is broken reads them
// from a peer whose watch works; while no node's watch works, the last copy is used.
package mirror

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/boottime"
	"trefoilplank.example/pkg/decision/keyvalidity"
	"trefoilplank.example/pkg/decision/outage"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/pkg/wait"
)

const (
	// retryMin and retryMax bound the time between attempts to watch, so that a store that returns is noticed within half
	// a second and a store that is down is not flooded.
	retryMin, retryMax = 50 * time.Millisecond, 500 * time.Millisecond
	// peerReadAfter is how long this node's watch is broken before it reads from peers, and peerReadInterval is the time
	// between two such reads.
	peerReadAfter, peerReadInterval = 500 * time.Millisecond, 500 * time.Millisecond
	// peerTimeout bounds one read from a peer.
	peerTimeout = time.Second
	// publishDelay is how long changes are collected before Handle is called.
	publishDelay = 5 * time.Millisecond
)

// Prefix is a part of the store to mirror.
type Prefix struct {
	// Name is the key prefix, ending in a slash.
	Name string
	// AbsenceGrace is how long after an outage of the store entries that vanished are kept. Entries that expired while the
	// store was down are written again by owners that are alive.
	AbsenceGrace time.Duration
	// LapseTime is the shortest outage in which entries can expire although their owners are alive. After a shorter one, or
	// after a time in which only this node or the followed one did not run, entries that vanished are gone.
	LapseTime time.Duration
	// SuccessorWatches is set if the node that would be followed next watches the prefix itself too: it then sees no interruption when the
	// followed node is lost.
	SuccessorWatches bool
	// ConfirmAfterStall is set if the copy must be read again after a time in which this process did not run, before it is relied on.
	ConfirmAfterStall bool
	// Silence is the longest time for which a watch that works delivers nothing; Age leaves it out.
	Silence time.Duration
	// InForce is set if the age of what is in force must be known: it reports whether the objects last passed to Handle are in force. The
	// copy is then known to be current up to the moment at which a call was begun, and nodes tell each other its age.
	InForce func() bool
	// MaxAge is the age from which on this node reads the store itself, also while it follows another node; used with InForce.
	MaxAge time.Duration
	// Handle is called with all objects after changes, by one goroutine at a time. It must not retain the map.
	Handle func(objects map[string]store.Object)
}

// Options configures a Mirror.
type Options struct {
	Store store.Store
	Peers peer.Caller
	// Others returns the names of the other live nodes.
	Others func() []string
	Log    *eventlog.Log
	// Now returns the time by a clock that runs while the machine is suspended; nil selects boottime.Now.
	Now func() time.Duration
}

// Mirror keeps copies of some prefixes of the store.
type Mirror struct {
	options Options
	copy    map[string]*prefixCopy

	mu sync.Mutex
	// followed is the node whose copies are read in place of the store; empty while this node watches the store itself,
	// and undecided at the start.
	followed string
	// uncoveredSince is when the followed node stopped covering all prefixes; zero while it covers them.
	uncoveredSince time.Time
	// successor is set while this node would be followed next.
	successor bool
	// agesMissing is set while the hub sends no ages of its copies, as earlier builds do not.
	agesMissing bool

	// lookedAt is when this process last looked at its clock.
	lookMu   sync.Mutex
	lookedAt time.Time
}

// prefixCopy is the copy of one prefix.
type prefixCopy struct {
	prefix Prefix

	mu      sync.Mutex
	objects map[string]store.Object
	// revision is the store revision up to which the copy is complete, and content grows with each change of the objects.
	revision, content int64
	// readFrom is the state of the followed node's copy that this one was last read from, and reading is the read in
	// progress, or nil.
	readFrom source
	reading  *copyRead
	// loaded is set once the copy was read in full from the store or a peer.
	loaded bool
	// watching is set while this node's watch works, and brokenAt is when it last stopped.
	watching bool
	brokenAt time.Time
	// followedAt is when the copy was last known to be that of a node whose watch works, and deliveredAt when this node's
	// watch last delivered something.
	followedAt, deliveredAt time.Time
	// elsewhere is set while the copy is read elsewhere since the followed node is late, and storeReadAt is when the store was last read
	// in its place.
	elsewhere   bool
	storeReadAt time.Time
	// outage measures for how long the store has not answered, and outageBegun is signalled when it begins to.
	outage      outage.Meter
	outageBegun chan struct{}
	// restoredAt is when the watch worked again after the last outage in which entries can have expired; zero before the
	// first one.
	restoredAt time.Time
	// vanished holds the objects that vanished but are kept until the given time.
	vanished map[string]vanishedEntry
	// removals are those that publish has not logged yet.
	removals []removal
	log      *eventlog.Log
	// compressed holds compressed values of large objects.
	compressed map[string]compressedObject
	// watches is closed while this node watches the prefix itself, and stopWatch ends its watch.
	watches   chan struct{}
	stopWatch context.CancelFunc
	// watchAnew is set if the watch session was ended to begin at once again.
	watchAnew    bool
	confirmation confirmation
	// known is what is known of the copy's age if that is kept, and inForceUpTo its InForceUpTo, in nanoseconds.
	known       keyvalidity.Copy
	inForceUpTo atomic.Int64
	// lastChange is a revision up to which all changes lie that the copy holds. It is not known between a deletion, which may carry
	// the revision of the change before, and the next sync event; deleted is set meanwhile.
	lastChange int64
	deleted    bool
	// lacksFollowed is set if the hub's age shows that the copy lacks changes, though it is that of the content that the hub reports:
	// another process of the same node may count the same.
	lacksFollowed bool
	// handling is held while a list is passed to Handle, so that no older one is passed after it.
	handling chan struct{}
}

// source is the state of another node's copy: its node and its content.
type source struct {
	node    string
	content int64
}

// copyRead is a read of a followed node's copy.
type copyRead struct {
	from   source
	cancel context.CancelFunc
}

// New returns a mirror of the prefixes.
func New(o Options, prefixes ...Prefix) *Mirror {
	if o.Now == nil {
		o.Now = boottime.Now
	}
	m := &Mirror{options: o, copy: map[string]*prefixCopy{}, followed: undecided, uncoveredSince: time.Now()}
	for _, p := range prefixes {
		m.copy[p.Name] = &prefixCopy{prefix: p, objects: map[string]store.Object{}, vanished: map[string]vanishedEntry{}, log: o.Log, compressed: map[string]compressedObject{}, brokenAt: time.Now(), watches: make(chan struct{}), outageBegun: make(chan struct{}, 1), handling: make(chan struct{}, 1)}
	}
	return m
}

// Run keeps the copies of all prefixes up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	var all sync.WaitGroup
	all.Go(func() { m.runLooks(ctx) })
	for _, c := range m.copy {
		all.Go(func() { m.runWatch(ctx, c) })
		all.Go(func() { m.readPeersWhileBroken(ctx, c) })
		all.Go(func() { c.measureOutages(ctx) })
		if c.prefix.InForce != nil {
			all.Go(func() { m.confirmOld(ctx, c) })
		}
	}
	all.Wait()
	return ctx.Err()
}

// runWatch watches a prefix in the store while this node does not follow another one, and restarts a watch that breaks.
func (m *Mirror) runWatch(ctx context.Context, c *prefixCopy) {
	pause := retryMin
	listed := false
	for ctx.Err() == nil {
		if !c.awaitWatching(ctx) {
			pause = retryMin
			continue
		}
		err := m.watchOnce(ctx, c, &listed)
		if !c.mustWatch() {
			c.markBroken(time.Now())
			continue
		}
		if errors.Is(err, store.ErrCompacted) {
			listed = false
			m.options.Log.Notice("store compacted the history of the watch; listing again", "prefix", c.prefix.Name)
			continue
		}
		if c.beginsAnew() {
			pause = retryMin
			continue
		}
		if c.markBroken(time.Now()) {
			m.options.Log.Notice("store watch lost", "prefix", c.prefix.Name, "error", err)
			pause = retryMin
		}
		if m.isOld(c) {
			pause = min(pause, oldRetryMax)
		}
		_ = wait.Sleep(ctx, pause+rand.N(pause/2))
		pause = min(2*pause, retryMax)
	}
}

// followedNode returns the followed node, which may be undecided; empty if this node watches the store itself.
func (m *Mirror) followedNode() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.followed
}

// watchOnce runs one watch session unless another node is followed. setFollowed can stop the session.
func (m *Mirror) watchOnce(ctx context.Context, c *prefixCopy, listed *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.stopWatch, c.watchAnew = cancel, false
	c.mu.Unlock()
	if !c.mustWatch() {
		return nil
	}
	return m.watchSession(ctx, c, listed)
}

// Revisions returns the content revisions of the copies that this node's working watches keep up to date, by prefix.
func (m *Mirror) Revisions() map[string]int64 {
	m.look(time.Now())
	all := map[string]int64{}
	for name, c := range m.copy {
		c.mu.Lock()
		if c.watching && c.loaded {
			all[name] = c.content
		}
		c.mu.Unlock()
	}
	return all
}

// Age returns the time since the copy of a prefix was last known to be that of the store, or of a node whose watch works; 0
// while this node's own watch works.
func (m *Mirror) Age(prefix string) time.Duration {
	c := m.copy[prefix]
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.watching || !c.loaded {
		return elapsed(c.followedAt, time.Now())
	}
	if silent := elapsed(c.deliveredAt, time.Now()); silent > c.prefix.Silence {
		return silent
	}
	return 0
}

// elapsed returns the time between two clock readings, including that in which the machine was suspended: the monotonic
// clock does not count it, and the wall clock may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// watchSession lists the prefix unless it was listed before, and applies the events of a watch until that breaks.
func (m *Mirror) watchSession(ctx context.Context, c *prefixCopy, listed *bool) error {
	stalls := c.stallCount()
	if !*listed {
		page, err := m.list(ctx, c)
		if err != nil {
			return err
		}
		*listed = true
		m.markWatching(c, stalls)
		c.replace(page.Objects, page.Revision, sourceStore, keyvalidity.Known{AsOf: page.Begun, Changed: page.Revision}, time.Now())
		c.confirm(stalls)
	}
	c.mu.Lock()
	from, broken := c.revision, !c.watching
	c.mu.Unlock()
	if broken || c.unconfirmed() || m.isOld(c) {
		ctx = store.WithEarlySync(ctx) // Requests and followers wait for it.
	}
	events, err := m.options.Store.Watch(ctx, c.prefix.Name, from)
	if err != nil {
		return err
	}
	publishTimer := time.NewTimer(time.Hour)
	defer publishTimer.Stop()
	for {
		select {
		case e, open := <-events:
			if !open {
				c.publish()
				return errors.New("watch ended")
			}
			unconfirmed := c.unconfirmed()
			if !unconfirmed {
				m.markWatching(c, stalls)
			}
			if e.Type == store.EventGone {
				return store.ErrCompacted
			}
			if c.apply(e, time.Now()) {
				publishTimer.Reset(publishDelay)
			}
			if unconfirmed && e.Type == store.EventSync {
				m.markWatching(c, stalls)
				c.publish()
				c.confirm(stalls)
			}
		case <-publishTimer.C:
			if next := c.publish(); next > 0 {
				publishTimer.Reset(next)
			}
		}
	}
}

// markWatching records that the watch works, which began after the given number of stalls.
func (m *Mirror) markWatching(c *prefixCopy, stalls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stalls != c.confirmation.stalls {
		return // What it delivers may be from before the stall.
	}
	now := time.Now()
	c.deliveredAt = now
	if c.watching {
		return
	}
	away, outdated, unanswered := now.Sub(c.brokenAt), min(now.Sub(c.brokenAt), now.Sub(c.followedAt)), c.endOutage(now)
	if c.loaded {
		m.options.Log.Notice("store watch works again", "prefix", c.prefix.Name, "revision", c.revision, "away_ms", away.Milliseconds(),
			"outdated_ms", outdated.Milliseconds(), "unanswered_ms", unanswered.Milliseconds())
	}
	c.watching = true
}

// markBroken records that the watch does not work, and reports whether it worked before.
func (c *prefixCopy) markBroken(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasWatching := c.watching
	if wasWatching {
		c.watching, c.brokenAt = false, now
	}
	if isClosed(c.watches) {
		c.beginOutage(now)
	}
	return wasWatching
}

// replace sets the copy to a full list, of which known is known, and publishes it. Entries that are missing from the list count as deleted. It
// returns false, without an effect, for a list that is older than the copy.
func (c *prefixCopy) replace(list []store.Object, revision int64, source string, known keyvalidity.Known, now time.Time) bool {
	c.mu.Lock()
	if c.loaded && revision < c.revision {
		c.mu.Unlock()
		return false
	}
	next := make(map[string]store.Object, len(list))
	for _, o := range list {
		next[o.Key] = o
		delete(c.vanished, o.Key)
	}
	for key, o := range c.objects {
		if _, ok := next[key]; ok {
			continue
		}
		gone := removal{key, removedByList, source, revision, now}
		if c.keepVanished(gone, now) {
			next[key] = o
		} else {
			c.removals = append(c.removals, gone)
		}
	}
	c.objects, c.revision, c.content, c.loaded = next, revision, max(c.content+1, revision), true
	c.lastChange, c.deleted = revision, false
	c.confirmKnown(known)
	c.mu.Unlock()
	c.publish()
	return true
}

// keepVanished reports whether an entry that vanished is still kept, until AbsenceGrace after the end of an outage.
func (c *prefixCopy) keepVanished(gone removal, now time.Time) bool {
	if c.prefix.AbsenceGrace == 0 || c.restoredAt.IsZero() {
		return false
	}
	v, ok := c.vanished[gone.key]
	if !ok {
		v = vanishedEntry{gone, c.restoredAt.Add(c.prefix.AbsenceGrace)}
		c.vanished[gone.key] = v
	}
	if now.Before(v.until) {
		return true
	}
	delete(c.vanished, gone.key)
	return false
}

// apply applies one event and reports whether it concerned an object.
func (c *prefixCopy) apply(e store.Event, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.supersedes(e) {
		return false
	}
	c.revision = max(c.revision, e.Object.Revision)
	switch e.Type {
	case store.EventSync:
		// All events that the call showed have been applied.
		c.confirmSync(e.Begun)
	case store.EventPut:
		c.objects[e.Object.Key] = e.Object
		c.content = max(c.content+1, c.revision)
		delete(c.vanished, e.Object.Key)
		return true
	case store.EventDelete:
		gone := removal{e.Object.Key, removedByEvent, sourceStore, e.Object.Revision, now}
		if !c.keepVanished(gone, now) {
			if _, ok := c.objects[e.Object.Key]; ok {
				c.removals = append(c.removals, gone)
			}
			delete(c.objects, e.Object.Key)
			c.content = max(c.content+1, c.revision)
		}
		return true
	}
	return false
}

// publish drops the vanished entries whose time is over and calls Handle with the objects. It returns the time until the
// next vanished entry must be dropped, 0 if there is none.
func (c *prefixCopy) publish() time.Duration {
	c.handling <- struct{}{}
	defer func() { <-c.handling }()
	c.mu.Lock()
	now := time.Now()
	var next time.Duration
	for key, v := range c.vanished {
		if left := v.until.Sub(now); left > 0 {
			if next == 0 || left < next {
				next = left
			}
			continue
		}
		delete(c.vanished, key)
		delete(c.objects, key)
		c.removals = append(c.removals, v.removal)
		c.content++
	}
	objects := maps.Clone(c.objects)
	removals := c.removals
	c.removals = nil
	content, asOf := c.content, c.known.Known().AsOf
	c.mu.Unlock()
	c.logRemovals(c.log, removals, now)
	c.prefix.Handle(objects)
	c.recordPassed(content, asOf)
	return next
}
