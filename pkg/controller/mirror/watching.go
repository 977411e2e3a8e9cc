package mirror

import (
	"context"
	"time"
)

// awaitWatching waits until this node must watch the prefix itself and returns true, or false when ctx ends before.
func (c *prefixCopy) awaitWatching(ctx context.Context) bool {
	c.mu.Lock()
	watches := c.watches
	c.mu.Unlock()
	select {
	case <-watches:
		return true
	case <-ctx.Done():
		return false
	}
}

// mustWatch reports whether this node must watch the prefix itself.
func (c *prefixCopy) mustWatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return isClosed(c.watches)
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// setMustWatch makes this node watch the prefix itself or not. c.mu is held.
func (c *prefixCopy) setMustWatch(must bool) {
	switch {
	case must == isClosed(c.watches):
	case must:
		close(c.watches)
		if !c.watching {
			c.beginOutage(time.Now())
		}
	default:
		c.watches = make(chan struct{})
		if c.stopWatch != nil {
			c.stopWatch()
		}
	}
}

// beginsAnew reports whether the watch was ended to begin at once again.
func (c *prefixCopy) beginsAnew() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	anew := c.watchAnew
	c.watchAnew = false
	return anew
}
