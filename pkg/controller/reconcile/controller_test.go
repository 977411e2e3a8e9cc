package reconcile

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/weights"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// TestRollOutKeepsTheMinimum guards against a roll-out that takes the model below its serving minimum, or that leaves
// leases or claims behind, also when the store loses the answer of every write.
func TestRollOutKeepsTheMinimum(t *testing.T) {
	for name, lose := range map[string]bool{"store answers": false, "store loses every answer": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 4, 3, "v2", api.FencingEnforced, "n1")
				if lose {
					f.store.LoseAnswers(math.MaxInt)
				}
				f.pass("n1", 120)
				assert.DeepEqual(t, f.fleet.versions(), map[string]int{"v2": 4})
				assert.Equal(t, f.fleet.minServing, 3)
				for u := range f.fleet.engines {
					assert.Equal(t, len(f.fleet.orders(u)), 1, "orders must not be repeated: %v", f.fleet.orders(u))
					var r leaseRecord
					o, err := f.records.Get(context.Background(), leaseKey(u))
					assert.NilError(t, err)
					assert.NilError(t, json.Unmarshal(o.Value, &r))
					assert.Assert(t, r.Released)
				}
				assert.Equal(t, len(f.nodes["n1"].rollouts.cache["m"].Claims), 0)
				assert.Equal(t, len(f.nodes["n1"].Status(context.Background()).Problems), 0)
			})
		})
	}
}

// TestFailingVersionGoesBack guards against a version that fails to load being ordered on one replica after another,
// instead of being rolled back.
func TestFailingVersionGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4, 2, "v2", api.FencingEnforced, "n1")
		f.fleet.badVersion = "v2"
		f.pass("n1", 200)
		assert.DeepEqual(t, f.fleet.versions(), map[string]int{"v1": 4})
		tries := 0
		for u := range f.fleet.engines {
			tries += len(f.fleet.orders(u))
		}
		assert.Equal(t, tries, 2, "the version must be tried as often as the failure limit")
		assert.Assert(t, f.hasDecision("n1", "roll-back"))
		problems := f.nodes["n1"].Status(context.Background()).Problems
		assert.Equal(t, len(problems), 1)
		assert.Assert(t, strings.Contains(problems[0].Cause, `version "v2" failed 2 times`), problems[0].Cause)
		assert.Assert(t, problems[0].System != "" && problems[0].Operator != "" && !problems[0].Since.IsZero())
	})
}

// TestReplicaThatDiesInProbationGoesBack guards against a roll-out that continues although a replica stops serving soon
// after it loaded the new version.
func TestReplicaThatDiesInProbationGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4, 2, "v2", api.FencingEnforced, "n1")
		for range 200 {
			f.pass("n1", 1)
			f.ejectEngines("n1", "v2")
		}
		assert.DeepEqual(t, f.fleet.versions(), map[string]int{"v1": 4})
		assert.Assert(t, f.hasDecision("n1", "replica-failed") && f.hasDecision("n1", "roll-back"))
	})
}

// TestEngineRefusesAnOldToken guards against a node that stops ordering, or repeats the same token, after an engine
// refused its token because it has seen a larger one.
func TestEngineRefusesAnOldToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 0, "v2", api.FencingEnforced, "n1")
		c := f.nodes["n1"]
		f.pass("n1", 1)
		// Another holder's larger token reaches the engine after this node took its lease.
		for _, e := range f.fleet.engines {
			e.Fencing = 50
		}
		f.pass("n1", 1)
		assert.Assert(t, f.hasDecision("n1", "order-refused"))
		assert.Assert(t, len(c.Status(context.Background()).Problems) > 0, "the backoff must show in status")
		f.pass("n1", 60)
		assert.DeepEqual(t, f.fleet.versions(), map[string]int{"v2": 2})
		for _, e := range f.fleet.engines {
			assert.Assert(t, e.tokens[len(e.tokens)-1] > 50)
		}
	})
}

// TestPausedHolderSendsNothing guards against a holder that sends its order after a pause that outlasts its lease, to an
// engine that ignores tokens, and against a successor that does not wait for the old holder or does not read the state
// first.
func TestPausedHolderSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 0, "v2", api.FencingIgnored, "n1", "n2")
		f.pass("n1", 1)
		pause := make(chan struct{})
		f.store.pause = pause
		f.renewNodeLease("n1")
		go f.nodes["n1"].Sync(context.Background())
		synctest.Wait()
		start := time.Now()
		for len(f.fleet.orders("u0")) == 0 {
			f.pass("n2", 1)
			assert.Assert(t, time.Since(start) < 2*time.Minute, "the successor never takes over")
		}
		// 15 s lease + 1 % clock rate + 10 s in flight. The wait begins when the successor first reads the lease, which is
		// after the holder's write.
		assert.Assert(t, time.Since(start) >= 25150*time.Millisecond, "took over after %s", time.Since(start))
		f.renewNodeLease("n1")
		close(pause)
		synctest.Wait()
		f.pass("n2", 30)
		assert.DeepEqual(t, f.fleet.orders("u0"), []string{`2 load m version "v2"`})
		assert.Assert(t, f.hasDecision("n1", "order-withheld"))
	})
}

