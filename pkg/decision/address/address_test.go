package address

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/blackboard"
)

// newTestQuery returns a query from zone triolet in a fleet of six nodes, three of them in that zone.
func newTestQuery(random *rand.Rand) Query {
	q := Query{AvailabilityZone: "triolet", Region: "south", Members: map[string]blackboard.Member{}, Random: random.Float64}
	for i, zone := range []string{"triolet", "triolet", "triolet", "terre-rouge", "terre-rouge", "centro"} {
		name := fmt.Sprint("n", i)
		region := "mu-north"
		if zone == "centro" {
			region = "south"
		}
		q.Members[name] = blackboard.Member{Name: name, Address: name + ":1", AvailabilityZone: zone, Region: region}
	}
	return q
}

// Guards against answers that list far nodes before near ones or list draining, lost or leaving nodes, and against
// sending all callers to one node or most of them to a loaded one.
func TestSelectNodes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	q := newTestQuery(random)
	firstCount := map[string]int{}
	for range 3000 {
		answer := SelectNodes(q)
		assert.Equal(t, len(answer), 6)
		assert.Equal(t, answer[2].AvailabilityZone, "triolet")
		assert.Equal(t, answer[4].AvailabilityZone, "terre-rouge")
		firstCount[answer[0].Name]++
	}
	for _, n := range []string{"n0", "n1", "n2"} {
		assert.Assert(t, firstCount[n] > 800, "%v", firstCount)
	}
	q.Load = func(n string) float64 { return map[string]float64{"n0": 3}[n] }
	clear(firstCount)
	for range 3000 {
		firstCount[SelectNodes(q)[0].Name]++
	}
	assert.Assert(t, firstCount["n0"] < 500, "%v", firstCount)
	draining := q.Members["n1"]
	draining.Draining = true
	q.Members["n1"] = draining
	q.VMs = map[string]blackboard.VMState{"n0": blackboard.VMLost, "n3": blackboard.VMLeaving, "n2": blackboard.VMLive}
	answer := SelectNodes(q)
	assert.Equal(t, fmt.Sprint(answer[0].Name, answer[1].Name, answer[2].Name, len(answer)), "n2n4n53")
	q.AvailabilityZone = "unknown"
	assert.Equal(t, SelectNodes(q)[0].Name, "n5")
}

// Guards against full answers whose nodes are all in the caller's zone, where they fail together, and against full
// answers that list far nodes before near ones.
func TestFullAnswersNameSeveralZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 8).Draw(t, "zones")
		perZone := rapid.SliceOfN(rapid.IntRange(1, 50), zones, zones).Draw(t, "nodes")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		q := Query{AvailabilityZone: "z0", Members: map[string]blackboard.Member{}, Random: random.Float64}
		for z, count := range perZone {
			for i := range count {
				name := fmt.Sprintf("z%d-%d", z, i)
				q.Members[name] = blackboard.Member{Name: name, Address: name, AvailabilityZone: fmt.Sprint("z", z), Region: fmt.Sprint("r", z/3)}
			}
		}
		answer := SelectNodes(q)
		assert.Equal(t, len(answer), min(len(q.Members), MaxAnswerNodes))
		distance, zonesNamed, seen := 0, map[string]bool{}, map[string]bool{}
		for _, m := range answer {
			d := map[bool]int{true: 1, false: 2}[m.Region == "r0"]
			if m.AvailabilityZone == "z0" {
				d = 0
			}
			assert.Assert(t, d >= distance, "%v", answer)
			distance = d
			assert.Assert(t, !seen[m.Name], "%v", answer)
			seen[m.Name], zonesNamed[m.AvailabilityZone] = true, true
		}
		assert.Assert(t, len(zonesNamed) >= min(zones, otherZoneNodes+1), "%d zones: %v", zones, zonesNamed)
	})
}
