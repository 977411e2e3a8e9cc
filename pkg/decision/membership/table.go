// Package membership decides which nodes are alive from heartbeats, failed calls and lease records.
//
// A node that misses heartbeats is suspect first and stays live; it can refute the suspicion. Only a suspicion
// that no one refutes removes it, so a slow path between two nodes removes nobody. An unreachable store is no
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

// Status is what a node is believed to be. A larger status overrides a smaller one of the same sequence number.
type Status int

// Statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	// Left is set by the node itself when it stops.
	Left
)

// String returns the status for logs.
func (s Status) String() string {
	names := []string{"alive", "suspect", "dead", "left"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Stamp orders the statements about one node: by incarnation, sequence number and status. Only the node itself
// raises its incarnation and sequence number.
type Stamp struct {
	Incarnation int64
	Seq         int64
	Status      Status
}

// maxCounter bounds incarnations and sequence numbers, so that raising one above a peer's can't overflow.
const maxCounter = 1 << 62

func (s Stamp) valid() bool {
	return s.Incarnation > 0 && s.Incarnation < maxCounter && s.Seq >= 0 && s.Seq < maxCounter && s.Status >= Alive && s.Status <= Left
}

// Newer reports whether s overrides t.
func (s Stamp) Newer(t Stamp) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, t.Incarnation), cmp.Compare(s.Seq, t.Seq), cmp.Compare(s.Status, t.Status)) > 0
}

// Update is a statement about one node.
type Update struct {
	Name, AvailabilityZone, Region     string
	Address, AdminAddress, PeerAddress string
	Stamp
	Draining bool
}

// Valid reports whether an update from a peer can be used.
func (u Update) Valid() bool {
	return u.Name != "" && u.PeerAddress != "" && u.valid()
}

// Params are the times of failure detection.
type Params struct {
	// ProbeInterval is the time between two heartbeats of a node.
	ProbeInterval time.Duration
	// Misses is the number of calls without answer in a row that makes a node suspect.
	Misses int
	// SuspectTimeout is the time that a suspect node has to refute.
	SuspectTimeout time.Duration
	// Tombstone is how long dead nodes are remembered and now and then tried again.
	Tombstone time.Duration
	// LeaseTimeout is how long a lease must be unchanged, with the store reachable, to count as evidence.
	LeaseTimeout time.Duration
}

// Default notices a dead node after two to three heartbeats and removes it about 3 s later. The tombstone
// outlasts the hour that regions may be out of contact.
var Default = Params{
	ProbeInterval: time.Second, Misses: 2, SuspectTimeout: 3 * time.Second,
	Tombstone: 2 * time.Hour, LeaseTimeout: 31 * time.Second,
}

// record is what a table knows of one node.
type record struct {
	Update
	// since is when the status was set here.
	since time.Time
	// raised is set on the node that made the suspicion known.
	raised  bool
	heard   time.Time
	misses  int
	retry   bool
	version int64
	// evidence is what the last change of the status was decided on.
	evidence string

	leaseRevision int64
	leaseSeen     time.Time
}

// Table is one node's knowledge of all nodes. It is not safe for concurrent use. Methods return the news that
// the caller must make known to the other nodes.
type Table struct {
	p     Params
	self  string
	nodes map[string]*record
	vms   map[string]blackboard.VMState
	// storeSince is since when the store has answered without a failure; zero while it does not.
	storeSince time.Time
	lastTick   time.Time
	// events are the changes since Events was last called.
	events []Event
	// revision grows with each change but those of the times of contact, and topology with each change of the
	// live set.
	revision, topology int64
	// statements grows with each change of what Digests returns.
	statements int64
	// ringNodes is the ring of the topology ringAt; nil before its first use.
	ringNodes []string
	ringAt    int64
}

// NewTable returns a table that knows only self.
func NewTable(p Params, self Update, now time.Time) *Table {
	t := &Table{p: p, self: self.Name, nodes: map[string]*record{}, lastTick: now}
	t.nodes[self.Name] = &record{Update: self, since: now, heard: now}
	return t
}

