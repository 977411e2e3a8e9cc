package upstreamspeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/outlier"
)

var start = time.Unix(1_000_000, 0)

// fleet returns the IDs of n upstreams.
func fleet(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprintf("u%02d", i))
	}
	return ids
}

// observe adds the evidence of one run with 24 events a second for each upstream, for some seconds, and returns the end. gap returns
// the time between events.
func observe(tracker *Tracker, ids []string, seconds int, from time.Time, gap func(n int) time.Duration) time.Time {
	for range seconds {
		for n, id := range ids {
			tracker.Add(id, outlier.Evidence{Gaps: 24, GapTime: 24 * gap(n), Runs: 1}, from)
		}
		from = from.Add(time.Second)
	}
	return from
}

// Guards against weights that do not follow the speed of machines: three kinds differ by 0.6, 1.0 and 1.6.
func TestSpeedsAreLearned(t *testing.T) {
	tracker, ids := New(), fleet(9)
	speeds := []float64{0.6, 1, 1.6}
	now := observe(tracker, ids, 20, start, func(n int) time.Duration { return time.Duration(20e6 / speeds[n%3]) })
	slowness := tracker.Slowness(ids, now)
	mean := (1/0.6 + 1 + 1/1.6) / 3
	assert.Assert(t, math.Abs(slowness["u00"]-1/0.6/mean) < 0.1, "%v", slowness)
	assert.Assert(t, math.Abs(slowness["u02"]-1/1.6/mean) < 0.1, "%v", slowness)
	_, uneven := slowness["u01"]
	assert.Assert(t, !uneven, "%v", slowness)
}

// Guards against unequal treatment of equal upstreams because of chance: their times vary by a fifth from run to run.
func TestEqualUpstreamsAreUsual(t *testing.T) {
	for seed := range uint64(20) {
		tracker, ids := New(), fleet(24)
		rng := rand.New(rand.NewPCG(seed, 1))
		now := start
		for range 30 {
			now = observe(tracker, ids, 1, now, func(int) time.Duration { return time.Duration((0.8 + 0.4*rng.Float64()) * 20e6) })
			assert.Equal(t, len(tracker.Slowness(ids, now)), 0, "seed %d", seed)
		}
	}
}

// Guards against history that outlives the machine it was measured on: a new or restarted upstream starts as usual, and old evidence
// fades.
func TestHistoryEnds(t *testing.T) {
	tracker, ids := New(), fleet(6)
	slow := func(n int) time.Duration { return time.Duration(20e6 * (1 + n%2)) }
	now := observe(tracker, ids, 20, start, slow)
	assert.Assert(t, tracker.Slowness(ids, now)["u01"] > 1.2)
	tracker.Forget("u01")
	_, known := tracker.Slowness(ids, now)["u01"]
	assert.Assert(t, !known)
	now = observe(tracker, ids, 1, now, slow)
	assert.Assert(t, tracker.Slowness(ids, now)["u03"] > 1.2)
	now = observe(tracker, ids, 40, now, func(int) time.Duration { return 20e6 })
	assert.Equal(t, len(tracker.Slowness(ids, now)), 0)
	assert.Equal(t, len(tracker.Slowness(ids, now.Add(5*time.Minute))), 0)
	assert.Equal(t, len(tracker.records), 0)
}

// Guards against counting the usual speed of a machine twice, when its reported figure contains it, and against using a momentary
// figure for too long.
func TestMomentarySlowness(t *testing.T) {
	for _, usual := range []float64{1, 1.67} {
		tracker, ids := New(), fleet(4)
		now := start
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			for _, id := range ids {
				tracker.Add(id, outlier.Evidence{Slowness: usual}, now)
			}
		}
		assert.Equal(t, len(tracker.Slowness(ids, now)), 0)
		now = now.Add(50 * time.Millisecond)
		tracker.Add("u02", outlier.Evidence{Slowness: 2.5 * usual, SlownessAge: 20 * time.Millisecond}, now)
		slowness := tracker.Slowness(ids, now)
		assert.Equal(t, len(slowness), 1)
		assert.Assert(t, slowness["u02"] > 2.2 && slowness["u02"] < 2.5, "%v", slowness)
		tracker.Add("u02", outlier.Evidence{Slowness: usual, SlownessAge: 90 * time.Millisecond}, now)
		assert.Assert(t, tracker.Slowness(ids, now)["u02"] > 2.2, "an older report replaced a newer one")
		assert.Equal(t, len(tracker.Slowness(ids, now.Add(momentLifetime))), 0)
	}
}
