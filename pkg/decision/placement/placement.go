// Package placement orders the upstreams that can run a request by the expected time to its first token.
package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/health"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// Candidate is an upstream that serves the request's model or service, as this node knows it.
type Candidate struct {
	Name             string
	AvailabilityZone string
	Health           blackboard.UpstreamHealth
	// HealthFor is how long the upstream has had this Health.
	HealthFor time.Duration
	// Excluded marks an upstream that a retry must avoid, NotLoaded an engine that has not loaded the model.
	Excluded, NotLoaded bool
	// Limit, Online, Batch and Waiting are the load figures of the node that owns the upstream's admission: its slot limit,
	// the slots that online and batch work hold, and the number of waiting requests. Age is the age of these figures.
	Limit, Online, Batch, Waiting int
	Age                           time.Duration
	// LoadKnown is false when the owner has never reported load figures.
	LoadKnown bool
	// SlotsTakenHere is the number of slots that this node has taken since the figures were reported, less those that it
	// returned.
	SlotsTakenHere int
	// Hold is how long a request holds a slot; 0 if unknown.
	Hold time.Duration
	// CachedBlocks is the number of leading prompt blocks believed to be cached, CacheTrust the trust in it from 0
	// to 1.
	CachedBlocks int
	CacheTrust   float64
}

// Input is a snapshot of the request and its candidates.
type Input struct {
	AvailabilityZone string
	// PrefixHashes are the chained hashes of the prompt's blocks.
	PrefixHashes []uint64
	Candidates   []Candidate
	// Alone is set for a request that must run alone on an upstream. It prefers the upstream with the least work,
	// since that work must end first.
	Alone bool
}

// Choice is a chosen upstream with its estimated cost and the reason for choosing it.
type Choice struct {
	Name string
	// Index is the index of the upstream in Input.Candidates.
	Index int
	// Wait is the expected wait for a slot and Cost the expected time to the first token.
	Wait, Cost time.Duration
	Reason     string
	// expectedCached is the number of prompt blocks that are expected to be cached.
	expectedCached float64
}

const (
	// maxLoadFactor is the factor of consistent hashing with bounded loads: an upstream above this multiple of the
	// mean load gets no prefix by affinity.
	maxLoadFactor = 1.25
	// affinityBlock is the index of the prompt block whose hash selects the upstream. The first blocks are often a
	// system prompt that all callers of an institution share; the hash of a later block spreads its conversations.
	affinityBlock = 3
	// affinityTrust is the trust that the assigned upstream holds a prefix that no cache event confirms.
	affinityTrust = 0.5
	// blockPrefillTime is the prefill time of one block of 16 tokens at about 5,000 tokens/s.
	blockPrefillTime = 3 * time.Millisecond
	// crossZoneDelay is the round-trip time between availability zones (design section 1.1).
	crossZoneDelay = time.Millisecond
	// fullEngineDelay is the additional time to the first token on a full engine compared with an empty one.
	fullEngineDelay = 10 * time.Millisecond
	// loadHalfWeightAge is the age at which a load figure has half its weight in the estimate. The mean load of the
	// candidates has the other half.
	loadHalfWeightAge = 2 * time.Second
	// preemptWait is the expected time until a preempted batch run frees its slot.
	preemptWait = 10 * time.Millisecond
	// defaultHold replaces Candidate.Hold while it is unknown.
	defaultHold = 500 * time.Millisecond
	// maxJitter bounds the random addition to each cost. It makes nodes with the same load figures choose different
	// upstreams among equal ones.
	maxJitter = 500 * time.Microsecond
)

// maxChoices limits the result of Choose, so that not all of 500 upstreams have to be sorted for each request.
const maxChoices = 8

// usableCandidate is a candidate that may get the request. limit is its slot limit scaled by its health, load the
// estimated number of its online and waiting requests.
type usableCandidate struct {
	*Candidate
	index       int
	limit, load float64
}

// Choose returns up to maxChoices usable upstreams, the lowest cost first. If health, exclusion and loading leave no
// upstream, it also considers ejected ones, since an ejection on wrong evidence must not stop the service.
func Choose(in Input, random *rand.Rand) []Choice {
	usable := usableCandidates(in.Candidates, false)
	allEjected := len(usable) == 0
	if allEjected {
		usable = usableCandidates(in.Candidates, true)
	}
	if len(usable) == 0 {
		return nil
	}
	estimateLoads(usable)
	assigned := assignPrefix(usable, in.PrefixHashes)
	choices := make([]Choice, 0, maxChoices+1)
	for i := range usable {
		c := estimateCost(&usable[i], in, usable[i].Name == assigned)
		c.Cost += time.Duration(random.Float64() * float64(maxJitter))
		position, _ := slices.BinarySearchFunc(choices, c, func(a, b Choice) int { return cmp.Compare(a.Cost, b.Cost) })
		if position < maxChoices {
			choices = slices.Insert(choices, position, c)
			choices = choices[:min(len(choices), maxChoices)]
		}
	}
	for i := range choices {
		choices[i].Reason = choiceReason(&in, choices[i], allEjected)
	}
	return choices
}

