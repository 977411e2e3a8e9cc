package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventlog"
)

var testDialect = Dialect{
	RequestID: "X-Id", Deadline: "X-Deadline", ExpectInstance: "X-Expect", NotRun: "X-Not-Run", Load: "X-Load",
	LastEventID: "X-After", Stamp: "X-Stamp",
}

const testHost = "calls.example"

// seen is one request as it reached an upstream.
type seen struct {
	upstream, target, body string
	header                 http.Header
}

// fixture is a forwarder before some upstreams.
type fixture struct {
	*httptest.Server
	mu   sync.Mutex
	seen []seen
	gone chan string
	// ends is when the node closes, if it drains.
	ends time.Time
}

type behaviour func(f *fixture, w http.ResponseWriter, r *http.Request)

// newFixture starts a forwarder whose upstreams u0, u1, … behave as given. Every answer echoes the request's id first.
func newFixture(t *testing.T, behaviours ...behaviour) *fixture {
	f := &fixture{gone: make(chan string, 10)}
	log := &eventlog.Log{}
	p := placer.New("zone", log)
	var upstreams []dispatch.Upstream
	for n, b := range behaviours {
		name := fmt.Sprint("u", n)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			f.mu.Lock()
			f.seen = append(f.seen, seen{name, r.RequestURI, string(body), r.Header.Clone()})
			f.mu.Unlock()
			w.Header().Set(testDialect.RequestID, r.Header.Get(testDialect.RequestID))
			w.Header().Set(testDialect.Stamp, name)
			b(f, w, r)
		}))
		t.Cleanup(server.Close)
		upstreams = append(upstreams, dispatch.Upstream{
			ID: name, Address: strings.TrimPrefix(server.URL, "http://"), Service: "s", AvailabilityZone: "zone", Slots: 8,
		})
	}
	p.SetUpstreams(upstreams)
	table := routing.NewTable(routing.Configuration{Routes: []routing.Route{
		route("/stream/", routing.KindStream, true, 3), route("/once/", routing.KindStream, false, 1),
		route("/idempotent/", routing.KindIdempotent, false, 3), route("/unsafe/", routing.KindNonIdempotent, false, 3),
	}})
	client := NewClient(testDialect)
	t.Cleanup(client.Close)
	f.Server = httptest.NewServer(New(Options{
		Dialect: testDialect, Placer: p, Client: client, Table: func() *routing.Table { return table },
		Ask: func(context.Context) bool { return false }, Log: log,
		Draining: func() bool { return !f.ends.IsZero() }, Ends: func() time.Time { return f.ends },
	}))
	t.Cleanup(f.Server.Close)
	return f
}

func route(prefix string, kind routing.Kind, resumable bool, attempts int) routing.Route {
	return routing.Route{
		Name: prefix, Host: testHost, Prefix: prefix, Kind: kind, Service: "s", Resumable: resumable, MaxAttempts: attempts,
		Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, PauseObjective: 300 * time.Millisecond,
	}
}

// call sends a request of which the target goes out byte for byte.
func (f *fixture) call(t *testing.T, target, body string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.URL, strings.NewReader(body))
	assert.NilError(t, err)
	path, query, marked := strings.Cut(target, "?")
	req.URL.Opaque, req.URL.RawQuery, req.URL.ForceQuery = path, query, marked
	req.Host = testHost
	req.Header.Set(testDialect.RequestID, "r1")
	req.Header.Set(testDialect.Deadline, "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

func (f *fixture) sends() []seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]seen(nil), f.seen...)
}

// stream sends the events from the one after the caller's last up to end.
func stream(w http.ResponseWriter, r *http.Request, end int) {
	first := 0
	if after, err := strconv.Atoi(r.Header.Get(testDialect.LastEventID)); err == nil {
		first = after + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n < end; n++ {
		fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", n, n)
		w.(http.Flusher).Flush()
	}
}

// whole is a stream of all ten events.
func whole() string {
	var b strings.Builder
	for n := range 10 {
		fmt.Fprintf(&b, "id: %d\ndata: part %d\n\n", n, n)
	}
	return b.String()
}

func streams(_ *fixture, w http.ResponseWriter, r *http.Request) { stream(w, r, 10) }

// breaksOnce lets the first send of a fixture break in the middle of event 4, and streams otherwise.
func breaksOnce(f *fixture, w http.ResponseWriter, r *http.Request) {
	if len(f.sends()) > 1 {
		stream(w, r, 10)
		return
	}
	stream(w, r, 4)
	_, _ = io.WriteString(w, "id: 4\ndata: pa")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// silentOnce gives nothing to the first send until its caller is gone.
func silentOnce(f *fixture, w http.ResponseWriter, r *http.Request) {
	if len(f.sends()) > 1 {
		stream(w, r, 10)
		return
	}
	<-r.Context().Done()
	f.gone <- r.Header.Get(testDialect.RequestID)
}

// stallsOnce gives three events to the first send and then nothing.
func stallsOnce(f *fixture, w http.ResponseWriter, r *http.Request) {
	if len(f.sends()) > 1 {
		stream(w, r, 10)
		return
	}
	stream(w, r, 3)
	<-r.Context().Done()
}

func answers(status int, header, value string) behaviour {
	return func(_ *fixture, w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(header, value)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "body")
	}
}

// crossedOnce answers the first send with another request's id.
func crossedOnce(f *fixture, w http.ResponseWriter, _ *http.Request) {
	if len(f.sends()) == 1 {
		w.Header().Set(testDialect.RequestID, "other")
	}
	_, _ = io.WriteString(w, "answer")
}

// failsLong answers with a failure of more bytes than a node keeps.
func failsLong(_ *fixture, w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, longFailure)
}

var longFailure = strings.Repeat("0123456789abcdef", 3*maxBuffered/16/2)

// unsignedOnce answers the first send without a signature.
func unsignedOnce(f *fixture, w http.ResponseWriter, _ *http.Request) {
	if len(f.sends()) == 1 {
		w.Header().Del(testDialect.Stamp)
	}
	_, _ = io.WriteString(w, "answer")
}
