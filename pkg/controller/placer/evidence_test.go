package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/outlier"
	"trefoilplank.example/pkg/eventlog"
)

func testPlacer(upstreams int) *Placer {
	p := New("z", &eventlog.Log{})
	var list []dispatch.Upstream
	for n := range upstreams {
		list = append(list, dispatch.Upstream{ID: fmt.Sprint("u", n), Address: fmt.Sprint("a", n), Service: "s", AvailabilityZone: "z", Slots: 8})
	}
	p.SetUpstreams(list)
	return p
}

// Guards against counting delays against an upstream that did not cause them: a wait for a slot, a queue that the node
// cannot see, a run that its caller ended, or the time that the node itself took.
func TestEvidenceCountsOnlyUpstreamDelays(t *testing.T) {
	p := testPlacer(1)
	timedOut := p.MeasureRun("u0", false)
	timedOut.RecordTimeout()
	stopped := p.MeasureRun("u0", false)
	stopped.Flush()
	assert.Equal(t, len(p.Evidence()), 0)

	queued := p.MeasureRun("u0", true)
	begun := time.Now()
	queued.RecordEvents(1, begun.Add(500*time.Millisecond))
	queued.waitingSince = begun // The wait for the next events starts at begun.
	queued.RecordEvents(2, begun.Add(60*time.Millisecond))
	queued.RecordEnd(false)
	e := p.Evidence()["u0"]
	assert.Equal(t, e, outlier.Evidence{Gaps: 2, GapTime: 60 * time.Millisecond, Runs: 1})

	stalled := p.MeasureRun("u0", false)
	stalled.RecordEvents(1, time.Now())
	stalled.RecordTimeout()
	e = p.Evidence()["u0"]
	assert.Equal(t, e.Broken, 1)
	assert.Equal(t, e.Gaps, 1)
}

// Guards against work for an upstream that the hub has found to be slow, and against skipping that upstream when it is
// the only one left.
func TestOutliersGetNoWorkWhileOthersHaveRoom(t *testing.T) {
	hub, node := testPlacer(4), testPlacer(4)
	for _, id := range []string{"u0", "u1", "u2", "u3"} {
		gap := 30 * time.Millisecond
		if id == "u0" {
			gap = 240 * time.Millisecond
		}
		hub.AddEvidence(map[string]outlier.Evidence{id: {Gaps: 100, GapTime: 100 * gap, Runs: 4}})
	}
	weights := hub.Outliers()
	assert.Equal(t, len(weights), 1)
	node.ApplyTotals(map[string]dispatch.Load{}, nil, weights, dispatch.Grant{})
	need := dispatch.OnlineRequest{Service: "s", Objective: time.Second, Remaining: 2 * time.Second}
	for range 20 {
		c := node.PlaceOnline(need)
		assert.Assert(t, c.Upstream.ID != "u0")
		node.EndOnline(c.Upstream.ID)
	}
	node.SetUpstreams([]dispatch.Upstream{{ID: "u0", Address: "a0", Service: "s", AvailabilityZone: "z", Slots: 8}})
	assert.Equal(t, node.PlaceOnline(need).Upstream.ID, "u0")
}
