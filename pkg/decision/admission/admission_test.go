package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against serving a lower class first, against lost items, and against institutions that don't get their share:
// while both institutions wait, their served work per share differs by at most one item of each.
func TestQueueServesRankThenShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		now := time.Unix(0, 0)
		shares := map[string]float64{"a": rapid.Float64Range(0.2, 5).Draw(t, "a"), "b": rapid.Float64Range(0.2, 5).Draw(t, "b")}
		waiting := map[[2]any]int{}
		id := 0
		for range rapid.IntRange(1, 60).Draw(t, "items") {
			it := Item{ID: fmt.Sprint(id), Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
				Institution: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "institution"), Cost: 1}
			it.Share = shares[it.Institution]
			waiting[[2]any{it.Rank, it.Institution}]++
			id++
			q.Push(now, it)
		}
		served, last := map[string]float64{}, 0
		for q.Len() > 0 {
			it, ok := q.Pop()
			assert.Assert(t, ok && it.Rank >= last, "rank %d after %d", it.Rank, last)
			if it.Rank > last {
				clear(served)
			}
			last = it.Rank
			served[it.Institution] += 1 / it.Share
			waiting[[2]any{it.Rank, it.Institution}]--
			if waiting[[2]any{it.Rank, "a"}] > 0 && waiting[[2]any{it.Rank, "b"}] > 0 {
				assert.Assert(t, math.Abs(served["a"]-served["b"]) <= 1/shares["a"]+1/shares["b"]+1e-9, "%v with shares %v", served, shares)
			}
		}
		for k, n := range waiting {
			assert.Equal(t, n, 0, "%v", k)
		}
	})
}

// Guards, under random arrivals, releases and batch runs, against online slots above the limit, requests that get two
// answers or none, grants while a request runs alone, a queue above its bound, and grants after the deadline.
func TestStateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.MaxQueue = 5
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		s, now := NewState(settings, limit), time.Unix(0, 0)
		granted, waitingItems, alone, batch := map[string]bool{}, map[string]Item{}, map[string]bool{}, map[string]bool{}
		apply := func(ds []Decision) {
			for _, d := range ds {
				switch d.Kind {
				case Grant, Drop:
					_, waits := waitingItems[d.Item.ID]
					assert.Assert(t, waits, "a second answer for %s: %s", d.Item.ID, d.Reason)
					delete(waitingItems, d.Item.ID)
					if d.Kind == Grant {
						assert.Assert(t, d.Item.Deadline.After(now), "granted after the deadline")
						granted[d.Item.ID] = true
					} else {
						assert.Assert(t, d.RetryAfter >= settings.MinRetryAfter)
					}
				case Preempt:
					assert.Assert(t, batch[d.Item.ID], "preempted %s, which is not a batch run", d.Item.ID)
					delete(batch, d.Item.ID)
				}
			}
			online, _, waiting := s.Counts()
			assert.Assert(t, online <= limit && waiting <= settings.MaxQueue && waiting == len(waitingItems),
				"%d online, %d waiting", online, waiting)
			for id := range granted {
				assert.Assert(t, !alone[id] || len(granted) == 1, "others run beside a suspect")
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint(i)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				it := Item{ID: id, Rank: rapid.IntRange(0, 1).Draw(t, "rank"), Alone: rapid.IntRange(0, 5).Draw(t, "alone") == 0,
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "deadline")) * time.Millisecond)}
				alone[id], waitingItems[id] = it.Alone, it
				apply(s.Offer(now, it, Unlimited))
			case 2:
				for g := range granted {
					delete(granted, g)
					apply(s.Release(now, g))
					break
				}
			case 3:
				if s.StartBatch(now, Item{ID: id}, limit) {
					batch[id] = true
				}
			case 4:
				apply(s.Advance(now))
			}
		}
		for id := range granted {
			delete(granted, id)
			apply(s.Release(now, id))
		}
		apply(s.Advance(now.Add(time.Minute)))
		assert.Equal(t, len(waitingItems), 0, "requests without an answer after all deadlines")
	})
}

