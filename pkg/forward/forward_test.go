package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/failedruns"
)

// Guards against a path, query or body that is cleaned, decoded or re-encoded while it is forwarded.
func TestTargetAndBodyAreForwardedByteForByte(t *testing.T) {
	for _, target := range []string{
		"/idempotent/a", "/idempotent/a//b/../c", "/idempotent/%2f%41?x=%20&y=a+b", "/idempotent/?", "/idempotent/a?x=1?y=2",
	} {
		f := newFixture(t, answersWith(http.StatusOK, "", ""))
		resp, body, err := f.call(t, target, "a\x00b")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, "body")
		assert.Equal(t, resp.Header.Get(testHeaders.Signature), "u0")
		sends := f.requests()
		assert.Equal(t, len(sends), 1)
		assert.Equal(t, sends[0].target, target)
		assert.Equal(t, sends[0].body, "a\x00b")
		assert.Equal(t, sends[0].header.Get(testHeaders.ExpectInstance), "u0")
		assert.Equal(t, sends[0].header.Get("User-Agent"), "Go-http-client/1.1") // The caller's value, not the node's.
		assert.Equal(t, len(sends[0].header["Accept-Encoding"]), 1)
	}
}

// Guards against an upstream that is given more time than the caller has left.
func TestUpstreamGetsRemainingTime(t *testing.T) {
	f := newFixture(t, answersWith(http.StatusOK, "", ""))
	_, _, err := f.call(t, "/idempotent/a", "")
	assert.NilError(t, err)
	ms, err := strconv.Atoi(f.requests()[0].header.Get(testHeaders.Deadline))
	assert.NilError(t, err)
	assert.Assert(t, ms > 0 && ms <= 2000)
}

// Guards against a resumed stream that lacks or repeats an event, and against an incomplete event that reaches the
// caller.
func TestResumableStreamContinuesAtAnotherUpstream(t *testing.T) {
	for name, b := range map[string]behaviour{
		"break": breaksOnce, "silence": unresponsiveOnce, "stall": stallsOnce, "trickle": tricklesOnce(3), "trickle at first": tricklesOnce(0),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, b, b)
			resp, body, err := f.call(t, "/stream/a", "prompt")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, body, allEvents())
			sends := f.requests()
			assert.Equal(t, len(sends), 2)
			assert.Assert(t, sends[0].upstream != sends[1].upstream)
			assert.Equal(t, resp.Header.Get(testHeaders.Signature) == sends[0].upstream, name != "silence" && name != "trickle at first")
		})
	}
}

// Guards against a second run of a stream that may run only once, and against a broken response that looks complete.
func TestStreamThatMayRunOnceIsNotSentAgain(t *testing.T) {
	f := newFixture(t, breaksOnce, breaksOnce)
	_, _, err := f.call(t, "/once/a", "prompt")
	assert.Assert(t, err != nil)
	assert.Equal(t, len(f.requests()), 1)
}

// Guards against ending a stream that may run only once because its upstream is slow to begin.
func TestSlowStreamThatMayRunOnceIsNotCancelled(t *testing.T) {
	slow := func(_ *fixture, w http.ResponseWriter, r *http.Request) {
		time.Sleep(700 * time.Millisecond)
		stream(w, r, 10)
	}
	f := newFixture(t, slow, slow)
	_, body, err := f.call(t, "/once/a", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, allEvents())
	assert.Equal(t, len(f.requests()), 1)
}

// Guards against a retry storm: when all upstreams are slow to begin, every request that moves from one queue to the
// end of another makes all queues longer. Each request must then be sent once, apart from the retry budget.
func TestTimeoutRetriesAreLimited(t *testing.T) {
	queued := func(_ *fixture, w http.ResponseWriter, r *http.Request) {
		time.Sleep(600 * time.Millisecond)
		stream(w, r, 10)
	}
	f := newFixture(t, queued, queued, queued)
	const calls = 20 // Fewer than there are slots, so that none is refused.
	var all sync.WaitGroup
	for range calls {
		all.Go(func() {
			_, body, err := f.call(t, "/stream/a", "prompt")
			assert.Check(t, err)
			assert.Check(t, body == allEvents())
		})
	}
	all.Wait()
	assert.Assert(t, float64(len(f.requests())) <= calls*(1+timeoutRetryRatio)+timeoutRetryReserve, "%d sends", len(f.requests()))
}

