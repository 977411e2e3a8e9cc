package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/engine"
	"trefoilplank.example/pkg/adapter/service"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

const testKey = "key-1"

// fakeUpstream is an engine or a plain service, by its Kind. fault, when set, is called for each run and returns true
// if it has answered the request itself. tokens is the length of an answer, tokenInterval the time between its tokens.
type fakeUpstream struct {
	api.Upstream
	server        *httptest.Server
	tokens        int
	tokenInterval time.Duration
	fault         func(f *fakeUpstream, w http.ResponseWriter, r *http.Request, body []byte) bool

	mu sync.Mutex
	// runs and cancelled hold request IDs in order of arrival; streams holds the IDs of streams that can be resumed.
	runs      []string
	cancelled []string
	streams   map[string]bool
	// refuseResume is how many requests to resume a stream get their connection cut.
	refuseResume int
	// cutEachResume cuts each resumed stream after one token. down cuts every connection before an answer.
	cutEachResume, down bool
	// tokenPrefix is put before the text of each token, so that two engines give different texts.
	tokenPrefix string
}

func newUpstream(t testing.TB, name string, kind api.UpstreamKind) *fakeUpstream {
	f := &fakeUpstream{tokens: 3, streams: map[string]bool{}}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.Close)
	f.Upstream = api.Upstream{Name: name, Address: f.server.Listener.Addr().String(), Kind: kind}
	if kind == api.UpstreamEngine {
		f.Models = []string{"m"}
	} else {
		f.Service = "status"
	}
	return f
}

func (f *fakeUpstream) runCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

func (f *fakeUpstream) cancelCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.cancelled)
}

// crash closes the listener and every connection, as happens when a process is killed.
func (f *fakeUpstream) crash() {
	f.server.Listener.Close()
	f.server.CloseClientConnections()
}

func (f *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if f.down {
		cut(w)
		return
	}
	switch {
	case r.URL.Path == "/load":
		fmt.Fprint(w, "{}")
		return
	case r.URL.Path == "/v1/cancel":
		f.mu.Lock()
		f.cancelled = append(f.cancelled, id)
		f.mu.Unlock()
		fmt.Fprint(w, "{}")
		return
	case strings.HasPrefix(r.URL.Path, "/v1/streams/"):
		f.mu.Lock()
		known := f.streams[strings.TrimPrefix(r.URL.Path, "/v1/streams/")]
		f.refuseResume--
		refuse := f.refuseResume >= 0
		f.mu.Unlock()
		if refuse {
			cut(w)
			return
		}
		if !known {
			http.NotFound(w, r)
			return
		}
		from, _ := strconv.Atoi(r.URL.Query().Get("offset"))
		if f.cutEachResume && from+1 < f.tokens {
			f.stream(w, strings.TrimPrefix(r.URL.Path, "/v1/streams/"), from, from+1, false)
			cut(w)
			return
		}
		f.stream(w, strings.TrimPrefix(r.URL.Path, "/v1/streams/"), from, f.tokens, true)
		return
	}
	f.mu.Lock()
	f.runs = append(f.runs, id)
	f.mu.Unlock()
	if f.fault != nil && f.fault(f, w, r, body) {
		return
	}
	f.answer(w, r, id, body)
}

func (f *fakeUpstream) answer(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	if f.Kind == api.UpstreamService {
		fmt.Fprintf(w, `{"path":%q,"body":%q}`, r.URL.RequestURI(), body)
		return
	}
	var in struct {
		Stream bool `json:"stream"`
	}
	_ = json.Unmarshal(body, &in)
	if in.Stream {
		f.mu.Lock()
		f.streams[id] = true
		f.mu.Unlock()
		f.stream(w, id, 0, f.tokens, true)
		return
	}
	fmt.Fprintf(w, `{"id":%q,"echo":%s,"usage":{"completion_tokens":3}}`, id, body)
}

