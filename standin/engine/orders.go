package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"trefoilplank.example/standin/faults"
)

// order is a command from a node to an engine. Order is "load", "unload", "role" or "drain"; Fencing is the sender's fencing
// token.
type order struct {
	Fencing int64  `json:"fencing"`
	Order   string `json:"order"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

// orderRecord is a received order. Accepted is false if its fencing token was stale.
type orderRecord struct {
	order
	At       time.Time `json:"at"`
	Accepted bool      `json:"accepted"`
}

// orderState is the part of the engine's state that orders change. Engine.mu guards it.
type orderState struct {
	// models, loading and failed map the models that are loaded, being loaded or failed to load to their versions.
	models   map[string]string
	loading  map[string]string
	failed   map[string]string
	adapters []string
	role     string
	// fencing is the highest fencing token accepted.
	fencing int64
	// log holds all orders in the order of arrival.
	log []orderRecord
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

// handleState serves GET /state.
func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, map[string]any{
		"models": e.orders.models, "loading": e.orders.loading, "failed": e.orders.failed,
		"adapters": e.orders.adapters, "role": e.orders.role, "fencing": e.orders.fencing,
	})
}

// handleOrder serves POST /orders.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := e.options.EnforceFencing && o.Fencing < e.orders.fencing
	e.orders.log = append(e.orders.log, orderRecord{order: o, At: time.Now(), Accepted: !stale})
	if stale {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	e.orders.fencing = max(e.orders.fencing, o.Fencing)
	if !e.applyOrder(o) {
		http.Error(w, "unknown order", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// applyOrder carries out an order and reports whether it is a known one; e.mu is held. A model is loaded after LoadTime.
func (e *Engine) applyOrder(o order) bool {
	s := &e.orders
	switch o.Order {
	case "load":
		if o.Adapter != "" {
			s.adapters = append(s.adapters, o.Adapter)
			return true
		}
		s.loading[o.Model] = o.Version
		delete(s.failed, o.Model)
		time.AfterFunc(e.options.LoadTime, func() { e.finishLoading(o) })
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

// finishLoading marks the model of a load order as loaded, or as failed if FailLoads names its version. It does nothing if
// a later order loads another version.
func (e *Engine) finishLoading(o order) {
	failingVersion := e.faults.Get().FailLoads
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orders.loading[o.Model] != o.Version {
		return
	}
	delete(e.orders.loading, o.Model)
	if failingVersion != "" && failingVersion == o.Version {
		e.orders.failed[o.Model] = o.Version
		return
	}
	e.orders.models[o.Model] = o.Version
}

// handleOrderLog serves GET /standin/orders.
func (e *Engine) handleOrderLog(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, append([]orderRecord{}, e.orders.log...))
}
