package reach

import "time"

// MaxLate is how late a timer fires at most in a process that runs. Processes that share a busy processor are late by up to 50 ms (see
// package outage); one that was stopped for a second, as the platform's rules allow, is later.
const MaxLate = 100 * time.Millisecond

// ReadTime is how long a process that goes on after a gap reads what has arrived meanwhile. Reads are due at once.
const ReadTime = 50 * time.Millisecond

// Stalled reports whether this process did not run for a while, since it saw the end of a wait that late.
func Stalled(waited, limit time.Duration) bool { return waited > limit+MaxLate }

// Quiet measures how long nothing has arrived while this process was there to receive it. It is told when the next look is due, by a
// timer for instance: of the time until a look that is late only the due part and MaxLate count. After a late look the data of the gap
// may still lie unread in the socket, so that nothing should be concluded before another look. It is not safe for concurrent use.
type Quiet struct {
	lookAt    time.Time
	due, seen time.Duration
}

// Begin starts anew, since something has arrived. The next look is due after the given time.
func (q *Quiet) Begin(now time.Time, due time.Duration) { *q = Quiet{lookAt: now, due: due} }

// Due reports whether the look is due. It isn't if the look was postponed while its timer fired.
func (q *Quiet) Due(now time.Time) bool { return now.Sub(q.lookAt) >= q.due }

// Look returns for how long nothing has arrived, and whether this look is so late that the process did not run meanwhile.
func (q *Quiet) Look(now time.Time) (lasted time.Duration, stalled bool) {
	gone := max(0, now.Sub(q.lookAt))
	stalled = Stalled(gone, q.due)
	q.seen += min(gone, q.due+MaxLate)
	q.lookAt, q.due = now, 0
	return q.seen, stalled
}

// Next sets when the next look is due.
func (q *Quiet) Next(now time.Time, due time.Duration) {
	_, _ = q.Look(now) // Time since the last look counts too.
	q.due = due
}
