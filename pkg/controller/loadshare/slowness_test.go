package loadshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/dispatch"
)

// fixedSpeeds are speeds that the hub knows, and those that a node received.
type fixedSpeeds struct{ known, received map[string]float64 }

func (f *fixedSpeeds) HubSlowness() map[string]float64 { return f.known }

func (f *fixedSpeeds) SetSlowness(slowness map[string]float64) { f.received = slowness }

// Guards against a slowness that reaches nodes under another upstream's ID or not at all, against sending it with each answer, and
// against sending any while all upstreams are alike.
func TestSlownessReachesNodes(t *testing.T) {
	speeds := &fixedSpeeds{known: map[string]float64{"u1": 1.5, "u2": 0.625, "unlisted": 2, "u3": 100}}
	h := testHub("a", "b")
	h.options.Speeds = speeds
	e := &Exchange{options: Options{Speeds: speeds}}
	now := time.Unix(100, 0)
	report := func() *IndexedLoads {
		var reply Totals
		h.handleReport(Report{Node: "a", Indexed: true, Index: e.index.revision,
			Loads: map[string]dispatch.Load{"u0": {Online: 1}, "u1": {Online: 1}, "u2": {Batch: 1}, "u3": {Online: 1}}}, &reply, now)
		e.index.expand(reply.IndexedLoads)
		e.applySlowness(reply.IndexedLoads)
		return reply.IndexedLoads
	}
	report()
	assert.DeepEqual(t, speeds.received, map[string]float64{"u1": 1.5, "u2": 0.625, "u3": 255.0 / slownessUnits})
	now = now.Add(slownessInterval / 2)
	assert.Equal(t, len(report().Slowness), 0)
	now = now.Add(slownessInterval / 2)
	assert.Assert(t, len(report().Slowness) > 0)
	speeds.known = nil
	now = now.Add(reviewInterval)
	report()
	now = now.Add(slownessInterval)
	assert.Equal(t, len(report().Slowness), 0)
}
