package loadshare

import (
	"context"
	"fmt"
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
	objects := map[string]store.Object{}
	for _, name := range append(names, self) {
		key := fleet.Prefix + name
		objects[key] = store.Object{Key: key, Value: fmt.Appendf(nil, `{"name":%q,"incarnation":1,"weight":1}`, name)}
	}
	f.Handle(objects)
	return f
}

// oneSlot grants a slot on "u" while totals and grants leave one of two.
func oneSlot(_ string, want, _ dispatch.Want, totals map[string]dispatch.Load, given map[string]int, _ func(string) bool) dispatch.Grant {
	if want.Items > 0 && totals["u"].Batch+given["u"] < 2 {
		return dispatch.Grant{Batch: map[string]int{"u": 1}}
	}
	return dispatch.Grant{}
}

func testHub(names ...string) *hub {
	h := newHub(&Options{
		Fleet: testFleet("hub", names...), Grants: oneSlot, Revisions: func() map[string]int64 { return nil },
		Learn: func(map[string]outlier.Evidence) {}, Outliers: func() map[string]float64 { return nil },
	})
	return &h
}

// Guards against sums that drift from what the nodes reported, with repeated, lost and expired reports.
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
			h.take(r, &got, now)
			lower, upper := map[string]dispatch.Load{}, map[string]dispatch.Load{}
			for name, r := range newest {
				for id, l := range r.Loads {
					if now.Sub(at[name]) <= reportKept {
						lower[id] = dispatch.Load{Online: lower[id].Online + l.Online, Batch: lower[id].Batch + l.Batch}
					}
					// Old reports are dropped at the next review.
					if now.Sub(at[name]) <= reportKept+reviewEvery {
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

// Guards against a slot that is granted twice before its node reports again, and against a grant that is never free again.
func TestGrantsCountUntilTheNextReport(t *testing.T) {
	h := testHub("a", "b", "c")
	now := time.Unix(100, 0)
	want := map[string]dispatch.Want{"s": {Items: 1}}
	granted := func(node string) int {
		var got Totals
		h.take(Report{Node: node, Wants: want}, &got, now)
		return got.Grant.Batch["u"]
	}
	assert.Equal(t, granted("a"), 1)
	assert.Equal(t, granted("b"), 1)
	assert.Equal(t, granted("c"), 0)
	assert.Equal(t, granted("a"), 1)
	now = now.Add(grantKept + reviewEvery + time.Millisecond)
	assert.Equal(t, granted("c"), 1)
}

// Guards against nodes that are called silent by a hub which is cut off itself or has just begun, and against a lost node
// that stays in the address answers.
func TestSilentNodes(t *testing.T) {
	h := testHub("a", "b", "c")
	now := time.Unix(100, 0)
	silentAfterReportsOf := func(d time.Duration, names ...string) []string {
		var got Totals
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			for _, name := range names {
				h.take(Report{Node: name}, &got, now)
			}
		}
		return got.Silent
	}
	assert.Equal(t, len(silentAfterReportsOf(time.Second, "a", "b", "c", "hub")), 0)
	assert.Equal(t, len(silentAfterReportsOf(3*time.Second, "a", "b", "c", "hub")), 0)
	assert.DeepEqual(t, silentAfterReportsOf(3*time.Second, "a", "b", "hub"), []string{"c"})
	assert.Equal(t, len(silentAfterReportsOf(3*time.Second, "hub")), 0)
}

// deafPeers answer for all nodes but one, from a hub per node.
type deafPeers struct {
	deaf  string
	hubs  map[string]*hub
	calls []string
}

func (p *deafPeers) Call(ctx context.Context, node, _ string, args, reply any) error {
	p.calls = append(p.calls, node)
	if node == p.deaf {
		<-ctx.Done()
		return peer.ErrTimeout
	}
	p.hubs[node].take(args.(Report), reply.(*Totals), time.Now())
	return nil
}

func (*deafPeers) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// Guards against a node that waits for a hub which is gone: the next one answers after a single timeout.
func TestNextHubAnswers(t *testing.T) {
	peers := &deafPeers{hubs: map[string]*hub{}}
	for _, name := range []string{"a", "b", "c", "self"} {
		peers.hubs[name] = testHub("a", "b", "c", "self")
	}
	f := testFleet("self", "a", "b", "c")
	heard := ""
	e := New(Options{
		Fleet: f, Peers: peers, Mine: func() map[string]dispatch.Load { return nil }, Wants: func() map[string]dispatch.Want { return nil },
		Evidence: func() map[string]outlier.Evidence { return nil },
		Take:     func(_, _ map[string]dispatch.Load, _ map[string]float64, _ dispatch.Grant) {}, Revisions: func() map[string]int64 { return nil },
		Heard: func(hub string, _ map[string]int64) { heard = hub }, Draining: func() bool { return false }, Log: &eventlog.Log{},
	})
	peers.deaf = e.chosen(time.Now())
	assert.Assert(t, !e.exchange(context.Background(), nil, nil))
	assert.Equal(t, heard, "")
	assert.Assert(t, e.exchange(context.Background(), nil, nil))
	assert.Assert(t, heard != "" && heard != peers.deaf)
}

// Guards against a node that restarts while the store is away and is never told of the others: the hub calls each registered
// node that does not report, often at first and rarely later.
func TestHubCallsNodesThatDoNotReport(t *testing.T) {
	h := testHub("a", "b")
	now := time.Unix(100, 0)
	var got Totals
	calls := map[string]int{}
	rounds := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(introduceEvery) {
			h.take(Report{Node: "hub"}, &got, now)
			h.take(Report{Node: "a"}, &got, now)
			for _, name := range h.unheard(now) {
				calls[name]++
			}
		}
	}
	rounds(10 * time.Second)
	assert.Equal(t, calls["a"]+calls["hub"], 0)
	assert.Assert(t, calls["b"] >= 35, "%v", calls)
	h.introduced("b", now)
	calls["b"] = 0
	rounds(introduceRarely - introduceEvery)
	assert.Equal(t, calls["b"], 0)
	rounds(introduceFor + forgetAfter)
	calls["b"] = 0
	rounds(20 * time.Second)
	assert.Assert(t, calls["b"] >= 3 && calls["b"] <= 6, "%v", calls)
	assert.Equal(t, len(h.unheard(now.Add(time.Minute))), 0) // No longer a hub.
}
