// Package confchain decides how the configuration moves from one version to the next: which change is accepted,
// which is a resend, which lost a race, and which version a node takes.
package confchain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/config"
)

// Error is the class of the errors of this package.
var Error = errs.Class("configuration chain")

const (
	// HeadKey is the object that holds the accepted version.
	HeadKey = "config/head"
	// DataPrefix is the prefix of payload chunks.
	DataPrefix = "config/data/"
	// MaxHistory is the number of versions that the head remembers, at about 140 bytes each, which each relay
	// receives at each change. At 2,800 changes a day it covers half an hour, within which the key of a resent
	// change is recognised.
	MaxHistory = 64
	// KeptPayloads is the number of versions whose payload stays in the store.
	KeptPayloads = 8
)

// Entry is one accepted version in the head's history.
type Entry struct {
	config.Record
	// Change is the digest of the change's documents, which tells a resend from another change with the same key.
	Change string `json:"change"`
	// Digest is the SHA-256 digest of the payload, hex. It and the fields below are empty on versions whose
	// payload is no longer kept.
	Digest string `json:"digest,omitempty"`
	// Attempt is unique to one attempt to write the head and part of the chunks' keys.
	Attempt string `json:"attempt,omitempty"`
	// Chunks is the number of payload chunks.
	Chunks int `json:"chunks,omitempty"`
	// Node accepted the version; relays ask it for a delta before they read the payload from the store.
	Node string `json:"node,omitempty"`
}

// Head is the value of the head object. History is newest first; its first entry is the accepted version.
type Head struct {
	History []Entry `json:"history"`
}

// Version returns the accepted version; 0 for an empty chain.
func (h Head) Version() int64 {
	if len(h.History) == 0 {
		return 0
	}
	return h.History[0].Version
}

// Encode returns the value to store.
func (h Head) Encode() []byte {
	b, err := json.Marshal(h)
	if err != nil {
		// Strings, numbers and a time of this century always marshal.
		panic(err)
	}
	return b
}

// Decode reads and checks a head.
func Decode(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, Error.Wrap(err)
	}
	for i, e := range h.History {
		switch {
		case e.Version <= 0 || i < KeptPayloads && (e.Chunks <= 0 || e.Attempt == "" || e.Digest == ""):
			return Head{}, Error.New("entry %d is not complete", i)
		case i > 0 && e.Version >= h.History[i-1].Version:
			return Head{}, Error.New("version %d follows version %d", h.History[i-1].Version, e.Version)
		}
	}
	if len(h.History) == 0 {
		return Head{}, Error.New("the head has no version")
	}
	return h, nil
}

// Records returns the history without internals.
func (h Head) Records() []config.Record {
	records := make([]config.Record, len(h.History))
	for i, e := range h.History {
		records[i] = e.Record
	}
	return records
}

// FindAttempt looks for the entry that one attempt to accept a version wrote. found proves that its write was
// applied. Otherwise complete tells whether the entry would still be there if it had been.
func (h Head) FindAttempt(version int64, attempt string) (found, complete bool) {
	for _, e := range h.History {
		if e.Attempt == "" {
			return false, false
		}
		if e.Attempt == attempt {
			return true, true
		}
		if e.Version <= version {
			return false, true
		}
	}
	return false, len(h.History) < MaxHistory
}

// ChangeDigest identifies the documents of a change.
func ChangeDigest(c config.Change) (string, error) {
	b, err := json.Marshal(struct {
		Register *api.Register
		Rules    *api.Rules
	}{c.Register, c.Rules})
	if err != nil {
		return "", Error.Wrap(err)
	}
	// 64 bits tell apart the changes that one operator's key is used for.
	return Digest(b)[:16], nil
}

// Digest returns the SHA-256 digest in hex.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Check decides on a change against the accepted head. It returns the version of the first acceptance for a
// resend, 0 for a change that may be proposed, or *config.KeyReuseError or *config.RaceError. known is the highest
// version that live nodes know: a store that lost its head does not make the fleet's configuration empty.
func (h Head) Check(c config.Change, digest string, known int64) (int64, error) {
	if c.Key != "" {
		for _, e := range h.History {
			switch {
			case e.Key != c.Key:
			case e.Change == digest:
				return e.Version, nil
			default:
				return 0, &config.KeyReuseError{Key: c.Key, Version: e.Version}
			}
		}
	}
	if current := max(h.Version(), known); !c.Matches(h.Version()) || c.IfMatch == config.NoVersion && current > 0 {
		return 0, &config.RaceError{Current: current}
	}
	return 0, nil
}

// Merge returns the configuration that the change makes out of the one it is applied to.
func Merge(base api.Config, c config.Change, version int64) api.Config {
	next := base
	next.Version = version
	if c.Register != nil {
		next.Register = *c.Register
	}
	if c.Rules != nil {
		next.Rules = *c.Rules
	}
	return next
}

// NextVersion returns the version of the next change. It is above every version known to be accepted, so that
// a store that lost writes does not give out a version twice.
func (h Head) NextVersion(known int64) int64 { return max(h.Version(), known) + 1 }

// Proposal describes a payload that is in the store and waits for the head to accept it.
type Proposal struct {
	Node           string
	Version        int64
	Change, Digest string
	Attempt        string
	Chunks         int
	Key, Who       string
	When           time.Time
}

// Append returns the head after the proposal.
func (h Head) Append(p Proposal) Head {
	e := Entry{
		Record: config.Record{Version: p.Version, Key: p.Key, Who: p.Who, When: p.When.UTC().Truncate(time.Millisecond)},
		Change: p.Change, Digest: p.Digest, Attempt: p.Attempt, Chunks: p.Chunks, Node: p.Node,
	}
	next := Head{History: append([]Entry{e}, h.History[:min(len(h.History), MaxHistory-1)]...)}
	// One more than is kept, whose payload the accepting node deletes.
	for i := KeptPayloads + 1; i < len(next.History); i++ {
		old := &next.History[i]
		old.Digest, old.Attempt, old.Chunks, old.Node = "", "", 0, ""
	}
	return next
}
