package confchain

// KnownVersion is the latest accepted version that a node knows of. It is 0 and Ready if the store was read and is
// empty.
type KnownVersion struct {
	Version int64
	// Ready is set once the version was learned from the store or a quorum of peers.
	Ready bool
}

// Advance returns k updated by an accepted version that was seen. The version never decreases and Ready stays set.
func (k KnownVersion) Advance(version int64, ready bool) KnownVersion {
	return KnownVersion{Version: max(k.Version, version), Ready: k.Ready || ready}
}

// IsNewer reports whether a node with version inForce replaces it by candidate: only newer versions are put into force.
func IsNewer(inForce, candidate int64) bool { return candidate > inForce }

// PeerAnswer is the answer of one peer of the zone to a node that starts.
type PeerAnswer struct {
	Version int64
	// Ready is false if the peer does not know the accepted version itself; such an answer is ignored.
	Ready bool
}

// Quorum reports whether the answers of peers suffice to start without the store, and returns the highest version among
// them. More than half of the peers must know a version, so that at least one of them knows each version that a
// majority has seen.
func Quorum(peers int, answers []PeerAnswer) (version int64, ok bool) {
	readyPeers := 0
	for _, a := range answers {
		if a.Ready {
			readyPeers++
			version = max(version, a.Version)
		}
	}
	return version, peers > 0 && readyPeers > peers/2
}
