package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// A replica of a service that generates text, as PROTOCOL.md describes it: slots, a short queue, events with increasing ids.

const (
	replicaQueue   = 24
	heartbeat      = 1200 * time.Millisecond
	firstEventTime = 60 * time.Millisecond
	eventTime      = 15 * time.Millisecond
)

type replica struct {
	id, address, service, zone string
	slots, events              int
	born                       int64
	store                      *store
	rec                        *recorder

	mu               sync.Mutex
	running, waiting int
	lastHad          map[string]time.Time
	// arrivals holds when each request reached the replica that it began to run.
	arrivals map[string][]time.Time
	tokens   chan struct{}
	server   *http.Server
	limit    float64
	// now holds the requests that run.
	now map[string]bool
	// eventTime is the pause between events.
	eventTime time.Duration
	starts    []time.Time
}

func startReplica(id, service, zone string, slots, events int, s *store, rec *recorder) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &replica{
		id: id, address: l.Addr().String(), service: service, zone: zone, slots: slots, events: events, born: time.Now().UnixMilli(), store: s, rec: rec,
		lastHad: map[string]time.Time{}, arrivals: map[string][]time.Time{}, now: map[string]bool{}, eventTime: eventTime, tokens: make(chan struct{}, slots),
	}
	p.server = &http.Server{Handler: p, IdleTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(l) }()
	go p.beat()
	return p, nil
}

// beat writes the replica's entry; only changes beyond seq count as a change of the entry.
func (p *replica) beat() {
	p.store.operatorPut("servers", p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": p.born,
	})
}

// busy returns the requests that run and wait, and when the replica last had the request with an id.
func (p *replica) busy() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running, p.waiting
}

func (p *replica) had(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastHad[id]
}

// runs reports whether the replica runs a request now.
func (p *replica) runs(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now[id]
}

// begins returns when the runs of a request reached the replica.
func (p *replica) begins(id string) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.arrivals[id])
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, h, arrived := r.Header.Get("Request-Id"), w.Header(), time.Now()
	if id == "" {
		if r.URL.Path == "/health" {
			h.Set("Instance-Id", p.id)
			return
		}
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("Request-Id", id)
	h.Set("Keep-Alive", "timeout=5")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != p.id {
		h.Set("Instance-Id", p.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	full := p.running+p.waiting >= p.slots+replicaQueue
	if !full {
		p.waiting++
	}
	load := fmt.Sprintf("%d,%d,%d", p.running, p.waiting, p.slots)
	p.mu.Unlock()
	h.Set("Server-Load", load)
	if p.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(p.limit, 'f', -1, 64))
	}
	if full {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case p.tokens <- struct{}{}:
		p.mu.Lock()
		p.waiting--
		p.running++
		p.lastHad[id] = time.Now()
		p.starts = append(p.starts, time.Now())
		p.arrivals[id] = append(p.arrivals[id], arrived)
		p.now[id] = true
		p.mu.Unlock()
	case <-ctx.Done():
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		p.mu.Lock()
		p.running--
		p.lastHad[id] = time.Now()
		delete(p.now, id)
		p.mu.Unlock()
		<-p.tokens
	}()
	h.Set("Server-Stamp", p.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	after := -1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		after = n
	}
	p.rec.add("replica %s: request %s begins after event %d", p.id, id, after)
	pause := firstEventTime
	for n := after + 1; n < p.events; n++ {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			p.rec.add("replica %s: request %s cut at event %d", p.id, id, n)
			panic(http.ErrAbortHandler)
		}
		pause = p.eventTime
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(w).Flush()
	}
	p.rec.add("replica %s: request %s done", p.id, id)
}
