package confsync_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/peer/peertest"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/adapter/store/storetest"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/config"
	"trefoilplank.example/pkg/controller/confsync"
	"trefoilplank.example/pkg/controller/membership"
	"trefoilplank.example/pkg/decision/confchain"
	"trefoilplank.example/pkg/decision/dissemination"
	"trefoilplank.example/pkg/decision/lease"
)

// fleet is a set of nodes that share a store and a network. inner is the store without its faults.
type fleet struct {
	t       *testing.T
	inner   *memstore.Store
	store   *storetest.Faulty
	network *peertest.Network
	nodes   map[string]*node
	starts  int64
}

type node struct {
	*confsync.Controller
	name  string
	board *blackboard.Board
	stop  context.CancelFunc
	// highest is the largest version seen in force; a smaller one after it fails the test.
	highest int64
}

func newFleet(t *testing.T, zones, perZone int) *fleet {
	inner := memstore.New()
	f := &fleet{t: t, inner: inner, store: storetest.New(inner), network: peertest.New(), nodes: map[string]*node{}}
	for z := range zones {
		for i := range perZone {
			f.start(fmt.Sprintf("z%d-%d", z, i))
		}
	}
	if zones > 0 {
		f.settle(15 * time.Second)
	}
	return f
}

// inFleet runs a test with a fleet in a synctest bubble, and stops the nodes at its end.
func inFleet(t *testing.T, zones, perZone int, test func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, zones, perZone)
		defer f.stopAll()
		test(t, f)
	})
}

// start starts or restarts a node with all its controllers; its zone is the part of the name before "-".
func (f *fleet) start(name string, seeds ...string) *node {
	f.starts++
	zone, _, _ := strings.Cut(name, "-")
	self := lease.Record{Name: name, AvailabilityZone: zone, PeerAddress: name, Incarnation: f.starts, Expiry: time.Now().Add(time.Hour)}
	if _, err := f.inner.Put(f.t.Context(), lease.Prefix+name, self.Encode(), store.AnyRevision); err != nil {
		f.t.Fatal(err)
	}
	board, server := blackboard.New(), peer.NewServer("", nil)
	caller := &peertest.Caller{Network: f.network, Address: name, Resolve: membership.Resolver(board)}
	members := membership.New(membership.Options{Store: f.store, Board: board, Peers: caller, Self: self, Seeds: seeds})
	n := &node{Controller: confsync.New(f.store, board, caller, name), name: name, board: board}
	assert.NilError(f.t, server.Register("Membership", members.Receiver()))
	assert.NilError(f.t, server.Register("Config", n.Receiver()))
	f.network.Listen(name, server)
	ctx, cancel := context.WithCancel(f.t.Context())
	n.stop = cancel
	go members.Run(ctx)
	go n.Run(ctx)
	f.nodes[name] = n
	return n
}

// kill stops a node and makes it unreachable.
func (f *fleet) kill(name string) {
	f.nodes[name].stop()
	f.network.SetDown(name, true)
	delete(f.nodes, name)
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.stop()
	}
}

// settle waits for d and checks meanwhile that the version in force does not decrease on any node.
func (f *fleet) settle(d time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for name, n := range f.nodes {
			v := n.board.Config.Value().Version
			assert.Assert(f.t, v >= n.highest, "%s went from version %d to %d", name, n.highest, v)
			n.highest = v
		}
	}
}

// expect checks that a version is in force on all running nodes, with the same content.
func (f *fleet) expect(version int64) {
	f.t.Helper()
	var first api.Config
	for name, n := range f.nodes {
		c := n.board.Config.Value()
		assert.Equal(f.t, c.Version, version, name)
		assert.Equal(f.t, n.InForce(), version, name)
		if first.Version == 0 {
			first = c
		}
		assert.DeepEqual(f.t, c, first)
	}
}

func (f *fleet) apply(name string, c config.Change) (int64, error) {
	return f.nodes[name].Apply(f.t.Context(), c)
}

// newChange returns a change of the register to one institution, whose name distinguishes it from other changes.
func newChange(name, key string, ifMatch int64) config.Change {
	return config.Change{Register: &api.Register{Institutions: []api.Institution{{Name: name}}}, Key: key, IfMatch: ifMatch, Who: "op"}
}

// TestReady guards against a node that is ready before it has learned the accepted version.
func TestReady(t *testing.T) {
	inFleet(t, 0, 0, func(t *testing.T, f *fleet) {
		f.store.SetDown(true)
		n := f.start("z0-0")
		time.Sleep(time.Minute)
		select {
		case <-n.Ready():
			t.Fatal("ready without a version")
		default:
		}
		f.store.SetDown(false)
		time.Sleep(10 * time.Second)
		<-n.Ready()
		f.expect(0)
	})
}

