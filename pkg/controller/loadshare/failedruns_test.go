package loadshare

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/failedruns"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/decision/dispatch"
	decision "trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/outlier"
	"trefoilplank.example/pkg/eventlog"
)

// newNode starts a node of a fleet in process, with records of its own.
func newNode(net *fleetPeers, name string, names []string) (*Exchange, *failedruns.Controller) {
	f := testFleet(name, names...)
	runs := failedruns.New(failedruns.Options{
		Node: name, Incarnation: time.Now().UnixNano(), Others: func() []string { return nil }, Exchange: func() {}, Log: &eventlog.Log{},
	})
	e := New(Options{
		Fleet: f, Peers: caller{net, name}, Log: &eventlog.Log{}, Grants: grantOneSlot, FailedRuns: runs,
		OwnLoads: func() map[string]dispatch.Load { return nil }, Wants: func() map[string]dispatch.Want { return nil },
		Evidence:    func() map[string]outlier.Evidence { return nil },
		ApplyTotals: func(_, _ map[string]dispatch.Load, _ map[string]float64, _ dispatch.Grant) {},
		AddEvidence: func(map[string]outlier.Evidence) {}, Outliers: func() map[string]float64 { return nil },
		Revisions: func() map[string]int64 { return nil }, HubIntroduced: func(fleet.Member) {}, Draining: func() bool { return false },
		HubAnswered: func(string, map[string]int64) {},
	})
	net.nodes[name] = e
	return e, runs
}

// Guards against failed runs that a new hub, a restarted one or a restarted node does not get, because an earlier process
// had confirmed them.
func TestFailedRunsSurviveLostHubs(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	net := &fleetPeers{nodes: map[string]*Exchange{}, down: map[string]bool{}}
	runs := map[string]*failedruns.Controller{}
	incarnation := int64(1)
	start := func(name string) {
		incarnation++
		var e *Exchange
		e, runs[name] = newNode(net, name, names)
		e.options.Fleet = fleet.New(nil, fleet.Member{Name: name, Incarnation: incarnation, Weight: 1}, &eventlog.Log{})
		e.options.Fleet.SetRegistered(registered(names...))
	}
	for _, name := range names {
		start(name)
	}
	exchangeAll := func() {
		for range 3 {
			for _, name := range names {
				if !net.down[name] {
					net.nodes[name].exchange(context.Background(), nil, nil)
				}
			}
		}
	}
	for round := range 4 {
		hub := net.nodes["a"].chooseHub(time.Now())
		reporter := names[0]
		if reporter == hub {
			reporter = names[1]
		}
		runs[reporter].Failed(context.Background(), "item", decision.Errored, fmt.Sprint("u", round))
		exchangeAll()
		net.down[hub] = true
		exchangeAll()
		start(hub)
		net.down[hub] = false
		others := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == hub })
		for _, name := range names {
			net.nodes[name].options.Fleet.SetRegistered(registered(others...)) // The hub's entry is removed and written again.
			net.nodes[name].options.Fleet.SetRegistered(registered(names...))
			net.nodes[name].cachedHub = hubChoice{}
		}
		exchangeAll()
		for _, name := range names {
			assert.Equal(t, runs[name].Failures("item", decision.Errored), round+1, "node %s after round %d", name, round)
		}
	}
}
