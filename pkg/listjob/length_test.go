package listjob

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/routing"
)

// Guards against items that keep their slots although they could yield them and still finish in time: after a
// fleet-wide restart all items had half of their time left, and online requests were late for ten seconds.
func TestLengthEstimatesAdapt(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	service := &routing.Service{Name: "s", TokensPerEvent: 7}
	l := newLengthModel()
	assert.Equal(t, l.estimateEvents(service, 2240), 320)
	short, n := 0, 400
	for i := range n {
		// Outputs on the deployments have 169 events with a standard deviation of 40; 320 are announced.
		events := int(169 + 40*rng.NormFloat64())
		// A yieldMargin of 1.5 s corresponds to 48 events.
		if i >= 100 && l.estimateEvents(service, 2240)+48 < events {
			short++
		}
		l.observe(service, 2240, events)
	}
	assert.Assert(t, l.estimateEvents(service, 2240) < 235, "%d", l.estimateEvents(service, 2240))
	assert.Assert(t, short <= n*5/100, "%d of %d estimates are too short", short, n)
	restarted := newLengthModel()
	for range 8 {
		restarted.observe(service, 2240, 169)
	}
	assert.Assert(t, restarted.estimateEvents(service, 2240) < 280, "%d", restarted.estimateEvents(service, 2240))
	assert.Equal(t, l.estimateEvents(&routing.Service{Name: "plain"}, 2240), 0)
	assert.Equal(t, l.estimateEvents(nil, 2240), 0)
}

// Guards against items that start too late to be done in time, because their engine takes twice as long for an event as was
// assumed for all deployments.
func TestRemainingTimeFollowsTheEngine(t *testing.T) {
	c := New(Options{})
	service := &routing.Service{Name: "model", TokensPerEvent: 16}
	it := &item{Item: Item{Tokens: 1600}}
	assert.Equal(t, c.remainingTime(it, service), 100*defaultEventInterval)
	const interval = 62 * time.Millisecond
	for range 5 {
		c.lengths.observePace("model", 50, 50*interval)
		c.lengths.observePace("other", 50, 50*time.Second)
		c.lengths.observePace("model", 1, time.Minute) // A run that has hardly begun says nothing.
	}
	assert.Equal(t, c.remainingTime(it, service), 100*interval)
}
