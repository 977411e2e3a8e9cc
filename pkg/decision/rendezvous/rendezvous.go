// Package rendezvous assigns keys to nodes by highest random weight, so that the loss of a node moves only its keys.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// Score returns the weight of node for key.
func Score(key, node string) uint64 {
	return xxh3.HashString(key + "\x00" + node)
}

// Owner returns the node with the highest weight for key, or "" without nodes.
func Owner(key string, nodes []string) string {
	var best string
	var bestScore uint64
	for _, n := range nodes {
		if s := Score(key, n); best == "" || s > bestScore || (s == bestScore && n < best) {
			best, bestScore = n, s
		}
	}
	return best
}

// Top returns up to n nodes in falling order of weight for key. It hashes each node once and keeps the best n in
// order, since n is 1 or 2 where it is called for each request.
func Top(key string, nodes []string, n int) []string {
	best := make([]string, 0, n+1)
	scores := make([]uint64, 0, n+1)
	for _, node := range nodes {
		score := Score(key, node)
		at := len(best)
		for at > 0 && (score > scores[at-1] || score == scores[at-1] && node < best[at-1]) {
			at--
		}
		if at >= n {
			continue
		}
		best, scores = slices.Insert(best, at, node), slices.Insert(scores, at, score)
		if len(best) > n {
			best, scores = best[:n], scores[:n]
		}
	}
	return best
}

// Ranked returns the nodes in falling order of weighted preference for key: a node of twice the weight comes first for
// twice as many keys, and the loss of a node moves only its keys.
func Ranked(key string, weights map[string]float64) []string {
	scores := make(map[string]float64, len(weights))
	nodes := make([]string, 0, len(weights))
	for node, weight := range weights {
		// The hash as a fraction in (0, 1) makes -weight/ln(fraction) a sample whose maximum is won in proportion to weight.
		fraction := (float64(Score(key, node)>>11) + 0.5) / (1 << 53)
		scores[node] = -max(weight, minWeight) / math.Log(fraction)
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return nodes
}

// minWeight keeps a node without a weight from never being chosen.
const minWeight = 1e-6
