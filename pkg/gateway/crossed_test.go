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

// answerSwapper makes an upstream give each of two requests in flight, one of each of two nodes, the answer to the other one.
type answerSwapper struct {
	// ownEvents is the number of correct events at the start of a stream, before the swap.
	ownEvents int
	// waiting holds the requests of each node.
	waiting [2]chan pendingAnswer
	// maxWait is how long a request waits for another one; after that it gets its own answer.
	maxWait time.Duration
}

func newAnswerSwapper(ownEvents int, maxWait time.Duration) *answerSwapper {
	return &answerSwapper{ownEvents, [2]chan pendingAnswer{make(chan pendingAnswer), make(chan pendingAnswer)}, maxWait}
}

// pendingAnswer is a request that waits for another one to swap answers with; the other one is received from swap.
type pendingAnswer struct {
	id   string
	body []byte
	swap chan pendingAnswer
}

func (c *answerSwapper) fault(f *fakeUpstream, w http.ResponseWriter, r *http.Request, body []byte) bool {
	own := pendingAnswer{r.Header.Get("X-Request-Id"), body, make(chan pendingAnswer, 1)}
	if strings.Contains(string(body), `"stream":true`) && c.ownEvents > 0 {
		f.stream(w, own.id, 0, c.ownEvents, false)
	}
	node := 0
	if strings.HasPrefix(own.id, "n1-") {
		node = 1
	}
	var other pendingAnswer
	select {
	case c.waiting[node] <- own:
		other = <-own.swap
	case other = <-c.waiting[1-node]:
		other.swap <- own
	case <-time.After(c.maxWait):
		return false
	}
	if c.ownEvents > 0 && strings.Contains(string(body), `"stream":true`) {
		f.stream(w, other.id, c.ownEvents, f.tokens, true)
		return true
	}
	w.Header().Set("X-Request-Id", other.id)
	f.answer(w, r, other.id, other.body)
	return true
}

// startNodesWithOwnSlots starts nodes that do not share slots, so that the first request of each runs on the first
// upstream.
func startNodesWithOwnSlots(t *testing.T, n int, upstreams ...*fakeUpstream) []*fixture {
	nodes, _, _ := startKeyedNodes(t, n, upstreams...)
	for _, f := range nodes {
		f.Gateway.Slots = f.slots
	}
	return nodes
}

// Guards against answers that reach the wrong caller or are lost when an upstream swaps the answers to requests of two
// nodes, which can't exchange them, and against forbidden repetitions: a repeatable request gets its complete answer
// from one more run, any other one gets outcome unknown after a single run. The same holds for a stream whose events
// are swapped from the first one on or later.
func TestAnswersCrossedBetweenNodes(t *testing.T) {
	nonIdempotent := []string{api.HeaderNonIdempotent, "true"}
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
		name      string
		call      func(i int) (method, path, body string)
		ownEvents int
		once      bool
		header    []string
	}{
		{"completion", chat(false), 0, false, nil},
		{"lookup", lookup, 0, false, nil},
		{"stream from the first event", chat(true), 0, false, nil},
		{"stream in the middle", chat(true), 2, false, nil},
		{"charge", charge, 0, true, nil},
		{"marked completion", chat(false), 0, true, nonIdempotent},
		{"marked stream from the first event", chat(true), 0, true, nonIdempotent},
		{"marked stream in the middle", chat(true), 2, true, nonIdempotent},
	} {
		t.Run(c.name, func(t *testing.T) {
			kind := api.UpstreamEngine
			if method, path, _ := c.call(0); method == "GET" || strings.HasSuffix(path, "charge") {
				kind = api.UpstreamService
			}
			bad, good := newUpstream(t, "bad", kind), newUpstream(t, "good", kind)
			x := newAnswerSwapper(c.ownEvents, 10*time.Second)
			bad.fault, bad.tokens, good.tokens = x.fault, 5, 5
			var group sync.WaitGroup
			nodes := startNodesWithOwnSlots(t, 2, bad, good)
			for i, f := range nodes {
				f.slots.inOrder = true // A verdict of the quarantine that comes late returns the first slot unused.
				group.Go(func() {
					method, path, body := c.call(i)
					checkCrossed(t, f.send(context.Background(), method, strings.ReplaceAll(path, " ", "%20"), body, c.header...),
						i, strings.Contains(body, `"stream":true`), c.ownEvents, c.once)
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

// checkCrossed checks the answer to request i; once means that the request must not be repeated.
func checkCrossed(t *testing.T, r reply, i int, stream bool, ownEvents int, once bool) {
	t.Helper()
	assert.Check(t, r.err)
	switch {
	case once && ownEvents > 0:
		assert.Check(t, cmp.Equal(strings.Count(r.body, `"offset":`), ownEvents), r.body)
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

// Guards the retry budget while an upstream swaps the answers to requests of two nodes: each caller gets its own answer or outcome unknown, and
// retries stay within 10 % of the calls plus the reserve.
func TestCrossedAnswersStayWithinTheBudget(t *testing.T) {
	bad, good := newUpstream(t, "bad", api.UpstreamEngine), newUpstream(t, "good", api.UpstreamEngine)
	bad.fault = newAnswerSwapper(0, time.Second).fault
	nodes := startNodesWithOwnSlots(t, 2, bad, good)
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
