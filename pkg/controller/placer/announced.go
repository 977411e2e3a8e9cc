package placer

import (
	"time"

	"trefoilplank.example/pkg/decision/dispatch"
)

// Announce records what an upstream said of itself in an answer to this node.
func (p *Placer) Announce(u dispatch.Upstream, a dispatch.Announcement) {
	a.Incarnation = u.Incarnation
	p.announce(u.ID, a, "answer")
}

// MergeAnnounced adds what other nodes know of the answers of upstreams.
func (p *Placer) MergeAnnounced(all map[string]dispatch.Announcement) {
	for id, a := range all {
		p.announce(id, a, "other node")
	}
}

func (p *Placer) announce(id string, a dispatch.Announcement, source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.Announce(id, a, time.Now()) {
		p.log.Notice("upstream announced a change", "upstream", id, "incarnation", a.Incarnation, "limit_per_s", a.Limit, "leaving", a.Leaving,
			"age_ms", a.Age.Milliseconds(), "source", source)
	}
}

// Announcements returns what other nodes should know of the answers of upstreams, by upstream ID.
func (p *Placer) Announcements() map[string]dispatch.Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Announcements(time.Now())
}

// Started returns the requests that this node has sent to each limited upstream since the last call.
func (p *Placer) Started() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Started()
}

// CountStarted counts requests that a node has sent to limited upstreams. It is used when this node is the hub.
func (p *Placer) CountStarted(started map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.CountStarted(started, time.Now())
}

// SetHub records whether the hub divides the limits of upstreams, and the number of nodes.
func (p *Placer) SetHub(dividesLimits bool, nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetHub(dividesLimits, nodes)
}

// BeginTerm empties the allowances of limited upstreams. It is used when this node begins to serve as the hub, or may have been
// replaced as it for a while.
func (p *Placer) BeginTerm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.BeginTerm(time.Now())
}
