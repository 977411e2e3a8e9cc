package lease_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/adapter/store/storetest"
	"trefoilplank.example/pkg/blackboard"
	leasectl "trefoilplank.example/pkg/controller/lease"
	"trefoilplank.example/pkg/decision/lease"
)

// holder starts a lease controller for node "n".
func holder(t *testing.T, s store.Store, incarnation int64) (*leasectl.Controller, context.CancelFunc) {
	self := lease.Record{Name: "n", PeerAddress: "n", Incarnation: incarnation}
	c := leasectl.New(s, blackboard.New(), self, lease.Default)
	ctx, cancel := context.WithCancel(t.Context())
	go c.Run(ctx)
	synctest.Wait()
	return c, cancel
}

func stored(t *testing.T, s store.Store) lease.Record {
	t.Helper()
	o, err := s.Get(t.Context(), "nodes/n")
	assert.NilError(t, err)
	r, err := lease.Decode(o.Key, o.Value, o.Revision)
	assert.NilError(t, err)
	return r
}

// TestRenewal guards against a lease that lapses although the store answers, also when answers are lost.
func TestRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New(memstore.New())
		c, stop := holder(t, s, 1)
		defer stop()
		token := c.Lease().Number
		for range 120 {
			assert.Assert(t, c.Holds())
			s.LoseAnswers(1)
			time.Sleep(time.Second)
		}
		assert.Equal(t, c.Lease().Number, token)
		assert.Assert(t, s.Calls.Load() < 60, "%d calls in 120 s", s.Calls.Load())
	})
}

// TestOutage guards against a holder that acts after its lease ran out during an outage of the store, and
// against it going on with the old token afterwards.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New(memstore.New())
		c, stop := holder(t, s, 1)
		defer stop()
		token := c.Lease().Number
		s.SetDown(true)
		time.Sleep(31 * time.Second)
		assert.Assert(t, !c.Holds())
		time.Sleep(10 * time.Minute)
		s.SetDown(false)
		time.Sleep(5 * time.Second)
		assert.Assert(t, c.Holds())
		assert.Assert(t, c.Lease().Number > token)
	})
}

// TestPausedHolder guards against a holder that was paused within a renewal and goes on under its old token.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New(memstore.New())
		c, stop := holder(t, s, 1)
		defer stop()
		token := c.Lease().Number
		var paused atomic.Bool
		paused.Store(true)
		s.BeforePut(func(string) {
			if paused.Swap(false) {
				time.Sleep(35 * time.Second)
			}
		})
		o := leasectl.NewObserver(s, lease.Default)
		taken := false
		for range 50 {
			time.Sleep(time.Second)
			d, err := o.MayTake(t.Context(), "n", token, 0)
			assert.NilError(t, err)
			taken = taken || d.Allowed
			// One reading of the lease, since the holder may acquire it between two.
			if l := c.Lease(); taken && lease.Holds(l, time.Now()) {
				assert.Assert(t, l.Number > token)
			}
		}
		assert.Assert(t, taken)
		assert.Assert(t, c.Holds())
	})
}

// TestRestart guards against a restarted node with a token that is not larger, and against the old process going
// on beside it, also when the clock went back between the starts.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New(memstore.New())
		first, stopFirst := holder(t, s, 100)
		defer stopFirst()
		second, stopSecond := holder(t, s, 50)
		defer stopSecond()
		assert.Assert(t, second.Lease().Number > first.Lease().Number)
		assert.Equal(t, second.Incarnation(), int64(101))
		time.Sleep(time.Minute)
		assert.Assert(t, !first.Holds())
		assert.Assert(t, second.Holds())
		assert.NilError(t, s.Delete(t.Context(), "nodes/n", store.AnyRevision))
		token := second.Lease().Number
		time.Sleep(15 * time.Second)
		assert.Assert(t, second.Lease().Number > token, "a token after a deletion must be larger too")
	})
}

// TestTakeover guards against a takeover from a live holder, a late one from a dead holder, a wait after a
// release, and reads that cost a call for each question.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New(memstore.New())
		c, stop := holder(t, s, 1)
		token := c.Lease().Number
		o := leasectl.NewObserver(s, lease.Default)
		mayTake := func() bool {
			d, err := o.MayTake(t.Context(), "n", token, 0)
			assert.NilError(t, err)
			return d.Allowed
		}
		before := s.Calls.Load()
		for range 300 {
			assert.Assert(t, !mayTake())
			time.Sleep(time.Second)
		}
		assert.Assert(t, s.Calls.Load()-before < 30+15, "30 renewals and the reads: %d calls", s.Calls.Load()-before)
		stop()
		waited := 0
		for ; !mayTake(); waited++ {
			time.Sleep(time.Second)
		}
		assert.Assert(t, waited >= 19 && waited <= 62, "%d s", waited)
	})
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New(memstore.New())
		c, stop := holder(t, s, 1)
		token := c.Lease().Number
		stop()
		assert.NilError(t, c.Release(t.Context()))
		assert.Assert(t, !c.Holds())
		d, err := leasectl.NewObserver(s, lease.Default).MayTake(t.Context(), "n", token, 0)
		assert.NilError(t, err)
		assert.Assert(t, d.Allowed, d.Reason)
		assert.Assert(t, stored(t, s).Released)
	})
}
