package failedruns

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ran records that an upstream crashed under a request with parts.
func ran(l *Ledger, at time.Time, run, upstream, request string, parts ...string) {
	l.Merge(works(request, parts...).Records(Record{Run: run, Kind: Crashed, Upstream: upstream, Incarnation: 1}), "", at)
}

func works(request string, parts ...string) Works {
	w := Works{Request: request}
	for _, p := range parts {
		w.Parts = append(w.Parts, PartWork("s", p))
	}
	return w
}

func kept(l *Ledger, now time.Time, parts ...string) bool {
	return l.QuarantinedFor(works("new request", parts...), now) > 0
}

// Guards against requests that share a part which crashes upstreams, no two alike, and against sound requests with the other
// parts of those that crashed, of which no run has shown yet that they are sound.
func TestPartIsBlamedForCrashesOfDifferentRequests(t *testing.T) {
	l := NewLedger()
	ran(l, start, "1", "u1", "a", "first", "bad")
	ran(l, start, "2", "u2", "a", "first", "bad")
	assert.Assert(t, !l.MayRepeat(works("a", "first", "bad"), start))
	assert.Assert(t, l.MayRepeat(works("c", "first"), start))
	assert.Assert(t, !kept(l, start, "first", "bad"), "two crashes of one request say nothing of its parts")
	ran(l, start, "3", "u3", "b", "first", "bad")
	assert.Assert(t, kept(l, start, "first", "bad"))
	assert.Assert(t, !kept(l, start, "first"), "the other part explains the crashes")
	l.Survived(PartWork("s", "first"))
	assert.Assert(t, kept(l, start, "first", "bad"))
	assert.Assert(t, kept(l, start, "bad"))
	l.Survived(PartWork("s", "bad"))
	assert.Assert(t, !kept(l, start, "first", "bad"))
}

// Guards against quarantines of parts that end before their time: a run of a second request that broke off at an upstream which
// had crashed before counted as a second request that crashes upstreams, but only until its suspicion ended.
func TestQuarantineOfPartNeedsCrashesOfDifferentRequests(t *testing.T) {
	l := NewLedger()
	end := func(at time.Time, upstream string) {
		records := l.Suspects(upstream, 1, time.Minute, at)
		for n := range records {
			records[n].Kind = Crashed
		}
		l.Merge(records, "", at)
	}
	broken := func(at time.Time, run, upstream, request string, lasted time.Duration) {
		l.Merge(works(request, "bad").Records(Record{Run: run, Kind: Suspected, Upstream: upstream, Incarnation: 1, Lasted: lasted}), "", at)
	}
	for n := range 3 {
		broken(start.Add(time.Duration(n)*50*time.Millisecond), fmt.Sprint(n), fmt.Sprint("u", n), "a", 20*time.Millisecond)
	}
	late := start.Add(250 * time.Millisecond)
	broken(late, "3", "u2", "b", 5*time.Millisecond)
	bad := PartWork("s", "bad")
	for _, upstream := range []string{"u0", "u1", "u2"} {
		end(start.Add(2*time.Second), upstream)
	}
	for at := start.Add(2 * time.Second); at.Before(late.Add(suspectTime)); at = at.Add(time.Second) {
		assert.Assert(t, !l.IsQuarantined(bad, at), "the crashes came with one request only")
		assert.Assert(t, l.QuarantinedFor(works("c", "bad"), at) <= late.Add(suspectTime).Sub(at), "longer than the suspicion lasts")
	}
	assert.Assert(t, kept(l, start.Add(3*time.Second), "bad"), "held back while the second request is suspected")
	later := late.Add(suspectTime)
	assert.Assert(t, !kept(l, later, "bad"))
	broken(later, "4", "u3", "c", 20*time.Millisecond)
	end(later.Add(2*time.Second), "u3")
	assert.Assert(t, l.IsQuarantined(bad, later.Add(2*time.Second)))
	assert.Assert(t, kept(l, later.Add(time.Minute), "bad"))
}

// Guards against sound requests that are kept from upstreams because they ran beside a request with a part that crashes them,
// whatever their parts.
func TestPartThatRanBesideACulpritIsNotBlamed(t *testing.T) {
	l := NewLedger()
	for n := range 4 {
		upstream, at := fmt.Sprint("u", n), start.Add(time.Duration(n)*time.Second)
		ran(l, at, fmt.Sprint("bad", n), upstream, fmt.Sprint("b", n), "bad")
		ran(l, at, fmt.Sprint("sound", n), upstream, fmt.Sprint("s", n), "rare")
	}
	now := start.Add(4 * time.Second)
	assert.Assert(t, !kept(l, now, "rare"))
	ran(l, now, "alone", "u9", "b9", "bad")
	assert.Assert(t, kept(l, now, "bad"))
	assert.Assert(t, !kept(l, now, "rare"))
	assert.Assert(t, kept(l, now, "rare", "bad"))
}

// Guards against several parts that crash upstreams, at times the same one, and excuse each other.
func TestPartsThatCrashUpstreamsDoNotExcuseEachOther(t *testing.T) {
	l := NewLedger()
	crashes := map[string]int{}
	now := start
	for n := range 40 {
		now = now.Add(100 * time.Millisecond)
		for part, with := range map[string]bool{"x": true, "y": n%3 > 0, "z": n%2 == 0} {
			if with && !kept(l, now, "first", part) {
				crashes[part]++
				ran(l, now, fmt.Sprint(part, n), fmt.Sprint("u", n), fmt.Sprint(part, n), "first", part)
			}
		}
		l.Survived(PartWork("s", "first"))
	}
	for part, n := range crashes {
		assert.Assert(t, n <= 2*partCrashes, "part %s: %d crashes", part, n)
	}
	assert.Assert(t, !kept(l, now, "first"))
}

// Guards against parts that are blamed when many upstreams are lost for one cause.
func TestLossOfManyUpstreamsBlamesNoPart(t *testing.T) {
	l := NewLedger()
	for n := range 12 {
		ran(l, start.Add(time.Duration(n)*time.Millisecond), fmt.Sprint(n), fmt.Sprint("u", n), fmt.Sprint("r", n), fmt.Sprint("rare", n%6))
	}
	for n := range 6 {
		assert.Assert(t, !kept(l, start.Add(time.Second), fmt.Sprint("rare", n)))
	}
}

// Guards against records of nodes that do not know parts, which come back without the request that ran.
func TestPartsOfOtherNodesCountByRun(t *testing.T) {
	l := NewLedger()
	for n := range partCrashes {
		r := works("", "bad").Records(Record{Run: fmt.Sprint(n), Kind: Crashed, Upstream: fmt.Sprint("u", n)})
		l.Merge(r, "other", start)
	}
	assert.Assert(t, kept(l, start, "bad"))
}
