package batchorder

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// load is a pattern of arrivals: jobs per second over time.
type load struct {
	slots            int
	runTime, due     time.Duration
	perSecond, burst float64
	burstFor         time.Duration
}

// onTime plays the load in virtual time with the given order, and returns how many of the items that arrived were done in
// time.
func (l load) onTime(order func(a, b Item, now time.Time) int) (done, arrived int) {
	const step = 100 * time.Millisecond
	start := time.Unix(1000, 0)
	type run struct {
		due, end time.Time
	}
	var waiting []Item
	var running []run
	backlog := 0.0
	for now := start; now.Before(start.Add(90 * time.Second)); now = now.Add(step) {
		rate := l.perSecond
		if now.Sub(start) >= 10*time.Second && now.Sub(start) < 10*time.Second+l.burstFor {
			rate *= l.burst
		}
		if now.Sub(start) < 60*time.Second {
			for backlog += rate * step.Seconds(); backlog >= 1; backlog-- {
				waiting = append(waiting, Item{Due: now.Add(l.due), Remaining: l.runTime})
				arrived++
			}
		}
		running = slices.DeleteFunc(running, func(r run) bool {
			ended := !r.end.After(now)
			if ended && !r.end.After(r.due) {
				done++
			}
			return ended
		})
		slices.SortStableFunc(waiting, func(a, b Item) int { return order(a, b, now) })
		for len(running) < l.slots && len(waiting) > 0 {
			running = append(running, run{waiting[0].Due, now.Add(waiting[0].Remaining)})
			waiting = waiting[1:]
		}
	}
	return done, arrived
}

func byDue(a, b Item, _ time.Time) int { return cmp.Compare(a.Due.UnixNano(), b.Due.UnixNano()) }

// Guards against a burst of jobs, six times the usual for three seconds, after which all later items are late too although
// the slots suffice for them: items that had become late ran first.
func TestBurstOfJobsDelaysOnlyWhatCannotBeDone(t *testing.T) {
	l := load{slots: 20, runTime: 5 * time.Second, due: 18 * time.Second, perSecond: 3, burst: 12, burstFor: 6 * time.Second}
	done, arrived := l.onTime(Compare)
	before, _ := l.onTime(byDue)
	// Until the last item of the burst is due, the slots can do what fits into them; later items can all be done.
	beforeBurst, afterBurst := 10*l.perSecond, (60*time.Second-10*time.Second-l.burstFor).Seconds()*l.perSecond
	possible := int(beforeBurst + float64(l.slots)*(l.burstFor+l.due).Seconds()/l.runTime.Seconds() + afterBurst)
	t.Logf("%d arrived, %d can be done, %d in time, %d by due time alone", arrived, possible, done, before)
	assert.Assert(t, float64(done) >= 0.9*float64(possible), "%d of %d", done, possible)
}

// Guards against losing items where all can be done: the order by due time is then the best one.
func TestWithoutOverloadAllItemsAreInTime(t *testing.T) {
	l := load{slots: 20, runTime: 5 * time.Second, due: 18 * time.Second, perSecond: 3, burst: 2, burstFor: 3 * time.Second}
	done, arrived := l.onTime(Compare)
	assert.Equal(t, done, arrived)
}

// Guards against late items that take the slots kept for online requests, or keep theirs while online requests wait.
func TestLateItemsYield(t *testing.T) {
	now := time.Unix(1000, 0)
	const margin = 3 * time.Second
	item := func(left time.Duration) Item { return Item{Due: now.Add(left), Remaining: 4 * time.Second} }
	for left, want := range map[time.Duration][2]bool{
		20 * time.Second: {false, true}, 6 * time.Second: {true, false}, 3 * time.Second: {true, false},
		time.Second: {false, true}, -time.Minute: {false, true},
	} {
		assert.Equal(t, item(left).Urgent(margin, now), want[0], "%s", left)
		assert.Equal(t, item(left).MayStop(margin, now), want[1], "%s", left)
	}
}
