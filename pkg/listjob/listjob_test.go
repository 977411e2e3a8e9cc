package listjob

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/controller/fleet"
)

// Guards against results that miss events, stand twice or differ between nodes.
func TestJobRunsOnceAndReadsTheSameEverywhere(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 20, time.Millisecond)
	a := net.add(t, s, e, "a", "b")
	b := net.add(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 10)))
	results := readAll(t, a.Controller, "j", 20*time.Second)
	checkWhole(t, e, results)
	assert.DeepEqual(t, readAll(t, b.Controller, "j", time.Second), results)
}

// Guards against a job that is accepted a second time when its sender repeats it at another node.
func TestRepeatedSubmissionIsTheSameJob(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 5, time.Millisecond)
	a := net.add(t, s, e, "a", "b")
	b := net.add(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 3)))
	assert.NilError(t, b.Accept(context.Background(), submission("j", 3)))
	checkWhole(t, e, readAll(t, b.Controller, "j", 20*time.Second))
	assert.Equal(t, len(e.runs), 3)
	for id, runs := range e.runs {
		assert.Equal(t, runs, 1, id)
	}
}

// Guards against a text that repeats or lacks events when a run breaks in the middle of one.
func TestBrokenRunGoesOnAfterTheLastWholeEvent(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 12, time.Millisecond)
	e.breakAt = 7
	a := net.add(t, s, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 4)))
	checkWhole(t, e, readAll(t, a.Controller, "j", 20*time.Second))
}

// Guards against an answer that lacks what the previous owner listed when it came back from a cut, if nobody read the job until it
// was no longer contested: on a day with cuts a client had read seven results, and none was there at the end.
func TestLogIsReadOnceMoreAfterAContest(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 20*time.Millisecond)
	a := net.add(t, s, e, "a", "b")
	b := net.add(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	value, err := json.Marshal(entry{Node: "a", Results: []Result{{ID: "j-item1", State: Completed, Text: "listed by a"}}})
	assert.NilError(t, err)
	_, err = s.Put(context.Background(), entryKey("j", 0), value, store.CreateOnly)
	assert.NilError(t, err)
	assert.NilError(t, b.End(context.Background(), "j"))
	j := b.owned("j")
	j.mu.Lock()
	j.contested = time.Now()
	j.mu.Unlock()
	l, err := b.Read(context.Background(), "j", 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(l.Results), 1)
}

// Guards against a job that a stopping node turns away although others have room: with all nodes restarted in turn, a fifth of the
// items was late, since their jobs were accepted only at the second attempt.
func TestStoppingNodeHasJobsAcceptedElsewhere(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	a := net.add(t, s, e, "a", "b")
	b := net.add(t, s, e, "b", "a")
	a.HandOn(context.Background())
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	assert.Assert(t, b.owned("j") != nil)
	b.HandOn(context.Background())
	assert.ErrorIs(t, a.Accept(context.Background(), submission("k", 2)), ErrRefused)
}

// Guards against a job that is handed to a node which stops too, and rests there.
func TestJobIsHandedToANodeThatStays(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 40, 10*time.Millisecond)
	a := net.add(t, s, e, "a", "b", "c")
	b := net.add(t, s, e, "b", "a", "c")
	c := net.add(t, s, e, "c", "a", "b")
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		assert.NilError(t, a.Accept(context.Background(), submission(id, 1)))
	}
	b.HandOn(context.Background())
	a.HandOn(context.Background())
	for _, id := range []string{"j1", "j2", "j3", "j4"} {
		assert.Assert(t, c.owned(id) != nil, id)
	}
}

// Guards against an item that is given up too early or too late: after as many answers of 500 as the route allows, and at
// once after 422.
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
	a := net.add(t, s, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 4)))
	states := map[string]State{}
	for _, r := range readAll(t, a.Controller, "j", 20*time.Second) {
		states[r.ID] = r.State
	}
	assert.DeepEqual(t, states, map[string]State{"j-item0": Failed, "j-item1": Failed, "j-item2": Completed, "j-item3": Completed})
	assert.Equal(t, e.runs["j-item0"], 3)
	assert.Equal(t, e.runs["j-item1"], 1)
}

// Guards against a finished item that loses its text when its node stops before it is listed: mix days showed results that
// held only what came after the hand-over.
func TestHandOverKeepsFinishedAndPartialItems(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 30, 10*time.Millisecond)
	a := net.add(t, s, e, "a", "b")
	b := net.add(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 8)))
	time.Sleep(330 * time.Millisecond)
	a.HandOn(context.Background())
	checkWhole(t, e, readAll(t, b.Controller, "j", 20*time.Second))
}

// Guards against a job that nobody runs when its node is lost, and against the loss of what was listed.
func TestOrphanedJobIsTakenOver(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 40, 10*time.Millisecond)
	a := net.add(t, s, e, "a", "b")
	b := net.add(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 6)))
	time.Sleep(100 * time.Millisecond)
	a.stop()
	net.cutOff("a", false)
	checkWhole(t, e, readAll(t, b.Controller, "j", 30*time.Second))
}

