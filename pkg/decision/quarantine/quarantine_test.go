package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against more than two crashes by resends of a request that crashes every upstream, in any interleaving, and
// against refusing harmless requests that ran on the same upstreams.
func TestCrashBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(100)
		now := time.Unix(1000, 0)
		type run struct {
			fingerprint, request string
			trial                bool
			began                time.Time
		}
		var running []run
		crashes, next := 0, 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if len(running) == 0 || rapid.Bool().Draw(t, "check") {
				r := run{fingerprint: rapid.SampledFrom([]string{"bad", "good1", "good2"}).Draw(t, "f"), request: fmt.Sprint(next), began: now}
				next++
				v, left := table.Check(r.fingerprint, r.request, now)
				assert.Assert(t, v != Refused || (r.fingerprint == "bad" && left > 0))
				if v == Clear || v == Trial {
					r.trial = v == Trial
					running = append(running, r)
				}
				continue
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "end")
			r := running[i]
			if r.fingerprint != "bad" {
				running = append(running[:i], running[i+1:]...)
				table.End(Run{r.fingerprint, r.request, r.trial, r.began, Survived}, now)
				continue
			}
			crashes++
			// All runs on the same upstream are reported as crashed. A trial runs alone on its upstream.
			var stillRunning []run
			for k, o := range running {
				if k == i || (!r.trial && !o.trial && o.fingerprint != "bad") {
					table.End(Run{o.fingerprint, o.request, o.trial, o.began, Crashed}, now)
				} else {
					stillRunning = append(stillRunning, o)
				}
			}
			running = stillRunning
		}
		assert.Assert(t, crashes <= 2, "%d crashes", crashes)
	})
}

// Guards against states that do not expire, a table that exceeds its capacity, and a flood of new requests that evicts a
// quarantined fingerprint.
func TestExpiryAndCapacity(t *testing.T) {
	table := NewTable(50)
	now := time.Unix(1000, 0)
	verdict := func(f, r string) Verdict { v, _ := table.Check(f, r, now); return v }
	assert.Equal(t, verdict("x", "1"), Clear)
	assert.Equal(t, verdict("x", "2"), Busy)
	now = now.Add(unprovenReservation)
	assert.Equal(t, verdict("x", "2"), Clear)
	table.End(Run{"x", "2", false, now, Crashed}, now)
	assert.Equal(t, verdict("x", "3"), Trial)
	table.ReleaseLost(func(r string) bool { return r == "3" })
	assert.Equal(t, verdict("x", "4"), Trial)
	table.End(Run{"x", "4", true, now, Crashed}, now)
	for i := range 200 {
		verdict(fmt.Sprint("flood", i), "f")
	}
	assert.Equal(t, table.Len(), 50)
	assert.Equal(t, verdict("x", "5"), Refused)
	now = now.Add(QuarantineDuration)
	assert.Equal(t, verdict("x", "6"), Clear)
	table.End(Run{"x", "6", false, now, Survived}, now)
	assert.Equal(t, verdict("x", "7"), Clear)
	assert.Equal(t, verdict("x", "8"), Clear)
}

// Guards against a harmless fingerprint that stays suspect after an upstream survived its run, or becomes suspect again by
// a late report of the earlier crash, and against a crash that is ignored because an upstream survived an older run.
func TestSurvivedRunEndsSuspicion(t *testing.T) {
	table := NewTable(50)
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	verdict := func(r string, now time.Time) Verdict { v, _ := table.Check("x", r, now); return v }
	table.End(Run{"x", "1", false, at(0), Crashed}, at(1))
	assert.Equal(t, verdict("2", at(2)), Trial)
	assert.Equal(t, verdict("3", at(2)), Busy)
	table.End(Run{"x", "0", false, at(0), Survived}, at(3))
	assert.Equal(t, verdict("3", at(3)), Clear)
	table.End(Run{"x", "2", true, at(2), Survived}, at(4))
	table.End(Run{"x", "4", false, at(1), Crashed}, at(5))
	assert.Equal(t, verdict("5", at(5)), Clear)
	table.End(Run{"x", "5", false, at(5), Crashed}, at(6))
	assert.Equal(t, verdict("6", at(6)), Trial)
}

// Guards against a new owner that loses a suspicion, a quarantine or a reservation of the previous owner, or that takes
// over a suspicion that a later run has disproved.
func TestMergeKeepsState(t *testing.T) {
	now := time.Unix(1000, 0)
	oldOwner, newOwner := NewTable(50), NewTable(50)
	oldOwner.End(Run{"suspect", "1", false, now, Crashed}, now)
	oldOwner.End(Run{"bad", "1", true, now, Crashed}, now)
	oldOwner.Check("running", "1", now)
	oldOwner.End(Run{"cleared", "1", false, now, Crashed}, now)
	now = now.Add(time.Second)
	newOwner.End(Run{"cleared", "2", false, now, Survived}, now)
	for _, r := range oldOwner.ExportAll(now) {
		newOwner.Merge(r, now)
	}
	for fingerprint, want := range map[string]Verdict{"suspect": Trial, "bad": Refused, "running": Busy, "cleared": Clear} {
		v, _ := newOwner.Check(fingerprint, "9", now)
		assert.Equal(t, v, want, fingerprint)
	}
}