// TestChangeReachesAllNodes guards against nodes that a change does not reach in time although calls to nodes lose their
// answers, against store watches by nodes that are no relays, and against wrong answers to resent changes.
func TestChangeReachesAllNodes(t *testing.T) {
	inFleet(t, 3, 12, func(t *testing.T, f *fleet) {
		for i := int64(1); i <= 20; i++ {
			// The call takes effect but its answer is lost, so the sender treats the receiver as dead and pushes to the
			// receiver's children itself.
			f.network.LoseAnswers(int(i % 3))
			v, err := f.apply(fmt.Sprintf("z%d-%d", i%3, i%12), newChange(fmt.Sprint("n", i), fmt.Sprint("k", i), 0))
			assert.NilError(t, err)
			assert.Equal(t, v, i)
			f.settle(2 * time.Second)
			f.expect(i)
		}
		assert.Assert(t, f.store.Watches.Load() <= 3*dissemination.RelaysPerZone)
		v, err := f.apply("z1-1", newChange("n3", "k3", 0))
		assert.NilError(t, err)
		assert.Equal(t, v, int64(3))
		_, err = f.apply("z1-1", newChange("other", "k3", 0))
		var reuse *config.KeyReuseError
		assert.Assert(t, errors.As(err, &reuse), "%v", err)
		history, err := f.nodes["z0-0"].History(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(history), 20)
		page, err := f.inner.List(t.Context(), confchain.ChunkKeyPrefix, "", 100)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Objects), confchain.KeptPayloads)
	})
}

// TestOperatorsRace guards against two concurrent changes with the same IfMatch, or both to an empty configuration, that
// are both accepted.
func TestOperatorsRace(t *testing.T) {
	inFleet(t, 2, 3, func(t *testing.T, f *fleet) {
		race := func(ifMatch int64) (versions []int64, races int) {
			type result struct {
				version int64
				err     error
			}
			results := make(chan result)
			for name := range f.nodes {
				go func() {
					v, err := f.apply(name, newChange("by-"+name, "key-"+fmt.Sprint(ifMatch)+name, ifMatch))
					results <- result{v, err}
				}()
			}
			for range f.nodes {
				r := <-results
				var raced *config.RaceError
				if errors.As(r.err, &raced) {
					assert.Equal(t, raced.Current, max(ifMatch, 0)+1)
					races++
				} else {
					assert.NilError(t, r.err)
					versions = append(versions, r.version)
				}
			}
			return versions, races
		}
		versions, races := race(config.NoVersion)
		assert.DeepEqual(t, versions, []int64{1})
		assert.Equal(t, races, 5)
		f.settle(2 * time.Second)
		versions, races = race(1)
		assert.DeepEqual(t, versions, []int64{2})
		assert.Equal(t, races, 5)
		versions, _ = race(0)
		assert.Equal(t, len(versions), 6)
		f.settle(2 * time.Second)
		f.expect(8)
		page, err := f.inner.List(t.Context(), confchain.ChunkKeyPrefix, "", 100)
		assert.NilError(t, err)
		assert.Equal(t, len(page.Objects), 8, "payloads of attempts that lost must be removed")
	})
}

// TestApplyAnswerLost guards against a change that is accepted twice, or reported as not accepted although it was, when
// the store loses the answer to the head write or goes down before it.
func TestApplyAnswerLost(t *testing.T) {
	inFleet(t, 1, 3, func(t *testing.T, f *fleet) {
		f.store.BeforePut(func(key string) {
			if key == confchain.HeadKey {
				f.store.BeforePut(nil)
				f.store.LoseAnswers(1)
			}
		})
		v, err := f.apply("z0-0", newChange("a", "k1", 0))
		assert.NilError(t, err)
		assert.Equal(t, v, int64(1))

		f.store.BeforePut(func(key string) {
			if key == confchain.HeadKey {
				f.store.BeforePut(nil)
				f.store.SetDown(true)
			}
		})
		_, err = f.apply("z0-0", newChange("b", "k2", 0))
		assert.ErrorIs(t, err, store.ErrUnavailable)
		_, err = f.apply("z0-1", newChange("b", "k2", 0))
		assert.ErrorIs(t, err, store.ErrUnavailable)
		f.settle(time.Minute)
		f.expect(1)
		f.store.SetDown(false)
		v, err = f.apply("z0-1", newChange("b", "k2", 0))
		assert.NilError(t, err)
		assert.Equal(t, v, int64(2))
		again, err := f.apply("z0-2", newChange("b", "k2", 0))
		assert.NilError(t, err)
		assert.Equal(t, again, v)
		f.settle(2 * time.Second)
		f.expect(2)
	})
}

