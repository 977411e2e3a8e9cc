// Package reconcile compares the register with the observed state of engines and decides on the next orders.
// It has no clock, goroutine or I/O.
package reconcile

import (
	"slices"
)

// RoleDraining is the role that an engine reports after a drain order.
const RoleDraining = "draining"

// State is what an engine reports of itself.
type State struct {
	// Models, Loading and Failed hold versions by model: loaded, being loaded, and failed at the last attempt.
	Models   map[string]string `json:"models"`
	Loading  map[string]string `json:"loading"`
	Failed   map[string]string `json:"failed"`
	Adapters []string          `json:"adapters"`
	Role     string            `json:"role"`
	// Fencing is the largest token that the engine has seen.
	Fencing int64 `json:"fencing"`
}

// Model is a desired model.
type Model struct {
	Name, Version string
	// Previous is the version to go back to when the roll-out of Version was stopped; empty if none is known.
	Previous string
	Stopped  bool
	// Replicas is the desired number; 0 means every upstream that lists the model. Min is the serving minimum.
	Replicas, Min int
	// Proven is set once a replica has served the target version for the probation time. Before that only one
	// replica changes at a time.
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

// Upstream is an engine as registered and observed.
type Upstream struct {
	Name, AvailabilityZone string
	// Models are the models that it may load.
	Models []string
	// Role is the desired role; empty leaves the role alone, except that draining ends.
	Role    string
	Leaving bool
	// State is nil when it was never read or is too old.
	State *State
	// Healthy is set when the engine answers and is given requests.
	Healthy bool
	// TakesOrders is false for an engine without an order interface, which is taken as it is.
	TakesOrders bool
	// Claimed is set while a disruptive order may be on its way that State does not show yet.
	Claimed bool
	// Blocked is the reason why no order may be sent now, such as a backoff; empty when one may.
	Blocked string
	// AdapterVersions are the adapter versions last ordered; an adapter that is not in it has any version.
	AdapterVersions map[string]string
}

// Serves reports whether u counts as a serving replica of the model.
func (u *Upstream) Serves(model string) bool {
	if u.State == nil || !u.Healthy || u.Leaving || u.Claimed || u.State.Role == RoleDraining {
		return false
	}
	_, loaded := u.State.Models[model]
	_, loading := u.State.Loading[model]
	return loaded && !loading && slices.Contains(u.Models, model)
}

// holds reports whether u has the model or is getting it, so that it counts towards the desired replicas.
func (u *Upstream) holds(model string) bool {
	if u.State == nil || u.Leaving || !slices.Contains(u.Models, model) {
		return false
	}
	_, loaded := u.State.Models[model]
	_, loading := u.State.Loading[model]
	return loaded || loading
}

// upToDate reports whether u has, or is getting, the version. An engine that takes no orders always is.
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

// Kinds of orders.
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
	// Reason says why, for status and explain.
	Reason string `json:"-"`
	// Disrupts are the models that the upstream stops serving for a time or for good.
	Disrupts []string `json:"-"`
}

// Transfers reports whether the order makes the engine fetch weights from the weight store.
func (o Order) Transfers() bool { return o.Kind == Load && o.Adapter == "" && o.Version != "" }

// Wait is a change that is needed and can't be made now.
type Wait struct {
	Model, Upstream string
	Reason          string
}

// Replicas is the count of a model's replicas.
type Replicas struct {
	Want, Serving, UpToDate, Changing int
}

// Input is a snapshot of the upstreams that share models, and of all those models.
type Input struct {
	Models    []Model
	Upstreams []Upstream
}

// Plan is the set of next orders, most needed first, with at most one for each upstream.
type Plan struct {
	Orders   []Order
	Waits    []Wait
	Replicas map[string]Replicas
}