// stream sends the events at the offsets from up to, but not including, to, and then [DONE] if complete is set.
func (f *fakeUpstream) stream(w http.ResponseWriter, id string, from, to int, complete bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i < to; i++ {
		fmt.Fprintf(w, "data: {\"id\":%q,\"offset\":%d,\"created\":%d,\"choices\":[{\"text\":\"%st%d\"}]}\n\n",
			id, i, time.Now().UnixNano(), f.tokenPrefix, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(f.tokenInterval)
	}
	if complete {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// cut resets the connection of this request only.
func cut(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// fakeSlots assigns requests to its upstreams in rotation. A request with Alone waits for an idle upstream and blocks
// other requests from it.
type fakeSlots struct {
	mu        sync.Mutex
	upstreams []api.Upstream
	next      int
	// inOrder makes each request get the first upstream that it does not exclude, also after it has returned a slot unused.
	inOrder  bool
	busy     map[string]int
	alone    map[string]bool
	released []serving.Usage
}

func (s *fakeSlots) Acquire(ctx context.Context, r serving.Request) (*serving.Slot, error) {
	for {
		if slot := s.tryAcquire(r); slot != nil {
			return slot, nil
		}
		select {
		case <-ctx.Done():
			return nil, api.Errorf(503, api.CodeNoCapacity, api.NotRun, "no capacity")
		case <-time.After(time.Millisecond):
		}
	}
}

func (s *fakeSlots) tryAcquire(r serving.Request) *serving.Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inOrder {
		s.next = 0
	}
	for range s.upstreams {
		u := s.upstreams[s.next%len(s.upstreams)]
		s.next++
		if !u.Serves(r.Model, r.Service) || slices.Contains(r.Exclude, u.Name) || s.alone[u.Name] ||
			(r.Alone && s.busy[u.Name] > 0) {
			continue
		}
		s.busy[u.Name]++
		s.alone[u.Name] = r.Alone
		return &serving.Slot{Upstream: u, RequestID: r.ID}
	}
	return nil
}

func (s *fakeSlots) Release(slot *serving.Slot, u serving.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[slot.Upstream.Name]--
	s.alone[slot.Upstream.Name] = false
	s.released = append(s.released, u)
}

func (s *fakeSlots) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.busy {
		n += b
	}
	return n
}

// fixture is a gateway that serves HTTP at url, with a fake admission.
type fixture struct {
	*Gateway
	t     testing.TB
	url   string
	board *blackboard.Board
	slots *fakeSlots
}

func testConfig(upstreams []api.Upstream) api.Config {
	digest := sha256.Sum256([]byte(testKey))
	return api.Config{Version: 7, Register: api.Register{
		Callers: []api.Caller{{
			Name: "desk", Institution: "board", KeyDigests: []string{hex.EncodeToString(digest[:])},
			Grants: api.Grants{Models: []string{"m", "a"}, Services: []string{"status"}},
		}},
		Models: []api.Model{{Name: "m"}, {Name: "secret"}}, Adapters: []api.Adapter{{Name: "a", Model: "m"}},
		Upstreams: upstreams,
	}}
}

// newFixture starts a gateway with the upstreams; change, if not nil, adjusts its options first.
func newFixture(t testing.TB, change func(*Options), upstreams ...*fakeUpstream) *fixture {
	f := &fixture{t: t, board: blackboard.New(), slots: &fakeSlots{busy: map[string]int{}, alone: map[string]bool{}}}
	for _, u := range upstreams {
		f.slots.upstreams = append(f.slots.upstreams, u.Upstream)
	}
	f.board.Config.Set(testConfig(f.slots.upstreams))
	client := service.New(uplink.New(uplink.Options{}))
	t.Cleanup(client.Close)
	o := Options{
		Node: "n1", Board: f.board, Slots: f.slots, Invoker: engine.New(client),
		Explain: explain.NewLog("n1", 1000, time.Now),
	}
	if change != nil {
		change(&o)
	}
	f.Gateway = New(o)
	server := httptest.NewServer(f.Gateway)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// reply is the complete answer to a call; outcome is the header Trefoil-Outcome.
type reply struct {
	status  int
	header  http.Header
	body    string
	outcome string
	err     error
}

// send makes a call with the test key; header alternates names and values.
func (f *fixture) send(ctx context.Context, method, path, body string, header ...string) reply {
	req, err := http.NewRequestWithContext(ctx, method, f.url+path, bytes.NewBufferString(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b), resp.Header.Get(api.HeaderOutcome), err}
}

func (f *fixture) chat(text string, header ...string) reply {
	return f.send(context.Background(), "POST", "/v1/chat/completions", chatBody(text, false), header...)
}

func (f *fixture) chatStream(text string, header ...string) reply {
	return f.send(context.Background(), "POST", "/v1/chat/completions", chatBody(text, true), header...)
}

func chatBody(text string, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%t,"x_extra":{"keep":1.50},"messages":[{"role":"user","content":%q}]}`, stream, text)
}

// eventually polls ok for up to 2.5 s and fails the test with what if it never returns true.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, false, what)
}
