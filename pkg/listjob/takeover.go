package listjob

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/wait"
)

// adoptTimeout limits one attempt to take over a job, and one write to its log. A failed takeover is repeated by the
// next sweep.
const adoptTimeout = 8 * time.Second

// contestPeriod is how long after a takeover from another node the log is checked before an answer without results:
// longer than a network partition that ends without intervention.
const contestPeriod = 20 * time.Second

// Partial is the state of an item at the node that hands the job over.
type Partial struct {
	ID string
	// Text is the data of the events received so far, After the number of the last event and Lines their count.
	Text  []byte
	After int64
	Lines int
	// SoftwareVersion is that of the upstreams that generated Text. HasVersion is false if there is no text, or if an earlier
	// build hands it over, which does not know its version.
	SoftwareVersion string
	HasVersion      bool
	// Failures counts the responses with status 500 so far.
	Failures int
	// Result is set for an item that is finished but not listed yet.
	Result *Result
}

// adopt takes over a job: it writes the new owner into the head, reads the log and the items, and continues the job
// from there.
func (c *Controller) adopt(ctx context.Context, id string, partials []Partial) error {
	return c.adoptFrom(ctx, id, nil, partials)
}

// adoptFrom is adopt with the job's head, if a sweep has read it.
func (c *Controller) adoptFrom(ctx context.Context, id string, known *sweptHead, partials []Partial) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	c.mu.Lock()
	busy, stopping := c.busyWith(id), c.stopping
	if !busy && !stopping {
		c.adopting[id] = time.Now()
	}
	c.mu.Unlock()
	switch {
	case busy:
		return nil
	case stopping:
		return errStopping
	}
	defer func() {
		c.mu.Lock()
		delete(c.adopting, id)
		c.dropMissed(id)
		c.mu.Unlock()
	}()
	j, previous, err := c.takeOwnership(ctx, id, known)
	if err != nil {
		c.options.Log.Notice("job could not be taken over", "job", id, "error", err)
		if known == nil { // Otherwise the next sweep or check repeats the attempt.
			go c.followUp(ctx, id)
		}
		return err
	}
	c.observeListed(j)
	j.restore(partials)
	// Earlier owners may be alive, and add to the log until they learn of the takeover: the one before an earlier process of this
	// node too.
	if left := min(contestPeriod, contestPeriod-time.Since(j.head.TakenOver)); left > 0 {
		j.contestedUntil = time.Now().Add(left)
	}
	if previous.Node != c.self().Node {
		c.tell(previous, Owned{ID: id, Owner: c.self().Node, Incarnation: c.self().Incarnation, Revision: j.revision, Ended: j.head.Ended})
	}
	listed := len(j.results) // Items may run from startJob on.
	c.startJob(j)
	if c.ownedJob(id) != j {
		return nil
	}
	c.commitRestored(j)
	go c.markDone(j)
	c.announce(id, j.revision)
	c.options.Metrics.countJob("taken_over")
	c.options.Log.Notice("job taken over", "job", id, "listed", listed, "total", j.head.Total, "partials", len(partials))
	return nil
}

// busyWith reports whether this node owns a job, or is about to. The caller holds c.mu.
func (c *Controller) busyWith(id string) bool {
	return c.isStarting(id) || c.jobs[id] != nil || c.undecided[id] != nil
}

// commitRestored writes the results that an earlier owner handed over to the log.
func (c *Controller) commitRestored(j *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending) > 0 && !j.committing {
		j.committing = true
		go c.commitResults(j)
	}
}

// restore sets the items to the state that an earlier owner had reached. It is called before the job is started, since items that are
// finished would be run again.
func (j *job) restore(partials []Partial) {
	for _, p := range partials {
		it := j.byID[p.ID]
		if it == nil || it.phase != waiting {
			continue
		}
		it.failures = p.Failures
		switch {
		case p.Result != nil:
			it.phase, it.result = finished, *p.Result
			j.pending = append(j.pending, it)
		case p.HasVersion:
			it.text, it.lastEvent, it.version, it.waitingSince = p.Text, p.After, &p.SoftwareVersion, time.Now()
			it.lines.Store(int64(p.Lines))
		}
	}
}

