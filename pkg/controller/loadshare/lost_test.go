package loadshare

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/lostnodes"
	"trefoilplank.example/pkg/decision/outlier"
	"trefoilplank.example/pkg/eventlog"
)

// storedFleet is a hub whose nodes are registered in a store, and the nodes that undo changes of their entries.
type storedFleet struct {
	t     *testing.T
	s     *memstore.Store
	hub   *hub
	now   time.Time
	alive map[string]*fleet.Fleet
	// unreachable is set while the live nodes do not reach the store.
	unreachable bool
	age         time.Duration
	last        Totals
	// answers counts the changes that live nodes have undone.
	answers int
}

func newStoredFleet(t *testing.T, nodes int) *storedFleet {
	f := &storedFleet{t: t, s: memstore.New(), now: time.Now(), alive: map[string]*fleet.Fleet{}}
	for n := range nodes {
		name := fmt.Sprint("n", n)
		f.alive[name] = fleet.New(f.s, fleet.Member{Name: name, Incarnation: 1, Weight: 1}, &eventlog.Log{})
		assert.NilError(t, f.alive[name].Register(context.Background()))
	}
	h := newHub(&Options{
		Fleet: f.alive["n0"], Grants: grantOneSlot, Revisions: func() map[string]int64 { return nil }, EntriesAge: func() time.Duration { return f.age },
		AddEvidence: func(map[string]outlier.Evidence) {}, Outliers: func() map[string]float64 { return nil },
	})
	f.hub = &h
	return f
}

func (f *storedFleet) entries() map[string]store.Object {
	page, err := store.ListAll(context.Background(), f.s, fleet.Prefix)
	assert.NilError(f.t, err)
	objects := map[string]store.Object{}
	for _, o := range page.Objects {
		objects[o.Key] = o
	}
	return objects
}

// run lets nodes report for a time. Of the others, those that are alive undo changes of their entries, and the hub challenges and removes.
func (f *storedFleet) run(d time.Duration, reporting, lost []string) {
	ctx := context.Background()
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		objects := f.entries()
		f.hub.options.Fleet.SetRegistered(objects)
		for name, node := range f.alive {
			if name != "n0" && !f.unreachable && !slices.Contains(lost, name) {
				node.SetRegistered(objects)
				if !node.MayConfirm(name, 1) {
					assert.NilError(f.t, node.Register(ctx))
					f.answers++
				}
			}
		}
		for _, name := range reporting {
			f.last = Totals{}
			f.hub.handleReport(Report{Node: name, Incarnation: 1}, &f.last, f.now)
		}
		for _, name := range f.hub.nodesToChallenge(f.now) {
			f.hub.options.Fleet.Challenge(ctx, name)
		}
		for _, name := range f.hub.nodesToRemove(f.now) {
			f.hub.options.Fleet.Remove(ctx, name)
		}
	}
}

func names(from, to int) (list []string) {
	for n := from; n < to; n++ {
		list = append(list, fmt.Sprint("n", n))
	}
	return list
}

// Guards against batch jobs that nobody takes over, and others that are not run, because more than half of the nodes are lost for good: at
// once or in steps, all but one too.
func TestMostNodesMayBeLost(t *testing.T) {
	const found = lostnodes.UnheardTime + lostnodes.AnswerTime + 2*time.Second
	for _, c := range []struct{ nodes, first, lost int }{{10, 6, 6}, {10, 9, 9}, {3, 2, 2}, {2, 1, 1}, {10, 3, 7}, {10, 6, 8}, {60, 40, 50}} {
		t.Run(fmt.Sprintf("%d then %d of %d", c.first, c.lost, c.nodes), func(t *testing.T) {
			f := newStoredFleet(t, c.nodes)
			f.run(5*time.Second, names(0, c.nodes), nil)
			assert.Assert(t, !f.last.Unconfirmed)
			for _, lost := range []int{c.first, c.lost} {
				f.run(found, names(0, c.nodes-lost), names(c.nodes-lost, c.nodes))
				assert.Assert(t, !f.last.Unconfirmed, "%d of %d nodes lost", lost, c.nodes)
				assert.Equal(t, f.hub.options.Fleet.Size(), c.nodes-lost)
			}
		})
	}
}

