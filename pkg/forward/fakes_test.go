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

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/failedruns"
	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/controller/streamversions"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/drain"
	"trefoilplank.example/pkg/decision/reach"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventlog"
)

var testHeaders = HeaderNames{
	RequestID: "X-Id", Deadline: "X-Deadline", ExpectInstance: "X-Expect", NotRun: "X-Not-Run", Load: "X-Load",
	LastEventID: "X-After", Resumes: "X-Resumes", Signature: "X-Stamp",
}

const testHost = "calls.example"

// receivedRequest is a request as it reached an upstream.
type receivedRequest struct {
	upstream, target, body string
	header                 http.Header
}

// fixture is a forwarder in front of fake upstreams.
type fixture struct {
	*httptest.Server
	mu         sync.Mutex
	received   []receivedRequest
	cancelled  chan string
	failedRuns *failedruns.Controller
	streams    *streamversions.Controller
	// upstreams holds the fake upstreams by name, processes their processes.
	upstreams map[string]*httptest.Server
	processes map[string]*process
	placer    *placer.Placer
	list      []dispatch.Upstream
	links     *uplink.Links
	forwarder *Forwarder
	metrics   *metrics.Set
	// drainEnd is when the node closes, or zero while it does not drain.
	drainEnd time.Time
	// lateCallers is until when a draining node accepts requests by the usual duration of their runs.
	lateCallers time.Time
}

type behaviour func(f *fixture, w http.ResponseWriter, r *http.Request)

// newFixture starts a forwarder with the upstreams u0, u1, …, each with the given behaviour. Every response echoes
// the request's ID and is signed unless the behaviour changes that.
func newFixture(t testing.TB, behaviours ...behaviour) *fixture {
	return newVersionFixture(t, make([]string, len(behaviours)), behaviours...)
}

// newVersionFixture is newFixture with the software version of each upstream.
func newVersionFixture(t testing.TB, versions []string, behaviours ...behaviour) *fixture {
	return newLinkedFixture(t, nil, versions, behaviours...)
}

// newLinkedFixture is newVersionFixture with options of the links to the upstreams, whose processes can be stopped if there are
// any.
func newLinkedFixture(t testing.TB, linkOptions *uplink.Options, versions []string, behaviours ...behaviour) *fixture {
	f := &fixture{cancelled: make(chan string, 10), upstreams: map[string]*httptest.Server{}, processes: map[string]*process{}}
	log := &eventlog.Log{}
	p := placer.New("zone", log)
	var upstreams []dispatch.Upstream
	for n, b := range behaviours {
		name := fmt.Sprint("u", n)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			f.mu.Lock()
			f.received = append(f.received, receivedRequest{name, r.RequestURI, string(body), r.Header.Clone()})
			f.mu.Unlock()
			w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
			w.Header().Set(testHeaders.Signature, name)
			b(f, w, r)
		}))
		f.processes[name] = &process{}
		if linkOptions != nil {
			server.Listener = &processListener{server.Listener, f.processes[name]}
		}
		server.Start()
		t.Cleanup(server.Close)
		t.Cleanup(f.processes[name].resume)
		f.upstreams[name] = server
		upstreams = append(upstreams, dispatch.Upstream{
			ID: name, Address: strings.TrimPrefix(server.URL, "http://"), Service: "s", AvailabilityZone: "zone", Slots: 8, SoftwareVersion: versions[n],
		})
	}
	p.SetUpstreams(upstreams)
	if linkOptions == nil {
		linkOptions = &uplink.Options{}
	}
	f.placer, f.list, f.links = p, upstreams, uplink.New(*linkOptions)
	linked := make([]reach.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		linked = append(linked, reach.Upstream{Address: u.Address, Service: u.Service})
	}
	f.links.SetUpstreams(linked)
	p.SetHeard(f.links.HeardAt)
	table := routing.NewTable(routing.Configuration{Routes: []routing.Route{
		route("/stream/", routing.KindStream, true, 3), route("/once/", routing.KindStream, false, 1),
		route("/idempotent/", routing.KindIdempotent, false, 3), route("/unsafe/", routing.KindNonIdempotent, false, 3),
	}})
	client := NewClient(testHeaders, f.links, p.Announce, nil)
	t.Cleanup(client.Close)
	f.failedRuns = failedruns.New(failedruns.Options{
		Node: "node", Others: func() []string { return nil }, Owner: func(string) string { return "node" }, Exchange: func() {}, Log: log,
	})
	f.streams = streamversions.New(streamversions.Options{
		Hubs: func() []string { return nil }, Exchange: func() {}, ListAge: func() time.Duration { return 0 }, Joined: func() bool { return true }, Log: log,
	})
	f.streams.Observe(upstreams)
	f.metrics = metrics.NewSet()
	f.forwarder = New(Options{
		HeaderNames: testHeaders, Placer: p, Client: client, Table: func() *routing.Table { return table },
		FailedRuns: f.failedRuns, Streams: f.streams,
		RequestSlots: func(context.Context) bool { return false }, Log: log,
		Draining: func() bool { return !f.drainEnd.IsZero() }, DrainPlan: func() drain.Plan { return drain.Plan{End: f.drainEnd, LateCallers: f.lateCallers} },
		Metrics: NewMetrics(f.metrics),
	})
	f.Server = httptest.NewServer(f.forwarder)
	t.Cleanup(f.Server.Close)
	return f
}

