package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/loadreport"
)

// Guards against a node without totals that takes a full upstream for a free one since its report has four figures, and against an
// older report that replaces a newer one.
func TestNodeWithoutTotalsUsesReports(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := NewState("z0")
	s.SetUpstreams([]Upstream{{ID: "u0", Service: "s", Slots: 8}})
	request := OnlineRequest{Service: "s", Remaining: time.Second}
	s.RecordAnswer("u0", loadreport.Parse("7,1,8,250", now))
	assert.Assert(t, !s.HasFreeSlot(request, now))
	s.RecordAnswer("u0", loadreport.Parse("0,0,8,100", now.Add(-time.Millisecond)))
	assert.Assert(t, !s.HasFreeSlot(request, now))
	s.RecordAnswer("u0", loadreport.Parse("6,0,8,100", now.Add(time.Millisecond)))
	assert.Assert(t, s.HasFreeSlot(request, now.Add(time.Millisecond)))
}
