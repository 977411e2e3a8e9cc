// Package failedruns keeps the failed runs that limit how often work is repeated: runs under which upstreams crashed, and
// batch items' runs that upstreams answered with an error.
//
// Every node holds a ledger of all nodes' records. Ledgers are merged in any order and any number of times: a record is
// identified by its work and its run, and once cleared it stays cleared.
//
// A run that crashes its upstream is recorded for the whole request and for each part of its prompt that other requests
// share, since either may be the cause. Requests without such a part are told apart from those with it by the runs that
// upstreams survive.
package failedruns

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

const (
	// Lifetime is how long a record counts, and how long a quarantine lasts after the last crash.
	Lifetime = 10 * time.Minute
	// quarantineCrashes is the number of upstreams that may crash under a request. A request that shared an upstream with
	// the one that crashed it has a single crash, since it is repeated elsewhere. Equal requests that ran on one upstream
	// when it crashed have one crash together.
	quarantineCrashes = 2
	// commonCauseUpstreams other upstreams that crash within commonCauseWindow of a crash, and did not run the same request,
	// explain it: a rack or a zone was lost. maxExplained crashes of a request at most are explained, so that several
	// requests that crash upstreams can't excuse each other for long. An item is owed, so any number of its are.
	commonCauseUpstreams, maxExplained = 2, 2
	commonCauseWindow                  = 50 * time.Millisecond
	// trialPause is the time after the crash that quarantines a request at which one equal request may run alone, to end
	// the quarantine if the upstream survives it. Each trial that crashes multiplies it by trialPauseFactor. calmTime
	// is how long no upstream may have crashed before a trial.
	trialPause, trialPauseFactor = 30 * time.Second, 4
	calmTime                     = 3 * time.Second
	// suspectUpstreams is the number of upstreams that must have crashed or broken off a run, the last within suspectTime,
	// for a request to be held back until suspectTime has passed. It bounds the runs of a request whose crashes show late.
	suspectUpstreams, suspectTime = 3, 10 * time.Second
	// itemPause is the pause after the second crash that nothing else explains under a batch item, and maxItemPause the one
	// after each later crash that ended a run after a pause. An item is never refused and can only end by its own result, so the
	// pause does not depend on the number of crashes: a bounded pause spares the other requests on the upstreams, and lets an item
	// that others crashed be finished soon after the last crash.
	itemPause, maxItemPause = 3 * time.Second, 6 * time.Second
	// aliveMargin is how long after a recorded crash an upstream must deliver data on a connection opened before it, to
	// count as alive: data sent before the crash arrives within it.
	aliveMargin = 100 * time.Millisecond
	// minUptime is the shortest time between two crashes of an upstream whose starts are not told apart.
	minUptime = 250 * time.Millisecond
	// capacity limits the records of a ledger, which take about 700 bytes each.
	capacity = 4096
	// evictionPart of the records are dropped at once when a ledger is full.
	evictionPart = 0.125
)

// Kind is the way in which a run failed.
type Kind int8

const (
	// Crashed means that the upstream ended while it ran the work.
	Crashed Kind = iota + 1
	// Errored means that the upstream answered with an error after which the work may be repeated.
	Errored
	// Rejected means that the upstream answered that the work can never be done.
	Rejected
	// Suspected means that the run ended without an answer, and that the upstream may have crashed. It counts for
	// suspectTime, and becomes Crashed when the upstream's end is known.
	Suspected
)

// blames reports whether a run of this kind speaks against the request.
func (k Kind) blames() bool { return k == Crashed || k == Suspected }

// Record is a failed run as nodes send it to each other.
type Record struct {
	// Work identifies what was run: the fingerprint of a request, or the id of an item.
	Work string
	// Run identifies the run among those of the work.
	Run      string
	Kind     Kind
	Upstream string
	// Incarnation tells the starts of an upstream apart.
	Incarnation int64
	// Request is the fingerprint of the request that ran, if the work is a part of its prompt. It is empty in the records of
	// nodes that do not know parts.
	Request string
	// Lasted is how long the run had lasted when it failed.
	Lasted time.Duration
	// Age is the time since the run failed. Nodes exchange ages, since their clocks differ.
	Age time.Duration
	// Cleared is set when the run no longer counts, because it turned out that the work did not cause the crash.
	Cleared bool
}

// entry is a record in a ledger.
type entry struct {
	Record
	at time.Time
	// start tells the starts of an upstream apart whose records have no incarnation.
	start int64
	// own is set for the records of this node.
	own bool
	// revision is that of the entry's last change; source is the node from which the change came, or empty.
	revision int64
	source   string
	// element is the entry's place in Ledger.byRevision.
	element *list.Element
}

