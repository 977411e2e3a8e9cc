// Package reach decides whether a node reaches its upstreams over its own connections, or should connect to them through
// other nodes.
//
// A failure of one upstream says nothing about the node: the upstream may be down, slow or silent for a moment. The node is
// at fault if another node connects to an upstream that this one can't reach. From then on that upstream is reached through
// other nodes. When several upstreams of a service fail at the same time and none is heard, one such finding holds for all of
// them, so that not every upstream has to time out first.
//
// The return is decided for each upstream by itself: a connection of the node's own must succeed.
package reach

import (
	"time"
)

const (
	// SilenceLimit is how long an upstream may send nothing, while it owes an answer, before its silence counts as a sign that
	// connections are broken. A busy upstream sends an event of some stream each 10 to 50 ms.
	SilenceLimit = 250 * time.Millisecond
	// MaxPollGap is the longest time between two polls. After a longer one the process was suspended, and times of silence
	// count from the later poll on.
	MaxPollGap = 2 * SilenceLimit
	// minCheckDelay is the time from a failed check of an upstream to the next one; it doubles up to maxCheckDelay with each
	// check that fails, and starts again with a failure that comes steadyTime after the last connection.
	minCheckDelay, maxCheckDelay = 250 * time.Millisecond, time.Second
	steadyTime                   = 10 * time.Second
	// minFailing is the number of upstreams of a service that fail before the node itself is suspected; a service may have
	// fewer.
	minFailing = 2
)

// Upstream is an upstream as this package sees it.
type Upstream struct {
	Address, Service string
	// Incarnation is greater when a later process serves at the address.
	Incarnation int64
}

// Path is how a request gets to an upstream.
type Path int

// Paths.
const (
	// Direct uses the node's own connections.
	Direct Path = iota
	// Relayed uses connections through another node.
	Relayed
)

// link is what the node knows of its own connections to one upstream.
type link struct {
	Upstream
	// heardAt is when data last arrived or a connection was made; connectedAt is the time of the last connection.
	heardAt, connectedAt time.Time
	// waitingSince is when the node first sent data that nothing has followed yet; zero if it waits for none.
	waitingSince time.Time
	// failedAt and lastFailedAt are the times of the first and the last failure to connect after the last connection, or zero.
	failedAt, lastFailedAt time.Time
	// relayed is set while requests are sent through other nodes.
	relayed bool
	// nextCheck is the earliest time of the next check.
	nextCheck  time.Time
	checkDelay time.Duration
}

// silentSince returns when the silence of the upstream began, or zero if it is not silent.
func (l *link) silentSince(now time.Time) time.Time {
	if !l.waitingSince.IsZero() && now.Sub(l.waitingSince) >= SilenceLimit {
		return l.waitingSince
	}
	return time.Time{}
}

// failingSince returns when the connections to the upstream began to fail, or zero if they do not.
func (l *link) failingSince(now time.Time) time.Time {
	if !l.failedAt.IsZero() {
		return l.failedAt
	}
	return l.silentSince(now)
}

// State holds the links of one node. It is not safe for concurrent use.
type State struct {
	byAddress map[string]*link
	byService map[string][]*link
	// newest is the last incarnation at each address: the entry of an upstream that is gone may still be there when another one has its
	// address.
	newest   map[string]int64
	polledAt time.Time
}

// New returns a state without upstreams.
func New() *State {
	return &State{byAddress: map[string]*link{}, byService: map[string][]*link{}}
}

// SetUpstreams replaces the list of upstreams. Links to those that remain keep their state.
func (s *State) SetUpstreams(list []Upstream, now time.Time) {
	byAddress := make(map[string]*link, len(list))
	byService, newest := map[string][]*link{}, make(map[string]int64, len(list))
	for _, u := range list {
		newest[u.Address] = max(newest[u.Address], u.Incarnation)
		l := s.byAddress[u.Address]
		switch {
		case l == nil || l.Service != u.Service:
			l = &link{heardAt: now}
		case l.Incarnation != u.Incarnation && !l.relayed:
			*l = link{heardAt: now}
		}
		l.Upstream = u
		byAddress[u.Address] = l
		byService[u.Service] = append(byService[u.Service], l)
	}
	s.byAddress, s.byService, s.newest = byAddress, byService, newest
}

