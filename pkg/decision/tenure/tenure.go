// Package tenure decides by a node's own clock whether the node still holds what other nodes take over once it seems lost.
//
// Invariant: while Held is true, no other node has counted this one as lost since HeldSince, provided that each confirmation
// was given by a node that would have been told of it, and that others wait for longer than the bound of the confirmation.
package tenure

import "time"

// Tenure is what a node knows of its being counted as live. The zero value holds nothing. It is not safe for concurrent use.
type Tenure struct {
	since, until time.Time
}

// Confirm records that the node was heard between begun and now, so that others count it as live until bound after begun. It
// returns how long the gap before was, in which others may have counted the node as lost, or 0; there is none before the first
// confirmation. They may have done so until now: a report can be late.
func (t *Tenure) Confirm(begun, now time.Time, bound time.Duration) (gap time.Duration) {
	if now.After(t.until) {
		if !t.until.IsZero() {
			gap = now.Sub(t.until)
		}
		t.since = now
	}
	if end := begun.Add(bound); end.After(t.until) {
		t.until = end
	}
	return gap
}

// Held reports whether others certainly count the node as live now.
func (t *Tenure) Held(now time.Time) bool { return !t.until.IsZero() && !now.After(t.until) }

// HeldSince returns the beginning of the last time without a gap. What the node learned before it may be out of date.
func (t *Tenure) HeldSince() time.Time { return t.since }
