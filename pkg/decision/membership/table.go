// Package membership decides which nodes are alive from heartbeats, failed calls and lease records.
//
// A node that does not answer heartbeats becomes suspect first. It stays in the live set and can refute the suspicion;
// it is removed only if it does not. So a slow path between two nodes removes no node. An unreachable store is no
// evidence against any node.
package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/blackboard"
)

// Error is the class of the errors of this package.
var Error = errs.Class("membership")

// Status is the believed status of a node. With the same sequence number, a larger status overrides a smaller one.
type Status int

// Statuses of a node. Nodes that are Dead or Left are removed from the live set.
const (
	Alive Status = iota
	Suspect
	Dead
	// Left is set by the node itself when it stops.
	Left
)

// String returns the name of the status.
func (s Status) String() string {
	names := []string{"alive", "suspect", "dead", "left"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Stamp orders the updates about one node by incarnation, sequence number and status. Only the node itself raises its
// incarnation and sequence number.
type Stamp struct {
	Incarnation int64
	Seq         int64
	Status      Status
}

// maxCounter limits incarnations and sequence numbers, so that raising one above that of a peer can't overflow.
const maxCounter = 1 << 62

func (s Stamp) valid() bool {
	return s.Incarnation > 0 && s.Incarnation < maxCounter && s.Seq >= 0 && s.Seq < maxCounter && s.Status >= Alive && s.Status <= Left
}

// Newer reports whether s overrides t.
func (s Stamp) Newer(t Stamp) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, t.Incarnation), cmp.Compare(s.Seq, t.Seq), cmp.Compare(s.Status, t.Status)) > 0
}

// Update is what one node states about another node or about itself.
type Update struct {
	Name, AvailabilityZone, Region     string
	Address, AdminAddress, PeerAddress string
	Stamp
	Draining bool
}

// Valid reports whether an update from another node is well-formed.
func (u Update) Valid() bool {
	return u.Name != "" && u.PeerAddress != "" && u.valid()
}

// Params are the parameters of failure detection.
type Params struct {
	// ProbeInterval is the time between two rounds of heartbeats.
	ProbeInterval time.Duration
	// Misses is the number of consecutive calls without answer that makes a node suspect.
	Misses int
	// SuspectTimeout is the time that a suspect node has to refute the suspicion.
	SuspectTimeout time.Duration
	// Tombstone is how long removed nodes are remembered and dead ones are probed again from time to time.
	Tombstone time.Duration
	// LeaseTimeout is how long a lease must be unchanged, with the store reachable, to count as evidence.
	LeaseTimeout time.Duration
}

// Default suspects a dead node after two to three heartbeats and removes it about 3 s later. Tombstone exceeds the hour
// for which regions may be out of contact.
var Default = Params{
	ProbeInterval: time.Second, Misses: 2, SuspectTimeout: 3 * time.Second,
	Tombstone: 2 * time.Hour, LeaseTimeout: 31 * time.Second,
}

// record is the table's entry of one node.
type record struct {
	Update
	// statusSince is when this node set the status.
	statusSince time.Time
	// suspectedHere is set if this node raised the suspicion. It then announces the removal.
	suspectedHere bool
	// heardAt is when the node last answered or sent a heartbeat.
	heardAt time.Time
	// misses is the number of consecutive calls without answer.
	misses int
	// probeNext marks the node to be probed in the next round.
	probeNext bool
	// version is the configuration version in force on the node.
	version int64
	// evidence is the reason for the last change of status.
	evidence string

	// leaseRevision is the last revision seen of the node's lease object, and leaseSeenAt when it was first seen.
	leaseRevision int64
	leaseSeenAt   time.Time
}

// Table is one node's view of all nodes. It is not safe for concurrent use. Its methods return the updates that the
// caller must send to the other nodes.
type Table struct {
	params   Params
	self     string
	nodes    map[string]*record
	vmStates map[string]blackboard.VMState
	// storeAnsweringSince is when the store began to answer without failures; zero while it does not answer.
	storeAnsweringSince time.Time
	lastTick            time.Time
	// events holds the changes since the last call of Events.
	events []Event
	// revision grows with each change except those of the times of contact, liveRevision with each change of the live set
	// or of the availability zone of a node.
	revision, liveRevision int64
	// digestRevision grows with each change of the result of Digests.
	digestRevision int64
	// ringNodes is the cached result of ring at the live revision ringRevision; nil before the first use.
	ringNodes    []string
	ringRevision int64
}

// NewTable returns a table with self as its only node.
func NewTable(p Params, self Update, now time.Time) *Table {
	t := &Table{params: p, self: self.Name, nodes: map[string]*record{}, lastTick: now}
	t.nodes[self.Name] = &record{Update: self, statusSince: now, heardAt: now}
	return t
}

// Self returns this node's update about itself.
func (t *Table) Self() Update { return t.nodes[t.self].Update }

// Revision returns a number that grows with each change of the results of Live and Digests except times of contact.
func (t *Table) Revision() int64 { return t.revision }

