package loadshare

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/outlier"
	"trefoilplank.example/pkg/eventlog"
)

func testFleet(self string, names ...string) *fleet.Fleet {
	f := fleet.New(memstore.New(), fleet.Member{Name: self, Incarnation: 1, Weight: 1}, &eventlog.Log{})
	f.SetRegistered(registered(append(names, self)...))
	return f
}

// registered returns the entries of nodes.
func registered(names ...string) map[string]store.Object {
	objects := map[string]store.Object{}
	for _, name := range names {
		key := fleet.Prefix + name
		objects[key] = store.Object{Key: key, Value: fmt.Appendf(nil, `{"name":%q,"incarnation":1,"weight":1}`, name)}
	}
	return objects
}

// grantOneSlot grants a slot on "u" if one of its two is neither in use nor granted.
func grantOneSlot(_ string, want, _ dispatch.Want, totals map[string]dispatch.Load, grantedSlots map[string]int, _ func(string) bool) dispatch.Grant {
	if want.Items > 0 && totals["u"].Batch+grantedSlots["u"] < 2 {
		return dispatch.Grant{Batch: map[string]int{"u": 1}}
	}
	return dispatch.Grant{}
}

func testHub(names ...string) *hub {
	h := newHub(&Options{
		Fleet: testFleet("hub", names...), Grants: grantOneSlot, Revisions: func() map[string]int64 { return nil },
		AddEvidence: func(map[string]outlier.Evidence) {}, Outliers: func() map[string]float64 { return nil },
	})
	return &h
}

// Guards against totals that differ from the sum of the nodes' reports after repeated, lost and expired reports.
func TestTotalsAreTheSumOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := testHub("a", "b", "c")
		now := time.Unix(100, 0)
		newest := map[string]Report{}
		at := map[string]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			r := Report{Node: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"), Loads: map[string]dispatch.Load{}}
			for range rapid.IntRange(0, 3).Draw(t, "loads") {
				id := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "upstream")
				r.Loads[id] = dispatch.Load{Online: rapid.IntRange(0, 5).Draw(t, "online"), Batch: rapid.IntRange(0, 5).Draw(t, "batch")}
			}
			newest[r.Node], at[r.Node] = r, now
			var got Totals
			h.handleReport(r, &got, now)
			lower, upper := map[string]dispatch.Load{}, map[string]dispatch.Load{}
			for name, r := range newest {
				for id, l := range r.Loads {
					if now.Sub(at[name]) <= reportLifetime {
						lower[id] = dispatch.Load{Online: lower[id].Online + l.Online, Batch: lower[id].Batch + l.Batch}
					}
					// Old reports are dropped at the next review.
					if now.Sub(at[name]) <= reportLifetime+reviewInterval {
						upper[id] = dispatch.Load{Online: upper[id].Online + l.Online, Batch: upper[id].Batch + l.Batch}
					}
				}
			}
			for _, id := range []string{"u", "v", "w"} {
				l := got.Loads[id]
				if l.Online < lower[id].Online || l.Online > upper[id].Online || l.Batch < lower[id].Batch || l.Batch > upper[id].Batch {
					t.Fatalf("%s: %+v, want between %+v and %+v", id, l, lower[id], upper[id])
				}
			}
		}
	})
}

// Guards against a slot that is granted to a second node before the first reports again, and against a grant that never
// expires.
func TestGrantsCountUntilTheNextReport(t *testing.T) {
	h := testHub("a", "b", "c")
	now := time.Unix(100, 0)
	want := map[string]dispatch.Want{"s": {Items: 1}}
	granted := func(node string) int {
		var got Totals
		h.handleReport(Report{Node: node, Wants: want}, &got, now)
		return got.Grant.Batch["u"]
	}
	assert.Equal(t, granted("a"), 1)
	assert.Equal(t, granted("b"), 1)
	assert.Equal(t, granted("c"), 0)
	assert.Equal(t, granted("a"), 1)
	now = now.Add(grantLifetime + reviewInterval + time.Millisecond)
	assert.Equal(t, granted("c"), 1)
}

