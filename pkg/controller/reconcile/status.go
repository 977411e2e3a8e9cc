package reconcile

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"trefoilplank.example/pkg/decision/reconcile"
	"trefoilplank.example/pkg/operator/status"
)

// statusView holds the objects and problems of one pass for Status, by kind and name.
type statusView struct {
	objects  map[string]status.Object
	problems map[string]status.Problem
}

func newStatusView() statusView {
	return statusView{objects: map[string]status.Object{}, problems: map[string]status.Problem{}}
}

// keepTimes copies LastChange of unchanged objects and Since of persisting problems from the previous view. Other
// objects, and new problems without a start time, get now.
func (v *statusView) keepTimes(old statusView, now time.Time) {
	for k, o := range v.objects {
		o.LastChange = now.UTC()
		if before, ok := old.objects[k]; ok && before.Observed == o.Observed {
			o.LastChange = before.LastChange
		}
		v.objects[k] = o
	}
	for k, p := range v.problems {
		if before, ok := old.problems[k]; ok {
			p.Since = before.Since
		} else if p.Since.IsZero() {
			p.Since = now.UTC()
		}
		v.problems[k] = p
	}
}

// addStoreError adds the problem that a group's roll-out records could not be read or written.
func (v *statusView) addStoreError(group string, err error) {
	v.problems["store/"+group] = status.Problem{
		Cause:    "the store gives no roll-out records for the models of group " + group + ": " + err.Error(),
		System:   "sends no orders to engines, and tries again; engines go on serving what they have loaded",
		Operator: "check the object API; no order is needed for serving",
	}
}

// Status returns the models and engines that this node reconciles.
func (c *Controller) Status(context.Context) status.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var r status.Report
	for _, k := range sortedNames(c.lastView.objects) {
		o := c.lastView.objects[k]
		o.Part = "reconcile"
		r.Objects = append(r.Objects, o)
	}
	for _, k := range sortedNames(c.lastView.problems) {
		r.Problems = append(r.Problems, c.lastView.problems[k])
	}
	return r
}

// addGroup adds the models and upstreams of a group to a view after a pass.
func (c *Controller) addGroup(v *statusView, g group, in reconcile.Input, plan reconcile.Plan, records map[string]rollout) {
	for i := range in.Models {
		c.addModel(v, &in.Models[i], plan, records[in.Models[i].Name])
	}
	for i := range in.Upstreams {
		c.addUpstream(v, &in.Upstreams[i], in, plan)
	}
}

func (c *Controller) addModel(v *statusView, m *reconcile.Model, plan reconcile.Plan, r rollout) {
	n := plan.Replicas[m.Name]
	o := status.Object{
		Kind: status.KindModel, Name: m.Name,
		Desired:  fmt.Sprintf("%d replicas of version %q, at least %d serving", n.Want, m.Version, m.Min),
		Observed: fmt.Sprintf("%d serving, %d of version %q, %d changing", n.Serving, n.UpToDate, m.Target(), n.Changing),
	}
	var waits []string
	for _, w := range plan.Waits {
		if w.Model == m.Name && !slices.Contains(waits, w.Reason) {
			waits = append(waits, w.Reason)
		}
	}
	const shownWaits = 3
	o.Why = strings.Join(waits[:min(len(waits), shownWaits)], "; ")
	v.objects["model/"+m.Name] = o
	if n.Serving < m.Min {
		v.problems["minimum/"+m.Name] = status.Problem{
			Kind: status.KindModel, Name: m.Name,
			Cause:    fmt.Sprintf("%d replicas serve, the serving minimum is %d", n.Serving, m.Min),
			System:   "loads the model on other upstreams first, as far as there are any",
			Operator: "check the upstreams of the model, or add some to the register",
		}
	}
	if r.Stopped && r.Version == m.Version {
		last := r.Failures[len(r.Failures)-1]
		v.problems["rollout/"+m.Name] = status.Problem{
			Kind: status.KindModel, Name: m.Name, Since: last.At,
			Cause:    fmt.Sprintf("version %q failed %d times, last on %s: %s", r.Version, len(r.Failures), last.Upstream, last.Reason),
			System:   fmt.Sprintf("goes back to version %q and does not try the version again", r.Previous),
			Operator: fmt.Sprintf("set the model's version to %q, or to a repaired version under a new name", r.Previous),
		}
	}
}

func (c *Controller) addUpstream(v *statusView, u *reconcile.Upstream, in reconcile.Input, plan reconcile.Plan) {
	o := status.Object{Kind: status.KindUpstream, Name: u.Name, Desired: "serving", Observed: "not read yet"}
	var desired []string
	for i := range in.Models {
		if m := &in.Models[i]; slices.Contains(u.Models, m.Name) {
			desired = append(desired, fmt.Sprintf("%s %s", m.Name, m.Target()))
		}
	}
	o.Desired = "may hold " + strings.Join(desired, ", ")
	if u.Leaving {
		o.Desired = "leaving"
	}
	if u.State != nil {
		o.Observed = describeState(u)
	}
	for _, w := range plan.Waits {
		if w.Upstream == u.Name {
			o.Why = w.Reason
		}
	}
	for _, x := range plan.Orders {
		if x.Upstream == u.Name && o.Why == "" {
			o.Why = describeOrder(x) + ": " + x.Reason
		}
	}
	v.objects["upstream/"+u.Name] = o
	e := c.engines[u.Name]
	if c.Now().Before(e.blockedUntil) {
		v.problems["backoff/"+u.Name] = status.Problem{
			Kind: status.KindUpstream, Name: u.Name, Cause: "an order failed: " + e.blockReason,
			System:   "tries again after " + e.blockedUntil.UTC().Format(time.TimeOnly) + ", with growing intervals",
			Operator: "see trefoilctl explain upstream " + u.Name,
		}
	} else if e.err != nil {
		v.problems["unread/"+u.Name] = status.Problem{
			Kind: status.KindUpstream, Name: u.Name, Cause: "the engine's state can't be read: " + e.err.Error(),
			System:   "sends it no orders, and loads its models elsewhere after " + c.StateMaxAge.String(),
			Operator: "check the upstream's VM, or mark the upstream as leaving",
		}
	}
}

// describeState returns an engine's state in words.
func describeState(u *reconcile.Upstream) string {
	var parts []string
	for _, m := range sortedNames(u.State.Models) {
		parts = append(parts, strings.TrimSpace("holds "+m+" "+u.State.Models[m]))
	}
	for _, m := range sortedNames(u.State.Loading) {
		parts = append(parts, strings.TrimSpace("loads "+m+" "+u.State.Loading[m]))
	}
	for _, m := range sortedNames(u.State.Failed) {
		parts = append(parts, strings.TrimSpace("failed to load "+m+" "+u.State.Failed[m]))
	}
	if len(u.State.Adapters) > 0 {
		parts = append(parts, "adapters "+strings.Join(u.State.Adapters, ", "))
	}
	switch {
	case !u.TakesOrders:
		parts = append(parts, "takes no orders")
	case u.State.Role != "":
		parts = append(parts, "role "+u.State.Role)
	}
	return strings.Join(parts, "; ")
}
