package zonespill

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// settled returns what leaves after a second of the same load.
func settled(s *Spill, zones map[string]Zone) (leaving map[string]float64) {
	for i := range 20 {
		leaving = s.Update(zones, start.Add(time.Duration(i)*50*time.Millisecond))
	}
	return leaving
}

// Guards against paying for bytes between zones that help nobody: with room in each zone, and with none in any.
func TestLoadStaysWhereLeavingDoesNotPay(t *testing.T) {
	for _, load := range []float64{0, 0.3, 0.7, 1, 1.5, 3} {
		z := Zone{Demand: load * 64, Slots: 64, FirstEvent: 0.25}
		assert.Equal(t, len(settled(&Spill{}, map[string]Zone{"a": z, "b": z, "c": z})), 0, "load %v", load)
	}
}

// Guards against load that stays in a zone that is short of upstreams, and against moving more than the others have room for.
func TestLoadLeavesByNeed(t *testing.T) {
	z := Zone{Demand: 32, Slots: 64}
	leaving := settled(&Spill{}, map[string]Zone{"a": {Demand: 32}, "b": z, "c": z})
	assert.Equal(t, len(leaving), 1)
	assert.Equal(t, leaving["a"], 1.0)
	leaving = settled(&Spill{}, map[string]Zone{"a": {Demand: 38, Slots: 40}, "b": z, "c": z})
	assert.Assert(t, leaving["a"] > 0.1 && leaving["a"] < 0.35, "%v", leaving)
	leaving = settled(&Spill{}, map[string]Zone{"a": {Demand: 120, Slots: 64}, "b": {Demand: 56, Slots: 64}, "c": {Demand: 56, Slots: 64}})
	assert.Assert(t, leaving["a"]*120 < 12 && leaving["a"]*120 > 3 && leaving["b"]+leaving["c"] == 0, "%v", leaving)
	assert.Equal(t, settled(&Spill{}, map[string]Zone{"a": {Demand: 32}, "b": {Demand: 90, Slots: 64}})["a"], 1.0, "nothing can stay without upstreams")
	assert.Equal(t, len(settled(&Spill{}, map[string]Zone{"a": {Demand: 32}, "b": {Demand: 10}})), 0, "there is nowhere to go")
	slow, usual := Zone{Demand: 10, Slots: 40, FirstEvent: 0.45}, Zone{Demand: 10, Slots: 64, FirstEvent: 0.2}
	assert.Assert(t, settled(&Spill{}, map[string]Zone{"a": slow, "b": usual})["a"] > 0.5, "requests of a slow zone are late although another has room")
}

// Guards against oscillation: near the limit the demand varies by a tenth from report to report, and what leaves must not go on and off
// with it.
func TestLeavingDoesNotOscillate(t *testing.T) {
	s := &Spill{}
	changes, before := 0, -1.0
	least, most := math.MaxFloat64, 0.0
	for i := range 400 {
		demand := 33.0
		if i%2 == 1 {
			demand = 36.5
		}
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		leaving := s.Update(map[string]Zone{"a": {Demand: demand, Slots: 45}, "b": {Demand: 20, Slots: 64}}, now)["a"]
		if i < 20 {
			before = leaving
			continue
		}
		if (leaving > 0) != (before > 0) {
			changes++
		}
		least, most, before = min(least, leaving), max(most, leaving), leaving
	}
	assert.Equal(t, changes, 0)
	assert.Assert(t, most-least < 0.1, "from %v to %v", least, most)
}

// Guards against load that goes on leaving after a burst, and against a slow reaction to one.
func TestBurstOfAZone(t *testing.T) {
	s := &Spill{}
	other := Zone{Demand: 20, Slots: 64}
	assert.Equal(t, s.Update(map[string]Zone{"a": {Demand: 20, Slots: 64}, "b": other}, start)["a"], 0.0)
	burst := s.Update(map[string]Zone{"a": {Demand: 80, Slots: 64}, "b": other}, start.Add(50*time.Millisecond))["a"]
	assert.Assert(t, burst > 0.25, "%v", burst)
	now := start.Add(50 * time.Millisecond)
	for range 30 {
		now = now.Add(50 * time.Millisecond)
		s.Update(map[string]Zone{"a": {Demand: 20, Slots: 64}, "b": other}, now)
	}
	assert.Equal(t, s.Update(map[string]Zone{"a": {Demand: 20, Slots: 64}, "b": other}, now)["a"], 0.0)
}

// Guards against parts outside 0 to 1, decisions that differ for the same load, and zones that exchange load both ways.
func TestDecisionsAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := map[string]Zone{}
		for _, name := range []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")] {
			zones[name] = Zone{Demand: rapid.Float64Range(0, 300).Draw(t, "demand"), Slots: rapid.Float64Range(0, 300).Draw(t, "slots"),
				FirstEvent: rapid.Float64Range(0, 2).Draw(t, "first")}
		}
		leaving := (&Spill{}).Update(zones, start)
		assert.DeepEqual(t, leaving, (&Spill{}).Update(zones, start))
		for name, part := range leaving {
			assert.Assert(t, part >= minLeaving && part <= 1, "%v", part)
			assert.Assert(t, len(zones) > 1 && zones[name].Demand > 0)
		}
		if len(leaving) == len(zones) {
			t.Fatalf("all zones send load to others: %v of %v", leaving, zones)
		}
	})
}

func BenchmarkUpdate(b *testing.B) {
	s := &Spill{}
	zones := map[string]Zone{"a": {Demand: 250, Slots: 150}, "b": {Demand: 120, Slots: 300}, "c": {Demand: 100, Slots: 300}}
	for b.Loop() {
		s.Update(zones, start)
	}
}
