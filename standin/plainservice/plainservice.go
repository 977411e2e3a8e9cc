// Package plainservice is a stand-in for an upstream that serves a plain HTTP service instead of models.
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
	// CrashOn crashes the service when the URL or body of a request contains this text.
	CrashOn string `json:"crash_on"`
	// SwapAnswers gives two requests in flight each other's answer.
	SwapAnswers bool `json:"swap_answers"`
	// Down resets the connection of each new call until it is set to false.
	Down bool `json:"down"`
	// RestartAfterMs is the time that the service stays down after a crash.
	RestartAfterMs int `json:"restart_after_ms"`
	// DelayMs is the time that each call takes.
	DelayMs int `json:"delay_ms"`
	// LoseAnswers resets the connection of each call after the call has run.
	LoseAnswers bool `json:"lose_answers"`
}

// maxBodyBytes bounds a request body.
const maxBodyBytes = 8 << 20

// Server serves the plain service.
type Server struct {
	service      string
	mux          *http.ServeMux
	faults       *faults.Settings[Faults]
	executions   faults.Executions
	swapper      faults.Swapper[answer]
	runningCalls atomic.Int64

	mu sync.Mutex
	// downUntil is when the service is up again after its last crash.
	downUntil time.Time
	// crashSignal is closed and replaced at each crash, which ends the calls in flight.
	crashSignal chan struct{}
}

// New returns a server of the named service.
func New(service string) *Server {
	s := &Server{service: service, mux: http.NewServeMux(), crashSignal: make(chan struct{})}
	s.faults = faults.NewSettings(Faults{DelayMs: 2, RestartAfterMs: 1000}, nil)
	s.mux.Handle("POST /standin/faults", s.faults)
	s.mux.Handle("GET /standin/executions", &s.executions)
	s.mux.HandleFunc("GET /load", s.handleLoad)
	return s
}

// ServeHTTP serves one call. While the service is down, it resets the connection of every call outside /standin/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/standin/") && s.isDown() {
		faults.ResetConnection(w)
		return
	}
	// The mux would redirect a path that is not in its canonical form, but the service accepts every path.
	if _, pattern := s.mux.Handler(r); pattern == "" || path.Clean(r.URL.Path) != r.URL.Path {
		s.handleCall(w, r)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// isDown reports whether a fault takes the service down or it is still restarting after a crash.
func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Get().Down || time.Now().Before(s.downUntil)
}

// handleLoad serves GET /load.
func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	faults.WriteJSON(w, http.StatusOK, map[string]any{
		"running": s.runningCalls.Load(), "waiting": 0, "slots": 64, "at": time.Now(),
	})
}

// answer is the JSON object that a call of the service returns; it echoes the request.
type answer struct {
	RequestID  string `json:"request_id"`
	Service    string `json:"service"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodySHA256 string `json:"body_sha256"`
	Status     string `json:"status"`
}

// handleCall serves a call of the service itself.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Get()
	s.runningCalls.Add(1)
	defer s.runningCalls.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	row := s.executions.Start(r)
	if f.CrashOn != "" && (bytes.Contains(body, []byte(f.CrashOn)) || strings.Contains(r.URL.String(), f.CrashOn)) {
		s.crash(f)
		s.executions.End(row, false, true)
		faults.ResetConnection(w)
		return
	}
	s.mu.Lock()
	crashSignal := s.crashSignal
	s.mu.Unlock()
	select {
	case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
	case <-crashSignal:
		s.executions.End(row, false, true)
		faults.ResetConnection(w)
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
		faults.ResetConnection(w)
		return
	}
	w.Header().Set("X-Request-Id", a.RequestID)
	faults.WriteJSON(w, http.StatusOK, a)
}

// crash ends all calls in flight and takes the service down for f.RestartAfterMs.
func (s *Server) crash(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(time.Duration(f.RestartAfterMs) * time.Millisecond)
	close(s.crashSignal)
	s.crashSignal = make(chan struct{})
}
