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

func group(n int) Input {
	in := Input{AvailabilityZone: "z1"}
	for i := range n {
		in.Candidates = append(in.Candidates, Candidate{Name: fmt.Sprint("e", i), AvailabilityZone: "z1", Known: true, Limit: 8, Hold: time.Second})
	}
	return in
}

// Guards against work for upstreams that must not get any, and against a service that stops because every
// upstream was ejected on wrong evidence.
func TestUnusableUpstreamsAreLeftOut(t *testing.T) {
	in := group(5)
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

// Guards against a prefix that wanders between upstreams, and against one popular prefix that overloads its
// upstream while others are idle.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	in := group(6)
	in.PrefixHashes = []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	home := Choose(in, random)[0].Name
	for range 20 {
		assert.Equal(t, Choose(in, random)[0].Name, home)
	}
	for i := range in.Candidates {
		in.Candidates[i].Online = 2
		if in.Candidates[i].Name == home {
			in.Candidates[i].Online = 7
		}
	}
	assert.Assert(t, Choose(in, random)[0].Name != home, "an upstream above the load bound keeps the prefix")
}

// Guards against affinity that a cache event has disproved: another upstream is known to have the blocks.
func TestCacheEventsCorrectAffinity(t *testing.T) {
	in := group(6)
	in.PrefixHashes = []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	home := Choose(in, random)[0].Index
	other := (home + 1) % 6
	in.Candidates[other].CachedBlocks, in.Candidates[other].CacheTrust = 8, 0.9
	assert.Equal(t, Choose(in, random)[0].Index, other)
	in.Candidates[other].CacheTrust = 0.2
	assert.Equal(t, Choose(in, random)[0].Index, home, "little trust must not outweigh the assigned upstream")
}

// Guards against full belief in an old load figure: when all figures say that e0 is the only idle one, a fresh
// figure wins but an old one counts little against this node's own use of it.
func TestOldLoadFadesIntoTheMean(t *testing.T) {
	in := group(4)
	for i := range in.Candidates {
		in.Candidates[i].Online = 6
	}
	in.Candidates[0].Online, in.Candidates[0].Delta = 0, 4
	assert.Equal(t, Choose(in, random)[0].Name, "e0")
	in.Candidates[0].Age = 30 * time.Second
	assert.Assert(t, Choose(in, random)[0].Name != "e0")
}

// Guards against a wait behind a full upstream in the own zone while another zone has free slots, and against
// leaving the zone without need.
func TestZoneCountsLessThanAWait(t *testing.T) {
	in := group(2)
	in.Candidates[1].AvailabilityZone = "z2"
	assert.Equal(t, Choose(in, random)[0].Name, "e0")
	in.Candidates[0].Online = 8
	assert.Equal(t, Choose(in, random)[0].Name, "e1")
}
