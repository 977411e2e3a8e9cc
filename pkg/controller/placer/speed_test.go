package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/loadreport"
	"trefoilplank.example/pkg/eventlog"
)

// Guards against a momentary slowness that does not reach the hub, is reported twice or when it is too old, and against entries in the
// reports of deployments whose upstreams report three figures.
func TestMomentarySlownessIsReported(t *testing.T) {
	p := New("z0", &eventlog.Log{})
	p.SetUpstreams([]dispatch.Upstream{{ID: "u0", Service: "s", Slots: 8}, {ID: "u1", Service: "s", Slots: 8}})
	now := time.Now()
	p.RecordAnswer("u0", loadreport.Parse("1,0,8,250", now.Add(-100*time.Millisecond)))
	p.RecordAnswer("u1", loadreport.Parse("1,0,8,250", now.Add(-time.Hour)))
	e := p.Evidence()
	assert.Equal(t, len(e), 1)
	assert.Equal(t, e["u0"].Slowness, 2.5)
	assert.Assert(t, e["u0"].SlownessAge >= 100*time.Millisecond)
	assert.Equal(t, len(p.Evidence()), 0)
	p.RecordAnswer("u0", loadreport.Parse("1,0,8", time.Now()))
	assert.Equal(t, len(p.Evidence()), 0)
	assert.Equal(t, len(p.moments), 0)
}
