package listjob

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/decision/failedruns"
)

// Guards against runs that stall but never end, because a byte arrives now and then.
func TestStalledRunWithBytesNowAndThenEnds(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 12, time.Millisecond)
	e.stallAt = 7
	a := net.addNode(t, s, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	checkResults(t, e, readAll(t, a.Controller, "j", 10*time.Second))
}

// Guards against runs of a slow but sound engine that are cut again and again: each cut costs a pause, a place in a queue and
// the reading of the prompt.
func TestRunsOfSlowEngineAreNotCut(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 8, time.Second)
	a := net.addNode(t, s, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 1)))
	checkResults(t, e, readAll(t, a.Controller, "j", 30*time.Second))
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Assert(t, e.runs["j-item0"] <= 2, "%d runs", e.runs["j-item0"])
}

// Guards against results that lack events, are listed twice or differ between nodes.
func TestJobRunsOnceAndReadsTheSameEverywhere(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 20, time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 10)))
	results := readAll(t, a.Controller, "j", 20*time.Second)
	checkResults(t, e, results)
	assert.DeepEqual(t, readAll(t, b.Controller, "j", time.Second), results)
}

// Guards against accepting a job twice when its sender submits it again at another node.
func TestRepeatedSubmissionIsTheSameJob(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 5, time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 3)))
	assert.NilError(t, b.Accept(context.Background(), submission("j", 3)))
	checkResults(t, e, readAll(t, b.Controller, "j", 20*time.Second))
	assert.Equal(t, len(e.runs), 3)
	for id, runs := range e.runs {
		assert.Equal(t, runs, 1, id)
	}
}

// Guards against an output that repeats or lacks events when a run breaks off in the middle of an event.
func TestBrokenRunContinuesAfterLastCompleteEvent(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 12, time.Millisecond)
	e.breakAt = 7
	a := net.addNode(t, s, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 4)))
	checkResults(t, e, readAll(t, a.Controller, "j", 20*time.Second))
}

// takenOverJob returns the owner of job j, which it has taken over from node a. listByA lists a result as a would, which does not know that yet.
func takenOverJob(t *testing.T) (b *node, listByA func() error) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 20*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b = net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	value, err := json.Marshal(entry{Node: "a", Results: []Result{{ID: "j-item1", State: Completed, Text: "listed by a"}}})
	assert.NilError(t, err)
	return b, func() error {
		_, err := s.Put(context.Background(), entryKey("j", 0), value, store.CreateOnly)
		return err
	}
}

// Guards against a read without the results that the previous owner listed after a network partition healed, when
// nobody read the job until the contest period was over. A client had read seven results, none of which could be
// read at the end.
func TestLogIsReadOnceAfterContestPeriod(t *testing.T) {
	b, listByA := takenOverJob(t)
	assert.NilError(t, listByA())
	assert.NilError(t, b.End(context.Background(), "j"))
	j := b.ownedJob("j")
	j.mu.Lock()
	j.contestedUntil = time.Now()
	j.mu.Unlock()
	l, err := b.Read(context.Background(), "j", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Results), 1)
}

// Guards against a read that waits at the new owner of a job and ends without the results that its predecessor listed meanwhile: the store
// may carry out a write seconds after its caller was lost.
func TestWaitingReadEndsWithWhatAnotherOwnerListed(t *testing.T) {
	b, listByA := takenOverJob(t)
	time.AfterFunc(300*time.Millisecond, func() { assert.Check(t, listByA()) })
	l, err := b.Read(context.Background(), "j", 0, 1500*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Results), 1)
}

// Guards against a stopping node that refuses a job although other nodes have capacity. With all nodes restarted in
// turn, a fifth of the items were late because their jobs were accepted only at the second attempt.
func TestStoppingNodeHasJobsAcceptedElsewhere(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	a.HandOver(context.Background())
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	assert.Assert(t, b.ownedJob("j") != nil)
	b.HandOver(context.Background())
	assert.ErrorIs(t, a.Accept(context.Background(), submission("k", 2)), ErrRefused)
}

