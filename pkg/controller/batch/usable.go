package batch

import (
	"context"
	"slices"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
)

// unusableRelease is how long a target must have no usable upstream of this node before its parts are given back. It
// covers the moment in which members or health change several times.
const unusableRelease = 200 * time.Millisecond

// usableLoop watches for targets that this node can no longer run.
func (c *Controller) usableLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_, members := c.Board.Members.Get()
		_, config := c.Board.Config.Get()
		_, upstreams := c.Board.Upstreams.Get()
		c.noteUnusable(time.Now())
		select {
		case <-c.Board.Members.Changed(members):
		case <-c.Board.Config.Changed(config):
		case <-c.Board.Upstreams.Changed(upstreams):
		case <-ctx.Done():
		}
	}
}

// noteUnusable brings unusable in line, and has the committers of parts look again when its grace is over.
func (c *Controller) noteUnusable(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.parts) == 0 {
		c.unusable = nil
		return
	}
	usable := map[string]bool{}
	register := c.Board.Config.Value().Register
	listed := usableUpstreams(register)
	lost := map[string][]string{}
	for name, u := range c.asked {
		targets := targetsOf(u, register.Adapters)
		ok := listed[name] && c.healthy(name) && c.mine(name)
		for _, t := range targets {
			usable[t] = usable[t] || ok
		}
		if !ok {
			lost[name] = targets
		}
	}
	for name, targets := range lost {
		// Others of this node run its targets. A node that started alone has asked for every upstream.
		if !slices.ContainsFunc(targets, func(t string) bool { return !usable[t] }) {
			delete(c.asked, name)
		}
	}
	old := c.unusable
	c.unusable = map[string]time.Time{}
	changed := false
	for t, ok := range usable {
		if ok || !c.usableElsewhere(t, register) {
			continue
		}
		since, known := old[t]
		if !known {
			since, changed = now, true
		}
		c.unusable[t] = since
	}
	if changed {
		time.AfterFunc(unusableRelease, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			for _, p := range c.parts {
				p.kick()
			}
		})
	}
}

// usableElsewhere reports whether an upstream that this node does not own can run the target. Without one, a part that
// is given back would only cost store writes.
func (c *Controller) usableElsewhere(target string, r api.Register) bool {
	return slices.ContainsFunc(r.Upstreams, func(u api.Upstream) bool {
		return !u.Leaving && c.healthy(u.Name) && slices.Contains(targetsOf(u, r.Adapters), target) && !c.mine(u.Name)
	})
}

// mine reports whether this node fills the upstream's slots now.
func (c *Controller) mine(upstream string) bool {
	if c.Owns != nil {
		return c.Owns(upstream)
	}
	_, asked := c.asked[upstream]
	return asked
}

// healthy reports whether the upstream takes work as far as its health is known.
func (c *Controller) healthy(upstream string) bool {
	h := c.Board.Upstreams.Value()[upstream].Health
	return h != blackboard.HealthEjected && h != blackboard.HealthLeaving
}

// lostTargets reports that this node could run all targets that the part still needs, and can run none of them any
// more; c.mu is held.
func (p *part) lostTargets(now time.Time) bool {
	for target := range p.ready {
		since, ok := p.c.unusable[target]
		if !ok || now.Sub(since) < unusableRelease {
			return false
		}
	}
	return true
}
