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

// sortedNames returns the keys of a map in order, so that passes are repeatable.
func sortedNames[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// syncGroup makes one pass over a group and reports whether changes are in progress.
func (c *Controller) syncGroup(ctx context.Context, g group, v *view) bool {
	err := c.settle(ctx, g)
	if err == nil {
		err = c.prepare(ctx, g)
	}
	records := map[string]rollout{}
	for _, m := range g.models {
		if cached := c.rollouts.cache[m.Name]; cached != nil {
			records[m.Name] = cached.rollout
		}
	}
	in := c.input(g, records)
	plan := reconcile.MakePlan(in)
	if err != nil {
		// Without the records a stopped version could be loaded again, so that nothing is ordered.
		v.storeError(g.key, err)
		c.fill(v, g, in, plan, records)
		return true
	}
	used, transfers := map[string]bool{}, true
	for _, o := range plan.Orders {
		used[o.Upstream] = true
		if o.Transfers() && !transfers {
			continue
		}
		if err := c.execute(ctx, g, o); err != nil {
			var busy *weights.BusyError
			if errors.As(err, &busy) {
				// Orders come most needed first; the others wait for the same rate.
				transfers = false
			}
			plan.Waits = append(plan.Waits, reconcile.Wait{Model: o.Model, Upstream: o.Upstream, Reason: err.Error()})
		}
	}
	c.releaseIdle(ctx, g, used)
	c.fill(v, g, in, plan, records)
	return len(plan.Orders) > 0 || slices.ContainsFunc(g.upstreams, func(u api.Upstream) bool {
		e := c.engines[u.Name]
		return e.pending != nil || (e.state != nil && len(e.state.Loading) > 0)
	})
}

// releaseIdle gives up the leases of upstreams that need no order, so that a successor need not wait.
func (c *Controller) releaseIdle(ctx context.Context, g group, used map[string]bool) {
	for _, u := range g.upstreams {
		e := c.engines[u.Name]
		if c.leases.held[u.Name] != nil && !used[u.Name] && e.pending == nil && !e.reread {
			c.release(ctx, u.Name)
		}
	}
}

// prepare brings the roll-out records of a group up to date: a new desired version begins a new record, and
// claims whose change has ended are dropped.
func (c *Controller) prepare(ctx context.Context, g group) error {
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

// otherVersion returns the version beside the desired one that most engines hold, and whether any holds one.
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

// dropClaims drops the claims whose change has ended. A claim of another node, or of an earlier process of this
// one, ends only after this process took the order lease over and read the state again, since its order may
// still be on its way.
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
		if !e.reread {
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

// acquire takes or renews the order lease of an upstream.
func (c *Controller) acquire(ctx context.Context, u api.Upstream, e *observed) (fresh bool, err error) {
	var floor int64
	if e.state != nil {
		floor = e.state.Fencing
	}
	fresh, err = c.leases.acquire(ctx, u, floor)
	if err == nil && fresh {
		e.reread, c.leased = true, true
		c.explain(u.Name, "order-lease", "this node may now send orders", map[string]any{"token": c.token(u.Name)})
	}
	return fresh, err
}

func (c *Controller) token(upstream string) int64 {
	if h := c.leases.held[upstream]; h != nil {
		return h.record.Token
	}
	return 0
}

// deadline returns the time before which orders may be sent: the order lease and the node's own lease must hold.
func (c *Controller) deadline(upstream string) time.Time {
	order, node := c.leases.deadline(upstream), c.Board.Lease.Value().Deadline
	if node.Before(order) {
		return node
	}
	return order
}

// execute takes the steps to one order. An error says why the order was not sent now.
func (c *Controller) execute(ctx context.Context, g group, o reconcile.Order) error {
	i := slices.IndexFunc(g.upstreams, func(u api.Upstream) bool { return u.Name == o.Upstream })
	u, e := g.upstreams[i], c.engines[o.Upstream]
	if _, err := c.acquire(ctx, u, e); err != nil {
		return err
	}
	if e.reread || e.reported {
		// The plan was made on a state from before the lease; a former holder's order may have come since. The next
		// pass reads the engine itself and follows at once.
		e.reread, c.leased = true, true
		return Error.New("the state is read again after taking the order lease")
	}
	if o.Transfers() && c.Weights != nil {
		if err := c.Weights.Begin(ctx, o.Model, o.Version); err != nil {
			return c.transferFailed(ctx, g, e, o, err)
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
	return c.send(ctx, u, e, o)
}

// claim records that an upstream leaves service for a change. The condition on the record's revision fails when
// another node has claimed or ended anything since this plan's snapshot.
func (c *Controller) claim(ctx context.Context, model, upstream string) error {
	err := c.rollouts.update(ctx, model, func(r *rollout) { r.Claims[upstream] = c.Node })
	if errors.Is(err, store.ErrConflict) {
		return Error.New("another node changed replicas of %s; planning again", model)
	}
	return err
}

// transferFailed handles a transfer that could not begin. Missing weights count against the version.
func (c *Controller) transferFailed(ctx context.Context, g group, e *observed, o reconcile.Order, err error) error {
	if !errors.Is(err, weights.ErrMissing) {
		return err
	}
	c.backOff(e, err.Error())
	c.explain(o.Upstream, "order-failed", describe(o)+": "+err.Error(), nil)
	return errors.Join(err, c.addFailure(ctx, g, o.Model, o.Version, o.Upstream, err.Error()))
}

// send sends an order after the last check of the deadline. The context ends at the deadline too, so that a
// pause between the check and the first byte does not let the order out.
func (c *Controller) send(ctx context.Context, u api.Upstream, e *observed, o reconcile.Order) error {
	now, deadline := c.Now(), c.deadline(u.Name)
	if !now.Before(deadline) {
		c.explain(u.Name, "order-withheld", describe(o)+": the lease has run out", map[string]any{"late_by": now.Sub(deadline).String()})
		c.leases.drop(u.Name)
		return Error.New("the lease ran out before the order could be sent")
	}
	if limit := now.Add(c.OrderTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	token := c.token(u.Name)
	err := c.Engines.Order(ctx, u, token, o)
	c.tellOwner(u.Name)
	values := map[string]any{"token": token, "disrupts": o.Disrupts}
	switch {
	case err == nil:
		e.pending = &pending{order: o, sent: now}
		c.explain(u.Name, "order-sent", fmt.Sprintf("%s: %s", describe(o), o.Reason), values)
		return nil
	case errors.Is(err, ErrStaleToken):
		// Another holder, or a token from before the store's record. The next acquire uses a larger token.
		c.leases.drop(u.Name)
	case errors.Is(err, ErrNoOrders), errors.Is(err, ErrRefused):
	default:
		e.pending = &pending{order: o, sent: now, unknown: true}
		c.explain(u.Name, "order-unknown", fmt.Sprintf("%s: %v", describe(o), err), values)
		return err
	}
	c.backOff(e, err.Error())
	c.explain(u.Name, "order-refused", fmt.Sprintf("%s: %v", describe(o), err), values)
	return err
}
