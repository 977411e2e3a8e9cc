// Package vmlist is a stand-in for the platform's VM list, which shows the states of VMs with a delay.
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
	// LagMs is the age of the states that GET /vms returns.
	LagMs int `json:"lag_ms"`
	// States sets the states of VMs by name; an empty state removes a VM from the list.
	States map[string]string `json:"states"`
}

// stateChange is a VM's state from the time at until its next change.
type stateChange struct {
	at    time.Time
	state string
}

// Server serves the VM list.
type Server struct {
	mux    *http.ServeMux
	faults *faults.Settings[Faults]

	mu sync.Mutex
	// history holds the state changes of each VM in the order of time.
	history map[string][]stateChange
}

// New returns a server whose list shows the named VMs as live.
func New(names ...string) *Server {
	s := &Server{mux: http.NewServeMux(), history: map[string][]stateChange{}}
	for _, n := range names {
		s.history[n] = []stateChange{{state: "live"}}
	}
	s.faults = faults.NewSettings(Faults{LagMs: 500}, func(f Faults) { s.setStates(f.States) })
	s.mux.Handle("POST /standin/faults", s.faults)
	s.mux.Handle("GET /standin/executions", &faults.Executions{})
	s.mux.HandleFunc("GET /vms", s.handleList)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// setStates records that the named VMs change their states now.
func (s *Server) setStates(states map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, state := range states {
		s.history[name] = append(s.history[name], stateChange{at: time.Now(), state: state})
	}
}

// handleList serves GET /vms: the states of LagMs ago, sorted by name.
func (s *Server) handleList(w http.ResponseWriter, _ *http.Request) {
	asOf := time.Now().Add(-time.Duration(s.faults.Get().LagMs) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := []VM{}
	for name, changes := range s.history {
		state := ""
		for _, c := range changes {
			if !c.at.After(asOf) {
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