// Guards against a hub that lists nodes as unresponsive although it is cut off itself or has just become the hub, and
// against a lost node that is not listed, so that callers still get its address.
func TestUnresponsiveNodes(t *testing.T) {
	h := testHub("a", "b", "c")
	now := time.Unix(100, 0)
	unresponsiveAfterReportsOf := func(d time.Duration, names ...string) []string {
		var got Totals
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for _, name := range names {
				h.handleReport(Report{Node: name}, &got, now)
			}
		}
		return got.Silent
	}
	assert.Equal(t, len(unresponsiveAfterReportsOf(time.Second, "a", "b", "c", "hub")), 0)
	assert.Equal(t, len(unresponsiveAfterReportsOf(3*time.Second, "a", "b", "c", "hub")), 0)
	assert.DeepEqual(t, unresponsiveAfterReportsOf(3*time.Second, "a", "b", "hub"), []string{"c"})
	assert.Equal(t, len(unresponsiveAfterReportsOf(3*time.Second, "hub")), 0)
}

// peersWithOneDown has a hub for each node, of which all answer but one.
type peersWithOneDown struct {
	down  string
	hubs  map[string]*hub
	calls []string
}

func (p *peersWithOneDown) Call(ctx context.Context, node, _ string, args, reply any) error {
	p.calls = append(p.calls, node)
	if node == p.down {
		<-ctx.Done()
		return peer.ErrTimeout
	}
	p.hubs[node].handleReport(args.(Report), reply.(*Totals), time.Now())
	return nil
}

func (*peersWithOneDown) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// Guards against a node that keeps reporting to a hub that is gone: after a single timeout it must use the next one.
func TestNextHubAnswers(t *testing.T) {
	peers := &peersWithOneDown{hubs: map[string]*hub{}}
	for _, name := range []string{"a", "b", "c", "self"} {
		peers.hubs[name] = testHub("a", "b", "c", "self")
	}
	f := testFleet("self", "a", "b", "c")
	heard := ""
	e := New(Options{
		Fleet: f, Peers: peers, OwnLoads: func() map[string]dispatch.Load { return nil }, Wants: func() map[string]dispatch.Want { return nil },
		Evidence:    func() map[string]outlier.Evidence { return nil },
		ApplyTotals: func(_, _ map[string]dispatch.Load, _ map[string]float64, _ dispatch.Grant) {},
		Revisions:   func() map[string]int64 { return nil },
		HubAnswered: func(hub string, _ map[string]int64) { heard = hub }, Draining: func() bool { return false }, Log: &eventlog.Log{},
	})
	peers.down = e.chooseHub(time.Now())
	assert.Assert(t, !e.exchange(context.Background(), nil, nil))
	assert.Equal(t, heard, "")
	assert.Assert(t, e.exchange(context.Background(), nil, nil))
	assert.Assert(t, heard != "" && heard != peers.down)
}

// Guards against a node that restarts while the store is unreachable and never learns of the other nodes: the hub must call
// each registered node that does not report, often at first and rarely later.
func TestHubCallsNodesThatDoNotReport(t *testing.T) {
	h := testHub("a", "b")
	now := time.Unix(100, 0)
	var got Totals
	calls := map[string]int{}
	rounds := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(introduceInterval) {
			h.handleReport(Report{Node: "hub"}, &got, now)
			h.handleReport(Report{Node: "a"}, &got, now)
			for _, name := range h.nodesToIntroduce(now) {
				calls[name]++
			}
		}
	}
	rounds(10 * time.Second)
	assert.Equal(t, calls["a"]+calls["hub"], 0)
	assert.Assert(t, calls["b"] >= 35, "%v", calls)
	h.recordIntroduction("b", now)
	calls["b"] = 0
	rounds(reintroduceAfter - introduceInterval)
	assert.Equal(t, calls["b"], 0)
	rounds(introduceOftenFor + forgetAfter)
	calls["b"] = 0
	rounds(20 * time.Second)
	assert.Assert(t, calls["b"] >= 3 && calls["b"] <= 6, "%v", calls)
	assert.Equal(t, len(h.nodesToIntroduce(now.Add(time.Minute))), 0) // No longer a hub.
}

