// Package weightstore is a stand-in for the platform's rate-limited weight store.
package weightstore

import (
	"net/http"

	"golang.org/x/time/rate"

	"trefoilplank.example/standin/faults"
)

// Faults are the faults that POST /standin/faults sets.
type Faults struct {
	// TransfersPerSecond is the rate above which transfers are refused with status 429.
	TransfersPerSecond float64 `json:"transfers_per_second"`
	// Missing is a MODEL/VERSION that the store does not hold.
	Missing string `json:"missing"`
}

// transferBurst is the number of transfers that may start at once under the rate limit.
const transferBurst = 2

// Server serves the weight store.
type Server struct {
	mux        *http.ServeMux
	faults     *faults.Settings[Faults]
	limiter    *rate.Limiter
	executions faults.Executions
}

// New returns a weight store that allows a rate of transfers per second.
func New(transfersPerSecond float64) *Server {
	s := &Server{mux: http.NewServeMux(), limiter: rate.NewLimiter(rate.Limit(transfersPerSecond), transferBurst)}
	s.faults = faults.NewSettings(Faults{TransfersPerSecond: transfersPerSecond}, func(f Faults) {
		s.limiter.SetLimit(rate.Limit(f.TransfersPerSecond))
	})
	s.mux.Handle("POST /standin/faults", s.faults)
	s.mux.Handle("GET /standin/executions", &s.executions)
	s.mux.HandleFunc("GET /weights/{model}/{version}", s.handleTransfer)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// handleTransfer serves GET /weights/MODEL/VERSION, which stands for one transfer of weights.
func (s *Server) handleTransfer(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("model") + "/" + r.PathValue("version")
	if !s.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the transfer rate", http.StatusTooManyRequests)
		return
	}
	if name == s.faults.Get().Missing {
		http.Error(w, "no such weights", http.StatusNotFound)
		return
	}
	row := s.executions.Start(r)
	defer s.executions.End(row, false, false)
	faults.WriteJSON(w, http.StatusOK, map[string]string{"weights": name})
}
