package membership_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/lease"
	"trefoilplank.example/pkg/decision/membership"
)

var epoch = time.Unix(1e9, 0)

func update(name string, incarnation int64) membership.Update {
	return membership.Update{Name: name, AvailabilityZone: "z", PeerAddress: name, Stamp: membership.Stamp{Incarnation: incarnation}}
}

// fleetModel simulates a fleet whose messages are lost, delayed, repeated and reordered.
type fleetModel struct {
	t        *rapid.T
	now      time.Time
	names    []string
	tables   map[string]*membership.Table
	up       map[string]bool
	left     map[string]bool
	starts   int64
	inFlight []membership.Update
	// stamps holds the last stamp that each node had of each other node, by observer and observed node.
	stamps map[[2]string]membership.Stamp
}

func (m *fleetModel) start(name string) {
	m.starts++
	m.tables[name] = membership.NewTable(membership.Default, update(name, m.starts), m.now)
	m.up[name], m.left[name] = true, false
	m.send(m.tables[name].Self())
	for _, other := range m.names {
		delete(m.stamps, [2]string{name, other})
		if t := m.tables[other]; t != nil && m.up[other] {
			m.tables[name].Merge(t.Self(), m.now)
		}
	}
}

func (m *fleetModel) send(updates ...membership.Update) { m.inFlight = append(m.inFlight, updates...) }

// probe makes a send a heartbeat to b. answered is false when the heartbeat is lost.
func (m *fleetModel) probe(a, b string, answered bool) {
	if !m.up[a] || a == b {
		return
	}
	ta, tb := m.tables[a], m.tables[b]
	if !m.up[b] || !answered {
		m.send(ta.RecordMissedCall(b, m.now)...)
		return
	}
	about, _ := ta.Get(b)
	m.send(tb.Refute(about.Stamp, m.now)...)
	self := tb.Self()
	if about.Incarnation != self.Incarnation {
		ta.Merge(self, m.now)
	}
	m.send(ta.RecordAnswer(b, self.Stamp, self.Draining, 0, m.now)...)
	if you, ok := tb.Get(a); ok {
		m.send(ta.Refute(you.Stamp, m.now)...)
	}
}

// sync makes a and b compare their tables and exchange the differences.
func (m *fleetModel) sync(a, b string) {
	if !m.up[a] || !m.up[b] || a == b {
		return
	}
	ta, tb := m.tables[a], m.tables[b]
	own, theirs := ta.Digests(), tb.Digests()
	updates := tb.DifferingUpdates(own)
	for _, u := range updates {
		_, refutation := ta.Merge(u, m.now)
		m.send(refutation...)
	}
	for _, u := range ta.NewerThan(theirs, updates) {
		_, refutation := tb.Merge(u, m.now)
		m.send(refutation...)
	}
}

// check requires that no node removed itself and that no node returned to an older stamp of another.
func (m *fleetModel) check() {
	for a, t := range m.tables {
		if !m.up[a] {
			continue
		}
		if _, ok := t.Live().Live[a]; !ok && !m.left[a] {
			m.t.Fatalf("%s removed itself", a)
		}
		for _, b := range m.names {
			u, ok := t.Get(b)
			if !ok {
				continue
			}
			if last := m.stamps[[2]string{a, b}]; last.Newer(u.Stamp) {
				m.t.Fatalf("%s returned to an older stamp of %s: from %+v to %+v", a, b, last, u.Stamp)
			}
			m.stamps[[2]string{a, b}] = u.Stamp
		}
	}
}

