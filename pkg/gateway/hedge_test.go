package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// Guards against a GET that waits for a stalled upstream instead of being hedged, against a hedged POST, which must not
// run twice, and against a cancelled run that keeps its slot.
func TestHedge(t *testing.T) {
	s1, s2 := newUpstream(t, "s1", api.UpstreamService), newUpstream(t, "s2", api.UpstreamService)
	stall := func(_ *fakeUpstream, _ http.ResponseWriter, r *http.Request, _ []byte) bool {
		if r.URL.Query().Has("stall") {
			select {
			case <-time.After(400 * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		return false
	}
	s1.fault = stall
	f := newFixture(t, nil, s1, s2)
	timedCall := func(method, query string) (time.Duration, reply) {
		f.slots.mu.Lock()
		f.slots.next = 0
		f.slots.mu.Unlock()
		start := time.Now()
		r := f.send(context.Background(), method, "/v1/services/status/x?"+query, "")
		return time.Since(start), r
	}
	for range 40 {
		f.recordLookup("status", attempt{res: &serving.Result{Status: 200}}, 30*time.Millisecond)
	}
	took, r := timedCall("GET", "stall")
	assert.Equal(t, r.status, 200, r.body)
	assert.Assert(t, took < 200*time.Millisecond, "%s", took)
	assert.Equal(t, s2.runCount(), 1)
	took, _ = timedCall("POST", "stall")
	assert.Assert(t, took >= 400*time.Millisecond, "%s", took)
	assert.Equal(t, s2.runCount(), 1)
	eventually(t, "the cancelled run released its slot", func() bool { return f.slots.inUse() == 0 })
	cancelled := 0
	for _, u := range f.slots.released {
		if u.Result == serving.RunCancelled {
			cancelled++
		}
	}
	assert.Equal(t, cancelled, 1)
}

// Guards against reporting not-run for a hedged call because one of its two runs did not start, while the other one
// may have started.
func TestMoreConclusive(t *testing.T) {
	noSlot := attempt{err: errors.New("no slot")}
	down := attempt{upstream: "down", err: serving.ErrNotStarted}
	cutOff := attempt{upstream: "cut", err: serving.ErrInterrupted}
	busy := attempt{upstream: "busy", res: &serving.Result{Status: 503}}
	complete := attempt{upstream: "whole", res: &serving.Result{Status: 200}}
	for _, c := range []struct{ a, b, want attempt }{
		{noSlot, down, down}, {down, noSlot, down}, {down, cutOff, cutOff}, {cutOff, down, cutOff}, {cutOff, noSlot, cutOff},
		{cutOff, complete, complete}, {busy, down, busy}, {down, busy, busy}, {noSlot, complete, complete},
	} {
		assert.Equal(t, moreConclusive(c.a, c.b).upstream, c.want.upstream)
	}
}
