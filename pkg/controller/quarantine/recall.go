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
	// recentChange is how long a change of the members counts as recent. During this time, records may not have arrived
	// yet from the previous owners at the new ones.
	recentChange = 10 * time.Second
	// recallParallel bounds the concurrent Recall calls; the target fleet has 380 nodes.
	recallParallel = 64
	// handOverRecords bounds the records in one HandOver call.
	handOverRecords = 1000
)

// memberHistory holds the live members and their recent changes. It is guarded by the controller's mutex.
type memberHistory struct {
	live         []string
	joined, lost map[string]time.Time
	// changedAt is the time of the last change.
	changedAt time.Time
}

// update stores the new members and returns the previous ones. This node counts as joined when it starts. It can't tell
// which of the others that it sees until recentChange have joined, so none of them does.
func (h *memberHistory) update(self string, live map[string]blackboard.Member, now time.Time) []string {
	before := h.live
	h.changedAt = now
	old := func(_ string, at time.Time) bool { return now.Sub(at) >= recentChange }
	maps.DeleteFunc(h.joined, old)
	maps.DeleteFunc(h.lost, old)
	first := h.joined == nil
	if first {
		h.joined, h.lost = map[string]time.Time{self: now}, map[string]time.Time{}
	}
	_, starting := h.joined[self]
	h.live = memberNames(live)
	for _, name := range h.live {
		if slices.Contains(before, name) {
			continue
		}
		delete(h.lost, name)
		if !starting {
			h.joined[name] = now
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
func (h *memberHistory) previous(live []string, now time.Time) []string {
	list := slices.DeleteFunc(live, func(n string) bool { return now.Sub(h.joined[n]) < recentChange })
	for name, at := range h.lost {
		if now.Sub(at) < recentChange {
			list = append(list, name)
		}
	}
	return list
}

// RecallArgs asks a node for its records of a fingerprint. From is the asking node.
type RecallArgs struct{ Fingerprint, From string }

// RecallReply answers RecallArgs.
type RecallReply struct {
	Records []quarantine.Record
	// Checks holds the reservations that the node's checks in progress ask for.
	Checks []string
	// New is set by a node that joined within recentChange and so may have lost earlier records.
	New bool
}

// Recall returns the node's records of a fingerprint, including its own runs in progress.
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
	c.recordExported(reply.Records, a.From)
	for reservation, pending := range c.pendingChecks {
		if pending.fingerprint != a.Fingerprint {
			continue
		}
		reply.Checks = append(reply.Checks, reservation)
		if a.From != "" {
			pending.recalling = append(pending.recalling, a.From)
		}
	}
	return nil
}

// recordExported records that a node learned of runs of this node, so that their end is reported to it; c.mu is held.
func (c *Controller) recordExported(records []quarantine.Record, node string) {
	for _, record := range records {
		request := requestOf(record.Runner)
		if r, ok := c.runs.Peek(request); ok && node != "" {
			r.exported = append(slices.Clone(r.exported), node)
			c.runs.Add(request, r)
		}
	}
}

// pendingCheck is a check that has no answer yet. recalling holds the nodes that called Recall for the fingerprint
// meanwhile: such a node may have become the owner without knowing the verdict of the previous owner.
type pendingCheck struct {
	fingerprint string
	recalling   []string
}

func (c *Controller) addPendingCheck(a CheckArgs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingChecks[a.Request] = &pendingCheck{fingerprint: a.Fingerprint}
}

func (c *Controller) removePendingCheck(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingChecks, request)
}

// addRun stores a run, so that later Recall calls return it, and returns the nodes that called Recall during the check.
func (c *Controller) addRun(request string, a CheckArgs, r run) (recalling []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Add(request, r)
	if pending := c.pendingChecks[a.Request]; pending != nil {
		recalling = pending.recalling
	}
	return recalling
}

// confirm reports the run to the nodes that may have become owner during the check. If one of them knows another run of
// the fingerprint or refuses, it returns that node's verdict, by which the request waits or is refused.
func (c *Controller) confirm(ctx context.Context, nodes []string, a CheckArgs, reply CheckReply) CheckReply {
	a.Inform = true
	for _, node := range nodes {
		var other CheckReply
		if c.call(ctx, node, "Check", &a, &other) && forbids(other.Verdict) {
			reply = other
		}
		c.recordLearned(node, a)
	}
	return reply
}

// knownCrashes returns the record of a fingerprint's crashes that this node has stored, if any.
func (c *Controller) knownCrashes(fingerprint string) []quarantine.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.table.Export(fingerprint, time.Now())
	if !ok || record.Suspect == 0 && record.Refused == 0 && record.Excused == 0 {
		return nil
	}
	record.Runner, record.Wait = "", 0
	return []quarantine.Record{record}
}

