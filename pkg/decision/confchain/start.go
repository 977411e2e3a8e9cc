package confchain

// Known is what a node knows of the accepted version. A version of 0 is known when the store was read and is empty.
type Known struct {
	Version int64
	// Ready is set once a version is known from the store or a quorum of peers.
	Ready bool
}

// Advance returns the knowledge after another accepted version was seen. It never goes back.
func (k Known) Advance(version int64, ready bool) Known {
	return Known{Version: max(k.Version, version), Ready: k.Ready || ready}
}

// Takes reports whether a node with inForce moves to candidate.
func Takes(inForce, candidate int64) bool { return candidate > inForce }

// PeerAnswer is what one peer of the zone said at the start of this node.
type PeerAnswer struct {
	Version int64
	// Ready is false when the peer does not know a version itself; such an answer does not count.
	Ready bool
}

// Quorum decides whether the answers of peers are enough to start without the store: more than half of the
// peers must know a version, so that at least one of them was reached by each earlier acceptance that a majority
// has seen. It returns the highest version among them.
func Quorum(peers int, answers []PeerAnswer) (version int64, ok bool) {
	count := 0
	for _, a := range answers {
		if a.Ready {
			count++
			version = max(version, a.Version)
		}
	}
	return version, peers > 0 && count > peers/2
}
