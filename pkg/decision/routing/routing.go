// Package routing finds the route of a request that is forwarded unchanged, and the service that the route names.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated on a route.
type Kind string

// Kinds of routes.
const (
	KindIdempotent    Kind = "idempotent"
	KindNonIdempotent Kind = "non-idempotent"
	KindStream        Kind = "stream"
	KindBatch         Kind = "batch"
)

// Weighted is one service of a split route.
type Weighted struct {
	Service string
	Weight  int
}

// Route forwards the requests of one host below one path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Service string
	// Split replaces Service when it is not empty.
	Split []Weighted
	// Timeout is the longest time that a caller is kept waiting; zero means no bound of the route.
	Timeout time.Duration
	// Objective is the time within which an answer (of a stream: its first event) is on time.
	Objective time.Duration
	// PauseObjective is the longest pause between events of a stream that is on time.
	PauseObjective time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts int
	// Resumable streams may be continued on another upstream.
	Resumable bool
	// Completion and Retention belong to batch routes: when results are due, and when items may be given up.
	Completion, Retention time.Duration
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable || r.Kind == KindBatch
}

// Service is a set of upstreams that run the same program.
type Service struct {
	Name string
	// MaxConnections is what each upstream accepts from all nodes together.
	MaxConnections int
	// TokensPerEvent is how many generated tokens an engine puts into one event; 0 for plain services.
	TokensPerEvent int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Configuration is one version of all routes.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table looks routes up. It is immutable.
type Table struct {
	Configuration
	hosts    map[string][]*Route
	services map[string]*Service
}

// NewTable indexes a configuration.
func NewTable(c Configuration) *Table {
	t := &Table{Configuration: c, hosts: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	return t
}

// Match returns the route of the host with the longest prefix that begins the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasHost reports whether any route serves the host.
func (t *Table) HasHost(host string) bool { return len(t.hosts[hostName(host)]) > 0 }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// hostName removes the port of a Host header.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Pick returns the service for one request. draw is uniform in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, w := range r.Split {
		total += max(w.Weight, 0)
	}
	if total == 0 {
		return r.Service
	}
	left := draw * float64(total)
	for _, w := range r.Split {
		left -= float64(max(w.Weight, 0))
		if left < 0 {
			return w.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
