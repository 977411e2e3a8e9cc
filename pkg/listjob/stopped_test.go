package listjob

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/decision/reach"
)

// engineVariable names the engine of a node that TestRunOfAStoppedNodeIsKept starts as a process of its own.
const engineVariable = "LISTJOB_TEST_ENGINE"

// TestNodeProcess is that process. It does nothing by itself.
func TestNodeProcess(t *testing.T) {
	url := os.Getenv(engineVariable)
	if url == "" {
		return
	}
	e := newEngine(t, stoppedEvents, 0)
	e.URL = url
	a := newNetwork().addNode(t, memstore.New(), e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", stoppedItems)))
	checkResults(t, e, readAll(t, a.Controller, "j", 20*time.Second))
}

// stoppedItems is the number of items, so that the timers of some act before their events are read. stoppedEvents is the number of events of
// each, more than half of them sent while the node is stopped.
const stoppedItems, stoppedEvents = 60, 30

// Guards against a run that is given up because the node itself was stopped for longer than an upstream may be silent, although the
// upstream went on and its events lie unread.
func TestRunOfAStoppedNodeIsKept(t *testing.T) {
	e := newEngine(t, stoppedEvents, 20*time.Millisecond)
	node := exec.Command(os.Args[0], "-test.run=^TestNodeProcess$", "-test.count=1")
	node.Env = append(os.Environ(), engineVariable+"="+e.URL)
	node.Stdout, node.Stderr = os.Stderr, os.Stderr
	assert.NilError(t, node.Start())
	ended := make(chan error, 1)
	go func() { ended <- node.Wait() }()
	t.Cleanup(func() { _ = node.Process.Kill() })
	for until := time.Now().Add(10 * time.Second); e.totalRuns() < stoppedItems; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%d items run", e.totalRuns())
	}
	time.Sleep(stoppedEvents / 3 * e.interval)
	assert.NilError(t, node.Process.Signal(syscall.SIGSTOP))
	time.Sleep(reach.SoundSilence + 500*time.Millisecond)
	assert.NilError(t, node.Process.Signal(syscall.SIGCONT))
	assert.NilError(t, <-ended)
	assert.Equal(t, e.totalRuns(), stoppedItems)
}

// Guards against a silence that counts time in which this process was stopped, before the silence is due, while it is, or during a check,
// and against one that never ends a run.
func TestOnlyTimeInWhichTheProcessRanIsSilence(t *testing.T) {
	idle := func() *time.Timer { return time.AfterFunc(time.Hour, func() {}) }
	now := time.Unix(1000, 0)
	run := func(w *silenceWatch, d time.Duration) {
		for range d / checkInterval {
			now = now.Add(checkInterval)
			w.clock.look(now)
		}
	}
	for _, ranBefore := range []time.Duration{0, minCheckDelay / 2, minCheckDelay - checkInterval, reach.SoundSilence - checkInterval} {
		clock := &runClock{}
		w := &silenceWatch{clock: clock, timeouts: newEventTimeouts(0, 0), giveUp: idle(), check: idle(), heardAt: clock.look(now)}
		w.heard(now)
		ranBefore = ranBefore.Truncate(checkInterval)
		run(w, ranBefore)
		now = now.Add(3 * time.Second) // The process is stopped.
		assert.Assert(t, !w.giveUpDue(now))
		_, due := w.checkDue(now)
		assert.Assert(t, !due, "stopped after %v", ranBefore)
		run(w, max(checkInterval, minCheckDelay-ranBefore))
		begun, due := w.checkDue(now)
		assert.Assert(t, due)
		now = now.Add(3 * time.Second) // Again.
		assert.Assert(t, !w.stillSilent(begun, now), "the check counts, although the process was stopped")
		assert.Assert(t, !w.giveUpDue(now))
		run(w, checkInterval)
		begun, due = w.checkDue(now)
		assert.Assert(t, due)
		run(w, maxRunStep)
		assert.Assert(t, w.stillSilent(begun, now))
		run(w, reach.SoundSilence)
		assert.Assert(t, w.giveUpDue(now))
		w.heard(now)
		assert.Assert(t, !w.stillSilent(begun, now) && !w.giveUpDue(now))
	}
}