// Guards against nodes that are taken for lost although they are alive on the other side of a division of the fleet, and may rely on being
// confirmed there; and against a node that is taken for lost for ever.
func TestLiveNodesAreNotLostWhileTheFleetIsDivided(t *testing.T) {
	f := newStoredFleet(t, 10)
	f.run(5*time.Second, names(0, 10), nil)
	f.run(2*unresponsiveAfter, names(0, 4), nil)
	for range 30 {
		f.run(time.Second, names(0, 4), nil)
		assert.Equal(t, len(f.last.Silent), 0)
		assert.Assert(t, f.last.Unconfirmed)
	}
	assert.Assert(t, f.answers >= 12 && f.answers <= 24, "%d challenges of six nodes in 30 s", f.answers)
	assert.Equal(t, f.hub.options.Fleet.Size(), 10)
	f.run(2*time.Second, names(0, 10), nil)
	assert.Assert(t, !f.last.Unconfirmed)
	f.run(lostnodes.UnheardTime+lostnodes.AnswerTime+2*time.Second, names(0, 4), names(4, 10))
	assert.Equal(t, f.hub.options.Fleet.Size(), 4)
	f.run(3*time.Second, names(0, 10), nil)
	assert.Equal(t, f.hub.options.Fleet.Size(), 10)
	assert.Equal(t, len(f.last.Silent), 0)
	assert.Assert(t, !f.last.Unconfirmed, "the nodes are back")
}

// Guards against a hub that confirms nodes while others, which it does not hear, may have challenged and counted them as lost: it must have
// seen their entries lately.
func TestHubWithOldEntriesConfirmsNobodyWhileNodesAreUnheard(t *testing.T) {
	f := newStoredFleet(t, 10)
	f.run(5*time.Second, names(0, 10), nil)
	f.age = time.Minute
	f.run(5*time.Second, names(0, 10), nil)
	assert.Assert(t, !f.last.Unconfirmed, "all nodes report: the store is away")
	f.run(5*time.Second, names(0, 6), nil)
	assert.Assert(t, f.last.Unconfirmed)
	f.age = lostnodes.ConfirmAge / 2
	f.run(time.Second, names(0, 6), nil)
	assert.Assert(t, !f.last.Unconfirmed)
	f.unreachable = true
	f.hub.options.Fleet.Challenge(context.Background(), "n5")
	f.run(time.Second, names(0, 6), nil)
	assert.Assert(t, f.last.Unconfirmed, "another hub has challenged the node that reported last")
}

// silentPeers lets calls to most nodes hang.
type silentPeers struct {
	mu      sync.Mutex
	answers map[string]*hub
}

func (p *silentPeers) Call(ctx context.Context, node, method string, args, reply any) error {
	p.mu.Lock()
	h := p.answers[node]
	p.mu.Unlock()
	switch {
	case h == nil:
		<-ctx.Done()
		return peer.ErrTimeout
	case method == "Load.Ping":
		return peer.ErrUnknownMethod // An earlier build.
	}
	h.handleReport(args.(Report), reply.(*Totals), time.Now())
	return nil
}

func (*silentPeers) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// Guards against nodes that find no hub because many candidates are lost together and do not even refuse connections: the suspicion of the
// first one ended before the last one was tried.
func TestHubIsFoundBehindManyLostCandidates(t *testing.T) {
	all := names(0, 40)
	f := testFleet("self", all...)
	peers := &silentPeers{answers: map[string]*hub{}}
	e := New(Options{
		Fleet: f, Peers: peers, OwnLoads: func() map[string]dispatch.Load { return nil }, Wants: func() map[string]dispatch.Want { return nil },
		Evidence:    func() map[string]outlier.Evidence { return nil },
		ApplyTotals: func(_, _ map[string]dispatch.Load, _ map[string]float64, _ dispatch.Grant) {},
		Revisions:   func() map[string]int64 { return nil },
		HubAnswered: func(string, map[string]int64) {}, Draining: func() bool { return false }, Log: &eventlog.Log{},
	})
	ranked := rankedHubs(f)
	last := ranked[min(len(ranked)-1, 25)]
	peers.answers[last], peers.answers["self"] = testHub(append(all, "self")...), testHub(append(all, "self")...)
	begun := time.Now()
	for !e.exchange(context.Background(), nil, nil) {
		assert.Assert(t, time.Since(begun) < 5*time.Second, "no hub found")
	}
	answered, failed := 0, 0
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(busyInterval) {
		if e.exchange(context.Background(), nil, nil) {
			answered++
		} else {
			failed++
		}
	}
	assert.Assert(t, failed <= 4, "%d exchanges without an answer, %d with: lost candidates are tried again and again", failed, answered)
}
