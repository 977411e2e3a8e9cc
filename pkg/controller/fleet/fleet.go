// Package fleet keeps one node's view of all nodes of a deployment. Each node registers itself in the store, and the hub
// of the load exchange reports which nodes are unresponsive: those from which it has received no report for some
// time.
package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/tenure"
	"trefoilplank.example/pkg/eventlog"
)

// Prefix is the key prefix of the member entries in the store.
const Prefix = "members/"

const (
	// hubReportMaxAge is how long a hub's report of unresponsive nodes is used. After it all registered nodes count as
	// live again, since a node that gets no reports does not know which are unresponsive.
	hubReportMaxAge = 3 * time.Second
	// hubReportFresh is how long after the last report of a hub this node relies on its view: three idle exchanges.
	hubReportFresh = time.Second
	// countedLostAfter is how long after the last report of a node the hub counts it as lost at the earliest, less the error of
	// two clocks. hubPassedOver is the same for the node that is the hub: nodes of earlier versions that get no answer to one
	// exchange, for 400 ms, take over its jobs at their next look, 100 ms later.
	countedLostAfter, hubPassedOver = 1200 * time.Millisecond, 500 * time.Millisecond
	// minKnownTime is how long a node must have known the members before it may consider others lost. A node that
	// starts while the store is down learns them late, and then needs some exchanges to find the hub.
	minKnownTime = 1500 * time.Millisecond
)

// Member is the entry under which a node registers itself.
type Member struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// CallerAddress and PeerAddress are IP:port; CallerAddress is empty on a node that takes no callers.
	CallerAddress string `json:"caller_address,omitempty"`
	PeerAddress   string `json:"peer_address"`
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64 `json:"incarnation"`
	// Weight is the node's share of work that is divided between nodes, according to its processor.
	Weight   float64 `json:"weight"`
	Draining bool    `json:"draining,omitempty"`
	// AnswersChallenges is set by builds that undo any change of their entry. Challenged is the Unix time in nanoseconds at which another
	// node marked the entry to learn whether this one is alive, 0 in the entry that a process writes.
	AnswersChallenges bool  `json:"answers_challenges,omitempty"`
	Challenged        int64 `json:"challenged,omitempty"`
}

// Fleet is one node's view of all nodes. It is safe for concurrent use.
type Fleet struct {
	store store.Store
	log   *eventlog.Log

	mu      sync.Mutex
	self    Member
	members map[string]Member
	// revisions holds the store revisions of the members' entries.
	revisions    map[string]int64
	registration registration
	// knownSince is when the registered members were first seen; zero before.
	knownSince time.Time
	// unresponsive and draining are the nodes in the last report of the hub, which came at reportedAt.
	unresponsive map[string]bool
	reportedAt   time.Time
	// suspects holds the nodes that did not answer.
	suspects map[string]suspicion
	draining map[string]bool
	// tenure is how long this node certainly counts as live at the others.
	tenure tenure.Tenure
}

// New returns a fleet that knows only the node itself.
func New(s store.Store, self Member, log *eventlog.Log) *Fleet {
	self.AnswersChallenges = true
	return &Fleet{store: s, log: log, self: self, members: map[string]Member{}, suspects: map[string]suspicion{}, registration: newRegistration()}
}

