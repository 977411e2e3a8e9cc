// Package lease decides when a node holds its lease and when another node may take over what it held.
//
// Safety rests on three rules. A holder counts its deadline from before it sent the renewal, a taker counts from
// after it saw the last renewal, and a holder whose lease lapsed never goes on with the same fencing token.
package lease

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/blackboard"
)

// Error is the class of the errors of this package.
var Error = errs.Class("lease")

// Prefix is the key prefix of lease objects; the node's name follows.
const Prefix = "nodes/"

// Params are the times of a lease. All nodes must use the same values.
type Params struct {
	// Duration is how long a renewal is valid, and Renew the time between renewals.
	Duration, Renew time.Duration
	// ClockRateError bounds how much faster or slower than real time a node's clock runs, as a part of 1.
	ClockRateError float64
	// Margin is kept before the deadline for the time between the check and the effect.
	Margin time.Duration
}

// Default allows two lost renewals. Quartz clocks drift by up to 0.02 %; virtual clocks that are being adjusted
// by up to 0.05 %; 1 % leaves room for both.
var Default = Params{Duration: 30 * time.Second, Renew: 10 * time.Second, ClockRateError: 0.01, Margin: time.Second}

// clockError is the most that a clock deviates over one lease.
func (p Params) clockError() time.Duration {
	return time.Duration(float64(p.Duration) * p.ClockRateError)
}

// ValidFor is how long after sending a renewal its sender may rely on it.
func (p Params) ValidFor() time.Duration { return p.Duration - p.clockError() - p.Margin }

// TakeoverAfter is how long a lease must have been unchanged before another node may act in its holder's place.
func (p Params) TakeoverAfter() time.Duration { return p.Duration + p.clockError() }

// Record is the value of a lease object.
type Record struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region,omitempty"`
	Address          string `json:"address"`
	AdminAddress     string `json:"admin_address,omitempty"`
	PeerAddress      string `json:"peer_address"`
	// Incarnation is larger after each restart of the node.
	Incarnation int64 `json:"incarnation"`
	// Token is the fencing token. It is 0 in the write that acquires the lease, since the token is the store
	// revision of that write: revisions grow over all objects, so a token grows even after a deletion.
	Token int64 `json:"token,omitempty"`
	// Renewal counts the renewals under one token, so that no two writes have the same value.
	Renewal int64 `json:"renewal"`
	// Expiry is the wall clock time at which the lease ends. It informs people; no decision uses it.
	Expiry time.Time `json:"expiry"`
	// Draining is set when the node accepts no new callers.
	Draining bool `json:"draining,omitempty"`
	// Released is set by a holder that has stopped all effects under Token.
	Released bool `json:"released,omitempty"`
}

// Encode returns the value to store.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// A struct of strings, numbers and a time in range always marshals.
		panic(err)
	}
	return b
}

// Decode reads the value of the lease object key at a revision and fills in the token of an acquiring write.
func Decode(key string, value []byte, revision int64) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, Error.Wrap(err)
	}
	if Prefix+r.Name != key || r.Name == "" {
		return Record{}, Error.New("object %q names node %q", key, r.Name)
	}
	if r.Token == 0 {
		r.Token = revision
	}
	if r.Token < 0 || r.Token > revision {
		return Record{}, Error.New("object %q has token %d at revision %d", key, r.Token, revision)
	}
	return r, nil
}

// Holds reports whether an effect under l is allowed at now. Both the monotonic and the wall clock must be before
// the deadline: the monotonic one does not count the time that a VM was suspended.
func Holds(l blackboard.Lease, now time.Time) bool {
	return l.Number > 0 && now.Before(l.Deadline) && now.Round(0).Before(l.Deadline.Round(0))
}

// Action is what the holder does next.
type Action string

// Actions.
const (
	// ActionAcquire reads the object and writes it under a new token.
	ActionAcquire Action = "acquire"
	// ActionRenew extends the lease under the same token.
	ActionRenew Action = "renew"
	// ActionWait does nothing yet.
	ActionWait Action = "wait"
)

// State is the holder's side of a lease. The zero State holds nothing.
type State struct {
	// Token and Deadline are as in blackboard.Lease.
	Token    int64
	Deadline time.Time
	// Revision is the object revision of the last write known to be applied.
	Revision int64
	Renewal  int64
	// SentAt is when the last write that was applied was sent.
	SentAt time.Time
}

// Lease returns the form that effects are checked against.
func (s State) Lease() blackboard.Lease {
	return blackboard.Lease{Number: s.Token, Deadline: s.Deadline}
}

// Next returns the action due at now, and for ActionWait how long to wait.
func (p Params) Next(s State, now time.Time) (Action, time.Duration) {
	if s.Token == 0 || !Holds(s.Lease(), now) {
		return ActionAcquire, 0
	}
	if wait := s.SentAt.Add(p.Renew).Sub(now); wait > 0 {
		return ActionWait, wait
	}
	return ActionRenew, 0
}

// Acquired returns the state after an acquiring write sent at sent was answered at now with a revision.
func (p Params) Acquired(sent time.Time, revision int64) State {
	return State{Token: revision, Revision: revision, SentAt: sent, Deadline: sent.Add(p.ValidFor())}
}

// Renewed returns the state after a renewal sent at sent was answered at now. When the lease lapsed before the
// answer came, others may have acted in between, so the token is given up.
func (p Params) Renewed(s State, sent, now time.Time, revision int64) State {
	if !Holds(s.Lease(), now) {
		return State{}
	}
	s.Revision, s.Renewal, s.SentAt, s.Deadline = revision, s.Renewal+1, sent, sent.Add(p.ValidFor())
	return s
}