// holdersOf returns the nodes that get the report of a run: the holders at its check, unless the members have changed or
// one of the holders did not answer since.
func (c *Controller) holdersOf(fingerprint string, r run) []string {
	c.mu.Lock()
	now := time.Now()
	same := len(r.order) > 0 && r.began.After(c.members.changedAt) &&
		!slices.ContainsFunc(r.order, func(n string) bool { return now.Before(c.avoidUntil[n]) })
	c.mu.Unlock()
	if same {
		return r.order
	}
	order, _ := c.decidingNodes(fingerprint, holderCount)
	return order
}

// isNew reports whether this node joined within recentChange; c.mu is held.
func (c *Controller) isNew() bool { return time.Since(c.members.joined[c.Self]) < recentChange }

// HandOverArgs sends records to a new owner.
type HandOverArgs struct{ Records []quarantine.Record }

// HandOver adds the records of another node to the table.
func (r *Receiver) HandOver(a *HandOverArgs, _ *struct{}) error {
	r.c.mergeRecords(a.Records)
	return nil
}

// mergeRecords adds records to the table. If the run in a record has already ended, the record is added without it.
func (c *Controller) mergeRecords(records []quarantine.Record) {
	if len(records) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range records {
		if c.ended.Contains(record.Runner) {
			record.Runner = ""
		}
		c.table.Merge(record, time.Now())
		c.wakeChecks(record.Fingerprint)
	}
}

// recall fetches the records of a fingerprint after a recent change of the members, if this node was not a holder before
// it. It asks the previous holders and, if none of them answers, all nodes, since each remembers its own runs and the
// crashes that it saw.
func (c *Controller) recall(fingerprint string, moved bool) {
	now := time.Now()
	c.mu.Lock()
	moved = moved || now.Sub(c.members.changedAt) < recentChange
	c.mu.Unlock()
	if !moved {
		return
	}
	live := c.liveMembers()
	c.mu.Lock()
	before := rendezvous.Top(fingerprint, c.members.previous(slices.Clone(live), now), holderCount)
	at, _ := c.recalledAt.Get(fingerprint)
	c.mu.Unlock()
	if len(before) == 0 || slices.Contains(before, c.Self) || now.Sub(at) < recentChange {
		return
	}
	_, _, _ = c.recalls.Do(fingerprint, func() (any, error) {
		if !c.recallFrom(before, fingerprint) {
			c.recallFrom(slices.DeleteFunc(slices.Clone(live), func(n string) bool {
				return n == c.Self || slices.Contains(before, n)
			}), fingerprint)
		}
		c.mergeRecords(c.ownRecords(fingerprint))
		c.recalledAt.Add(fingerprint, time.Now())
		return nil, nil
	})
}

// recallFrom calls Recall on the nodes concurrently and reports whether a node answered that was a member before the
// recent changes. If this node is new as well, the fleet is starting, and the answer of a new node is enough.
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
				c.mergeRecords(reply.Records)
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

// handOver sends the records of this node to the nodes that became holders by the change of the members.
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
		old := rendezvous.Top(record.Fingerprint, before, holderCount)
		for _, node := range rendezvous.Top(record.Fingerprint, after, holderCount) {
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

// isBlamed reports whether this node knows that the fingerprint is suspect or quarantined, or has requests waiting for an
// equal one, so that a run that survived must be reported.
func (c *Controller) isBlamed(fingerprint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocked[fingerprint] > 0 || c.table.Blamed(fingerprint, time.Now())
}

// askSuccessor reports a reservation to the first node other than the owner that answers, and returns its verdict.
func (c *Controller) askSuccessor(ctx context.Context, order []string, args *CheckArgs) (reply CheckReply) {
	owner := order[0]
	for i := range candidateCount {
		successors := slices.DeleteFunc(slices.Clone(order), func(n string) bool { return n == owner })
		if len(successors) == 0 {
			return reply
		}
		answered := c.call(ctx, successors[0], "Check", args, &reply)
		if i > 0 || !answered {
			c.recordLearned(successors[0], *args)
		}
		if answered {
			return reply
		}
		order, _ = c.decidingNodes(args.Fingerprint, holderCount)
	}
	return reply
}
