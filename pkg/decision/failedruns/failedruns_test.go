package failedruns

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func crash(work, run, upstream string) Record {
	return Record{Work: work, Run: run, Kind: Crashed, Upstream: upstream}
}

// Guards against a request that is sent on after two upstreams crashed under it, and against the quarantine of one that
// merely shared an upstream with it.
func TestSecondCrashQuarantines(t *testing.T) {
	l := NewLedger()
	l.Merge([]Record{crash("culprit", "1", "u"), crash("neighbour", "2", "u")}, "", start)
	assert.Equal(t, l.QuarantinedFor(Works{Request: "culprit"}, start), time.Duration(0))
	l.Merge([]Record{crash("culprit", "3", "v")}, "", start.Add(time.Second))
	assert.Equal(t, l.QuarantinedFor(Works{Request: "culprit"}, start.Add(time.Second)), Lifetime)
	assert.Equal(t, l.QuarantinedFor(Works{Request: "neighbour"}, start.Add(time.Second)), time.Duration(0))
	assert.Equal(t, l.QuarantinedFor(Works{Request: "culprit"}, start.Add(time.Second+Lifetime)), time.Duration(0))
}

// Guards against the quarantine of requests whose node lost its path to healthy upstreams: the nodes that still receive
// their data clear the crashes.
func TestLiveUpstreamClearsItsCrashes(t *testing.T) {
	l := NewLedger()
	l.Merge([]Record{crash("w", "1", "u"), crash("w", "2", "v")}, "other", start)
	assert.Equal(t, len(l.Alive("u", start.Add(time.Millisecond), start.Add(time.Second))), 0, "the connection is newer than the crash")
	assert.Equal(t, len(l.Alive("u", start.Add(-time.Second), start.Add(aliveMargin/2))), 0, "the data may have been sent before the crash")
	assert.Equal(t, len(l.Alive("u", start.Add(-time.Second), start.Add(time.Second))), 1)
	assert.Equal(t, l.QuarantinedFor(Works{Request: "w"}, start.Add(time.Second)), time.Duration(0))
	l.Merge([]Record{crash("w", "1", "u")}, "other", start.Add(time.Second))
	assert.Equal(t, l.QuarantinedFor(Works{Request: "w"}, start.Add(time.Second)), time.Duration(0), "a late copy of a cleared record counts again")
}

// Guards against the quarantine of a request that an upstream has run without crashing.
func TestSurvivedRunClearsCrashes(t *testing.T) {
	l := NewLedger()
	l.Merge([]Record{crash("w", "1", "u"), crash("w", "2", "v")}, "", start)
	l.Survived("w")
	assert.Equal(t, l.QuarantinedFor(Works{Request: "w"}, start), time.Duration(0))
	assert.Assert(t, !l.BlamesRequests())
}

// Guards against a request that is sent to many upstreams while their crashes do not show yet, and against one that is held
// back although its upstreams turned out to be alive, or for longer than the suspicion lasts.
func TestSuspectedCrashesHoldBackForAShortTime(t *testing.T) {
	l := NewLedger()
	for n := range suspectUpstreams {
		assert.Equal(t, l.QuarantinedFor(Works{Request: "w"}, start), time.Duration(0))
		l.Merge([]Record{{Work: "w", Run: fmt.Sprint(n), Kind: Suspected, Upstream: fmt.Sprint("u", n)}}, "", start)
	}
	assert.Equal(t, l.QuarantinedFor(Works{Request: "w"}, start), suspectTime)
	assert.Equal(t, l.QuarantinedFor(Works{Request: "w"}, start.Add(suspectTime)), time.Duration(0))
	assert.Assert(t, !l.IsQuarantined("w", start))
	l.Merge([]Record{crash("w", "0", "u0"), crash("w", "1", "u1")}, "", start)
	assert.Equal(t, l.QuarantinedFor(Works{Request: "w"}, start), Lifetime)
	l.Alive("u0", start.Add(-time.Second), start.Add(time.Second))
	assert.Equal(t, l.QuarantinedFor(Works{Request: "w"}, start.Add(time.Second)), time.Duration(0))
}

// Guards against an item that waits for minutes because several upstreams crashed at the same time while they ran it: in the
// soak test (seed 132) the jobs of such items were not completed in time.
func TestCrashesAtTheSameTimeMakeOnePause(t *testing.T) {
	l := NewLedger()
	for n := range 6 {
		l.Merge([]Record{crash("w", fmt.Sprint(n), fmt.Sprint("u", n))}, "", start)
	}
	assert.Equal(t, l.PausedUntil(Works{Request: "w"}, start), start.Add(itemPause))
}

