package admission

import (
	"context"
	"time"

	decision "trefoilplank.example/pkg/decision/admission"
)

// exchangeTimeout bounds the call that reports held slots to one owner.
const exchangeTimeout = time.Second

// reportHeldSlots reports to owners the slots that this node holds on their upstreams, and gets loads in return. An owner
// gets a report when it takes an upstream over, every reportInterval while slots are held, and once after the last call
// to it.
func (c *Controller) reportHeldSlots(ctx context.Context) {
	now, due := time.Now(), map[string]bool{}
	owners, index, byOwner := c.heldByOwner()
	c.mu.Lock()
	for owner := range c.contacted {
		due[owner] = due[owner] || now.Sub(c.lastReport[owner]) >= reportInterval
	}
	for owner := range byOwner {
		due[owner] = due[owner] || now.Sub(c.lastReport[owner]) >= reportInterval
	}
	if index != c.lastIndex {
		c.lastIndex = index
		for i, owner := range index.owner {
			// A new owner waits for the report of every member, including those that hold no slots.
			name := index.upstreams[i].Name
			due[owner] = due[owner] || c.lastOwner[name] != owner
			c.lastOwner[name] = owner
		}
	}
	c.reportPasses++
	if c.reportPasses%(len(index.byOwner)/staleLoadOwners+1) == 0 {
		if stale := c.stalestOwner(now, index); stale != "" {
			due[stale] = true
		}
	}
	for owner, needed := range due {
		if !needed {
			continue
		}
		c.lastReport[owner] = now
		if len(byOwner[owner]) == 0 {
			delete(c.contacted, owner)
		}
		c.backgroundCalls.Go(func() { c.reportTo(ctx, owner, LoadArgs{c.Self, byOwner[owner], owners}) })
	}
	c.mu.Unlock()
}

// stalestOwner returns the owner whose loads are the oldest, if they are older than staleLoadAge and it was not asked
// within that time; c.mu is held.
func (c *Controller) stalestOwner(now time.Time, index *registerIndex) string {
	owner, oldest := "", staleLoadAge
	for node, names := range index.byOwner {
		if node == c.Self || now.Sub(c.lastReport[node]) < staleLoadAge {
			continue
		}
		for _, name := range names {
			if age := now.Sub(c.view(name).receivedAt); age > oldest {
				owner, oldest = node, age
			}
		}
	}
	return owner
}

func (c *Controller) reportTo(ctx context.Context, owner string, args LoadArgs) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply := &LoadReply{}
	if c.call(ctx, owner, "Load", &args, reply) == nil {
		c.storeLoads(reply.Loads)
	}
}

// heldByOwner returns the slots that this node holds by the owner of their upstream, with the digest of the owners and the
// index that belong to it.
func (c *Controller) heldByOwner() (owners uint64, index *registerIndex, byOwner map[string][]HeldSlot) {
	for {
		owners, index, byOwner = c.registerIndex().ownersDigest, c.registerIndex(), map[string][]HeldSlot{}
		c.mu.Lock()
		for _, h := range c.held {
			owner := c.owner(h.upstream)
			byOwner[owner] = append(byOwner[owner], HeldSlot{Upstream: h.upstream, Work: h.work})
		}
		c.mu.Unlock()
		if c.registerIndex().ownersDigest == owners {
			return owners, index, byOwner
		}
	}
}

// reconcile replaces the slots that a node holds on this upstream, and fills idle slots if all members have now reported
// to a new owner. complete is set if the report names all slots that the node holds here.
func (o *ownedUpstream) reconcile(node string, works []Work, complete bool) {
	if o.replaceHeldSlots(node, works, complete) {
		o.fillIdleSlots()
	}
}

// replaceHeldSlots replaces the slots that a node holds on this upstream. It returns true when a new owner has got complete
// reports of all members and may grant slots.
func (o *ownedUpstream) replaceHeldSlots(node string, works []Work, complete bool) bool {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	held := make([]decision.Item, 0, len(works))
	for _, w := range works {
		if _, gone := o.cancelled[w.Ticket]; !gone {
			held = append(held, w.toItem(node, now))
		}
	}
	o.applyDecisions(now, o.state.Reconcile(now, node, held, heldSlotGrace))
	if o.reported == nil || !complete {
		return false
	}
	o.reported[node] = true
	for name := range o.c.Board.Members.Value().Live {
		if !o.reported[name] {
			return false
		}
	}
	o.reported = nil
	o.applyDecisions(now, o.state.Freeze(now, now))
	return true
}
