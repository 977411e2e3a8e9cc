package listjob

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/routing"
)

// Guards against items that hold their slots although they would be done in time: after a fleet-wide restart all items had half
// of their time left, and online requests were late for ten seconds.
func TestLengthsAreLearnt(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	service := &routing.Service{Name: "s", TokensPerEvent: 7}
	l := newLengths()
	assert.Equal(t, l.events(service, 2240), 320)
	short, n := 0, 400
	for i := range n {
		// Answers of the deployments have 169 events, give or take 40, of 320 that are announced.
		events := int(169 + 40*rng.NormFloat64())
		// A yieldMargin of 1.5 s is worth 48 events.
		if i >= 100 && l.events(service, 2240)+48 < events {
			short++
		}
		l.finished(service, 2240, events)
	}
	assert.Assert(t, l.events(service, 2240) < 235, "%d", l.events(service, 2240))
	assert.Assert(t, short <= n*5/100, "%d of %d estimates are too short", short, n)
	restarted := newLengths()
	for range 8 {
		restarted.finished(service, 2240, 169)
	}
	assert.Assert(t, restarted.events(service, 2240) < 280, "%d", restarted.events(service, 2240))
	assert.Equal(t, l.events(&routing.Service{Name: "plain"}, 2240), 0)
	assert.Equal(t, l.events(nil, 2240), 0)
}