// Ledger holds the records of all nodes. It is not safe for concurrent use.
type Ledger struct {
	// entries is by work and run; byUpstream holds the crashes and suspected crashes of an upstream that are not cleared.
	entries    map[string]map[string]*entry
	byUpstream map[string]map[*entry]struct{}
	// byRevision lists the entries in the order of their last changes.
	byRevision *list.List
	revision   int64
	// convicted holds the works that are known to have caused their crashes.
	convicted map[string]bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		entries: map[string]map[string]*entry{}, byUpstream: map[string]map[*entry]struct{}{}, byRevision: list.New(), convicted: map[string]bool{},
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return l.byRevision.Len() }

// BlamesRequests reports whether any record that is not cleared speaks against a request.
func (l *Ledger) BlamesRequests() bool { return len(l.byUpstream) > 0 }

// Merge adds records of a node, or of this one if source is empty, and returns those that changed the ledger.
func (l *Ledger) Merge(records []Record, source string, now time.Time) (changed []Record) {
	for _, r := range records {
		if r.Age < 0 {
			r.Age = 0
		}
		if r.Age < r.Kind.lifetime() && l.add(r, source, now) {
			changed = append(changed, r)
		}
	}
	if l.Len() > capacity {
		l.evict(now)
	}
	return changed
}

func (l *Ledger) add(r Record, source string, now time.Time) bool {
	e := l.entries[r.Work][r.Run]
	switch {
	case e == nil:
		e = &entry{Record: r, at: now.Add(-r.Age), own: source == ""}
		e.start = l.startOf(e)
		if l.entries[r.Work] == nil {
			l.entries[r.Work] = map[string]*entry{}
		}
		e.element = l.byRevision.PushBack(e)
		l.entries[r.Work][r.Run] = e
	case r.Cleared && !e.Cleared || r.Kind == Crashed && e.Kind == Suspected:
		e.Cleared = e.Cleared || r.Cleared
		if r.Kind == Crashed {
			e.Kind = Crashed
		}
	default:
		return false
	}
	if e.Kind != r.Kind || e.Cleared != r.Cleared {
		source = "" // The node that sent the record lacks what this one knew before.
	}
	l.changed(e, source)
	return true
}

// startOf returns what identifies the process of an entry among those of its upstream: records without an incarnation are of
// one process if the crashes were seen at about the same time.
func (l *Ledger) startOf(e *entry) int64 {
	if e.Incarnation != 0 {
		return 0
	}
	for other := range l.byUpstream[e.Upstream] {
		if other.Incarnation == 0 && other.at.Sub(e.at).Abs() < minUptime {
			return other.start
		}
	}
	return e.at.UnixNano()
}

// lifetime is how long a record of this kind is kept.
func (k Kind) lifetime() time.Duration {
	if k == Suspected {
		return suspectTime
	}
	return Lifetime
}

func (e *entry) expired(now time.Time) bool { return now.Sub(e.at) >= e.Kind.lifetime() }

// changed gives an entry the next revision and brings byUpstream up to date.
func (l *Ledger) changed(e *entry, source string) {
	l.revision++
	e.revision, e.source = l.revision, source
	l.byRevision.MoveToBack(e.element)
	if !e.Kind.blames() {
		return
	}
	if e.Cleared {
		l.unindex(e)
		return
	}
	if l.byUpstream[e.Upstream] == nil {
		l.byUpstream[e.Upstream] = map[*entry]struct{}{}
	}
	l.byUpstream[e.Upstream][e] = struct{}{}
}

func (l *Ledger) unindex(e *entry) {
	delete(l.byUpstream[e.Upstream], e)
	if len(l.byUpstream[e.Upstream]) == 0 {
		delete(l.byUpstream, e.Upstream)
	}
}

// Expire drops the records that no longer count.
func (l *Ledger) Expire(now time.Time) {
	for _, runs := range l.entries {
		for _, e := range runs {
			if e.expired(now) {
				l.remove(e)
			}
		}
	}
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries[e.Work], e.Run)
	if len(l.entries[e.Work]) == 0 {
		delete(l.entries, e.Work)
		delete(l.convicted, e.Work)
	}
	l.unindex(e)
	l.byRevision.Remove(e.element)
}

// evict drops expired records and evictionPart of the others: cleared ones first, then those of work that is not
// quarantined, the oldest first.
func (l *Ledger) evict(now time.Time) {
	l.Expire(now)
	if l.Len() <= capacity {
		return
	}
	type candidate struct {
		*entry
		rank int
	}
	var all []candidate
	for work, runs := range l.entries {
		quarantined := l.IsQuarantined(work, now)
		for _, e := range runs {
			c := candidate{entry: e, rank: 1}
			switch {
			case e.Cleared:
				c.rank = 0
			case quarantined:
				c.rank = 2
			}
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), a.at.Compare(b.at)) })
	for _, c := range all[:int(evictionPart*float64(len(all)))] {
		l.remove(c.entry)
	}
}

