package listjob

import (
	"context"
	"errors"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/wait"
)

// A job is over once its items are not run any more and its results need not be readable. It is handled as if it did not exist from then on: the
// store keeps it until the hub has removed it, and expires nothing by itself.

const (
	// expiryMargin is how much longer a job is kept: clocks differ, and the last results of items that are given up are listed.
	expiryMargin = 10 * time.Minute
	// maxRemovals limits the jobs that one sweep finds to be removed, and removalPause is the time between writes of removals: a small part of what
	// the platform's store can take.
	maxRemovals, removalPause = 100, 15 * time.Millisecond
	// removalTimeout limits one call to the store.
	removalTimeout = 2 * time.Second
)

// isOver reports whether a job is over by a configuration, which may be nil.
func (c *Controller) isOver(h head, table *routing.Table, now time.Time) bool {
	age := now.Sub(h.Submitted) - expiryMargin
	if h.Submitted.IsZero() || age <= c.options.Readable {
		return false
	}
	var route *routing.Route
	if table != nil {
		route = table.Match(h.Host, h.Path)
	}
	return age > retention(route)
}

// removeOver removes jobs that are over from the store, unless this node still does so. The next sweep finds what is left.
func (c *Controller) removeOver(ctx context.Context, jobs []sweptHead) {
	if len(jobs) == 0 || !c.removing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.removing.Store(false)
		for _, h := range jobs {
			if err := c.removeJob(ctx, h); err != nil {
				c.options.Log.Routine("job that is over was not removed, retrying", "job", h.Head.ID, "error", err)
				return
			}
			c.options.Metrics.countJob("removed")
		}
		c.options.Log.Routine("jobs that are over were removed", "jobs", len(jobs), "last", jobs[len(jobs)-1].Head.ID)
	}()
}

// removeJob removes the results, the items and then the head of a job: what remains after a failure is found by the head.
func (c *Controller) removeJob(ctx context.Context, h sweptHead) error {
	keys := make([]string, 0, h.Head.Chunks+1)
	list, cancel := context.WithTimeout(store.WithStale(ctx), removalTimeout)
	defer cancel()
	_, err := store.ListEach(list, c.options.Store, resultsKind+h.Head.ID+"/", func(page []store.Object) {
		for _, o := range page {
			keys = append(keys, o.Key)
		}
	})
	if err != nil {
		return err
	}
	for n := range h.Head.Chunks {
		keys = append(keys, chunkKey(h.Head.ID, n))
	}
	for _, key := range keys {
		if err := c.remove(ctx, key, store.AnyRevision); err != nil {
			return err
		}
	}
	// A head that was written since the sweep is left to the next one.
	if err := c.remove(ctx, headKind+h.Head.ID, h.Revision); err != nil && !isConflict(err) {
		return err
	}
	return nil
}

func (c *Controller) remove(ctx context.Context, key string, revision int64) error {
	if err := wait.Sleep(ctx, removalPause); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(store.WithPriority(ctx, store.PriorityStatus), removalTimeout)
	defer cancel()
	if err := c.options.Store.Delete(ctx, key, revision); err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	return nil
}
