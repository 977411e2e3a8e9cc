package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// burst is the pattern of both deployments: 0.383 times the mean load, and 1.87 times for 2.4 s in every 5.8 s.
func burst(mean float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if (t % (5800 * time.Millisecond)) >= 3400*time.Millisecond {
			return 1.87 * mean
		}
		return 0.383 * mean
	}
}

// onTimePart is the part of the streams that must be on time: the target says 95 in 100.
const onTimePart = 0.95

// Guards against late streams in bursts while batch items fill the troughs, at the size of one deployment and of a grown
// one: before nodes had free slots of their own, a fifth was late at 55 nodes.
func TestBurstsWithBatchAreOnTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		seeds uint64
		p     modelParams
	}{
		{"8 nodes", 3, modelParams{nodes: 8, engines: 12, slots: 8, rate: burst(55), batch: 6.9, stream: 700 * time.Millisecond, item: 5 * time.Second, exchange: 55 * time.Millisecond}},
		{"55 nodes", 1, modelParams{nodes: 55, engines: 89, slots: 7, rate: burst(468), batch: 58, stream: 560 * time.Millisecond, item: 3500 * time.Millisecond, exchange: 58 * time.Millisecond}},
	} {
		for seed := range c.seeds {
			c.p.seed, c.p.first, c.p.objective, c.p.length = seed, 70*time.Millisecond, 300*time.Millisecond, 45*time.Second
			m := newModel(c.p).run()
			t.Logf("%s seed %d: %d arrived, %d late, %d refused, %d preempted, %d items done", c.name, seed, m.arrived, m.late, m.refused, m.preempted, m.batchDone)
			assert.Assert(t, float64(m.onTime) >= onTimePart*float64(m.onTime+m.late+m.refused), "%s seed %d", c.name, seed)
			// Items are due in 18 s, so those that came earlier than that must be done.
			assert.Assert(t, m.batchDone >= m.batchDue, "%s seed %d: %d items due", c.name, seed, m.batchDue)
		}
	}
}

// Guards against requests that wait for places that can't come in time: at one and a half times the capacity those that are
// taken are on time, and the others are refused at once.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	p := modelParams{
		nodes: 8, engines: 12, slots: 8, rate: func(time.Duration) float64 { return 1.5 * 12 * 8 / 0.7 }, stream: 700 * time.Millisecond,
		first: 70 * time.Millisecond, objective: 300 * time.Millisecond, exchange: 55 * time.Millisecond, length: 20 * time.Second, seed: 1,
	}
	m := newModel(p).run()
	t.Logf("%d arrived, %d on time, %d late, %d refused", m.arrived, m.onTime, m.late, m.refused)
	assert.Assert(t, m.refused > 0)
	// 95 % of what the slots can do is the target of the design for 150 % load.
	assert.Assert(t, float64(m.onTime+m.late) >= 0.95*p.length.Seconds()*12*8/0.7)
	assert.Assert(t, float64(m.onTime) >= onTimePart*float64(m.onTime+m.late))
}

// Guards against requests that wait behind batch runs which can't yield, since their items would miss their time: a node that
// holds them to be places keeps requests until they are late, where a refusal would bring them back in time.
func TestNobodyWaitsBehindFirmBatchRuns(t *testing.T) {
	p := modelParams{
		nodes: 8, engines: 12, slots: 8, rate: burst(55), batch: 14, firm: true, stream: 700 * time.Millisecond, item: 5 * time.Second,
		first: 70 * time.Millisecond, objective: 300 * time.Millisecond, exchange: 55 * time.Millisecond, length: 30 * time.Second, seed: 1,
	}
	m := newModel(p).run()
	t.Logf("%d arrived, %d on time, %d late, %d refused", m.arrived, m.onTime, m.late, m.refused)
	assert.Assert(t, m.refused > 0)
	assert.Assert(t, float64(m.onTime) >= onTimePart*float64(m.onTime+m.late))
}

// Guards against callers that come back while the burst in which they were refused still lasts, are served late and take the
// places of newcomers: bursts of 2.4 s at 1.6 times the capacity, with 3.4 s of little load between them. A caller that comes
// back is worth half of a newcomer if it is then served on time, and a fifth of that late.
func TestRefusedCallersComeBackAfterTheBurst(t *testing.T) {
	p := modelParams{
		nodes: 8, engines: 12, slots: 8, rate: burst(117), returns: true, stream: 700 * time.Millisecond,
		first: 70 * time.Millisecond, objective: 300 * time.Millisecond, exchange: 55 * time.Millisecond, length: 40 * time.Second, seed: 1,
	}
	m := newModel(p).run()
	t.Logf("%d arrived, %d on time, %d late, %d came back, %d of them on time, %d refused", m.arrived, m.onTime, m.late, m.returned, m.returnedOnTime, m.refused)
	// Half of the returns fall into the same burst even if all wait the 1.6 s that callers allow at most; of the rest nearly
	// all find a place.
	assert.Assert(t, m.returned > 0)
	assert.Assert(t, float64(m.returnedOnTime) >= 0.5*float64(m.returned))
}

func states(n int, slots int) (*State, *rand.Rand) {
	s := NewState("z")
	var list []Upstream
	for i := range n {
		list = append(list, Upstream{ID: string(rune('a' + i)), Address: string(rune('a' + i)), Service: "s", AvailabilityZone: "z", Slots: slots})
	}
	s.SetUpstreams(list)
	return s, rand.New(rand.NewPCG(1, 2))
}

