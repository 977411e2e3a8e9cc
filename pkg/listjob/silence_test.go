package listjob

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/reach"
	"trefoilplank.example/pkg/forward"
)

// soundSilence is a silence that sound upstreams show: their kernels accept connections meanwhile.
const soundSilence = 1300 * time.Millisecond

// Guards against an item that goes on at another upstream, because its upstream fell silent for a second, while that one still works
// on it.
func TestItemStaysAtAnUpstreamThatFallsSilent(t *testing.T) {
	s, net, e, other := memstore.New(), newNetwork(), newEngine(t, 12, 5*time.Millisecond), newEngine(t, 12, 5*time.Millisecond)
	e.pauseAt, e.pause = 7, soundSilence
	other.pauseAt, other.pause = e.pauseAt, e.pause
	a := net.addNode(t, s, e, "a")
	a.placer.SetUpstreams([]dispatch.Upstream{e.upstream(), other.upstream()})
	assert.NilError(t, a.Accept(context.Background(), submission("j", 4)))
	checkResults(t, e, readAll(t, a.Controller, "j", 10*time.Second))
	assert.Equal(t, e.totalRuns()+other.totalRuns(), 4)
}

// Guards against an item that waits as long for an upstream whose machine is gone as for one that is sound: its connections hang,
// and new ones are not answered.
func TestItemLeavesAnUpstreamThatCanNotBeReached(t *testing.T) {
	s, net, e, other := memstore.New(), newNetwork(), newEngine(t, 12, 5*time.Millisecond), newEngine(t, 12, 5*time.Millisecond)
	e.pauseAt, e.pause = 7, 4*time.Second
	a := net.addNode(t, s, e, "a")
	a.options.Diagnose = func(context.Context, string) uplink.Diagnosis { return uplink.Unreachable }
	assert.NilError(t, a.Accept(context.Background(), submission("j", 1)))
	for until := time.Now().Add(time.Second); e.totalRuns() == 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until))
	}
	begun := time.Now()
	a.placer.SetUpstreams([]dispatch.Upstream{e.upstream(), other.upstream()})
	for e.totalRuns()+other.totalRuns() < 2 {
		assert.Assert(t, time.Since(begun) < reach.SoundSilence, "the item waits for an upstream that is gone")
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, time.Since(begun) >= minCheckDelay)
}

// Guards against an item that goes on at another upstream, because its run was stopped for another request, while its own upstream,
// which is silent, can't read that.
func TestStoppedItemWaitsForASilentUpstream(t *testing.T) {
	s, net, e, other := memstore.New(), newNetwork(), newEngine(t, 12, 5*time.Millisecond), newEngine(t, 12, 5*time.Millisecond)
	e.pauseAt, e.pause = 7, soundSilence
	a := net.addNode(t, s, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 1)))
	it := a.ownedJob("j").items[0]
	for until := time.Now().Add(time.Second); it.lines.Load() < int64(e.pauseAt); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until))
	}
	time.Sleep(soundSilence / 2)
	stopped := time.Now()
	it.job.mu.Lock()
	it.cancelRun()
	it.job.mu.Unlock()
	a.placer.SetUpstreams([]dispatch.Upstream{e.upstream(), other.upstream()})
	for e.totalRuns()+other.totalRuns() < 2 {
		assert.Assert(t, time.Since(stopped) < 2*reach.SoundSilence)
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, time.Since(stopped) >= soundSilence/2, "the item went on after %v", time.Since(stopped))
	checkResults(t, e, readAll(t, a.Controller, "j", 10*time.Second))
}

// Guards against a run that is given up because a check of its silent upstream fails, although events arrived during the check.
func TestRunThatGoesOnDuringItsCheckIsKept(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 30, 20*time.Millisecond)
	e.pauseAt, e.pause = 7, minCheckDelay+100*time.Millisecond
	a := net.addNode(t, s, e, "a")
	a.options.Diagnose = func(context.Context, string) uplink.Diagnosis {
		time.Sleep(300 * time.Millisecond) // The connect times out; the upstream has gone on meanwhile.
		return uplink.Unreachable
	}
	assert.NilError(t, a.Accept(context.Background(), submission("j", 1)))
	checkResults(t, e, readAll(t, a.Controller, "j", 10*time.Second))
	assert.Equal(t, e.totalRuns(), 1)
}

// Guards against an item that goes on at another upstream at once, because its run was stopped before its first event: a run that lies
// unread in a silent upstream has none.
func TestStoppedItemWithoutEventsWaitsForASilentUpstream(t *testing.T) {
	s, net, e, other := memstore.New(), newNetwork(), newEngine(t, 12, 5*time.Millisecond), newEngine(t, 12, 5*time.Millisecond)
	e.fail = func(_ string, run int) int {
		if run == 1 {
			time.Sleep(soundSilence)
		}
		return 0
	}
	a := net.addNode(t, s, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 1)))
	for until := time.Now().Add(time.Second); e.totalRuns() == 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until))
	}
	time.Sleep(soundSilence / 2)
	it, stopped := a.ownedJob("j").items[0], time.Now()
	it.job.mu.Lock()
	it.cancelRun()
	it.job.mu.Unlock()
	a.placer.SetUpstreams([]dispatch.Upstream{e.upstream(), other.upstream()})
	for e.totalRuns()+other.totalRuns() < 2 {
		assert.Assert(t, time.Since(stopped) < 2*reach.SoundSilence)
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, time.Since(stopped) >= soundSilence/2, "the item went on after %v", time.Since(stopped))
	checkResults(t, e, readAll(t, a.Controller, "j", 10*time.Second))
}

// Guards against an item that waits although no upstream has it: its run was stopped before it was sent.
func TestStoppedItemThatWasNotSentDoesNotWait(t *testing.T) {
	e := newEngine(t, 1, 0)
	a := newNetwork().addNode(t, memstore.New(), e, "a")
	it := newJob(head{ID: "j"}, 1, submission("j", 1).Items).items[0]
	it.silentFor = reach.SoundSilence / 2
	a.holdSilent(it, e.upstream(), forward.ErrNotRun)
	assert.Assert(t, it.notBefore.IsZero())
	a.holdSilent(it, e.upstream(), context.Canceled)
	assert.Assert(t, time.Until(it.notBefore) > reach.SoundSilence/4)
}