// Guards against a lost node that stays registered, so that callers get its address whenever the hub changes: under pairs
// of faults, callers got the address of a node that was gone for six seconds 78 times. Also guards against the removal of
// a node that pauses for three seconds, and of all nodes by a hub that is cut off itself.
func TestLostNodesAreRemoved(t *testing.T) {
	h := testHub("a", "b", "c")
	now := time.Unix(100, 0)
	var got Totals
	var removed []string
	rounds := func(d time.Duration, names ...string) {
		for end := now.Add(d); now.Before(end); now = now.Add(introduceInterval) {
			for _, name := range names {
				h.handleReport(Report{Node: name}, &got, now)
			}
			removed = append(removed, h.nodesToRemove(now)...)
		}
	}
	rounds(10*time.Second, "hub", "a", "b", "c")
	rounds(3*time.Second, "hub", "a", "b")
	rounds(time.Second, "hub", "a", "b", "c")
	assert.Equal(t, len(removed), 0)
	rounds(removeAfter+introduceInterval, "hub", "a", "b")
	assert.DeepEqual(t, removed, []string{"c"})
	removed = nil
	rounds(20*time.Second, "hub")
	assert.Equal(t, len(removed), 0, "%v", removed)
}

// hangingStore does not answer deletions.
type hangingStore struct{ store.Store }

func (hangingStore) Delete(ctx context.Context, _ string, _ int64) error {
	<-ctx.Done()
	return store.ErrUnknown
}

// Guards against live nodes that count as unresponsive because the hub waits for a store that does not answer: 65 nodes
// whose hub was cut off from the store switched back and forth between two hubs for seconds.
func TestRemovalsDelayNoIntroductions(t *testing.T) {
	f := fleet.New(hangingStore{memstore.New()}, fleet.Member{Name: "hub", Incarnation: 1, Weight: 1}, &eventlog.Log{})
	f.SetRegistered(registered("a", "elsewhere", "hub", "lost1", "lost2", "lost3"))
	net := &fleetPeers{nodes: map[string]*Exchange{}, down: map[string]bool{}}
	options := Options{
		Fleet: f, Peers: caller{net, "hub"}, Log: &eventlog.Log{}, Grants: grantOneSlot, HubIntroduced: func(fleet.Member) {},
		Revisions: func() map[string]int64 { return nil }, AddEvidence: func(map[string]outlier.Evidence) {},
		Outliers: func() map[string]float64 { return nil },
	}
	hub := New(options)
	net.nodes["elsewhere"] = New(options)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { _ = hub.RunIntroductions(ctx) })
	running.Go(func() { _ = hub.RunRemovals(ctx) })
	var got Totals
	for until := time.Now().Add(removeAfter + 3*removeTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, name := range []string{"a", "hub", "x", "y"} {
			assert.NilError(t, hub.Receiver().Report(Report{Node: name}, &got))
		}
		for _, name := range got.Silent {
			assert.Assert(t, name != "elsewhere", "%v", got.Silent)
		}
	}
	assert.Equal(t, len(got.Silent), 3)
}

// fleetPeers connects the exchanges of several nodes, some of which may be down.
type fleetPeers struct {
	mu    sync.Mutex
	nodes map[string]*Exchange
	down  map[string]bool
}

// caller makes the calls of one node through fleetPeers.
type caller struct {
	*fleetPeers
	self string
}

func (c caller) Call(_ context.Context, node, method string, args, reply any) error {
	c.mu.Lock()
	e, down := c.nodes[node], c.down[node] || c.down[c.self]
	c.mu.Unlock()
	switch {
	case e == nil || down:
		return peer.ErrUnreachable
	case method == "Load.Introduce":
		return e.Receiver().Introduce(args.(Introduction), &struct{}{})
	}
	return e.Receiver().Report(args.(Report), reply.(*Totals))
}