// Guards against statuses that claim "not run" for a request that may have run, and against repeating a request that
// may run only once.
func TestStatusTellsWhetherRequestRan(t *testing.T) {
	for _, c := range []struct {
		name, target  string
		behaviour     behaviour
		status, sends int
	}{
		{"refused everywhere", "/unsafe/a", answersWith(503, testHeaders.NotRun, "1"), 503, 2},
		{"wrong instance everywhere", "/unsafe/a", answersWith(421, "", ""), 503, 2},
		{"503 without the mark", "/unsafe/a", answersWith(503, "", ""), 502, 1},
		{"429 without the mark", "/unsafe/a", answersWith(429, "", ""), 502, 1},
		{"own failure", "/unsafe/a", answersWith(500, "", ""), 500, 1},
		{"own failure, repeatable", "/idempotent/a", answersWith(500, "", ""), 500, 2},
		{"crossed answer", "/unsafe/a", crossedOnce, 502, 1},
		{"crossed answer, repeatable", "/idempotent/a", crossedOnce, 200, 2},
		{"unsigned answer", "/unsafe/a", unsignedOnce, 502, 1},
		{"unsigned answer, repeatable", "/idempotent/a", unsignedOnce, 200, 2},
		{"caller's fault", "/unsafe/a", answersWith(404, "", ""), 404, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.behaviour, c.behaviour)
			resp, _, err := f.call(t, c.target, "x")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, len(f.requests()), c.sends)
			if c.status == http.StatusServiceUnavailable {
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after >= 0 && after < 2.0/3+0.01)
			}
		})
	}
}

// Guards against a long error response that reaches the caller truncated but looks complete.
func TestLongErrorResponseIsRelayedCompletely(t *testing.T) {
	for target, c := range map[string]struct{ status, sends int }{
		"/unsafe/a": {http.StatusInternalServerError, 1}, "/idempotent/a": {http.StatusInternalServerError, 3},
	} {
		f := newFixture(t, failsWithLongBody, failsWithLongBody, failsWithLongBody)
		resp, body, err := f.call(t, target, "x")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status)
		assert.Assert(t, body == longBody, "%s: %d of %d bytes", target, len(body), len(longBody))
		assert.Equal(t, len(f.requests()), c.sends)
	}
}

// Guards against a stream that is cut by the end of a drain: a request that arrived six seconds after the stop signal
// had its response closed in the middle.
func TestRequestIsRefusedShortlyBeforeDrainEnds(t *testing.T) {
	for _, c := range []struct {
		left          time.Duration
		status, sends int
	}{{5 * time.Second, http.StatusOK, 1}, {1500 * time.Millisecond, http.StatusServiceUnavailable, 0}} {
		f := newFixture(t, streamsAll)
		f.drainEnd = time.Now().Add(c.left)
		resp, _, err := f.call(t, "/once/a", "prompt")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status)
		assert.Equal(t, len(f.requests()), c.sends)
		assert.Assert(t, resp.Close)
	}
}

// Guards against callers refused that a draining node could serve, as they could not know of the drain, and against those accepted whose usual run
// does not fit.
func TestLateCallersAreAcceptedByUsualRuns(t *testing.T) {
	for _, c := range []struct {
		left   time.Duration
		status int
	}{{2900 * time.Millisecond, http.StatusOK}, {900 * time.Millisecond, http.StatusServiceUnavailable}} {
		f := newFixture(t, streamsAll)
		f.drainEnd, f.lateCallers = time.Now().Add(c.left), time.Now().Add(time.Second)
		resp, _, err := f.callWith(t, "/once/a", "prompt", map[string]string{testHeaders.Deadline: "3000"})
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status)
	}
}

// Guards against a run that continues at the upstream after its caller has disconnected.
func TestRunIsCancelledWhenCallerDisconnects(t *testing.T) {
	f := newFixture(t, func(f *fixture, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		f.cancelled <- "u0"
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL+"/once/a", nil)
	assert.NilError(t, err)
	req.Host = testHost
	req.Header.Set(testHeaders.RequestID, "r1")
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		resp.Body.Close()
	}
	select {
	case <-f.cancelled:
	case <-time.After(700 * time.Millisecond):
		t.Fatal("the run still continues half a second after its caller disconnected")
	}
}