// Guards against requests that are blamed for the end of an upstream that had ended before they were sent, and against equal
// requests that count several times because they ran on one upstream when it crashed: in the soak test (seed 103) equal
// items of all jobs waited for minutes.
func TestOnlyRunsInProgressAreBlamed(t *testing.T) {
	l := NewLedger()
	broke := func(run string, lasted time.Duration, at time.Time) {
		l.Merge([]Record{{Work: "w", Run: run, Kind: Suspected, Upstream: "u", Incarnation: 1, Lasted: lasted}}, "", at)
	}
	broke("in progress", time.Second, start)
	broke("in progress too", 2*time.Second, start.Add(time.Millisecond))
	broke("sent later", time.Millisecond, start.Add(time.Second))
	now := start.Add(2 * time.Second)
	assert.Equal(t, l.QuarantinedFor(Works{Request: "w"}, now), time.Duration(0))
	assert.Equal(t, len(l.Suspects("u", 2, time.Minute, now)), 0)
	suspects := l.Suspects("u", 1, time.Minute, now)
	assert.Equal(t, len(suspects), 2)
	for n := range suspects {
		suspects[n].Kind = Crashed
	}
	l.Merge(suspects, "", now)
	assert.Assert(t, !l.IsQuarantined("w", now))
	l.Merge([]Record{crash("w", "elsewhere", "v")}, "", now)
	assert.Assert(t, l.IsQuarantined("w", now))
}

// Guards against an item that is left lying while all upstreams are idle, since its pause grew with each crash under it: however
// often, how far apart and in whatever work upstreams crashed, the item may run again within maxItemPause. It also guards against an
// item that is repeated without a pause.
func TestPausesOfAnItemAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLedger(), start
		works := Works{Request: "w", Parts: []string{PartWork("s", "part")}}
		crashes := rapid.IntRange(quarantineCrashes, 40).Draw(t, "crashes")
		for n := range crashes {
			now = now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "gap_ms")) * time.Millisecond)
			r := crash("", fmt.Sprint(n), fmt.Sprint("u", rapid.IntRange(0, 4).Draw(t, "upstream")))
			r.Incarnation = int64(n + 1)
			l.Merge(works.Records(r), "", now)
			l.Merge(Works{Request: fmt.Sprint("other", n), Parts: works.Parts}.Records(r), "", now)
		}
		until := l.PausedUntil(works, now)
		assert.Assert(t, !until.Before(now.Add(itemPause)), "paused for %v after %d crashes", until.Sub(now), crashes)
		assert.Assert(t, !until.After(now.Add(maxItemPause)), "paused for %v after %d crashes", until.Sub(now), crashes)
	})
}

// Guards against an item that crashes each upstream and is repeated as fast as these come back: there is a pause before each run after
// the second crash, and the pauses are maxItemPause once a run after one has crashed too.
func TestPausesOfAnItemGrowToTheirBound(t *testing.T) {
	l := NewLedger()
	now := start
	for n := range 30 {
		l.Merge([]Record{crash("w", fmt.Sprint(n), fmt.Sprint("u", n))}, "", now)
		until := l.PausedUntil(Works{Request: "w"}, now)
		switch n {
		case 0:
			assert.Assert(t, until.IsZero())
			until = now
		case 1:
			assert.Equal(t, until, now.Add(itemPause))
		default:
			assert.Equal(t, until, now.Add(maxItemPause))
		}
		now = until.Add(time.Second)
	}
}

// crashTogether records that upstreams crashed at one moment, each under works of its own.
func crashTogether(l *Ledger, works map[string][]string, incarnation int64, at time.Time) {
	for upstream, list := range works {
		for _, w := range list {
			r := crash(w, fmt.Sprint(upstream, incarnation, w), upstream)
			r.Incarnation = incarnation
			l.Merge([]Record{r}, "", at)
		}
	}
}

