package reconcile

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/decision/reconcile"
	"trefoilplank.example/pkg/explain"
)

// outcome is the outcome of an order.
type outcome int

const (
	inProgress outcome = iota
	succeeded
	// ignoredOrder means that the engine did not carry out the order, which does not count as a failure of the version.
	ignoredOrder
	failed
)

// orderOutcome compares the engine's state with its pending order. It returns a reason for ignoredOrder and failed.
func (c *Controller) orderOutcome(e *engineStatus) (outcome, string) {
	p, now := e.pending, c.Now()
	age := now.Sub(p.sent)
	if e.err != nil || e.readAt.Before(p.sent) {
		if p.order.Transfers() && now.Sub(e.readAt) > c.StateMaxAge && age > c.StateMaxAge {
			return failed, "the engine became unreachable while it loaded"
		}
		return inProgress, ""
	}
	if done, loading := orderEffect(e.state, p.order); done {
		return succeeded, ""
	} else if loading {
		if age > c.LoadTimeout {
			return failed, fmt.Sprintf("the load did not end within %s", c.LoadTimeout)
		}
		return inProgress, ""
	}
	if v, ok := e.state.Failed[p.order.Model]; ok && p.order.Transfers() && v == p.order.Version {
		return failed, "the engine reports that the load failed"
	}
	if age < c.OrderInFlight {
		return inProgress, ""
	}
	if p.order.Transfers() && !p.unknown {
		return failed, "the engine accepted the load and no longer knows of it"
	}
	return ignoredOrder, "the order had no effect"
}

// orderEffect reports whether the state shows that the order is done, or that its load is in progress.
func orderEffect(s *reconcile.State, o reconcile.Order) (done, loading bool) {
	switch o.Kind {
	case reconcile.Load:
		if o.Adapter != "" {
			return slices.Contains(s.Adapters, o.Adapter), false
		}
		if _, loading = s.Loading[o.Model]; loading {
			return false, true
		}
		v, loaded := s.Models[o.Model]
		return loaded && (o.Version == "" || v == o.Version), false
	case reconcile.Unload:
		if o.Adapter != "" {
			return !slices.Contains(s.Adapters, o.Adapter), false
		}
		_, loaded := s.Models[o.Model]
		return !loaded, false
	case reconcile.Role:
		return s.Role == o.Role, false
	case reconcile.Drain:
		return s.Role == reconcile.RoleDraining, false
	}
	return false, false
}

// settleGroup handles the outcomes of the pending orders of a group, and records failures of versions.
func (c *Controller) settleGroup(ctx context.Context, g group) error {
	var errs []error
	for _, u := range g.upstreams {
		e := c.engines[u.Name]
		if e.pending != nil {
			errs = append(errs, c.settleOrder(ctx, g, u, e))
		}
		errs = append(errs, c.settleProbation(ctx, g, u, e))
	}
	return errors.Join(errs...)
}

// settleOrder ends a pending order whose outcome is known.
func (c *Controller) settleOrder(ctx context.Context, g group, u api.Upstream, e *engineStatus) error {
	o := e.pending.order
	result, reason := c.orderOutcome(e)
	switch result {
	case inProgress:
		return nil
	case succeeded:
		if o.Transfers() {
			e.serving[o.Model] = servingSince{version: o.Version, since: c.Now(), ordered: true}
		}
		e.resetBackoff()
		c.recordDecision(u.Name, "order-done", fmt.Sprintf("%s after %s", describeOrder(o), c.Now().Sub(e.pending.sent)), nil)
	case ignoredOrder:
		c.backOff(e, reason)
		c.recordDecision(u.Name, "order-ignored", describeOrder(o)+": "+reason, nil)
	case failed:
		if err := c.addFailure(ctx, g, o.Model, o.Version, u.Name, reason); err != nil {
			return err
		}
		c.backOff(e, reason)
		c.recordDecision(u.Name, "order-failed", describeOrder(o)+": "+reason, map[string]any{"retry_after": e.blockedUntil})
	}
	e.pending = nil
	return nil
}

// settleProbation records a failure when a replica stops serving within the probation time after this process had it
// loaded.
func (c *Controller) settleProbation(ctx context.Context, g group, u api.Upstream, e *engineStatus) error {
	for model, replica := range e.serving {
		if !replica.ordered || !c.stoppedServing(u) || c.Now().Sub(replica.since) > c.Probation {
			continue
		}
		reason := fmt.Sprintf("the replica stopped serving %s after it was loaded", c.Now().Sub(replica.since))
		if err := c.addFailure(ctx, g, model, replica.version, u.Name, reason); err != nil {
			return err
		}
		replica.ordered = false
		e.serving[model] = replica
		c.recordDecision(u.Name, "replica-failed", fmt.Sprintf("%s version %q: %s", model, replica.version, reason), nil)
	}
	return nil
}

// stoppedServing reports whether an engine is unhealthy. Failed reads count only after OrderInFlight, since a single
// read may be lost.
func (c *Controller) stoppedServing(u api.Upstream) bool {
	e := c.engines[u.Name]
	if e.err != nil {
		return c.Now().Sub(e.readAt) > c.OrderInFlight
	}
	return !c.healthy(u)
}

// addFailure records a failure of the desired version, and stops the roll-out when there are too many. Failures of other
// versions are ignored.
func (c *Controller) addFailure(ctx context.Context, g group, model, version, upstream, reason string) error {
	i := slices.IndexFunc(g.models, func(m api.Model) bool { return m.Name == model })
	if i < 0 || g.models[i].Version != version || version == "" {
		return nil
	}
	limit := c.FailureLimit
	if c.proven(g, model, version) {
		// In a large fleet some replicas fail for other reasons; a tenth of them failing indicates a bad version.
		limit = max(limit, len(g.upstreams)/10)
	}
	stopped := false
	err := c.rollouts.update(ctx, model, func(r *rollout) {
		if r.Version != version {
			*r = rollout{Version: version, Since: c.Now(), Claims: r.Claims}
		}
		r.Failures = append(r.Failures, failure{Upstream: upstream, Reason: reason, At: c.Now().UTC()})
		stopped = !r.Stopped && len(r.Failures) >= limit && r.Previous != ""
		r.Stopped = r.Stopped || stopped
	})
	if err == nil && stopped {
		c.recordDecision(upstream, "roll-back", fmt.Sprintf("%s version %q failed %d times, going back to %q",
			model, version, limit, c.rollouts.cache[model].Previous), nil)
	}
	return err
}

// describeOrder returns an order in words.
func describeOrder(o reconcile.Order) string {
	switch {
	case o.Adapter != "":
		return fmt.Sprintf("%s adapter %s %s", o.Kind, o.Adapter, o.Version)
	case o.Kind == reconcile.Load:
		return fmt.Sprintf("load %s version %q", o.Model, o.Version)
	case o.Kind == reconcile.Unload:
		return "unload " + o.Model
	case o.Kind == reconcile.Role:
		return "role " + o.Role
	}
	return string(o.Kind)
}

// recordDecision records a decision on an upstream in the explain log, if there is one.
func (c *Controller) recordDecision(upstream, decision, reason string, values map[string]any) {
	if c.Explain != nil {
		c.Explain.Record(explain.Entry{Upstream: upstream, Decision: decision, Reason: reason, Values: values})
	}
}
