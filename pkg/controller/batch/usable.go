package batch

import (
	"context"
	"slices"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
)

// unusableRelease is how long a target must have no usable upstream on this node before its parts are released, so
// that several changes of members or health in a row count as one.
const unusableRelease = 200 * time.Millisecond

// usableLoop updates unusableSince whenever members, configuration or upstream health change.
func (c *Controller) usableLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_, members := c.Board.Members.Get()
		_, config := c.Board.Config.Get()
		_, upstreams := c.Board.Upstreams.Get()
		c.updateUnusable(time.Now())
		select {
		case <-c.Board.Members.Changed(members):
		case <-c.Board.Config.Changed(config):
		case <-c.Board.Upstreams.Changed(upstreams):
		case <-ctx.Done():
		}
	}
}

// updateUnusable recomputes unusableSince. If a target was added, all committers check their parts again after
// unusableRelease.
func (c *Controller) updateUnusable(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.parts) == 0 {
		c.unusableSince = nil
		return
	}
	usable := map[string]bool{}
	register := c.Board.Config.Value().Register
	registered := usableUpstreams(register)
	lostUpstreams := map[string][]string{}
	for name, u := range c.askedUpstreams {
		targets := targetsOf(u, register.Adapters)
		ok := registered[name] && c.healthy(name) && c.ownsUpstream(name)
		for _, t := range targets {
			usable[t] = usable[t] || ok
		}
		if !ok {
			lostUpstreams[name] = targets
		}
	}
	for name, targets := range lostUpstreams {
		// Other upstreams of this node run all its targets. A node that started alone has recorded a request of
		// every upstream, including those that other nodes own now.
		if !slices.ContainsFunc(targets, func(t string) bool { return !usable[t] }) {
			delete(c.askedUpstreams, name)
		}
	}
	old := c.unusableSince
	c.unusableSince = map[string]time.Time{}
	changed := false
	for t, ok := range usable {
		if ok || !c.usableElsewhere(t, register) {
			continue
		}
		since, known := old[t]
		if !known {
			since, changed = now, true
		}
		c.unusableSince[t] = since
	}
	if changed {
		time.AfterFunc(unusableRelease, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			for _, p := range c.parts {
				p.signalCommitter()
			}
		})
	}
}

// usableElsewhere reports whether an upstream that this node does not own can run the target. Without one, releasing
// a part would only cost store writes.
func (c *Controller) usableElsewhere(target string, r api.Register) bool {
	return slices.ContainsFunc(r.Upstreams, func(u api.Upstream) bool {
		return !u.Leaving && c.healthy(u.Name) && slices.Contains(targetsOf(u, r.Adapters), target) && !c.ownsUpstream(u.Name)
	})
}

// ownsUpstream reports whether this node fills the upstream's slots now.
func (c *Controller) ownsUpstream(upstream string) bool {
	if c.Owns != nil {
		return c.Owns(upstream)
	}
	_, asked := c.askedUpstreams[upstream]
	return asked
}

// healthy reports whether the upstream is neither ejected nor leaving, as far as its health is known.
func (c *Controller) healthy(upstream string) bool {
	h := c.Board.Upstreams.Value()[upstream].Health
	return h != blackboard.HealthEjected && h != blackboard.HealthLeaving
}

// lostAllTargets reports whether all targets with ready items of the part have been unusable on this node for
// unusableRelease, although they were usable before; c.mu is held.
func (p *part) lostAllTargets(now time.Time) bool {
	for target := range p.ready {
		since, ok := p.c.unusableSince[target]
		if !ok || now.Sub(since) < unusableRelease {
			return false
		}
	}
	return true
}