// Self returns the statement of this node about itself.
func (t *Table) Self() Update { return t.nodes[t.self].Update }

// Revision grows with each change of what Live and Digests return, times of contact apart.
func (t *Table) Revision() int64 { return t.revision }

// Statements grows with each change of what Digests returns.
func (t *Table) Statements() int64 { return t.statements }

// Topology grows when a node enters or leaves the live set.
func (t *Table) Topology() int64 { return t.topology }

// Event is a change of what is believed of a node, and on what evidence.
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

// note adds the event of a status that changed; known is false for a node that was not known before.
func (t *Table) note(name string, known bool, from, to Status, evidence string) {
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

// Removed is a node that is believed to be dead.
type Removed struct {
	Name, Evidence string
	Since          time.Time
}

// Removed returns the dead nodes that are remembered and that the VM list does not confirm as lost, by name.
func (t *Table) Removed() []Removed {
	var removed []Removed
	for _, name := range slices.Sorted(maps.Keys(t.nodes)) {
		if r := t.nodes[name]; r.Status == Dead && t.vms[name] != blackboard.VMLost {
			removed = append(removed, Removed{name, r.evidence, r.since})
		}
	}
	return removed
}

// Get returns what is known of a node.
func (t *Table) Get(name string) (Update, bool) {
	r, ok := t.nodes[name]
	if !ok {
		return Update{}, false
	}
	return r.Update, true
}

// Merge takes a statement of another node. fresh reports whether it was new here and is to be passed on. A
// statement against this node itself is refuted instead.
func (t *Table) Merge(u Update, now time.Time) (fresh bool, news []Update) {
	return t.merge(u, now, "statement of another node")
}

func (t *Table) merge(u Update, now time.Time, evidence string) (fresh bool, news []Update) {
	if !u.Valid() {
		return false, nil
	}
	if u.Name == t.self {
		return false, t.Refute(u.Stamp, now)
	}
	r, ok := t.nodes[u.Name]
	hearsay := ok && u.Status == Dead && t.unconfirmed(r, u, now)
	if hearsay {
		u.Status = Suspect
	}
	if ok && !u.Newer(r.Stamp) {
		return false, nil
	}
	if !ok {
		if u.Status >= Dead {
			// A removal of an unknown node matters only to those that know it.
			return false, nil
		}
		r = &record{heard: now}
		t.nodes[u.Name] = r
	}
	if !ok || (u.Status >= Dead) != (r.Status >= Dead) || u.AvailabilityZone != r.AvailabilityZone {
		t.topology++
	}
	t.changed()
	if u.Incarnation != r.Incarnation {
		r.version = 0
	}
	if u.Status != r.Status || u.Incarnation != r.Incarnation || !ok {
		r.since, r.raised = now, false
	}
	if u.Status == Alive {
		r.misses = 0
	}
	t.note(u.Name, ok, r.Status, u.Status, evidence)
	r.Update = u
	r.retry = r.retry || hearsay
	return true, nil
}

// unconfirmed reports whether a removal that another node decided is only a suspicion here, since this node has not
// known of a suspicion for about as long as it lasts. Two parts of a fleet that were out of contact tell each other
// after the heal that their members are dead; taken at their word, each would lose its own members for seconds.
func (t *Table) unconfirmed(r *record, u Update, now time.Time) bool {
	known := r.Status == Suspect && r.Incarnation == u.Incarnation && r.Seq == u.Seq
	return r.Status < Dead && !(known && now.Sub(r.since) >= t.p.SuspectTimeout*2/3)
}

// Refute raises this node's own stamp above a statement that it is not alive or that an older process of the
// same name left behind.
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
	self.heard = now
	t.changed()
	return []Update{self.Update}
}

// SetDraining records that this node drains or not.
func (t *Table) SetDraining(draining bool) []Update {
	self := t.nodes[t.self]
	if self.Draining == draining {
		return nil
	}
	self.Draining = draining
	self.Seq++
	t.changed()
	return []Update{self.Update}
}

