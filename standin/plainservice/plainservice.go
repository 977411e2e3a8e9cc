// Package plainservice is a stand-in for a plain service beside the model engines.
package plainservice

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"trefoilplank.example/standin/faults"
)

// Faults are the faults that POST /standin/faults sets.
type Faults struct {
	// CrashOn breaks the service when a request's path or body holds this text.
	CrashOn string `json:"crash_on"`
	// SwapAnswers gives two requests in flight each other's answer.
	SwapAnswers bool `json:"swap_answers"`
	// Down breaks each connection until it is set to false.
	Down bool `json:"down"`
	// RestartAfterMs is the time that a crashed service stays down.
	RestartAfterMs int `json:"restart_after_ms"`
	// DelayMs is the time that each call takes.
	DelayMs int `json:"delay_ms"`
	// LoseAnswers breaks the connection of each call after it ran.
	LoseAnswers bool `json:"lose_answers"`
}

// maxBodyBytes bounds a request body.
const maxBodyBytes = 8 << 20

// Server serves the plain service.
type Server struct {
	service    string
	mux        *http.ServeMux
	faults     *faults.Settings[Faults]
	executions faults.Executions
	swapper    faults.Swapper[answer]
	running    atomic.Int64

	mu        sync.Mutex
	downUntil time.Time
	crashed   chan struct{}
}

// New returns a server of the named service.
func New(service string) *Server {
	s := &Server{service: service, mux: http.NewServeMux(), crashed: make(chan struct{})}
	s.faults = faults.NewSettings(Faults{DelayMs: 2, RestartAfterMs: 1000}, nil)
	s.mux.Handle("POST /standin/faults", s.faults)
	s.mux.Handle("GET /standin/executions", &s.executions)
	s.mux.HandleFunc("GET /load", s.load)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/standin/") && s.isDown() {
		faults.Break(w)
		return
	}
	// The mux would redirect a path that is not in its shortest form, and the service takes any path.
	if _, pattern := s.mux.Handler(r); pattern == "" || path.Clean(r.URL.Path) != r.URL.Path {
		s.call(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Get().Down || time.Now().Before(s.downUntil)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	faults.WriteJSON(w, http.StatusOK, map[string]any{
		"running": s.running.Load(), "waiting": 0, "slots": 64, "at": time.Now(),
	})
}

// answer is what a call returns.
type answer struct {
	RequestID  string `json:"request_id"`
	Service    string `json:"service"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodySHA256 string `json:"body_sha256"`
	Status     string `json:"status"`
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Get()
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	row := s.executions.Start(r)
	if f.CrashOn != "" && (bytes.Contains(body, []byte(f.CrashOn)) || strings.Contains(r.URL.String(), f.CrashOn)) {
		s.crash(f)
		s.executions.End(row, false, true)
		faults.Break(w)
		return
	}
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	select {
	case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
	case <-crashed:
		s.executions.End(row, false, true)
		faults.Break(w)
		return
	}
	s.executions.End(row, false, false)
	sum := sha256.Sum256(body)
	a := answer{
		RequestID: r.Header.Get("X-Request-Id"), Service: s.service, Method: r.Method, Path: r.URL.RequestURI(),
		BodySHA256: hex.EncodeToString(sum[:]), Status: "ok",
	}
	if f.SwapAnswers {
		a = s.swapper.Exchange(a)
	}
	if f.LoseAnswers {
		faults.Break(w)
		return
	}
	w.Header().Set("X-Request-Id", a.RequestID)
	faults.WriteJSON(w, http.StatusOK, a)
}

// crash breaks all calls in flight and keeps the service down for a time.
func (s *Server) crash(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(time.Duration(f.RestartAfterMs) * time.Millisecond)
	close(s.crashed)
	s.crashed = make(chan struct{})
}
