package fleet

import "time"

const (
	// suspicionDoublesAfter is the number of suspicions in a row, without an answer between them, from which on they last twice as
	// long as the one before, up to maxSuspicionDoublings times. Otherwise the first of many lost nodes would be tried again before the
	// last one is.
	suspicionDoublesAfter, maxSuspicionDoublings = 2, 4
	// heardSuspicion is how long the suspicion of a node lasts at most after it has called this one.
	heardSuspicion = 2 * time.Second
	// suspicionForgotten is how long after its end a suspicion no longer counts.
	suspicionForgotten = 30 * time.Second
)

// suspicion is what is known of a node that did not answer.
type suspicion struct {
	until time.Time
	// inRow is the number of suspicions since the node was last heard.
	inRow int
}

// Suspect removes a node from the live ones for d, or for longer if it was suspected before and has not been heard since, after a call
// to it failed with cause.
func (f *Fleet) Suspect(name string, d time.Duration, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	s := f.suspects[name]
	if now.Sub(s.until) > suspicionForgotten {
		s.inRow = 0
	}
	if !now.Before(s.until) {
		s.inRow++
	}
	d <<= min(max(0, s.inRow-suspicionDoublesAfter), maxSuspicionDoublings)
	if !now.Before(s.until) {
		f.log.Notice("node suspected", "member", name, "for_ms", d.Milliseconds(), "error", cause)
	}
	s.until = now.Add(d)
	f.suspects[name] = s
}

// Heard records that a node has answered this one or called it.
func (f *Fleet) Heard(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, suspected := f.suspects[name]
	if !suspected {
		return
	}
	if limit := time.Now().Add(heardSuspicion); s.until.After(limit) {
		s.until = limit
	}
	s.inRow = 0
	f.suspects[name] = s
}
