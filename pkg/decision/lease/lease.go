// Package lease decides when a node holds its lease and when another node may take over the node's roles.
//
// Safety rests on three rules. A holder computes its deadline from the time before it sent the renewal. A node that
// wants to take over waits from the time after it saw the last renewal. A holder whose lease expired never uses the same
// fencing token again.
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

// Params are the timing parameters of a lease. All nodes must use the same values.
type Params struct {
	// Duration is how long a renewal is valid, and Renew the time between renewals.
	Duration, Renew time.Duration
	// ClockRateError limits how much faster or slower than real time a node's clock may run, as a fraction.
	ClockRateError float64
	// Margin is subtracted from the deadline to cover the time between checking the lease and the effect.
	Margin time.Duration
}

// Default allows two lost renewals. Quartz clocks drift by up to 0.02 % and virtual clocks that are being adjusted by
// up to 0.05 %; a ClockRateError of 1 % covers both.
var Default = Params{Duration: 30 * time.Second, Renew: 10 * time.Second, ClockRateError: 0.01, Margin: time.Second}

// maxClockDeviation returns the largest deviation of a clock during one lease.
func (p Params) maxClockDeviation() time.Duration {
	return time.Duration(float64(p.Duration) * p.ClockRateError)
}

// ValidFor returns how long after sending a renewal the sender may rely on it.
func (p Params) ValidFor() time.Duration { return p.Duration - p.maxClockDeviation() - p.Margin }

// TakeoverAfter returns how long a lease must be unchanged before another node may act in its holder's place.
func (p Params) TakeoverAfter() time.Duration { return p.Duration + p.maxClockDeviation() }

// Record is the value of a lease object.
type Record struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region,omitempty"`
	Address          string `json:"address"`
	AdminAddress     string `json:"admin_address,omitempty"`
	PeerAddress      string `json:"peer_address"`
	// Incarnation grows with each restart of the node.
	Incarnation int64 `json:"incarnation"`
	// Token is the fencing token: the store revision of the write that acquired the lease. In that write itself it is 0.
	// Revisions grow over all objects, so that tokens grow even after a deletion of the lease object.
	Token int64 `json:"token,omitempty"`
	// Renewal counts the renewals under one token, so that no two writes store the same value.
	Renewal int64 `json:"renewal"`
	// Expiry is the wall clock time at which the lease ends. It is for operators; no decision of this package uses it.
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
		// A struct of strings, numbers and times can always be marshalled if the years of the times are within 0 to 9999.
		panic(err)
	}
	return b
}

// Decode decodes the value that the lease object key has at a revision. For an acquiring write it sets Token to the
// revision.
func Decode(key string, value []byte, revision int64) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, Error.Wrap(err)
	}
	if Prefix+r.Name != key || r.Name == "" {
		return Record{}, Error.New("decode object %q: the record is of node %q", key, r.Name)
	}
	if r.Token == 0 {
		r.Token = revision
	}
	if r.Token < 0 || r.Token > revision {
		return Record{}, Error.New("decode object %q: token %d is negative or above revision %d", key, r.Token, revision)
	}
	return r, nil
}

// Holds reports whether l allows effects at now. Both the monotonic and the wall clock must be before the deadline,
// since the monotonic clock does not count the time that a VM was suspended.
func Holds(l blackboard.Lease, now time.Time) bool {
	return l.Token > 0 && now.Before(l.Deadline) && now.Round(0).Before(l.Deadline.Round(0))
}

// Action is the next action of a holder.
type Action string

const (
	// ActionAcquire reads the lease object and writes it with a new token.
	ActionAcquire Action = "acquire"
	// ActionRenew extends the lease with the same token.
	ActionRenew Action = "renew"
	// ActionWait waits until the next renewal is due.
	ActionWait Action = "wait"
)

// State is the holder's state of its lease. The zero State holds no lease.
type State struct {
	// Token and Deadline are as in blackboard.Lease.
	Token    int64
	Deadline time.Time
	// Revision is the object revision of the last write that is known to be applied.
	Revision int64
	Renewal  int64
	// SentAt is when that write was sent.
	SentAt time.Time
}

// Lease returns the lease that effects are checked against.
func (s State) Lease() blackboard.Lease {
	return blackboard.Lease{Token: s.Token, Deadline: s.Deadline}
}

// Next returns the action that is due at now and, for ActionWait, how long to wait.
func (p Params) Next(s State, now time.Time) (Action, time.Duration) {
	if s.Token == 0 || !Holds(s.Lease(), now) {
		return ActionAcquire, 0
	}
	if wait := s.SentAt.Add(p.Renew).Sub(now); wait > 0 {
		return ActionWait, wait
	}
	return ActionRenew, 0
}

// Acquired returns the state after an acquiring write, sent at sent, was applied with the given revision.
func (p Params) Acquired(sent time.Time, revision int64) State {
	return State{Token: revision, Revision: revision, SentAt: sent, Deadline: sent.Add(p.ValidFor())}
}

// Renewed returns the state after a renewal, sent at sent, was answered at now. If the lease expired before the answer
// came, other nodes may have acted in between, so the token is given up.
func (p Params) Renewed(s State, sent, now time.Time, revision int64) State {
	if !Holds(s.Lease(), now) {
		return State{}
	}
	s.Revision, s.Renewal, s.SentAt, s.Deadline = revision, s.Renewal+1, sent, sent.Add(p.ValidFor())
	return s
}
