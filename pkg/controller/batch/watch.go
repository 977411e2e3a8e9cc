package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/jobstore"
	"trefoilplank.example/pkg/decision/batchfill"
	"trefoilplank.example/pkg/decision/jobstate"
)

// openJob is what this node knows about a job that is not final.
type openJob struct {
	summary jobstate.Summary
	// heldParts maps the parts that another node holds to the token seen. They are hints that may be out of date
	// until the next listing.
	heldParts map[int]int64
	// holders are the nodes that held parts at the last listing.
	holders map[string]bool
	// relistAt is when the part records may be listed again, relistDelay the last delay before jitter.
	relistAt    time.Time
	relistDelay time.Duration
	// seenAt is when this node first saw the job and seenDone the number of parts done then. They give the rate at
	// which the whole fleet completes parts.
	seenAt   time.Time
	seenDone int
	// untouched means that the job was new when the watch showed it and that no claim of it failed since, so that its
	// parts are tried without a listing first.
	untouched bool
	// confirmed is set once the job record was read. Until then it is read again at confirmAt; confirmDelay is the
	// last delay.
	confirmed    bool
	confirmAt    time.Time
	confirmDelay time.Duration
	// ended is set when the job accepts no more results.
	ended bool
	// checkedAt is when the janitor of this node last checked the job.
	checkedAt time.Time
	// unmarkedDone are the parts that are done and not yet marked in the summary.
	unmarkedDone []int
}

// fillJob returns what batchfill needs to order the job among others.
func (j *openJob) fillJob(share float64, now time.Time) batchfill.Job {
	done := j.summary.Done.Count()
	size := float64(j.summary.Items) / float64(max(j.summary.Parts, 1))
	b := batchfill.Job{ID: j.summary.ID, Institution: j.summary.Institution, Share: share, Created: j.summary.Created,
		Deadline: j.summary.Deadline, Remaining: int(float64(j.summary.Parts-done) * size)}
	if seconds := now.Sub(j.seenAt).Seconds(); done > j.seenDone && seconds > 0 {
		b.Rate = float64(done-j.seenDone) * size / seconds
	}
	return b
}

// Delays before the watch is opened again, and the page size of the listing.
const (
	watchRetryMin    = 500 * time.Millisecond
	watchRetryMax    = 15 * time.Second
	listOpenPageSize = 500
)

// watchLoop keeps the open jobs up to date: one listing at the start and after a compaction, then a watch.
func (c *Controller) watchLoop(ctx context.Context) {
	var revision int64 = -1
	delay := watchRetryMin
	for ctx.Err() == nil {
		var err error
		if revision < 0 {
			revision, err = c.listOpen(ctx)
		}
		if err == nil {
			var seen int64
			if seen, err = c.watchOpen(ctx, revision); seen > revision {
				revision, delay = seen, watchRetryMin
			}
		}
		if err != nil && ctx.Err() == nil {
			c.mu.Lock()
			c.storeDown = true
			c.mu.Unlock()
		}
		if errors.Is(err, store.ErrCompacted) {
			revision = -1
		}
		// The jitter keeps the nodes from reopening their watches at the same moment.
		sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, watchRetryMax)
	}
}

// listOpen reads all summaries and returns the revision to watch from.
func (c *Controller) listOpen(ctx context.Context) (int64, error) {
	found := map[string]bool{}
	var revision int64 = -1
	after := ""
	for {
		page, err := c.Store.List(ctx, jobstore.OpenPrefix, after, listOpenPageSize)
		if err != nil {
			return -1, err
		}
		if revision < 0 {
			// The watch starts from the revision of the first page, so it repeats changes made between the pages.
			revision = page.Revision
		}
		for _, o := range page.Objects {
			found[strings.TrimPrefix(o.Key, jobstore.OpenPrefix)] = true
			c.updateOpenJob(o, false)
		}
		if after = page.Next; after == "" {
			break
		}
	}
	c.mu.Lock()
	var gone []string
	for id := range c.openJobs {
		if !found[id] {
			gone = append(gone, id)
		}
	}
	c.mu.Unlock()
	for _, id := range gone {
		c.removeOpenJob(id)
	}
	return revision, nil
}

// watchOpen applies the changes of the summaries after revision from until the watch ends, and returns the last
// revision seen.
func (c *Controller) watchOpen(ctx context.Context, from int64) (int64, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	events, err := c.Store.Watch(ctx, jobstore.OpenPrefix, from)
	if err != nil {
		return from, err
	}
	c.mu.Lock()
	c.storeDown = false
	c.mu.Unlock()
	for e := range events {
		switch e.Type {
		case store.EventPut:
			c.updateOpenJob(e.Object, true)
		case store.EventDelete:
			c.removeOpenJob(strings.TrimPrefix(e.Object.Key, jobstore.OpenPrefix))
		}
		from = max(from, e.Object.Revision)
	}
	return from, nil
}

// updateOpenJob stores a job's summary read from the store; event is set if the watch reported it as just changed.
func (c *Controller) updateOpenJob(o store.Object, event bool) {
	summary, err := jobstore.DecodeSummary(o.Value)
	if err != nil || !jobstore.ValidID(summary.ID) {
		klog.ErrorS(err, "Stored job summary is damaged or has an invalid job ID", "key", o.Key)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.openJobs[summary.ID]
	if !ok {
		j = &openJob{seenAt: time.Now(), seenDone: summary.Done.Count(), heldParts: map[int]int64{},
			untouched: event && summary.Done.Count() == 0 && len(summary.Released) == 0}
		c.openJobs[summary.ID] = j
	}
	for index, token := range summary.Released {
		if j.heldParts[index] <= token {
			delete(j.heldParts, index)
		}
	}
	j.summary = summary
	if !ok {
		c.vtimeStale = true
	}
	c.signalClaimLoop()
}

// removeOpenJob drops a job that has become final, with its parts.
func (c *Controller) removeOpenJob(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.openJobs[id]; ok {
		c.dropJob(id, errJobEnded)
		delete(c.openJobs, id)
		c.vtimeStale = true
	}
}

// virtualTime returns the virtual time of the open jobs, which orders them by the service they received; c.mu is held.
// It is aligned with the open jobs at use and not at each change, since at the start thousands of jobs are added one by
// one.
func (c *Controller) virtualTime() *batchfill.VirtualTime {
	if c.vtimeStale {
		c.vtimeStale = false
		now := time.Now()
		jobs := make([]batchfill.Job, 0, len(c.openJobs))
		for _, j := range c.openJobs {
			jobs = append(jobs, j.fillJob(1, now))
		}
		c.vtime.Align(jobs)
	}
	return &c.vtime
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