// SetRegistered sets the registered members from their entries, as a mirror passes them to Prefix.Handle.
func (f *Fleet) SetRegistered(objects map[string]store.Object) {
	next := make(map[string]Member, len(objects))
	revisions := make(map[string]int64, len(objects))
	for key, o := range objects {
		var m Member
		if err := json.Unmarshal(o.Value, &m); err != nil || m.Name == "" || Prefix+m.Name != key {
			f.log.Notice("invalid member entry", "key", key, "error", err)
			continue
		}
		next[m.Name], revisions[m.Name] = m, o.Revision
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, m := range next {
		if old, ok := f.members[name]; !ok || old.Incarnation != m.Incarnation || old.Draining != m.Draining {
			f.log.Notice("member entry is new or changed", "member", name, "incarnation", m.Incarnation, "draining", m.Draining)
			delete(f.suspects, name)
		}
	}
	for name := range f.members {
		if _, ok := next[name]; !ok {
			f.log.Notice("member entry was removed", "member", name)
		}
	}
	f.members, f.revisions = next, revisions
	f.observeOwnEntry()
	if f.knownSince.IsZero() && len(next) > 0 {
		f.knownSince = time.Now()
	}
}

// AddIntroduced adds a node that introduced itself directly, unless the registered members are known already, and
// reports whether it was added.
func (f *Fleet) AddIntroduced(m Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.knownSince.IsZero() || m.Name == "" || m.Name == f.self.Name {
		return false
	}
	if _, ok := f.members[m.Name]; !ok {
		f.log.Notice("member introduced itself", "member", m.Name, "peer_address", m.PeerAddress)
	}
	f.members[m.Name] = m
	return true
}

// Self returns the node's own entry.
func (f *Fleet) Self() Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// Known returns all known members and the node itself, sorted by name.
func (f *Fleet) Known() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := maps.Clone(f.members)
	all[f.self.Name] = f.self
	return slices.SortedFunc(maps.Values(all), func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// Size returns the number of known members with the node itself.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.members[f.self.Name]; ok {
		return len(f.members)
	}
	return len(f.members) + 1
}

// Live returns the known nodes without those that are unresponsive or suspected.
func (f *Fleet) Live() []Member {
	all := f.Known()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(all, func(m Member) bool { return !f.alive(m.Name, now) })
}

// eachLive calls use for each known node that is neither unresponsive nor suspected, in no order.
func (f *Fleet) eachLive(use func(Member)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	use(f.self)
	for name, m := range f.members {
		if name != f.self.Name && f.alive(name, now) {
			use(m)
		}
	}
}

// alive reports whether a node is neither suspected nor in a recent report of unresponsive nodes. f.mu must be held.
func (f *Fleet) alive(name string, now time.Time) bool {
	if name == f.self.Name {
		return true
	}
	if now.Before(f.suspects[name].until) {
		return false
	}
	return !f.unresponsive[name] || now.Sub(f.reportedAt) > hubReportMaxAge
}

// dividedPart is the part of the members that are unresponsive from which on the fleet may be divided: a hub on the other side
// declares nodes lost only if half of them report to it. Single nodes of a large deployment are lost at any time.
const dividedPart = 0.1

// ViewMayDiffer reports whether some nodes may have a different view of the fleet: no hub report came lately, the hub is
// suspected, or so many nodes are unresponsive that the fleet may be divided. In that case another node may have taken over
// what this one owns.
func (f *Fleet) ViewMayDiffer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	divided := len(f.unresponsive) > 0 && float64(len(f.unresponsive)) >= dividedPart*float64(len(f.members))
	if now.Sub(f.reportedAt) > hubReportFresh || divided {
		return true
	}
	for _, s := range f.suspects {
		if now.Before(s.until) {
			return true
		}
	}
	return false
}

// MayDeclareLost reports whether this node has known the members for minKnownTime and gets reports of a hub. Only then
// may it consider another node lost.
func (f *Fleet) MayDeclareLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return !f.knownSince.IsZero() && now.Sub(f.knownSince) > minKnownTime && now.Sub(f.reportedAt) <= hubReportFresh
}

// Alive reports whether a node with this incarnation is registered and neither unresponsive, suspected nor draining.
// An incarnation of 0 matches any. For the node itself only the incarnation counts.
func (f *Fleet) Alive(name string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.self.Name {
		return incarnation == 0 || incarnation == f.self.Incarnation
	}
	m, ok := f.members[name]
	return ok && (incarnation == 0 || m.Incarnation == incarnation) && !m.Draining && f.alive(name, time.Now())
}

// Lost reports whether another process is certainly gone or counts as lost: it is not registered, was restarted, drains, or the
// hub reports it as unresponsive. A single call without an answer, after which the node is suspected, is not enough.
func (f *Fleet) Lost(name string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.self.Name {
		return incarnation != f.self.Incarnation
	}
	m, ok := f.members[name]
	if !ok || m.Incarnation != incarnation || m.Draining {
		return true
	}
	return f.unresponsive[name] && time.Since(f.reportedAt) <= hubReportMaxAge
}

