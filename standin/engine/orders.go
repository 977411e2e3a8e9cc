package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"trefoilplank.example/standin/faults"
)

// order is a command to an engine.
type order struct {
	Fencing int64  `json:"fencing"`
	Order   string `json:"order"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

// orderRecord is an order that arrived, with what became of it.
type orderRecord struct {
	order
	At       time.Time `json:"at"`
	Accepted bool      `json:"accepted"`
}

// orderState is what orders change.
type orderState struct {
	models   map[string]string
	loading  map[string]string
	failed   map[string]string
	adapters []string
	role     string
	fencing  int64
	records  []orderRecord
}

func newOrderState(o Options) orderState {
	s := orderState{
		models: map[string]string{}, loading: map[string]string{}, failed: map[string]string{},
		adapters: slices.Clone(o.Adapters), role: "serve",
	}
	for m, v := range o.Models {
		s.models[m] = v
	}
	return s
}

// serves reports whether the name is a loaded model or adapter.
func (s *orderState) serves(name string) bool {
	_, ok := s.models[name]
	return ok || slices.Contains(s.adapters, name)
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, map[string]any{
		"models": e.orders.models, "loading": e.orders.loading, "failed": e.orders.failed,
		"adapters": e.orders.adapters, "role": e.orders.role, "fencing": e.orders.fencing,
	})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := e.options.EnforceFencing && o.Fencing < e.orders.fencing
	e.orders.records = append(e.orders.records, orderRecord{order: o, At: time.Now(), Accepted: !stale})
	if stale {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	e.orders.fencing = max(e.orders.fencing, o.Fencing)
	if !e.execute(o) {
		http.Error(w, "unknown order", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) execute(o order) bool {
	s := &e.orders
	switch o.Order {
	case "load":
		if o.Adapter != "" {
			s.adapters = append(s.adapters, o.Adapter)
			return true
		}
		s.loading[o.Model] = o.Version
		delete(s.failed, o.Model)
		time.AfterFunc(e.options.LoadTime, func() { e.loaded(o) })
	case "unload":
		if o.Adapter != "" {
			s.adapters = slices.DeleteFunc(s.adapters, func(a string) bool { return a == o.Adapter })
			return true
		}
		delete(s.models, o.Model)
	case "role":
		s.role = o.Role
	case "drain":
		s.role = "draining"
	default:
		return false
	}
	return true
}

// loaded ends the loading of a model.
func (e *Engine) loaded(o order) {
	fails := e.faults.Get().FailLoads
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.loading[o.Model] != o.Version {
		return
	}
	delete(e.orders.loading, o.Model)
	if fails != "" && fails == o.Version {
		e.orders.failed[o.Model] = o.Version
		return
	}
	e.orders.models[o.Model] = o.Version
}

func (e *Engine) orderLog(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, append([]orderRecord{}, e.orders.records...))
}