// DigestRevision returns a number that grows with each change of the result of Digests.
func (t *Table) DigestRevision() int64 { return t.digestRevision }

// LiveRevision returns a number that grows when a node enters or leaves the live set or changes its availability zone.
func (t *Table) LiveRevision() int64 { return t.liveRevision }

// Event is a change of a node's status and the evidence for it.
type Event struct {
	Name string
	// Change is "joined", "suspect", "dead", "left", "returned" after a removal or "refuted" after a suspicion.
	Change, Evidence string
}

// Events returns the changes since the last call.
func (t *Table) Events() []Event {
	events := t.events
	t.events = nil
	return events
}

// addEvent adds the event for a change of status. known is false for a node that was not known before.
func (t *Table) addEvent(name string, known bool, from, to Status, evidence string) {
	change := to.String()
	switch {
	case !known:
		change = "joined"
	case from == to || from >= Dead && to >= Dead:
		return
	case from >= Dead:
		change = "returned"
	case to == Alive:
		change = "refuted"
	}
	t.events = append(t.events, Event{name, change, evidence})
	t.nodes[name].evidence = evidence
}

// Removed is a node that is believed to be dead, with the evidence for it.
type Removed struct {
	Name, Evidence string
	Since          time.Time
}

// Removed returns the dead nodes, sorted by name, without those whose VM the VM list reports as lost.
func (t *Table) Removed() []Removed {
	var removed []Removed
	for _, name := range slices.Sorted(maps.Keys(t.nodes)) {
		if r := t.nodes[name]; r.Status == Dead && t.vmStates[name] != blackboard.VMLost {
			removed = append(removed, Removed{name, r.evidence, r.statusSince})
		}
	}
	return removed
}

// Get returns the last update about a node; false if the node is unknown.
func (t *Table) Get(name string) (Update, bool) {
	r, ok := t.nodes[name]
	if !ok {
		return Update{}, false
	}
	return r.Update, true
}

// Merge applies an update from another node. fresh reports whether it changed the table and must be passed on. An update
// about this node is not applied: if it overrides this node's own one, refutation holds the newer update to send out.
func (t *Table) Merge(u Update, now time.Time) (fresh bool, refutation []Update) {
	return t.merge(u, now, "statement of another node")
}

// merge is Merge with the evidence that is recorded for a change of status.
func (t *Table) merge(u Update, now time.Time, evidence string) (fresh bool, refutation []Update) {
	if !u.Valid() {
		return false, nil
	}
	if u.Name == t.self {
		return false, t.Refute(u.Stamp, now)
	}
	r, ok := t.nodes[u.Name]
	unconfirmed := ok && u.Status == Dead && t.removalUnconfirmed(r, u, now)
	if unconfirmed {
		u.Status = Suspect
	}
	if ok && !u.Newer(r.Stamp) {
		return false, nil
	}
	if !ok {
		if u.Status >= Dead {
			// The removal of a node matters only to tables that hold it.
			return false, nil
		}
		r = &record{heardAt: now}
		t.nodes[u.Name] = r
	}
	if !ok || (u.Status >= Dead) != (r.Status >= Dead) || u.AvailabilityZone != r.AvailabilityZone {
		t.liveRevision++
	}
	t.updateChanged()
	if u.Incarnation != r.Incarnation {
		r.version = 0
	}
	if u.Status != r.Status || u.Incarnation != r.Incarnation || !ok {
		r.statusSince, r.suspectedHere = now, false
	}
	if u.Status == Alive {
		r.misses = 0
	}
	t.addEvent(u.Name, ok, r.Status, u.Status, evidence)
	r.Update = u
	r.probeNext = r.probeNext || unconfirmed
	return true, nil
}

// removalUnconfirmed reports whether a removal by another node counts only as a suspicion here, because this node has
// not known of the suspicion for about SuspectTimeout. After two parts of a fleet were out of contact, each sends the
// other updates by which the other's members are dead. If these were accepted, each part would remove its own members
// for seconds.
func (t *Table) removalUnconfirmed(r *record, u Update, now time.Time) bool {
	known := r.Status == Suspect && r.Incarnation == u.Incarnation && r.Seq == u.Seq
	return r.Status < Dead && !(known && now.Sub(r.statusSince) >= t.params.SuspectTimeout*2/3)
}

// Refute raises this node's own stamp above s if s is newer, and returns this node's new update. Such a stamp says that
// this node is not alive, or is left over from an earlier process of the same name.
func (t *Table) Refute(s Stamp, now time.Time) []Update {
	self := t.nodes[t.self]
	if self.Status == Left || !s.valid() || !s.Newer(self.Stamp) {
		return nil
	}
	if s.Incarnation > self.Incarnation {
		self.Incarnation, self.Seq = s.Incarnation+1, 0
	} else {
		self.Seq = s.Seq + 1
	}
	self.heardAt = now
	t.updateChanged()
	return []Update{self.Update}
}

