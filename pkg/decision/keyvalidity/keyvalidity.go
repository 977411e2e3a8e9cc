// Package keyvalidity decides whether a node may still accept callers' keys: only while its configuration is known to have been the
// store's newest at a moment that is not too long ago.
//
// Moments are readings of a node's own clock, which runs while the machine is suspended and is not set. Between nodes only ages are
// sent. The node that asks counts an age from the moment its call began: the other node measured it later, so the result is never
// later than the true moment, however late the answer is read.
//
// Invariant: at the moment InForceUpTo, the store held no change that the objects in force lack.
package keyvalidity

import (
	"math"
	"time"
)

// maxBoundPart is the part of the bound for which keys are accepted: clocks of machines differ in rate by less than 0.1 %, and a request is
// accepted some time after its caller sent it, which only shortens what is left.
const maxBoundPart = 0.95

// Never is the age of objects that were never known to be the store's newest.
const Never time.Duration = math.MaxInt64

// Valid reports whether keys may be accepted when the configuration in force has the given age and a removed key must not work for longer than
// bound.
func Valid(age, bound time.Duration) bool {
	return age >= 0 && age <= time.Duration(maxBoundPart*float64(bound))
}

// Known says that a copy holds all that the store held at a moment: every change up to AsOf has a revision of at most Changed. The zero value
// says nothing.
type Known struct {
	AsOf    time.Duration
	Changed int64
}

// Age is what a node tells others of its copy: a Known as an age, in milliseconds rounded up. Milliseconds are negative if nothing is known.
// The field names are wire names.
type Age struct {
	Changed      int64
	Milliseconds int64
}

// AgeOf returns what other nodes are told at the moment now.
func AgeOf(k Known, now time.Duration) Age {
	if k.AsOf <= 0 || now < k.AsOf {
		return Age{Milliseconds: -1}
	}
	return Age{Changed: k.Changed, Milliseconds: int64((now-k.AsOf)/time.Millisecond) + 1}
}

// KnownFrom returns what an answer with an age says to the node whose call began at the given moment.
func KnownFrom(a Age, begun time.Duration) Known {
	if a.Milliseconds < 0 || a.Milliseconds > int64(begun/time.Millisecond) {
		return Known{}
	}
	asOf := begun - time.Duration(a.Milliseconds)*time.Millisecond
	if asOf <= 0 {
		return Known{}
	}
	return Known{AsOf: asOf, Changed: a.Changed}
}

// Copy keeps what is known of one copy of a part of the store, and of those of its objects that are in force. The copy's content number
// changes with its objects. The zero value knows nothing. It is not safe for concurrent use.
type Copy struct {
	known Known
	// passed is the content that was last put in force, unless that was refused.
	passed  int64
	inForce bool
	upTo    time.Duration
}

// Confirm records what an answer says of a copy that is complete up to revision. It returns false if the copy lacks changes that the answer
// counts on.
func (c *Copy) Confirm(k Known, revision, content int64) bool {
	if k.AsOf <= 0 || k.Changed > revision {
		return false
	}
	if k.AsOf > c.known.AsOf {
		c.known.AsOf, c.known.Changed = k.AsOf, max(k.Changed, c.known.Changed)
	}
	c.advance(content)
	return true
}

// Passed records that a content was passed on to be put in force, when the copy was known as of the given moment, and whether it now is in
// force. content is the present one, which may have changed meanwhile.
func (c *Copy) Passed(passed int64, asOf time.Duration, inForce bool, content int64) {
	c.passed, c.inForce = passed, inForce
	if inForce {
		c.upTo = max(c.upTo, asOf)
	}
	c.advance(content)
}

func (c *Copy) advance(content int64) {
	if c.inForce && c.passed == content {
		c.upTo = max(c.upTo, c.known.AsOf)
	}
}

// Known returns what is known of the copy.
func (c *Copy) Known() Known { return c.known }

// InForceUpTo returns the latest moment at which the objects in force are known to have been the store's newest; 0 if there is none.
func (c *Copy) InForceUpTo() time.Duration { return c.upTo }

// AgeAt returns the age at the moment now of objects that are known up to a moment.
func AgeAt(upTo, now time.Duration) time.Duration {
	if upTo <= 0 {
		return Never
	}
	return now - upTo
}