func (caller) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// Guards against a fleet that stays divided after many of its nodes were down at the same time: the nodes that stayed up
// report to the hub chosen meanwhile, which lists the others as unresponsive, while the others choose among all nodes.
func TestFleetAgreesOnAHubAfterManyNodesReturn(t *testing.T) {
	var names []string
	for n := range 11 {
		names = append(names, fmt.Sprint("n", n))
	}
	net := &fleetPeers{nodes: map[string]*Exchange{}, down: map[string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	chosen := map[string]string{}
	for _, name := range names {
		e := New(Options{
			Fleet: testFleet(name, names...), Peers: caller{net, name}, Log: &eventlog.Log{}, Grants: grantOneSlot,
			OwnLoads: func() map[string]dispatch.Load { return map[string]dispatch.Load{"u": {Online: 1}} },
			Wants:    func() map[string]dispatch.Want { return nil }, Evidence: func() map[string]outlier.Evidence { return nil },
			ApplyTotals: func(_, _ map[string]dispatch.Load, _ map[string]float64, _ dispatch.Grant) {},
			AddEvidence: func(map[string]outlier.Evidence) {}, Outliers: func() map[string]float64 { return nil },
			Revisions: func() map[string]int64 { return nil }, HubIntroduced: func(fleet.Member) {}, Draining: func() bool { return false },
			HubAnswered: func(hub string, _ map[string]int64) {
				net.mu.Lock()
				defer net.mu.Unlock()
				chosen[name] = hub
			},
		})
		net.nodes[name] = e
	}
	first := net.nodes["n0"].chooseHub(time.Now())
	for _, e := range net.nodes {
		running.Go(func() { _ = e.Run(ctx) })
		running.Go(func() { _ = e.RunIntroductions(ctx) })
	}
	setDown := func(down bool) {
		net.mu.Lock()
		defer net.mu.Unlock()
		net.down[first] = down
		for n := 0; n < 10 && len(net.down) < 5; n++ {
			net.down[names[n]] = down
		}
		for name := range net.down {
			net.down[name] = down
		}
	}
	time.Sleep(2500 * time.Millisecond)
	setDown(true)
	time.Sleep(2500 * time.Millisecond)
	setDown(false)
	agreed := func() bool {
		net.mu.Lock()
		defer net.mu.Unlock()
		for _, hub := range chosen {
			if hub != chosen["n0"] || hub == "" {
				return false
			}
		}
		return true
	}
	for until := time.Now().Add(5 * time.Second); !agreed() && time.Now().Before(until); {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	assert.Assert(t, agreed(), "%v", chosen)
}

// Guards against nodes that are cut off from upstreams and are asked for help by others, against a list that is sent with each
// answer, and against one that outlives its hub.
func TestNodesThatAreCutOffAreTold(t *testing.T) {
	h := testHub("a", "b")
	now := time.Unix(100, 0)
	report := func(node string, cutOff bool, seen int64) Totals {
		var got Totals
		now = now.Add(reviewInterval)
		h.handleReport(Report{Node: node, CutOff: cutOff, CutOffSeen: seen}, &got, now)
		return got
	}
	assert.Equal(t, report("a", false, 0).CutOffRevision, int64(0))
	report("a", true, 0)
	told := report("b", false, 0)
	assert.DeepEqual(t, told.CutOff, []string{"a"})
	again := report("b", false, told.CutOffRevision)
	assert.Equal(t, again.CutOffRevision, told.CutOffRevision)
	assert.Equal(t, len(again.CutOff), 0, "the list did not change")
	report("a", false, told.CutOffRevision)
	ended := report("b", false, told.CutOffRevision)
	assert.Assert(t, ended.CutOffRevision != told.CutOffRevision)
	assert.Equal(t, len(ended.CutOff), 0)
	report("a", true, 0)
	now = now.Add(unresponsiveAfter)
	assert.Equal(t, len(report("b", false, 0).CutOff), 0, "the node no longer reports")
	var fresh Totals
	testHub("a", "b").handleReport(Report{Node: "b", CutOffSeen: told.CutOffRevision}, &fresh, now)
	assert.Equal(t, fresh.CutOffRevision, int64(0), "the next hub's list replaces that of the last one")
}
