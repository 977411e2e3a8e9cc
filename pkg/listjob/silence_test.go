package listjob

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
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
		assert.Assert(t, time.Since(begun) < maxSoundSilence, "the item waits for an upstream that is gone")
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, time.Since(begun) >= minCheckDelay)
}
