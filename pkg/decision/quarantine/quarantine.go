// Package quarantine decides which requests may run, from the crashes of upstreams under them.
//
// A fingerprint that was never seen to succeed runs once at a time, so that resends of a request that crashes
// upstreams can't take several of them down at once. After its first success it is proven and runs freely. A
// crash makes it suspect, and it next runs alone on an upstream. A crash of that trial quarantines it.
package quarantine

import (
	"container/list"
	"time"
)

const (
	// Hold is how long a quarantine lasts.
	Hold = 10 * time.Minute
	// suspectFor is how long a suspect without a trial stays one.
	suspectFor = 10 * time.Minute
	// unprovenWait is how long a run of an unproven fingerprint keeps the others of that fingerprint waiting.
	// A request that crashes its upstream does so early; a long answer must not delay equal requests for
	// its whole length.
	unprovenWait = 5 * time.Second
	// trialWait is how long a trial without a report blocks the next one. It is above the usual deadline of two
	// minutes.
	trialWait = 3 * time.Minute
	// provenFor is how long a success counts.
	provenFor = time.Hour
	// Capacity bounds the fingerprints kept, about 300 bytes each.
	Capacity = 50_000
)

// Verdict is the answer to a check.
type Verdict int

// Verdicts.
const (
	// Clear lets the request run.
	Clear Verdict = iota
	// Trial lets the request run alone on an upstream.
	Trial
	// Busy asks to check again shortly.
	Busy
	// Refused means quarantine.
	Refused
)

// entry is the state of one fingerprint.
type entry struct {
	fingerprint string
	// proven, suspect and refused are the times until which the state holds.
	proven, suspect, refused time.Time
	// runner is the request that runs while others wait, until the time waitUntil.
	runner    string
	waitUntil time.Time
}

// Table holds the fingerprints of which this node is an owner. It is not safe for concurrent use.
type Table struct {
	entries map[string]*list.Element
	// order has the least recently used fingerprint in front.
	order    *list.List
	capacity int
}

// NewTable returns a table for capacity fingerprints.
func NewTable(capacity int) *Table {
	return &Table{entries: map[string]*list.Element{}, order: list.New(), capacity: capacity}
}

func (t *Table) get(fingerprint string) *entry {
	if el, ok := t.entries[fingerprint]; ok {
		t.order.MoveToBack(el)
		return el.Value.(*entry)
	}
	if len(t.entries) >= t.capacity {
		t.evict()
	}
	e := &entry{fingerprint: fingerprint}
	t.entries[fingerprint] = t.order.PushBack(e)
	return e
}

// evict drops the oldest fingerprint that is not suspect, or the oldest at all. A flood of new requests so does
// not push out the few that crash upstreams.
func (t *Table) evict() {
	victim := t.order.Front()
	for el, n := victim, 0; el != nil && n < 100; el, n = el.Next(), n+1 {
		if e := el.Value.(*entry); e.suspect.IsZero() && e.refused.IsZero() {
			victim = el
			break
		}
	}
	delete(t.entries, victim.Value.(*entry).fingerprint)
	t.order.Remove(victim)
}

// Len returns the number of fingerprints kept.
func (t *Table) Len() int { return len(t.entries) }

// Check decides whether the request may run now. For Refused it returns how long that still holds. Clear and
// Trial reserve the run for an unproven or suspect fingerprint until End or until the wait has passed.
func (t *Table) Check(fingerprint, request string, now time.Time) (Verdict, time.Duration) {
	e := t.get(fingerprint)
	held := e.runner != "" && e.runner != request && now.Before(e.waitUntil)
	switch {
	case now.Before(e.refused):
		return Refused, e.refused.Sub(now)
	case now.Before(e.suspect):
		if held {
			return Busy, 0
		}
		e.runner, e.waitUntil = request, now.Add(trialWait)
		return Trial, 0
	case now.Before(e.proven):
		return Clear, 0
	case held:
		return Busy, 0
	}
	e.runner, e.waitUntil = request, now.Add(unprovenWait)
	return Clear, 0
}

// Holds reports whether the request holds the reservation of the fingerprint. A request that runs without one need
// not be reported when it survives.
func (t *Table) Holds(fingerprint, request string) bool {
	el, ok := t.entries[fingerprint]
	return ok && el.Value.(*entry).runner == request
}

// Ending says how a run ended.
type Ending int

// Endings of a run.
const (
	// NotRun means that no upstream ran the request, or that the run says nothing about it.
	NotRun Ending = iota
	// Survived means that the upstream answered.
	Survived
	// Crashed means that the upstream died while it ran the request.
	Crashed
)

// End records the end of a run. trial is set when the run was alone on its upstream.
func (t *Table) End(fingerprint, request string, trial bool, how Ending, now time.Time) {
	e := t.get(fingerprint)
	if e.runner == request {
		e.runner, e.waitUntil = "", time.Time{}
	}
	switch how {
	case Survived:
		// A run beside others that began before the crash does not clear the suspicion.
		if trial || !now.Before(e.suspect) {
			e.suspect, e.proven = time.Time{}, now.Add(provenFor)
		}
	case Crashed:
		e.proven = time.Time{}
		if trial {
			e.suspect, e.refused = time.Time{}, now.Add(Hold)
		} else {
			e.suspect = now.Add(suspectFor)
		}
	}
}

// Release ends the reservations of requests for which gone is true, because their node was lost.
func (t *Table) Release(gone func(request string) bool) {
	for _, el := range t.entries {
		if e := el.Value.(*entry); e.runner != "" && gone(e.runner) {
			e.runner, e.waitUntil = "", time.Time{}
		}
	}
}
