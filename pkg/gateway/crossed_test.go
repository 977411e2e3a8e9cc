package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"trefoilplank.example/api"
)

// crossing gives each two requests in flight each other's answer; a stream begins with own events of its own.
type crossing struct {
	own     int
	waiting chan crossed
	// patience is how long a request waits for another one before it gets its own answer.
	patience time.Duration
}

type crossed struct {
	id   string
	body []byte
	swap chan crossed
}

func (c *crossing) fault(f *fakeUpstream, w http.ResponseWriter, r *http.Request, body []byte) bool {
	me := crossed{r.Header.Get("X-Request-Id"), body, make(chan crossed, 1)}
	if strings.Contains(string(body), `"stream":true`) && c.own > 0 {
		f.stream(w, me.id, 0, c.own, false)
	}
	var other crossed
	select {
	case c.waiting <- me:
		other = <-me.swap
	case other = <-c.waiting:
		other.swap <- me
	case <-time.After(c.patience):
		return false
	}
	if c.own > 0 && strings.Contains(string(body), `"stream":true`) {
		f.stream(w, other.id, c.own, f.tokens, true)
		return true
	}
	w.Header().Set("X-Request-Id", other.id)
	f.answer(w, r, other.id, other.body)
	return true
}

// ownSlots starts nodes that each place their first request on the first upstream.
func ownSlots(t *testing.T, n int, upstreams ...*fakeUpstream) []*fixture {
	nodes, _, _ := keyedFleet(t, n, upstreams...)
	for _, f := range nodes {
		f.Gateway.Slots = f.slots
	}
	return nodes
}

// Guards against answers that reach the wrong caller, are lost or are run twice when an upstream crosses the answers
// of two nodes, neither of which can hand the other its own: what may be repeated gets its whole answer from one
// more run, and what may not is unknown after a single run. A stream is treated alike, from its first event on or
// later.
func TestAnswersCrossedBetweenNodes(t *testing.T) {
	marked := []string{api.HeaderNonIdempotent, "true"}
	chat := func(stream bool) func(int) (string, string, string) {
		return func(i int) (string, string, string) {
			return "POST", "/v1/chat/completions", chatBody(fmt.Sprint("own text ", i), stream)
		}
	}
	charge := func(i int) (string, string, string) {
		return "POST", "/v1/services/status/charge", fmt.Sprint("own text ", i)
	}
	lookup := func(i int) (string, string, string) { return "GET", fmt.Sprint("/v1/services/status/own text ", i), "" }
	for _, c := range []struct {
		name   string
		call   func(i int) (method, path, body string)
		own    int
		once   bool
		header []string
	}{
		{"completion", chat(false), 0, false, nil},
		{"lookup", lookup, 0, false, nil},
		{"stream from the first event", chat(true), 0, false, nil},
		{"stream in the middle", chat(true), 2, false, nil},
		{"charge", charge, 0, true, nil},
		{"marked completion", chat(false), 0, true, marked},
		{"marked stream from the first event", chat(true), 0, true, marked},
		{"marked stream in the middle", chat(true), 2, true, marked},
	} {
		t.Run(c.name, func(t *testing.T) {
			kind := api.UpstreamEngine
			if method, path, _ := c.call(0); method == "GET" || strings.HasSuffix(path, "charge") {
				kind = api.UpstreamService
			}
			bad, good := newUpstream(t, "bad", kind), newUpstream(t, "good", kind)
			x := &crossing{own: c.own, waiting: make(chan crossed), patience: 10 * time.Second}
			bad.fault, bad.tokens, good.tokens = x.fault, 5, 5
			var group sync.WaitGroup
			nodes := ownSlots(t, 2, bad, good)
			for i, f := range nodes {
				group.Go(func() {
					method, path, body := c.call(i)
					checkCrossed(t, f.send(context.Background(), method, strings.ReplaceAll(path, " ", "%20"), body, c.header...),
						i, strings.Contains(body, `"stream":true`), c.own, c.once)
				})
			}
			group.Wait()
			assert.Equal(t, bad.runCount(), 2)
			if c.once {
				assert.Equal(t, good.runCount(), 0)
			} else {
				assert.Equal(t, good.runCount(), 2)
			}
		})
	}
}

// checkCrossed checks the answer to request i.
func checkCrossed(t *testing.T, r reply, i int, stream bool, own int, once bool) {
	t.Helper()
	assert.Check(t, r.err)
	switch {
	case once && own > 0:
		assert.Check(t, cmp.Equal(strings.Count(r.body, `"offset":`), own), r.body)
		assert.Check(t, cmp.Contains(r.body, "event: error"))
		assert.Check(t, cmp.Contains(r.body, `"outcome":"unknown"`))
		assert.Check(t, !strings.Contains(r.body, "[DONE]"), r.body)
	case once:
		assert.Check(t, cmp.Equal(r.status, 502), r.body)
		assert.Check(t, cmp.Equal(r.outcome, "unknown"))
	case stream:
		id := fmt.Sprintf(`"id":%q`, r.header.Get(api.HeaderRequestID))
		assert.Check(t, cmp.Equal(strings.Count(r.body, id), 5), r.body)
		assert.Check(t, cmp.Equal(strings.Count(r.body, `"offset":`), 5), r.body)
		assert.Check(t, cmp.Contains(r.body, "[DONE]"))
	default:
		assert.Check(t, cmp.Equal(r.status, 200), r.body)
		text := fmt.Sprint("own text ", i)
		assert.Check(t, strings.Contains(strings.ReplaceAll(r.body, "%20", " "), text), r.body)
	}
}

// Guards the budget while an upstream crosses answers all the time: a caller gets its own answer or `unknown`, and
// retries stay within their share.
func TestCrossedAnswersStayWithinTheBudget(t *testing.T) {
	bad, good := newUpstream(t, "bad", api.UpstreamEngine), newUpstream(t, "good", api.UpstreamEngine)
	bad.fault = (&crossing{waiting: make(chan crossed), patience: 50 * time.Millisecond}).fault
	nodes := ownSlots(t, 2, bad, good)
	const calls = 60
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() {
			r := nodes[i%2].chat(fmt.Sprint("own text ", i), api.HeaderTimeoutMs, "5000")
			if r.status == 200 {
				assert.Check(t, cmp.Contains(r.body, fmt.Sprintf(`"content":"own text %d"`, i)))
			} else {
				assert.Check(t, cmp.Equal(r.outcome, "unknown"), r.body)
			}
		})
	}
	group.Wait()
	runs := bad.runCount() + good.runCount()
	assert.Assert(t, runs > calls && runs <= calls+calls/10+4, "%d runs", runs)
}
