package admission

import (
	"context"
	"time"

	decision "trefoilplank.example/pkg/decision/admission"
)

// exchangeTimeout bounds one exchange of held slots.
const exchangeTimeout = time.Second

// exchange tells owners the slots that this node holds on their upstreams, and learns loads. An owner is told
// when it takes an upstream over, at reportInterval while slots are held, and once after the last call to it.
func (c *Controller) exchange(ctx context.Context) {
	now, l := time.Now(), c.layout()
	byOwner := map[string][]HeldSlot{}
	due := map[string]bool{}
	c.mu.Lock()
	for _, h := range c.held {
		owner := c.owner(h.upstream)
		byOwner[owner] = append(byOwner[owner], HeldSlot{Upstream: h.upstream, Work: h.work})
	}
	for owner := range c.talked {
		due[owner] = due[owner] || now.Sub(c.told[owner]) >= reportInterval
	}
	for owner := range byOwner {
		due[owner] = due[owner] || now.Sub(c.told[owner]) >= reportInterval
	}
	if l != c.lastLayout {
		c.lastLayout = l
		for i, owner := range l.owner {
			// A new owner waits for the report of every member, also of those that hold nothing.
			name := l.upstreams[i].Name
			due[owner] = due[owner] || c.lastOwner[name] != owner
			c.lastOwner[name] = owner
		}
	}
	c.passes++
	if c.passes%(len(l.byOwner)/staleOwners+1) == 0 {
		if stale := c.stalest(now, l); stale != "" {
			due[stale] = true
		}
	}
	for owner, is := range due {
		if !is {
			continue
		}
		c.told[owner] = now
		if len(byOwner[owner]) == 0 {
			delete(c.talked, owner)
		}
		c.background.Go(func() { c.report(ctx, owner, byOwner[owner]) })
	}
	c.mu.Unlock()
}

// stalest returns the owner whose loads are the oldest, if they are older than staleView and it was not asked
// within that time; c.mu is held.
func (c *Controller) stalest(now time.Time, l *layout) string {
	owner, oldest := "", staleView
	for node, names := range l.byOwner {
		if node == c.Self || now.Sub(c.told[node]) < staleView {
			continue
		}
		for _, name := range names {
			if age := now.Sub(c.view(name).at); age > oldest {
				owner, oldest = node, age
			}
		}
	}
	return owner
}

func (c *Controller) report(ctx context.Context, owner string, held []HeldSlot) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply := &LoadReply{}
	if c.call(ctx, owner, "Load", &LoadArgs{Node: c.Self, Held: held}, reply) == nil {
		c.absorb(reply.Loads)
	}
}

// reconcile replaces the slots that a node holds on this upstream.
func (o *owned) reconcile(node string, works []Work) {
	if o.takeSlots(node, works) {
		o.fill()
	}
}

// takeSlots reports whether a new owner now knows the slots of all members.
func (o *owned) takeSlots(node string, works []Work) bool {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	held := make([]decision.Item, 0, len(works))
	for _, w := range works {
		if _, gone := o.cancelled[w.Ticket]; !gone {
			held = append(held, w.item(node, now))
		}
	}
	o.apply(now, o.state.Reconcile(now, node, held, heldGrace))
	if o.reported == nil {
		return false
	}
	o.reported[node] = true
	for name := range o.c.Board.Members.Value().Live {
		if !o.reported[name] {
			return false
		}
	}
	o.reported = nil
	o.apply(now, o.state.Freeze(now, now))
	return true
}
