// Package batchorder decides which batch items run first, which may take slots that are kept for online requests, and which
// keep theirs, when more items wait than can be done in time.
//
// It answers bursts of jobs and losses of upstreams, after which some items can only be done late. By due time alone those
// would run first, and make the items behind them late as well.
package batchorder

import (
	"cmp"
	"time"
)

// Item is an item that waits or runs.
type Item struct {
	Due time.Time
	// Remaining is the time that the item still takes, with a margin for long ones, and Received the events it already has.
	Remaining time.Duration
	Received  int64
}

// slack returns the time that the item may still wait and be done in time.
func (i Item) slack(now time.Time) time.Duration { return i.Due.Sub(now) - i.Remaining }

// hopeless reports whether the item will be late even if it takes half as long as expected.
func (i Item) hopeless(now time.Time) bool { return i.Due.Sub(now) < i.Remaining/2 }

// Compare orders items: those that can be done in time by due time, then those that will be late, of which those with the most
// progress come first.
func Compare(a, b Item, now time.Time) int {
	lateA, lateB := a.slack(now) < 0, b.slack(now) < 0
	switch {
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case lateA:
		return cmp.Or(cmp.Compare(b.Received, a.Received), a.Due.Compare(b.Due))
	}
	return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(b.Received, a.Received))
}

// Urgent reports whether an item must start within margin to be done in time, and can be.
func (i Item) Urgent(margin time.Duration, now time.Time) bool {
	return i.slack(now) < margin && !i.hopeless(now)
}

// MayStop reports whether a running item may be stopped for an online request: it has margin left, or will be late anyway.
func (i Item) MayStop(margin time.Duration, now time.Time) bool {
	return i.slack(now) > margin || i.hopeless(now)
}
