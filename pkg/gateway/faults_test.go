package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/gateway/peertest"
	"trefoilplank.example/pkg/serving"
)

// faultFunc is a fault of a fakeUpstream. It returns true if it has answered the request or cut its connection.
type faultFunc = func(*fakeUpstream, http.ResponseWriter, *http.Request, []byte) bool

func cutWithoutAnswer(_ *fakeUpstream, w http.ResponseWriter, _ *http.Request, _ []byte) bool {
	cut(w)
	return true
}

func crashWithoutAnswer(f *fakeUpstream, _ http.ResponseWriter, _ *http.Request, _ []byte) bool {
	f.crash()
	return true
}

// truncatedAnswer breaks the connection in the middle of the body.
func truncatedAnswer(_ *fakeUpstream, w http.ResponseWriter, _ *http.Request, _ []byte) bool {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"half":`))
	_ = http.NewResponseController(w).Flush()
	cut(w)
	return true
}

// answerWithOtherID answers with the request ID of another request.
func answerWithOtherID(_ *fakeUpstream, w http.ResponseWriter, _ *http.Request, _ []byte) bool {
	w.Header().Set("X-Request-Id", "someone-else")
	fmt.Fprint(w, `{"answer":"of another caller"}`)
	return true
}

// Guards against lost answers and forbidden repetitions for each way in which an upstream can fail: a repeatable
// request is answered by another upstream, any other request gets outcome unknown after a single run, and a request
// that did not start runs on another upstream in any case.
func TestUpstreamFaults(t *testing.T) {
	for name, fault := range map[string]faultFunc{
		"cut": cutWithoutAnswer, "crash": crashWithoutAnswer, "truncated": truncatedAnswer, "other id": answerWithOtherID,
	} {
		t.Run(name, func(t *testing.T) {
			e1, e2 := newUpstream(t, "e1", api.UpstreamEngine), newUpstream(t, "e2", api.UpstreamEngine)
			s1, s2 := newUpstream(t, "s1", api.UpstreamService), newUpstream(t, "s2", api.UpstreamService)
			e1.fault, s1.fault = fault, fault
			f := newFixture(t, nil, e1, e2, s1, s2)
			r := f.chat("hello")
			assert.Equal(t, r.status, 200, r.body)
			assert.Assert(t, cmp.Contains(r.body, "hello"))
			assert.Equal(t, e1.runCount()+e2.runCount(), 2)
			f.slots.next = 2
			r = f.send(context.Background(), "POST", "/v1/services/status/charge", "5")
			assert.Equal(t, r.status, 502, r.body)
			assert.Equal(t, r.outcome, "unknown")
			assert.Equal(t, s1.runCount(), 1)
			assert.Equal(t, s2.runCount(), 0)
			assert.Equal(t, f.slots.inUse(), 0)
		})
	}
	t.Run("down", func(t *testing.T) {
		s1, s2 := newUpstream(t, "s1", api.UpstreamService), newUpstream(t, "s2", api.UpstreamService)
		s1.crash()
		f := newFixture(t, nil, s1, s2)
		r := f.send(context.Background(), "POST", "/v1/services/status/charge", "5")
		assert.Equal(t, r.status, 200, r.body)
		assert.Equal(t, s2.runCount(), 1)
	})
}

// Guards against answers that reach the wrong caller when an upstream swaps body and request ID between two calls in
// flight of one node: the node gives each caller its own answer, also for calls that must not be repeated.
func TestCrossedAnswers(t *testing.T) {
	s := newUpstream(t, "s1", api.UpstreamService)
	type pendingCall struct {
		id   string
		body []byte
		swap chan pendingCall
	}
	waiting := make(chan pendingCall)
	s.fault = func(_ *fakeUpstream, w http.ResponseWriter, r *http.Request, body []byte) bool {
		own := pendingCall{r.Header.Get("X-Request-Id"), body, make(chan pendingCall, 1)}
		var other pendingCall
		select {
		case waiting <- own:
			other = <-own.swap
		case other = <-waiting:
			other.swap <- own
		}
		w.Header().Set("X-Request-Id", other.id)
		fmt.Fprintf(w, "answer for %s", other.body)
		return true
	}
	f := newFixture(t, nil, s)
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			r := f.send(context.Background(), "POST", "/v1/services/status/charge", fmt.Sprint("n", i))
			assert.Check(t, cmp.Equal(r.body, fmt.Sprint("answer for n", i)))
		})
	}
	group.Wait()
	assert.Equal(t, s.runCount(), 10)
}

// Guards against treating a request as a suspect, or as started, because an upstream that was down before it reset its
// connection.
func TestUpstreamsAlreadyDown(t *testing.T) {
	var upstreams []*fakeUpstream
	for i := range 3 {
		s := newUpstream(t, fmt.Sprint("s", i), api.UpstreamService)
		s.down = i < 2
		upstreams = append(upstreams, s)
	}
	nodes := startNodes(t, peertest.New(), 1, nil, upstreams...)
	for i := range 12 {
		r := nodes[0].send(context.Background(), "POST", "/v1/services/status/charge", fmt.Sprint(i))
		assert.Equal(t, r.status, 200, r.body)
	}
	upstreams[2].down = true
	nodes[0].slots.upstreams = nodes[0].slots.upstreams[:2]
	r := nodes[0].send(context.Background(), "POST", "/v1/services/status/charge", "x", "Trefoil-Timeout-Ms", "200")
	assert.Equal(t, r.status, 503, r.body)
	assert.Equal(t, r.outcome, "not-run")
	for _, u := range nodes[0].slots.released {
		assert.Assert(t, u.Result != serving.RunCrashed)
	}
}

// Guards against a stream with repeated or missing events, or with [DONE] although it is incomplete, after the
// connection to its engine was cut. If the engine can't resume, a run on another engine completes the stream when it
// gives the same text; otherwise the stream ends with an error event.
func TestStreamCut(t *testing.T) {
	cutAfter := func(n int, then func(*fakeUpstream, string)) faultFunc {
		return func(f *fakeUpstream, w http.ResponseWriter, r *http.Request, _ []byte) bool {
			id := r.Header.Get("X-Request-Id")
			f.mu.Lock()
			f.streams[id] = true
			f.mu.Unlock()
			f.stream(w, id, 0, n, false)
			then(f, id)
			cut(w)
			return true
		}
	}
	forget := func(f *fakeUpstream, id string) {
		f.mu.Lock()
		delete(f.streams, id)
		f.mu.Unlock()
	}
	for _, c := range []struct {
		name     string
		fault    faultFunc
		complete bool
		tokens   int
	}{
		{"engine lives", cutAfter(2, func(*fakeUpstream, string) {}), true, 5},
		{"cut after each token", func(f *fakeUpstream, w http.ResponseWriter, r *http.Request, body []byte) bool {
			f.cutEachResume = true
			return cutAfter(1, func(*fakeUpstream, string) {})(f, w, r, body)
		}, true, 5},
		{"engine restarted", cutAfter(2, forget), false, 2},
		{"engine crashed", cutAfter(2, func(f *fakeUpstream, _ string) { go f.crash(); time.Sleep(20 * time.Millisecond) }), false, 2},
		{"cut before the first event", cutAfter(0, forget), true, 5},
		{"resumption fails twice", func(f *fakeUpstream, w http.ResponseWriter, r *http.Request, body []byte) bool {
			f.refuseResume = 2
			return cutAfter(2, func(*fakeUpstream, string) {})(f, w, r, body)
		}, true, 5},
		{"other stream", func(f *fakeUpstream, w http.ResponseWriter, _ *http.Request, _ []byte) bool {
			f.stream(w, "someone-else", 0, 5, true)
			return true
		}, true, 5},
		{"engine reports an error", func(f *fakeUpstream, w http.ResponseWriter, r *http.Request, _ []byte) bool {
			f.stream(w, r.Header.Get("X-Request-Id"), 0, 2, false)
			fmt.Fprint(w, "event: error\ndata: {}\n\n")
			return true
		}, false, 2},
		{"ended without its end mark", cutAfter(5, forget), false, 5},
	} {
		for _, tokenPrefix := range []string{"", "other "} {
			t.Run(c.name+" "+tokenPrefix, func(t *testing.T) {
				e1, e2 := newUpstream(t, "e1", api.UpstreamEngine), newUpstream(t, "e2", api.UpstreamEngine)
				e1.tokens, e2.tokens, e1.fault, e2.tokenPrefix = 5, 5, c.fault, tokenPrefix
				complete, tokens := c.complete, c.tokens
				if tokenPrefix == "" {
					complete, tokens = true, 5
				}
				f := newFixture(t, nil, e1, e2)
				r := f.chatStream("hello")
				assert.Equal(t, r.status, 200, r.body)
				for i := range tokens {
					assert.Equal(t, strings.Count(r.body, fmt.Sprintf(`"offset":%d,`, i)), 1, r.body)
				}
				assert.Equal(t, strings.Count(r.body, `"offset":`), tokens, r.body)
				assert.Equal(t, strings.Contains(r.body, "[DONE]"), complete, r.body)
				assert.Equal(t, strings.Contains(r.body, "event: error"), !complete, r.body)
				if !complete {
					assert.Assert(t, cmp.Contains(r.body, `"outcome":"unknown"`))
				}
				if !c.complete {
					assert.Equal(t, e2.runCount(), 1)
				}
			})
		}
	}
}

// Guards against confusing the answer to a run with the answer to the call that cancels it, which has the same request
// ID, and checks the Content-Length of answers without a body (HEAD and 204).
func TestCancelDuringRunAndEmptyAnswers(t *testing.T) {
	e, s := newUpstream(t, "e1", api.UpstreamEngine), newUpstream(t, "s1", api.UpstreamService)
	e.fault = delayed(50 * time.Millisecond)
	s.fault = func(_ *fakeUpstream, w http.ResponseWriter, r *http.Request, _ []byte) bool {
		if r.Method == http.MethodDelete {
			w.WriteHeader(http.StatusNoContent)
			return true
		}
		w.Header().Set("Content-Length", "1234")
		return r.Method == http.MethodHead
	}
	f := newFixture(t, nil, e, s)
	call := serving.Call{RequestID: "r", Method: "POST", Path: "/v1/completions", Header: http.Header{}, Body: []byte("{}")}
	result := make(chan *serving.Result, 1)
	go func() {
		res, err := f.Invoker.Do(context.Background(), e.Upstream, call)
		assert.Check(t, err)
		result <- res
	}()
	eventually(t, "the run has begun", func() bool { return e.runCount() == 1 })
	assert.NilError(t, f.Invoker.Cancel(context.Background(), e.Upstream, "r"))
	assert.Assert(t, cmp.Contains(string((<-result).Body), `"id":"r"`))
	r := f.send(context.Background(), "HEAD", "/v1/services/status/x", "")
	assert.Equal(t, fmt.Sprint(r.status, r.header.Get("Content-Length"), r.err), "2001234<nil>")
	r = f.send(context.Background(), "DELETE", "/v1/services/status/x", "")
	assert.Equal(t, fmt.Sprint(r.status, r.header.Get("Content-Length"), r.err), "204<nil>")
}

// Guards against a retry that excludes the only upstream and then waits until the deadline.
func TestRetryOnTheOnlyUpstream(t *testing.T) {
	e := newUpstream(t, "e1", api.UpstreamEngine)
	e.fault = func(f *fakeUpstream, w http.ResponseWriter, r *http.Request, body []byte) bool {
		return f.runCount() == 1 && cutWithoutAnswer(f, w, r, body)
	}
	r := newFixture(t, nil, e).chat("hello", api.HeaderTimeoutMs, "2000")
	assert.Equal(t, r.status, 200, r.body)
	assert.Equal(t, e.runCount(), 2)
}

// Guards against a caller that reads nothing of its stream and so keeps its slot: the run is cancelled after
// StallTimeout.
func TestStalledCaller(t *testing.T) {
	e := newUpstream(t, "e1", api.UpstreamEngine)
	e.fault = func(_ *fakeUpstream, w http.ResponseWriter, r *http.Request, _ []byte) bool {
		for i := 0; r.Context().Err() == nil; i++ {
			fmt.Fprintf(w, "data: {\"id\":%q,\"offset\":%d,\"pad\":%q}\n\n", r.Header.Get("X-Request-Id"), i, strings.Repeat("x", 100_000))
		}
		return true
	}
	f := newFixture(t, func(o *Options) { o.StallTimeout = 100 * time.Millisecond }, e)
	// Usual buffers take megabytes before the caller counts as stalled: on a busy machine that used up the time allowed.
	const buffer = 4 << 10
	server := httptest.NewUnstartedServer(f.Gateway)
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		assert.Check(t, c.(*net.TCPConn).SetWriteBuffer(buffer))
		return ctx
	}
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(buffer))
	body := chatBody("hello", true)
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	eventually(t, "the run is cancelled", func() bool { return e.cancelCount() == 1 })
	assert.Equal(t, f.slots.inUse(), 0)
}

// Guards against a run that continues, and keeps its slot, after its caller has disconnected.
func TestDisconnectCancels(t *testing.T) {
	e := newUpstream(t, "e1", api.UpstreamEngine)
	e.tokens, e.tokenInterval = 1000, 5*time.Millisecond
	f := newFixture(t, nil, e)
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	answers := make(chan reply, 1)
	go func() { answers <- f.send(ctx, "POST", "/v1/chat/completions", chatBody("hello", true)) }()
	eventually(t, "the run begins", func() bool { return e.runCount() == 1 })
	disconnect()
	assert.ErrorContains(t, (<-answers).err, "canceled")
	eventually(t, "the run is cancelled and its slot returned", func() bool {
		return e.cancelCount() == 1 && f.slots.inUse() == 0
	})
	assert.Equal(t, f.slots.released[0].Result, serving.RunCancelled)
}

// Guards against an answer after the deadline, an outcome other than unknown for a request that was running, and a
// late answer of the upstream that reaches the next caller.
func TestDeadline(t *testing.T) {
	e := newUpstream(t, "e1", api.UpstreamEngine)
	release := make(chan struct{})
	e.fault = func(*fakeUpstream, http.ResponseWriter, *http.Request, []byte) bool {
		<-release
		return false
	}
	f := newFixture(t, nil, e)
	start := time.Now()
	r := f.chat("hello", api.HeaderTimeoutMs, "80")
	assert.Equal(t, r.status, 504, r.body)
	assert.Equal(t, r.outcome, "unknown")
	assert.Assert(t, time.Since(start) < time.Second)
	eventually(t, "the run is cancelled", func() bool { return e.cancelCount() == 1 })
	close(release)
	for i := range 10 {
		assert.Assert(t, cmp.Contains(f.chat(fmt.Sprint("next", i)).body, fmt.Sprint("next", i)))
	}
}

// Guards the bound of 10 % on additional upstream calls while a third of the upstreams answers every call with an
// error, or resets every connection, and no health check ejects them.
func TestRetryBudgetUnderFailure(t *testing.T) {
	for name, fault := range map[string]faultFunc{
		"cut": cutWithoutAnswer, "error": func(_ *fakeUpstream, w http.ResponseWriter, _ *http.Request, _ []byte) bool {
			w.WriteHeader(http.StatusInternalServerError)
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			var upstreams []*fakeUpstream
			for i := range 6 {
				e := newUpstream(t, fmt.Sprint("e", i), api.UpstreamEngine)
				if i%3 == 0 {
					e.fault = fault
				}
				upstreams = append(upstreams, e)
			}
			f := newFixture(t, nil, upstreams...)
			const calls = 600
			for i := range calls {
				r := f.chat(fmt.Sprint(i))
				assert.Assert(t, r.status == 200 || r.status == 502 && (r.outcome == "failed" || r.outcome == "unknown"), "%d %s", r.status, r.body)
			}
			runs := 0
			for _, e := range upstreams {
				runs += e.runCount()
			}
			ratio := float64(runs) / calls
			assert.Assert(t, ratio > 1 && ratio <= 1.1, "%.3f", ratio)
			t.Logf("%.3f upstream calls per caller call", ratio)
		})
	}
}
