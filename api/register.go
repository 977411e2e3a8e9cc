package api

// Document kinds of operator documents.
const (
	KindRegister = "Register"
	KindRules    = "Rules"
)

// UpstreamKind says what an upstream serves.
type UpstreamKind string

// Kinds of upstream.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Fencing says whether an upstream refuses orders that carry an old fencing token. An empty value means FencingIgnored.
type Fencing string

// Fencing modes.
const (
	FencingEnforced Fencing = "enforced"
	FencingIgnored  Fencing = "ignored"
)

// Register is the inventory that operators maintain: who calls, what is served, and where it runs.
type Register struct {
	Kind         string        `json:"kind"`
	Institutions []Institution `json:"institutions"`
	Callers      []Caller      `json:"callers"`
	Models       []Model       `json:"models"`
	Adapters     []Adapter     `json:"adapters,omitempty"`
	Versions     []Version     `json:"versions,omitempty"`
	Upstreams    []Upstream    `json:"upstreams"`
}

// Institution is a contract partner whose services call the system.
type Institution struct {
	Name        string `json:"name"`
	DisplayName string `json:"display_name,omitempty"`
}

// Caller is a service of an institution that holds bearer keys and grants.
type Caller struct {
	Name        string `json:"name"`
	Institution string `json:"institution"`
	// KeyDigests are SHA-256 digests of the caller's bearer keys, 64 lower-case hex digits each.
	KeyDigests []string `json:"key_digests"`
	Grants     Grants   `json:"grants"`
}

// Grants lists the models and services that a caller may use, and whether it may submit batch jobs.
type Grants struct {
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
	Batch    bool     `json:"batch,omitempty"`
}

// Model is a served model with its desired version and replica counts.
type Model struct {
	Name string `json:"name"`
	// Version is the desired version; empty when the model has no versions.
	Version string `json:"version,omitempty"`
	// Replicas is the desired number of upstreams that have the model loaded; 0 means every upstream that lists it.
	Replicas int `json:"replicas,omitempty"`
	// MinReplicas is the number of serving replicas that a roll-out must not go below.
	MinReplicas int `json:"min_replicas,omitempty"`
}

// Adapter is a fine-tuned adapter on a model.
type Adapter struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
}

// Version is a set of weights of a model.
type Version struct {
	Model string `json:"model"`
	Name  string `json:"name"`
	// WeightsBytes is the transfer size in bytes.
	WeightsBytes int64 `json:"weights_bytes,omitempty"`
}

// Upstream is one model engine or one instance of a plain service.
type Upstream struct {
	Name             string       `json:"name"`
	Address          string       `json:"address"`
	VM               string       `json:"vm"`
	AvailabilityZone string       `json:"availability_zone"`
	Kind             UpstreamKind `json:"kind"`
	// Models are the models that an engine may be ordered to load.
	Models []string `json:"models,omitempty"`
	// Service is the name of the plain service that an upstream of kind service belongs to.
	Service string `json:"service,omitempty"`
	// Role is the role that an engine is ordered to take, such as "prefill"; empty leaves the role unchanged.
	Role    string  `json:"role,omitempty"`
	Fencing Fencing `json:"fencing,omitempty"`
	// Leaving marks an upstream that is being removed and must receive no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Serves reports whether the upstream can serve the named model or service.
func (u Upstream) Serves(model, service string) bool {
	if u.Kind == UpstreamService {
		return service != "" && u.Service == service
	}
	for _, m := range u.Models {
		if model != "" && m == model {
			return true
		}
	}
	return false
}