// TestTablesConverge guards against a table that returns to an older stamp, a node that removes itself, and tables that
// still differ after the faults have ended.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{
			t: t, now: epoch, names: []string{"a", "b", "c", "d", "e"}, tables: map[string]*membership.Table{},
			up: map[string]bool{}, left: map[string]bool{}, stamps: map[[2]string]membership.Stamp{},
		}
		for _, name := range m.names {
			m.start(name)
		}
		one := func(t *rapid.T) string { return rapid.SampledFrom(m.names).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
				if name := one(t); m.up[name] {
					m.send(m.tables[name].Tick(m.now)...)
				}
			},
			"probe": func(t *rapid.T) { m.probe(one(t), one(t), rapid.Bool().Draw(t, "answered")) },
			"lost twice": func(t *rapid.T) {
				a, b := one(t), one(t)
				m.probe(a, b, false)
				m.probe(a, b, false)
			},
			"deliver": func(t *rapid.T) {
				if len(m.inFlight) == 0 {
					return
				}
				// Messages stay in flight, so that they are repeated and arrive late.
				u := m.inFlight[rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")]
				if name := one(t); m.up[name] {
					_, refutation := m.tables[name].Merge(u, m.now)
					m.send(refutation...)
				}
			},
			"sync":  func(t *rapid.T) { m.sync(one(t), one(t)) },
			"crash": func(t *rapid.T) { m.up[one(t)] = false },
			"start": func(t *rapid.T) { m.start(one(t)) },
			"drain": func(t *rapid.T) {
				if name := one(t); m.up[name] {
					m.send(m.tables[name].SetDraining(rapid.Bool().Draw(t, "draining"))...)
				}
			},
			"leave": func(t *rapid.T) {
				name := one(t)
				if m.up[name] {
					m.send(m.tables[name].Leave()...)
					m.up[name], m.left[name] = false, true
				}
			},
			"": func(*rapid.T) { m.check() },
		})
		for range 20 {
			m.now = m.now.Add(time.Second)
			for _, a := range m.names {
				for _, b := range m.names {
					m.probe(a, b, true)
					m.sync(a, b)
				}
				if m.up[a] {
					m.tables[a].Tick(m.now)
				}
			}
			m.check()
		}
		var up []string
		for _, name := range m.names {
			if m.up[name] {
				up = append(up, name)
			}
		}
		for _, name := range up {
			live := m.tables[name].Live().Live
			assert.DeepEqual(t, slices.Sorted(maps.Keys(live)), up)
			for _, other := range up {
				assert.Equal(t, live[other].Draining, m.tables[other].Self().Draining, "%s at %s", other, name)
			}
			assert.Equal(t, m.tables[name].Digests(), m.tables[up[0]].Digests())
		}
	})
}

// TestPausedNodeKeepsOthers guards against a node that removes the others when it resumes after a pause, because their
// suspicions expired during the pause.
func TestPausedNodeKeepsOthers(t *testing.T) {
	table := membership.NewTable(membership.Default, update("a", 1), epoch)
	table.Merge(update("b", 1), epoch)
	table.RecordMissedCall("b", epoch)
	table.RecordMissedCall("b", epoch)
	table.Tick(epoch.Add(time.Second))
	table.Tick(epoch.Add(time.Minute))
	assert.Equal(t, len(table.Live().Live), 2, "the suspicion ran out during the pause")
	table.Tick(epoch.Add(time.Minute + time.Second))
	table.Tick(epoch.Add(time.Minute + 3*time.Second))
	assert.Equal(t, len(table.Live().Live), 1, "the suspicion was not refuted after the pause")
}