// SetDraining records whether this node drains.
func (t *Table) SetDraining(draining bool) []Update {
	self := t.nodes[t.self]
	if self.Draining == draining {
		return nil
	}
	self.Draining = draining
	self.Seq++
	t.updateChanged()
	return []Update{self.Update}
}

// Leave records that this node stops.
func (t *Table) Leave() []Update {
	self := t.nodes[t.self]
	self.Status = Left
	t.updateChanged()
	t.liveRevision++
	return []Update{self.Update}
}

// RecordAnswer records an answer or heartbeat of a node, with its own stamp, whether it drains, and its configuration
// version.
func (t *Table) RecordAnswer(name string, s Stamp, draining bool, version int64, now time.Time) []Update {
	r, ok := t.nodes[name]
	if !ok || name == t.self {
		return nil
	}
	r.heardAt, r.misses, r.probeNext = now, 0, false
	if s.Incarnation != r.Incarnation {
		return nil
	}
	t.raiseVersion(r, version)
	if !s.Newer(r.Stamp) {
		return nil
	}
	u := r.Update
	u.Stamp, u.Draining = s, draining
	t.merge(u, now, "answer or heartbeat of the node")
	return []Update{u}
}

// RecordMissedCall records a call to a node that got no answer. Params.Misses of them in a row make the node suspect.
func (t *Table) RecordMissedCall(name string, now time.Time) []Update {
	r, ok := t.nodes[name]
	if !ok || name == t.self {
		return nil
	}
	r.probeNext = false
	if r.Status != Alive {
		return nil
	}
	r.misses++
	if r.misses < t.params.Misses {
		return nil
	}
	t.addEvent(name, true, r.Status, Suspect, fmt.Sprintf("%d heartbeats without answer", r.misses))
	r.Status, r.statusSince, r.suspectedHere = Suspect, now, true
	t.probeZone(r.AvailabilityZone, now)
	return []Update{r.Update}
}

// RequestProbe marks a node to be probed in the next round, after a call to it by another component failed.
func (t *Table) RequestProbe(name string) {
	if r, ok := t.nodes[name]; ok && name != t.self {
		r.probeNext = true
	}
}

// SetVMs sets the platform's VM list. The list lags behind the actual state, so it only confirms suspicions.
func (t *Table) SetVMs(vms map[string]blackboard.VMState) { t.vmStates = vms }

// SetVersion records the configuration version in force on a node, as reported by a third node.
func (t *Table) SetVersion(name string, version int64) {
	if r, ok := t.nodes[name]; ok {
		t.raiseVersion(r, version)
	}
}

func (t *Table) raiseVersion(r *record, version int64) {
	if version > r.version {
		r.version = version
		t.revision++
	}
}

// updateChanged raises the counters that grow with each change of an update.
func (t *Table) updateChanged() {
	t.revision++
	t.digestRevision++
}

// Tick removes suspect nodes that did not refute in time or whose VM is lost, and forgets removed nodes after
// Params.Tombstone. A suspect node that is marked to be probed is not removed before that probe.
func (t *Table) Tick(now time.Time) []Update {
	t.discardAfterPause(now)
	var updates []Update
	for name, r := range t.nodes {
		age := now.Sub(r.statusSince)
		switch {
		case r.Status == Suspect && !r.probeNext && (age >= t.params.SuspectTimeout || t.vmStates[name] == blackboard.VMLost):
			evidence := "no refutation within " + t.params.SuspectTimeout.String()
			if age < t.params.SuspectTimeout {
				evidence = "no answer, and the VM list has it as lost"
			}
			t.addEvent(name, true, Suspect, Dead, evidence)
			r.Status, r.statusSince = Dead, now
			t.updateChanged()
			t.liveRevision++
			if r.suspectedHere {
				updates = append(updates, r.Update)
			}
		case r.Status >= Dead && age >= t.params.Tombstone && name != t.self:
			delete(t.nodes, name)
		}
	}
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.Name, b.Name) })
	return updates
}

// discardAfterPause discards the evidence that a pause of this process itself caused: after a pause, every call in
// progress has timed out and every suspicion is old, without a fault of another node.
func (t *Table) discardAfterPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap < 3*t.params.ProbeInterval {
		return
	}
	for _, r := range t.nodes {
		r.misses = 0
		if r.Status == Suspect {
			r.statusSince = now
		}
	}
	t.storeAnsweringSince = time.Time{}
}

// Live returns the nodes that are not removed, including suspect ones, for the blackboard.
func (t *Table) Live() blackboard.Members {
	m := blackboard.Members{Self: t.self, Live: map[string]blackboard.Member{}}
	for name, r := range t.nodes {
		if r.Status >= Dead {
			continue
		}
		m.Live[name] = blackboard.Member{
			Name: name, AvailabilityZone: r.AvailabilityZone, Region: r.Region, Address: r.Address,
			AdminAddress: r.AdminAddress, PeerAddress: r.PeerAddress, Incarnation: r.Incarnation,
			Draining: r.Draining, ConfigVersion: r.version, LastHeard: r.heardAt,
		}
	}
	return m
}