// Guards against forwarding a request whose path matches no route: it is answered with 404.
func TestUnknownRoutes(t *testing.T) {
	f := newFixture(t, answersWith(http.StatusOK, "", ""))
	resp, _, err := f.call(t, "/none/a", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
	assert.Equal(t, len(f.requests()), 0)
}

// Guards against requests that fail although upstreams are free, after the callers' connections were closed.
func TestRequestsAfterClosedCallerConnections(t *testing.T) {
	f := newFixture(t, streamsAll, streamsAll)
	f.Server.CloseClientConnections()
	for range 20 {
		_, body, err := f.call(t, "/once/a", "prompt")
		assert.NilError(t, err)
		assert.Equal(t, body, allEvents())
	}
}

// Guards against a request that is sent to more upstreams after two have crashed under it, although its route allows
// more attempts, when the caller repeats it; and against the refusal of other requests.
func TestRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	f := newFixture(t, crashes, crashes, crashes, crashes)
	resp, _, err := f.call(t, "/stream/x", crashBody)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	for range 3 {
		resp, _, err = f.call(t, "/stream/x", crashBody)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
	}
	assert.Equal(t, len(f.requests()), 2)
	resp, body, err := f.call(t, "/stream/x", "harmless")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, allEvents())
}

// Guards against a sound request that is refused for ten minutes because it was unlucky twice, and against a trial beside
// other requests, which would lose their upstream too if it crashed.
func TestQuarantinedRequestRunsOnceAlone(t *testing.T) {
	for body, sends := range map[string]int{"sound": 4, crashBody: 1} {
		t.Run(body, func(t *testing.T) {
			slow := func(f *fixture, w http.ResponseWriter, r *http.Request) {
				if r.RequestURI == "/once/busy" {
					<-r.Context().Done()
					return
				}
				crashes(f, w, r)
			}
			f := newFixture(t, slow, slow)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			busy, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL+"/once/busy", nil)
			assert.NilError(t, err)
			busy.Host = testHost
			go func() { _, _ = http.DefaultClient.Do(busy) }() // It ends with the test.
			for len(f.requests()) == 0 {
				time.Sleep(time.Millisecond)
			}
			work := (&Request{Host: testHost, Target: "/stream/x", Body: []byte(body)}).Fingerprint()
			for _, u := range []string{"v0", "v1"} {
				f.failedRuns.Merge("other", []failedruns.Record{{Work: work, Run: u, Kind: failedruns.Crashed, Upstream: u, Age: time.Minute}})
			}
			for range sends {
				resp, _, err := f.call(t, "/stream/x", body)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode == http.StatusOK, body != crashBody)
			}
			got := f.requests()
			assert.Equal(t, len(got), 1+sends)
			assert.Assert(t, got[1].upstream != got[0].upstream, "the trial ran beside another request")
			if body == crashBody {
				resp, _, err := f.call(t, "/stream/x", body)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
				assert.Equal(t, len(f.requests()), 2)
			}
		})
	}
}

// Guards against cutting a slow but sound stream that no other upstream can take: on a day with long prompts and full engines two
// streams were cut in the middle for a pause of a quarter of a second.
func TestSlowStreamIsNotCutWithoutAnotherUpstream(t *testing.T) {
	slow := func(_ *fixture, w http.ResponseWriter, r *http.Request) {
		for n := range 10 {
			stream(w, r, n+1)
			r.Header.Set(testHeaders.LastEventID, strconv.Itoa(n))
			time.Sleep(180 * time.Millisecond)
		}
	}
	f := newFixture(t, slow)
	resp, body, err := f.call(t, "/stream/a", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, allEvents())
	assert.Equal(t, len(f.requests()), 1)
}

// Guards against a request that bears the silence of its upstream, since the budget allows no retry, and then takes one retry
// after the other from the budget of later requests.
func TestBorneSilenceTakesNoFurtherRetries(t *testing.T) {
	silent := func(_ *fixture, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	f := newFixture(t, silent, silent)
	for f.forwarder.takeTimeoutRetry() {
	}
	borne := f.metrics.GetOrCreateCounter(`trefoilplank_requests_total{outcome="silence_borne"}`)
	before := borne.Get()
	resp, _, err := f.call(t, "/idempotent/a", "body")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
	assert.Equal(t, borne.Get()-before, uint64(1))
	assert.Equal(t, len(f.requests()), 1)
}
