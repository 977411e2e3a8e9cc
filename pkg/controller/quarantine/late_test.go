package quarantine

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/blackboard"
	failed "trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/quarantine"
	"trefoilplank.example/pkg/gateway/peertest"
	"trefoilplank.example/pkg/serving"
)

// newSuspectOwner returns the receiver of a node that owns the fingerprint "x", which is suspect after one crash.
func newSuspectOwner(t *testing.T) *Receiver {
	t.Helper()
	node := peertest.New().AddNode("a")
	board := blackboard.New()
	board.Members.Set(peertest.Members("a", "a"))
	c, err := New(Options{Self: "a", Board: board, Peers: node}, node)
	assert.NilError(t, err)
	r := &Receiver{c}
	assert.NilError(t, r.Report(&ReportArgs{Fingerprint: "x", Request: "r0#1", Ending: quarantine.Crashed}, nil))
	return r
}

func (r *Receiver) verdict(t *testing.T, reservation string) quarantine.Verdict {
	t.Helper()
	var reply CheckReply
	assert.NilError(t, r.Check(&CheckArgs{Fingerprint: "x", Request: reservation}, &reply))
	return reply.Verdict
}

// Guards against two trials of a fingerprint at once: the report of a run that did not take place arrives after its
// request has reserved the next run, and must not free that reservation.
func TestLateReportKeepsTheNextReservation(t *testing.T) {
	r := newSuspectOwner(t)
	assert.Equal(t, r.verdict(t, "r1#1"), quarantine.Trial)
	notRun := ReportArgs{Fingerprint: "x", Request: "r1#1", Ending: quarantine.NotRun}
	assert.NilError(t, r.Report(&notRun, nil))
	assert.Equal(t, r.verdict(t, "r1#2"), quarantine.Trial)
	assert.NilError(t, r.Report(&notRun, nil))
	assert.Equal(t, r.verdict(t, "r2#1"), quarantine.Busy)
}

// Guards against two trials of a fingerprint at once: the record of a run that has ended arrives late and must not replace
// the run in progress.
func TestLateRecordKeepsTheRunInProgress(t *testing.T) {
	r, now := newSuspectOwner(t), time.Now()
	record := func(reservation string) quarantine.Record {
		return quarantine.Reservation("x", reservation, true, now, now)
	}
	assert.NilError(t, r.HandOver(&HandOverArgs{[]quarantine.Record{record("r0#1")}}, nil))
	assert.NilError(t, r.HandOver(&HandOverArgs{[]quarantine.Record{record("r1#1")}}, nil))
	assert.Equal(t, r.verdict(t, "r0#2"), quarantine.Busy)
	assert.NilError(t, r.Report(&ReportArgs{Fingerprint: "x", Request: "r1#1", Ending: quarantine.NotRun}, nil))
	assert.Equal(t, r.verdict(t, "r0#2"), quarantine.Trial)
}

// Guards against a request that waits for its own reservation: a suspect batch item is checked a second time once it has
// an upstream to itself.
func TestRequestKeepsItsReservation(t *testing.T) {
	c := newSuspectOwner(t).c
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	for range 2 {
		verdict, wait := c.Check(ctx, failed.Works{Request: "x"}, "r1")
		assert.Equal(t, verdict, serving.VerdictSuspect)
		assert.Equal(t, wait, time.Duration(0))
	}
}

// Guards against a crash that counts twice for a request, because the node that saw it also stores it as a holder, some
// time later than the run took: the request was refused although it had met one crash.
func TestCrashIsRecordedOnce(t *testing.T) {
	c := newSuspectOwner(t).c
	now := time.Now()
	for range 2 {
		c.mu.Lock()
		c.recordEnd(&ReportArgs{Fingerprint: "y", Request: "r#1", Ending: quarantine.Excused, Age: time.Millisecond}, now)
		c.mu.Unlock()
		now = now.Add(time.Second)
	}
	verdict, _ := c.Check(t.Context(), failed.Works{Request: "y"}, "again")
	assert.Equal(t, verdict, serving.VerdictClear)
}

// crashDuringRun lets a request run and reports that its upstream crashed.
func (c *Controller) crashDuringRun(t *testing.T, fingerprint, request, upstream string) (excused bool) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	_, wait := c.Check(ctx, failed.Works{Request: fingerprint}, request)
	assert.Equal(t, wait, time.Duration(0))
	return c.ReportRun(ctx, failed.Works{Request: fingerprint}, request, upstream, true)
}

// Guards against a sound request that is quarantined because the upstream of its trial was lost together with others, and
// against the same excuse for one that crashes its upstream alone.
func TestTrialLostWithOthersIsExcused(t *testing.T) {
	c := newSuspectOwner(t).c
	for _, u := range []string{"u1", "u2"} {
		assert.Assert(t, !c.crashDuringRun(t, "other "+u, "r "+u, u))
	}
	assert.Assert(t, c.crashDuringRun(t, "x", "sound", "u3"), "a trial")
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	verdict, wait := c.Check(ctx, failed.Works{Request: "x"}, "again")
	assert.Equal(t, verdict, serving.VerdictSuspect)
	assert.Assert(t, wait > time.Second, "the request must wait until the upstreams are calm")

	c = newSuspectOwner(t).c
	assert.Assert(t, !c.crashDuringRun(t, "x", "culprit", "u1"))
	verdict, _ = c.Check(t.Context(), failed.Works{Request: "x"}, "again")
	assert.Equal(t, verdict, serving.VerdictQuarantined)
}
