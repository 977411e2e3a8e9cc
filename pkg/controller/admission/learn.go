package admission

import (
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	decision "trefoilplank.example/pkg/decision/admission"
)

// learn takes the measurements of a finished run; o.mu is held.
func (o *owned) learn(_ time.Time, a *ReleaseArgs) {
	if !a.Work.Batch {
		o.state.ObserveHold(a.Usage.Duration)
	}
}

// adjust follows the upstream's reported slots; o.mu is held.
func (o *owned) adjust(now time.Time, _ api.Config) {
	if st, ok := o.c.Board.Upstreams.Value()[o.name]; ok && st.Slots > 0 && st.Slots != o.state.Limit() {
		o.apply(now, o.state.SetLimit(now, st.Slots))
	}
}

// mayFill reports whether this node may start batch work on the upstream.
func (c *Controller) mayFill(name string, u api.Upstream) bool {
	c.mu.Lock()
	running := c.batchCtx != nil && !c.stopped && c.batchCtx.Err() == nil
	c.mu.Unlock()
	h := c.Board.Upstreams.Value()[name].Health
	return running && !u.Leaving && h != blackboard.HealthEjected && h != blackboard.HealthLeaving &&
		decision.Owner(name, c.Board.Members.Value()) == c.Self
}
