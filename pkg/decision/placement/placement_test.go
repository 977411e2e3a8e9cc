package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/blackboard"
)

var random = rand.New(rand.NewPCG(1, 2))

func upstreamGroup(n int) Input {
	in := Input{AvailabilityZone: "z1"}
	for i := range n {
		in.Candidates = append(in.Candidates, Candidate{Name: fmt.Sprint("e", i), AvailabilityZone: "z1",
			LoadKnown: true, Limit: 8, Hold: time.Second})
	}
	return in
}

// Guards against choosing upstreams that must not get requests, and against an outage of a service whose upstreams
// were all ejected on wrong evidence.
func TestChooseOmitsUnusableUpstreams(t *testing.T) {
	in := upstreamGroup(5)
	in.Candidates[0].Excluded = true
	in.Candidates[1].Health = blackboard.HealthLeaving
	in.Candidates[2].Health = blackboard.HealthEjected
	in.Candidates[3].NotLoaded = true
	got := Choose(in, random)
	assert.Assert(t, len(got) == 1 && got[0].Name == "e4" && got[0].Index == 4, "%+v", got)
	in.Candidates[4].Health = blackboard.HealthEjected
	assert.Equal(t, len(Choose(in, random)), 2, "ejected upstreams are the last resort")
	for i := range in.Candidates {
		in.Candidates[i].Health = blackboard.HealthLeaving
	}
	assert.Equal(t, len(Choose(in, random)), 0)
}

// Guards against assigning the same prefix to different upstreams, which wastes their caches, and against one popular
// prefix that overloads its upstream while others are idle.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	in := upstreamGroup(6)
	in.PrefixHashes = []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	assigned := Choose(in, random)[0].Name
	for range 20 {
		assert.Equal(t, Choose(in, random)[0].Name, assigned)
	}
	for i := range in.Candidates {
		in.Candidates[i].Online = 2
		if in.Candidates[i].Name == assigned {
			in.Candidates[i].Online = 7
		}
	}
	assert.Assert(t, Choose(in, random)[0].Name != assigned, "an upstream above the load bound keeps the prefix")
}

// Guards against following prefix affinity when cache events show that another upstream holds the blocks.
func TestCacheEventsCorrectAffinity(t *testing.T) {
	in := upstreamGroup(6)
	in.PrefixHashes = []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	assigned := Choose(in, random)[0].Index
	other := (assigned + 1) % 6
	in.Candidates[other].CachedBlocks, in.Candidates[other].CacheTrust = 8, 0.9
	assert.Equal(t, Choose(in, random)[0].Index, other)
	in.Candidates[other].CacheTrust = 0.2
	assert.Equal(t, Choose(in, random)[0].Index, assigned, "little trust must not outweigh the assigned upstream")
}

// Guards against relying on an old load figure. By the owners' figures e0 is the only idle upstream, but this node has
// taken 4 of its slots since: e0 is chosen while the figure is fresh and no longer when it is 30 s old.
func TestOldLoadFigureLosesWeight(t *testing.T) {
	in := upstreamGroup(4)
	for i := range in.Candidates {
		in.Candidates[i].Online = 6
	}
	in.Candidates[0].Online, in.Candidates[0].SlotsTakenHere = 0, 4
	assert.Equal(t, Choose(in, random)[0].Name, "e0")
	in.Candidates[0].Age = 30 * time.Second
	assert.Assert(t, Choose(in, random)[0].Name != "e0")
}

// Guards against waiting for a full upstream in the node's own availability zone while another zone has free slots, and
// against leaving the own zone without need.
func TestFreeSlotInOtherZonePreferredToWait(t *testing.T) {
	in := upstreamGroup(2)
	in.Candidates[1].AvailabilityZone = "z2"
	assert.Equal(t, Choose(in, random)[0].Name, "e0")
	in.Candidates[0].Online = 8
	assert.Equal(t, Choose(in, random)[0].Name, "e1")
}
