package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/quarantine"
	"trefoilplank.example/pkg/decision/rendezvous"
)

const (
	// settle is how long a change of the members counts as recent. Within it, the records of the owners before the
	// change may still be on their way to the new ones.
	settle = 10 * time.Second
	// recallParallel bounds the questions under way at once; the target fleet has 380 nodes.
	recallParallel = 64
	// handOverRecords bounds the records of one call.
	handOverRecords = 1000
)

// history remembers recent changes of the members. It is guarded by the controller's mutex.
type history struct {
	live         []string
	joined, lost map[string]time.Time
	// changed is the time of the last change.
	changed time.Time
}

// update takes the members in and returns those before. A node that starts beside others counts as joined.
func (h *history) update(self string, live map[string]blackboard.Member, now time.Time) []string {
	before := h.live
	h.changed = now
	old := func(_ string, at time.Time) bool { return now.Sub(at) >= settle }
	maps.DeleteFunc(h.joined, old)
	maps.DeleteFunc(h.lost, old)
	first := h.joined == nil
	if first {
		h.joined, h.lost = map[string]time.Time{}, map[string]time.Time{}
		if len(live) > 1 {
			h.joined[self] = now
		}
	}
	h.live = names(live)
	for _, name := range h.live {
		if !first && !slices.Contains(before, name) {
			h.joined[name] = now
			delete(h.lost, name)
		}
	}
	for _, name := range before {
		if _, ok := live[name]; !ok {
			h.lost[name] = now
			delete(h.joined, name)
		}
	}
	return before
}

// previous returns the members as they were before the recent changes.
func (h *history) previous(live []string, now time.Time) []string {
	list := slices.DeleteFunc(live, func(n string) bool { return now.Sub(h.joined[n]) < settle })
	for name, at := range h.lost {
		if now.Sub(at) < settle {
			list = append(list, name)
		}
	}
	return list
}

// RecallArgs asks what a node knows against a fingerprint. From is the asking node.
type RecallArgs struct{ Fingerprint, From string }

// RecallReply answers RecallArgs.
type RecallReply struct {
	Records []quarantine.Record
	// New is set by a node that started a moment ago and so may have lost what it knew.
	New bool
}

// Recall returns the node's records of a fingerprint, its own runs in progress included.
func (r *Receiver) Recall(a *RecallArgs, reply *RecallReply) error {
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	reply.New = c.isNew()
	if record, ok := c.table.Export(a.Fingerprint, now); ok {
		reply.Records = append(reply.Records, record)
	}
	reply.Records = append(reply.Records, c.ownRecords(a.Fingerprint)...)
	c.exported(reply.Records, a.From)
	for _, check := range c.asking {
		if check.fingerprint == a.Fingerprint && a.From != "" {
			check.recalling = append(check.recalling, a.From)
		}
	}
	return nil
}

// exported remembers that a node learned of runs of this node, so that it learns of their end. c.mu is held.
func (c *Controller) exported(records []quarantine.Record, node string) {
	for _, record := range records {
		request := requestOf(record.Runner)
		if r, ok := c.runs.Peek(request); ok && node != "" {
			r.exported = append(slices.Clone(r.exported), node)
			c.runs.Add(request, r)
		}
	}
}

// asking is a check that awaits an answer. recalling holds the nodes that asked for the fingerprint meanwhile: they
// may have become its owner, and an answer of the owner before may be unknown to them.
type asking struct {
	fingerprint string
	recalling   []string
}

func (c *Controller) beginAsking(a CheckArgs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asking[a.Request] = &asking{fingerprint: a.Fingerprint}
}

func (c *Controller) endAsking(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.asking, request)
}

// cleared makes the run known to later questions and returns the nodes that asked before.
func (c *Controller) cleared(request string, a CheckArgs, r run) (recalling []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Add(request, r)
	if check := c.asking[a.Request]; check != nil {
		recalling = check.recalling
	}
	return recalling
}

// confirm asks the nodes that may have become owner during the check, and lets the request wait or be refused if one of
// them has another run of the fingerprint.
func (c *Controller) confirm(ctx context.Context, nodes []string, a CheckArgs, reply CheckReply) CheckReply {
	a.Inform = true
	for _, node := range nodes {
		var other CheckReply
		if c.call(ctx, node, "Check", &a, &other) && (other.Verdict == quarantine.Busy || other.Verdict == quarantine.Refused) {
			reply = other
		}
	}
	return reply
}

// abandon gives up the reservation of a request that waits for another one or is refused.
func (c *Controller) abandon(ctx context.Context, fingerprint, request string) {
	if c.runs.Contains(request) {
		c.Finished(ctx, fingerprint, request, "", false)
	}
}

// known returns the crashes of a fingerprint that this node saw.
func (c *Controller) known(fingerprint string) []quarantine.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.table.Export(fingerprint, time.Now())
	if !ok || record.Suspect == 0 && record.Refused == 0 {
		return nil
	}
	record.Runner, record.Wait = "", 0
	return []quarantine.Record{record}
}

// holdersOf returns the holders for the report of a run: those of its check unless one was lost meanwhile.
func (c *Controller) holdersOf(fingerprint string, r run) []string {
	c.mu.Lock()
	now := time.Now()
	same := len(r.order) > 0 && r.began.After(c.members.changed) &&
		!slices.ContainsFunc(r.order, func(n string) bool { return now.Before(c.avoid[n]) })
	c.mu.Unlock()
	if same {
		return r.order
	}
	order, _ := c.order(fingerprint, holders)
	return order
}

