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

// Candidate is an upstream that serves the request's model or service.
type Candidate struct {
	Name             string
	AvailabilityZone string
	Health           blackboard.UpstreamHealth
	// HealthFor is how long the upstream has been in that state.
	HealthFor time.Duration
	// Excluded marks an upstream that a retry must avoid, NotLoaded an engine without the model.
	Excluded, NotLoaded bool
	// Limit, Online, Batch and Waiting are its admission owner's figures, Age old.
	Limit, Online, Batch, Waiting int
	Age                           time.Duration
	// Known is false when the owner was never heard.
	Known bool
	// Delta is the number of slots that this node took since the figures, less those it returned.
	Delta int
	// Hold is how long a request holds a slot.
	Hold time.Duration
	// CachedBlocks of the prompt are believed cached, with the given trust.
	CachedBlocks int
	CacheTrust   float64
}

// Input is the snapshot that a choice is made on.
type Input struct {
	AvailabilityZone string
	// PrefixHashes are the chained hashes of the prompt's blocks.
	PrefixHashes []uint64
	Candidates   []Candidate
	// Alone prefers the upstream with the least work, since it must become empty.
	Alone bool
}

// Choice is an upstream with the reason for its place.
type Choice struct {
	Name string
	// Index is the candidate's place in Input.Candidates.
	Index int
	// Wait is the expected wait for a slot and Cost the expected time to the first token.
	Wait, Cost time.Duration
	Reason     string
	// cached is the number of prompt blocks that are expected to be cached.
	cached float64
}

// Parameters of the choice.
const (
	// loadBound is the factor of bounded-load consistent hashing: no upstream gets a prefix by affinity when it
	// has more than this times the mean load.
	loadBound = 1.25
	// affinityBlock is the index of the block whose hash assigns a prompt. The first blocks are often a system
	// prompt common to a whole institution; a later one spreads conversations.
	affinityBlock = 3
	// affinityTrust is the trust that the assigned upstream holds a prefix which no cache event confirms.
	affinityTrust = 0.5
	// blockTime is the prefill time of one block of 16 tokens at about 5,000 tokens/s.
	blockTime = 3 * time.Millisecond
	// zoneCost is the round trip between zones (design section 1.1).
	zoneCost = time.Millisecond
	// crowding is the first-token delay of a full engine against an empty one.
	crowding = 10 * time.Millisecond
	// ageScale is the age at which a load figure counts half; the rest is the mean of the group.
	ageScale = 2 * time.Second
	// preemptWait is the expected time for a batch run to leave its slot.
	preemptWait = 10 * time.Millisecond
	// defaultHold is used until a run was seen.
	defaultHold = 500 * time.Millisecond
	// jitter breaks ties between equal upstreams, so that nodes with the same figures spread.
	jitter = 500 * time.Microsecond
)

// maxChoices bounds the answer of Choose, so that a group of 500 upstreams need not be sorted for each request.
const maxChoices = 8

// usable is a candidate with its estimated load.
type usable struct {
	*Candidate
	index       int
	limit, load float64
}

// Choose returns up to maxChoices usable upstreams, best first. When every upstream is ejected, the ejected ones are used: an
// ejection on wrong evidence must not stop the service.
func Choose(in Input, random *rand.Rand) []Choice {
	set := filter(in.Candidates, false)
	panicked := len(set) == 0
	if panicked {
		set = filter(in.Candidates, true)
	}
	if len(set) == 0 {
		return nil
	}
	estimate(set)
	assigned := assign(set, in.PrefixHashes)
	out := make([]Choice, 0, maxChoices+1)
	for i := range set {
		c := judge(&set[i], in, set[i].Name == assigned)
		c.Cost += time.Duration(random.Float64() * float64(jitter))
		at, _ := slices.BinarySearchFunc(out, c, func(a, b Choice) int { return cmp.Compare(a.Cost, b.Cost) })
		if at < maxChoices {
			out = slices.Insert(out, at, c)
			out = out[:min(len(out), maxChoices)]
		}
	}
	for i := range out {
		out[i].Reason = reason(&in, out[i], panicked)
	}
	return out
}

