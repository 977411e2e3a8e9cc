// Package rendezvous assigns keys to nodes by highest random weight, so that the loss of a node moves only its keys.
package rendezvous

import (
	"sort"

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

// Top returns up to n nodes in falling order of weight for key.
func Top(key string, nodes []string, n int) []string {
	order := append([]string(nil), nodes...)
	sort.Slice(order, func(i, j int) bool {
		a, b := Score(key, order[i]), Score(key, order[j])
		return a > b || (a == b && order[i] < order[j])
	})
	return order[:min(n, len(order))]
}