// takeOwnership makes this node the owner of a job and reads the job from the store. It also returns the previous owner. A
// known head may be stale; the write of the owner fails then. One that names this node as the owner is read again, since
// nothing is written.
func (c *Controller) takeOwnership(ctx context.Context, id string, known *sweptHead) (*job, owner, error) {
	var h head
	var revision int64
	var err error
	ownBefore := known != nil && (owner{known.Head.Owner, known.Head.Incarnation}) == c.self()
	if known != nil && !ownBefore {
		h, revision = known.Head, known.Revision
	} else if h, revision, err = c.readHead(ctx, id); err != nil {
		return nil, owner{}, err
	}
	previous := owner{h.Owner, h.Incarnation}
	if ownBefore && previous != c.self() {
		return nil, owner{}, Error.New("job is now owned by node %s", previous.Node)
	}
	j, err := c.claim(ctx, h, revision)
	return j, previous, err
}

// claim writes this node into the head as the owner, unless it is the owner already, and reads the items and the log.
func (c *Controller) claim(ctx context.Context, h head, revision int64) (*job, error) {
	id, self := h.ID, c.self()
	h.Order = h.order(revision) // As stored: the head is handed over with the job.
	if h.Owner != self.Node {
		h.TakenOver = time.Now().UTC()
	}
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
	j.appendEntry(results)
	j.nextEntry = next
	return j, nil
}

func (c *Controller) readItems(ctx context.Context, h head) ([]Item, error) {
	var items []Item
	for n := range h.Chunks {
		o, err := c.options.Store.Get(ctx, chunkKey(h.ID, n))
		if err != nil {
			return nil, errors.Join(ErrUnavailable, err)
		}
		if items, err = appendChunk(items, o.Value); err != nil {
			return nil, errors.Join(ErrUnavailable, err)
		}
	}
	return items, nil
}

// HandOver hands the open jobs to other nodes, with the state of their items. It is called once, when the node stops, and returns when no job
// is left that another node could take over, or ctx ends. It waits for jobs that are being accepted or taken over meanwhile: nobody runs a
// job that a stopping node keeps until it is gone.
func (c *Controller) HandOver(ctx context.Context) {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		jobs, more := c.jobsToHandOver()
		for _, j := range jobs {
			j.mu.Lock()
			stillOpen := j.isOpen()
			j.released = j.released || stillOpen
			j.stopRuns()
			partials, own := j.partials(), sweptHead{j.head, j.revision}
			j.mu.Unlock()
			if stillOpen {
				calls.Go(func() { c.handOverUntilDone(ctx, own, partials) })
			}
		}
		if !more || wait.Sleep(ctx, handOverPoll) != nil {
			return
		}
	}
}

// jobsToHandOver returns the jobs of this node. more is set if others may follow: those that are being accepted or taken over, and those
// whose items are not stored yet, which no other node can read.
func (c *Controller) jobsToHandOver() (jobs []*job, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	more = len(c.creating)+len(c.adopting) > 0
	for _, j := range c.jobs {
		if j.unconfirmed.Load() {
			more = more || time.Since(j.head.Submitted) < repairTimeout
			continue
		}
		jobs = append(jobs, j)
	}
	return jobs, more
}

const (
	// handOverTimeout limits one call, for which the other node reads the job from the store, and the read of the head after it.
	handOverTimeout = time.Second
	// handOverAttempts is how many nodes are asked to take over a job; the first one may have begun to stop too.
	handOverAttempts = 3
	// handOverRetry is the pause after these attempts have failed for the first time, maxHandOverRetry the longest one, and handOverPoll the
	// time between two checks for further jobs.
	handOverRetry, maxHandOverRetry, handOverPoll = 200 * time.Millisecond, 2 * time.Second, 20 * time.Millisecond
	// maxHandOverBytes limits the texts that are handed over with a job: a message between nodes is limited too, and the rest
	// can be run again.
	maxHandOverBytes = peer.MaxMessageBytes / 2
)

// limitPartials returns the states of items that fit into a message: first those that are finished, then those with the longest
// texts.
func limitPartials(list []Partial) []Partial {
	size := func(p Partial) int {
		if p.Result != nil {
			return len(p.Text) + len(p.Result.Text)
		}
		return len(p.Text)
	}
	unfinished := func(p Partial) int {
		if p.Result != nil {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b Partial) int {
		return cmp.Or(cmp.Compare(unfinished(a), unfinished(b)), cmp.Compare(len(b.Text), len(a.Text)))
	})
	total := 0
	return slices.DeleteFunc(list, func(p Partial) bool {
		// Counts of failures take no room.
		if size(p) > 0 && total+size(p) > maxHandOverBytes {
			return true
		}
		total += size(p)
		return false
	})
}