// TestLeaseEvidence guards against an expired lease that removes a node without a failed call, an outage of the store that
// counts as evidence, and an expired lease that causes no probe.
func TestLeaseEvidence(t *testing.T) {
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	record := func(expiry int) lease.Record {
		return lease.Record{Name: "b", AvailabilityZone: "z", PeerAddress: "b", Incarnation: 1, Expiry: at(expiry)}
	}
	// The two successors are probed in turn, so that a node that may be dead is an additional target in at least one
	// of two rounds.
	probed := func(t *membership.Table) bool { return len(t.Targets(0)) > 1 || len(t.Targets(1)) > 1 }
	table := membership.NewTable(membership.Default, update("a", 1), at(0))
	for _, name := range []string{"b", "c", "d"} {
		table.Merge(update(name, 1), at(0))
	}
	table.Tick(at(0))
	table.StoreAnswered(at(0))
	table.ObserveLease(record(30), 5, at(0))
	table.StoreFailed()
	table.StoreAnswered(at(100))
	table.ObserveLease(record(30), 5, at(100))
	assert.Assert(t, !probed(table), "after an outage all leases are old")
	table.ObserveLease(record(130), 6, at(101))
	table.ObserveLease(record(130), 6, at(125))
	assert.Assert(t, !probed(table))
	table.ObserveLease(record(130), 6, at(133))
	assert.Assert(t, probed(table))
	assert.Equal(t, len(table.Live().Live), 4, "a lease alone removes nobody")
	assert.Equal(t, len(table.RecordMissedCall("b", at(134))), 1, "one failed call makes the node suspect")
	_, remove := table.ObserveLease(record(130), 6, at(135))
	assert.Assert(t, !remove)
	leftOver := lease.Record{Name: "gone", PeerAddress: "gone", Incarnation: 1, Expiry: at(-3600)}
	_, remove = table.ObserveLease(leftOver, 2, at(135))
	assert.Assert(t, remove, "a record left over by a node that nobody knows")
	table.StoreFailed()
	table.StoreAnswered(at(4000))
	_, remove = table.ObserveLease(leftOver, 2, at(4010))
	assert.Assert(t, !remove, "after an outage the records of live nodes are as old")
	_, known := table.Get("gone")
	assert.Assert(t, !known)
}

// TestVMList guards against a VM list that removes a node without a suspicion, and against a suspect node with a lost VM
// that is removed only after the full SuspectTimeout.
func TestVMList(t *testing.T) {
	table := membership.NewTable(membership.Default, update("a", 1), epoch)
	table.Merge(update("b", 1), epoch)
	table.SetVMs(map[string]blackboard.VMState{"b": blackboard.VMLost})
	table.Tick(epoch.Add(time.Second))
	assert.Equal(t, len(table.Live().Live), 2)
	table.RecordMissedCall("b", epoch.Add(time.Second))
	table.RecordMissedCall("b", epoch.Add(2*time.Second))
	table.Tick(epoch.Add(2 * time.Second))
	assert.Equal(t, len(table.Live().Live), 1)
}

// FuzzMerge guards against an update from another node that corrupts the table or removes this node.
func FuzzMerge(f *testing.F) {
	f.Add("a", "a", int64(1), int64(0), 2, true)
	f.Add("a", "a", int64(math.MaxInt64), int64(math.MaxInt64), 2, true)
	f.Add("a", "a", int64(1), int64(math.MaxInt64), 2, true)
	f.Add("b", "", int64(-1), int64(9), 7, false)
	f.Fuzz(func(t *testing.T, name, address string, incarnation, seq int64, status int, draining bool) {
		table := membership.NewTable(membership.Default, update("a", 1), epoch)
		u := membership.Update{Name: name, PeerAddress: address, Draining: draining}
		u.Stamp = membership.Stamp{Incarnation: incarnation, Seq: seq, Status: membership.Status(status)}
		for range 2 {
			table.Merge(u, epoch)
			table.RecordAnswer(name, u.Stamp, draining, seq, epoch)
			table.Refute(u.Stamp, epoch)
			table.RecordMissedCall(name, epoch)
			table.Tick(epoch.Add(time.Second))
		}
		if _, ok := table.Live().Live["a"]; !ok || table.Self().Incarnation < 1 || table.Self().Seq < 0 {
			t.Fatalf("%+v removed this node", u)
		}
	})
}

// BenchmarkTable measures the operations that a node runs a few times per second, with 380 members.
func BenchmarkTable(b *testing.B) {
	table := membership.NewTable(membership.Default, update("a", 1), epoch)
	for i := range 379 {
		table.Merge(update(fmt.Sprint("node-", i), 1), epoch)
	}
	b.Run("digests", func(b *testing.B) {
		for b.Loop() {
			table.Digests()
		}
	})
	b.Run("live", func(b *testing.B) {
		for b.Loop() {
			table.Live()
		}
	})
	b.Run("targets", func(b *testing.B) {
		for b.Loop() {
			table.Targets(1)
		}
	})
}
