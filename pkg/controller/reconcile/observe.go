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

// observed is what the controller knows of one engine.
type observed struct {
	// state is the last state read, at readAt; nil before the first read.
	state       *reconcile.State
	readAt      time.Time
	takesOrders bool
	// err is why the last read failed.
	err error
	// reported is set while state is what the engine's admission owner reported, and not read by this node.
	reported bool
	// reread is set when a lease was acquired after the last read.
	reread  bool
	pending *pending
	// serving holds since when the engine has been seen to serve each model at its version.
	serving map[string]servingSince

	backoff      *backoff.ExponentialBackOff
	blockedUntil time.Time
	blockReason  string
}

// servingSince is a version that an engine serves. ordered is set when this process ordered its load.
type servingSince struct {
	version string
	since   time.Time
	ordered bool
}

// pending is the last order of an engine, until its effect shows.
type pending struct {
	order reconcile.Order
	sent  time.Time
	// unknown is set when the engine gave no answer.
	unknown bool
}

// readLimit bounds the state reads in flight.
const readLimit = 16

// observe takes the states that owners report and reads those of the other engines of the groups.
func (c *Controller) observe(ctx context.Context, groups []group) {
	c.reads = 0
	reports := c.currentReports()
	var reads errgroup.Group
	reads.SetLimit(readLimit)
	for _, g := range groups {
		for _, u := range g.upstreams {
			e := c.engines[u.Name]
			if e == nil {
				e = &observed{serving: map[string]servingSince{}}
				c.engines[u.Name] = e
			}
			if r, ok := reports[u.Name]; ok && !c.mustRead(u.Name, e) {
				c.adopt(u, e, r)
				continue
			}
			c.reads++
			reads.Go(func() error {
				c.read(ctx, u, e)
				return nil
			})
		}
	}
	_ = reads.Wait()
}

// read reads one engine's state. An engine without /state serves the models that it lists and takes no orders.
func (c *Controller) read(ctx context.Context, u api.Upstream, e *observed) {
	ctx, cancel := context.WithTimeout(ctx, c.StateTimeout)
	defer cancel()
	s, err := c.Engines.State(ctx, u)
	if err != nil && !errors.Is(err, ErrNoOrders) {
		e.err = err
		return
	}
	c.take(u, e, s, err == nil)
	e.reread, e.reported = false, false
}

// take notes the state of an engine. One that takes no orders serves the models that the register lists.
func (c *Controller) take(u api.Upstream, e *observed, s reconcile.State, takesOrders bool) {
	if !takesOrders {
		s = reconcile.State{Models: map[string]string{}}
		for _, m := range u.Models {
			s.Models[m] = ""
		}
	}
	e.state, e.takesOrders = &s, takesOrders
	e.err, e.readAt = nil, c.Now()
	c.noteServing(e)
}

// noteServing keeps since when each model is served at its version.
func (c *Controller) noteServing(e *observed) {
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

// healthy reports whether the engine answers and is given requests.
func (c *Controller) healthy(u api.Upstream) bool {
	e := c.engines[u.Name]
	return e != nil && e.err == nil && e.state != nil &&
		c.Board.Upstreams.Value()[u.Name].Health != blackboard.HealthEjected
}

// leaving reports whether the upstream must get no new work.
func (c *Controller) leaving(u api.Upstream) bool {
	vm := c.Board.VMs.Value()[u.VM]
	return u.Leaving || vm == blackboard.VMLeaving || vm == blackboard.VMLost
}

// input builds the snapshot that a plan is made on.
func (c *Controller) input(g group, records map[string]rollout) reconcile.Input {
	var in reconcile.Input
	claimed := map[string]bool{}
	for _, m := range g.models {
		r := records[m.Name]
		for u := range r.Claims {
			claimed[u] = true
		}
		x := reconcile.Model{
			Name: m.Name, Version: m.Version, Replicas: m.Replicas, Min: m.MinReplicas, Adapters: map[string]string{},
		}
		if r.Version == m.Version {
			x.Previous, x.Stopped = r.Previous, r.Stopped
		}
		x.Proven = c.proven(g, m.Name, x.Target())
		for _, a := range g.adapters {
			if a.Model == m.Name {
				x.Adapters[a.Name] = a.Version
			}
		}
		in.Models = append(in.Models, x)
	}
	for _, u := range g.upstreams {
		in.Upstreams = append(in.Upstreams, c.inputUpstream(u, claimed[u.Name]))
	}
	return in
}

func (c *Controller) inputUpstream(u api.Upstream, claimed bool) reconcile.Upstream {
	e := c.engines[u.Name]
	x := reconcile.Upstream{
		Name: u.Name, AvailabilityZone: u.AvailabilityZone, Models: u.Models, Role: u.Role, Leaving: c.leaving(u),
		Healthy: c.healthy(u), TakesOrders: e.takesOrders, Claimed: claimed, AdapterVersions: c.leases.adapters[u.Name],
	}
	if e.state != nil && c.Now().Sub(e.readAt) < c.StateMaxAge {
		x.State = e.state
	}
	switch now := c.Now(); {
	case e.err != nil:
		x.Blocked = "the engine's state can't be read: " + e.err.Error()
	case e.pending != nil:
		x.Blocked = "the effect of the last order does not show yet"
	case now.Before(e.blockedUntil):
		x.Blocked = "backoff until " + e.blockedUntil.UTC().Format(time.TimeOnly) + ": " + e.blockReason
	}
	return x
}

// proven reports whether a replica of the group has served the version for the probation time.
func (c *Controller) proven(g group, model, version string) bool {
	return slices.ContainsFunc(g.upstreams, func(u api.Upstream) bool {
		x, ok := c.engines[u.Name].serving[model]
		return ok && x.version == version && c.healthy(u) && c.Now().Sub(x.since) >= c.Probation
	})
}

// backOff keeps orders from the engine for a time that doubles with each failure.
func (c *Controller) backOff(e *observed, reason string) {
	if e.backoff == nil {
		e.backoff = backoff.NewExponentialBackOff()
		e.backoff.InitialInterval, e.backoff.MaxInterval, e.backoff.Multiplier = c.BackoffMin, c.BackoffMax, 2
	}
	e.blockedUntil, e.blockReason = c.Now().Add(e.backoff.NextBackOff()), reason
}

// recovered ends the backoff after a success.
func (e *observed) recovered() {
	e.backoff, e.blockedUntil, e.blockReason = nil, time.Time{}, ""
}
