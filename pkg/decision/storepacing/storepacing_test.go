package storepacing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	modelNodes   = 69
	modelLoops   = 5
	modelAway    = 6 * time.Second
	modelTick    = 5 * time.Millisecond
	hubEvery     = 300 * time.Millisecond
	modelCalls   = 1000
	modelRecover = time.Second
)

// modelNode is a node with loops that call the store again a short time after each failure, as the store's watches do.
type modelNode struct {
	circuit *Circuit
	// next is when each loop wants to call.
	next []time.Time
	// reported is the hub's state that the node learns at its next exchange.
	exchangeAt time.Time
	worksAt    time.Time
}

// runModel runs a disruption and returns the calls in it and how long after it the last node had an answer. hubKnows is whether the hub's
// state reaches the other nodes. Calls that wait fail with the probe.
func runModel(seed uint64, hubKnows, paced bool) (calls int, recovery time.Duration) {
	r := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	end := start.Add(modelAway)
	nodes := make([]*modelNode, modelNodes)
	for n := range nodes {
		nodes[n] = &modelNode{circuit: New(r.Float64), exchangeAt: start.Add(time.Duration(r.Int64N(int64(hubEvery))))}
		for range modelLoops {
			first := start.Add(time.Duration(r.Int64N(int64(50 * time.Millisecond))))
			if n > 0 {
				first = first.Add(400 * time.Millisecond) // A follower's watches begin after the hub's have failed.
			}
			nodes[n].next = append(nodes[n].next, first)
		}
	}
	for now := start; now.Before(end.Add(5 * time.Second)); now = now.Add(modelTick) {
		away, working := now.Before(end), 0
		for n, node := range nodes {
			if hubKnows && n > 0 && !now.Before(node.exchangeAt) {
				node.circuit.HubReports(nodes[0].circuit.Disrupted(now), true, now)
				if node.circuit.Returned(now) {
					nodes[0].circuit.NodeReturned(now)
				}
				node.exchangeAt = now.Add(hubEvery)
			}
			for l := range node.next {
				if now.Before(node.next[l]) || !node.worksAt.IsZero() && !away {
					continue
				}
				ticket, ok := Ticket{}, true
				if paced {
					ticket, ok, _ = node.circuit.Admit(Routine, false, now)
				}
				if !ok {
					continue
				}
				if away {
					calls++
					node.circuit.Ended(ticket, Failed, now)
					node.next[l] = now.Add(50*time.Millisecond + time.Duration(r.Int64N(int64(300*time.Millisecond))))
					continue
				}
				node.circuit.Ended(ticket, Answered, now)
				node.worksAt = now
			}
			if !node.worksAt.IsZero() {
				working++
			}
		}
		if working == modelNodes {
			return calls, now.Sub(end)
		}
	}
	return calls, time.Hour
}

// Guards against a store that resets calls for six seconds and gets, from 69 nodes with several loops each, calls without a bound, and against
// nodes that notice its return late.
func TestCallsWhileTheStoreIsDisruptedAreFew(t *testing.T) {
	unpaced, _ := runModel(1, true, false)
	worst, late := 0, time.Duration(0)
	for seed := range uint64(50) {
		calls, recovery := runModel(seed, true, true)
		worst, late = max(worst, calls), max(late, recovery)
	}
	t.Logf("calls unpaced %d, paced at most %d; last recovery after %v", unpaced, worst, late)
	assert.Assert(t, unpaced > 8*modelCalls)
	assert.Assert(t, worst <= modelCalls, "%d calls", worst)
	assert.Assert(t, late <= modelRecover, "recovery after %v", late)
}

// Guards against nodes without a hub's answers, or with a hub of an earlier build, that notice the store's return late.
func TestNodesWithoutTheHubsReportsRecoverInTime(t *testing.T) {
	for seed := range uint64(50) {
		_, recovery := runModel(seed, false, true)
		assert.Assert(t, recovery <= modelRecover, "recovery after %v", recovery)
	}
}

// Guards against a single lost answer that delays other calls.
func TestOneFailureDelaysNoCall(t *testing.T) {
	c, now := New(rand.Float64), time.Unix(1000, 0)
	assert.Assert(t, !c.Ended(Ticket{}, Failed, now))
	_, ok, _ := c.Admit(Routine, false, now)
	assert.Assert(t, ok)
	c.Ended(Ticket{}, Answered, now)
	c.Ended(Ticket{}, Failed, now)
	assert.Assert(t, !c.Open(), "failures that do not follow each other count together")
}

// Guards against a node with a sound path to the store that is held up because only the hub is cut off from it.
func TestNodeThatReachesTheStoreIgnoresTheHubsDisruption(t *testing.T) {
	c, now := New(rand.Float64), time.Unix(1000, 0)
	c.HubReports(true, true, now)
	probe, ok, _ := c.Admit(Routine, false, now)
	assert.Assert(t, ok, "the first call is delayed")
	_, ok, _ = c.Admit(Routine, false, now)
	assert.Assert(t, !ok)
	assert.Assert(t, c.Ended(probe, Answered, now.Add(time.Millisecond)))
	for n := range 10 {
		at := now.Add(time.Duration(n) * hubEvery)
		c.HubReports(true, true, at)
		_, ok, _ = c.Admit(Routine, false, at)
		assert.Assert(t, ok)
	}
}

// Guards against a call that waits for good: whatever happened before, a call that asks again when told to is sent within the longest pause,
// and never more than one probe at a time unless the one before is overdue.
func TestEachWaitEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") }), time.Unix(1000, 0)
		var sent []Ticket
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if ticket, ok, at := c.Admit(Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")), rapid.Bool().Draw(t, "passed on"), now); ok {
					sent = append(sent, ticket)
				} else {
					assert.Assert(t, at.After(now))
				}
			case 1:
				if len(sent) > 0 {
					c.Ended(sent[0], Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), now)
					sent = sent[1:]
				}
			case 2:
				c.HubReports(rapid.Bool().Draw(t, "disrupted"), rapid.Bool().Draw(t, "known"), now)
			case 3:
				c.NodeReturned(now)
			}
		}
		begun := now
		for {
			_, ok, at := c.Admit(Routine, true, now)
			if ok {
				break
			}
			assert.Assert(t, at.After(now))
			now = at
		}
		assert.Assert(t, now.Sub(begun) <= followerPause*5/4+probeOverdue, "waited %v", now.Sub(begun))
	})
}
