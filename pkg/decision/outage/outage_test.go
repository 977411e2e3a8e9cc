package outage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a process that takes the time in which it was stopped or not scheduled for an outage of a service, and against an
// outage that counts for less because the process was busy.
func TestOnlyTimeInWhichTheProcessRanCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Meter
		now := time.Unix(1000, 0)
		begun := now
		m.Begin(now)
		var stopped time.Duration
		stops := time.Duration(0)
		for range rapid.IntRange(0, 60).Draw(t, "looks") {
			late := time.Duration(rapid.IntRange(0, 45).Draw(t, "late")) * time.Millisecond
			now = now.Add(LookInterval + late)
			if rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
				stop := time.Duration(rapid.IntRange(300, 2500).Draw(t, "stopped for")) * time.Millisecond
				now, stopped, stops = now.Add(stop), stopped+stop, stops+1
			}
			assert.Assert(t, m.Look(now))
			m.Begin(now)
		}
		ran := now.Sub(begun) - stopped
		seen := m.End(now)
		assert.Assert(t, seen >= ran && seen <= ran+stops*maxStep, "%v seen of %v, with %d stops", seen, ran, stops)
		assert.Assert(t, !m.Look(now))
		assert.Equal(t, m.End(now.Add(time.Hour)), time.Duration(0))
	})
}
