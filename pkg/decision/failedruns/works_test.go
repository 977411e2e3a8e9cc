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
