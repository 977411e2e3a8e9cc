// Package placement orders the upstreams that can run a request by the expected time to its first token.
package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
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
	// Wait is the expected wait for a slot and Cost the expected time to the first token.
	Wait, Cost time.Duration
	Reason     string
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

// usable is a candidate with its estimated load.
type usable struct {
	Candidate
	limit, load float64
}

// Choose returns the usable upstreams, best first. When every upstream is ejected, the ejected ones are used: an
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
	out := make([]Choice, len(set))
	for i := range set {
		out[i] = judge(&set[i], in, set[i].Name == assigned)
		out[i].Cost += time.Duration(random.Float64() * float64(jitter))
		if panicked {
			out[i].Reason = "every upstream is ejected; " + out[i].Reason
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Cost < out[j].Cost })
	return out
}

func filter(candidates []Candidate, ejectedToo bool) []usable {
	var set []usable
	for _, c := range candidates {
		part := health.Part(c.Health, c.HealthFor)
		if ejectedToo && c.Health == blackboard.HealthEjected {
			part = 1
		}
		if c.Excluded || c.NotLoaded || part <= 0 {
			continue
		}
		set = append(set, usable{Candidate: c, limit: math.Max(1, float64(c.Limit)) * part})
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

// assign returns the upstream that consistent hashing with bounded load gives the prefix, or "".
func assign(set []usable, hashes []uint64) string {
	if len(hashes) == 0 {
		return ""
	}
	key := fmt.Sprintf("prefix/%x", hashes[min(affinityBlock, len(hashes)-1)])
	names := make([]string, len(set))
	byName := make(map[string]*usable, len(set))
	var load, limit float64
	for i := range set {
		names[i], byName[set[i].Name] = set[i].Name, &set[i]
		load, limit = load+set[i].load, limit+set[i].limit
	}
	for _, n := range rendezvous.Top(key, names, len(names)) {
		u := byName[n]
		if u.load+1 <= math.Max(1, math.Ceil(loadBound*(load+1)*u.limit/limit)) {
			return n
		}
	}
	return ""
}

// judge estimates the time to the first token on an upstream.
func judge(u *usable, in Input, assigned bool) Choice {
	c := Choice{Name: u.Name, Reason: "least expected time to the first token"}
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
	if cached > 0 {
		c.Reason = fmt.Sprintf("expected to have %.1f of %d prompt blocks cached", cached, len(in.PrefixHashes))
	}
	c.Cost = c.Wait + time.Duration((float64(len(in.PrefixHashes))-cached)*float64(blockTime))
	c.Cost += time.Duration(math.Min(1, u.load/u.limit) * float64(crowding))
	if u.AvailabilityZone != in.AvailabilityZone {
		c.Cost += zoneCost
	}
	if in.Alone {
		c.Cost = time.Duration(u.load+float64(u.Batch)) * hold
		c.Reason = "least work to wait for before a run alone"
	}
	return c
}