func never(string) bool { return false }

// Guards against a refusal while a place is free and the hub does not answer.
func TestNeverRefusesWhileASlotIsFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, rng := states(4, 4)
		now := time.Unix(100, 0)
		totals := map[string]Load{}
		free := 0
		for _, id := range []string{"a", "b", "c", "d"} {
			l := Load{Online: rapid.IntRange(0, 6).Draw(t, "online"), Batch: rapid.IntRange(0, 4).Draw(t, "batch")}
			l.Firm = rapid.IntRange(0, l.Batch).Draw(t, "firm")
			totals[id] = l
			free += max(0, 4-l.Online-l.Batch)
		}
		s.SetTotals(totals, nil, now)
		c := s.Online(Need{Service: "s", Objective: 300 * time.Millisecond, Remaining: time.Second, Asked: true}, never, now, rng)
		if free > 0 && c.Verdict != Send {
			t.Fatalf("%v with %d free slots", c.Verdict, free)
		}
	})
}

// Guards against slots that are given to two nodes, and against more slots than are free.
func TestGrantsNeverExceedFreeSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := states(5, 8)
		now := time.Unix(100, 0)
		totals, given := map[string]Load{}, map[string]int{}
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			l := Load{Online: rapid.IntRange(0, 9).Draw(t, "online"), Batch: rapid.IntRange(0, 9).Draw(t, "batch")}
			l.Firm = rapid.IntRange(0, l.Batch).Draw(t, "firm")
			totals[id] = l
		}
		for range rapid.IntRange(1, 12).Draw(t, "nodes") {
			want := Want{Items: rapid.IntRange(0, 20).Draw(t, "items"), Rate: rapid.Float64Range(0, 100).Draw(t, "rate")}
			want.Urgent = rapid.IntRange(0, want.Items).Draw(t, "urgent")
			g := s.Grants("s", want, want, totals, given, never, now)
			for _, slots := range []map[string]int{g.Online, g.Batch} {
				for id, n := range slots {
					given[id] += n
				}
			}
		}
		for id, n := range given {
			if l := totals[id]; n > max(0, 8-l.Online-l.Batch) {
				t.Fatalf("%d slots given on %s with load %+v", n, id, l)
			}
		}
	})
}

// Guards against a service that is left without any upstream because all of them failed.
func TestEjectionNeverEmptiesAService(t *testing.T) {
	s, rng := states(3, 4)
	now := time.Unix(100, 0)
	for range 5 {
		for _, id := range []string{"a", "b", "c"} {
			s.Failed(id, true, now, rng)
		}
	}
	c := s.Online(Need{Service: "s", Objective: time.Second, Remaining: time.Second}, never, now, rng)
	assert.Equal(t, c.Verdict, Send)
}

// Guards against an upstream that is chosen although it just failed to answer, and against one that never comes back.
func TestFailedUpstreamReturnsLater(t *testing.T) {
	s, rng := states(2, 4)
	now := time.Unix(100, 0)
	d := s.Failed("a", true, now, rng)
	assert.Assert(t, d > 0)
	for range 20 {
		c := s.Online(Need{Service: "s", Objective: time.Second, Remaining: time.Second}, never, now, rng)
		assert.Equal(t, c.Upstream.ID, "b")
	}
	seen := map[string]bool{}
	for range 50 {
		c := s.Online(Need{Service: "s", Objective: time.Second, Remaining: time.Second}, never, now.Add(d), rng)
		seen[c.Upstream.ID] = true
	}
	assert.Assert(t, seen["a"])
}

// Guards against new work for an upstream that is leaving.
func TestDrainingUpstreamGetsNothing(t *testing.T) {
	s, rng := states(2, 4)
	now := time.Unix(100, 0)
	s.SetTotals(nil, nil, now)
	s.SetGrants(Grant{Online: map[string]int{"a": 3}, Batch: map[string]int{"a": 3}})
	s.SetUpstreams([]Upstream{{ID: "a", Address: "a", Service: "s", Slots: 4, Draining: true}, {ID: "b", Address: "b", Service: "s", Slots: 4}})
	for range 20 {
		c := s.Online(Need{Service: "s", Objective: time.Second, Remaining: time.Second}, never, now, rng)
		assert.Equal(t, c.Upstream.ID, "b")
	}
	_, ok := s.Batch("s", now, rng)
	assert.Assert(t, !ok)
}

// Guards against a Retry-After that the caller can't wait for, or that brings all callers back at once.
func TestRetryAfterIsSpreadWithinWhatCallersWait(t *testing.T) {
	s, rng := states(1, 1)
	now := time.Unix(100, 0)
	s.SetTotals(map[string]Load{"a": {Online: 10}}, nil, now)
	seen := map[time.Duration]bool{}
	for range 50 {
		c := s.Online(Need{Service: "s", Objective: 300 * time.Millisecond, Remaining: 3 * time.Second, Asked: true, Answered: true}, never, now, rng)
		assert.Equal(t, c.Verdict, Refuse)
		assert.Assert(t, c.RetryAfter > 0 && c.RetryAfter <= time.Second)
		seen[c.RetryAfter.Round(10*time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) > 1)
}