// Known reports whether an address is that of an upstream.
func (s *State) Known(address string) bool { return s.byAddress[address] != nil }

// Activity is what happened on the connections to an upstream since the last poll.
type Activity struct{ Sent, Received bool }

// Poll records the activity on connections since the last poll. It must be called at least every MaxPollGap while data is
// awaited.
func (s *State) Poll(activity map[string]Activity, now time.Time) {
	suspended := !s.polledAt.IsZero() && now.Sub(s.polledAt) > MaxPollGap
	s.polledAt = now
	for _, l := range s.byAddress {
		if suspended && !l.waitingSince.IsZero() {
			l.waitingSince = now
		}
		switch a := activity[l.Address]; {
		case a.Received:
			l.heardAt, l.waitingSince = now, time.Time{}
		case a.Sent && l.waitingSince.IsZero():
			l.waitingSince = now
		}
	}
}

// Waiting reports whether any upstream owes data or has to be checked, so that Poll must be called again.
func (s *State) Waiting() bool {
	for _, l := range s.byAddress {
		if l.relayed || !l.waitingSince.IsZero() {
			return true
		}
	}
	return false
}

// Connected records that the node connected to an upstream itself, and reports whether the upstream was reached through other
// nodes until now. Checks of other upstreams of the service are then due at once.
func (s *State) Connected(address string, now time.Time) (returned bool) {
	l := s.byAddress[address]
	if l == nil {
		return false
	}
	returned = l.relayed
	if returned {
		for _, other := range s.byService[l.Service] {
			other.nextCheck = now
		}
	}
	l.heardAt, l.connectedAt, l.waitingSince, l.relayed = now, now, time.Time{}, false
	l.failedAt, l.lastFailedAt = time.Time{}, time.Time{}
	return returned
}

// ConnectFailed records that the node could not connect to an upstream itself.
func (s *State) ConnectFailed(address string, now time.Time) {
	l := s.byAddress[address]
	if l == nil {
		return
	}
	if l.failedAt.IsZero() {
		l.failedAt = now
	}
	l.lastFailedAt = now
	if !l.relayed && now.Sub(l.connectedAt) > steadyTime {
		l.checkDelay = 0
	}
	l.checkDelay = min(max(2*l.checkDelay, minCheckDelay), maxCheckDelay)
	l.nextCheck = now.Add(l.checkDelay)
}

// OthersReach records that another node connected to an upstream to which this node's connections fail. It returns the
// addresses that are reached through other nodes from now on.
func (s *State) OthersReach(address string, now time.Time) (relayed []string) {
	l := s.byAddress[address]
	if l == nil || l.failingSince(now).IsZero() {
		return nil
	}
	begin := func(l *link) {
		if !l.relayed {
			l.relayed = true
			relayed = append(relayed, l.Address)
		}
	}
	begin(l)
	if since := s.suspectedSince(l.Service, now); !since.IsZero() {
		for _, other := range s.byService[l.Service] {
			if !other.connectedAt.After(since) {
				begin(other)
			}
		}
	}
	return relayed
}

// Suspected reports whether the node itself may be cut off from the upstreams of a service.
func (s *State) Suspected(service string, now time.Time) bool {
	return !s.suspectedSince(service, now).IsZero()
}

// suspectedSince returns since when several upstreams of a service have failed while none was reached, or zero. Failures to
// connect are only contradicted by a connection, since open connections may live on while new ones fail. Silence is
// contradicted by any data.
func (s *State) suspectedSince(service string, now time.Time) time.Time {
	links := s.byService[service]
	var connectedAt, heardAt, failedSince, silentSince time.Time
	for _, l := range links {
		connectedAt, heardAt = latest(connectedAt, l.connectedAt), latest(heardAt, l.heardAt)
	}
	failing, silent := 0, 0
	for _, l := range links {
		if l.lastFailedAt.After(connectedAt) {
			failing++
			failedSince = earliest(failedSince, l.lastFailedAt)
		}
		if since := l.failingSince(now); !since.IsZero() {
			silent++
			silentSince = earliest(silentSince, since)
		}
	}
	enough := max(1, min(minFailing, len(links)))
	switch {
	case failing >= enough:
		return failedSince
	case silent >= enough && now.Sub(heardAt) >= SilenceLimit:
		return silentSince
	}
	return time.Time{}
}

