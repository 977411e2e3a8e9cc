package mirror

import (
	"context"
	"time"
)

const (
	// undecided is the value of followed until the first call of WatchStore or FollowNode.
	undecided = "?"
	// uncoveredMax is how long the followed node may leave a prefix uncovered before this node watches the store
	// itself. It allows for a renewed watch there. Together with the timeout of an unresponsive watch it must stay
	// below two seconds.
	uncoveredMax = 350 * time.Millisecond
	// uncoveredAtStart is the same for a node that has no copy yet: when a deployment starts, its hub reads the store first.
	uncoveredAtStart = time.Second
)

// WatchStore makes this node watch the store itself.
func (m *Mirror) WatchStore(ctx context.Context) { m.setFollowed(ctx, "", nil) }

// FollowNode makes this node read the copies of another node in place of the store. revisions is the result of
// Revisions there. If it does not cover all prefixes for longer than uncoveredMax, this node watches the store itself; until then it
// reads those that are covered: a node that has just become the hub may have watched only some of them before.
func (m *Mirror) FollowNode(ctx context.Context, node string, revisions map[string]int64) {
	covered := true
	for name, c := range m.copy {
		_, ok := revisions[name]
		covered = covered && ok
		if node != "" && !ok {
			c.uncovered(time.Now())
		}
	}
	m.mu.Lock()
	if covered {
		m.uncoveredSince = time.Time{}
	} else if m.uncoveredSince.IsZero() {
		m.uncoveredSince = time.Now()
	}
	limit := uncoveredMax
	if m.followed == undecided {
		limit = uncoveredAtStart
	}
	waiting := !covered && m.followed != "" && time.Since(m.uncoveredSince) < limit
	m.mu.Unlock()
	switch {
	case covered:
		m.setFollowed(ctx, node, revisions)
	case !waiting:
		m.setFollowed(ctx, "", nil)
	case node != "":
		for name, c := range m.copy {
			if content, ok := revisions[name]; ok {
				m.followCopy(ctx, c, source{node, content})
			}
		}
	}
}

// SetSuccessor sets whether this node would be followed if the followed one were lost. It takes effect with the next call of
// FollowNode.
func (m *Mirror) SetSuccessor(successor bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.successor = successor
}

// setFollowed sets the followed node, or none, and reads those of its copies that have changed.
func (m *Mirror) setFollowed(ctx context.Context, node string, revisions map[string]int64) {
	m.mu.Lock()
	before, successor, agesMissing := m.followed, m.successor, m.agesMissing
	m.followed = node
	m.mu.Unlock()
	if before != node {
		m.options.Log.Notice("followed node of the store copies changed", "through", node, "before", before)
	}
	for name, c := range m.copy {
		c.mu.Lock()
		c.setMustWatch(node == "" || successor && c.prefix.SuccessorWatches || agesMissing && c.prefix.InForce != nil)
		c.mu.Unlock()
		if node != "" {
			m.followCopy(ctx, c, source{node, revisions[name]})
		}
	}
}

// followCopy records that the watch of another node works, and reads its copy of a prefix if that has changed, unless this node
// watches the prefix itself.
func (m *Mirror) followCopy(ctx context.Context, c *prefixCopy, from source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.restartOutage(now)
	same := c.readFrom == from && !c.lacksFollowed
	if same {
		c.followedAt = now
	}
	if same || c.watching && isClosed(c.watches) {
		return
	}
	if c.reading != nil {
		if c.reading.from.node == from.node {
			return
		}
		c.reading.cancel() // The node followed before may never answer.
	}
	ctx, cancel := context.WithCancel(ctx)
	c.reading = &copyRead{from, cancel}
	revision := c.revision
	if !c.loaded {
		revision = -1
	}
	go m.readFollowed(ctx, c, c.reading, revision)
}

// readFollowed reads the copy of the followed node, whose state was last reported as read.from. revision is that of this
// node's copy. A copy of the same revision is read too, since the content also changes when a vanished entry is
// dropped.
func (m *Mirror) readFollowed(ctx context.Context, c *prefixCopy, read *copyRead, revision int64) {
	defer read.cancel()
	result := m.readPeer(ctx, c, read.from.node, revision, true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading != read {
		return
	}
	c.reading = nil
	if result == replaced {
		c.readFrom, c.followedAt, c.lacksFollowed = read.from, time.Now(), false
	}
}
