// Package confchain decides how the configuration advances from one version to the next: which change is accepted,
// which is a resend, which lost a race against another change, and which version a node puts into force.
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
	// HeadKey is the store key of the head, which names the accepted version.
	HeadKey = "config/head"
	// ChunkKeyPrefix is the prefix of the store keys of payload chunks.
	ChunkKeyPrefix = "config/data/"
	// MaxHistory is the number of versions in the head, of about 140 bytes each; each relay receives the head at
	// each change. At 2,800 changes a day the history covers half an hour, within which a resent change is recognised
	// by its key.
	MaxHistory = 64
	// KeptPayloads is the number of latest versions whose payload stays in the store.
	KeptPayloads = 8
)

// Entry is one accepted version in the head's history.
type Entry struct {
	config.Record
	// Change is the digest of the change's documents, which distinguishes a resend from another change with the same
	// key.
	Change string `json:"change"`
	// Digest is the SHA-256 digest of the payload in hex. It and the fields below are empty on versions whose payload
	// is no longer stored.
	Digest string `json:"digest,omitempty"`
	// Attempt identifies one attempt to write the head. It is part of the keys of the chunks.
	Attempt string `json:"attempt,omitempty"`
	// Chunks is the number of payload chunks.
	Chunks int `json:"chunks,omitempty"`
	// Node is the node that accepted the version. Relays ask it for a delta before they read the payload from the
	// store.
	Node string `json:"node,omitempty"`
}

// Head is the value of the object at HeadKey. History is ordered newest first; its first entry is the accepted version.
type Head struct {
	History []Entry `json:"history"`
}

// Version returns the accepted version, or 0 if there is none.
func (h Head) Version() int64 {
	if len(h.History) == 0 {
		return 0
	}
	return h.History[0].Version
}

// Encode returns the head in its stored form, JSON.
func (h Head) Encode() []byte {
	b, err := json.Marshal(h)
	if err != nil {
		// Marshaling strings, numbers and times fails only for years beyond 9999.
		panic(err)
	}
	return b
}

// DecodeHead parses and validates a stored head.
func DecodeHead(value []byte) (Head, error) {
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

// Records returns the history as shown to operators.
func (h Head) Records() []config.Record {
	records := make([]config.Record, len(h.History))
	for i, e := range h.History {
		records[i] = e.Record
	}
	return records
}

// FindAttempt searches the history for the entry of one attempt to write a version. If found, the write was applied.
// If not found but complete, it was not applied; if not complete, its entry may no longer be in the history.
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

// ChangeDigest returns a digest that identifies the documents of a change.
func ChangeDigest(c config.Change) (string, error) {
	b, err := json.Marshal(struct {
		Register *api.Register
		Rules    *api.Rules
	}{c.Register, c.Rules})
	if err != nil {
		return "", Error.Wrap(err)
	}
	// 64 bits suffice to distinguish the changes for which an operator uses the same key.
	return Digest(b)[:16], nil
}

// Digest returns the SHA-256 digest of b in hex.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// CheckChange decides whether a change may be proposed on top of the head. It returns 0 if so, the version that was
// accepted first if the change is a resend, or else a *config.KeyReuseError or *config.RaceError. known is the highest
// version that live nodes know: a store that lost its head does not make the configuration of the fleet empty.
func (h Head) CheckChange(c config.Change, digest string, known int64) (int64, error) {
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

// ApplyChange returns the configuration after the change is applied to base.
func ApplyChange(base api.Config, c config.Change, version int64) api.Config {
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

// NextVersion returns the version of the next change. It is above every version known to be accepted, so that no
// version is used twice after the store has lost writes.
func (h Head) NextVersion(known int64) int64 { return max(h.Version(), known) + 1 }

// Proposal is a version whose payload is in the store but that the head does not name yet.
type Proposal struct {
	Node           string
	Version        int64
	Change, Digest string
	Attempt        string
	Chunks         int
	Key, Who       string
	When           time.Time
}

// Append returns the head with the proposal as the accepted version.
func (h Head) Append(p Proposal) Head {
	e := Entry{
		Record: config.Record{Version: p.Version, Key: p.Key, Who: p.Who, When: p.When.UTC().Truncate(time.Millisecond)},
		Change: p.Change, Digest: p.Digest, Attempt: p.Attempt, Chunks: p.Chunks, Node: p.Node,
	}
	next := Head{History: append([]Entry{e}, h.History[:min(len(h.History), MaxHistory-1)]...)}
	// The first version beyond KeptPayloads keeps its fields, since the accepting node needs them to delete its payload.
	for i := KeptPayloads + 1; i < len(next.History); i++ {
		old := &next.History[i]
		old.Digest, old.Attempt, old.Chunks, old.Node = "", "", 0, ""
	}
	return next
}
