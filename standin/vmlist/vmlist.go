// Package vmlist is a stand-in for the platform's list of live and leaving VMs, which lags.
package vmlist

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"trefoilplank.example/standin/faults"
)

// VM is one row of the list. State is "live", "leaving" or "lost".
type VM struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Faults are the faults that POST /standin/faults sets.
type Faults struct {
	// LagMs is the age of the list that is shown.
	LagMs int `json:"lag_ms"`
	// States sets the state of VMs by name; an empty state takes a VM off the list.
	States map[string]string `json:"states"`
}

// change is a state from a point in time on.
type change struct {
	at    time.Time
	state string
}

// Server serves the VM list.
type Server struct {
	mux    *http.ServeMux
	faults *faults.Settings[Faults]

	mu      sync.Mutex
	history map[string][]change
}

// New returns a list in which all the named VMs are live.
func New(names ...string) *Server {
	s := &Server{mux: http.NewServeMux(), history: map[string][]change{}}
	for _, n := range names {
		s.history[n] = []change{{state: "live"}}
	}
	s.faults = faults.NewSettings(Faults{LagMs: 500}, func(f Faults) { s.setStates(f.States) })
	s.mux.Handle("POST /standin/faults", s.faults)
	s.mux.Handle("GET /standin/executions", &faults.Executions{})
	s.mux.HandleFunc("GET /vms", s.list)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) setStates(states map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, state := range states {
		s.history[name] = append(s.history[name], change{at: time.Now(), state: state})
	}
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	shown := time.Now().Add(-time.Duration(s.faults.Get().LagMs) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := []VM{}
	for name, changes := range s.history {
		state := ""
		for _, c := range changes {
			if !c.at.After(shown) {
				state = c.state
			}
		}
		if state != "" {
			vms = append(vms, VM{Name: name, State: state})
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	faults.WriteJSON(w, http.StatusOK, vms)
}
