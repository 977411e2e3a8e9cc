// Package boottime reads a clock that is never set and that keeps running while the machine is suspended. Package time's monotonic clock
// stands still then.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started. It is above 0.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had this clock since 2.6.39, and a fixed valid argument has no other error.
	}
	return time.Duration(t.Nano())
}
