package api

import (
	"encoding/json"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration written as text such as "24h" or "250ms".
type Duration time.Duration

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a duration written as text.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	return d.parse(s)
}

// UnmarshalYAML reads a duration written as text.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error { return d.parse(n.Value) }

// parse sets d from text. If the text is not a duration, it returns an error and sets d to 0.
func (d *Duration) parse(s string) error {
	v, err := time.ParseDuration(s)
	*d = Duration(v)
	return err
}

// Rules is the policy that operators set for the institutions of the register.
type Rules struct {
	Kind         string             `json:"kind"`
	Institutions []InstitutionRules `json:"institutions"`
}

// InstitutionRules holds the share, limits, request classes and objectives of one institution.
type InstitutionRules struct {
	Institution string `json:"institution"`
	// Share is the institution's weight against other institutions that compete at the same class rank.
	Share float64 `json:"share"`
	Rate  Rate    `json:"rate"`
	// Classes are ordered: the first class that matches a request decides its rank, rank 0 first.
	Classes    []Class     `json:"classes"`
	Objectives []Objective `json:"objectives"`
	// CompletionWindow is the time within which an accepted batch job is due.
	CompletionWindow Duration `json:"completion_window"`
	// OnlineTailWeight weighs online tail latency against batch throughput: at 0 only batch throughput counts, at 1
	// only online tail latency.
	OnlineTailWeight float64 `json:"online_tail_weight"`
}

// Rate bounds an institution's use of all nodes together.
type Rate struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is the number of requests that may arrive at once; 0 means the requests of one second.
	Burst int `json:"burst,omitempty"`
	// Concurrency bounds the requests in flight; 0 means no bound.
	Concurrency int `json:"concurrency,omitempty"`
}

// Class names a group of requests of an institution.
type Class struct {
	Name  string `json:"name"`
	Match Match  `json:"match"`
}

// Match selects requests; an empty field matches any value.
type Match struct {
	Caller  string `json:"caller,omitempty"`
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Batch, when set, matches only batch items (true) or only online requests (false).
	Batch *bool `json:"batch,omitempty"`
}

// Matches reports whether m selects a request with these properties.
func (m Match) Matches(caller, model, service string, batch bool) bool {
	return (m.Caller == "" || m.Caller == caller) &&
		(m.Model == "" || m.Model == model) &&
		(m.Service == "" || m.Service == service) &&
		(m.Batch == nil || *m.Batch == batch)
}

// Metric names the time of a request that an objective bounds.
type Metric string

// Metrics of objectives.
const (
	MetricFirstToken    Metric = "first_token"
	MetricBetweenTokens Metric = "between_tokens"
	MetricDuration      Metric = "duration"
)

// Objective is a service-level objective: the fraction Target of the requests of a class must stay within Latency.
// An empty Class means all classes of the institution.
type Objective struct {
	Name    string   `json:"name"`
	Class   string   `json:"class,omitempty"`
	Metric  Metric   `json:"metric"`
	Latency Duration `json:"latency"`
	// Target is the fraction of requests, between 0 and 1 exclusive, that must stay within Latency.
	Target float64 `json:"target"`
}

// ForInstitution returns the rules of the named institution, or false when it has none.
func (r Rules) ForInstitution(name string) (InstitutionRules, bool) {
	for _, i := range r.Institutions {
		if i.Institution == name {
			return i, true
		}
	}
	return InstitutionRules{}, false
}

// Classify returns the class name and rank of a request. A request that matches no class is in class "default", which
// ranks after all others.
func (r InstitutionRules) Classify(caller, model, service string, batch bool) (string, int) {
	for rank, c := range r.Classes {
		if c.Match.Matches(caller, model, service, batch) {
			return c.Name, rank
		}
	}
	return "default", len(r.Classes)
}

// Config is one accepted configuration version.
type Config struct {
	Version  int64    `json:"version"`
	Register Register `json:"register"`
	Rules    Rules    `json:"rules"`
}
