// Package quarantine stops requests that crash the upstreams that run them.
//
// A fingerprint identifies equal requests. A fingerprint without a successful run runs once at a time, so that
// resends of a request that crashes upstreams can't crash several of them at once. After its first success it is
// proven and runs without restriction. A crash makes it suspect: its next run is a trial, alone on an upstream. A crash
// of the trial quarantines the fingerprint. Any run that its upstream survives ends the suspicion. While a quarantine lasts,
// a trial is allowed from time to time, and ends the quarantine if its upstream survives.
//
// A crash with a common cause, such as the loss of a rack, says little about the fingerprint. Its next run waits until the
// other crashes of that cause are over and needs no upstream of its own, since there may be hundreds of such fingerprints.
// If that run crashes too, the fingerprint is suspect, and its trial waits until upstreams have probably become calm. So does
// the next trial after one that crashed for a common cause. maxExcused such crashes of a fingerprint count as excused.
package quarantine

import (
	"container/list"
	"time"
)

const (
	// QuarantineDuration is how long a quarantine lasts.
	QuarantineDuration = 10 * time.Minute
	// retrialPause is the time after which a quarantined fingerprint may run once, alone on an upstream. Each such run that
	// crashes multiplies it by retrialPauseFactor.
	retrialPause, retrialPauseFactor = 2 * time.Minute, 4
	// SettleTime is how long a fingerprint waits after a crash with a common cause. Upstreams that crash within it of each
	// other were lost for the same cause.
	SettleTime = 250 * time.Millisecond
	// calmTime is how long a fingerprint waits after a second crash, of which at least one had a common cause.
	calmTime = 3 * time.Second
	// maxExcused is the number of crashes of a fingerprint that are excused. It bounds the crashes of requests that crash
	// upstreams at the same moments.
	maxExcused = 2
	// suspectDuration is how long a fingerprint stays suspect without a trial.
	suspectDuration = 10 * time.Minute
	// unprovenReservation is how long a run of an unproven fingerprint keeps equal requests waiting. A request that
	// crashes its upstream does so early, and a long answer must not delay equal requests until its end.
	unprovenReservation = 5 * time.Second
	// trialReservation is how long a trial without a reported end blocks the next one. It exceeds the usual deadline
	// of two minutes.
	trialReservation = 3 * time.Minute
	// provenDuration is how long a fingerprint stays proven after a success.
	provenDuration = time.Hour
	// Capacity limits the number of fingerprints in a table, which take about 300 bytes each.
	Capacity = 50_000
)

// Verdict is the result of a check.
type Verdict int

const (
	// Clear lets the request run.
	Clear Verdict = iota
	// Trial lets the request run alone on an upstream.
	Trial
	// Busy means that another run of the fingerprint blocks this one. The caller checks again shortly.
	Busy
	// Refused means that the fingerprint is quarantined.
	Refused
	// Held means that the request must wait until it is checked again.
	Held
)

// entry is the state of one fingerprint.
type entry struct {
	fingerprint string
	// provenUntil, suspectUntil and refusedUntil are the times at which each state ends; zero if it does not apply.
	provenUntil, suspectUntil, refusedUntil time.Time
	// excusedAt is the time of a crash with a common cause, while the fingerprint is on probation. excused is the number of
	// such crashes, and heldUntil the time before which the fingerprint must not run.
	excusedAt time.Time
	excused   int
	heldUntil time.Time
	// convictions counts the trials that crashed and began or prolonged the quarantine.
	convictions int
	// runner is the request that holds the reservation: equal requests wait for its end, at most until reservedUntil.
	runner        string
	reservedUntil time.Time
	// survivedRunBegan is the latest start of a run that its upstream survived.
	survivedRunBegan time.Time
}

// Table holds the state of the fingerprints of which this node is an owner. It is not safe for concurrent use.
type Table struct {
	entries map[string]*list.Element
	// lru lists the entries, the least recently used one in front.
	lru      *list.List
	capacity int
}

// NewTable returns a table for capacity fingerprints.
func NewTable(capacity int) *Table {
	return &Table{entries: map[string]*list.Element{}, lru: list.New(), capacity: capacity}
}

// getOrAdd returns the entry of a fingerprint and marks it as recently used. It adds a missing entry.
func (t *Table) getOrAdd(fingerprint string) *entry {
	if el, ok := t.entries[fingerprint]; ok {
		t.lru.MoveToBack(el)
		return el.Value.(*entry)
	}
	if len(t.entries) >= t.capacity {
		t.evict()
	}
	e := &entry{fingerprint: fingerprint}
	t.entries[fingerprint] = t.lru.PushBack(e)
	return e
}

// evict drops, among the 100 least recently used entries, the first that is neither suspect, on probation nor quarantined. If there is
// none, it drops the least recently used entry. This way a flood of new requests does not evict the few that crash
// upstreams.
func (t *Table) evict() {
	victim := t.lru.Front()
	for el, n := victim, 0; el != nil && n < 100; el, n = el.Next(), n+1 {
		if e := el.Value.(*entry); e.suspectUntil.IsZero() && e.refusedUntil.IsZero() && e.excusedAt.IsZero() {
			victim = el
			break
		}
	}
	delete(t.entries, victim.Value.(*entry).fingerprint)
	t.lru.Remove(victim)
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.entries) }

