package address

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/blackboard"
)

func question(random *rand.Rand) Question {
	q := Question{AvailabilityZone: "triolet", Region: "south", Members: map[string]blackboard.Member{}, Random: random.Float64}
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

// Guards against far, draining or lost nodes before near ones, and against all callers going to one node.
func TestDecide(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	q := question(random)
	first := map[string]int{}
	for range 3000 {
		answer := Decide(q)
		assert.Equal(t, len(answer), 6)
		assert.Equal(t, answer[2].AvailabilityZone, "triolet")
		assert.Equal(t, answer[4].AvailabilityZone, "terre-rouge")
		first[answer[0].Name]++
	}
	for _, n := range []string{"n0", "n1", "n2"} {
		assert.Assert(t, first[n] > 800, "%v", first)
	}
	q.Load = func(n string) float64 { return map[string]float64{"n0": 3}[n] }
	clear(first)
	for range 3000 {
		first[Decide(q)[0].Name]++
	}
	assert.Assert(t, first["n0"] < 500, "%v", first)
	draining := q.Members["n1"]
	draining.Draining = true
	q.Members["n1"] = draining
	q.VMs = map[string]blackboard.VMState{"n0": blackboard.VMLost, "n3": blackboard.VMLeaving, "n2": blackboard.VMLive}
	answer := Decide(q)
	assert.Equal(t, fmt.Sprint(answer[0].Name, answer[1].Name, answer[2].Name, len(answer)), "n2n4n53")
	q.AvailabilityZone = "unknown"
	assert.Equal(t, Decide(q)[0].Name, "n5")
}