// Guards against open jobs that rest for seconds after all nodes were restarted at once: each goes on with the jobs that it ran
// before, although it can't know yet whether other nodes are lost.
func TestRestartedNodeGoesOnWithItsJobs(t *testing.T) {
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
	a := net.add(t, s, e, "a", "b")
	time.Sleep(2 * firstSweepEvery)
	assert.Assert(t, a.owned("j") != nil)
	checkWhole(t, e, readAll(t, a.Controller, "j", 20*time.Second))
}

// Guards against an answer from memory that lacks a position which another owner has listed: in a hunt a node that was cut
// off went on answering for a job that another one had taken over.
func TestFormerOwnerReadsWhatItsSuccessorListed(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	slow := newEngine(t, 1000, 20*time.Millisecond)
	a := net.add(t, s, slow, "a", "b")
	b := net.add(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	net.cutOff("a", false)
	// A node is taken for lost after 1.3 s of silence; by then it knows for itself that no hub hears it.
	time.Sleep(1300 * time.Millisecond)
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	results := readAll(t, b.Controller, "j", 20*time.Second)
	l, err := a.Read(context.Background(), "j", 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, l.Results, results)
}

// Guards against an answer of a new owner that lacks what the former one, which only seemed lost, listed meanwhile: on a
// grown site four results had been read and there was none at position 0.
func TestNewOwnerReadsWhatItsPredecessorListed(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	slow := newEngine(t, 1000, 20*time.Millisecond)
	a := net.add(t, s, e, "a", "b")
	b := net.add(t, s, slow, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	net.cutOff("a", true)
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	results := readAll(t, a.Controller, "j", 10*time.Second)
	l, err := b.Read(context.Background(), "j", 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, l.Results, results)
}

// Guards against an ended job whose new owner lacks what the former one had listed: in a hunt on a grown site a result that
// had been read was gone after the end (owner-cut --seed 495838298900).
func TestEndedJobKeepsWhatAnotherOwnerListed(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	slow := newEngine(t, 1000, 20*time.Millisecond)
	e.fail = func(id string, _ int) int {
		if id == "j-item1" {
			return http.StatusServiceUnavailable
		}
		return 0
	}
	a := net.add(t, s, e, "a", "b")
	b := net.add(t, s, slow, "b", "a")
	// After its first sweeps a reads the heads seldom enough to list a result before it hears of b.
	time.Sleep(firstSweeps * firstSweepEvery * 5 / 4)
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
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

// Guards against a node that takes jobs of living nodes over because it does not know the members yet: after a start while
// the store was away a node took all jobs over, whose owners went on listing results.
func TestNodeThatKnowsNobodyTakesNothingOver(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 400, 10*time.Millisecond)
	a := net.add(t, s, e, "a")
	b := net.add(t, s, e, "b")
	b.stop()
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	time.Sleep(100 * time.Millisecond)
	for range 3 {
		h, revision, err := b.readHead(context.Background(), "j")
		assert.NilError(t, err)
		c := fleet.New(s, fleet.Member{Name: "c", Incarnation: 1, Weight: 1}, b.o.Log)
		b.o.Fleet = c
		b.inspect(context.Background(), h, revision)
		time.Sleep(50 * time.Millisecond)
		h, _, err = b.readHead(context.Background(), "j")
		assert.NilError(t, err)
		assert.Equal(t, h.Owner, "a")
	}
}

// Guards against runs of a job whose end was confirmed, by the node that runs it and by any other.
func TestEndedJobStops(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.add(t, s, e, "a", "b")
	b := net.add(t, s, e, "b", "a")
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

// Guards against a 404 for a job that exists, and against any other answer for one that does not.
func TestUnknownJob(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	a := net.add(t, s, e, "a")
	_, err := a.Read(context.Background(), "none", 0, 0)
	assert.ErrorIs(t, err, ErrNotFound)
	assert.ErrorIs(t, a.End(context.Background(), "none"), ErrNotFound)
	_, err = a.Body(context.Background(), "none", "x")
	assert.ErrorIs(t, err, ErrNotFound)
}

// Guards against a body that can't be read back while its item is not listed.
func TestBodyIsReadBack(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.add(t, s, e, "a", "b")
	b := net.add(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	for _, c := range []*Controller{a.Controller, b.Controller} {
		body, err := c.Body(context.Background(), "j", "j-item1")
		assert.NilError(t, err)
		assert.Equal(t, string(body), "body 1")
	}
}

// downStore refuses all writes.
type downStore struct{ store.Store }

func (downStore) Put(context.Context, string, []byte, int64) (int64, error) {
	return 0, store.ErrUnavailable
}

// Guards against a refusal that is not true: without its head in the store, no item of a job may run.
func TestRefusedJobDoesNotRun(t *testing.T) {
	net, e := newNetwork(), newEngine(t, 3, time.Millisecond)
	a := net.add(t, downStore{memstore.New()}, e, "a")
	assert.ErrorIs(t, a.Accept(context.Background(), submission("j", 2)), ErrRefused)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, len(e.runs), 0)
}

// Guards against a chunk beyond the size of a value, and against items that get lost between chunks.
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
