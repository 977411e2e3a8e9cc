package reconcile

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/weights"
	"trefoilplank.example/pkg/decision/reconcile"
)

// sortedNames returns the sorted keys of a map, which makes passes deterministic.
func sortedNames[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// syncGroup makes one pass over a group and reports whether changes are in progress.
func (c *Controller) syncGroup(ctx context.Context, g group, v *statusView) bool {
	err := c.settleGroup(ctx, g)
	if err == nil {
		err = c.updateRollouts(ctx, g)
	}
	records := map[string]rollout{}
	for _, m := range g.models {
		if cached := c.rollouts.cache[m.Name]; cached != nil {
			records[m.Name] = cached.rollout
		}
	}
	in := c.planInput(g, records)
	plan := reconcile.MakePlan(in)
	if err != nil {
		// No orders are sent, since without the records a stopped version could be loaded again.
		v.addStoreError(g.key, err)
		c.addGroup(v, g, in, plan, records)
		return true
	}
	hasOrder, canTransfer := map[string]bool{}, true
	for _, o := range plan.Orders {
		hasOrder[o.Upstream] = true
		if o.Transfers() && !canTransfer {
			continue
		}
		if err := c.executeOrder(ctx, g, o); err != nil {
			var busy *weights.BusyError
			if errors.As(err, &busy) {
				// The weight store's rate is used up. Orders are sorted by need, so the remaining transfers wait.
				canTransfer = false
			}
			plan.Waits = append(plan.Waits, reconcile.Wait{Model: o.Model, Upstream: o.Upstream, Reason: err.Error()})
		}
	}
	c.releaseIdle(ctx, g, hasOrder)
	c.addGroup(v, g, in, plan, records)
	return len(plan.Orders) > 0 || slices.ContainsFunc(g.upstreams, func(u api.Upstream) bool {
		e := c.engines[u.Name]
		return e.pending != nil || (e.state != nil && len(e.state.Loading) > 0)
	})
}

// releaseIdle releases the leases of upstreams that need no order, so that a successor need not wait for them.
func (c *Controller) releaseIdle(ctx context.Context, g group, hasOrder map[string]bool) {
	for _, u := range g.upstreams {
		e := c.engines[u.Name]
		if c.leases.held[u.Name] != nil && !hasOrder[u.Name] && e.pending == nil && !e.mustReread {
			c.release(ctx, u.Name)
		}
	}
}

// updateRollouts updates the roll-out records of a group: it starts a new record for a new desired version and drops
// claims whose change has ended.
func (c *Controller) updateRollouts(ctx context.Context, g group) error {
	var errs []error
	for _, m := range g.models {
		r, err := c.rollouts.get(ctx, m.Name)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		previous, outdated := c.otherVersion(g, m)
		if m.Version != "" && r.Version != m.Version && outdated {
			errs = append(errs, c.rollouts.update(ctx, m.Name, func(r *rollout) {
				if r.Stopped {
					previous = r.Previous
				}
				if previous == m.Version {
					previous = ""
				}
				*r = rollout{Version: m.Version, Previous: previous, Since: c.Now().UTC(), Claims: r.Claims}
			}))
		}
		errs = append(errs, c.dropClaims(ctx, g, m.Name, r.Claims))
	}
	return errors.Join(errs...)
}

// otherVersion returns the version other than the desired one that most engines hold, and whether any engine holds one.
func (c *Controller) otherVersion(g group, m api.Model) (string, bool) {
	counts := map[string]int{}
	for _, u := range g.upstreams {
		if e := c.engines[u.Name]; e.state != nil && e.takesOrders {
			if v, ok := e.state.Models[m.Name]; ok && v != m.Version {
				counts[v]++
			}
		}
	}
	best := ""
	for _, v := range sortedNames(counts) {
		if best == "" || counts[v] > counts[best] {
			best = v
		}
	}
	return best, len(counts) > 0
}

// dropClaims drops the claims whose change has ended. The change of a claim by another node, or by an earlier process of
// this node, counts as ended only once this process has the order lease and has read the state under it, since the order
// may still be in flight.
func (c *Controller) dropClaims(ctx context.Context, g group, model string, claims map[string]string) error {
	var ended []string
	for _, name := range sortedNames(claims) {
		i := slices.IndexFunc(g.upstreams, func(u api.Upstream) bool { return u.Name == name })
		if i < 0 {
			ended = append(ended, name)
			continue
		}
		e := c.engines[name]
		if e.pending != nil || e.err != nil || e.state == nil || len(e.state.Loading) > 0 {
			continue
		}
		if !c.deadline(name).After(c.Now()) {
			if _, err := c.acquire(ctx, g.upstreams[i], e); err != nil {
				continue
			}
		}
		if !e.mustReread {
			ended = append(ended, name)
		}
	}
	if len(ended) == 0 {
		return nil
	}
	return c.rollouts.update(ctx, model, func(r *rollout) {
		for _, name := range ended {
			delete(r.Claims, name)
		}
	})
}

// acquire acquires or renews the order lease of an upstream. A new lease requires another read of the engine's state.
func (c *Controller) acquire(ctx context.Context, u api.Upstream, e *engineStatus) (fresh bool, err error) {
	var floor int64
	if e.state != nil {
		floor = e.state.Fencing
	}
	fresh, err = c.leases.acquire(ctx, u, floor)
	if err == nil && fresh {
		e.mustReread, c.nextPassNow = true, true
		c.recordDecision(u.Name, "order-lease", "this node may now send orders", map[string]any{"token": c.heldToken(u.Name)})
	}
	return fresh, err
}

// heldToken returns the fencing token of a held order lease, or 0.
func (c *Controller) heldToken(upstream string) int64 {
	if h := c.leases.held[upstream]; h != nil {
		return h.record.Token
	}
	return 0
}

// deadline returns the time before which orders may be sent: the earlier deadline of the order lease and the node's own
// lease.
func (c *Controller) deadline(upstream string) time.Time {
	order, node := c.leases.deadline(upstream), c.Board.Lease.Value().Deadline
	if node.Before(order) {
		return node
	}
	return order
}

// executeOrder sends one order of a plan. Before that it acquires the order lease, starts the weight transfer, claims
// the replicas that leave service, and records the adapter version. An error means that the order was not sent, that
// the engine refused it, or that its outcome is unknown.
func (c *Controller) executeOrder(ctx context.Context, g group, o reconcile.Order) error {
	i := slices.IndexFunc(g.upstreams, func(u api.Upstream) bool { return u.Name == o.Upstream })
	u, e := g.upstreams[i], c.engines[o.Upstream]
	if _, err := c.acquire(ctx, u, e); err != nil {
		return err
	}
	if e.mustReread || e.reported {
		// The plan used a state from before the lease, and an order of a former holder may have arrived since. The next
		// pass follows at once and reads the engine's state itself.
		e.mustReread, c.nextPassNow = true, true
		return Error.New("the state is read again after taking the order lease")
	}
	if o.Transfers() && c.Weights != nil {
		if err := c.Weights.RequestTransfer(ctx, o.Model, o.Version); err != nil {
			return c.handleTransferError(ctx, g, e, o, err)
		}
	}
	for _, model := range o.Disrupts {
		if err := c.claim(ctx, model, o.Upstream); err != nil {
			return err
		}
	}
	if o.Adapter != "" {
		version := o.Version
		if o.Kind == reconcile.Unload {
			version = ""
		}
		if err := c.leases.setAdapter(ctx, o.Upstream, o.Adapter, version); err != nil {
			return err
		}
	}
	return c.sendOrder(ctx, u, e, o)
}

// claim records that an upstream leaves service for a change. It fails if another node changed the model's record since
// the plan was made.
func (c *Controller) claim(ctx context.Context, model, upstream string) error {
	err := c.rollouts.update(ctx, model, func(r *rollout) { r.Claims[upstream] = c.Node })
	if errors.Is(err, store.ErrConflict) {
		return Error.New("another node changed replicas of %s; planning again", model)
	}
	return err
}

// handleTransferError handles the error of a weight transfer that could not start. Missing weights count as a failure of
// the version.
func (c *Controller) handleTransferError(ctx context.Context, g group, e *engineStatus, o reconcile.Order, err error) error {
	if !errors.Is(err, weights.ErrMissing) {
		return err
	}
	c.backOff(e, err.Error())
	c.recordDecision(o.Upstream, "order-failed", describeOrder(o)+": "+err.Error(), nil)
	return errors.Join(err, c.addFailure(ctx, g, o.Model, o.Version, o.Upstream, err.Error()))
}

// sendOrder checks the deadline once more and sends an order. The context also ends at the deadline, so that the order
// is not sent after a pause between the check and the first byte.
func (c *Controller) sendOrder(ctx context.Context, u api.Upstream, e *engineStatus, o reconcile.Order) error {
	now, deadline := c.Now(), c.deadline(u.Name)
	if !now.Before(deadline) {
		c.recordDecision(u.Name, "order-withheld", describeOrder(o)+": the lease has run out", map[string]any{"late_by": now.Sub(deadline).String()})
		c.leases.forget(u.Name)
		return Error.New("the lease ran out before the order could be sent")
	}
	if limit := now.Add(c.OrderTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	token := c.heldToken(u.Name)
	err := c.Engines.Order(ctx, u, token, o)
	c.notifyOwner(u.Name)
	values := map[string]any{"token": token, "disrupts": o.Disrupts}
	switch {
	case err == nil:
		e.pending = &pendingOrder{order: o, sent: now}
		c.recordDecision(u.Name, "order-sent", fmt.Sprintf("%s: %s", describeOrder(o), o.Reason), values)
		return nil
	case errors.Is(err, ErrStaleToken):
		// Another node holds the lease, or the store's record is older than the token that the engine has seen. The next
		// acquire uses a larger token.
		c.leases.forget(u.Name)
	case errors.Is(err, ErrNoOrders), errors.Is(err, ErrRefused):
	default:
		e.pending = &pendingOrder{order: o, sent: now, unknown: true}
		c.recordDecision(u.Name, "order-unknown", fmt.Sprintf("%s: %v", describeOrder(o), err), values)
		return err
	}
	c.backOff(e, err.Error())
	c.recordDecision(u.Name, "order-refused", fmt.Sprintf("%s: %v", describeOrder(o), err), values)
	return err
}
