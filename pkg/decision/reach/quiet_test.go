package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a gap of this process that counts as silence of an upstream, and against silence that is not counted though it ran.
func TestOwnGapsAreNoSilence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		begun, gaps, stops := now, time.Duration(0), time.Duration(0)
		draw := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
		}
		var q Quiet
		due := draw("first", 50, 3000)
		q.Begin(now, due)
		for range rapid.IntRange(1, 20).Draw(t, "looks") {
			assert.Assert(t, !q.Due(now.Add(due-time.Millisecond)))
			now = now.Add(due + draw("late", 0, int(MaxLate.Milliseconds())))
			stops0 := stops
			if rapid.Bool().Draw(t, "stopped") {
				gap := draw("gap", int(MaxLate.Milliseconds())+1, 3000)
				now, gaps, stops = now.Add(gap), gaps+gap, stops+1
			}
			assert.Assert(t, q.Due(now))
			lasted, stalled := q.Look(now)
			assert.Equal(t, stalled, stops > stops0)
			ran := now.Sub(begun) - gaps
			assert.Assert(t, lasted >= ran && lasted <= ran+stops*MaxLate, "%s counted of %s, with %d gaps", lasted, ran, stops)
			now = now.Add(draw("check", 0, int(MaxLate.Milliseconds())))
			due = draw("next", 50, 300)
			q.Next(now, due)
		}
		q.Begin(now, due)
		lasted, _ := q.Look(now)
		assert.Equal(t, lasted, time.Duration(0))
	})
}
