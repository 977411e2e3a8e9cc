// Package faults holds what the stand-ins share: fault settings over HTTP, a log of executions, connection resets and
// swapped answers.
package faults

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"trefoilplank.example/api"
)

// Settings holds the faults of a stand-in, which POST /standin/faults changes; fields that a call leaves out keep their
// value.
type Settings[T any] struct {
	mu       sync.Mutex
	value    T
	onChange func(T)
}

// NewSettings returns settings with an initial value. onChange, if not nil, is called after each change.
func NewSettings[T any](initial T, onChange func(T)) *Settings[T] {
	return &Settings[T]{value: initial, onChange: onChange}
}

// Get returns the settings in force.
func (s *Settings[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// ServeHTTP applies a JSON object of faults and answers with the settings in force.
func (s *Settings[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	next := s.value
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&next); err != nil {
		s.mu.Unlock()
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.value = next
	s.mu.Unlock()
	if s.onChange != nil {
		s.onChange(next)
	}
	WriteJSON(w, http.StatusOK, next)
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has left, so there is nobody to report it to.
	_ = json.NewEncoder(w).Encode(v)
}

// ResetConnection resets the connection of a request without an answer, as happens when a process is killed. It aborts the
// handler where w can't be hijacked.
func ResetConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Execution is one run of a request on a stand-in, as GET /standin/executions returns it. Finished is set when the run
// ends in any way.
type Execution struct {
	RequestID      string     `json:"request_id"`
	CustomID       string     `json:"custom_id"`
	IdempotencyKey string     `json:"idempotency_key"`
	Started        time.Time  `json:"started"`
	Finished       *time.Time `json:"finished"`
	Cancelled      bool       `json:"cancelled"`
	Crashed        bool       `json:"crashed"`
}

// Executions is a log with one row for each run of a request.
type Executions struct {
	mu   sync.Mutex
	rows []*Execution
}

// Start adds a row for a request and returns its number.
func (e *Executions) Start(r *http.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rows = append(e.rows, &Execution{
		RequestID: r.Header.Get(api.HeaderUpstreamRequestID), CustomID: r.Header.Get(api.HeaderUpstreamCustomID),
		IdempotencyKey: r.Header.Get(api.HeaderIdempotencyKey), Started: time.Now(),
	})
	return len(e.rows) - 1
}

// End records the end of the run in row n, and whether it was cancelled or crashed. Later calls for the row do nothing.
func (e *Executions) End(n int, cancelled, crashed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	row := e.rows[n]
	if row.Finished != nil {
		return
	}
	now := time.Now()
	row.Finished, row.Cancelled, row.Crashed = &now, cancelled, crashed
}

// Rows returns a copy of all rows.
func (e *Executions) Rows() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	rows := make([]Execution, len(e.rows))
	for i, r := range e.rows {
		rows[i] = *r
	}
	return rows
}

// ServeHTTP answers with all rows.
func (e *Executions) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, e.Rows())
}

// Swapper pairs requests in flight, so that each gets the answer to the other one. It simulates an upstream that sends
// answers to the wrong requests.
type Swapper[T any] struct {
	mu sync.Mutex
	// pending is the request that waits for a second one, or nil.
	pending *pendingSwap[T]
}

// pendingSwap holds the answer to the first request of a pair; second receives the answer to the other one.
type pendingSwap[T any] struct {
	first  T
	second chan T
}

// swapTimeout bounds how long a request waits for a second one to swap answers with.
const swapTimeout = 300 * time.Millisecond

// Exchange returns the answer to another request in flight, or own if no other request arrives within swapTimeout.
func (s *Swapper[T]) Exchange(own T) T {
	s.mu.Lock()
	if p := s.pending; p != nil {
		s.pending = nil
		s.mu.Unlock()
		p.second <- own
		return p.first
	}
	p := &pendingSwap[T]{first: own, second: make(chan T, 1)}
	s.pending = p
	s.mu.Unlock()
	select {
	case other := <-p.second:
		return other
	case <-time.After(swapTimeout):
	}
	s.mu.Lock()
	if s.pending == p {
		s.pending = nil
		s.mu.Unlock()
		return own
	}
	s.mu.Unlock()
	return <-p.second
}