// Guards against requests that are refused for ten minutes, and items that wait, because several replicas were lost together
// while they ran them, more than once.
func TestCrashesWithOneCauseBlameNoRequest(t *testing.T) {
	l := NewLedger()
	now := start
	for n := range int64(maxExplained + 1) {
		now = start.Add(time.Duration(n) * 5 * time.Second)
		works := map[string][]string{"u0": {"unlucky"}}
		for u := range 5 {
			name := fmt.Sprint("u", u)
			works[name] = append(works[name], fmt.Sprint("other", u, n), fmt.Sprint("another", u, n))
		}
		crashTogether(l, works, n, now)
	}
	assert.Equal(t, l.QuarantinedFor(Works{Request: "unlucky"}, now), time.Duration(0))
	assert.Assert(t, l.PausedUntil(Works{Request: "unlucky"}, now).IsZero())
	assert.Equal(t, len(l.Quarantined(now)), 0)
}

// Guards against requests that crash upstreams and excuse each other's crashes, one after the other or at the same moments.
func TestCrashingRequestsDoNotExcuseEachOther(t *testing.T) {
	for name, c := range map[string]struct {
		gap time.Duration
		max int
	}{"one after the other": {60 * time.Millisecond, quarantineCrashes}, "together": {0, quarantineCrashes + maxExplained}} {
		t.Run(name, func(t *testing.T) {
			const requests = 8
			l, now, crashes := NewLedger(), start, map[string]int{}
			for round := range 20 {
				for n := range requests {
					work := fmt.Sprint("culprit", n)
					if l.QuarantinedFor(Works{Request: work}, now) > 0 {
						continue
					}
					crashes[work]++
					l.Merge([]Record{crash(work, fmt.Sprint(round), fmt.Sprintf("u%d.%d", n, round))}, "", now)
					now = now.Add(c.gap)
				}
				now = now.Add(time.Second)
			}
			for work, n := range crashes {
				assert.Assert(t, n <= c.max, "%s crashed %d upstreams", work, n)
			}
		})
	}
}

// Guards against the quarantine of a request that shared each crashed upstream with one that crashes them.
func TestNeighbourOfCulpritIsReleased(t *testing.T) {
	l := NewLedger()
	for _, u := range []string{"u", "v"} {
		l.Merge([]Record{crash("culprit", u, u), crash("neighbour", u, u)}, "", start)
		start := start.Add(time.Second)
		l.Merge([]Record{crash("culprit", "third", "w")}, "", start)
	}
	assert.Assert(t, !l.IsQuarantined("neighbour", start.Add(time.Second)))
	assert.Assert(t, l.IsQuarantined("culprit", start.Add(time.Second)))
}

// Guards against a quarantine that outlasts the disturbance, and against trials of a request that crashes upstreams that add
// up to more than three runs after its third crash.
func TestTrialsEndQuarantines(t *testing.T) {
	l := NewLedger()
	l.Merge([]Record{crash("w", "1", "u1"), crash("w", "2", "u2")}, "", start)
	assert.Equal(t, l.TrialIn(Works{Request: "w"}, start), trialPause)
	l.Merge([]Record{crash("other", "1", "u3")}, "", start.Add(trialPause))
	assert.Equal(t, l.TrialIn(Works{Request: "w"}, start.Add(trialPause)), calmTime, "an upstream has just crashed")
	now, trials := start, 0
	for now.Before(start.Add(Lifetime)) {
		now = now.Add(l.TrialIn(Works{Request: "w"}, now))
		trials++
		l.Merge([]Record{crash("w", fmt.Sprint("trial", trials), fmt.Sprint("v", trials))}, "", now)
	}
	assert.Assert(t, trials-1 <= 3, "%d trials", trials)
	l.Survived("w")
	assert.Equal(t, l.QuarantinedFor(Works{Request: "w"}, now), time.Duration(0))
}

// Guards against nodes whose ledgers stay different after they have exchanged all changes, in any order, with limited
// messages and repeated ones.
func TestLedgersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		now := start
		var ledgers [nodes]*Ledger
		var seen [nodes][nodes]int64
		for n := range ledgers {
			ledgers[n] = NewLedger()
		}
		exchange := func(from, to int) {
			records, revision := ledgers[from].Since(seen[to][from], fmt.Sprint(to), 2, now)
			ledgers[to].Merge(records, fmt.Sprint(from), now)
			seen[to][from] = revision
		}
		draw := func(of string, n int) int { return rapid.IntRange(0, n-1).Draw(t, of) }
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			l, work := ledgers[draw("node", nodes)], fmt.Sprint("w", draw("work", 3))
			switch draw("kind", 5) {
			case 4:
				l.Merge([]Record{{Work: work, Run: fmt.Sprint(draw("run", 40)), Kind: Suspected, Upstream: "u"}}, "", now)
			case 0:
				l.Merge([]Record{crash(work, fmt.Sprint(step), fmt.Sprint("u", draw("upstream", 3)))}, "", now)
			case 1:
				l.Survived(work)
			default:
				exchange(draw("from", nodes), draw("to", nodes))
			}
		}
		for range 100 {
			for from := range nodes {
				for to := range nodes {
					exchange(from, to)
				}
			}
		}
		for w := range 3 {
			work := fmt.Sprint("w", w)
			for n := 1; n < nodes; n++ {
				got, want := ledgers[n].Failures(work, Crashed), ledgers[0].Failures(work, Crashed)
				if got != want || ledgers[n].Len() != ledgers[0].Len() {
					t.Fatalf("%s: node %d counts %d of %d records, node 0 %d of %d", work, n, got, ledgers[n].Len(), want, ledgers[0].Len())
				}
			}
		}
	})
}