func reason(in *Input, c Choice, panicked bool) string {
	why := "least expected time to the first token"
	switch {
	case in.Alone:
		why = "least work to wait for before a run alone"
	case c.cached > 0:
		why = fmt.Sprintf("expected to have %.1f of %d prompt blocks cached", c.cached, len(in.PrefixHashes))
	}
	if panicked {
		why = "every upstream is ejected; " + why
	}
	return why
}

func filter(candidates []Candidate, ejectedToo bool) []usable {
	set := make([]usable, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		part := health.Part(c.Health, c.HealthFor)
		if ejectedToo && c.Health == blackboard.HealthEjected {
			part = 1
		}
		if c.Excluded || c.NotLoaded || part <= 0 {
			continue
		}
		set = append(set, usable{Candidate: c, index: i, limit: math.Max(1, float64(c.Limit)) * part})
	}
	return set
}

// estimate sets the load of each upstream: the owner's figure as far as it is fresh, else the group's mean, and
// this node's own use since.
func estimate(set []usable) {
	var load, limit float64
	for i := range set {
		if set[i].Known {
			load += float64(set[i].Online + set[i].Waiting)
			limit += set[i].limit
		}
	}
	mean := 0.0
	if limit > 0 {
		mean = load / limit
	}
	for i := range set {
		u := &set[i]
		fresh := 0.0
		if u.Known {
			fresh = float64(ageScale) / float64(ageScale+max(u.Age, 0))
		}
		reported := float64(u.Online + u.Waiting)
		u.load = math.Max(0, fresh*reported+(1-fresh)*mean*u.limit+float64(u.Delta))
	}
}

// assign returns the upstream that consistent hashing with bounded load gives the prefix, or "": the one with the
// highest weight among those below the bound.
func assign(set []usable, hashes []uint64) string {
	if len(hashes) == 0 {
		return ""
	}
	key := fmt.Sprintf("prefix/%x", hashes[min(affinityBlock, len(hashes)-1)])
	var load, limit float64
	for i := range set {
		load, limit = load+set[i].load, limit+set[i].limit
	}
	best, bestScore := "", uint64(0)
	for i := range set {
		u := &set[i]
		if u.load+1 > math.Max(1, math.Ceil(loadBound*(load+1)*u.limit/limit)) {
			continue
		}
		if s := rendezvous.Score(key, u.Name); best == "" || s > bestScore {
			best, bestScore = u.Name, s
		}
	}
	return best
}

// judge estimates the time to the first token on an upstream.
func judge(u *usable, in Input, assigned bool) Choice {
	c := Choice{Name: u.Name, Index: u.index}
	hold := u.Hold
	if hold <= 0 {
		hold = defaultHold
	}
	if over := u.load + 1 - u.limit; over > 0 {
		c.Wait = time.Duration(over / u.limit * float64(hold))
	} else if u.load+float64(u.Batch)+1 > float64(u.Limit) && u.Batch > 0 {
		c.Wait = preemptWait
	}
	cached := float64(min(u.CachedBlocks, len(in.PrefixHashes))) * u.CacheTrust
	if assigned {
		if prior := affinityTrust * float64(len(in.PrefixHashes)); prior > cached {
			cached = prior
		}
	}
	c.cached = cached
	c.Cost = c.Wait + time.Duration((float64(len(in.PrefixHashes))-cached)*float64(blockTime))
	c.Cost += time.Duration(math.Min(1, u.load/u.limit) * float64(crowding))
	if u.AvailabilityZone != in.AvailabilityZone {
		c.Cost += zoneCost
	}
	if in.Alone {
		c.Cost = time.Duration(u.load+float64(u.Batch)) * hold
	}
	return c
}