// choiceReason explains a choice for the explain command.
func choiceReason(in *Input, c Choice, allEjected bool) string {
	why := "least expected time to the first token"
	switch {
	case in.Alone:
		why = "least work to finish before the request can run alone"
	case c.expectedCached > 0:
		why = fmt.Sprintf("expected to have %.1f of %d prompt blocks cached", c.expectedCached, len(in.PrefixHashes))
	}
	if allEjected {
		why = "every upstream is ejected; " + why
	}
	return why
}

// usableCandidates returns the candidates that may get the request, with their scaled limits.
func usableCandidates(candidates []Candidate, includeEjected bool) []usableCandidate {
	usable := make([]usableCandidate, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		workShare := health.WorkShare(c.Health, c.HealthFor)
		if includeEjected && c.Health == blackboard.HealthEjected {
			workShare = 1
		}
		if c.Excluded || c.NotLoaded || workShare <= 0 {
			continue
		}
		usable = append(usable, usableCandidate{Candidate: c, index: i, limit: math.Max(1, float64(c.Limit)) * workShare})
	}
	return usable
}

// estimateLoads sets the load of each upstream. It is an average of the owner's figure and the mean load of all, in
// which the owner's figure weighs less the older it is, plus the slots that this node has taken since.
func estimateLoads(candidates []usableCandidate) {
	var totalLoad, totalLimit float64
	for i := range candidates {
		if candidates[i].LoadKnown {
			totalLoad += float64(candidates[i].Online + candidates[i].Waiting)
			totalLimit += candidates[i].limit
		}
	}
	meanLoad := 0.0
	if totalLimit > 0 {
		meanLoad = totalLoad / totalLimit
	}
	for i := range candidates {
		u := &candidates[i]
		freshness := 0.0
		if u.LoadKnown {
			freshness = float64(loadHalfWeightAge) / float64(loadHalfWeightAge+max(u.Age, 0))
		}
		reported := float64(u.Online + u.Waiting)
		u.load = math.Max(0, freshness*reported+(1-freshness)*meanLoad*u.limit+float64(u.SlotsTakenHere))
	}
}

// assignPrefix assigns the prompt prefix to an upstream by consistent hashing with bounded loads: it returns the
// upstream with the highest rendezvous score among those within the load bound, or "" if there is none.
func assignPrefix(candidates []usableCandidate, hashes []uint64) string {
	if len(hashes) == 0 {
		return ""
	}
	key := fmt.Sprintf("prefix/%x", hashes[min(affinityBlock, len(hashes)-1)])
	var totalLoad, totalLimit float64
	for i := range candidates {
		totalLoad, totalLimit = totalLoad+candidates[i].load, totalLimit+candidates[i].limit
	}
	best, bestScore := "", uint64(0)
	for i := range candidates {
		u := &candidates[i]
		if u.load+1 > math.Max(1, math.Ceil(maxLoadFactor*(totalLoad+1)*u.limit/totalLimit)) {
			continue
		}
		if s := rendezvous.Score(key, u.Name); best == "" || s > bestScore {
			best, bestScore = u.Name, s
		}
	}
	return best
}

// estimateCost estimates the time to the first token on an upstream. For a request that runs alone, the cost is the
// time until the work on the upstream has ended.
func estimateCost(u *usableCandidate, in Input, assigned bool) Choice {
	c := Choice{Name: u.Name, Index: u.index}
	hold := u.Hold
	if hold <= 0 {
		hold = defaultHold
	}
	if excess := u.load + 1 - u.limit; excess > 0 {
		c.Wait = time.Duration(excess / u.limit * float64(hold))
	} else if u.load+float64(u.Batch)+1 > float64(u.Limit) && u.Batch > 0 {
		c.Wait = preemptWait
	}
	cached := float64(min(u.CachedBlocks, len(in.PrefixHashes))) * u.CacheTrust
	if assigned {
		if assumed := affinityTrust * float64(len(in.PrefixHashes)); assumed > cached {
			cached = assumed
		}
	}
	c.expectedCached = cached
	c.Cost = c.Wait + time.Duration((float64(len(in.PrefixHashes))-cached)*float64(blockPrefillTime))
	c.Cost += time.Duration(math.Min(1, u.load/u.limit) * float64(fullEngineDelay))
	if u.AvailabilityZone != in.AvailabilityZone {
		c.Cost += crossZoneDelay
	}
	if in.Alone {
		c.Cost = time.Duration(u.load+float64(u.Batch)) * hold
	}
	return c
}
