package dispatch

import (
	"math"
	"time"
)

const (
	// LimitBurst is the time for whose requests a limited upstream may be sent requests at once, if it had fewer before; at
	// least one.
	LimitBurst = 2 * time.Second
	// minLimit is the least rate of requests that is sent to an upstream, per second. Without any, the end of its limit would
	// not be seen.
	minLimit = 0.2
	// announcementTime is how long the end of a limit is reported to other nodes. By then all have it.
	announcementTime = 10 * time.Second
)

// Announcement is what an upstream says of itself in its answers.
type Announcement struct {
	// Limit is the number of requests per second that the upstream accepts from all nodes together, or 0 if it names none.
	Limit float64
	// Leaving is set if the upstream is about to leave. It stays set until the upstream starts again.
	Leaving bool
	// Incarnation is that of the upstream's process, and Age the time since the answer.
	Incarnation int64
	Age         time.Duration
}

// announced is the latest announcement of an upstream as this node knows it, and the requests that its limit leaves.
type announced struct {
	limit   float64
	leaving bool
	at      time.Time
	// fleet limits the requests of all nodes, if this node is the hub; own limits those of this node while no hub does.
	fleet, own bucket
}

// bucket is a token bucket: the requests that may be sent at a time.
type bucket struct {
	level float64
	at    time.Time
}

// available returns the requests that may be sent now, at a rate per second.
func (b *bucket) available(rate float64, now time.Time) float64 {
	if b.at.IsZero() {
		b.at = now
	}
	most := max(1, rate*LimitBurst.Seconds())
	b.level = min(most, b.level+rate*now.Sub(b.at).Seconds())
	b.at = now
	return b.level
}

// Announce records what an upstream said in an answer to this node, and reports whether that was new.
func (s *State) Announce(id string, a Announcement, now time.Time) bool {
	u := s.byID[id]
	if u == nil || u.Incarnation != a.Incarnation {
		return false
	}
	at := now.Add(-a.Age)
	changed := a.Leaving && !u.announced.leaving
	u.announced.leaving = u.announced.leaving || a.Leaving
	if at.Before(u.announced.at) || a.Limit <= 0 && u.announced.limit <= 0 {
		return changed
	}
	changed = changed || a.Limit != u.announced.limit
	if u.announced.limit <= 0 {
		u.announced.fleet, u.announced.own = bucket{}, bucket{}
	}
	u.announced.limit, u.announced.at = a.Limit, at
	return changed
}

// Announcements returns, by upstream ID, what other nodes should know of the answers of upstreams.
func (s *State) Announcements(now time.Time) map[string]Announcement {
	var all map[string]Announcement
	for id, u := range s.byID {
		a := &u.announced
		if a.limit <= 0 && !a.leaving && (a.at.IsZero() || now.Sub(a.at) > announcementTime) {
			continue
		}
		if all == nil {
			all = map[string]Announcement{}
		}
		all[id] = Announcement{Limit: a.limit, Leaving: a.leaving, Incarnation: u.Incarnation, Age: now.Sub(a.at)}
	}
	return all
}

// limited reports whether the upstream names a limit.
func (u *upstream) limited() bool { return u.announced.limit > 0 }

// SetHub records whether the hub that answered last divides the limits of upstreams among the nodes, and how many nodes there
// are to share them without it.
func (s *State) SetHub(divides bool, nodes int) { s.hubDivides, s.nodes = divides, nodes }

// hubLimits reports whether the hub limits the requests of this node, so that only granted ones may be sent.
func (s *State) hubLimits(now time.Time) bool {
	return s.hubDivides && now.Sub(s.totalsAt) <= maxTotalsAge
}

// mayTake reports whether a request may be sent to an upstream by its limit without a grant: one of this node's equal part of
// it while the hub does not divide the limit.
func (s *State) mayTake(u *upstream, now time.Time) bool {
	if !u.limited() {
		return true
	}
	rate := max(minLimit, u.announced.limit) / float64(max(1, s.nodes))
	return u.announced.own.available(rate, now) >= 1 && !s.hubLimits(now)
}

// take counts a request that is sent to an upstream.
func (s *State) take(u *upstream) {
	if !u.limited() {
		return
	}
	u.announced.own.level = max(-1, u.announced.own.level-1)
	if s.started == nil {
		s.started = map[string]int{}
	}
	s.started[u.ID]++
}

// BeginTerm is called when this node begins to serve as the hub, or may have been replaced as it for a while: another hub may
// have allowed all the requests that the limits leave.
func (s *State) BeginTerm(now time.Time) {
	for _, u := range s.byID {
		u.announced.fleet = bucket{level: min(0, u.announced.fleet.level), at: now}
	}
}

// Started returns the requests that this node has sent to each limited upstream since the last call.
func (s *State) Started() map[string]int {
	started := s.started
	s.started = nil
	return started
}

// CountStarted counts requests that a node has sent to limited upstreams, if this node is the hub.
func (s *State) CountStarted(started map[string]int, now time.Time) {
	for id, n := range started {
		if u := s.byID[id]; u != nil && u.limited() {
			s.fleetTokens(u, now)
			u.announced.fleet.level -= float64(n)
		}
	}
}

// fleetTokens returns how many requests all nodes together may send to a limited upstream now, if this node is the hub.
func (s *State) fleetTokens(u *upstream, now time.Time) int {
	return int(math.Floor(u.announced.fleet.available(max(minLimit, u.announced.limit), now)))
}