// Guards against handing a job to a node that is stopping too, where nobody would run it.
func TestJobIsHandedToANodeThatIsNotStopping(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 40, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b", "c")
	b := net.addNode(t, s, e, "b", "a", "c")
	c := net.addNode(t, s, e, "c", "a", "b")
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		assert.NilError(t, a.Accept(context.Background(), submission(id, 1)))
	}
	b.HandOver(context.Background())
	a.HandOver(context.Background())
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		assert.Assert(t, c.ownedJob(id) != nil, id)
	}
}

// Guards against an item that fails too early or too late: it must fail after as many responses with status 500 as
// the route allows, and at once after 422.
func TestItemsThatFail(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 5, time.Millisecond)
	e.fail = func(id string, run int) int {
		switch {
		case id == "j-item0":
			return http.StatusInternalServerError
		case id == "j-item1":
			return http.StatusUnprocessableEntity
		case id == "j-item2" && run < 3:
			return http.StatusInternalServerError
		}
		return 0
	}
	a := net.addNode(t, s, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 4)))
	states := map[string]State{}
	for _, r := range readAll(t, a.Controller, "j", 20*time.Second) {
		states[r.ID] = r.State
	}
	assert.DeepEqual(t, states, map[string]State{"j-item0": Failed, "j-item1": Failed, "j-item2": Completed, "j-item3": Completed})
	assert.Equal(t, e.runs["j-item0"], 3)
	assert.Equal(t, e.runs["j-item1"], 1)
}

// Guards against an item whose failed runs at earlier owners of its job do not count, because these owners were killed:
// each new owner ran it as often as the route allows.
func TestFailedRunsOfEarlierOwnersCount(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 5, time.Millisecond)
	e.fail = func(id string, _ int) int {
		if id == "j-item0" || id == "j-item1" {
			return http.StatusInternalServerError
		}
		return 0
	}
	ctx := context.Background()
	for range 2 {
		net.failedRuns.Failed(ctx, "j/j-item0", failedruns.Errored, "u1")
	}
	net.failedRuns.Failed(ctx, "j/j-item1", failedruns.Rejected, "u1")
	a := net.addNode(t, s, e, "a")
	assert.NilError(t, a.Accept(ctx, submission("j", 3)))
	states := map[string]State{}
	for _, r := range readAll(t, a.Controller, "j", 20*time.Second) {
		states[r.ID] = r.State
	}
	assert.DeepEqual(t, states, map[string]State{"j-item0": Failed, "j-item1": Failed, "j-item2": Completed})
	assert.Equal(t, e.runs["j-item0"], 1)
	assert.Equal(t, e.runs["j-item1"], 0)
}

// Guards against a finished item that loses its text when its node stops before the item is listed: results then
// contained only what came after the handover.
func TestHandOverKeepsFinishedAndPartialItems(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 30, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 8)))
	time.Sleep(330 * time.Millisecond)
	a.HandOver(context.Background())
	checkResults(t, e, readAll(t, b.Controller, "j", 20*time.Second))
}

// Guards against a job that nobody runs after its node is lost, and against the loss of listed results.
func TestOrphanedJobIsTakenOver(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 40, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 6)))
	time.Sleep(100 * time.Millisecond)
	a.stop()
	net.cutOff("a", false)
	checkResults(t, e, readAll(t, b.Controller, "j", 30*time.Second))
}

