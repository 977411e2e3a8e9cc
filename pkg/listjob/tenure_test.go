package listjob

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// frozenOwner accepts jobs at a node, freezes it until others have taken them over and listed results, and wakes it.
func frozenOwner(t *testing.T) (owner *node, ownEngine *engine) {
	s, net := memstore.New(), newNetwork()
	ownEngine, fast := newEngine(t, 1000, 20*time.Millisecond), newEngine(t, 3, time.Millisecond)
	other := net.addNode(t, s, fast, "a", "b", "c")
	owner = net.addNode(t, s, ownEngine, "b", "a", "c")
	net.addNode(t, s, fast, "c", "a", "b")
	time.Sleep(1600 * time.Millisecond) // Members must be known for a while before others may be declared lost.
	for n := range 4 {
		assert.NilError(t, owner.Accept(context.Background(), submission(fmt.Sprint("j", n), 2)))
	}
	time.Sleep(100 * time.Millisecond)
	wake := net.freeze("b")
	thawed := time.After(4 * time.Second) // The others have tried to tell the node by then.
	for n := range 4 {
		readAll(t, other.Controller, fmt.Sprint("j", n), 15*time.Second)
	}
	<-thawed
	wake()
	return owner, ownEngine
}

// Guards against a node that answers, after it was frozen, from what it knew of its jobs before: others had taken them over, and
// callers had read results there that this node said it does not have. It was told so only while it was frozen.
func TestFrozenOwnerDoesNotAnswerFromItsMemory(t *testing.T) {
	owner, _ := frozenOwner(t)
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for n := range 4 {
			l, err := owner.Read(context.Background(), fmt.Sprint("j", n), 0, 0)
			assert.NilError(t, err)
			assert.Equal(t, len(l.Results), 2)
		}
	}
}

// Guards against a node that goes on running items, after it was frozen, of jobs that others have taken over or that were ended
// meanwhile.
func TestFrozenOwnerGivesItsJobsUp(t *testing.T) {
	owner, e := frozenOwner(t)
	for until := time.Now().Add(time.Second); len(owner.ownedJobs()) > 0; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%d jobs are still the node's own", len(owner.ownedJobs()))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, runs := range e.runs {
		assert.Equal(t, runs, 1, id)
	}
}

// Guards against a node that acts on a job before it has found out that it was frozen: the first thing that it does is to look for
// items to start.
func TestFrozenOwnerStartsNoItems(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	owner := net.addNode(t, s, e, "b", "a")
	net.addNode(t, s, e, "a", "b")
	time.Sleep(300 * time.Millisecond)
	j := newJob(head{ID: "j", Host: testHost, Path: "/b/j", Total: 1, Submitted: time.Now(), Owner: "b", Incarnation: 1}, 1, submission("j", 1).Items)
	j.items[0].notBefore = time.Now().Add(4 * time.Second)
	owner.setCreating("j", true)
	owner.startJob(j)
	owner.setCreating("j", false)
	assert.Assert(t, owner.ownership().mayRun(j))
	wake := net.freeze("b")
	time.Sleep(5 * time.Second)
	assert.Equal(t, len(owner.waitingItems(testTable(), time.Now())), 0)
	wake()
}

// Guards against a job whose new owner is not told of results that earlier owners list, because the owner before it was an earlier
// process of the same node.
func TestRestartedOwnerExpectsEarlierOwners(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	h, revision, err := a.readHead(context.Background(), "j")
	assert.NilError(t, err)
	time.Sleep(1600 * time.Millisecond) // The nodes know each other.
	before := a.ownedJob("j")
	h.Owner, h.Incarnation, h.TakenOver = "b", 0, time.Now() // The process of b before this one had taken the job over.
	_, err = a.putHead(context.Background(), h, revision)
	assert.NilError(t, err)
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	assert.NilError(t, a.writeEntry(before, 0, entry{Node: "a", Results: []Result{{ID: "j-item1", State: Completed, Text: "listed by a"}}}))
	l, err := b.Read(context.Background(), "j", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Results), 1)
}