// Path returns how a request gets to an upstream. If check is set, the caller must try to connect to it directly, in the
// background, and call Connected or ConnectFailed.
func (s *State) Path(address string, now time.Time) (path Path, check bool) {
	l := s.byAddress[address]
	if l == nil || !l.relayed {
		return Direct, false
	}
	return Relayed, l.takeCheck(now)
}

// ReturnChecks returns upstreams that are reached through other nodes and whose next check is due, at most limit: without
// requests to them nothing else would show that they can be reached again. The caller must try to connect to each.
func (s *State) ReturnChecks(limit int, now time.Time) (addresses []string) {
	for address, l := range s.byAddress {
		if len(addresses) < limit && l.relayed && l.takeCheck(now) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// takeCheck reports whether a check is due, and postpones the next one.
func (l *link) takeCheck(now time.Time) bool {
	if now.Before(l.nextCheck) {
		return false
	}
	l.nextCheck = now.Add(minCheckDelay)
	return true
}

// SilentChecks returns the upstreams whose silence gives reason to check them, both directly and from another node. The
// caller must call Connected, ConnectFailed and OthersReach with the results.
func (s *State) SilentChecks(now time.Time) (addresses []string) {
	for service, links := range s.byService {
		if !s.Suspected(service, now) {
			continue
		}
		for _, l := range links {
			if !l.relayed && !l.silentSince(now).IsZero() && l.takeCheck(now) {
				addresses = append(addresses, l.Address)
			}
		}
	}
	return addresses
}

// Failing reports whether the node's own connections to an upstream fail, or it owes data.
func (s *State) Failing(address string, now time.Time) bool {
	l := s.byAddress[address]
	return l != nil && !l.failingSince(now).IsZero()
}

// ConnectedSince reports whether the node has connected to an upstream itself after the given time, and has not failed to since.
func (s *State) ConnectedSince(address string, since time.Time) bool {
	l := s.byAddress[address]
	return l != nil && !l.relayed && l.failedAt.IsZero() && l.connectedAt.After(since)
}

// Restarted reports whether a later process than the one of the given incarnation serves at an address.
func (s *State) Restarted(address string, incarnation int64) bool {
	return s.newest[address] > incarnation
}

// Relayed reports whether an upstream is reached through other nodes.
func (s *State) Relayed(address string) bool {
	l := s.byAddress[address]
	return l != nil && l.relayed
}

// Unreached returns the number of upstreams that are reached through other nodes, and whether one of their services has no
// other upstreams.
func (s *State) Unreached() (count int, cutOff bool) {
	for _, links := range s.byService {
		relayed := 0
		for _, l := range links {
			if l.relayed {
				relayed++
			}
		}
		count += relayed
		cutOff = cutOff || relayed == len(links) && relayed > 0
	}
	return count, cutOff
}

// Lost reports whether what was sent to an upstream before can't be answered any more: new connections to it fail, and nothing
// has arrived on the open ones since.
func (s *State) Lost(address string) bool {
	l := s.byAddress[address]
	return l != nil && l.relayed && !l.failedAt.IsZero() && !l.heardAt.After(l.failedAt)
}

// LastHeard returns when any upstream of a service was last heard.
func (s *State) LastHeard(service string) (at time.Time) {
	for _, l := range s.byService[service] {
		at = latest(at, l.heardAt)
	}
	return at
}

// Service returns the service of an upstream, or "".
func (s *State) Service(address string) string {
	if l := s.byAddress[address]; l != nil {
		return l.Service
	}
	return ""
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
