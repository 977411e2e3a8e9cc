package admission

import (
	"time"

	"trefoilplank.example/pkg/blackboard"
)

// view is the load of an upstream as this node knows it: the owner's last reply and the node's own use since then.
type view struct {
	load       Load
	receivedAt time.Time
	// slotsTakenHere is the number of slots that this node took since receivedAt, minus those that it returned.
	slotsTakenHere int
	// inFlight is the number of slots that this node holds.
	inFlight int
}

// backoff is the state of an owner that did not answer. Calls to it are skipped until the given time.
type backoff struct {
	until time.Time
	delay time.Duration
}

const (
	minOwnerBackoff = 50 * time.Millisecond
	maxOwnerBackoff = time.Second
	// maxLoads bounds the loads in one reply; at the two-year capacity target a node owns 4 upstreams.
	maxLoads = 32
)

// view returns the entry of an upstream; c.mu is held.
func (c *Controller) view(name string) *view {
	v, ok := c.views[name]
	if !ok {
		v = &view{}
		c.views[name] = v
	}
	return v
}

// ownedLoads returns the loads of at most maxLoads upstreams that this node owns, or of one of them if only is not empty.
// If full is set, each load includes the upstream's own report, otherwise only its health.
func (c *Controller) ownedLoads(only string, full bool) []Load {
	observed := c.Board.Upstreams.Value()
	var out []Load
	for _, o := range c.ownedList() {
		if only != "" && o.name != only || c.owner(o.name) != c.Self {
			continue
		}
		if len(out) == maxLoads {
			break
		}
		l := o.load()
		st := observed[o.name]
		if !st.ReportedAt.IsZero() {
			l.Age = time.Since(st.ReportedAt)
		}
		if full {
			l.Observed = st
		} else {
			l.Observed = blackboard.UpstreamStatus{Health: st.Health}
		}
		out = append(out, l)
	}
	return out
}

// Runs returns the number of runs in progress that this node has admitted to an upstream that it owns.
func (c *Controller) Runs(upstream string) int {
	c.mu.Lock()
	o, ok := c.owned[upstream]
	c.mu.Unlock()
	if !ok {
		return 0
	}
	l := o.load()
	return l.Online + l.Batch
}

func (o *ownedUpstream) load() Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := Load{Upstream: o.name, Limit: o.state.Limit(), Hold: o.state.MeanHold(), BatchSlots: o.batchSlots}
	l.Online, l.Batch, l.Waiting = o.state.Counts()
	return l
}

// storeLoads stores the loads of an owner's reply in the views and passes them to the observer.
func (c *Controller) storeLoads(loads []Load) {
	now := time.Now()
	c.mu.Lock()
	for i := range loads {
		if o := &loads[i].Observed; !o.ReportedAt.IsZero() {
			// The clocks of nodes differ, so the time of the report is computed from its age.
			o.ReportedAt = now.Add(-loads[i].Age)
		}
		l := loads[i]
		v := c.view(l.Upstream)
		if l.Observed.Reason == "" && l.Observed.ReportedAt.IsZero() {
			health := l.Observed.Health
			l.Observed = v.load.Observed
			l.Observed.Health = health
		}
		v.load, v.receivedAt, v.slotsTakenHere = l, now, 0
	}
	c.mu.Unlock()
	if c.Observer == nil {
		return
	}
	for _, l := range loads {
		c.Observer.StoreOwnerStatus(l.Upstream, l.Observed)
	}
}

// backOff skips calls to an owner that did not answer; each further failure doubles the pause.
func (c *Controller) backOff(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.ownerBackoffs[owner]
	s.delay = min(max(2*s.delay, minOwnerBackoff), maxOwnerBackoff)
	s.until = time.Now().Add(s.delay)
	c.ownerBackoffs[owner] = s
}

// inBackoff reports whether calls to the owner are skipped now.
func (c *Controller) inBackoff(owner string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.ownerBackoffs[owner].until)
}

// ownerAnswered ends the backoff of an owner and marks it as contacted since the last report of held slots.
func (c *Controller) ownerAnswered(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ownerBackoffs, owner)
	c.contacted[owner] = true
}
