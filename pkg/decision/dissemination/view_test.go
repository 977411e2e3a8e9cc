package dissemination_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/decision/dissemination"
)

// sizes are the fleet sizes that are simulated.
var sizes = []struct{ members, zones int }{{8, 3}, {64, 4}, {380, 8}}

var scenarios = []scenario{
	{name: "no fault"},
	{name: "5 % dead", deadFraction: 0.05},
	{name: "paused relay", pausedRelay: true},
	{name: "store outage", storeOutage: true},
	{name: "two zones apart", partitioned: true},
	{name: "outage, 5 % dead", storeOutage: true, deadFraction: 0.05},
	{name: "outage, two zones apart", storeOutage: true, partitioned: true},
}

const (
	warmUp = 10 * time.Second
	// changeInterval is the time between changes at 2,800 a day.
	changeInterval = 31 * time.Second
)

// slowestSpread returns the time until the last responsive node had a change in force, the longest over all seeds, or an
// hour if a responsive node never had it.
func slowestSpread(variant string, n, zones int, sc scenario, seeds uint64) time.Duration {
	var worst time.Duration
	for seed := range seeds {
		s := newSim(variant, n, zones, sc, seed)
		s.run(warmUp)
		s.acceptChange(1)
		s.run(warmUp + faultDuration + 20*time.Second)
		for i := range s.names {
			switch {
			case s.unresponsive[i]:
			case s.version[i] == 0:
				worst = max(worst, time.Hour)
			default:
				worst = max(worst, s.installedAt[i]-warmUp)
			}
		}
	}
	return worst
}

// cost returns the store calls plus open watches per minute, and the bytes per second of the average and of the busiest
// node.
func cost(variant string, n, zones, changes int) (calls, mean, busiest float64) {
	s := newSim(variant, n, zones, scenario{}, 1)
	for i := range changes {
		s.run(time.Duration(i+1) * changeInterval)
		s.acceptChange(i + 1)
	}
	s.run(time.Duration(changes+1) * changeInterval)
	watches := map[string]int{"watch": n, "tree": min(n, zones*dissemination.RelaysPerZone)}[variant]
	total := 0
	for _, b := range s.bytes {
		total += b
	}
	seconds := s.now.Seconds()
	return float64(s.storeCalls)/seconds*60 + float64(watches),
		float64(total) / float64(n) / seconds, float64(slices.Max(s.bytes)) / seconds
}

// TestTargets guards against a change that takes longer to reach all nodes, or needs more store calls or bytes per second,
// than the targets allow, with and without faults.
func TestTargets(t *testing.T) {
	for _, size := range sizes {
		calls, mean, busiest := cost("tree", size.members, size.zones, 3)
		assert.Check(t, calls <= float64(size.zones)*10, "%d members: %.0f store calls a minute", size.members, calls)
		assert.Check(t, busiest <= 2048, "%d members: %.0f bytes a second, %.0f on average", size.members, busiest, mean)
		limit := 10 * time.Second
		if size.members == 8 {
			limit = 2 * time.Second
		}
		for _, sc := range scenarios {
			if sc.partitioned && sc.storeOutage {
				limit += faultDuration
			}
			last := slowestSpread("tree", size.members, size.zones, sc, 1)
			assert.Check(t, last <= limit, "%d members, %s: %s", size.members, sc.name, last)
		}
	}
}

// BenchmarkVariants prints the table in docs/dissemination.md that compares the variants.
func BenchmarkVariants(b *testing.B) {
	for _, variant := range []string{"watch", "gossip", "tree"} {
		b.Run(variant, func(b *testing.B) {
			var out strings.Builder
			w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
			fmt.Fprint(w, "members\tstore calls/min\tmean B/s\tbusiest B/s")
			for _, sc := range scenarios {
				fmt.Fprint(w, "\t", sc.name)
			}
			for _, size := range sizes {
				calls, mean, busiest := cost(variant, size.members, size.zones, 20)
				fmt.Fprintf(w, "\n%d\t%.0f\t%.0f\t%.0f", size.members, calls, mean, busiest)
				for _, sc := range scenarios {
					fmt.Fprintf(w, "\t%.2f s", slowestSpread(variant, size.members, size.zones, sc, 20).Seconds())
				}
			}
			w.Flush()
			b.Log("\n" + out.String())
		})
	}
}

// TestTreeReachesAll guards against a tree that misses a member, reaches one more than twice, has a node with too many
// children, or loses the members below one that does not answer.
func TestTreeReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 20).Draw(t, "zones")
		n := rapid.IntRange(1, 400).Draw(t, "members")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		deadFraction := rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "lost")
		var members []dissemination.Member
		dead := map[string]bool{}
		for i := range n {
			m := dissemination.Member{Name: fmt.Sprint("n", i), AvailabilityZone: fmt.Sprint("z", random.IntN(zones))}
			members = append(members, m)
			dead[m.Name] = random.Float64() < deadFraction
		}
		lead := rapid.SampledFrom([]dissemination.Lead{dissemination.LeadHead, dissemination.LeadReporter}).Draw(t, "lead")
		origin := members[random.IntN(n)].Name
		dead[origin] = false
		view := dissemination.NewView(members)
		received := map[string]int{origin: 1}
		forwarders := map[string]*dissemination.Forwarder{}
		for _, m := range members {
			forwarders[m.Name] = dissemination.NewForwarder()
		}
		var deliver func(from string, steps []dissemination.Step)
		deliver = func(from string, steps []dissemination.Step) {
			if deadFraction == 0 && len(steps) > 2*dissemination.Degree {
				t.Fatalf("%s sends to %d members", from, len(steps))
			}
			for _, s := range steps {
				if dead[s.To] {
					deliver(from, view.ReplaceReceiver(from, s))
				} else {
					received[s.To]++
					deliver(s.To, forwarders[s.To].Forward(view, s.To, 1, s.Route))
				}
			}
		}
		deliver(origin, forwarders[origin].Originate(view, origin, 1, lead))
		for _, m := range members {
			if received[m.Name] == 0 && !dead[m.Name] {
				t.Fatalf("%s in %s was not reached", m.Name, m.AvailabilityZone)
			}
			if deadFraction == 0 && received[m.Name] > 2 {
				t.Fatalf("%s was reached %d times", m.Name, received[m.Name])
			}
		}
	})
}

// TestLeaseRanges guards against lease records that no relay reads or that several read.
func TestLeaseRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "members")
		var members []dissemination.Member
		for i := range n {
			members = append(members, dissemination.Member{Name: fmt.Sprintf("n%02d", i), AvailabilityZone: fmt.Sprint("z", rapid.IntRange(0, 7).Draw(t, "zone"))})
		}
		view := dissemination.NewView(members)
		for _, name := range []string{"a", "n00", "n05", "n05x", "n30", "n59", "z"} {
			readers := 0
			for _, m := range members {
				after, until := view.LeaseRange(m.Name)
				if view.ReadsLeases(m.Name) && name > after && (until == "" || name <= until) {
					readers++
				}
			}
			if readers != 1 {
				t.Fatalf("%d relays read the record of %s, want 1", readers, name)
			}
		}
	})
}
