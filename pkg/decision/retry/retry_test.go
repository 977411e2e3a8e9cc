package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against retries that exceed the budget in any window, for any order of successes and failures.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		reserve := float64(rapid.IntRange(0, 5).Draw(t, "reserve"))
		b := NewBudget(share, reserve)
		now := time.Unix(5000, 0)
		var successes, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			recent := func(all []time.Time, within time.Duration) (n int) {
				for _, at := range all {
					if now.Sub(at) < within {
						n++
					}
				}
				return n
			}
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess(now)
				successes = append(successes, now)
				continue
			}
			// The window advances by complete slots, so it covers the time of nine to ten slots.
			const slot = Window / windowSlots
			if b.Take(now) {
				retries = append(retries, now)
				spent := float64(recent(retries, Window-slot))
				assert.Assert(t, spent <= reserve+share*float64(recent(successes, Window)))
			} else {
				spent := float64(recent(retries, Window))
				assert.Assert(t, spent+1 > reserve+share*float64(recent(successes, Window-slot)))
			}
		}
	})
}

// Guards against retries that must not happen: after part of the answer was sent, of a begun request that must not run
// twice, past the deadline, or above the limits of attempts.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Number: rapid.IntRange(1, 10).Draw(t, "number"), Started: rapid.Bool().Draw(t, "started"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"), PartlyAnswered: rapid.Bool().Draw(t, "passed on"),
			UpstreamCrashed: rapid.Bool().Draw(t, "died"), Crashes: rapid.IntRange(1, 3).Draw(t, "deaths"),
			TimeLeft: time.Duration(rapid.IntRange(-10, 500).Draw(t, "left")) * time.Millisecond,
		}
		a.Runs = rapid.IntRange(0, a.Number).Draw(t, "runs")
		if a.Started {
			a.Runs = max(a.Runs, 1)
		}
		reserve := float64(rapid.IntRange(0, 1).Draw(t, "reserve"))
		b := NewBudget(0, reserve)
		d := Decide(a, b, time.Unix(5000, 0), rapid.Float64Range(0, 0.999).Draw(t, "random"))
		forbidden := a.PartlyAnswered || (a.Runs > 0 && !a.Repeatable) || a.Number >= MaxAttempts || a.Runs >= MaxRuns || a.TimeLeft < MinTimeLeft
		free := !a.Started || (a.UpstreamCrashed && a.Crashes == 1)
		assert.Assert(t, !d.Retry || !forbidden, "%+v %+v", a, d)
		assert.Assert(t, !d.Retry || free || reserve == 1)
		assert.Assert(t, !d.Retry || a.TimeLeft >= d.Delay+MinTimeLeft)
		assert.Assert(t, d.Reason != "")
		if !forbidden && (free || reserve == 1) && a.TimeLeft > 2*maxRetryDelay {
			assert.Assert(t, d.Retry, "%+v %+v", a, d)
		}
	})
}

// Guards against hedging services whose lookups are slow or of unknown duration.
func TestHedgeDelay(t *testing.T) {
	var d LookupDurations
	for range minSamples - 1 {
		d.Add(10 * time.Millisecond)
	}
	_, ok := d.HedgeDelay()
	assert.Assert(t, !ok)
	// The delay is recomputed at each 20th duration, here last at the 220th.
	for i := range maxSamples + 1 {
		d.Add(time.Duration(i) * time.Millisecond / 10)
	}
	delay, ok := d.HedgeDelay()
	assert.Assert(t, ok && delay > 18*time.Millisecond && delay < 20*time.Millisecond, "%s", delay)
	for range maxSamples {
		d.Add(MaxHedgeDelay + time.Millisecond)
	}
	_, ok = d.HedgeDelay()
	assert.Assert(t, !ok)
}
