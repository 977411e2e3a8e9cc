package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/batch/handler"
	"trefoilplank.example/pkg/controller/drain"
	decision "trefoilplank.example/pkg/decision/drain"
	"trefoilplank.example/pkg/serving"
)

// stoppingNode is a gateway whose drain a test ends.
type stoppingNode struct {
	*fixture
	servers *drain.Servers
	plan    atomic.Pointer[decision.Plan]
	address string
	served  chan error
}

// startStoppingNode serves a fixture on a port of its own.
func startStoppingNode(f *fixture) *stoppingNode {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	n := &stoppingNode{fixture: f, servers: &drain.Servers{Gate: f.Gate}, address: l.Addr().String(), served: make(chan error, 1)}
	n.plan.Store(&decision.Plan{})
	n.DrainPlan = func() decision.Plan { return *n.plan.Load() }
	server := NewServer(f.Gateway)
	go func() { n.served <- n.servers.Serve(server, l, server.Serve) }()
	n.url = "http://" + n.address
	return n
}

// stop ends the node as a drain of a limited time does, and returns how many requests that ended.
func (n *stoppingNode) stop(limit time.Duration) int64 {
	plan := decision.NewPlan(time.Now(), limit, time.Now())
	n.plan.Store(&plan)
	n.board.Draining.Set(true)
	assert.NilError(n.t, n.servers.Refuse())
	ended := n.servers.Stop(plan.End, nil)
	assert.NilError(n.t, <-n.served)
	return ended
}

// begin sends the first part of a request on a new connection; answer reads the answer.
func (n *stoppingNode) begin(text string) (conn net.Conn, answer func() (reply, api.ErrorDetail)) {
	conn, err := net.Dial("tcp", n.address)
	assert.NilError(n.t, err)
	n.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(n.t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, text)
	assert.NilError(n.t, err)
	return conn, func() (reply, api.ErrorDetail) {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return reply{err: err}, api.ErrorDetail{}
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if resp.Close {
			resp.Header.Set("Connection", "close")
		}
		var e api.ErrorBody
		_ = json.Unmarshal(body, &e) // Only errors have that form.
		return reply{resp.StatusCode, resp.Header, string(body), resp.Header.Get(api.HeaderOutcome), err}, e.Error
	}
}

// requestHead returns the head of a request with the test key.
func requestHead(method, path string, length int, header ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", method, path, testKey, length)
	for i := 0; i+1 < len(header); i += 2 {
		head += header[i] + ": " + header[i+1] + "\r\n"
	}
	return head + "\r\n"
}

// Guards against a connection that stays open behind the refusal of a node that stops: the next request on it would be cut.
func TestRefusalAtTheEndClosesItsConnection(t *testing.T) {
	f := newFixture(t, nil, newUpstream(t, "e1", api.UpstreamEngine))
	n := startStoppingNode(f)
	n.board.Draining.Set(true)
	n.Gate.Close()
	body := chatBody("late", false)
	_, answer := n.begin(requestHead("POST", "/v1/chat/completions", len(body)) + body)
	r, detail := answer()
	assert.NilError(t, r.err)
	assert.Equal(t, fmt.Sprint(r.status, " ", detail.Code, " ", r.outcome, " ", detail.RetryAfterSeconds), "503 not_ready not-run 1")
	assert.Equal(t, r.header.Get("Connection"), "close")
}

// Guards against a connection that is closed without an answer when a node stops while the body of the request arrives: it has not run.
func TestBodyInProgressAtTheEndIsRefused(t *testing.T) {
	f := newFixture(t, nil, newUpstream(t, "e1", api.UpstreamEngine), newUpstream(t, "s1", api.UpstreamService))
	config := f.board.Config.Value()
	config.Register.Callers[0].Grants.Batch = true
	f.board.Config.Set(config)
	f.Mount("/v1/files", handler.New(handler.Options{Store: memstore.New()}))
	n := startStoppingNode(f)
	form := "--x\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--x\r\n" +
		"Content-Disposition: form-data; name=\"file\"; filename=\"a\"\r\n\r\n{\"custom_id\":"
	answers := map[string]func() (reply, api.ErrorDetail){}
	for name, text := range map[string]string{
		"completion": requestHead("POST", "/v1/chat/completions", 500) + `{"model":`,
		"service":    requestHead("POST", "/v1/services/status/note", 500) + "a",
		"unsent":     requestHead("POST", "/v1/services/status/note", 500),
		"keyed":      requestHead("POST", "/v1/services/status/note", 500, api.HeaderIdempotencyKey, "a", api.HeaderNonIdempotent, "true") + "a",
		"upload":     requestHead("POST", "/v1/files", 5000, "Content-Type", "multipart/form-data; boundary=x") + form,
		"form":       requestHead("POST", "/v1/files", 5000, "Content-Type", "multipart/form-data; boundary=x") + "--x\r\nContent-",
	} {
		_, answers[name] = n.begin(text)
	}
	eventually(t, "the requests are in progress", func() bool { return n.Active() == int64(len(answers)) })
	assert.Equal(t, n.stop(300*time.Millisecond), int64(len(answers)))
	for name, answer := range answers {
		r, detail := answer()
		assert.Check(t, r.err, name)
		assert.Check(t, cmp.Equal(fmt.Sprint(r.status, " ", detail.Code, " ", r.outcome), "503 not_ready not-run"), name)
		assert.Check(t, detail.RetryAfterSeconds > 0, name)
	}
}