// Check decides whether the request may run now. For Refused and Held it also returns how long the verdict stays the same.
// For an unproven, suspect or quarantined fingerprint, Clear and Trial reserve the run until End is called or the
// reservation expires.
func (t *Table) Check(fingerprint, request string, now time.Time) (Verdict, time.Duration) {
	e := t.getOrAdd(fingerprint)
	reservedByOther := e.runner != "" && e.runner != request && now.Before(e.reservedUntil)
	quarantined := now.Before(e.refusedUntil)
	switch {
	case quarantined && now.Before(e.retrialAt()):
		return Refused, e.retrialAt().Sub(now)
	case now.Before(e.heldUntil):
		return Held, e.heldUntil.Sub(now)
	case quarantined || now.Before(e.suspectUntil):
		if reservedByOther {
			return Busy, 0
		}
		e.runner, e.reservedUntil = request, now.Add(trialReservation)
		return Trial, 0
	case now.Before(e.provenUntil):
		return Clear, 0
	case reservedByOther:
		return Busy, 0
	}
	e.runner, e.reservedUntil = request, now.Add(unprovenReservation)
	return Clear, 0
}

// convictedAt returns when the crash that caused the quarantine was recorded.
func (e *entry) convictedAt() time.Time { return e.refusedUntil.Add(-QuarantineDuration) }

// retrialAt returns when the quarantined fingerprint may run once, which may be after the end of the quarantine.
func (e *entry) retrialAt() time.Time {
	pause := retrialPause
	for n := 1; n < e.convictions && pause < QuarantineDuration; n++ {
		pause *= retrialPauseFactor
	}
	if at := e.convictedAt().Add(pause); at.Before(e.refusedUntil) {
		return at
	}
	return e.refusedUntil
}

// HoldsReservation reports whether the request holds the reservation of the fingerprint, even an expired one. A run
// without a reservation need not be reported when its upstream survives it.
func (t *Table) HoldsReservation(fingerprint, request string) bool {
	el, ok := t.entries[fingerprint]
	return ok && el.Value.(*entry).runner == request
}

// Ending says how a run ended.
type Ending int

const (
	// NotRun means that no upstream ran the request, or that its run does not show whether it crashes upstreams.
	NotRun Ending = iota
	// Survived means that the upstream answered.
	Survived
	// Crashed means that the upstream crashed while it ran the request.
	Crashed
	// Excused means that the upstream crashed together with others, for a common cause.
	Excused
)

// Run describes a run that ended.
type Run struct {
	Fingerprint, Request string
	// Trial is set when the run was alone on its upstream.
	Trial bool
	// Began is when the request was cleared to run.
	Began  time.Time
	Ending Ending
}

// End records the end of a run. A run that the upstream survived ends the suspicion, since a request that crashes
// upstreams has no such run. A crash without a trial is ignored when an upstream has survived a run that began later,
// since reports of a crash may arrive late. On probation, only crashes of runs that began after the excused one count. A
// trial that crashed quarantines the fingerprint unless the crash is excused.
func (t *Table) End(r Run, now time.Time) {
	e := t.getOrAdd(r.Fingerprint)
	if e.runner == r.Request {
		e.runner, e.reservedUntil = "", time.Time{}
	}
	late := !e.survivedRunBegan.IsZero() && !e.survivedRunBegan.Before(r.Began)
	excused := r.Ending == Excused && e.excused < maxExcused
	switch {
	case r.Ending == Survived:
		e.survived(r, now)
	case r.Ending == NotRun || late && !r.Trial:
	case r.Trial && !excused:
		*e = entry{
			fingerprint: e.fingerprint, refusedUntil: now.Add(QuarantineDuration), convictions: e.convictions + 1,
			runner: e.runner, reservedUntil: e.reservedUntil, survivedRunBegan: e.survivedRunBegan,
		}
	case r.Trial || e.onProbation(now) && r.Began.After(e.excusedAt):
		e.makeSuspect(excused, now)
		e.excusedAt, e.heldUntil = time.Time{}, now.Add(calmTime)
	case !excused:
		e.makeSuspect(false, now)
	case !e.onProbation(now) && !now.Before(e.suspectUntil):
		e.excused++
		e.provenUntil, e.excusedAt, e.heldUntil = time.Time{}, now, now.Add(SettleTime)
	}
}

// survived records a run that the upstream survived. Only a run that began after the crash ends a quarantine.
func (e *entry) survived(r Run, now time.Time) {
	if r.Began.After(e.survivedRunBegan) {
		e.survivedRunBegan = r.Began
	}
	e.suspectUntil, e.excusedAt, e.heldUntil, e.excused = time.Time{}, time.Time{}, time.Time{}, 0
	if r.Began.After(e.convictedAt()) {
		e.refusedUntil, e.convictions = time.Time{}, 0
	}
	if !now.Before(e.refusedUntil) {
		e.provenUntil = now.Add(provenDuration)
	}
}

