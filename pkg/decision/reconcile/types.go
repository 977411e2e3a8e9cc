// Package reconcile compares the register, which holds the desired state, with the observed state of the engines and
// decides on the next orders. It uses no clock, goroutines or I/O.
package reconcile

import (
	"slices"
)

// RoleDraining is the role that an engine reports after a drain order.
const RoleDraining = "draining"

// State is the state that an engine reports.
type State struct {
	// Models, Loading and Failed hold versions by model name: of loaded models, of models being loaded, and of models
	// whose last load failed.
	Models   map[string]string `json:"models"`
	Loading  map[string]string `json:"loading"`
	Failed   map[string]string `json:"failed"`
	Adapters []string          `json:"adapters"`
	Role     string            `json:"role"`
	// Fencing is the largest fencing token that the engine has seen.
	Fencing int64 `json:"fencing"`
}

// Model is the desired state of a model.
type Model struct {
	Name, Version string
	// Previous is the version to go back to when Stopped is set, that is, when the roll-out of Version was stopped;
	// empty if none is known.
	Previous string
	Stopped  bool
	// Replicas is the desired number of replicas; 0 means every upstream that lists the model. Min is the serving
	// minimum: orders must not reduce the number of serving replicas below it.
	Replicas, Min int
	// Proven is set once a replica has served the target version for the probation time. Until then only one replica
	// changes at a time.
	Proven bool
	// Adapters holds the desired adapter versions by adapter name.
	Adapters map[string]string
}

// Target returns the version that replicas should have now.
func (m Model) Target() string {
	if m.Stopped && m.Previous != "" {
		return m.Previous
	}
	return m.Version
}

// Upstream is the registered and the observed state of an engine.
type Upstream struct {
	Name, AvailabilityZone string
	// Models are the models that the register lists for the upstream, which it may load.
	Models []string
	// Role is the desired role. If empty, the role stays as it is, except that draining ends.
	Role    string
	Leaving bool
	// State is nil when it was never read or the last reading is too old.
	State *State
	// Healthy is set when the engine answers and is given requests.
	Healthy bool
	// TakesOrders is false for an engine without an order interface, which gets no orders and counts as up to date.
	TakesOrders bool
	// OrderPending is set while a disruptive order may have been sent that State does not show yet.
	OrderPending bool
	// Blocked is the reason why no order may be sent now, such as a backoff; empty if orders may be sent.
	Blocked string
	// AdapterVersions holds the adapter versions last ordered. The version of an adapter that is missing here is
	// unknown and counts as the desired one.
	AdapterVersions map[string]string
}

// Serves reports whether u counts as a serving replica of the model.
func (u *Upstream) Serves(model string) bool {
	if u.State == nil || !u.Healthy || u.Leaving || u.OrderPending || u.State.Role == RoleDraining {
		return false
	}
	_, loaded := u.State.Models[model]
	_, loading := u.State.Loading[model]
	return loaded && !loading && slices.Contains(u.Models, model)
}

// holds reports whether u has loaded the model or is loading it, so that it counts towards the desired replicas.
func (u *Upstream) holds(model string) bool {
	if u.State == nil || u.Leaving || !slices.Contains(u.Models, model) {
		return false
	}
	_, loaded := u.State.Models[model]
	_, loading := u.State.Loading[model]
	return loaded || loading
}

// upToDate reports whether u has loaded the version or is loading it. An engine that takes no orders is always up to
// date.
func (u *Upstream) upToDate(model, version string) bool {
	if !u.TakesOrders || version == "" {
		return true
	}
	if v, loading := u.State.Loading[model]; loading {
		return v == version
	}
	return u.State.Models[model] == version
}

// Kind is the kind of an order.
type Kind string

const (
	Load   Kind = "load"
	Unload Kind = "unload"
	Role   Kind = "role"
	Drain  Kind = "drain"
)

// Order is one change of one upstream.
type Order struct {
	Upstream string `json:"-"`
	Kind     Kind   `json:"order"`
	Model    string `json:"model,omitempty"`
	Version  string `json:"version,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Role     string `json:"role,omitempty"`
	// Reason is the reason for the order, shown by the status and explain commands.
	Reason string `json:"-"`
	// Disrupts are the models that the upstream stops serving, temporarily or permanently.
	Disrupts []string `json:"-"`
}

// Transfers reports whether the order makes the engine fetch weights from the weight store.
func (o Order) Transfers() bool { return o.Kind == Load && o.Adapter == "" && o.Version != "" }

// Wait is a needed change that can't be ordered now.
type Wait struct {
	Model, Upstream string
	Reason          string
}

// Replicas counts the replicas of a model: the desired ones, the serving ones, the serving ones with the target
// version, and those that are being changed.
type Replicas struct {
	Want, Serving, UpToDate, Changing int
}

// Input is a snapshot of a group of upstreams that share models, and of all these models.
type Input struct {
	Models    []Model
	Upstreams []Upstream
}

// Plan holds the next orders, the most needed first and at most one per upstream, and the changes that have to wait.
type Plan struct {
	Orders   []Order
	Waits    []Wait
	Replicas map[string]Replicas
}
