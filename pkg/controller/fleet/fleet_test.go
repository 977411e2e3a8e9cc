package fleet

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/eventlog"
)

// memberEntries returns member entries as in the store, in the zones "z" + name.
func memberEntries(names ...string) map[string]store.Object {
	objects := map[string]store.Object{}
	for _, name := range names {
		key := Prefix + name
		objects[key] = store.Object{Key: key, Value: fmt.Appendf(nil,
			`{"name":%q,"availability_zone":"z%s","caller_address":"10.0.0.1:%s","peer_address":%q,"incarnation":1,"weight":1}`, name, name, name, name)}
	}
	return objects
}

// testFleet returns the fleet of node 1 with the named members registered.
func testFleet(names ...string) *Fleet {
	f := New(memstore.New(), Member{Name: "1", AvailabilityZone: "z1", CallerAddress: "10.0.0.1:1", Incarnation: 1}, &eventlog.Log{})
	f.SetRegistered(memberEntries(names...))
	return f
}

// TestAddresses guards against removed, unresponsive, suspected or draining nodes in the answers to callers, and
// against an order that ignores the caller's zone.
func TestAddresses(t *testing.T) {
	f := testFleet("1", "2", "3", "4")
	assert.DeepEqual(t, f.CallerAddresses("z3"), []string{"10.0.0.1:3", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:4"})
	f.SetHubReport([]string{"2"}, []string{"3"})
	assert.DeepEqual(t, f.CallerAddresses("z3"), []string{"10.0.0.1:1", "10.0.0.1:4"})
	f.Suspect("4", time.Minute, errors.New("no answer"))
	assert.DeepEqual(t, f.CallerAddresses("z3"), []string{"10.0.0.1:1"})
	f.SetHubReport(nil, nil)
	f.SetRegistered(memberEntries("1", "2"))
	assert.DeepEqual(t, f.CallerAddresses("z1"), []string{"10.0.0.1:1", "10.0.0.1:2"})
}

// TestUnreadableEntriesAreLeftOut guards against invalid entries that make the valid ones be ignored too.
func TestUnreadableEntriesAreLeftOut(t *testing.T) {
	objects := memberEntries("1", "2")
	objects[Prefix+"x"] = store.Object{Key: Prefix + "x", Value: []byte("no json")}
	objects[Prefix+"y"] = store.Object{Key: Prefix + "y", Value: []byte(`{"name":"other"}`)}
	f := testFleet()
	f.SetRegistered(objects)
	assert.DeepEqual(t, f.OtherLive(), []string{"2"})
}

// TestViewMayDifferAndMayDeclareLost guards against a node that considers others lost before it has known the members
// for long enough, or while it gets no reports of a hub.
func TestViewMayDifferAndMayDeclareLost(t *testing.T) {
	f := testFleet()
	assert.Assert(t, f.ViewMayDiffer())
	assert.Assert(t, !f.MayDeclareLost())
	f.SetRegistered(memberEntries("1", "2"))
	f.SetHubReport(nil, nil)
	assert.Assert(t, !f.ViewMayDiffer())
	assert.Assert(t, !f.MayDeclareLost())
	f.knownSince = time.Now().Add(-2 * minKnownTime)
	assert.Assert(t, f.MayDeclareLost())
	f.reportedAt = time.Now().Add(-2 * hubReportFresh)
	assert.Assert(t, !f.MayDeclareLost())
	assert.Assert(t, f.ViewMayDiffer())
}

// TestAliveKnowsIncarnations guards against a restarted node being treated as alive under its earlier incarnation.
func TestAliveKnowsIncarnations(t *testing.T) {
	f := testFleet("1", "2")
	assert.Assert(t, f.Alive("2", 1))
	assert.Assert(t, !f.Alive("2", 7))
	assert.Assert(t, !f.Alive("3", 1))
	assert.Assert(t, f.Alive("1", 0))
}

// TestRegisterDrainLeave guards against an entry without the draining flag after Drain, which would bring the node back
// to the answers, and against an entry that stays after Leave.
func TestRegisterDrainLeave(t *testing.T) {
	s := memstore.New()
	f := New(s, Member{Name: "1", Incarnation: 1}, &eventlog.Log{})
	ctx := context.Background()
	assert.NilError(t, f.Register(ctx))
	assert.NilError(t, f.Drain(ctx))
	o, err := s.Get(ctx, Prefix+"1")
	assert.NilError(t, err)
	f.SetRegistered(map[string]store.Object{o.Key: o})
	assert.Assert(t, f.Known()[0].Draining)
	assert.NilError(t, f.Leave(ctx))
	assert.NilError(t, f.Leave(ctx))
	_, err = s.Get(ctx, Prefix+"1")
	assert.ErrorIs(t, err, store.ErrNotFound)
}

// handleStored passes the member entries in the store to the fleet, and returns them.
func handleStored(t *testing.T, f *Fleet, s store.Store) map[string]store.Object {
	t.Helper()
	page, err := store.ListAll(context.Background(), s, Prefix)
	assert.NilError(t, err)
	objects := map[string]store.Object{}
	for _, o := range page.Objects {
		objects[o.Key] = o
	}
	f.SetRegistered(objects)
	return objects
}

// TestRemovedNodeRegistersAgain guards against a node that was removed while it was only disconnected and stays
// unregistered, and against the removal of an entry that was written again since.
func TestRemovedNodeRegistersAgain(t *testing.T) {
	s := memstore.New()
	a, b := New(s, Member{Name: "a", Incarnation: 1}, &eventlog.Log{}), New(s, Member{Name: "b", Incarnation: 2}, &eventlog.Log{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	assert.NilError(t, a.Register(ctx))
	assert.NilError(t, b.Register(ctx))
	kept := make(chan error, 1)
	go func() { kept <- a.KeepRegistered(ctx) }()
	handleStored(t, a, s)
	handleStored(t, b, s)
	b.Remove(ctx, "a")
	assert.Equal(t, len(handleStored(t, a, s)), 1)
	for until := time.Now().Add(3 * time.Second); len(handleStored(t, b, s)) < 2 && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, len(handleStored(t, b, s)), 2)
	assert.NilError(t, a.writeEntry(ctx)) // b has not read this entry yet.
	b.Remove(ctx, "a")
	assert.Equal(t, len(handleStored(t, a, s)), 2)
	assert.NilError(t, a.Leave(ctx))
	handleStored(t, a, s)
	cancel()
	<-kept
	assert.Equal(t, len(handleStored(t, b, s)), 1)
}

// Guards against reading the logs of all jobs again and again because one node of hundreds is lost, and against trusting this
// node's memory while the fleet may be divided.
func TestLostNodeOfManyDoesNotDivideTheFleet(t *testing.T) {
	entries := func(n int) (names []string, objects map[string]store.Object) {
		objects = map[string]store.Object{}
		for i := range n {
			name := fmt.Sprint("n", i)
			names = append(names, name)
			objects[Prefix+name] = store.Object{Key: Prefix + name, Value: fmt.Appendf(nil, `{"name":%q,"incarnation":1}`, name)}
		}
		return names, objects
	}
	for _, c := range []struct {
		nodes, lost int
		may         bool
	}{{300, 0, false}, {300, 5, false}, {300, 30, true}, {10, 0, false}, {10, 1, true}} {
		f := New(nil, Member{Name: "n0", Incarnation: 1}, &eventlog.Log{})
		assert.Assert(t, f.ViewMayDiffer(), "no report of a hub yet")
		names, objects := entries(c.nodes)
		f.SetRegistered(objects)
		f.SetHubReport(names[c.nodes-c.lost:], nil)
		assert.Equal(t, f.ViewMayDiffer(), c.may, "%d of %d lost", c.lost, c.nodes)
	}
}

// TestSuspicionIsNoLoss guards against a node whose running jobs others take over because a single call to it got no answer.
func TestSuspicionIsNoLoss(t *testing.T) {
	f := testFleet("1", "2", "3")
	f.Suspect("2", time.Minute, errors.New("no answer"))
	assert.Assert(t, !f.Alive("2", 1) && !f.Lost("2", 1))
	f.SetHubReport([]string{"2"}, nil)
	assert.Assert(t, f.Lost("2", 1))
	assert.Assert(t, f.Lost("3", 7) && f.Lost("4", 1), "another process, and a node without an entry")
	assert.Assert(t, !f.Lost("1", 1) && f.Lost("1", 0))
}