// Guards against open jobs that wait for seconds after all nodes were restarted at once: each node must resume the
// jobs that it ran before, although it can't know yet whether other nodes are lost.
func TestRestartedNodeResumesItsJobs(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	before := head{ID: "j", Host: testHost, Path: "/b/j", Total: 2, Chunks: 1, Submitted: time.Now(), Owner: "a", Incarnation: 7}
	items, err := json.Marshal(submission("j", 2).Items)
	assert.NilError(t, err)
	_, err = s.Put(context.Background(), chunkKey("j", 0), items, store.CreateOnly)
	assert.NilError(t, err)
	value, err := json.Marshal(before)
	assert.NilError(t, err)
	_, err = s.Put(context.Background(), headKind+"j", value, store.CreateOnly)
	assert.NilError(t, err)
	a := net.addNode(t, s, e, "a", "b")
	time.Sleep(2 * firstSweepInterval)
	assert.Assert(t, a.ownedJob("j") != nil)
	checkResults(t, e, readAll(t, a.Controller, "j", 20*time.Second))
}

// Guards against a read from memory that lacks a result which another owner has listed: a node that was cut off
// kept answering for a job that another node had taken over.
func TestFormerOwnerReadsWhatItsSuccessorListed(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	slow := newEngine(t, 1000, 20*time.Millisecond)
	a := net.addNode(t, s, slow, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	net.cutOff("a", false)
	// A node counts as lost after 1.3 s without a report; by then it has also noticed that it gets no hub reports.
	time.Sleep(1300 * time.Millisecond)
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	results := readAll(t, b.Controller, "j", 20*time.Second)
	l, err := a.Read(context.Background(), "j", 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, l.Results, results)
}

// Guards against a read at a new owner that lacks what the former owner, which only seemed lost, listed meanwhile: on
// a large deployment four results had been read and then position 0 was empty.
func TestNewOwnerReadsWhatItsPredecessorListed(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	slow := newEngine(t, 1000, 20*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, slow, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	net.cutOff("a", true)
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	results := readAll(t, a.Controller, "j", 10*time.Second)
	l, err := b.Read(context.Background(), "j", 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, l.Results, results)
}

// Guards against an ended job whose new owner lacks results that the former owner had listed: on a large deployment a
// result that had been read was gone after the end (owner-cut --seed 495838298900).
func TestEndedJobKeepsWhatAnotherOwnerListed(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	slow := newEngine(t, 1000, 20*time.Millisecond)
	e.fail = func(id string, _ int) int {
		if id == "j-item1" {
			return http.StatusServiceUnavailable
		}
		return 0
	}
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, slow, "b", "a")
	// After its first sweeps node a reads the heads rarely enough to list a result before it learns of b.
	time.Sleep(firstSweeps * firstSweepInterval * 5 / 4)
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	// A job that is due soon is listed before a reads the heads itself.
	j := a.ownedJob("j")
	j.times.Store(&jobTimes{due: time.Now().Add(urgentSlack), retryUntil: j.retryUntil(), fromRoute: true})
	net.cutOff("a", true)
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	var results []Result
	for until := time.Now().Add(10 * time.Second); len(results) == 0; {
		assert.Assert(t, time.Now().Before(until))
		l, err := a.Read(context.Background(), "j", 0, 200*time.Millisecond)
		assert.NilError(t, err)
		results = l.Results
	}
	assert.NilError(t, b.End(context.Background(), "j"))
	l, err := b.Read(context.Background(), "j", 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, l.Results, results)
}

// Guards against a node that takes over jobs of live nodes because it does not know the members yet: a node that
// started while the store was down took over all jobs while their owners continued to list results.
func TestNodeWithoutMembersTakesOverNoJobs(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 400, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a")
	b := net.addNode(t, s, e, "b")
	b.stop()
	<-b.done // It reads its fleet, which the test replaces.
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	time.Sleep(100 * time.Millisecond)
	for range 3 {
		h, revision, err := b.readHead(context.Background(), "j")
		assert.NilError(t, err)
		c := fleet.New(s, fleet.Member{Name: "c", Incarnation: 1, Weight: 1}, b.options.Log)
		b.options.Fleet = c
		b.checkHead(context.Background(), h, revision)
		time.Sleep(50 * time.Millisecond)
		h, _, err = b.readHead(context.Background(), "j")
		assert.NilError(t, err)
		assert.Equal(t, h.Owner, "a")
	}
}

// Guards against runs of a job whose end was confirmed, whether by its owner or by another node.
func TestEndedJobStops(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 4)))
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, b.End(context.Background(), "j"))
	assert.NilError(t, b.End(context.Background(), "j"))
	deadline := time.Now().Add(3 * time.Second)
	for {
		a.mu.Lock()
		j := a.jobs["j"]
		a.mu.Unlock()
		j.mu.Lock()
		ended := j.head.Ended
		j.mu.Unlock()
		if ended {
			break
		}
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(10 * time.Millisecond)
	}
	l, err := b.Read(context.Background(), "j", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, l.Total, 4)
}

