package loadshare

import (
	"time"

	"trefoilplank.example/pkg/boottime"
)

// ageClock returns the time from which the ages in an answer count.
func (e *Exchange) ageClock() time.Duration {
	if e.options.ApplyAges == nil {
		return 0
	}
	return boottime.Now()
}

// applyAges passes on the ages in an answer. They count from the beginning of the call, so that an answer that was read late is no exception.
func (e *Exchange) applyAges(begun time.Duration, t Totals) {
	if e.options.ApplyAges != nil {
		e.options.ApplyAges(begun, t.Ages)
	}
}
