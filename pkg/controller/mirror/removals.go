package mirror

import (
	"time"

	"trefoilplank.example/pkg/eventlog"
)

// removal is an entry that is gone from a copy, for the log.
type removal struct {
	key string
	// cause is what showed that the entry is gone, and source where that came from: the store or a node.
	cause, source string
	// revision is the store's revision by which the entry is gone, and at when this node learned so.
	revision int64
	at       time.Time
}

// vanishedEntry is an entry that is gone from the store and kept for a while.
type vanishedEntry struct {
	removal
	until time.Time
}

// Causes of removals.
const (
	removedByEvent = "event"
	removedByList  = "list"
)

// sourceStore is the source of what this node has read from the store itself.
const sourceStore = "store"

// logRemovals writes a line for each removal that is about to take effect.
func (c *prefixCopy) logRemovals(log *eventlog.Log, removals []removal, now time.Time) {
	for _, r := range removals {
		log.Notice("entry is gone from the store copy", "key", r.key, "cause", r.cause, "source", r.source, "revision", r.revision,
			"kept_ms", now.Sub(r.at).Milliseconds())
	}
}
