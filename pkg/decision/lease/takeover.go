package lease

import (
	"time"

	"trefoilplank.example/pkg/blackboard"
)

// Role names the node that holds a role, such as running a part of a batch job or sending the orders to an upstream. It
// is stored in the role's record, which changes only by conditional update.
type Role struct {
	Holder string `json:"holder"`
	// Lease is the fencing token of the holder's lease.
	Lease int64 `json:"lease"`
	// Token is the fencing token of the role, which effects carry. It grows with each change of holder, even if the
	// lease of the new holder is older than that of the previous one.
	Token int64 `json:"token"`
}

// HeldBy reports whether a node with lease l holds the role. A lease that is acquired again after it expired has another
// token and no longer holds the role.
func (r Role) HeldBy(node string, l blackboard.Lease) bool {
	return r.Holder == node && r.Lease == l.Token && l.Token > 0
}

// Take returns the role after its takeover by a node with lease l. MayTake must have allowed the takeover from Holder
// and Lease.
func (r Role) Take(node string, l blackboard.Lease) Role {
	return Role{Holder: node, Lease: l.Token, Token: max(r.Token+1, l.Token)}
}

// Observation is an observer's knowledge of another node's lease object. Its times are by the observer's clock. The
// zero Observation means that the object was never read.
type Observation struct {
	// Present is false when the object did not exist.
	Present  bool
	Token    int64
	Revision int64
	Released bool
	// Since is when this revision, or the absence of the object, was first seen: the end of the first read that
	// showed it.
	Since time.Time
	// TokenSince is when this token was first seen.
	TokenSince time.Time
	// Confirmed is the start of the last read.
	Confirmed time.Time
}

// AfterRead returns the observation updated by a read that began at start and ended at end. A nil record means that the
// object does not exist.
func (o Observation) AfterRead(r *Record, revision int64, start, end time.Time) Observation {
	next := Observation{Revision: revision, Since: end, TokenSince: end, Confirmed: start}
	if r != nil {
		next.Present, next.Token, next.Released = true, r.Token, r.Released
	}
	if o.Since.IsZero() || o.Present != next.Present {
		return next
	}
	if o.Token == next.Token {
		next.TokenSince = o.TokenSince
	}
	if o.Revision == next.Revision {
		next.Since = o.Since
	}
	return next
}

// Takeover is the decision whether a role may be taken over from its holder.
type Takeover struct {
	Allowed bool
	Reason  string
	// Wait is the time until the decision can change while the lease object stays the same. With ReadAgain, 0 means that
	// the object must be read now.
	Wait time.Duration
	// ReadAgain is set when the lease object must be read again after Wait.
	ReadAgain bool
}

// MayTake decides at now whether another node may act in place of the holder whose lease had token. If so, that node
// writes the result of Role.Take by conditional update and acts only after the update was applied. inFlight is 0 for an
// upstream that enforces fencing tokens; for others it is the longest time for which an order of the holder can still take
// effect.
func (p Params) MayTake(o Observation, token int64, now time.Time, inFlight time.Duration) Takeover {
	if o.Since.IsZero() {
		return Takeover{Reason: "the holder's lease was not read yet", ReadAgain: true}
	}
	if o.Present && o.Token < token {
		return Takeover{Reason: "the lease read is older than the role record", ReadAgain: true}
	}
	if o.Present && o.Token == token && o.Released {
		return allowAfter(o.Since, inFlight, now, "the holder released its lease")
	}
	wait := p.TakeoverAfter() + inFlight
	if !o.Present {
		return allowAfter(o.Since, wait, now, "the holder's lease object is gone")
	}
	if o.Token > token {
		return allowAfter(o.TokenSince, wait, now, "the holder restarted or lost its token")
	}
	if o.Confirmed.Sub(o.Since) >= wait {
		return Takeover{Allowed: true, Reason: "the holder's lease expired"}
	}
	return Takeover{
		Reason: "the holder's lease may still be valid", ReadAgain: true, Wait: max(0, wait-now.Sub(o.Since)),
	}
}

// allowAfter allows the takeover for the given reason once wait has passed since since.
func allowAfter(since time.Time, wait time.Duration, now time.Time, reason string) Takeover {
	if left := wait - now.Sub(since); left > 0 {
		return Takeover{Reason: reason + ", but may still act", Wait: left}
	}
	return Takeover{Allowed: true, Reason: reason}
}
