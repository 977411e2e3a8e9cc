package burn

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against requests that are counted in a window after they have left it, or not counted in one that covers them,
// and against counts that change when one node's buckets are merged into another's.
func TestWindowsAndMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, a, b := NewSeries(), NewSeries(), NewSeries()
		now := epoch
		var good, bad []time.Time
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Hour)).Draw(t, "step")))
			isGood := rapid.Bool().Draw(t, "good")
			if isGood {
				good = append(good, now)
			} else {
				bad = append(bad, now)
			}
			all.Observe(now, isGood)
			nodeSeries := a
			if rapid.Bool().Draw(t, "node") {
				nodeSeries = b
			}
			nodeSeries.Observe(now, isGood)
		}
		now = now.Add(time.Duration(rapid.Int64Range(0, int64(80*time.Hour)).Draw(t, "wait")))
		a.Merge(b.Snapshot(now))
		if x, y := a.Counts(now), all.Counts(now); x != y {
			t.Fatalf("merged counts %v, counts of the complete series %v", x, y)
		}
		for _, w := range Windows {
			c := all.Counts(now)[w]
			checkBounds(t, w, "good", c.Good, good, now)
			checkBounds(t, w, "bad", c.Bad, bad, now)
		}
	})
}

// checkBounds fails unless got is between the number of events in the window and that without its oldest bucket.
func checkBounds(t *rapid.T, w Window, kind string, got uint64, events []time.Time, now time.Time) {
	var least, most uint64
	for _, e := range events {
		age := now.Sub(e)
		if age < w.Length() {
			most++
		}
		if age <= w.Length()-w.resolution().width {
			least++
		}
	}
	if got < least || got > most {
		t.Fatalf("window %s has %d %s requests, must be %d to %d", w, got, kind, least, most)
	}
}

// Guards against alerts that fire on one window alone, on fewer than minBadRequests, or after the fault has ended, and
// against alerts that do not fire during a fault.
func TestAlerts(t *testing.T) {
	const target = 0.99
	fill := func(from, to time.Duration, bad bool) func(*Series) {
		return func(s *Series) {
			for at := from; at < to; at += 10 * time.Second {
				s.Observe(epoch.Add(at), !bad)
			}
		}
	}
	now := 72 * time.Hour
	cases := map[string]struct {
		steps []func(*Series)
		want  Alerts
	}{
		"nothing":                   {nil, Alerts{}},
		"all good":                  {[]func(*Series){fill(0, now, false)}, Alerts{}},
		"two bad requests alone":    {[]func(*Series){fill(now-20*time.Second, now, true)}, Alerts{}},
		"hard fault for 15 minutes": {[]func(*Series){fill(0, now, false), fill(now-15*time.Minute, now, true)}, Alerts{Fast: true}},
		"hard fault that is over": {
			[]func(*Series){fill(0, now, false), fill(now-25*time.Minute, now-10*time.Minute, true)}, Alerts{}},
		"slow leak": {[]func(*Series){fill(0, now, false), func(s *Series) {
			for at := time.Duration(0); at < now; at += 10 * time.Minute {
				s.Observe(epoch.Add(at), false)
			}
		}}, Alerts{Slow: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewSeries()
			for _, step := range c.steps {
				step(s)
			}
			assert.Equal(t, EvaluateAlerts(s.Counts(epoch.Add(now-time.Second)), target), c.want)
		})
	}
}

// Guards against a wrong burn rate: 20 % bad requests burn a budget of 10 % at rate 2, and no requests at rate 0.
func TestRate(t *testing.T) {
	assert.Equal(t, Rate(Count{}, 0.9), 0.0)
	assert.Assert(t, Rate(Count{Good: 80, Bad: 20}, 0.9) > 1.999 && Rate(Count{Good: 80, Bad: 20}, 0.9) < 2.001)
}

// BenchmarkObserve measures the cost of counting one request.
func BenchmarkObserve(b *testing.B) {
	s := NewSeries()
	for i := range b.N {
		s.Observe(epoch.Add(time.Duration(i)*time.Millisecond), true)
	}
}