func route(prefix string, kind routing.Kind, resumable bool, attempts int) routing.Route {
	return routing.Route{
		Name: prefix, Host: testHost, Prefix: prefix, Kind: kind, Service: "s", Resumable: resumable, MaxAttempts: attempts,
		Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, PauseObjective: 300 * time.Millisecond,
	}
}

// call sends a request whose target reaches the forwarder byte for byte.
func (f *fixture) call(t *testing.T, target, body string) (*http.Response, string, error) {
	t.Helper()
	return f.callWith(t, target, body, nil)
}

// callWith is call with more headers.
func (f *fixture) callWith(t *testing.T, target, body string, header map[string]string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, f.URL, strings.NewReader(body))
	assert.NilError(t, err)
	path, query, hasQuery := strings.Cut(target, "?")
	req.URL.Opaque, req.URL.RawQuery, req.URL.ForceQuery = path, query, hasQuery
	req.Host = testHost
	req.Header.Set(testHeaders.RequestID, "r1")
	req.Header.Set(testHeaders.Deadline, "2000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

func (f *fixture) requests() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedRequest(nil), f.received...)
}

// stream sends the events from the one after the caller's last event up to, but not including, end.
func stream(w http.ResponseWriter, r *http.Request, end int) {
	first := 0
	if after, err := strconv.Atoi(r.Header.Get(testHeaders.LastEventID)); err == nil {
		first = after + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n < end; n++ {
		fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", n, n)
		w.(http.Flusher).Flush()
	}
}

// allEvents returns the complete stream of ten events.
func allEvents() string {
	var b strings.Builder
	for n := range 10 {
		fmt.Fprintf(&b, "id: %d\ndata: part %d\n\n", n, n)
	}
	return b.String()
}

func streamsAll(_ *fixture, w http.ResponseWriter, r *http.Request) { stream(w, r, 10) }

// crashes ends the upstream as soon as it runs a request whose body says so, and streams all events otherwise.
func crashes(f *fixture, w http.ResponseWriter, r *http.Request) {
	received := f.requests()
	if received[len(received)-1].body != crashBody {
		stream(w, r, 10)
		return
	}
	server := f.upstreams[r.Header.Get(testHeaders.ExpectInstance)]
	server.Listener.Close()
	server.CloseClientConnections()
}

const crashBody = "crashes upstreams"

// breaksOnce breaks the connection in the middle of event 4 on the first request of a fixture, and streams all events
// otherwise.
func breaksOnce(f *fixture, w http.ResponseWriter, r *http.Request) {
	if len(f.requests()) > 1 {
		stream(w, r, 10)
		return
	}
	stream(w, r, 4)
	_, _ = io.WriteString(w, "id: 4\ndata: pa")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// unresponsiveOnce takes no more connections and sends nothing to the first request until it is cancelled, and streams all events
// otherwise.
func unresponsiveOnce(f *fixture, w http.ResponseWriter, r *http.Request) {
	if len(f.requests()) > 1 {
		stream(w, r, 10)
		return
	}
	f.upstreams[r.Header.Get(testHeaders.ExpectInstance)].Listener.Close()
	<-r.Context().Done()
	f.cancelled <- r.Header.Get(testHeaders.RequestID)
}

// stallsOnce sends three events to the first request, takes no more connections and then sends nothing until it is cancelled, and
// streams all events otherwise.
func stallsOnce(f *fixture, w http.ResponseWriter, r *http.Request) {
	if len(f.requests()) > 1 {
		stream(w, r, 10)
		return
	}
	stream(w, r, 3)
	f.upstreams[r.Header.Get(testHeaders.ExpectInstance)].Listener.Close()
	<-r.Context().Done()
}

// tricklesOnce sends a number of events to the first request and then an event that is never completed, a byte every 50 ms,
// and streams all events otherwise.
func tricklesOnce(events int) behaviour {
	return func(f *fixture, w http.ResponseWriter, r *http.Request) {
		if len(f.requests()) > 1 {
			stream(w, r, 10)
			return
		}
		stream(w, r, events)
		for data := "data: "; r.Context().Err() == nil; data = "x" {
			_, _ = io.WriteString(w, data)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func answersWith(status int, header, value string) behaviour {
	return func(_ *fixture, w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(header, value)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "body")
	}
}

// crossedOnce answers the first request with another request's ID.
func crossedOnce(f *fixture, w http.ResponseWriter, _ *http.Request) {
	if len(f.requests()) == 1 {
		w.Header().Set(testHeaders.RequestID, "other")
	}
	_, _ = io.WriteString(w, "answer")
}

// failsWithLongBody answers with a status of 500 and a body longer than a node buffers.
func failsWithLongBody(_ *fixture, w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, longBody)
}

var longBody = strings.Repeat("0123456789abcdef", 3*maxBufferedBytes/16/2)

// unsignedOnce answers the first request without a signature.
func unsignedOnce(f *fixture, w http.ResponseWriter, _ *http.Request) {
	if len(f.requests()) == 1 {
		w.Header().Del(testHeaders.Signature)
	}
	_, _ = io.WriteString(w, "answer")
}
