package capacity

import "math"

const daySeconds = 86400

// Target is a size of the fleet and its load. Rates per day are assumed to be spread evenly over the day; rates of
// online requests are peaks.
type Target struct {
	Nodes, Replicas, Institutions, Models, Zones float64
	// RequestsPerSecond and TokensPerSecond are those of the whole fleet.
	RequestsPerSecond, TokensPerSecond float64
	// TokenInterval is the time between two tokens of an answer, in seconds.
	TokenInterval                                 float64
	ItemsPerDay, JobsPerDay                       float64
	ChangesPerDay, RestartsPerDay, FailuresPerDay float64
	// KeyedShare is the part of online requests that carry an idempotency key, and NonIdempotentShare the part that must
	// not be repeated. The requirements give neither.
	KeyedShare, NonIdempotentShare float64
	// OpenJobs is the number of jobs that are not in a final state at one time.
	OpenJobs float64
}

// TwoYearTarget is the target of design section 1.7. All jobs of a day count as open at once, the most that a
// completion window of a day allows. The 10% of requests that carry a key and the 0.5% that must not be
// repeated are assumptions.
var TwoYearTarget = Target{
	Nodes: 380, Replicas: 1500, Institutions: 400, Models: 3, Zones: 8,
	RequestsPerSecond: 3000, TokensPerSecond: 670_000, TokenInterval: 0.033,
	ItemsPerDay: 15e6, JobsPerDay: 11_000, ChangesPerDay: 2800, RestartsPerDay: 650, FailuresPerDay: 35,
	KeyedShare: 0.1, NonIdempotentShare: 0.005, OpenJobs: 11_000,
}

// requestsPerNode returns the requests per second that one node receives.
func (t Target) requestsPerNode() float64 { return t.RequestsPerSecond / t.Nodes }

// inFlightPerNode returns the requests in flight on one node if each answer produces a token per TokenInterval.
func (t Target) inFlightPerNode() float64 { return t.TokensPerSecond * t.TokenInterval / t.Nodes }

// busyInstitutions returns the expected number of institutions with a request in flight on one node.
func (t Target) busyInstitutions() float64 {
	return t.Institutions * (1 - math.Exp(-t.inFlightPerNode()/t.Institutions))
}

// ownedUpstreams returns the mean number of upstreams of which one node is the admission owner.
func (t Target) ownedUpstreams() float64 { return t.Replicas / t.Nodes }

// expectedOwners returns the expected number of nodes that own at least one of the given number of upstreams.
func (t Target) expectedOwners(upstreams float64) float64 {
	return t.Nodes * (1 - math.Exp(-upstreams/t.Nodes))
}

// ownedModels returns the expected number of models among the upstreams that one node owns.
func (t Target) ownedModels() float64 {
	return t.Models * (1 - math.Exp(-t.ownedUpstreams()/t.Models))
}

// startsPerSecond returns the rate at which nodes start in the whole fleet, after restarts and failures.
func (t Target) startsPerSecond() float64 { return (t.RestartsPerDay + t.FailuresPerDay) / daySeconds }

func (t Target) itemsPerSecond() float64   { return t.ItemsPerDay / daySeconds }
func (t Target) jobsPerSecond() float64    { return t.JobsPerDay / daySeconds }
func (t Target) changesPerSecond() float64 { return t.ChangesPerDay / daySeconds }