// TestTwoOwnersKeepTheMinimum guards against two nodes that both consider themselves owner of a model and together take
// it below its serving minimum.
func TestTwoOwnersKeepTheMinimum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, 2, "v2", api.FencingEnforced, "n1", "n2")
		f.fleet.stateLag = 5 * time.Second
		f.pass("n2", 1)
		// This makes the nodes choose different replicas.
		f.nodes["n2"].engines["u0"].blockedUntil = time.Now().Add(time.Hour)
		for range 150 {
			f.renewNodeLease("n1")
			f.nodes["n1"].Sync(context.Background())
			f.pass("n2", 1)
		}
		assert.Assert(t, f.fleet.minServing >= 2, "lowest was %d", f.fleet.minServing)
		assert.DeepEqual(t, f.fleet.versions(), map[string]int{"v2": 3})
	})
}

// TestStoreDown guards against orders while the store is down and no order lease can be acquired, and against none being
// sent after it is back.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 1, "v2", api.FencingEnforced, "n1")
		f.store.SetDown(true)
		f.pass("n1", 10)
		for u := range f.fleet.engines {
			assert.Equal(t, len(f.fleet.orders(u)), 0)
		}
		assert.Assert(t, len(f.nodes["n1"].Status(context.Background()).Problems) > 0)
		f.store.SetDown(false)
		f.pass("n1", 60)
		assert.DeepEqual(t, f.fleet.versions(), map[string]int{"v2": 2})
	})
}

// TestWeightStoreRefuses guards against load orders while the weight store refuses transfers above its rate, and against
// load orders for weights that are missing.
func TestWeightStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 1, "v2", api.FencingEnforced, "n1")
		f.weights.begin = func() error { return &weights.BusyError{RetryAfter: time.Second} }
		f.pass("n1", 10)
		assert.DeepEqual(t, f.fleet.versions(), map[string]int{"v1": 2})
		o := f.nodes["n1"].Status(context.Background()).Objects[0]
		assert.Assert(t, strings.Contains(o.Why, "over the weight store's rate"), o.Why)
		f.weights.begin = func() error { return weights.ErrMissing }
		f.pass("n1", 60)
		for u := range f.fleet.engines {
			assert.Equal(t, len(f.fleet.orders(u)), 0)
		}
		assert.Assert(t, f.hasDecision("n1", "roll-back"))
	})
}

// TestEngineWithoutOrders guards against order leases and problems for engines that have no order interface.
func TestEngineWithoutOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 1, "v2", api.FencingEnforced, "n1")
		for _, e := range f.fleet.engines {
			e.noOrders = true
		}
		f.pass("n1", 10)
		_, err := f.records.Get(context.Background(), leaseKey("u0"))
		assert.ErrorIs(t, err, store.ErrNotFound)
		assert.Equal(t, len(f.nodes["n1"].Status(context.Background()).Problems), 0)
	})
}

// TestDrainReleasesLeases guards against a node that keeps its order leases when it drains, so that its successor has to
// wait for them.
func TestDrainReleasesLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 0, "v2", api.FencingIgnored, "n1", "n2")
		f.pass("n1", 1)
		assert.Assert(t, f.nodes["n1"].leases.held["u0"] != nil)
		f.board["n1"].Draining.Set(true)
		f.pass("n1", 1)
		f.pass("n2", 2)
		assert.Equal(t, len(f.fleet.orders("u0")), 1)
	})
}

// TestRun guards against a loop that waits an interval between acquiring a lease and sending the order, and against
// leases that are still held after Run has returned.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, 2, "v2", api.FencingIgnored, "n1")
		f.board["n1"].Lease.Set(blackboard.Lease{Token: 1, Deadline: time.Now().Add(time.Hour)})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.nodes["n1"].Run(ctx); close(done) }()
		// Each replica takes 20 s to load, and at most one interval of 2 s until the node sees the end of it.
		time.Sleep(3 * 22 * time.Second)
		assert.DeepEqual(t, f.fleet.versions(), map[string]int{"v2": 3})
		cancel()
		<-done
		assert.Equal(t, len(f.nodes["n1"].leases.held), 0)
	})
}

// TestSuccessorBeginsAtMemberChange guards against a successor that notices the loss of the owner only at its next idle
// pass.
func TestSuccessorBeginsAtMemberChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 0, "v2", api.FencingEnforced, "n2")
		f.board["n2"].Lease.Set(blackboard.Lease{Token: 1, Deadline: time.Now().Add(time.Hour)})
		setMembers := func(names ...string) {
			live := map[string]blackboard.Member{}
			for _, n := range names {
				live[n] = blackboard.Member{Name: n, LastHeard: time.Now()}
			}
			f.board["n2"].Members.Set(blackboard.Members{Self: "n2", Live: live})
		}
		owner := ""
		for i := 0; rendezvous.Owner("reconcile/m", []string{owner, "n2"}) != owner; i++ {
			owner = fmt.Sprint("o", i)
		}
		setMembers("n2", owner)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go f.nodes["n2"].Run(ctx)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(f.fleet.orders("u0")), 0)
		setMembers("n2")
		synctest.Wait()
		assert.Equal(t, len(f.fleet.orders("u0")), 1)
	})
}