// Failures returns the number of runs of the work that failed in the given way.
func (l *Ledger) Failures(work string, kind Kind) (n int) {
	for _, e := range l.entries[work] {
		if e.Kind == kind && !e.Cleared {
			n++
		}
	}
	return n
}

// Survived clears the crashes and suspected crashes of work that an upstream has just run without crashing.
func (l *Ledger) Survived(work string) (changed []Record) {
	for _, e := range l.entries[work] {
		if e.Kind.blames() && !e.Cleared {
			changed = append(changed, l.clear(e))
		}
	}
	return changed
}

// Suspects returns the suspected crashes of an upstream's process that are not older than maxAge, without the runs that
// began after the first of them broke off: the process had ended by then.
func (l *Ledger) Suspects(upstream string, incarnation int64, maxAge time.Duration, now time.Time) (records []Record) {
	var all []*entry
	ended := now
	for e := range l.byUpstream[upstream] {
		if e.Kind == Suspected && e.Incarnation == incarnation && now.Sub(e.at) < maxAge {
			all = append(all, e)
			if e.at.Before(ended) {
				ended = e.at
			}
		}
	}
	for _, e := range all {
		if !e.at.Add(-e.Lasted).After(ended) {
			records = append(records, e.aged(now))
		}
	}
	return records
}

// Alive clears the crashes and suspected crashes recorded for an upstream that still delivers data on a connection: one that was in use since
// before the recorded crash proves that only the path of the reporting node was interrupted.
func (l *Ledger) Alive(upstream string, inUseSince, now time.Time) (changed []Record) {
	for e := range l.byUpstream[upstream] {
		if inUseSince.Before(e.at) && now.Sub(e.at) > aliveMargin {
			changed = append(changed, l.clear(e))
		}
	}
	return changed
}

func (l *Ledger) clear(e *entry) Record {
	e.Cleared = true
	l.changed(e, "")
	return e.Record
}

// Since returns up to limit records that changed after a revision, the oldest change first, and the revision that they
// lead to. It leaves out the changes that came from the given node.
func (l *Ledger) Since(revision int64, node string, limit int, now time.Time) ([]Record, int64) {
	return l.since(revision, limit, now, func(source string) bool { return source == "" || source != node })
}

// OwnSince returns, as Since does, the records that were changed here and not by a record of another node.
func (l *Ledger) OwnSince(revision int64, limit int, now time.Time) ([]Record, int64) {
	return l.since(revision, limit, now, func(source string) bool { return source == "" })
}

func (l *Ledger) since(revision int64, limit int, now time.Time, from func(source string) bool) ([]Record, int64) {
	var newer []*entry
	for at := l.byRevision.Back(); at != nil; at = at.Prev() {
		e := at.Value.(*entry)
		if e.revision <= revision {
			break
		}
		if !e.expired(now) && from(e.source) {
			newer = append(newer, e)
		}
	}
	slices.Reverse(newer)
	upTo := l.revision
	if len(newer) > limit {
		newer = newer[:limit]
		upTo = newer[limit-1].revision
	}
	records := make([]Record, 0, len(newer))
	for _, e := range newer {
		records = append(records, e.aged(now))
	}
	return records, upTo
}

// IsQuarantined reports whether so many upstreams have crashed under a work that it is not merely held back.
func (l *Ledger) IsQuarantined(work string, now time.Time) bool {
	b := l.blame(work, nil, maxExplained, now)
	return b.quarantines() && now.Sub(b.lastCrash()) < Lifetime
}

// Quarantined returns the crashes of each quarantined work.
func (l *Ledger) Quarantined(now time.Time) map[string][]Record {
	all := map[string][]Record{}
	for _, crashes := range l.byUpstream {
		for e := range crashes {
			if _, done := all[e.Work]; !done && l.IsQuarantined(e.Work, now) {
				all[e.Work] = l.crashRecords(e.Work, now)
			}
		}
	}
	return all
}

// crashRecords returns the crashes under a work that are not cleared.
func (l *Ledger) crashRecords(work string, now time.Time) []Record {
	return slices.DeleteFunc(l.Of(work, now), func(r Record) bool { return r.Kind != Crashed || r.Cleared })
}

// Of returns all records of a work.
func (l *Ledger) Of(work string, now time.Time) (records []Record) {
	for _, e := range l.entries[work] {
		records = append(records, e.aged(now))
	}
	return records
}

func (e *entry) aged(now time.Time) Record {
	r := e.Record
	r.Age = max(0, now.Sub(e.at))
	return r
}