// Guards against calls to the store for each read of a job that no other node has owned, because its owner was restarted: after a
// restart of all nodes that doubled the calls of a day.
func TestRestartedOwnerReadsItsLogOnce(t *testing.T) {
	s, net, e := &countingStore{Store: memstore.New()}, newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	b := net.addNode(t, s, e, "b", "a")
	net.addNode(t, s, e, "a", "b")
	time.Sleep(2500 * time.Millisecond) // The nodes know each other, and the first sweeps are over.
	items, err := json.Marshal(submission("j", 2).Items)
	assert.NilError(t, err)
	_, err = s.Put(context.Background(), chunkKey("j", 0), items, store.CreateOnly)
	assert.NilError(t, err)
	value, err := json.Marshal(head{ID: "j", Host: testHost, Path: "/b/j", Total: 2, Chunks: 1, Submitted: time.Now(), Owner: "b"})
	assert.NilError(t, err)
	_, err = s.Put(context.Background(), headKind+"j", value, store.CreateOnly)
	assert.NilError(t, err)
	for until := time.Now().Add(3 * time.Second); b.ownedJob("j") == nil; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until))
	}
	s.mu.Lock()
	before := s.logReads
	s.mu.Unlock()
	for range 10 {
		_, err := b.Read(context.Background(), "j", 0, 0)
		assert.NilError(t, err)
		time.Sleep(200 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, s.logReads, before)
}

// Guards against a job that nobody runs, because the node that owns it by the store, which does not know that, is the hub itself.
func TestHubResumesAJobThatItDoesNotKnow(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, b.Accept(context.Background(), submission("j", 2)))
	checkResults(t, e, readAll(t, b.Controller, "j", 10*time.Second))
	h, revision, err := b.readHead(context.Background(), "j")
	assert.NilError(t, err)
	h.Owner = "a"
	_, err = b.putHead(context.Background(), h, revision)
	assert.NilError(t, err)
	a := net.addNode(t, s, e, "a", "b")
	for until := time.Now().Add(3 * time.Second); a.ownedJob("j") == nil; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the hub does not run its job")
	}
}

// Guards against an owner that takes a job from a live node, because it learns late that it owned the job before.
func TestLateNewsDoNotTakeAJobFromItsOwner(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	h, revision, err := a.readHead(context.Background(), "j")
	assert.NilError(t, err)
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	for until := time.Now().Add(2 * time.Second); a.ownedJob("j") != nil; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until))
	}
	a.compareOwned(ownedIn(h, revision))
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, a.ownedJob("j") == nil && b.ownedJob("j") != nil)
}

// Guards against a former owner of an earlier build, which does not look by itself, that goes on because the one call that tells it
// got no answer.
func TestFormerOwnerIsToldUntilItAnswers(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	net.withoutCheck = true
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	a.stop()
	time.Sleep(2 * checkInterval) // What node a had begun ends.
	net.cutOff("a", true)
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	time.Sleep(2 * sweepCallTimeout)
	assert.Assert(t, a.ownedJob("j") != nil)
	net.reconnect("a")
	for until := time.Now().Add(2 * time.Second); a.ownedJob("j") != nil; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the former owner goes on")
	}
}

// Guards against a node that believes to have owned a job since a later time than it has compared it with the store, because a second
// submission of it arrived while the first one created it.
func TestJobIsOwnedSinceItsFirstAttempt(t *testing.T) {
	a := newNetwork().addNode(t, memstore.New(), newEngine(t, 3, time.Millisecond), "a")
	a.setCreating("j", true)
	first := time.Now()
	time.Sleep(20 * time.Millisecond)
	a.setCreating("j", true)
	j := newJob(head{ID: "j", Host: testHost, Path: "/b/j", Total: 1, Submitted: time.Now(), Owner: "a", Incarnation: 1, Ended: true}, 1, submission("j", 1).Items)
	a.startJob(j)
	assert.Assert(t, !j.ownedAt.After(first), "%v later", j.ownedAt.Sub(first))
	a.setCreating("j", false)
	a.setCreating("j", false)
	a.setCreating("j", true)
	assert.Assert(t, a.creating["j"].begun.After(first), "an attempt that ended counts")
	a.setCreating("j", false)
}
