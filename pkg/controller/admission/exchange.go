package admission

import (
	"context"
	"time"

	"trefoilplank.example/pkg/blackboard"
	decision "trefoilplank.example/pkg/decision/admission"
)

// exchangeTimeout bounds one exchange of held slots.
const exchangeTimeout = time.Second

// exchange reports held slots to the owners of their upstreams and learns their loads.
func (c *Controller) exchange(ctx context.Context, members blackboard.Members) {
	byOwner := map[string][]HeldSlot{}
	c.mu.Lock()
	for _, h := range c.held {
		owner := decision.Owner(h.upstream, members)
		byOwner[owner] = append(byOwner[owner], HeldSlot{Upstream: h.upstream, Work: h.work})
	}
	c.mu.Unlock()
	for owner, held := range byOwner {
		go c.report(ctx, owner, held)
	}
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
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	held := make([]decision.Item, 0, len(works))
	for _, w := range works {
		if _, gone := o.cancelled[w.ID]; !gone {
			held = append(held, w.item(node, now))
		}
	}
	o.apply(now, o.state.Reconcile(now, node, held, heldGrace))
}
