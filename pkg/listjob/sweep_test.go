package listjob

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// countingStore counts the calls by kind.
type countingStore struct {
	store.Store
	mu           sync.Mutex
	lists, reads int
	// logReads counts the lists of result logs.
	logReads int
}

func (s *countingStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	s.mu.Lock()
	s.lists++
	if strings.HasPrefix(prefix, resultsKind) {
		s.logReads++
	}
	s.mu.Unlock()
	return s.Store.List(ctx, prefix, after, limit)
}

func (s *countingStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	return s.Store.Get(ctx, key)
}

// largeFleet starts 24 nodes, more than are told of each job.
func largeFleet(t *testing.T, s store.Store, e *engine) (*network, []*node) {
	net := newNetwork()
	var names []string
	for n := range 24 {
		names = append(names, fmt.Sprintf("n%02d", n))
	}
	var nodes []*node
	for n, name := range names {
		nodes = append(nodes, net.addNode(t, s, e, name, slices.Delete(slices.Clone(names), n, n+1)...))
	}
	return net, nodes
}

// Guards against store calls that grow with the number of nodes: each node read the heads of all jobs every two seconds, which
// made 295 nodes call the store 6,000 times on a quiet day.
func TestOneNodeReadsTheHeadsForAll(t *testing.T) {
	s := &countingStore{Store: memstore.New()}
	e := newEngine(t, 5, time.Millisecond)
	_, nodes := largeFleet(t, s, e)
	assert.NilError(t, nodes[3].Accept(context.Background(), submission("j", 2)))
	time.Sleep(4 * sweepInterval)
	s.mu.Lock()
	defer s.mu.Unlock()
	const most = firstSweeps + int(4*sweepInterval/hubSweepInterval) // The first sweeps of the hub, and one each interval.
	assert.Assert(t, s.lists <= most, "%d lists of %d nodes", s.lists, len(nodes))
}

// Guards against calls to all nodes for each job, and against reads from the store at nodes that were not told who owns it.
func TestJobIsFoundEverywhereWithFewCalls(t *testing.T) {
	s := &countingStore{Store: memstore.New()}
	e := newEngine(t, 5, time.Millisecond)
	net, nodes := largeFleet(t, s, e)
	assert.NilError(t, nodes[0].Accept(context.Background(), submission("j", 3)))
	results := readAll(t, nodes[0].Controller, "j", 20*time.Second)
	net.mu.Lock()
	assert.Equal(t, net.calls["Jobs.Owned"], locators)
	net.mu.Unlock()
	for _, n := range nodes {
		assert.DeepEqual(t, readAll(t, n.Controller, "j", time.Second), results)
	}
	s.mu.Lock()
	assert.Equal(t, s.reads, 0)
	s.mu.Unlock()
	net.mu.Lock()
	defer net.mu.Unlock()
	assert.Assert(t, net.calls["Jobs.Locate"] <= len(nodes), "%d questions", net.calls["Jobs.Locate"])
}

// Guards against jobs of lost nodes that nobody takes over, because only the hub reads the heads: of a node that is lost with
// the hub, too.
func TestHubHandsOrphanedJobsToSuccessors(t *testing.T) {
	s, e := memstore.New(), newEngine(t, 40, 100*time.Millisecond)
	net, nodes := largeFleet(t, s, e)
	for n := range 6 {
		assert.NilError(t, nodes[n].Accept(context.Background(), submission(fmt.Sprint("j", n), 2)))
	}
	time.Sleep(1600 * time.Millisecond) // Members must be known for a while before others may be declared lost.
	for n := range 3 {                  // The first one is the hub.
		net.cutOff(nodes[n].fleet.Self().Name, false)
		nodes[n].stop()
	}
	for n := range 6 {
		checkResults(t, e, readAll(t, nodes[20].Controller, fmt.Sprint("j", n), 30*time.Second))
	}
}

// Guards against a node that goes on with jobs which were taken over while it was cut off, because it does not read the heads
// itself when the hub answers again.
func TestReturningNodeLeavesJobsThatWereTakenOver(t *testing.T) {
	s, e := memstore.New(), newEngine(t, 200, 100*time.Millisecond)
	net, nodes := largeFleet(t, s, e)
	owner := nodes[5]
	assert.NilError(t, owner.Accept(context.Background(), submission("j", 1)))
	time.Sleep(1600 * time.Millisecond)
	net.cutOff(owner.fleet.Self().Name, false)
	owned := func(among []*node) bool {
		return slices.ContainsFunc(among, func(n *node) bool { return n.ownedJob("j") != nil })
	}
	others := slices.Delete(slices.Clone(nodes), 5, 6)
	for until := time.Now().Add(10 * time.Second); !owned(others); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "nobody took the job over")
	}
	net.reconnect(owner.fleet.Self().Name)
	for until := time.Now().Add(2 * time.Second); owned(nodes[5:6]); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the former owner keeps the job")
	}
}

// Guards against sweeps by a node that has a hub, and against a node that never sweeps without one.
func TestSweeperDue(t *testing.T) {
	now := time.Unix(1000, 0)
	var s sweeper
	count := func(hub, covered, owns bool, during time.Duration) (n int) {
		for end := now.Add(during); now.Before(end); now = now.Add(checkInterval) {
			if s.due(hub, covered, owns, now) {
				n++
			}
		}
		return n
	}
	assert.Equal(t, count(false, false, false, uncoveredTime), 0, "no hub for a short time")
	assert.Equal(t, count(false, true, true, time.Minute), 0, "covered")
	assert.Equal(t, count(false, false, true, uncoveredTime-checkInterval), 0, "the hub is lost")
	assert.Equal(t, count(false, true, true, time.Minute), 1, "changes were missed meanwhile")
	assert.Equal(t, count(false, false, false, uncoveredTime-checkInterval), 0)
	assert.Equal(t, count(false, true, false, time.Minute), 0, "no jobs that could change")
	if n := count(false, false, true, 20*time.Second); n < 10 || n > 16 {
		t.Errorf("%d sweeps without a hub", n)
	}
	if n := count(true, false, true, 20*time.Second); n < 20 || n > 34 {
		t.Errorf("%d sweeps as the hub", n)
	}
}

// Guards against a job that nobody runs although it was confirmed: the store carried out the write of its head without an
// answer, the sender submitted it again at another node, and the node in the head, which is alive, does not know that the
// job is its own.
func TestJobWhoseHeadGotNoAnswerIsRun(t *testing.T) {
	s := &faultyStore{Store: memstore.New()}
	e := newEngine(t, 3, time.Millisecond)
	_, nodes := largeFleet(t, s, e)
	s.withLock(func() { s.seen, s.loseFirst = map[string]bool{chunkKey("k", 0): true}, true })
	ctx, cancel := context.WithTimeout(context.Background(), hedgeAfter/2) // The sender leaves before the second write.
	defer cancel()
	assert.ErrorIs(t, nodes[7].Accept(ctx, submission("k", 2)), ErrUnknown)
	s.withLock(func() { s.loseFirst = false })
	assert.NilError(t, nodes[9].Accept(context.Background(), submission("k", 2)))
	checkResults(t, e, readAll(t, nodes[12].Controller, "k", 10*time.Second))
}