// isNew reports whether the node joined a moment ago. c.mu is held.
func (c *Controller) isNew() bool { return time.Since(c.members.joined[c.Self]) < settle }

// reservations returns the records of the node's own reserved runs that match.
func (c *Controller) reservations(match func(run) bool, now time.Time) []quarantine.Record {
	var list []quarantine.Record
	for _, request := range c.runs.Keys() {
		if r, ok := c.runs.Peek(request); ok && r.reserved && match(r) {
			if record := quarantine.Reservation(r.fingerprint, r.reservation, r.trial, r.began, now); record.Wait > 0 {
				list = append(list, record)
			}
		}
	}
	return list
}

// HandOverArgs gives records to a new owner.
type HandOverArgs struct{ Records []quarantine.Record }

// HandOver takes records in.
func (r *Receiver) HandOver(a *HandOverArgs, _ *struct{}) error {
	r.c.merge(a.Records)
	return nil
}

func (c *Controller) merge(records []quarantine.Record) {
	if len(records) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		if c.over.Contains(record.Runner) {
			record.Runner = ""
		}
		c.table.Merge(record, time.Now())
		c.wake(record.Fingerprint)
	}
}

// recall asks the holders of a fingerprint before the recent changes when this node was none of them. When none of
// them answers, it asks all nodes: each remembers its own runs and the crashes that it saw.
func (c *Controller) recall(fingerprint string, moved bool) {
	now := time.Now()
	c.mu.Lock()
	moved = moved || now.Sub(c.members.changed) < settle
	c.mu.Unlock()
	if !moved {
		return
	}
	live := c.live()
	c.mu.Lock()
	before := rendezvous.Top(fingerprint, c.members.previous(slices.Clone(live), now), holders)
	at, _ := c.recalled.Get(fingerprint)
	c.mu.Unlock()
	if len(before) == 0 || slices.Contains(before, c.Self) || now.Sub(at) < settle {
		return
	}
	_, _, _ = c.recalls.Do(fingerprint, func() (any, error) {
		if !c.recallFrom(before, fingerprint) {
			c.recallFrom(slices.DeleteFunc(slices.Clone(live), func(n string) bool {
				return n == c.Self || slices.Contains(before, n)
			}), fingerprint)
		}
		c.merge(c.ownRecords(fingerprint))
		c.recalled.Add(fingerprint, time.Now())
		return nil, nil
	})
}

func (c *Controller) ownRecords(fingerprint string) []quarantine.Record {
	return c.reservations(func(r run) bool { return r.fingerprint == fingerprint }, time.Now())
}

// recallFrom asks the nodes at once and reports whether one answered that was there before the recent changes. When
// this node is new as well, the fleet is starting, and the answer of a new node is enough.
func (c *Controller) recallFrom(nodes []string, fingerprint string) bool {
	ctx, stop := context.WithTimeout(context.Background(), c.Timeouts.Recall)
	defer stop()
	var mu sync.Mutex
	answered := false
	c.mu.Lock()
	starting := c.isNew()
	c.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(recallParallel)
	for _, node := range nodes {
		group.Go(func() error {
			var reply RecallReply
			if c.Peers.Call(ctx, node, "Quarantine.Recall", &RecallArgs{fingerprint, c.Self}, &reply) == nil {
				c.merge(reply.Records)
				mu.Lock()
				defer mu.Unlock()
				answered = answered || !reply.New || starting
			}
			return nil
		})
	}
	_ = group.Wait()
	return answered
}

// handOver gives the records of this node to those holders that the change of the members made.
func (c *Controller) handOver(ctx context.Context, before, after []string) {
	if len(before) == 0 {
		return
	}
	now := time.Now()
	c.mu.Lock()
	records := append(c.table.ExportAll(now), c.reservations(func(run) bool { return true }, now)...)
	c.mu.Unlock()
	byNode := map[string][]quarantine.Record{}
	for _, record := range records {
		old := rendezvous.Top(record.Fingerprint, before, holders)
		for _, node := range rendezvous.Top(record.Fingerprint, after, holders) {
			if node != c.Self && !slices.Contains(old, node) {
				byNode[node] = append(byNode[node], record)
			}
		}
	}
	for node, list := range byNode {
		go func() {
			for part := range slices.Chunk(list, handOverRecords) {
				if !c.call(ctx, node, "HandOver", &HandOverArgs{part}, &struct{}{}) {
					return
				}
			}
		}()
	}
}

// doubted reports whether this node knows of a suspicion, so that a whole run is worth a report.
func (c *Controller) doubted(fingerprint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocked[fingerprint] > 0 || c.table.Suspect(fingerprint, time.Now())
}

func (c *Controller) askSuccessor(ctx context.Context, order []string, args *CheckArgs) (reply CheckReply) {
	owner := order[0]
	for range candidates {
		successors := slices.DeleteFunc(slices.Clone(order), func(n string) bool { return n == owner })
		if len(successors) == 0 || c.call(ctx, successors[0], "Check", args, &reply) {
			return reply
		}
		order, _ = c.order(args.Fingerprint, holders)
	}
	return reply
}
