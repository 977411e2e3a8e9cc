package mirror

import (
	"context"
	"time"

	"trefoilplank.example/pkg/decision/outage"
	"trefoilplank.example/pkg/wait"
)

// beginOutage records that the store does not answer the calls for the prefix, of this node or of the followed one. c.mu is held.
func (c *prefixCopy) beginOutage(now time.Time) {
	c.outage.Begin(now)
	select {
	case c.outageBegun <- struct{}{}:
	default:
	}
}

// restartOutage records that the store has answered the followed node: an outage in progress begins now. c.mu is held.
func (c *prefixCopy) restartOutage(now time.Time) {
	c.endOutage(now)
	if isClosed(c.watches) && !c.watching {
		c.beginOutage(now)
	}
}

// endOutage ends an outage, if there is one, and returns for how long the store did not answer. Entries that can have expired in it are kept
// for a while if they vanish. c.mu is held.
func (c *prefixCopy) endOutage(now time.Time) time.Duration {
	unanswered := c.outage.End(now)
	if c.loaded && unanswered >= c.prefix.LapseTime {
		c.restoredAt = now
	}
	return unanswered
}

// uncovered records that the followed node gets no answer from the store.
func (c *prefixCopy) uncovered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.watching {
		c.beginOutage(now)
	}
}

// measureOutages counts the time of outages in which this process runs, until ctx ends.
func (c *prefixCopy) measureOutages(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.outageBegun:
		}
		for c.lookAtOutage(time.Now()) && ctx.Err() == nil {
			_ = wait.Sleep(ctx, outage.LookInterval)
		}
	}
}

func (c *prefixCopy) lookAtOutage(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outage.Look(now)
}
