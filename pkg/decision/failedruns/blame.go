package failedruns

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// process identifies a start of an upstream.
type process struct {
	upstream           string
	incarnation, start int64
}

func (e *entry) process() process { return process{e.Upstream, e.Incarnation, e.start} }

// blame is what speaks against a work.
type blame struct {
	// crashes and suspects hold the times of the crashes, and of those together with the suspected ones, that nothing else
	// explains, one for each process, in order.
	crashes, suspects []time.Time
	// limit is the number of crashes that suffice to keep the work from upstreams. crashesShared is set if they came with
	// enough different requests, and suspectsShared if they and the suspected ones did.
	limit                         int
	crashesShared, suspectsShared bool
}

// quarantines reports whether the crashes suffice to keep the work from upstreams.
func (b blame) quarantines() bool { return b.crashesShared && len(b.crashes) >= b.limit }

// holds reports whether the suspected crashes suffice to hold the work back for a while.
func (b blame) holds() bool { return b.suspectsShared && len(b.suspects) >= suspectUpstreams }

// lastCrash returns the time of the last crash; there must be one.
func (b blame) lastCrash() time.Time { return b.crashes[len(b.crashes)-1] }

// blame weighs the records of a work at the given time. held are the works of the request that is to run: none of them
// explains the crashes of another one. Up to maxExplained crashes are left out because something else explains them. Those of
// a part are left out as long as another part, which the request does not hold, may have caused all of them.
func (l *Ledger) blame(work string, held []string, maxExplained int, now time.Time) (b blame) {
	b.limit = quarantineCrashes
	if IsPart(work) {
		b.limit = partCrashes
	}
	first := map[process]*entry{}
	crashed, suspected := map[string]bool{}, map[string]bool{} // by request
	for _, e := range l.entries[work] {
		if e.Cleared || !e.Kind.blames() || e.expired(now) {
			continue
		}
		suspected[cmp.Or(e.Request, e.Run)] = true
		if e.Kind == Crashed {
			crashed[cmp.Or(e.Request, e.Run)] = true
		}
		if known := first[e.process()]; known == nil || cmp.Or(cmp.Compare(e.Kind, known.Kind), e.at.Compare(known.at)) < 0 {
			first[e.process()] = e
		}
	}
	if len(first) < quarantineCrashes {
		return b
	}
	b.crashesShared = !IsPart(work) || len(crashed) >= partRequests
	b.suspectsShared = !IsPart(work) || len(suspected) >= partRequests
	explained := 0
	for _, e := range slices.SortedFunc(maps.Values(first), func(a, b *entry) int { return a.at.Compare(b.at) }) {
		if IsPart(work) && l.coveredByPart(e, first, held) {
			continue
		}
		if explained < maxExplained && (l.commonCause(e) || l.otherCulprit(e, len(first), held)) {
			explained++
			continue
		}
		b.suspects = append(b.suspects, e.at)
		if e.Kind == Crashed {
			b.crashes = append(b.crashes, e.at)
		}
	}
	return b
}

// commonCause reports whether so many other upstreams crashed together with that of e that their loss has a cause other
// than its work.
func (l *Ledger) commonCause(e *entry) bool {
	return l.lostTogether(e, func(other *entry) bool { return other.at.Sub(e.at).Abs() <= commonCauseWindow })
}

// LostTogether reports whether a run of a request that crashed its upstream here crashed for the cause for which others did
// so, as far as this node saw: at most the given time before it, and without a work that is known to crash upstreams.
func (l *Ledger) LostTogether(request, run string, within time.Duration) bool {
	e := l.entries[request][run]
	return e != nil && l.lostTogether(e, func(other *entry) bool {
		return other.own && other.at.Sub(e.at).Abs() <= within
	})
}

// Convict records that a request caused the crashes under it, so that they explain no others in LostTogether.
func (l *Ledger) Convict(request string) {
	if len(l.entries[request]) > 0 {
		l.convicted[request] = true
	}
}

// lostTogether reports whether commonCauseUpstreams other upstreams crashed without running the work of e, by their entries
// that count.
func (l *Ledger) lostTogether(e *entry, counts func(*entry) bool) bool {
	others := 0
	for upstream, entries := range l.byUpstream {
		if upstream != e.Upstream && l.crashedWithout(entries, e, counts) {
			if others++; others == commonCauseUpstreams {
				return true
			}
		}
	}
	return false
}

// crashedWithout reports whether an upstream with these entries crashed without running the work of e or a convicted one, by
// those that count. If the crash of e is suspected only, so may be the other.
func (l *Ledger) crashedWithout(entries map[*entry]struct{}, e *entry, counts func(*entry) bool) bool {
	crashed := false
	for other := range entries {
		if other.Kind > e.Kind || !counts(other) {
			continue
		}
		if other.Work == e.Work || l.convicted[other.Work] {
			return false
		}
		crashed = true
	}
	return crashed
}

