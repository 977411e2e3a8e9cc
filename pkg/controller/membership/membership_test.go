package membership_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/peer/peertest"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/adapter/store/storetest"
	"trefoilplank.example/pkg/blackboard"
	leasectl "trefoilplank.example/pkg/controller/lease"
	"trefoilplank.example/pkg/controller/membership"
	"trefoilplank.example/pkg/decision/lease"
)

// fleet is a set of nodes that share a store and a network.
type fleet struct {
	t       *testing.T
	store   *storetest.Faulty
	network *peertest.Network
	nodes   map[string]*node
	starts  int64
	// versions counts the messages that carry a zone's report of versions.
	versions atomic.Int64
}

// reportCounter is a peer caller that counts the calls that carry a version report.
type reportCounter struct {
	*peertest.Caller
	count *atomic.Int64
}

func (c reportCounter) Call(ctx context.Context, node, method string, args, reply any) error {
	if push, ok := args.(*membership.PushArgs); ok && push.Versions != nil {
		c.count.Add(1)
	}
	return c.Caller.Call(ctx, node, method, args, reply)
}

type node struct {
	board   *blackboard.Board
	members *membership.Controller
	lease   *leasectl.Controller
	stop    context.CancelFunc
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, store: storetest.New(memstore.New()), network: peertest.New(), nodes: map[string]*node{}}
}

// inFleet runs a test with an empty fleet in a synctest bubble, and stops the nodes at its end.
func inFleet(t *testing.T, test func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		test(t, f)
	})
}

// start starts or restarts a node; its zone is the part of the name before "-".
func (f *fleet) start(name string, seeds ...string) *node {
	f.starts++
	zone, _, _ := strings.Cut(name, "-")
	self := lease.Record{Name: name, AvailabilityZone: zone, Address: name + ":1", PeerAddress: name, Incarnation: f.starts}
	board, server := blackboard.New(), peer.NewServer("", nil)
	caller := &peertest.Caller{Network: f.network, Address: name, Resolve: membership.Resolver(board)}
	n := &node{board: board, lease: leasectl.New(f.store, board, self, lease.Default)}
	n.members = membership.New(membership.Options{Store: f.store, Board: board, Peers: reportCounter{caller, &f.versions}, Self: self, Seeds: seeds})
	assert.NilError(f.t, server.Register("Membership", n.members.Receiver()))
	f.network.Listen(name, server)
	ctx, cancel := context.WithCancel(f.t.Context())
	n.stop = cancel
	go n.members.Run(ctx)
	go n.lease.Run(ctx)
	f.nodes[name] = n
	return n
}

// kill stops a node without Leave and makes it unreachable.
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

// expect checks that the live set of each running node is names.
func (f *fleet) expect(names ...string) {
	f.t.Helper()
	slices.Sort(names)
	for name, n := range f.nodes {
		got := slices.Sorted(maps.Keys(n.board.Members.Value().Live))
		assert.Assert(f.t, slices.Equal(got, names), "%s has %v, not %v", name, got, names)
	}
}

// startZones starts nodes named zZONE-NUMBER, waits until they know each other, and returns their names.
func (f *fleet) startZones(zones, perZone int) []string {
	var names []string
	for z := range zones {
		for i := range perZone {
			names = append(names, fmt.Sprintf("z%d-%d", z, i))
			f.start(names[len(names)-1])
		}
	}
	time.Sleep(15 * time.Second)
	return names
}

// without returns names less those in drop.
func without(names []string, drop ...string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(drop, n) })
}

// TestDeadNodeLeavesLiveSet guards against a dead node that stays in the live set until its lease expires, and against
// a restarted node that stays out of it.
func TestDeadNodeLeavesLiveSet(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		names := f.startZones(3, 3)
		f.expect(names...)
		f.kill("z1-1")
		time.Sleep(7 * time.Second)
		f.expect(without(names, "z1-1")...)
		f.start("z1-1")
		time.Sleep(5 * time.Second)
		f.expect(names...)
	})
}

// TestPausedNode guards against a node that, when it resumes from a pause, declares others dead because their
// heartbeats timed out meanwhile, and against it staying removed.
func TestPausedNode(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		names := f.startZones(2, 4)
		f.network.SetPaused("z0-2", true)
		time.Sleep(12 * time.Second)
		for name, n := range f.nodes {
			if name != "z0-2" {
				_, ok := n.board.Members.Value().Live["z0-2"]
				assert.Assert(t, !ok, "%s still has the paused node", name)
			}
		}
		f.network.SetPaused("z0-2", false)
		time.Sleep(30 * time.Second)
		f.expect(names...)
	})
}

