package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/serving"
)

// Guards against ejection by single failures under load or by the bad requests of one caller.
func TestSingleFailuresDoNotEject(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	tracker := New(now)
	for i := range 1000 {
		now = now.Add(100 * time.Millisecond)
		result := serving.RunOK
		switch {
		case i%50 == 0:
			result = serving.RunCrashed
		case i%3 == 0:
			result = serving.RunRejected
		}
		tracker.RecordRun(now, result, random)
		state, _, reason := tracker.State()
		assert.Equal(t, state, blackboard.HealthReady, reason)
	}
}

// Guards against returning a broken upstream at constant intervals, and against full load immediately after the return.
func TestEjectionDoublesAndReturnIsGradual(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	tracker := New(now)
	var ejections []time.Duration
	for range 4 {
		tracker.RecordRun(now, serving.RunNotStarted, random)
		tracker.RecordRun(now, serving.RunNotStarted, random)
		began := now
		assert.Equal(t, tracker.WorkShare(now), 0.0)
		for state := blackboard.HealthEjected; state == blackboard.HealthEjected; state, _, _ = tracker.State() {
			now = now.Add(100 * time.Millisecond)
			tracker.Advance(now)
		}
		ejections = append(ejections, now.Sub(began))
		assert.Assert(t, tracker.WorkShare(now) < 0.2)
	}
	for i := range ejections[1:] {
		assert.Assert(t, ejections[i+1] > ejections[i]*3/2, "%v", ejections)
	}
	tracker.Advance(now.Add(slowStart))
	assert.Equal(t, tracker.WorkShare(now.Add(slowStart)), 1.0)
}
