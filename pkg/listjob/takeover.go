package listjob

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// adoptTimeout bounds one attempt to take a job over; the next sweep tries again.
const adoptTimeout = 8 * time.Second

// contestedFor is how long after a takeover from another node the log is checked before answers without
// results: longer than a cut that heals by itself.
const contestedFor = 20 * time.Second

// Partial is what an earlier owner had received of an item.
type Partial struct {
	ID    string
	Text  []byte
	After int64
	Lines int
	// Failures are the answers of 500 so far.
	Failures int
	// Result is set for an item that is finished and not listed yet.
	Result *Result
}

// adopt takes a job over: it writes the new owner into the head, reads the log and the items, and goes on.
func (c *Controller) adopt(ctx context.Context, id string, partials []Partial) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	c.mu.Lock()
	busy, stopping := c.loading[id] || c.jobs[id] != nil, c.stopping
	if !busy && !stopping {
		c.loading[id] = true
	}
	c.mu.Unlock()
	switch {
	case busy:
		return nil
	case stopping:
		return Error.New("node stops")
	}
	defer func() {
		c.mu.Lock()
		delete(c.loading, id)
		c.mu.Unlock()
	}()
	j, previous, err := c.load(ctx, id)
	if err != nil {
		c.o.Log.Notice("job not taken over", "job", id, "error", err)
		return err
	}
	c.learnListed(j)
	done := j.resume(partials)
	if previous.Node != c.self().Node {
		// The previous owner may only seem lost, and adds to the log until it hears of this.
		j.contested = time.Now().Add(contestedFor)
		go c.tell(previous.Node, id, j.revision)
	}
	c.add(j)
	for _, it := range done {
		c.finish(it, it.result)
	}
	c.announce(id, j.revision)
	c.o.Metrics.job("taken_over")
	c.o.Log.Notice("job taken over", "job", id, "listed", len(j.results), "total", j.head.Total, "partials", len(partials))
	return nil
}

// resume takes what an earlier owner had of the items, and returns those that are finished.
func (j *job) resume(partials []Partial) (done []*item) {
	for _, p := range partials {
		it := j.byID[p.ID]
		if it == nil || it.phase != waiting {
			continue
		}
		it.text, it.after, it.failures = p.Text, p.After, p.Failures
		it.lines.Store(int64(p.Lines))
		if p.Result != nil {
			it.result = *p.Result
			done = append(done, it)
		}
	}
	return done
}

// load makes this node the owner of a job and reads it. It also returns the previous owner.
func (c *Controller) load(ctx context.Context, id string) (*job, owner, error) {
	h, revision, err := c.readHead(ctx, id)
	if err != nil {
		return nil, owner{}, err
	}
	previous := owner{h.Owner, h.Incarnation}
	j, err := c.own(ctx, h, revision)
	return j, previous, err
}

func (c *Controller) own(ctx context.Context, h head, revision int64) (*job, error) {
	id, self := h.ID, c.self()
	if h.Owner != self.Node || h.Incarnation != self.Incarnation {
		h.Owner, h.Incarnation = self.Node, self.Incarnation
		var err error
		if revision, err = c.putHead(ctx, h, revision); err != nil {
			return nil, errors.Join(ErrUnavailable, err)
		}
	}
	items, err := c.readItems(ctx, h)
	if err != nil {
		return nil, err
	}
	j := newJob(h, revision, items)
	results, next, err := c.readLog(ctx, id)
	if err != nil {
		return nil, err
	}
	j.list(results)
	j.next = next
	return j, nil
}

func (c *Controller) readItems(ctx context.Context, h head) ([]Item, error) {
	var items []Item
	for n := range h.Chunks {
		o, err := c.o.Store.Get(ctx, chunkKey(h.ID, n))
		if err != nil {
			return nil, errors.Join(ErrUnavailable, err)
		}
		var part []Item
		if err := json.Unmarshal(o.Value, &part); err != nil {
			return nil, errors.Join(ErrUnavailable, err)
		}
		items = append(items, part...)
	}
	return items, nil
}

// readLog returns all listed results and the number of the log's next entry.
func (c *Controller) readLog(ctx context.Context, id string) ([]Result, int, error) {
	entries, err := c.readEntries(ctx, id)
	return slices.Concat(entries...), len(entries), err
}

// readEntries returns the entries of a job's log in order.
func (c *Controller) readEntries(ctx context.Context, id string) ([][]Result, error) {
	log, err := store.ListAll(store.WithFresh(ctx), c.o.Store, resultsKind+id+"/")
	if err != nil {
		return nil, errors.Join(ErrUnavailable, err)
	}
	var entries [][]Result
	for n, o := range log.Objects {
		if o.Key != entryKey(id, n) {
			return nil, errors.Join(ErrUnavailable, Error.New("entry %d of job %s lies at %q", n, id, o.Key))
		}
		var e entry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			return nil, errors.Join(ErrUnavailable, err)
		}
		entries = append(entries, e.Results)
	}
	return entries, nil
}

// HandOn gives the open jobs to other nodes with what was received of their items. It is called once, when the node stops.
func (c *Controller) HandOn(ctx context.Context) {
	c.mu.Lock()
	c.stopping = true
	var open []*job
	for _, j := range c.jobs {
		open = append(open, j)
	}
	c.mu.Unlock()
	var calls sync.WaitGroup
	for _, j := range open {
		j.mu.Lock()
		j.released = j.open()
		wanted := j.released
		j.stopRuns()
		partials := j.partials()
		j.mu.Unlock()
		if wanted {
			calls.Go(func() { c.handOnJob(ctx, j.head.ID, partials) })
		}
	}
	calls.Wait()
}

const (
	// handOnTimeout bounds one call; a taker reads the job from the store.
	handOnTimeout = time.Second
	// handOnTries is how many nodes are asked to take a job; the first one may have begun to stop too.
	handOnTries = 3
)

// handOnJob gives one job to the node that would take it over, or to the next one.
func (c *Controller) handOnJob(ctx context.Context, id string, partials []Partial) {
	takers := rendezvous.Ranked(id, c.o.Fleet.Takers())
	for _, to := range takers[:min(handOnTries, len(takers))] {
		call, cancel := context.WithTimeout(ctx, handOnTimeout)
		err := c.o.Peers.Call(call, to, "Jobs.Adopt", AdoptArgs{ID: id, Partials: partials}, &Nothing{})
		cancel()
		c.o.Log.Notice("job handed on", "job", id, "to", to, "partials", len(partials), "error", err)
		if err == nil {
			c.o.Metrics.job("handed_on")
			return
		}
	}
}

// partials returns what was received of unfinished items. The caller holds the lock.
func (j *job) partials() []Partial {
	var list []Partial
	for _, it := range j.items {
		if it.phase == listed || it.after < 0 && it.failures == 0 {
			continue
		}
		p := Partial{ID: it.ID, Text: bytes.Clone(it.text), After: it.after, Lines: int(it.lines.Load()), Failures: it.failures}
		if it.phase == finished {
			p.Result = &it.result
		}
		list = append(list, p)
	}
	return list
}
