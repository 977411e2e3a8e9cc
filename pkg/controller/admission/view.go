package admission

import (
	"time"

	"trefoilplank.example/pkg/blackboard"
)

// view is what this node knows of an upstream, from its owner's replies and its own use since.
type view struct {
	load Load
	at   time.Time
	// delta is the number of slots that this node took less those it returned since at.
	delta int
	// inFlight is the number of slots that this node holds.
	inFlight int
}

// silence is an owner that gave no answer. Calls to it are skipped until the given time.
type silence struct {
	until time.Time
	pause time.Duration
}

const (
	minSilence = 50 * time.Millisecond
	maxSilence = time.Second
	// maxLoads bounds the loads in one reply; at the two-year target a node owns 4 upstreams.
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

// loads returns the load of the upstreams that this node owns, or of the one named only; full adds what the
// upstreams report.
func (c *Controller) loads(only string, full bool) []Load {
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

// Runs returns the number of runs that this node has admitted to an upstream that it owns.
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

func (o *owned) load() Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := Load{Upstream: o.name, Limit: o.state.Limit(), Hold: o.state.Hold(), BatchSlots: o.batchSlots}
	l.Online, l.Batch, l.Waiting = o.state.Counts()
	return l
}

// absorb takes the loads of an owner's reply.
func (c *Controller) absorb(loads []Load) {
	now := time.Now()
	c.mu.Lock()
	for i := range loads {
		if o := &loads[i].Observed; !o.ReportedAt.IsZero() {
			// Clocks of nodes differ; the age does not.
			o.ReportedAt = now.Add(-loads[i].Age)
		}
		l := loads[i]
		v := c.view(l.Upstream)
		if l.Observed.Reason == "" && l.Observed.ReportedAt.IsZero() {
			health := l.Observed.Health
			l.Observed = v.load.Observed
			l.Observed.Health = health
		}
		v.load, v.at, v.delta = l, now, 0
	}
	c.mu.Unlock()
	if c.Observer == nil {
		return
	}
	for _, l := range loads {
		c.Observer.Learn(l.Upstream, l.Observed)
	}
}

// ownerSilent notes that an owner gave no answer; each further silence doubles the pause.
func (c *Controller) ownerSilent(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.silent[owner]
	s.pause = min(max(2*s.pause, minSilence), maxSilence)
	s.until = time.Now().Add(s.pause)
	c.silent[owner] = s
}

// isSilent reports whether calls to the owner are skipped now.
func (c *Controller) isSilent(owner string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.silent[owner].until)
}

func (c *Controller) ownerAnswered(owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.silent, owner)
	c.talked[owner] = true
}