// Confirm records that a hub, which may be this node, has answered a report that was sent at begun, and counts this node as
// live.
func (f *Fleet) Confirm(begun time.Time, isHub bool) {
	bound := countedLostAfter
	if isHub {
		bound = hubPassedOver
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if gap := f.tenure.Confirm(begun, time.Now(), bound); gap > 0 {
		f.log.Notice("other nodes may have counted this node as lost", "not_heard_ms", (gap + bound).Milliseconds(), "is_hub", isHub)
	}
}

// CertainSince reports whether other nodes certainly count this node as live now, and since when: they may have taken over
// before what it held.
func (f *Fleet) CertainSince() (since time.Time, certain bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tenure.HeldSince(), f.tenure.Held(time.Now())
}

// Restarted reports whether a later process of a node is registered.
func (f *Fleet) Restarted(name string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[name]
	return ok && m.Incarnation > incarnation
}

// MayConfirm reports whether a process is registered and not challenged, so that it may be confirmed to be live.
func (f *Fleet) MayConfirm(name string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[name]
	return ok && m.Incarnation == incarnation && m.Challenged == 0
}

// OtherStartedBefore reports whether a known member other than this node started before cutoff. If so, the fleet was
// already running, and all its entries exist.
func (f *Fleet) OtherStartedBefore(cutoff time.Time) bool {
	self := f.Self().Name
	for _, m := range f.Known() {
		if m.Name != self && m.Incarnation < cutoff.UnixNano() {
			return true
		}
	}
	return false
}

// OtherLive returns the names of the other live nodes.
func (f *Fleet) OtherLive() []string {
	var names []string
	f.eachLive(func(m Member) {
		if m.Name != f.self.Name {
			names = append(names, m.Name)
		}
	})
	slices.Sort(names)
	return names
}

// Weights returns the weights of the live nodes that are not registered as draining, by name, for work that is divided
// between nodes.
func (f *Fleet) Weights() map[string]float64 {
	weights := map[string]float64{}
	f.eachLive(func(m Member) {
		if !m.Draining {
			weights[m.Name] = m.Weight
		}
	})
	return weights
}

// AcceptingWeights returns the weights of the other nodes that accept new work, by name: Weights without this node and
// those that the hub reports as draining.
func (f *Fleet) AcceptingWeights() map[string]float64 {
	weights := f.Weights()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(weights, f.self.Name)
	for name := range f.draining {
		delete(weights, name)
	}
	return weights
}

// PeerAddress returns the peer address of a known member. It is the resolver of the peer client.
func (f *Fleet) PeerAddress(name string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[name]
	return m.PeerAddress, ok
}

// SetHubReport sets the unresponsive and the draining nodes from a report of the hub.
func (f *Fleet) SetHubReport(unresponsive, draining []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[string]bool, len(unresponsive))
	for _, name := range unresponsive {
		next[name] = true
		if !f.unresponsive[name] && name != f.self.Name {
			f.log.Notice("node is unresponsive", "member", name)
		}
	}
	for name := range f.unresponsive {
		if !next[name] {
			f.log.Notice("node is no longer unresponsive", "member", name)
		}
	}
	f.unresponsive, f.reportedAt = next, time.Now()
	f.draining = make(map[string]bool, len(draining))
	for _, name := range draining {
		f.draining[name] = true
	}
}

// CallerAddresses returns the caller addresses of the nodes that accept new callers, those of the availability zone
// first.
func (f *Fleet) CallerAddresses(availabilityZone string) []string {
	live := f.Live()
	f.mu.Lock()
	draining := f.draining
	f.mu.Unlock()
	var near, far []string
	for _, m := range live {
		if m.CallerAddress == "" || m.Draining || draining[m.Name] {
			continue
		}
		if m.AvailabilityZone == availabilityZone {
			near = append(near, m.CallerAddress)
		} else {
			far = append(far, m.CallerAddress)
		}
	}
	return append(near, far...)
}
