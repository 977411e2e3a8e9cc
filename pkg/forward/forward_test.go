package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a path, query or body that is cleaned, decoded or encoded again on its way.
func TestTargetAndBodyAreForwardedByteForByte(t *testing.T) {
	for _, target := range []string{
		"/idempotent/a", "/idempotent/a//b/../c", "/idempotent/%2f%41?x=%20&y=a+b", "/idempotent/?", "/idempotent/a?x=1?y=2",
	} {
		f := newFixture(t, answers(http.StatusOK, "", ""))
		resp, body, err := f.call(t, target, "a\x00b")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, "body")
		assert.Equal(t, resp.Header.Get(testDialect.Stamp), "u0")
		sends := f.sends()
		assert.Equal(t, len(sends), 1)
		assert.Equal(t, sends[0].target, target)
		assert.Equal(t, sends[0].body, "a\x00b")
		assert.Equal(t, sends[0].header.Get(testDialect.ExpectInstance), "u0")
		assert.Equal(t, sends[0].header.Get("User-Agent"), "Go-http-client/1.1") // The caller's own, not the node's.
		assert.Equal(t, len(sends[0].header["Accept-Encoding"]), 1)
	}
}

// Guards against a replica that is handed more time than is left.
func TestDeadlineShrinks(t *testing.T) {
	f := newFixture(t, answers(http.StatusOK, "", ""))
	_, _, err := f.call(t, "/idempotent/a", "")
	assert.NilError(t, err)
	ms, err := strconv.Atoi(f.sends()[0].header.Get(testDialect.Deadline))
	assert.NilError(t, err)
	assert.Assert(t, ms > 0 && ms <= 2000)
}

// Guards against a resumed stream that lacks or repeats an event, and against a cut event that reaches the caller.
func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	for name, b := range map[string]behaviour{"break": breaksOnce, "silence": silentOnce, "stall": stallsOnce} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, b, b)
			resp, body, err := f.call(t, "/stream/a", "prompt")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, body, whole())
			sends := f.sends()
			assert.Equal(t, len(sends), 2)
			assert.Assert(t, sends[0].upstream != sends[1].upstream)
			assert.Equal(t, resp.Header.Get(testDialect.Stamp) == sends[0].upstream, name != "silence")
		})
	}
}

// Guards against a second run of a stream that may run only once, and against a broken answer that looks complete.
func TestOtherStreamsBreakWithTheirUpstream(t *testing.T) {
	f := newFixture(t, breaksOnce, breaksOnce)
	_, _, err := f.call(t, "/once/a", "prompt")
	assert.Assert(t, err != nil)
	assert.Equal(t, len(f.sends()), 1)
}

// Guards against a stream that may run only once and is given up because its upstream is slow.
func TestSilenceIsNoReasonToEndAStreamThatCanNotGoOn(t *testing.T) {
	slow := func(_ *fixture, w http.ResponseWriter, r *http.Request) {
		time.Sleep(700 * time.Millisecond)
		stream(w, r, 10)
	}
	f := newFixture(t, slow, slow)
	_, body, err := f.call(t, "/once/a", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, whole())
	assert.Equal(t, len(f.sends()), 1)
}

// Guards against a storm: when all upstreams are slow to begin, requests that leave their queues for the ends of others make all of
// them longer. Each request must be sent once then, but for the reserve.
func TestSilenceOfAllUpstreamsStartsNoStorm(t *testing.T) {
	queued := func(_ *fixture, w http.ResponseWriter, r *http.Request) {
		time.Sleep(600 * time.Millisecond)
		stream(w, r, 10)
	}
	f := newFixture(t, queued, queued, queued)
	const calls = 20 // Fewer than the slots, so that none is refused.
	var all sync.WaitGroup
	for range calls {
		all.Go(func() {
			_, body, err := f.call(t, "/stream/a", "prompt")
			assert.Check(t, err)
			assert.Check(t, body == whole())
		})
	}
	all.Wait()
	assert.Assert(t, float64(len(f.sends())) <= calls*(1+silenceShare)+silenceReserve, "%d sends", len(f.sends()))
}

