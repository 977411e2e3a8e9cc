package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a result of Top that differs from sorting all nodes by score, and against an Owner that is not the first
// of them.
func TestTopEqualsSortingByScore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,3}"), 0, 40, rapid.ID).Draw(t, "nodes")
		key := rapid.String().Draw(t, "key")
		n := rapid.IntRange(0, 5).Draw(t, "n")
		sorted := slices.Clone(nodes)
		slices.SortFunc(sorted, func(a, b string) int {
			if x, y := Score(key, a), Score(key, b); x != y {
				if x > y {
					return -1
				}
				return 1
			}
			return slices.Compare([]byte(a), []byte(b))
		})
		got := Top(key, nodes, n)
		if !slices.Equal(got, sorted[:min(n, len(sorted))]) {
			t.Fatalf("%v, want the first %d of %v", got, n, sorted)
		}
		if len(nodes) > 0 && Owner(key, nodes) != sorted[0] {
			t.Fatalf("owner %s, want %s", Owner(key, nodes), sorted[0])
		}
	})
}

// Guards against the loss of a node moving keys between the remaining nodes.
func TestLossOfANodeMovesOnlyItsKeys(t *testing.T) {
	nodes := []string{"a", "b", "c", "d"}
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		before := Owner(key, nodes)
		after := Owner(key, nodes[:3])
		assert.Assert(t, before == "d" || after == before, key)
	}
}

// BenchmarkTop measures the choice of two owners among 380 nodes, the number of members in the two-year target.
func BenchmarkTop(b *testing.B) {
	nodes := make([]string, 380)
	for i := range nodes {
		nodes[i] = fmt.Sprint("node", i)
	}
	for b.Loop() {
		Top("key", nodes, 2)
	}
}

// Guards against a weak node that does the work of all nodes while a strong one lives, and against an order that changes for
// the other nodes when one is lost.
func TestStrongNodesRankFirst(t *testing.T) {
	weights := map[string]float64{}
	for n := range 250 {
		weights[fmt.Sprint("small-", n)] = 0.192
	}
	for n := range 15 {
		weights[fmt.Sprint("big-", n)] = 0.8
	}
	for n := range 45 {
		weights[fmt.Sprint("worker-", n)] = 0.48
	}
	ranked := RankedStrongFirst("hub", weights)
	assert.Equal(t, len(ranked), len(weights))
	for n, node := range ranked {
		assert.Equal(t, weights[node] >= 0.4, n < 60, "%s at %d", node, n)
	}
	lost := ranked[0]
	delete(weights, lost)
	assert.DeepEqual(t, RankedStrongFirst("hub", weights), ranked[1:])
}
