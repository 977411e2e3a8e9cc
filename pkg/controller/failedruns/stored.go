package failedruns

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/wait"
)

// Prefix is the key prefix of quarantined requests in the store; the fingerprint follows it.
const Prefix = "quarantine/"

const (
	// otherNodesDelay is how long this node waits for another one to store the quarantine that it reported; up to half of
	// it is added at random.
	otherNodesDelay = 2 * time.Second
	// storeRetry is the pause after an attempt to store or delete failed, and storeTimeout bounds one attempt.
	storeRetry, storeTimeout = time.Second, time.Second
	// reviewInterval is the time between reviews of quarantines that may have ended. deleteSpread is the time over which
	// nodes spread the deletion of an ended one, so that usually one node deletes it.
	reviewInterval, deleteSpread = 30 * time.Second, 30 * time.Second
	// clockTolerance is added to the age of stored crashes, since the clocks of nodes differ. A crash that seems newer
	// than it is could be cleared by data of the restarted upstream.
	clockTolerance = 5 * time.Second
)

// storedQuarantine is a quarantined request in the store.
type storedQuarantine struct {
	Fingerprint string        `json:"fingerprint"`
	Crashes     []storedCrash `json:"crashes"`
}

type storedCrash struct {
	Run         string `json:"run"`
	Upstream    string `json:"upstream"`
	Incarnation int64  `json:"incarnation,omitempty"`
	// Request is the fingerprint of the request that ran, if a part of prompts is quarantined.
	Request string `json:"request,omitempty"`
	// AtMS is the time of the crash in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
}

// quarantines tracks which quarantines are in the store. Its fields are guarded by the controller's mutex.
type quarantines struct {
	// begun is when this node first counted each request as quarantined.
	begun map[string]time.Time
	// stored holds the quarantines in the store, and deleteAfter when this node may delete one that has ended.
	stored      map[string]bool
	deleteAfter map[string]time.Time
	// changed is signalled after changes of the ledger or of the stored objects.
	changed chan struct{}
}

func newQuarantines() quarantines {
	return quarantines{begun: map[string]time.Time{}, stored: map[string]bool{}, deleteAfter: map[string]time.Time{}, changed: make(chan struct{}, 1)}
}

// begin records when a quarantine began, and reports whether it is new to this node.
func (q *quarantines) begin(work string, now time.Time) bool {
	if _, ok := q.begun[work]; ok {
		return false
	}
	q.begun[work] = now
	return true
}

func (q *quarantines) signal() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// SetStored takes over the quarantines in the store, as a mirror passes them to Prefix.Handle.
func (c *Controller) SetStored(objects map[string]store.Object) {
	now := time.Now()
	stored := make(map[string]bool, len(objects))
	var records []failedruns.Record
	for key, o := range objects {
		var q storedQuarantine
		if err := json.Unmarshal(o.Value, &q); err != nil || c.options.Prefix+q.Fingerprint != key {
			c.options.Log.Notice("invalid stored quarantine ignored", "key", key, "error", err)
			continue
		}
		stored[q.Fingerprint] = true
		for _, crash := range q.Crashes {
			records = append(records, failedruns.Record{
				Work: q.Fingerprint, Run: crash.Run, Kind: failedruns.Crashed, Upstream: crash.Upstream, Incarnation: crash.Incarnation,
				Request: crash.Request, Age: max(0, now.Sub(time.UnixMilli(crash.AtMS))) + clockTolerance,
			})
		}
	}
	c.Merge("store", records)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantines.stored = stored
	c.quarantines.signal()
}

// Run reads the records of other nodes, stores quarantines and deletes those that have ended, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var reading sync.WaitGroup
	defer reading.Wait()
	reading.Go(func() { c.readOthers(ctx) })
	if c.options.Exchange == nil {
		reading.Go(func() { c.runSpread(ctx) })
	}
	if c.options.ReadStored {
		reading.Go(func() { c.readStored(ctx) })
	}
	for ctx.Err() == nil {
		pause := c.storeChanges(ctx)
		var due <-chan time.Time
		if pause > 0 {
			due = time.After(pause)
		}
		select {
		case <-ctx.Done():
		case <-due:
		case <-c.quarantines.changed:
		}
	}
	return ctx.Err()
}