// otherCulprit reports whether the upstream of e also ran a work under which more than the given number of upstreams have
// crashed, and which the request that is to run does not hold.
func (l *Ledger) otherCulprit(e *entry, crashes int, held []string) bool {
	return l.ranBeside(e, held, func(other *entry) bool { return len(l.crashedProcesses(other.Work)) > crashes })
}

// coveredByPart reports whether the upstream of e also ran a part that the request that is to run does not hold, and that
// ran on each of the processes that crashed under the work of e. Without a request, it must have crashed more than these.
func (l *Ledger) coveredByPart(e *entry, crashed map[process]*entry, held []string) bool {
	return l.ranBeside(e, held, func(other *entry) bool {
		if !IsPart(other.Work) {
			return false
		}
		processes := l.crashedProcesses(other.Work)
		for p := range crashed {
			if !processes[p] {
				return false
			}
		}
		return held != nil || len(processes) > len(crashed)
	})
}

// ranBeside reports whether the upstream of e crashed under another work too that is not held and for which the predicate
// holds. A part of a request does not explain the crashes of the request.
func (l *Ledger) ranBeside(e *entry, held []string, holds func(*entry) bool) bool {
	for other := range l.byUpstream[e.Upstream] {
		if other.Kind == Crashed && other.process() == e.process() && other.Work != e.Work && other.Request != e.Work &&
			!slices.Contains(held, other.Work) && holds(other) {
			return true
		}
	}
	return false
}

// crashedProcesses returns the processes that crashed under a work.
func (l *Ledger) crashedProcesses(work string) map[process]bool {
	crashed := map[process]bool{}
	for _, e := range l.entries[work] {
		if e.Kind == Crashed && !e.Cleared {
			crashed[e.process()] = true
		}
	}
	return crashed
}

// QuarantinedFor returns how long a request must not be sent to upstreams, or 0 if it may be sent now.
func (l *Ledger) QuarantinedFor(works Works, now time.Time) (left time.Duration) {
	held := works.all()
	for _, work := range held {
		switch b := l.blame(work, held, maxExplained, now); {
		case b.quarantines():
			left = max(left, b.lastCrash().Add(Lifetime).Sub(now))
		case b.holds():
			left = max(left, b.suspects[len(b.suspects)-1].Add(suspectTime).Sub(now))
		}
	}
	return left
}

// Blamed returns the works of a request that keep it from upstreams now.
func (l *Ledger) Blamed(works Works, now time.Time) (blamed []string) {
	held := works.all()
	for _, work := range held {
		if b := l.blame(work, held, maxExplained, now); b.quarantines() || b.holds() {
			blamed = append(blamed, work)
		}
	}
	return blamed
}

// MayRepeat reports whether a request whose run has just crashed its upstream may be sent to another one: not if the next
// crash would quarantine a part of its prompt, which other requests will show to be sound or not.
func (l *Ledger) MayRepeat(works Works, now time.Time) bool {
	held := works.all()
	for _, part := range works.Parts {
		if b := l.blame(part, held, maxExplained, now); len(b.crashes) >= b.limit-1 {
			return false
		}
	}
	return true
}

// TrialIn returns the time after which a quarantined request may run once, alone on an upstream, unless upstreams crash
// meanwhile; 0 if it may run now.
func (l *Ledger) TrialIn(works Works, now time.Time) (wait time.Duration) {
	held := works.all()
	for _, work := range held {
		wait = max(wait, l.trialIn(l.blame(work, held, maxExplained, now), now))
	}
	return wait
}

func (l *Ledger) trialIn(b blame, now time.Time) time.Duration {
	if !b.quarantines() {
		return 0
	}
	pause := trialPause
	for range len(b.crashes) - b.limit {
		pause = min(pause*trialPauseFactor, Lifetime)
	}
	wait := b.lastCrash().Add(pause).Sub(now)
	for _, entries := range l.byUpstream {
		for e := range entries {
			if e.Kind == Crashed {
				wait = max(wait, e.at.Add(calmTime).Sub(now))
			}
		}
	}
	return max(0, wait)
}

// PausedUntil returns the time before which a batch item must not be sent to upstreams, or zero if it may be sent now.
func (l *Ledger) PausedUntil(works Works, now time.Time) (until time.Time) {
	held := works.all()
	for _, work := range held {
		var end time.Time
		switch b := l.blame(work, held, math.MaxInt, now); {
		case b.quarantines():
			end = b.lastCrash().Add(itemPauseAfter(b.crashes))
		case b.holds():
			end = b.suspects[len(b.suspects)-1].Add(itemPause)
		}
		if end.After(until) {
			until = end
		}
	}
	return until
}

// itemPauseAfter returns the pause of an item after the last of the crashes under it: maxItemPause if any run after a pause ended
// with one. Crashes before the first pause, or at nodes that did not know of it yet, follow each other in less than itemPause.
func itemPauseAfter(crashes []time.Time) time.Duration {
	for i := 1; i < len(crashes); i++ {
		if crashes[i].Sub(crashes[i-1]) >= itemPause {
			return maxItemPause
		}
	}
	return itemPause
}