// Guards against any error other than ErrNotFound for a job that does not exist.
func TestUnknownJob(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	a := net.addNode(t, s, e, "a")
	_, err := a.Read(context.Background(), "none", 0, 0)
	assert.ErrorIs(t, err, ErrNotFound)
	assert.ErrorIs(t, a.End(context.Background(), "none"), ErrNotFound)
	_, err = a.Body(context.Background(), "none", "x")
	assert.ErrorIs(t, err, ErrNotFound)
}

// Guards against a body that can't be read while its item is not listed.
func TestBodyIsReadBack(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	for _, c := range []*Controller{a.Controller, b.Controller} {
		body, err := c.Body(context.Background(), "j", "j-item1")
		assert.NilError(t, err)
		assert.Equal(t, string(body), "body 1")
	}
}

// downStore fails all writes.
type downStore struct{ store.Store }

func (downStore) Put(context.Context, string, []byte, int64) (int64, error) {
	return 0, store.ErrUnavailable
}

// Guards against a refused job that runs: without its head in the store, no item of a job may run.
func TestRefusedJobDoesNotRun(t *testing.T) {
	net, e := newNetwork(), newEngine(t, 3, time.Millisecond)
	a := net.addNode(t, downStore{memstore.New()}, e, "a")
	assert.ErrorIs(t, a.Accept(context.Background(), submission("j", 2)), ErrRefused)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, len(e.runs), 0)
}

// Guards against a chunk larger than a value of the store may be, and against items lost between chunks.
func TestChunksKeepAllItems(t *testing.T) {
	var items []Item
	for n := range 24 {
		items = append(items, Item{ID: string(rune('a' + n)), Body: make([]byte, 530_000)})
	}
	var got []Item
	for _, part := range chunks(items) {
		size := 0
		for _, it := range part {
			size += len(it.Body)
		}
		assert.Assert(t, size*4/3 < store.MaxValueBytes)
		got = append(got, part...)
	}
	assert.Equal(t, len(got), len(items))
}

// Guards against an item that is not run again, although all is calm and upstreams have room, because several upstreams
// crashed while they ran it: its pause grew with each burst of crashes.
func TestItemRunsSoonAfterBurstsOfCrashes(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	sub := submission("j", 1)
	var records []failedruns.Record
	crashed := func(work, upstream string, burst int) {
		records = append(records, failedruns.Record{Work: work, Run: fmt.Sprint(work, upstream, burst), Kind: failedruns.Crashed, Upstream: upstream,
			Incarnation: int64(burst), Age: time.Duration(4-burst) * 15 * time.Second})
	}
	item := newRequest(head{Host: testHost}, &sub.Items[0]).Fingerprint()
	for burst := 1; burst <= 4; burst++ {
		crashed(item, "u0", burst)
		for u := range 4 {
			crashed(fmt.Sprint("other", u, burst), fmt.Sprint("u", u), burst)
		}
	}
	net.failedRuns.Merge("other", records)
	a := net.addNode(t, s, e, "a")
	began := time.Now()
	assert.NilError(t, a.Accept(context.Background(), sub))
	checkResults(t, e, readAll(t, a.Controller, "j", 5*time.Second))
	t.Log("done after", time.Since(began))
}
