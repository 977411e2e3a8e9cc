package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against grants that together exceed the limits: for any asks and returns of the nodes, the tokens granted less
// those returned are at most burst + rate * time, and the slots granted at most the concurrency.
func TestGrantsStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lim := Limit{Rate: rapid.Float64Range(0.5, 500).Draw(t, "rate"), Burst: rapid.Float64Range(1, 300).Draw(t, "burst"),
			Concurrency: rapid.IntRange(1, 20).Draw(t, "concurrency")}
		l, now := NewAllocator(), time.Unix(0, 0)
		start, net := now, 0.0
		slots, lastAsk, outstanding := map[string]int{}, map[string]time.Time{}, map[string]float64{}
		for range rapid.IntRange(1, 80).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			node := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "node"))
			returned := min(outstanding[node], float64(rapid.IntRange(0, 5).Draw(t, "returned")))
			for n, at := range lastAsk {
				// A node renews within SlotLife while it has requests in flight, so it has none by now.
				if now.Sub(at) > SlotLife {
					slots[n] = 0
				}
			}
			inFlight := rapid.IntRange(0, slots[node]).Draw(t, "inflight")
			g := l.Grant(now, lim, node, Ask{Demand: rapid.Float64Range(0, 100).Draw(t, "demand"), Returned: returned,
				Want: float64(rapid.IntRange(0, 50).Draw(t, "want")), InFlight: inFlight,
				WantSlots: inFlight + rapid.IntRange(0, 5).Draw(t, "more")})
			net += g.Tokens - returned
			outstanding[node] += g.Tokens - returned
			assert.Assert(t, net <= lim.Burst+lim.Rate*now.Sub(start).Seconds()+1e-6, "granted %v", net)
			slots[node], lastAsk[node] = g.Slots, now
			sum := 0
			for _, n := range slots {
				sum += n
			}
			assert.Assert(t, sum <= lim.Concurrency, "granted %d slots of %d", sum, lim.Concurrency)
		}
	})
}

// Guards against a busy node that takes the tokens of a less busy one, and against tokens lost between grants: two nodes
// with demands of 3:1 must share a scarce rate about 3:1 and use nearly all of it.
func TestScarceTokensFollowDemand(t *testing.T) {
	lim := Limit{Rate: 100, Burst: 10}
	l, now := NewAllocator(), time.Unix(0, 0)
	buckets := []*LocalBucket{{}, {}}
	passed := []float64{0, 0}
	for tick := range 20000 {
		now = now.Add(time.Millisecond)
		for i, every := range []int{3, 9} {
			if tick%every != 0 {
				continue
			}
			bucket := buckets[i]
			bucket.Arrive(now)
			v, _ := bucket.Take(now)
			if v == AskOwner {
				bucket.Granted(now, l.Grant(now, lim, fmt.Sprint(i), bucket.Ask(now, 1, 0)))
				v, _ = bucket.Take(now)
			}
			if v == Pass {
				passed[i]++
			}
		}
	}
	total := passed[0] + passed[1]
	assert.Assert(t, total > 0.9*2000 && total <= 2000+lim.Burst, "passed %v", passed)
	ratio := passed[0] / passed[1]
	assert.Assert(t, ratio > 2 && ratio < 4, "passed %v", passed)
}
