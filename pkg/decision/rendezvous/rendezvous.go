// Package rendezvous assigns keys to nodes by rendezvous hashing (highest random weight), so that the loss of a node
// moves only the keys of that node.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// Score returns the pseudo-random score of node for key.
func Score(key, node string) uint64 {
	return xxh3.HashString(key + "\x00" + node)
}

// Owner returns the node with the highest score for key, or "" without nodes.
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

// Top returns the n nodes with the highest scores for key, or all if there are fewer, the highest first. It hashes each
// node once and inserts it into a sorted list of the best n, since n is only 1 or 2 where Top is called for each request.
func Top(key string, nodes []string, n int) []string {
	best := make([]string, 0, n+1)
	scores := make([]uint64, 0, n+1)
	for _, node := range nodes {
		score := Score(key, node)
		position := len(best)
		for position > 0 && (score > scores[position-1] || score == scores[position-1] && node < best[position-1]) {
			position--
		}
		if position >= n {
			continue
		}
		best, scores = slices.Insert(best, position, node), slices.Insert(scores, position, score)
		if len(best) > n {
			best, scores = best[:n], scores[:n]
		}
	}
	return best
}

// Ranked returns all nodes by weighted preference for key, the most preferred first. A node of twice the weight comes
// first for twice as many keys, and the loss of a node moves only the keys of that node.
func Ranked(key string, weights map[string]float64) []string {
	scores := make(map[string]float64, len(weights))
	nodes := make([]string, 0, len(weights))
	for node, weight := range weights {
		// With the hash as a uniform fraction in (0, 1), the probability that -weight/ln(fraction) is the highest score is
		// proportional to weight.
		fraction := (float64(Score(key, node)>>11) + 0.5) / (1 << 53)
		scores[node] = -max(weight, minWeight) / math.Log(fraction)
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return nodes
}

// strongFraction is the part of the highest weight from which on a node counts as strong.
const strongFraction = 0.5

// RankedStrongFirst returns all nodes by weighted preference for key, with all strong nodes before the others: for work that
// one node does for all and that overloads a weak one.
func RankedStrongFirst(key string, weights map[string]float64) []string {
	highest := 0.0
	for _, weight := range weights {
		highest = max(highest, weight)
	}
	ranked := Ranked(key, weights)
	slices.SortStableFunc(ranked, func(a, b string) int {
		weakA, weakB := weights[a] < strongFraction*highest, weights[b] < strongFraction*highest
		switch {
		case weakA == weakB:
			return 0
		case weakB:
			return -1
		}
		return 1
	})
	return ranked
}

// minWeight is the least weight used, so that a node with weight 0 can still be chosen.
const minWeight = 1e-6