var (
	// errStopping means that a node takes over no jobs, since it stops.
	errStopping = Error.New("node stops")
	// errNoSuccessor means that no other node lives, as far as this one knows.
	errNoSuccessor = Error.New("no other node lives")
)

func init() { peer.RegisterError("listjob.stopping", errStopping) }

// handOverUntilDone hands a job over, with further attempts while ctx lasts and there are nodes that do not stop. The pauses grow, since each
// attempt costs other nodes and the store several calls.
func (c *Controller) handOverUntilDone(ctx context.Context, own sweptHead, partials []Partial) {
	id, all := own.Head.ID, len(partials)
	partials = limitPartials(partials)
	for pause := handOverRetry; ; pause = min(2*pause, maxHandOverRetry) {
		err := c.handOverJob(ctx, &own, rendezvous.Ranked(id, c.options.Fleet.AcceptingWeights()), partials, all)
		if err == nil {
			return
		}
		if !c.successorMayCome(err) || wait.Sleep(ctx, pause+rand.N(pause/2)) != nil {
			c.options.Log.Notice("job not handed over", "job", id, "partials", len(partials), "error", err)
			return
		}
	}
}

// successorMayCome reports whether a job that was not handed over with an error may be taken over later: not if all other nodes stop.
func (c *Controller) successorMayCome(err error) bool {
	if !errors.Is(err, errNoSuccessor) {
		return !errors.Is(err, errStopping)
	}
	self := c.self().Node
	return slices.ContainsFunc(c.options.Fleet.Known(), func(m fleet.Member) bool { return m.Name != self && !m.Draining })
}

// handOverJob hands a job to its successor, or to the next node in rank if the call fails; nodes that stop are passed over. It returns nil if
// another node owns the job, errStopping if all candidates stop, and errNoSuccessor if there are none. The calls name the head that may be replaced, so that one that is read late takes the job from nobody.
func (c *Controller) handOverJob(ctx context.Context, own *sweptHead, candidates []string, partials []Partial, all int) error {
	id, failed, asked := own.Head.ID, errNoSuccessor, 0
	for _, to := range candidates {
		if asked == handOverAttempts {
			break
		}
		for again := true; again; {
			err := c.askToAdopt(ctx, to, *own, partials)
			c.options.Log.Notice("asked another node to take over job", "job", id, "to", to, "partials", len(partials), "left_out", all-len(partials), "error", err)
			if err == nil {
				c.options.Metrics.countJob("handed_on")
				return nil
			}
			if errors.Is(err, errStopping) {
				if asked == 0 {
					failed = errStopping
				}
				break
			}
			failed = err
			// The node may have taken the job over without an answer in time, or the head may have been written meanwhile.
			h, revision, err := c.readOwnHead(ctx, id)
			if err == nil && (owner{h.Owner, h.Incarnation}) != c.self() || errors.Is(err, ErrNotFound) {
				c.options.Log.Notice("job is now owned by another node", "job", id, "owner", h.Owner)
				return nil
			}
			again = err == nil && revision != own.Revision
			if again {
				*own = sweptHead{h, revision}
			}
			if !again {
				asked++
			}
		}
	}
	return failed
}

// readOwnHead reads the head of a job that is handed over.
func (c *Controller) readOwnHead(ctx context.Context, id string) (head, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return c.readHead(ctx, id)
}

// askToAdopt asks a node to take over a job whose head is as in own.
func (c *Controller) askToAdopt(ctx context.Context, node string, own sweptHead, partials []Partial) error {
	value, err := json.Marshal(own.Head)
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return c.options.Peers.Call(ctx, node, "Jobs.Adopt", AdoptArgs{ID: own.Head.ID, Partials: partials, Head: value, Revision: own.Revision}, &Nothing{})
}

// partials returns the state of unlisted items that have received events or failures. The caller holds j.mu.
func (j *job) partials() []Partial {
	var list []Partial
	for _, it := range j.items {
		if it.phase == listed || it.lastEvent < 0 && it.failures == 0 {
			continue
		}
		p := Partial{ID: it.ID, Text: bytes.Clone(it.text), After: it.lastEvent, Lines: int(it.lines.Load()), Failures: it.failures}
		if it.version != nil {
			p.SoftwareVersion, p.HasVersion = *it.version, true
		}
		if it.phase == finished {
			p.Result = &it.result
		}
		list = append(list, p)
	}
	return list
}