// Guards against a crash that counts at the node that confirmed it after another node has cleared its suspicion.
func TestClearedSuspicionReachesTheNodeThatConfirmedIt(t *testing.T) {
	suspected := Record{Work: "w", Run: "1", Kind: Suspected, Upstream: "u"}
	a, b := NewLedger(), NewLedger()
	a.Merge([]Record{suspected}, "", start)
	b.Merge([]Record{suspected}, "", start)
	a.Survived("w")
	b.Merge([]Record{crash("w", "1", "u")}, "", start)
	confirmed, _ := b.Since(0, "a", 10, start)
	a.Merge(confirmed, "b", start)
	back, _ := a.Since(0, "b", 10, start)
	b.Merge(back, "a", start)
	assert.Equal(t, b.Failures("w", Crashed), 0)
	assert.Equal(t, a.Failures("w", Crashed), 0)
}

// Guards against a flood of failed runs that pushes out the records of a quarantined request, and against a ledger that
// grows without limit.
func TestFloodKeepsQuarantine(t *testing.T) {
	l := NewLedger()
	l.Merge([]Record{crash("culprit", "1", "u"), crash("culprit", "2", "v")}, "", start)
	for n := range 2 * capacity {
		l.Merge([]Record{crash(fmt.Sprint("w", n), "1", "u")}, "", start.Add(time.Second))
	}
	assert.Assert(t, l.Len() <= capacity)
	assert.Assert(t, l.QuarantinedFor(Works{Request: "culprit"}, start.Add(time.Second)) > 0)
}

// Guards against requests that crash upstreams one after the other and excuse each other.
func TestCrashesOfOneRequestExplainNoOthers(t *testing.T) {
	const within = 250 * time.Millisecond
	l := NewLedger()
	now, runs := start, 0
	lostTogether := func(upstream, work string, at time.Time) bool {
		runs++
		l.Merge([]Record{crash(work, fmt.Sprint(runs), upstream)}, "", at)
		return l.LostTogether(work, fmt.Sprint(runs), within)
	}
	for n := range 8 {
		now = now.Add(20 * time.Millisecond)
		f := fmt.Sprint("culprit", n)
		assert.Assert(t, !lostTogether(fmt.Sprint("u", n%6), f, now), f)
		l.Convict(f) // Its trial crashes.
	}
	assert.Assert(t, !lostTogether("u1", "same", now))
	assert.Assert(t, !lostTogether("u2", "same", now))
	assert.Assert(t, !lostTogether("u3", "same", now), "the request ran on all upstreams that crashed")
	assert.Assert(t, !lostTogether("u4", "first", now.Add(time.Second)))
	assert.Assert(t, !lostTogether("u5", "second", now.Add(time.Second)))
	assert.Assert(t, lostTogether("u6", "third", now.Add(time.Second)))
	l.Merge([]Record{crash("a", "1", "v1"), crash("b", "1", "v2")}, "other", now.Add(2*time.Second))
	assert.Assert(t, !lostTogether("v3", "c", now.Add(2*time.Second)), "this node saw no other crash")
}

// Guards against an upstream without an incarnation that counts as one process, however often it crashes.
func TestRestartsWithoutIncarnationAreToldApart(t *testing.T) {
	l := NewLedger()
	for n := range 2 {
		at := start.Add(time.Duration(n) * time.Second)
		l.Merge([]Record{crash("w", fmt.Sprint(n), "u"), crash("w", fmt.Sprint(n, "too"), "u")}, "", at)
		assert.Equal(t, l.IsQuarantined("w", at), n == 1)
	}
}
