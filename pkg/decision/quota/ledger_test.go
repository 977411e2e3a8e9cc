package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against reservations that count twice once their job is reported, never expire, or count on another route.
func TestLedgerCountsEachJobOnce(t *testing.T) {
	l, now := NewLedger(), time.Unix(100, 0)
	reserve := func(job, route string, tokens int64) int64 {
		return l.Reserve(Reservation{Job: job, Route: route, Tokens: tokens, Limit: 100}, now)
	}
	assert.Equal(t, reserve("a", "r", 60), int64(0))
	assert.Equal(t, reserve("a", "r", 60), int64(0), "the same job again")
	assert.Equal(t, reserve("b", "r", 50), int64(10))
	assert.Equal(t, reserve("c", "other", 100), int64(0))
	l.Report("n1", map[string]Waiting{"a": {"r", 60}})
	assert.Equal(t, reserve("b", "r", 40), int64(0))
	l.Report("n1", map[string]Waiting{"a": {"r", 20}})
	l.Report("n2", map[string]Waiting{"a": {"r", 60}}) // An earlier owner has not reported again.
	assert.Equal(t, reserve("d", "r", 41), int64(1))
	assert.Equal(t, l.Tokens()["a"], int64(20))
	now = now.Add(2 * reservationLifetime)
	assert.Equal(t, reserve("d", "r", 80), int64(0), "the reservation of b has expired")
	l.Report("n1", nil)
	l.Report("n2", nil)
	assert.Equal(t, len(l.Tokens()), 0)
}
