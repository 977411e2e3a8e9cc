// Package quarantine decides which requests may run, from the crashes of upstreams under them.
//
// A fingerprint that was never seen to succeed runs once at a time, so that resends of a request that crashes
// upstreams can't take several of them down at once. After its first success it is proven and runs freely. A
// crash makes it suspect, and it next runs alone on an upstream. A crash of that trial quarantines it, and any run
// that ends whole clears it.
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
	// wholeBegan is when the latest run that ended whole began.
	wholeBegan time.Time
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

// Run describes a run that ended.
type Run struct {
	Fingerprint, Request string
	// Trial is set when the run was alone on its upstream.
	Trial bool
	// Began is when the request was cleared to run.
	Began time.Time
	How   Ending
}

// End records the end of a run. A whole run clears the suspicion, since a request that crashes upstreams has none. A
// crash does not count when a run that began later has ended whole: reports of one upstream's death arrive late.
func (t *Table) End(r Run, now time.Time) {
	e := t.get(r.Fingerprint)
	if e.runner == r.Request {
		e.runner, e.waitUntil = "", time.Time{}
	}
	switch r.How {
	case Survived:
		e.suspect, e.proven = time.Time{}, now.Add(provenFor)
		if r.Began.After(e.wholeBegan) {
			e.wholeBegan = r.Began
		}
	case Crashed:
		switch {
		case r.Trial:
			e.proven, e.suspect, e.refused = time.Time{}, time.Time{}, now.Add(Hold)
		case e.wholeBegan.Before(r.Began) || e.wholeBegan.IsZero():
			e.proven, e.suspect = time.Time{}, now.Add(suspectFor)
		}
	}
}

// Suspect reports whether the fingerprint is under suspicion.
func (t *Table) Suspect(fingerprint string, now time.Time) bool {
	el, ok := t.entries[fingerprint]
	return ok && now.Before(el.Value.(*entry).suspect)
}

// Release ends the reservations of requests for which gone is true, because their node was lost.
func (t *Table) Release(gone func(request string) bool) {
	for _, el := range t.entries {
		if e := el.Value.(*entry); e.runner != "" && gone(e.runner) {
			e.runner, e.waitUntil = "", time.Time{}
		}
	}
}

// Record is what a node knows against a fingerprint, for a node that becomes its owner. Times are the durations that
// are left, since clocks differ.
type Record struct {
	Fingerprint      string
	Suspect, Refused time.Duration
	// Runner is a request that runs while others wait for at most Wait.
	Runner string
	Wait   time.Duration
}

// Export returns the record of a fingerprint; false when nothing is known against it.
func (t *Table) Export(fingerprint string, now time.Time) (Record, bool) {
	el, ok := t.entries[fingerprint]
	if !ok {
		return Record{}, false
	}
	return el.Value.(*entry).export(now)
}

func (e *entry) export(now time.Time) (Record, bool) {
	r := Record{Fingerprint: e.fingerprint, Suspect: max(e.suspect.Sub(now), 0), Refused: max(e.refused.Sub(now), 0)}
	if e.runner != "" && now.Before(e.waitUntil) {
		r.Runner, r.Wait = e.runner, e.waitUntil.Sub(now)
	}
	return r, r.Suspect > 0 || r.Refused > 0 || r.Runner != ""
}

// ExportAll returns all records.
func (t *Table) ExportAll(now time.Time) []Record {
	var all []Record
	for _, el := range t.entries {
		if r, ok := el.Value.(*entry).export(now); ok {
			all = append(all, r)
		}
	}
	return all
}

// Merge adds the record of another node. A whole run seen here after the crash outweighs its suspicion.
func (t *Table) Merge(r Record, now time.Time) {
	e := t.get(r.Fingerprint)
	crashed, proved := now.Add(r.Suspect-suspectFor), e.proven.Add(-provenFor)
	if until := now.Add(r.Suspect); r.Suspect > 0 && until.After(e.suspect) && crashed.After(proved) {
		e.suspect, e.proven = until, time.Time{}
	}
	if until := now.Add(r.Refused); r.Refused > 0 && until.After(e.refused) {
		e.refused = until
	}
	if r.Runner != "" && (e.runner == "" || !now.Before(e.waitUntil)) {
		e.runner, e.waitUntil = r.Runner, now.Add(r.Wait)
	}
}

// Reservation returns the record of a run that began at the given time.
func Reservation(fingerprint, request string, trial bool, began, now time.Time) Record {
	wait := unprovenWait
	if trial {
		wait = trialWait
	}
	return Record{Fingerprint: fingerprint, Runner: request, Wait: max(began.Add(wait).Sub(now), 0)}
}