// TestAnswerLostThenOutage guards against a change that is reported as not accepted although its head write took effect
// right before a store outage.
func TestAnswerLostThenOutage(t *testing.T) {
	inFleet(t, 1, 3, func(t *testing.T, f *fleet) {
		lost := &lostHeadAnswer{Faulty: f.store}
		n := f.nodes["z0-0"]
		c := confsync.New(lost, n.board, &peertest.Caller{Network: f.network, Address: "z0-0", Resolve: membership.Resolver(n.board)}, "z0-0")
		_, err := c.Apply(t.Context(), newChange("a", "k", 0))
		assert.ErrorIs(t, err, store.ErrUnknown)
		assert.Assert(t, !errors.Is(err, store.ErrUnavailable))
		f.store.SetDown(false)
		v, err := f.apply("z0-1", newChange("a", "k", 0))
		assert.NilError(t, err)
		assert.Equal(t, v, int64(1))
		f.settle(8 * time.Second)
		f.expect(1)
	})
}

// lostHeadAnswer is a store that loses the answer to a head write and goes down right after it.
type lostHeadAnswer struct{ *storetest.Faulty }

func (l *lostHeadAnswer) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	v, err := l.Faulty.Put(ctx, key, value, expect)
	if err == nil && key == confchain.HeadKey {
		l.SetDown(true)
		return 0, store.ErrUnknown
	}
	return v, err
}

// TestRelayDies guards against a change that does not reach the nodes of a zone because the zone's first relay has just
// died or paused.
func TestRelayDies(t *testing.T) {
	for _, paused := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 2, 10)
			defer f.stopAll()
			heads := []string{}
			view := dissemination.ViewOf(f.nodes["z0-0"].board.Members.Value())
			for _, z := range []string{"z0", "z1"} {
				heads = append(heads, view.Relays(z)[0])
			}
			from := view.Relays("z0")[1]
			if paused {
				f.network.SetPaused(heads[0], true)
				f.network.SetPaused(heads[1], true)
			} else {
				f.kill(heads[0])
				f.kill(heads[1])
			}
			_, err := f.apply(from, newChange("a", "k", 0))
			assert.NilError(t, err)
			f.settle(4 * time.Second)
			for name, n := range f.nodes {
				if name != heads[0] && name != heads[1] {
					assert.Equal(t, n.InForce(), int64(1), name)
				}
			}
			f.network.SetPaused(heads[0], false)
			f.network.SetPaused(heads[1], false)
			f.settle(30 * time.Second)
			f.expect(1)
		})
	}
}

// TestRestartDuringOutage guards against a node that starts while the store is down and then has no version in force or
// an old one, or is ready without a quorum of its peers.
func TestRestartDuringOutage(t *testing.T) {
	inFleet(t, 2, 5, func(t *testing.T, f *fleet) {
		for i := range 3 {
			_, err := f.apply("z0-0", newChange(fmt.Sprint("n", i), "", 0))
			assert.NilError(t, err)
		}
		f.settle(2 * time.Second)
		f.store.SetDown(true)
		f.kill("z0-1")
		f.kill("z0-2")
		f.settle(10 * time.Second)
		n := f.start("z0-1", "z1-3")
		f.settle(10 * time.Second)
		<-n.Ready()
		f.expect(3)
		f.kill("z0-1")
		f.network.SetPaused("z0-0", true)
		f.network.SetPaused("z0-3", true)
		n = f.start("z0-1", "z0-4")
		time.Sleep(2 * time.Second)
		select {
		case <-n.Ready():
			t.Fatal("ready with one of three peers")
		default:
		}
		f.network.SetPaused("z0-0", false)
		f.network.SetPaused("z0-3", false)
		f.settle(30 * time.Second)
		f.expect(3)
	})
}

// TestStoreGoesBack guards against a version in force that decreases, or a version number that is used twice, after the
// store lost writes.
func TestStoreGoesBack(t *testing.T) {
	inFleet(t, 1, 4, func(t *testing.T, f *fleet) {
		old := store.Object{}
		for i := range 4 {
			_, err := f.apply("z0-0", newChange(fmt.Sprint("n", i), "", 0))
			assert.NilError(t, err)
			if i == 1 {
				old, err = f.inner.Get(t.Context(), confchain.HeadKey)
				assert.NilError(t, err)
			}
		}
		f.settle(2 * time.Second)
		_, err := f.inner.Put(t.Context(), confchain.HeadKey, old.Value, store.AnyRevision)
		assert.NilError(t, err)
		f.settle(10 * time.Second)
		f.expect(4)
		v, err := f.apply("z0-1", newChange("next", "", 0))
		assert.NilError(t, err)
		assert.Equal(t, v, int64(5))
		f.settle(2 * time.Second)
		f.expect(5)
	})
}