// waitingSlots grants no slot. Requests wait for one until they end, as at an admission owner.
type waitingSlots struct{ serving.SlotAllocator }

func (waitingSlots) Acquire(ctx context.Context, r serving.Request) (*serving.Slot, error) {
	<-ctx.Done()
	return nil, api.Errorf(http.StatusGatewayTimeout, api.CodeDeadline, api.NotRun, "the request was given up while it waited for a slot")
}

// Guards against requests that wait for a slot when a node stops and are told that their deadline has passed: they have not run, and
// another node can serve them at once, also under the same key.
func TestRequestWaitingForASlotAtTheEndIsRefused(t *testing.T) {
	s := newUpstream(t, "s1", api.UpstreamService)
	nodes, _, _ := startKeyedNodes(t, 2, s)
	nodes[0].Slots = waitingSlots{}
	n := startStoppingNode(nodes[0])
	var answers []func() (reply, api.ErrorDetail)
	for _, header := range [][]string{nil, {api.HeaderNonIdempotent, "true", api.HeaderIdempotencyKey, "a"}, {api.HeaderIdempotencyKey, "b"}} {
		_, answer := n.begin(requestHead("POST", "/v1/services/status/charge", 1, header...) + "5")
		answers = append(answers, answer)
	}
	eventually(t, "the requests are in progress", func() bool { return n.Active() == int64(len(answers)) })
	assert.Equal(t, n.stop(300*time.Millisecond), int64(len(answers)))
	for _, answer := range answers {
		r, detail := answer()
		assert.NilError(t, r.err)
		assert.Equal(t, fmt.Sprint(r.status, " ", detail.Code, " ", r.outcome), "503 not_ready not-run")
	}
	for _, key := range []string{"a", "b"} {
		r := nodes[1].send(context.Background(), "POST", "/v1/services/status/charge", "5", api.HeaderNonIdempotent, fmt.Sprint(key == "a"), api.HeaderIdempotencyKey, key)
		assert.Equal(t, r.status, 200, r.body)
	}
	assert.Equal(t, s.runCount(), 2)
}

// Guards against runs that nobody hears of when the node stops that made them: of requests with a key that wait for such a run at another
// node, one that can be repeated runs again there, and one that can't be is unknown and is never run a second time. That holds
// too if the caller of the run has left.
func TestKeyedRunsAtTheEnd(t *testing.T) {
	for _, left := range []bool{false, true} {
		t.Run(fmt.Sprint("caller has left ", left), func(t *testing.T) {
			s := newUpstream(t, "s1", api.UpstreamService)
			var silent atomic.Bool
			silent.Store(true)
			s.fault = func(_ *fakeUpstream, _ http.ResponseWriter, r *http.Request, _ []byte) bool {
				if silent.Load() {
					<-r.Context().Done()
				}
				return silent.Load()
			}
			nodes, _, _ := startKeyedNodes(t, 2, s)
			n := startStoppingNode(nodes[0])
			calls := map[string]string{
				"lookup": requestHead("GET", "/v1/services/status/record", 0, api.HeaderIdempotencyKey, "a"),
				"charge": requestHead("POST", "/v1/services/status/charge", 1, api.HeaderIdempotencyKey, "b", api.HeaderNonIdempotent, "true") + "5",
			}
			answers := map[string]func() (reply, api.ErrorDetail){}
			for name, text := range calls {
				conn, answer := n.begin(text)
				answers[name] = answer
				eventually(t, "the request runs", func() bool { return s.runCount() == len(answers) })
				if left {
					assert.NilError(t, conn.Close())
				}
			}
			joined := map[string]chan reply{"lookup": make(chan reply, 1), "charge": make(chan reply, 1)}
			go func() {
				joined["lookup"] <- nodes[1].send(context.Background(), "GET", "/v1/services/status/record", "", api.HeaderIdempotencyKey, "a")
			}()
			go func() { joined["charge"] <- charge(nodes[1], api.HeaderIdempotencyKey, "b") }()
			time.Sleep(100 * time.Millisecond)
			stopped := make(chan int64, 1)
			go func() { stopped <- n.stop(300 * time.Millisecond) }()
			time.Sleep(200 * time.Millisecond)
			silent.Store(false)
			assert.Equal(t, <-stopped, int64(len(calls)))
			assert.Equal(t, n.Active(), int64(0))
			for name, answer := range answers {
				if left {
					continue
				}
				r, detail := answer()
				assert.NilError(t, r.err, name)
				assert.Equal(t, fmt.Sprint(r.status, " ", detail.Code, " ", r.outcome), "504 not_ready unknown", name)
			}
			r := <-joined["lookup"]
			assert.Equal(t, r.status, 200, r.body)
			r = <-joined["charge"]
			assert.Equal(t, r.outcome, "unknown", r.body)
			r = charge(nodes[1], api.HeaderIdempotencyKey, "b")
			assert.Equal(t, r.outcome, "unknown", r.body)
			assert.Equal(t, s.runCount(), 3)
		})
	}
}