// TestStoreOutageKeepsLiveSet guards against a live set that loses members during a store outage, or after it because
// of lease records that expired meanwhile.
func TestStoreOutageKeepsLiveSet(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		names := f.startZones(2, 3)
		f.store.SetDown(true)
		for range 30 {
			time.Sleep(10 * time.Second)
			f.expect(names...)
		}
		f.kill("z1-2")
		time.Sleep(8 * time.Second)
		f.expect(without(names, "z1-2")...)
		f.start("z1-2", "z0-0")
		time.Sleep(8 * time.Second)
		f.expect(names...)
		f.store.SetDown(false)
		for range 10 {
			time.Sleep(10 * time.Second)
			f.expect(names...)
		}
	})
}

// TestStartAfterOutage guards against a node that starts when the store returns, ignores all lease records because
// they have expired, and so finds no members.
func TestStartAfterOutage(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		names := f.startZones(2, 3)
		f.store.SetDown(true)
		time.Sleep(10 * time.Minute)
		f.store.SetDown(false)
		f.start("z0-9")
		time.Sleep(6 * time.Second)
		f.expect(append(names, "z0-9")...)
	})
}

// TestPartitionHeals guards against two sides of a partition that do not find each other again, or that remove their
// own members because the other side declared them dead.
func TestPartitionHeals(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		names := f.startZones(2, 3)
		f.network.SetPartition(func(from, to string) bool { return from[:2] != to[:2] })
		time.Sleep(2 * time.Minute)
		for name, n := range f.nodes {
			assert.Equal(t, len(n.board.Members.Value().Live), 3, name)
		}
		f.network.SetPartition(nil)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for name, n := range f.nodes {
				for other := range f.nodes {
					_, live := n.board.Members.Value().Live[other]
					assert.Assert(t, live || name[:2] != other[:2], "%s lost %s after the partition healed", name, other)
				}
			}
		}
		f.expect(names...)
	})
}

// TestLostZone guards against the members of a lost zone staying live because no regular heartbeat from outside the zone
// reaches them.
func TestLostZone(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		names := f.startZones(3, 12)
		for _, name := range names[24:] {
			f.kill(name)
		}
		time.Sleep(25 * time.Second)
		f.expect(names[:24]...)
	})
}

// TestDrainAndLeave guards against other nodes not learning that a node drains or stops regularly.
func TestDrainAndLeave(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		names := f.startZones(2, 3)
		f.nodes["z0-1"].board.Draining.Set(true)
		time.Sleep(2 * time.Second)
		for name, n := range f.nodes {
			assert.Assert(t, n.board.Members.Value().Live["z0-1"].Draining, name)
		}
		f.nodes["z0-1"].members.Leave(t.Context())
		f.kill("z0-1")
		time.Sleep(2 * time.Second)
		f.expect(without(names, "z0-1")...)
	})
}

// TestVMListOnlyConfirms guards against removing a node that still answers, only because the VM list, which lags, shows
// its VM as lost.
func TestVMListOnlyConfirms(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		names := f.startZones(1, 4)
		for _, n := range f.nodes {
			n.board.VMs.Set(map[string]blackboard.VMState{"z0-1": blackboard.VMLost, "z0-2": blackboard.VMLive})
		}
		time.Sleep(10 * time.Second)
		f.expect(names...)
		f.kill("z0-2")
		time.Sleep(7 * time.Second)
		f.expect(without(names, "z0-2")...)
	})
}

// TestVersionsReachAllZones guards against nodes of other zones not learning a node's configuration version.
func TestVersionsReachAllZones(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.startZones(2, 4)
		for name, n := range f.nodes {
			if name != "z0-3" {
				n.board.Config.Set(api.Config{Version: 7})
			}
		}
		time.Sleep(12 * time.Second)
		for name, n := range f.nodes {
			for _, m := range n.board.Members.Value().Live {
				want := int64(7)
				if m.Name == "z0-3" {
					want = 0
				}
				assert.Equal(t, m.ConfigVersion, want, "%s at %s", m.Name, name)
			}
		}
	})
}

// TestOneVersionReportPerChange guards against several reports of a zone to all nodes while its nodes apply a change
// one after another, and against a report that waits forever for a node that does not apply the change.
func TestOneVersionReportPerChange(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		names := f.startZones(2, 8)
		before := f.versions.Load()
		for _, name := range names {
			f.nodes[name].board.Config.Set(api.Config{Version: 7})
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(15 * time.Second)
		// One report of each zone goes to the 15 other nodes.
		count := f.versions.Load() - before
		assert.Assert(t, count == 30, "%d messages", count)
	})
}
