package capacity_test

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/capacity"
)

// TestCapacityTable prints the costs of each role at the two-year target. It guards against a measured cost that breaks
// a bound there. A bound that is known to be broken is listed in KNOWN-RED.txt.
func TestCapacityTable(t *testing.T) {
	rows := capacity.Table(capacity.TwoYearTarget, capacity.Measured)
	var out strings.Builder
	assert.NilError(t, capacity.Print(&out, rows))
	t.Log("\n" + out.String())
	for _, b := range capacity.Bounds(rows) {
		t.Run(b.Name, func(t *testing.T) {
			t.Log(b)
			assert.Assert(t, b.Holds(), b.String())
		})
	}
}

// TestBoundsIncludeTheRightRoles guards against a bound that leaves out a role, or that counts requests as control work.
func TestBoundsIncludeTheRightRoles(t *testing.T) {
	rows := []capacity.Row{
		{Role: "a", Control: true, State: 1 << 20, Bytes: 100, Cores: 0.01, Reads: 1, Writes: 10},
		{Role: "b", State: 2 << 20, Bytes: 1e6, Cores: 0.5, Reads: 2, Writes: 20},
	}
	want := map[string]float64{"control-processor": 1, "control-memory": 6, "control-bytes": 100, "store-reads": 3, "store-writes": 30}
	bounds := capacity.Bounds(rows)
	assert.Equal(t, len(bounds), len(want))
	for _, b := range bounds {
		assert.Equal(t, b.Value, want[b.Name], b.Name)
		assert.Assert(t, b.Holds(), b.Name)
	}
	rows[0].Cores, rows[0].Bytes, rows[1].State, rows[1].Reads, rows[1].Writes = 0.0121, 2049, 64<<20, 2000, 291
	for _, b := range capacity.Bounds(rows) {
		assert.Assert(t, !b.Holds(), b.Name)
	}
}

// TestTableGrowsWithTheTarget guards against a role whose cost does not follow the size of the fleet or the load.
func TestTableGrowsWithTheTarget(t *testing.T) {
	sum := func(target capacity.Target) (state, messages, cores, writes float64) {
		for _, r := range capacity.Table(target, capacity.Measured) {
			assert.Assert(t, r.State >= 0 && r.Messages >= 0 && r.Bytes >= 0 && r.Cores >= 0 && r.Reads >= 0 && r.Writes >= 0, r.Role)
			state, messages, cores, writes = state+r.State, messages+r.Messages, cores+r.Cores, writes+r.Writes
		}
		return state, messages, cores, writes
	}
	state, messages, cores, writes := sum(capacity.TwoYearTarget)
	more := capacity.TwoYearTarget
	more.Replicas *= 2
	state2, messages2, cores2, _ := sum(more)
	assert.Assert(t, state2 > state && messages2 > messages && cores2 > cores)
	more = capacity.TwoYearTarget
	more.ItemsPerDay *= 2
	_, _, cores2, writes2 := sum(more)
	assert.Assert(t, cores2 > cores && writes2 > writes)
	more = capacity.TwoYearTarget
	more.RequestsPerSecond *= 2
	_, messages2, cores2, _ = sum(more)
	assert.Assert(t, messages2 > messages && cores2 > cores)
}

// TestFitFindsTheLine guards against a fit that does not return the line that all points lie on.
func TestFitFindsTheLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := capacity.Line{Fixed: rapid.Float64Range(0, 1e6).Draw(t, "fixed"), Slope: rapid.Float64Range(0.1, 1e3).Draw(t, "slope")}
		var line []capacity.Point
		for x := 1.0; x <= 1000; x *= 10 {
			line = append(line, capacity.Point{X: x, Y: want.At(x)})
		}
		got := capacity.Fit(line...)
		near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-6*math.Max(1, math.Abs(b)) }
		assert.Assert(t, near(got.At(1), want.At(1)) && near(got.At(5000), want.At(5000)), "%v instead of %v", got, want)
		assert.Assert(t, near(capacity.Constant(line...).At(7), (4*want.Fixed+1111*want.Slope)/4))
	})
}
