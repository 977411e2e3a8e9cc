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

// openJob is this node's mirror of a job that is not final.
type openJob struct {
	sum jobstate.Summary
	// held are parts that another node holds, with the token seen; they are hints until relist.
	held map[int]int64
	// holders are the nodes that held parts at the last listing.
	holders map[string]bool
	// relistAt is when the part records may be listed again, relistDelay the last delay.
	relistAt    time.Time
	relistDelay time.Duration
	// seenAt and seenDone are the first observation, for the rate of the whole fleet.
	seenAt   time.Time
	seenDone int
	// fresh means that the job was new when the watch showed it and that no claim was lost since, so that its parts
	// are tried without a listing first.
	fresh bool
	// confirmed is set once the job record was read; waitUntil is when it is looked for again.
	confirmed bool
	waitUntil time.Time
	waitDelay time.Duration
	// ended is set when the job accepts no more results.
	ended bool
	// checkedAt is when this node last tried to finish the job.
	checkedAt time.Time
	// doneDue are parts that are done and not yet marked in the summary.
	doneDue []int
}

func (j *openJob) fill(share float64, now time.Time) batchfill.Job {
	done := j.sum.Done.Count()
	size := float64(j.sum.Items) / float64(max(j.sum.Parts, 1))
	b := batchfill.Job{ID: j.sum.ID, Institution: j.sum.Institution, Share: share, Created: j.sum.Created,
		Deadline: j.sum.Deadline, Remaining: int(float64(j.sum.Parts-done) * size)}
	if seconds := now.Sub(j.seenAt).Seconds(); done > j.seenDone && seconds > 0 {
		b.Rate = float64(done-j.seenDone) * size / seconds
	}
	return b
}

// Delays of the watch after the store broke it.
const (
	watchRetryMin = 500 * time.Millisecond
	watchRetryMax = 15 * time.Second
	listOpen      = 500
)

// watchLoop keeps the mirror of the open jobs: one listing at the start and after a compaction, then a watch.
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
			if seen, err = c.followOpen(ctx, revision); seen > revision {
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
		// The jitter keeps the fleet from coming back to the store at one moment.
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
		page, err := c.Store.List(ctx, jobstore.OpenPrefix, after, listOpen)
		if err != nil {
			return -1, err
		}
		if revision < 0 {
			// Changes between the pages come again by watch from the first page's revision.
			revision = page.Revision
		}
		for _, o := range page.Objects {
			found[strings.TrimPrefix(o.Key, jobstore.OpenPrefix)] = true
			c.observe(o, false)
		}
		if after = page.Next; after == "" {
			break
		}
	}
	c.mu.Lock()
	var gone []string
	for id := range c.open {
		if !found[id] {
			gone = append(gone, id)
		}
	}
	c.mu.Unlock()
	for _, id := range gone {
		c.forget(id)
	}
	return revision, nil
}

func (c *Controller) followOpen(ctx context.Context, from int64) (int64, error) {
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
			c.observe(e.Object, true)
		case store.EventDelete:
			c.forget(strings.TrimPrefix(e.Object.Key, jobstore.OpenPrefix))
		}
		from = max(from, e.Object.Revision)
	}
	return from, nil
}

// observe takes a summary into the mirror; event says that it has just changed.
func (c *Controller) observe(o store.Object, event bool) {
	sum, err := jobstore.DecodeSummary(o.Value)
	if err != nil || !jobstore.ValidID(sum.ID) {
		klog.ErrorS(err, "Stored summary is damaged", "key", o.Key)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.open[sum.ID]
	if !ok {
		j = &openJob{seenAt: time.Now(), seenDone: sum.Done.Count(), held: map[int]int64{},
			fresh: event && sum.Done.Count() == 0 && len(sum.Released) == 0}
		c.open[sum.ID] = j
	}
	for index, token := range sum.Released {
		if j.held[index] <= token {
			delete(j.held, index)
		}
	}
	j.sum = sum
	if !ok {
		c.alignDue = true
	}
	c.wake()
}

// forget removes a final job from the mirror.
func (c *Controller) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.open[id]; ok {
		c.dropJob(id, errJobEnded)
		delete(c.open, id)
		c.alignDue = true
	}
}

// virtualTime returns the service given so far, in line with the open jobs; c.mu is held. It is brought in line at its
// use and not at each change, since a start opens thousands of jobs one after the other.
func (c *Controller) virtualTime() *batchfill.VirtualTime {
	if c.alignDue {
		c.alignDue = false
		now := time.Now()
		jobs := make([]batchfill.Job, 0, len(c.open))
		for _, j := range c.open {
			jobs = append(jobs, j.fill(1, now))
		}
		c.given.Align(jobs)
	}
	return &c.given
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
