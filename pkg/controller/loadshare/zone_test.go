package loadshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/dispatch"
)

// Guards against a hub whose sums of demand by zone keep the rates of replaced or expired reports, or count nodes of older builds,
// which do not tell their zone, for some zone.
func TestDemandByZoneIsTheSumOfReports(t *testing.T) {
	h := testHub("a", "b", "c")
	now := time.Unix(100, 0)
	report := func(node, zone string, rate float64) {
		var reply Totals
		h.handleReport(Report{Node: node, Wants: map[string]dispatch.Want{"s": {Rate: rate, Zone: zone}}}, &reply, now)
	}
	report("a", "z0", 4)
	report("b", "z0", 2)
	report("c", "", 8)
	report("a", "z0", 1)
	assert.Equal(t, h.wants["s"].Rate, 11.0)
	assert.DeepEqual(t, h.wants["s"].ZoneRates, map[string]float64{"z0": 3})
	now = now.Add(2 * reportLifetime)
	report("b", "z1", 5)
	assert.DeepEqual(t, h.wants["s"].ZoneRates, map[string]float64{"z0": 0, "z1": 5})
}