// readStored reads the quarantines in the store once, and repeats reads that fail until ctx ends.
func (c *Controller) readStored(ctx context.Context) {
	for ctx.Err() == nil {
		var page store.Page
		err := c.call(ctx, func(ctx context.Context) (err error) {
			page, err = store.ListAll(ctx, c.options.Store, c.options.Prefix)
			return err
		})
		if err == nil {
			objects := map[string]store.Object{}
			for _, o := range page.Objects {
				objects[o.Key] = o
			}
			c.SetStored(objects)
			return
		}
		c.options.Log.Notice("quarantines not read from the store, retrying", "error", err)
		_ = wait.Sleep(ctx, storeRetry)
	}
}

// storeChanges stores the quarantines that are not stored yet and deletes those that have ended. It returns the time
// until it has to be called again, or 0 if only a change makes that necessary.
func (c *Controller) storeChanges(ctx context.Context) time.Duration {
	now := time.Now()
	create, end, pause := c.pendingChanges(now)
	if c.options.Store == nil {
		return reviewInterval
	}
	for _, q := range create {
		value, err := json.Marshal(q)
		if err == nil {
			err = c.call(ctx, func(ctx context.Context) error {
				_, err := c.options.Store.Put(ctx, c.options.Prefix+q.Fingerprint, value, store.CreateOnly)
				return err
			})
		}
		if err != nil && !errors.Is(err, store.ErrConflict) {
			c.options.Log.Notice("quarantine not stored, retrying", "fingerprint", q.Fingerprint, "error", err)
			pause = storeRetry
			continue
		}
		c.options.Log.Notice("quarantine stored", "fingerprint", q.Fingerprint, "crashes", len(q.Crashes), "by_other", err != nil)
		c.setStored(q.Fingerprint, true)
	}
	for _, work := range end {
		err := c.call(ctx, func(ctx context.Context) error {
			return c.options.Store.Delete(ctx, c.options.Prefix+work, store.AnyRevision)
		})
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			c.options.Log.Notice("ended quarantine not deleted, retrying", "fingerprint", work, "error", err)
			pause = storeRetry
			continue
		}
		c.options.Log.Routine("ended quarantine deleted", "fingerprint", work)
		c.setStored(work, false)
	}
	return pause
}

func (c *Controller) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return f(ctx)
}

func (c *Controller) setStored(work string, stored bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stored {
		c.quarantines.stored[work] = true
	} else {
		delete(c.quarantines.stored, work)
	}
}

// pendingChanges returns the quarantines to be stored and those to be deleted now, and the time until the next review.
func (c *Controller) pendingChanges(now time.Time) (create []storedQuarantine, end []string, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Expire(now)
	c.setFlags()
	quarantined := c.ledger.Quarantined(now)
	for work, crashes := range quarantined {
		c.quarantines.begin(work, now)
		if c.quarantines.stored[work] {
			continue
		}
		delay := time.Duration(0)
		if !c.reportedHere(crashes) {
			delay = otherNodesDelay + rand.N(otherNodesDelay/2)
		}
		if wait := delay - now.Sub(c.quarantines.begun[work]); wait > 0 {
			pause = shorter(pause, wait)
			continue
		}
		q := storedQuarantine{Fingerprint: work}
		for _, r := range crashes {
			q.Crashes = append(q.Crashes, storedCrash{Run: r.Run, Upstream: r.Upstream, Incarnation: r.Incarnation, Request: r.Request, AtMS: now.Add(-r.Age).UnixMilli()})
		}
		create = append(create, q)
	}
	maps.DeleteFunc(c.quarantines.begun, func(work string, _ time.Time) bool { return quarantined[work] == nil })
	for work := range c.quarantines.stored {
		after, ended := c.quarantines.deleteAfter[work]
		switch {
		case quarantined[work] != nil:
			delete(c.quarantines.deleteAfter, work)
		case !ended:
			c.quarantines.deleteAfter[work] = now.Add(rand.N(deleteSpread))
		case now.After(after):
			end = append(end, work)
		}
	}
	maps.DeleteFunc(c.quarantines.deleteAfter, func(work string, _ time.Time) bool { return !c.quarantines.stored[work] })
	if c.ledger.Len() > 0 || len(c.quarantines.stored) > 0 {
		pause = shorter(pause, reviewInterval)
	}
	return create, end, pause
}

// reportedHere reports whether this process reported the last of the crashes.
func (c *Controller) reportedHere(crashes []failedruns.Record) bool {
	last := crashes[0]
	for _, r := range crashes {
		if r.Age < last.Age {
			last = r
		}
	}
	return strings.HasPrefix(last.Run, c.options.peerID()+"/")
}

// shorter returns the shorter of two pauses, of which the first may be 0 for none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}
