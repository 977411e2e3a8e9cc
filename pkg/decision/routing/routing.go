// Package routing finds the route of a request that is forwarded unchanged, and the service that the route names.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of requests on a route. It determines whether they may run more than once.
type Kind string

const (
	KindIdempotent    Kind = "idempotent"
	KindNonIdempotent Kind = "non-idempotent"
	KindStream        Kind = "stream"
	KindBatch         Kind = "batch"
)

// WeightedService is a service of a split route and its weight. Services get requests in proportion to their weights.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says how the requests for one host and path prefix are forwarded.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Service string
	// Split replaces Service when it is not empty.
	Split []WeightedService
	// Timeout is the longest time that a caller waits for the answer; zero means that the route sets no limit.
	Timeout time.Duration
	// Objective is the time within which an answer counts as on time. For a stream it applies to the first event.
	Objective time.Duration
	// PauseObjective is the longest pause between two events of a stream that counts as on time.
	PauseObjective time.Duration
	// Priority orders the requests of different routes; 0 is served first.
	Priority int
	// MaxAttempts limits the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Resumable streams may be continued on another upstream.
	Resumable bool
	// Completion and Retention apply to batch routes: the time within which results are due, and the time after which
	// items may be given up.
	Completion, Retention time.Duration
	// MaxWaitingTokens limits the tokens of the unfinished items of all jobs on a batch route, over all nodes; 0 is no limit.
	MaxWaitingTokens int64
	// Public routes need no key.
	Public bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable || r.Kind == KindBatch
}

// Service is a group of upstreams that run the same program.
type Service struct {
	Name string
	// MaxConnections is the number of connections that each upstream accepts from all nodes together.
	MaxConnections int
	// TokensPerEvent is the number of generated tokens that an engine puts into one event; 0 for services that
	// generate no tokens.
	TokensPerEvent int
}

// Limits are the limits on the size of a caller's requests and on the time to send them.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Configuration is one version of all routes, services and limits.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Customers hold the keys of callers. Without customers no request needs a key.
	Customers []Customer
}

// Table finds routes by host and path and services by name. It is immutable.
type Table struct {
	Configuration
	routesByHost   map[string][]*Route
	servicesByName map[string]*Service
	// SharedKeys is the number of keys that a further customer holds too.
	SharedKeys      int
	customersByKey  map[Digest]*Customer
	customersByName map[string]*Customer
}

// NewTable indexes a configuration.
func NewTable(c Configuration) *Table {
	t := &Table{Configuration: c, routesByHost: map[string][]*Route{}, servicesByName: map[string]*Service{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.servicesByName[t.Services[i].Name] = &t.Services[i]
	}
	t.indexCustomers()
	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasHost reports whether any route serves the host.
func (t *Table) HasHost(host string) bool { return len(t.routesByHost[hostName(host)]) > 0 }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }

// hostName removes the port of a Host header.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Pick returns the service for one request, chosen by the weights of a split route. draw is uniform in [0, 1).
func (r *Route) Pick(draw float64) string {
	totalWeight := 0
	for _, w := range r.Split {
		totalWeight += max(w.Weight, 0)
	}
	if totalWeight == 0 {
		return r.Service
	}
	remaining := draw * float64(totalWeight)
	for _, w := range r.Split {
		remaining -= float64(max(w.Weight, 0))
		if remaining < 0 {
			return w.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
