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