// Guards against statuses that promise "not run" for a request that ran, and against requests that are sent again although
// they may have run.
func TestRefusalsAreTrue(t *testing.T) {
	for _, c := range []struct {
		name, target  string
		behaviour     behaviour
		status, sends int
	}{
		{"refused everywhere", "/unsafe/a", answers(503, testDialect.NotRun, "1"), 503, 2},
		{"wrong instance everywhere", "/unsafe/a", answers(421, "", ""), 503, 2},
		{"503 without the mark", "/unsafe/a", answers(503, "", ""), 502, 1},
		{"429 without the mark", "/unsafe/a", answers(429, "", ""), 502, 1},
		{"own failure", "/unsafe/a", answers(500, "", ""), 500, 1},
		{"own failure, repeatable", "/idempotent/a", answers(500, "", ""), 500, 2},
		{"crossed answer", "/unsafe/a", crossedOnce, 502, 1},
		{"crossed answer, repeatable", "/idempotent/a", crossedOnce, 200, 2},
		{"unsigned answer", "/unsafe/a", unsignedOnce, 502, 1},
		{"unsigned answer, repeatable", "/idempotent/a", unsignedOnce, 200, 2},
		{"caller's fault", "/unsafe/a", answers(404, "", ""), 404, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.behaviour, c.behaviour)
			resp, _, err := f.call(t, c.target, "x")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, len(f.sends()), c.sends)
			if c.status == http.StatusServiceUnavailable {
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after >= 0 && after < 2.0/3+0.01)
			}
		})
	}
}

// Guards against a long failure of an upstream that reaches the caller cut short but looks complete.
func TestLongFailureIsPassedOnWhole(t *testing.T) {
	for target, c := range map[string]struct{ status, sends int }{
		"/unsafe/a": {http.StatusInternalServerError, 1}, "/idempotent/a": {http.StatusInternalServerError, 3},
	} {
		f := newFixture(t, failsLong, failsLong, failsLong)
		resp, body, err := f.call(t, target, "x")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status)
		assert.Assert(t, body == longFailure, "%s: %d of %d bytes", target, len(body), len(longFailure))
		assert.Equal(t, len(f.sends()), c.sends)
	}
}

// Guards against a stream that the end of a drain cuts: on a standard day a request came six seconds after the signal to stop,
// and its answer was closed in the middle.
func TestLateRequestOfADrainIsRefused(t *testing.T) {
	for _, c := range []struct {
		left          time.Duration
		status, sends int
	}{{5 * time.Second, http.StatusOK, 1}, {1500 * time.Millisecond, http.StatusServiceUnavailable, 0}} {
		f := newFixture(t, streams)
		f.ends = time.Now().Add(c.left)
		resp, _, err := f.call(t, "/once/a", "prompt")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status)
		assert.Equal(t, len(f.sends()), c.sends)
		assert.Assert(t, resp.Close)
	}
}

// Guards against work that goes on for a caller that has left.
func TestRunEndsWithItsCaller(t *testing.T) {
	f := newFixture(t, func(f *fixture, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		f.gone <- "u0"
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL+"/once/a", nil)
	assert.NilError(t, err)
	req.Host = testHost
	req.Header.Set(testDialect.RequestID, "r1")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		resp.Body.Close()
	}
	select {
	case <-f.gone:
	case <-time.After(700 * time.Millisecond):
		t.Fatal("the run goes on half a second after its caller has left")
	}
}

// Guards against requests that are routed by a prefix of another host or by a shorter prefix.
func TestUnknownRoutes(t *testing.T) {
	f := newFixture(t, answers(http.StatusOK, "", ""))
	resp, _, err := f.call(t, "/none/a", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	assert.Equal(t, len(f.sends()), 0)
}

// Guards against an upstream that is down and is still chosen, and against a refusal while another one is free.
func TestUnreachableUpstreamIsPassedOver(t *testing.T) {
	f := newFixture(t, streams, streams)
	f.Server.CloseClientConnections()
	for range 20 {
		_, body, err := f.call(t, "/once/a", "prompt")
		assert.NilError(t, err)
		assert.Equal(t, body, whole())
	}
}
