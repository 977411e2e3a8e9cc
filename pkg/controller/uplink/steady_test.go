package uplink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/decision/reach"
)

// Guards against an upstream that counts as steady over a pause in which it, or this node, did not run.
func TestSteadyTimeBeginsAnewAfterAPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Options{})
		c, at, steady := l.counters("upstream"), time.Second, time.Duration(0)
		c.countRead(at)
		for range rapid.IntRange(1, 50).Draw(t, "reads") {
			gap := time.Duration(rapid.IntRange(0, 2*int(reach.RunningLimit)).Draw(t, "gap"))
			at += gap
			if steady += gap; gap >= reach.RunningLimit {
				steady = 0
			}
			c.countRead(at)
			assert.Equal(t, l.Steady("upstream"), steady)
		}
		assert.Equal(t, l.Steady("never heard"), time.Duration(0))
	})
}
