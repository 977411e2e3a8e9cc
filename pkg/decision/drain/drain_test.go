package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var begun = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return begun.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against requests that a stopping node accepts although it may end before they have waited as long as they may, and against
// callers refused who could be served: those that come while addresses with the node are still in use.
func TestAdmit(t *testing.T) {
	p := NewPlan(begun, 7400*time.Millisecond, at(3))
	for _, c := range []struct {
		name                string
		at, deadline, usual float64
		want                Verdict
	}{
		{"early, short limit", 0.1, 3.1, 0.1, Whole},
		{"early, long limit", 0.1, 15.1, 0.1, Usual},
		{"early, long limit, long run", 0.1, 15.1, 4, Refused},
		{"last new caller, limit beyond the end", 2.9, 7.9, 0.6, Usual},
		{"caller after the last new one, limit beyond the end", 3, 8, 0.6, Refused},
		{"late, limit ends in time", 4.3, 7.3, 0.1, Whole},
		{"late, limit ends at the end", 4.4, 7.4, 0.1, Whole},
		{"late, limit beyond the end, usual run would end in time", 4.5, 7.5, 0.1, Refused},
		{"late, upstreams silent, as in the incident", 5.3, 8.3, 0.1, Refused},
		{"late, the caller has little time left", 7, 7.3, 0.1, Whole},
		{"after the end", 7.5, 7.6, 0.1, Refused},
	} {
		got := p.Admit(at(c.at), at(c.deadline), time.Duration(c.usual*float64(time.Second)))
		assert.Equal(t, got, c.want, c.name)
	}
	// Addresses that may be cached longer leave no less time for requests.
	p = NewPlan(begun, 7400*time.Millisecond, at(15))
	assert.Equal(t, p.Admit(at(2.9), at(7.9), 600*time.Millisecond), Usual)
	assert.Equal(t, p.Admit(at(3), at(8), 600*time.Millisecond), Refused)
	assert.Equal(t, Plan{}.Admit(at(100), at(200), time.Hour), Whole)
}

// Guards against a drain that keeps no time for the requests of its last callers, however long addresses may be cached.
func TestPlanKeepsHalfForRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "limit"))
		cached := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "cached"))
		p := NewPlan(begun, limit, begun.Add(cached))
		assert.Assert(t, !p.Quiet.Before(p.LateCallers) && p.End.Sub(p.Quiet) >= limit/2, "%+v", p)
		now, deadline := begun.Add(time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, "now"))), begun.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "deadline")))
		if p.Admit(now, deadline, time.Millisecond) != Refused && !now.Before(p.LateCallers) {
			assert.Assert(t, !deadline.After(p.End))
		}
	})
}
