package tenure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a node that goes on as a holder although others have counted it as lost since it last looked, whatever the order
// of its reports, freezes and delays.
func TestNobodyElseHeldSince(t *testing.T) {
	const lostAfter, bound = 1300 * time.Millisecond, 1200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var held Tenure
		// heard is when others last heard of the node, and lostAt when they last counted it as lost.
		heard, lostAt := now, time.Time{}
		pass := func(name string) {
			d := time.Duration(rapid.IntRange(0, 2500).Draw(t, name)) * time.Millisecond
			if end := now.Add(d); end.Sub(heard) > lostAfter {
				lostAt = end // It may be counted as lost up to then.
			}
			now = now.Add(d)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			begun := now
			pass("until the report arrives")
			heard = now
			pass("until the answer arrives")
			if rapid.Bool().Draw(t, "answered") {
				held.Confirm(begun, now, bound)
			}
			pass("until the node looks")
			if held.Held(now) && lostAt.After(held.HeldSince()) {
				t.Fatalf("the node holds at %v what it lost at %v, since %v", now, lostAt, held.HeldSince())
			}
		}
	})
}

// Guards against a gap that is not seen because the first exchange after it is answered at once, and against a gap before the
// first confirmation.
func TestGapIsSeenAfterwards(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var held Tenure
	confirm := func(begun, now int) time.Duration { return held.Confirm(at(begun), at(now), time.Second) }
	assert.Assert(t, !held.Held(start))
	assert.Equal(t, confirm(0, 10), time.Duration(0))
	assert.Equal(t, confirm(900, 950), time.Duration(0))
	assert.Assert(t, held.Held(at(1900)) && !held.Held(at(1901)))
	assert.Equal(t, held.HeldSince(), at(10))
	assert.Equal(t, confirm(6900, 6910), 5010*time.Millisecond)
	assert.Assert(t, held.Held(at(6910)))
	assert.Equal(t, held.HeldSince(), at(6910))
	assert.Equal(t, confirm(6000, 6920), time.Duration(0), "an answer to an earlier exchange")
	assert.Assert(t, held.Held(at(7900)))
	assert.Equal(t, confirm(7800, 7950), 50*time.Millisecond, "a report that was late")
}
