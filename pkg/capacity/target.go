package capacity

import "math"

const daySeconds = 86400

// Target is a size of the fleet and its load. Rates a day are spread evenly over it; online rates are peaks.
type Target struct {
	Nodes, Replicas, Institutions, Models, Zones float64
	// RequestsPerSecond and TokensPerSecond are over the whole fleet.
	RequestsPerSecond, TokensPerSecond float64
	// TokenInterval is the time between tokens in seconds.
	TokenInterval                                 float64
	ItemsPerDay, JobsPerDay                       float64
	ChangesPerDay, RestartsPerDay, FailuresPerDay float64
	// KeyedShare and NonIdempotentShare are the parts of online requests that carry an idempotency key and that must
	// not be repeated. The requirements do not give them.
	KeyedShare, NonIdempotentShare float64
	// OpenJobs is the number of jobs that are not final at one time.
	OpenJobs float64
}

// TwoYears is the target of design section 1.7. All jobs of a day are taken as open at once, the most that a
// completion window of a day allows. A tenth of requests with a key and half a percent that must not be repeated
// are assumptions.
var TwoYears = Target{
	Nodes: 380, Replicas: 1500, Institutions: 400, Models: 3, Zones: 8,
	RequestsPerSecond: 3000, TokensPerSecond: 670_000, TokenInterval: 0.033,
	ItemsPerDay: 15e6, JobsPerDay: 11_000, ChangesPerDay: 2800, RestartsPerDay: 650, FailuresPerDay: 35,
	KeyedShare: 0.1, NonIdempotentShare: 0.005, OpenJobs: 11_000,
}

// requests returns the requests per second that come to one node.
func (t Target) requests() float64 { return t.RequestsPerSecond / t.Nodes }

// inFlight returns the requests in flight on one node while each answer streams at the token interval.
func (t Target) inFlight() float64 { return t.TokensPerSecond * t.TokenInterval / t.Nodes }

// busyInstitutions returns the expected number of institutions with a request in flight on one node.
func (t Target) busyInstitutions() float64 {
	return t.Institutions * (1 - math.Exp(-t.inFlight()/t.Institutions))
}

// owned returns the upstreams of which one node is admission owner.
func (t Target) owned() float64 { return t.Replicas / t.Nodes }

// owners returns the expected number of nodes that own at least one of so many upstreams.
func (t Target) owners(upstreams float64) float64 {
	return t.Nodes * (1 - math.Exp(-upstreams/t.Nodes))
}

// ownedModels returns the expected number of models among the upstreams that one node owns.
func (t Target) ownedModels() float64 {
	return t.Models * (1 - math.Exp(-t.owned()/t.Models))
}

// starts returns the starts of processes per second over the fleet.
func (t Target) starts() float64 { return (t.RestartsPerDay + t.FailuresPerDay) / daySeconds }

func (t Target) items() float64   { return t.ItemsPerDay / daySeconds }
func (t Target) jobs() float64    { return t.JobsPerDay / daySeconds }
func (t Target) changes() float64 { return t.ChangesPerDay / daySeconds }