// makeSuspect makes the next run of the fingerprint a trial, after a crash that is excused or not.
func (e *entry) makeSuspect(excused bool, now time.Time) {
	e.provenUntil, e.suspectUntil = time.Time{}, now.Add(suspectDuration)
	if excused {
		e.excused++
	}
}

// onProbation reports whether the last crash of the fingerprint had a common cause and no run was survived since.
func (e *entry) onProbation(now time.Time) bool {
	return !e.excusedAt.IsZero() && now.Sub(e.excusedAt) < suspectDuration
}

// Blamed reports whether the fingerprint is suspect or quarantined.
func (t *Table) Blamed(fingerprint string, now time.Time) bool {
	el, ok := t.entries[fingerprint]
	if !ok {
		return false
	}
	e := el.Value.(*entry)
	return now.Before(e.suspectUntil) || now.Before(e.refusedUntil)
}

// ReleaseLost ends the reservations of the requests for which lost returns true, because their node was lost.
func (t *Table) ReleaseLost(lost func(request string) bool) {
	for _, el := range t.entries {
		if e := el.Value.(*entry); e.runner != "" && lost(e.runner) {
			e.runner, e.reservedUntil = "", time.Time{}
		}
	}
}

// Record is the state of a fingerprint that a node hands to a new owner of the fingerprint. It holds remaining durations
// instead of times, since the clocks of nodes differ.
type Record struct {
	Fingerprint      string
	Suspect, Refused time.Duration
	// Excused is the remaining time of the probation, ExcusedCrashes the number of excused crashes, and Held the remaining
	// time before which the fingerprint must not run.
	Excused        time.Duration
	ExcusedCrashes int
	Held           time.Duration
	// Convictions counts the trials that crashed. It is 0 in the records of nodes that do not count them.
	Convictions int
	// Runner is the request that holds the reservation, and Wait how long equal requests still wait for its end.
	Runner string
	Wait   time.Duration
}

// Export returns the record of a fingerprint; false when it is neither suspect, on probation, quarantined nor reserved.
func (t *Table) Export(fingerprint string, now time.Time) (Record, bool) {
	el, ok := t.entries[fingerprint]
	if !ok {
		return Record{}, false
	}
	return el.Value.(*entry).export(now)
}

func (e *entry) export(now time.Time) (Record, bool) {
	r := Record{
		Fingerprint: e.fingerprint, Suspect: max(e.suspectUntil.Sub(now), 0), Refused: max(e.refusedUntil.Sub(now), 0),
		ExcusedCrashes: e.excused, Held: max(e.heldUntil.Sub(now), 0), Convictions: e.convictions,
	}
	if e.onProbation(now) {
		r.Excused = e.excusedAt.Add(suspectDuration).Sub(now)
	}
	if e.runner != "" && now.Before(e.reservedUntil) {
		r.Runner, r.Wait = e.runner, e.reservedUntil.Sub(now)
	}
	return r, r.Suspect > 0 || r.Refused > 0 || r.Excused > 0 || r.Runner != ""
}

// ExportAll returns the records of all fingerprints that are suspect, on probation, quarantined or reserved.
func (t *Table) ExportAll(now time.Time) []Record {
	var records []Record
	for _, el := range t.entries {
		if r, ok := el.Value.(*entry).export(now); ok {
			records = append(records, r)
		}
	}
	return records
}

// Merge adds the record of another node. Its suspicion or quarantine is ignored if an upstream survived a run of the
// fingerprint after the crash.
func (t *Table) Merge(r Record, now time.Time) {
	e := t.getOrAdd(r.Fingerprint)
	provedAt := e.provenUntil.Add(-provenDuration)
	merge := func(known *time.Time, left, lifetime time.Duration) {
		if until := now.Add(left); left > 0 && until.After(*known) && until.Add(-lifetime).After(provedAt) {
			*known, e.provenUntil = until, time.Time{}
			e.excused = max(e.excused, r.ExcusedCrashes)
			if held := now.Add(r.Held); held.After(e.heldUntil) && r.Held > 0 {
				e.heldUntil = held
			}
		}
	}
	merge(&e.suspectUntil, r.Suspect, suspectDuration)
	excusedUntil := e.excusedAt.Add(suspectDuration)
	merge(&excusedUntil, r.Excused, suspectDuration)
	if r.Excused > 0 {
		e.excusedAt = excusedUntil.Add(-suspectDuration)
	}
	before := e.refusedUntil
	if merge(&e.refusedUntil, r.Refused, QuarantineDuration); e.refusedUntil.After(before) {
		e.convictions = max(e.convictions, r.Convictions, 1)
	}
	if r.Runner != "" && (e.runner == "" || !now.Before(e.reservedUntil)) {
		e.runner, e.reservedUntil = r.Runner, now.Add(r.Wait)
	}
}

// Reservation returns a record with the reservation of a run that began at the given time.
func Reservation(fingerprint, request string, trial bool, began, now time.Time) Record {
	wait := unprovenReservation
	if trial {
		wait = trialReservation
	}
	return Record{Fingerprint: fingerprint, Runner: request, Wait: max(began.Add(wait).Sub(now), 0)}
}
