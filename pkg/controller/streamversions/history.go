package streamversions

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/softwareversion"
	"trefoilplank.example/pkg/wait"
)

// Prefix is the key prefix of what the hub keeps in the store.
const Prefix = "streamversions/"

// HistoryKey is the key of the history of software versions in the store. The hub writes it when the versions of a service
// change, and each node reads it when it starts: after a restart of all nodes nobody else knows which versions have served.
const HistoryKey = Prefix + "history"

const (
	// historyTimeout bounds one call to the store, and historyRetry is the pause after one that failed.
	historyTimeout, historyRetry = time.Second, 300 * time.Millisecond
	// writeReview is how often a node looks whether it is the hub and has to write a change, for up to writeTime after it. A
	// later change is written by whichever node is the hub then.
	writeReview, writeTime = 250 * time.Millisecond, 10 * time.Second
)

// storedHistory is the history in the store.
type storedHistory struct {
	// CoveredSinceMS is the Unix millisecond from which on no version is missing.
	CoveredSinceMS int64 `json:"covered_since_ms"`
	// GoneMS holds, by service and version, the Unix millisecond at which the last upstream of a version was gone, or 0 while
	// there is one.
	GoneMS map[string]map[string]int64 `json:"gone_ms"`
}

func (s storedHistory) decode() softwareversion.History {
	h := softwareversion.History{CoveredSince: time.UnixMilli(s.CoveredSinceMS), Gone: map[string]map[string]time.Time{}}
	for service, versions := range s.GoneMS {
		h.Gone[service] = map[string]time.Time{}
		for version, ms := range versions {
			h.Gone[service][version] = time.Time{}
			if ms > 0 {
				h.Gone[service][version] = time.UnixMilli(ms)
			}
		}
	}
	return h
}

func encodeHistory(h softwareversion.History) storedHistory {
	s := storedHistory{CoveredSinceMS: h.CoveredSince.UnixMilli(), GoneMS: map[string]map[string]int64{}}
	for service, versions := range h.Gone {
		s.GoneMS[service] = map[string]int64{}
		for version, gone := range versions {
			s.GoneMS[service][version] = 0
			if !gone.IsZero() {
				s.GoneMS[service][version] = gone.UnixMilli()
			}
		}
	}
	return s
}

// Run reads what earlier processes left, and writes what later ones need while this node is the hub, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.keepHistory(ctx) })
	c.reading.Store(true)
	group.Go(func() error {
		c.readSegments(ctx)
		c.reading.Store(false)
		return c.writeSegments(ctx)
	})
	return group.Wait()
}

// keepHistory reads the history and writes its changes while this node is the hub.
func (c *Controller) keepHistory(ctx context.Context) error {
	revision, ok := c.readHistory(ctx)
	if !ok {
		return ctx.Err()
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.versionsChanged:
		}
		for begun := time.Now(); time.Since(begun) < writeTime && ctx.Err() == nil; _ = wait.Sleep(ctx, writeReview) {
			if !c.options.IsHub() {
				continue
			}
			written, err := c.writeHistory(ctx, revision)
			if err == nil {
				revision = written
				break
			}
			c.options.Log.Notice("history of software versions not written", "error", err)
			if errors.Is(err, store.ErrConflict) {
				if revision, ok = c.readHistory(ctx); !ok {
					return ctx.Err()
				}
			}
		}
	}
}

// readHistory reads the history until the store answers, adds it to what this node knows and returns its revision. It returns
// false if ctx ends before.
func (c *Controller) readHistory(ctx context.Context) (revision int64, ok bool) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, historyTimeout)
		o, err := c.options.Store.Get(callCtx, HistoryKey)
		cancel()
		var stored storedHistory
		switch {
		case err == nil:
			if err := json.Unmarshal(o.Value, &stored); err != nil {
				c.options.Log.Notice("invalid history of software versions ignored", "error", err)
				return o.Revision, true
			}
			c.restore(stored.decode())
			c.options.Log.Notice("history of software versions read", "covered_since_ms", stored.CoveredSinceMS, "gone_ms", stored.GoneMS)
			return o.Revision, true
		case errors.Is(err, store.ErrNotFound):
			if c.options.FirstStart {
				c.restore(softwareversion.History{CoveredSince: time.UnixMilli(0)})
			}
			return store.CreateOnly, true
		}
		c.options.Log.Notice("history of software versions not read yet", "error", err)
		_ = wait.Sleep(ctx, historyRetry)
	}
	return 0, false
}

func (c *Controller) restore(h softwareversion.History) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions.Restore(h, time.Now())
}

// writeHistory writes the history if its revision in the store is the given one, and returns the new revision.
func (c *Controller) writeHistory(ctx context.Context, revision int64) (int64, error) {
	c.mu.Lock()
	stored := encodeHistory(c.versions.History())
	c.mu.Unlock()
	value, err := json.Marshal(stored)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	written, err := c.options.Store.Put(ctx, HistoryKey, value, revision)
	if err == nil {
		c.options.Log.Notice("history of software versions written", "gone_ms", stored.GoneMS)
	}
	return written, err
}