// Guards against preempting a run that loses more work than another: the run with the fewest tokens is preempted
// first, unless a longer one is resumable.
func TestPreemptionLosesLeastWork(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewState(DefaultSettings(), 3)
	for i, p := range []struct {
		tokens    int
		resumable bool
	}{{500, false}, {20, false}, {100, true}} {
		assert.Assert(t, s.StartBatch(now, Item{ID: fmt.Sprint(i)}, 3))
		s.SetProgress(fmt.Sprint(i), p.tokens, p.resumable)
	}
	var preempted []string
	for i := range 2 {
		for _, d := range s.Offer(now, Item{ID: fmt.Sprint("online", i)}, Unlimited)[1:] {
			preempted = append(preempted, d.Item.ID)
		}
	}
	assert.DeepEqual(t, preempted, []string{"2", "1"})
	ds := s.Release(now, "2")
	assert.Assert(t, len(ds) == 1 && ds[0].Kind == Grant && ds[0].Item.ID == "online0", "%v", ds)
}

// Guards against queueing requests that overload makes late anyway: a request that can't start in time must be refused
// on arrival with a retry time, and a full queue must drop the request of lowest priority, not the newest.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	settings := DefaultSettings()
	settings.MaxQueue = 2
	s := NewState(settings, 1)
	s.ObserveHold(3 * time.Second)
	s.Offer(now, Item{ID: "running"}, Unlimited)
	d := s.Offer(now, Item{ID: "late", LatestStart: now.Add(time.Second)}, Unlimited)[0]
	assert.Assert(t, d.Kind == Drop && d.RetryAfter >= 3*time.Second, "%+v", d)
	s.Offer(now, Item{ID: "low1", Rank: 2}, Unlimited)
	s.Offer(now, Item{ID: "low2", Rank: 2}, Unlimited)
	ds := s.Offer(now, Item{ID: "high", Rank: 0}, Unlimited)
	assert.Assert(t, len(ds) == 2 && ds[0].Kind == Wait && ds[1].Kind == Drop && ds[1].Item.ID == "low2", "%+v", ds)
}

// Guards against a limit that stays above the load at which the objective is met or never recovers, and against batch
// work that keeps its slots while the online tail misses its objective.
func TestTunerFollowsTheOnlineTail(t *testing.T) {
	for _, batch := range []int{0, 8} {
		now, tuner := time.Unix(0, 0), NewTuner(32)
		var out TunerOutput
		run := func(seconds int, knee float64) {
			for range seconds * 50 {
				now = now.Add(20 * time.Millisecond)
				load := math.Min(32, float64(out.Limit))
				if batch > 0 {
					load = 16 + float64(out.BatchSlots)/2
				}
				tuner.Observe(now, load/knee, 0.05)
				out = tuner.Update(now, TunerInput{Slots: 32, PeakSlots: out.Limit, UsedBatchSlots: batch,
					OnlineTailWeight: 1, MeanHold: 100 * time.Millisecond})
			}
		}
		out = TunerOutput{Limit: 32, BatchSlots: 32}
		run(30, 20)
		if batch == 0 {
			assert.Assert(t, out.Limit >= 15 && out.Limit <= 21, "limit %d at an objective met up to 20", out.Limit)
		} else {
			assert.Assert(t, out.Limit == 32 && out.BatchSlots <= 6, "batch slots %d of limit %d while online misses", out.BatchSlots, out.Limit)
		}
		run(60, 100)
		assert.Assert(t, out.Limit == 32 && out.BatchSlots >= 30, "limit %d, batch slots %d after recovery", out.Limit, out.BatchSlots)
	}
}

// Guards against a new owner that starts an idle upstream with a low limit and refuses requests of a burst.
func TestTunerStartsAtReportedSlots(t *testing.T) {
	tuner := NewTuner(4)
	now := time.Unix(0, 0)
	assert.Equal(t, tuner.Update(now, TunerInput{Slots: 64}).Limit, 64)
	assert.Equal(t, tuner.Update(now, TunerInput{Slots: 16}).Limit, 16)
	assert.Equal(t, tuner.Update(now, TunerInput{Slots: 64}).Limit, 16)
}
