package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that reached a replica and was run there.
type run struct {
	id      string
	replica string
	at      time.Time
	after   int
	ended   string
}

// replica is a stand-in for a model replica: it runs up to slots requests at once, queues more, and sends a stream of events.
type replica struct {
	id, address string
	slots       chan struct{}
	queue       chan struct{}
	log         *runLog
	// events returns the number of events of a request and the data of each; interval is the time between them.
	events   func(id string) int
	data     func(id string, n int) string
	interval time.Duration
	// limit is the Server-Limit that the replica names, or empty. A replica without events answers with a body after interval.
	limit  string
	server *http.Server
}

// runLog holds the runs of all replicas.
type runLog struct {
	mu   sync.Mutex
	runs []*run
}

func (l *runLog) begin(id, replica string, after int) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{id: id, replica: replica, at: time.Now(), after: after, ended: "running"}
	l.runs = append(l.runs, r)
	return r
}

func (l *runLog) end(r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended = how
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []run
	for _, r := range l.runs {
		list = append(list, *r)
	}
	return list
}

const queueLength = 24

func newReplica(id string, slots int, log *runLog, interval time.Duration, events func(string) int, data func(string, int) string) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, address: l.Addr().String(), slots: make(chan struct{}, slots), queue: make(chan struct{}, queueLength+slots), log: log,
		events: events, data: data, interval: interval,
	}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	return r, nil
}

// entry is the replica's registration in the store.
func (r *replica) entry(service, zone, state string) map[string]any {
	return map[string]any{
		"service": service, "address": r.address, "zone": zone, "version": "1.0", "slots": cap(r.slots), "state": state,
		"cold-left-ms": 0, "seq": 0, "born": time.Now().UnixMilli(),
	}
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	io.Copy(io.Discard, q.Body)
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	w.Header().Set("Keep-Alive", "timeout=5")
	if q.Method == http.MethodGet {
		w.Header().Set("Instance-Id", r.id)
		return
	}
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(r.slots), len(r.queue)-len(r.slots), cap(r.slots)))
	select {
	case r.queue <- struct{}{}:
		defer func() { <-r.queue }()
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-q.Context().Done():
		return
	}
	first := 0
	if after, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	began := r.log.begin(id, r.id, first-1)
	w.Header().Set("Server-Stamp", r.id+"."+id)
	if r.limit != "" {
		w.Header().Set("Server-Limit", r.limit)
	}
	if r.events == nil {
		time.Sleep(r.interval)
		r.log.end(began, "ok")
		fmt.Fprintf(w, "answer to %s", id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n, total := first, r.events(id); n < total; n++ {
		select {
		case <-time.After(r.interval):
		case <-q.Context().Done():
			r.log.end(began, "cut")
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, r.data(id, n)); err != nil {
			r.log.end(began, "cut")
			return
		}
		w.(http.Flusher).Flush()
	}
	r.log.end(began, "ok")
}

// text is the whole output of a request.
func (r *replica) text(id string) string {
	var parts []string
	for n := range r.events(id) {
		parts = append(parts, r.data(id, n))
	}
	return strings.Join(parts, "\n")
}
