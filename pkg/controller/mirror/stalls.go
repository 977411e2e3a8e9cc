package mirror

import (
	"context"
	"time"

	"trefoilplank.example/pkg/wait"
)

const (
	// lookInterval is how often a process that runs looks at its clock, and stallTime the time between two looks from which on its copies may
	// be out of date: with the time until the next exchange it stays below what the platform's bound on requests to a replica that is gone
	// leaves, 0.7 s.
	lookInterval, stallTime = 100 * time.Millisecond, 400 * time.Millisecond
	// confirmWait is how long after a stall a request waits for copies to be read again: the first call of a new watch takes 0.2 s, and
	// another node may read this one's copy after it. While neither the store nor another node answers, the copies are used as they are.
	confirmWait = 500 * time.Millisecond
	// maxConfirmWait is how long a request waits in all if the process is stopped again meanwhile.
	maxConfirmWait = 3 * confirmWait
	// storeReadAfter is how long after a stall the followed node may leave a copy unconfirmed before this node reads the store: the followed node
	// may not have run either.
	storeReadAfter = 200 * time.Millisecond
	// confirmTimeout bounds a read of the followed node's copy after a stall, and confirmRetry is the pause between two.
	confirmTimeout, confirmRetry = 200 * time.Millisecond, 20 * time.Millisecond
)

// confirmation says whether a copy may be out of date because this process did not run.
type confirmation struct {
	// stalls counts the stalls of the process. done is closed once the copy has been read after the last one, which was noticed at
	// since; nil while there is none to wait for.
	stalls int
	since  time.Time
	done   chan struct{}
}

// runLooks looks at the clock until ctx ends.
func (m *Mirror) runLooks(ctx context.Context) {
	for ctx.Err() == nil {
		m.look(time.Now())
		_ = wait.Sleep(ctx, lookInterval)
	}
}

// look begins to confirm the copies if this process did not run since the last look. Everything that relies on a copy looks first: after a
// stall it may be the first to run.
func (m *Mirror) look(now time.Time) {
	m.lookMu.Lock()
	defer m.lookMu.Unlock()
	gap := elapsed(m.lookedAt, now)
	if m.lookedAt.IsZero() {
		gap = 0
	}
	if now.After(m.lookedAt) {
		m.lookedAt = now
	}
	if gap < stallTime {
		return
	}
	for _, c := range m.copy {
		if c.prefix.ConfirmAfterStall {
			m.beginConfirmation(c, gap, now)
		}
	}
}

// beginConfirmation makes a copy unconfirmed until the watch, which begins anew, or the followed node has shown what changed.
func (m *Mirror) beginConfirmation(c *prefixCopy, gap time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return
	}
	m.options.Log.Notice("process did not run; confirming its store copy", "prefix", c.prefix.Name, "stalled_ms", gap.Milliseconds())
	c.confirmation.stalls++
	c.confirmation.since = now
	if c.confirmation.done == nil {
		c.confirmation.done = make(chan struct{})
	}
	if !isClosed(c.watches) {
		go m.confirmFollowed(c, c.confirmation.stalls)
		return
	}
	if c.watching {
		c.watching, c.brokenAt = false, now
		c.beginOutage(now)
	}
	c.watchAnew = true
	if c.stopWatch != nil {
		c.stopWatch()
	}
}

// confirmFollowed reads the copy of the followed node until that shows a state after the stall of the given number, for confirmWait. It reads
// the store too once storeReadAfter is over.
func (m *Mirror) confirmFollowed(c *prefixCopy, stall int) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmWait)
	defer cancel()
	direct := time.AfterFunc(storeReadAfter, func() {
		if c.unconfirmed() && c.stallCount() == stall {
			m.readStore(c)
		}
	})
	defer direct.Stop()
	for ctx.Err() == nil {
		node := m.followedNode()
		c.mu.Lock()
		over, revision := c.confirmation.done == nil || c.confirmation.stalls != stall || isClosed(c.watches), c.revision
		c.mu.Unlock()
		if over || node == "" || node == undecided {
			return
		}
		read, end := context.WithTimeout(ctx, confirmTimeout)
		m.readPeer(read, c, node, revision, true)
		end()
		_ = wait.Sleep(ctx, confirmRetry)
	}
}

// stallCount returns the number of stalls so far.
func (c *prefixCopy) stallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmation.stalls
}

// unconfirmed reports whether the copy may be out of date because this process did not run.
func (c *prefixCopy) unconfirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmation.done != nil
}

// confirm records that the copy has been published in a state read after the stall of the given number.
func (c *prefixCopy) confirm(stall int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmation.done != nil && c.confirmation.stalls == stall {
		close(c.confirmation.done)
		c.confirmation.done = nil
	}
}

// AwaitConfirmed waits until the copy of a prefix shows what happened while this process did not run, for confirmWait after that. It returns
// at once while the process runs.
func (m *Mirror) AwaitConfirmed(ctx context.Context, prefix string) {
	c, until := m.copy[prefix], time.Now().Add(maxConfirmWait)
	// The process may be stopped again meanwhile.
	for ctx.Err() == nil {
		m.look(time.Now())
		c.mu.Lock()
		done, left := c.confirmation.done, confirmWait-time.Since(c.confirmation.since)
		c.mu.Unlock()
		if left = min(left, time.Until(until)); done == nil || left <= 0 {
			return
		}
		t := time.NewTimer(left)
		select {
		case <-done:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}