// Guards against a request that waits for an equal one at another node when its own node stops, and is told that its deadline has passed.
func TestJoinedRequestAtTheEnd(t *testing.T) {
	s := newUpstream(t, "s1", api.UpstreamService)
	s.fault = delayed(time.Second)
	nodes, _, _ := startKeyedNodes(t, 2, s)
	n := startStoppingNode(nodes[0])
	first := make(chan reply, 1)
	go func() { first <- charge(nodes[1], api.HeaderIdempotencyKey, "a") }()
	eventually(t, "the request runs", func() bool { return s.runCount() == 1 })
	_, answer := n.begin(requestHead("POST", "/v1/services/status/charge", 1, api.HeaderIdempotencyKey, "a", api.HeaderNonIdempotent, "true") + "5")
	eventually(t, "the request waits", func() bool { return n.Active() == 1 })
	assert.Equal(t, n.stop(200*time.Millisecond), int64(1))
	r, detail := answer()
	assert.NilError(t, r.err)
	assert.Equal(t, fmt.Sprint(r.status, " ", detail.Code, " ", r.outcome), "504 not_ready unknown")
	assert.Equal(t, (<-first).status, 200)
}

// Guards against uploads and downloads that a draining node accepts although it may have to end them, and against short calls that it
// refuses although their callers could not know of the drain or it has time for them.
func TestCallsWithoutDeadlineDuringADrain(t *testing.T) {
	f := newFixture(t, nil)
	f.Mount("/v1/files", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // The test does not send all of it.
		fmt.Fprint(w, "{}")
	}))
	n := startStoppingNode(f)
	now := time.Now()
	for _, c := range []struct {
		name   string
		plan   decision.Plan
		status int
	}{
		{"no drain", decision.Plan{}, 200},
		{"callers could not know", decision.Plan{Begun: now, LateCallers: now.Add(time.Minute), End: now.Add(time.Minute)}, 200},
		{"callers could not know, no time left", decision.Plan{Begun: now, LateCallers: now.Add(time.Minute), End: now.Add(time.Second / 2)}, 503},
		{"late", decision.Plan{Begun: now, LateCallers: now, End: now.Add(time.Minute)}, 503},
		{"late, and there is time", decision.Plan{Begun: now, LateCallers: now, End: now.Add(time.Hour)}, 200},
	} {
		n.plan.Store(&c.plan)
		n.board.Draining.Set(!c.plan.End.IsZero())
		_, answer := n.begin(requestHead("GET", "/v1/files", 0))
		r, _ := answer()
		assert.NilError(t, r.err, c.name)
		assert.Equal(t, r.status, c.status, c.name)
		if c.status == 200 {
			continue
		}
		_, answer = n.begin(requestHead("POST", "/v1/files", 500) + "a")
		begun := time.Now()
		r, detail := answer()
		assert.NilError(t, r.err, c.name)
		assert.Equal(t, fmt.Sprint(r.status, " ", detail.Code, " ", r.outcome, " ", detail.RetryAfterSeconds), "503 not_ready not-run 1", c.name)
		assert.Assert(t, time.Since(begun) < unreadBodyTimeout/2, "refused after %s", time.Since(begun))
	}
}