// Leave records that this node stops.
func (t *Table) Leave() []Update {
	self := t.nodes[t.self]
	self.Status = Left
	t.changed()
	t.topology++
	return []Update{self.Update}
}

// Heard takes an answer of a node: its own stamp and whether it drains.
func (t *Table) Heard(name string, s Stamp, draining bool, version int64, now time.Time) []Update {
	r, ok := t.nodes[name]
	if !ok || name == t.self {
		return nil
	}
	r.heard, r.misses, r.retry = now, 0, false
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

// Missed takes a call without answer.
func (t *Table) Missed(name string, now time.Time) []Update {
	r, ok := t.nodes[name]
	if !ok || name == t.self {
		return nil
	}
	r.retry = false
	if r.Status != Alive {
		return nil
	}
	r.misses++
	if r.misses < t.p.Misses {
		return nil
	}
	t.note(name, true, r.Status, Suspect, fmt.Sprintf("%d heartbeats without answer", r.misses))
	r.Status, r.since, r.raised = Suspect, now, true
	t.doubtZone(r.AvailabilityZone, now)
	return []Update{r.Update}
}

// Doubt has the node probed in the next round, after a call of another part to it failed.
func (t *Table) Doubt(name string) {
	if r, ok := t.nodes[name]; ok && name != t.self {
		r.retry = true
	}
}

// SetVMs takes the platform's list, which lags and so only confirms a suspicion.
func (t *Table) SetVMs(vms map[string]blackboard.VMState) { t.vms = vms }

// SetVersion takes the configuration version in force on a node as a third node reported it.
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

// changed notes a change of a statement.
func (t *Table) changed() {
	t.revision++
	t.statements++
}

// Tick removes suspects that did not refute in time and forgets old tombstones. A suspect that this node is still to
// probe itself stays.
func (t *Table) Tick(now time.Time) []Update {
	t.absorbPause(now)
	var news []Update
	for name, r := range t.nodes {
		age := now.Sub(r.since)
		switch {
		case r.Status == Suspect && !r.retry && (age >= t.p.SuspectTimeout || t.vms[name] == blackboard.VMLost):
			evidence := "no refutation within " + t.p.SuspectTimeout.String()
			if age < t.p.SuspectTimeout {
				evidence = "no answer, and the VM list has it as lost"
			}
			t.note(name, true, Suspect, Dead, evidence)
			r.Status, r.since = Dead, now
			t.changed()
			t.topology++
			if r.raised {
				news = append(news, r.Update)
			}
		case r.Status >= Dead && age >= t.p.Tombstone && name != t.self:
			delete(t.nodes, name)
		}
	}
	slices.SortFunc(news, func(a, b Update) int { return cmp.Compare(a.Name, b.Name) })
	return news
}

// absorbPause drops evidence that a pause of this process itself produced: after it, every call in progress
// has timed out and every suspicion is old, but no other node is to blame.
func (t *Table) absorbPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap < 3*t.p.ProbeInterval {
		return
	}
	for _, r := range t.nodes {
		r.misses = 0
		if r.Status == Suspect {
			r.since = now
		}
	}
	t.storeSince = time.Time{}
}

// Live returns the board's form of the nodes that are not removed. Suspect nodes are in it.
func (t *Table) Live() blackboard.Members {
	m := blackboard.Members{Self: t.self, Live: map[string]blackboard.Member{}}
	for name, r := range t.nodes {
		if r.Status >= Dead {
			continue
		}
		m.Live[name] = blackboard.Member{
			Name: name, AvailabilityZone: r.AvailabilityZone, Region: r.Region, Address: r.Address,
			AdminAddress: r.AdminAddress, PeerAddress: r.PeerAddress, Incarnation: r.Incarnation,
			Draining: r.Draining, ConfigVersion: r.version, LastHeard: r.heard,
		}
	}
	return m
}
