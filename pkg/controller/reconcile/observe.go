package reconcile

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/reconcile"
)

// engineStatus is what the controller knows of one engine.
type engineStatus struct {
	// state is the last known state, from readAt; nil before the first read or report.
	state       *reconcile.State
	readAt      time.Time
	takesOrders bool
	// err is the error of the last read, nil if it succeeded.
	err error
	// reported is set while state was reported by the engine's admission owner and not read by this node.
	reported bool
	// mustReread is set when the order lease was acquired after the last read: a former holder's order may have changed
	// the state in between.
	mustReread bool
	// pending is the last order until its outcome is known; nil without one.
	pending *pendingOrder
	// serving holds the version of each model that the engine serves, and since when.
	serving map[string]servingSince

	backoff      *backoff.ExponentialBackOff
	blockedUntil time.Time
	blockReason  string
}

// servingSince is the version of a model that an engine serves, and since when. ordered is set when this process ordered
// the load, and cleared once a failure of it was counted.
type servingSince struct {
	version string
	since   time.Time
	ordered bool
}

// pendingOrder is an order that was sent and whose outcome is not known yet.
type pendingOrder struct {
	order reconcile.Order
	sent  time.Time
	// unknown is set when the call failed, so that the engine may or may not have received the order.
	unknown bool
}

// readConcurrency bounds the concurrent state reads.
const readConcurrency = 16

// observeEngines updates the states of all engines of the groups: from the reports of their admission owners where
// possible, else by reading them.
func (c *Controller) observeEngines(ctx context.Context, groups []group) {
	c.stateReads = 0
	reports := c.currentReports()
	var reads errgroup.Group
	reads.SetLimit(readConcurrency)
	for _, g := range groups {
		for _, u := range g.upstreams {
			e := c.engines[u.Name]
			if e == nil {
				e = &engineStatus{serving: map[string]servingSince{}}
				c.engines[u.Name] = e
			}
			if r, ok := reports[u.Name]; ok && !c.mustRead(u.Name, e) {
				c.setReported(u, e, r)
				continue
			}
			c.stateReads++
			reads.Go(func() error {
				c.readState(ctx, u, e)
				return nil
			})
		}
	}
	_ = reads.Wait()
}

// readState reads one engine's state. An engine that answers ErrNoOrders takes no orders.
func (c *Controller) readState(ctx context.Context, u api.Upstream, e *engineStatus) {
	ctx, cancel := context.WithTimeout(ctx, c.StateTimeout)
	defer cancel()
	s, err := c.Engines.State(ctx, u)
	if err != nil && !errors.Is(err, ErrNoOrders) {
		e.err = err
		return
	}
	c.setState(u, e, s, err == nil)
	e.mustReread, e.reported = false, false
}

// setState records the state of an engine. One that takes no orders serves the models that the register lists for it.
func (c *Controller) setState(u api.Upstream, e *engineStatus, s reconcile.State, takesOrders bool) {
	if !takesOrders {
		s = reconcile.State{Models: map[string]string{}}
		for _, m := range u.Models {
			s.Models[m] = ""
		}
	}
	e.state, e.takesOrders = &s, takesOrders
	e.err, e.readAt = nil, c.Now()
	c.updateServing(e)
}

// updateServing updates e.serving from e.state.
func (c *Controller) updateServing(e *engineStatus) {
	for m, v := range e.state.Models {
		if _, loading := e.state.Loading[m]; loading {
			delete(e.serving, m)
			continue
		}
		if x, ok := e.serving[m]; !ok || x.version != v {
			e.serving[m] = servingSince{version: v, since: c.Now()}
		}
	}
	maps.DeleteFunc(e.serving, func(m string, _ servingSince) bool {
		_, loaded := e.state.Models[m]
		return !loaded
	})
}

// healthy reports whether the last read of the engine succeeded and it is not ejected from serving.
func (c *Controller) healthy(u api.Upstream) bool {
	e := c.engines[u.Name]
	return e != nil && e.err == nil && e.state != nil &&
		c.Board.Upstreams.Value()[u.Name].Health != blackboard.HealthEjected
}

// leaving reports whether the upstream must get no new work because it, or its VM, leaves or is lost.
func (c *Controller) leaving(u api.Upstream) bool {
	vm := c.Board.VMs.Value()[u.VM]
	return u.Leaving || vm == blackboard.VMLeaving || vm == blackboard.VMLost
}

// planInput returns the input of reconcile.MakePlan for a group.
func (c *Controller) planInput(g group, records map[string]rollout) reconcile.Input {
	var in reconcile.Input
	claimed := map[string]bool{}
	for _, m := range g.models {
		r := records[m.Name]
		for u := range r.Claims {
			claimed[u] = true
		}
		model := reconcile.Model{
			Name: m.Name, Version: m.Version, Replicas: m.Replicas, Min: m.MinReplicas, Adapters: map[string]string{},
		}
		if r.Version == m.Version {
			model.Previous, model.Stopped = r.Previous, r.Stopped
		}
		model.Proven = c.proven(g, m.Name, model.Target())
		for _, a := range g.adapters {
			if a.Model == m.Name {
				model.Adapters[a.Name] = a.Version
			}
		}
		in.Models = append(in.Models, model)
	}
	for _, u := range g.upstreams {
		in.Upstreams = append(in.Upstreams, c.planInputUpstream(u, claimed[u.Name]))
	}
	return in
}

func (c *Controller) planInputUpstream(u api.Upstream, claimed bool) reconcile.Upstream {
	e := c.engines[u.Name]
	input := reconcile.Upstream{
		Name: u.Name, AvailabilityZone: u.AvailabilityZone, Models: u.Models, Role: u.Role, Leaving: c.leaving(u),
		Healthy: c.healthy(u), TakesOrders: e.takesOrders, OrderPending: claimed, AdapterVersions: c.leases.adapters[u.Name],
	}
	if e.state != nil && c.Now().Sub(e.readAt) < c.StateMaxAge {
		input.State = e.state
	}
	switch now := c.Now(); {
	case e.err != nil:
		input.Blocked = "the engine's state can't be read: " + e.err.Error()
	case e.pending != nil:
		input.Blocked = "the effect of the last order does not show yet"
	case now.Before(e.blockedUntil):
		input.Blocked = "backoff until " + e.blockedUntil.UTC().Format(time.TimeOnly) + ": " + e.blockReason
	}
	return input
}

// proven reports whether a healthy engine of the group has served the version for the probation time.
func (c *Controller) proven(g group, model, version string) bool {
	return slices.ContainsFunc(g.upstreams, func(u api.Upstream) bool {
		x, ok := c.engines[u.Name].serving[model]
		return ok && x.version == version && c.healthy(u) && c.Now().Sub(x.since) >= c.Probation
	})
}

// backOff blocks orders to the engine for a time that doubles with each failure, from BackoffMin to BackoffMax.
func (c *Controller) backOff(e *engineStatus, reason string) {
	if e.backoff == nil {
		e.backoff = backoff.NewExponentialBackOff()
		e.backoff.InitialInterval, e.backoff.MaxInterval, e.backoff.Multiplier = c.BackoffMin, c.BackoffMax, 2
	}
	e.blockedUntil, e.blockReason = c.Now().Add(e.backoff.NextBackOff()), reason
}

// resetBackoff ends the backoff after a successful order.
func (e *engineStatus) resetBackoff() {
	e.backoff, e.blockedUntil, e.blockReason = nil, time.Time{}, ""
}
