package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards the bound of two crashes for a request that crashes every upstream, with any interleaving of resends, and
// that an innocent request beside it is never refused.
func TestCrashBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(100)
		now := time.Unix(1000, 0)
		type run struct {
			fingerprint, request string
			trial                bool
		}
		var running []run
		crashes, next := 0, 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if len(running) == 0 || rapid.Bool().Draw(t, "check") {
				r := run{fingerprint: rapid.SampledFrom([]string{"bad", "good1", "good2"}).Draw(t, "f"), request: fmt.Sprint(next)}
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
				table.End(r.fingerprint, r.request, r.trial, Survived, now)
				continue
			}
			crashes++
			// All runs that share the upstream are reported as crashed; a trial has none beside it.
			var left []run
			for k, o := range running {
				if k == i || (!r.trial && !o.trial && o.fingerprint != "bad") {
					table.End(o.fingerprint, o.request, o.trial, Crashed, now)
				} else {
					left = append(left, o)
				}
			}
			running = left
		}
		assert.Assert(t, crashes <= 2, "%d crashes", crashes)
	})
}

// Guards the expiry of each state and the bound of the table; a flood of new requests must not free a crasher.
func TestExpiryAndCapacity(t *testing.T) {
	table := NewTable(50)
	now := time.Unix(1000, 0)
	check := func(f, r string) Verdict { v, _ := table.Check(f, r, now); return v }
	assert.Equal(t, check("x", "1"), Clear)
	assert.Equal(t, check("x", "2"), Busy)
	now = now.Add(unprovenWait)
	assert.Equal(t, check("x", "2"), Clear)
	table.End("x", "2", false, Crashed, now)
	assert.Equal(t, check("x", "3"), Trial)
	table.Release(func(r string) bool { return r == "3" })
	assert.Equal(t, check("x", "4"), Trial)
	table.End("x", "4", true, Crashed, now)
	for i := range 200 {
		check(fmt.Sprint("flood", i), "f")
	}
	assert.Equal(t, table.Len(), 50)
	assert.Equal(t, check("x", "5"), Refused)
	now = now.Add(Hold)
	assert.Equal(t, check("x", "6"), Clear)
	table.End("x", "6", false, Survived, now)
	assert.Equal(t, check("x", "7"), Clear)
	assert.Equal(t, check("x", "8"), Clear)
}
