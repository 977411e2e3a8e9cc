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

// startHolder starts a lease controller for node "n" and waits until it is idle.
func startHolder(t *testing.T, s store.Store, incarnation int64) (*leasectl.Controller, context.CancelFunc) {
	self := lease.Record{Name: "n", PeerAddress: "n", Incarnation: incarnation}
	c := leasectl.New(s, blackboard.New(), self, lease.Default)
	ctx, cancel := context.WithCancel(t.Context())
	go c.Run(ctx)
	synctest.Wait()
	return c, cancel
}

// storedRecord returns the lease record of node "n" in the store.
func storedRecord(t *testing.T, s store.Store) lease.Record {
	t.Helper()
	o, err := s.Get(t.Context(), "nodes/n")
	assert.NilError(t, err)
	r, err := lease.Decode(o.Key, o.Value, o.Revision)
	assert.NilError(t, err)
	return r
}

// TestRenewal guards against a lease that expires although the store is up, also when the answers to writes are lost.
func TestRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New(memstore.New())
		c, stop := startHolder(t, s, 1)
		defer stop()
		token := c.Lease().Token
		for range 120 {
			assert.Assert(t, c.Holds())
			s.LoseAnswers(1)
			time.Sleep(time.Second)
		}
		assert.Equal(t, c.Lease().Token, token)
		assert.Assert(t, s.Calls.Load() < 60, "%d calls in 120 s", s.Calls.Load())
	})
}

// TestOutage guards against a holder that acts after its lease expired during a store outage, and against one that uses
// the old token after the outage.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New(memstore.New())
		c, stop := startHolder(t, s, 1)
		defer stop()
		token := c.Lease().Token
		s.SetDown(true)
		time.Sleep(31 * time.Second)
		assert.Assert(t, !c.Holds())
		time.Sleep(10 * time.Minute)
		s.SetDown(false)
		time.Sleep(5 * time.Second)
		assert.Assert(t, c.Holds())
		assert.Assert(t, c.Lease().Token > token)
	})
}

// TestPausedHolder guards against a holder that is paused during a renewal until its role may be taken over, and then
// continues under its old token.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New(memstore.New())
		c, stop := startHolder(t, s, 1)
		defer stop()
		token := c.Lease().Token
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
			// The lease is read once, since the holder may acquire it again between two reads.
			if l := c.Lease(); taken && lease.Holds(l, time.Now()) {
				assert.Assert(t, l.Token > token)
			}
		}
		assert.Assert(t, taken)
		assert.Assert(t, c.Holds())
	})
}

// TestRestart guards against a restarted node whose token is not larger than that of the old process, and against the
// old process holding its lease beside the new one. The clock goes back between the starts.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New(memstore.New())
		first, stopFirst := startHolder(t, s, 100)
		defer stopFirst()
		second, stopSecond := startHolder(t, s, 50)
		defer stopSecond()
		assert.Assert(t, second.Lease().Token > first.Lease().Token)
		assert.Equal(t, second.Incarnation(), int64(101))
		time.Sleep(time.Minute)
		assert.Assert(t, !first.Holds())
		assert.Assert(t, second.Holds())
		assert.NilError(t, s.Delete(t.Context(), "nodes/n", store.AnyRevision))
		token := second.Lease().Token
		time.Sleep(15 * time.Second)
		assert.Assert(t, second.Lease().Token > token, "a token after a deletion must be larger too")
	})
}

// TestTakeover guards against a takeover from a live holder, a late takeover from a dead holder, a wait after a release,
// and a store read for each MayTake call.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := storetest.New(memstore.New())
		c, stop := startHolder(t, s, 1)
		token := c.Lease().Token
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
		c, stop := startHolder(t, s, 1)
		token := c.Lease().Token
		stop()
		assert.NilError(t, c.Release(t.Context()))
		assert.Assert(t, !c.Holds())
		d, err := leasectl.NewObserver(s, lease.Default).MayTake(t.Context(), "n", token, 0)
		assert.NilError(t, err)
		assert.Assert(t, d.Allowed, d.Reason)
		assert.Assert(t, storedRecord(t, s).Released)
	})
}