// Guards against a harmless request that is refused because its retry met another upstream of the same burst of crashes, or
// because its equals ran on several upstreams of a burst, and against one that loses several more upstreams in a second burst.
func TestRequestWaitsUntilBurstIsOver(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	for name, c := range map[string]struct {
		second Ending
		began  int
		// held is how long the request waits after the second run, and then its verdict.
		held time.Duration
		then Verdict
	}{
		"next run crashes":               {Crashed, 2, calmTime, Trial},
		"next run is excused too":        {Excused, 2, calmTime, Trial},
		"equal run crashed with it":      {Crashed, 0, 0, Trial},
		"equal run was excused with it":  {Excused, 0, 0, Clear},
		"next run is survived":           {Survived, 2, 0, Clear},
		"next run says nothing about it": {NotRun, 2, 0, Clear},
	} {
		table := NewTable(50)
		table.End(Run{"x", "1", false, at(0), Excused}, at(1))
		v, left := table.Check("x", "2", at(1))
		assert.Equal(t, v, Held, name)
		assert.Equal(t, left, SettleTime)
		v, _ = table.Check("x", "2", at(1).Add(SettleTime))
		assert.Equal(t, v, Clear, name)
		other := NewTable(50)
		for _, r := range table.ExportAll(at(2)) {
			other.Merge(r, at(2))
		}
		for _, table := range []*Table{table, other} {
			table.End(Run{"x", "2", false, at(c.began), c.second}, at(3))
			if c.held > 0 {
				v, left = table.Check("x", "3", at(3))
				assert.Equal(t, v, Held, name)
				assert.Equal(t, left, c.held, name)
			}
			calm := at(3).Add(c.held)
			v, _ = table.Check("x", "3", calm)
			assert.Equal(t, v, c.then, name)
			table.End(Run{"x", "3", v == Trial, calm, Survived}, calm)
			v, _ = table.Check("x", "4", calm)
			assert.Equal(t, v, Clear, name)
		}
	}
}

// Guards against a harmless request that is quarantined because its trial's upstream was lost together with others, and
// against one that crashes upstreams together with others again and again.
func TestCrashOfTrialIsExcusedFewTimes(t *testing.T) {
	table := NewTable(50)
	now := time.Unix(1000, 0)
	table.End(Run{"x", "1", false, now, Crashed}, now)
	for n := range maxExcused {
		v, left := table.Check("x", "2", now)
		if n > 0 {
			assert.Equal(t, v, Held)
			now = now.Add(left)
			v, _ = table.Check("x", "2", now)
		}
		assert.Equal(t, v, Trial)
		table.End(Run{"x", "2", true, now, Excused}, now)
	}
	now = now.Add(calmTime)
	v, _ := table.Check("x", "3", now)
	assert.Equal(t, v, Trial)
	table.End(Run{"x", "3", true, now, Excused}, now)
	v, _ = table.Check("x", "4", now)
	assert.Equal(t, v, Refused)
}

// Guards against a quarantine that outlasts what made it, and against trials that crash many upstreams meanwhile.
func TestTrialEndsQuarantine(t *testing.T) {
	start := time.Unix(1000, 0)
	table, stale := NewTable(50), NewTable(50)
	table.End(Run{"x", "1", true, start, Crashed}, start)
	record, _ := table.Export("x", start)
	stale.Merge(record, start)
	now, trials := start, 0
	for now.Before(start.Add(QuarantineDuration)) {
		v, left := table.Check("x", fmt.Sprint("r", trials), now)
		if v == Refused {
			now = now.Add(left)
			continue
		}
		assert.Equal(t, v, Trial)
		v, _ = table.Check("x", "another", now)
		assert.Equal(t, v, Busy)
		trials++
		table.End(Run{"x", fmt.Sprint("r", trials-1), true, now, Crashed}, now)
	}
	assert.Assert(t, trials >= 1 && trials <= 2, "%d trials", trials)
	v, _ := table.Check("x", "last", now)
	assert.Equal(t, v, Trial)
	table.End(Run{"x", "last", v == Trial, now, Survived}, now)
	v, _ = table.Check("x", "next", now)
	assert.Equal(t, v, Clear)
	record, _ = stale.Export("x", now)
	table.Merge(record, now)
	v, _ = table.Check("x", "next", now)
	assert.Equal(t, v, Clear, "the record of a node that did not learn of the survived run")
}
