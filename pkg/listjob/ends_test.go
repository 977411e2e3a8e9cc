package listjob

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// gatedStore lets calls wait: reads of items until itemsGate is closed, and the writes of a head after the first one, whose answer
// is lost, until headGate is closed. Writes of heads fail while refuseHeads is set. Calls fail when their context ends.
type gatedStore struct {
	store.Store
	itemsGate, headGate chan struct{}
	// endGate, if set, delays the writes of heads after the first one until it is closed.
	endGate     chan struct{}
	mu          sync.Mutex
	headWrites  int
	refuseHeads bool
}

func (s *gatedStore) Get(ctx context.Context, key string) (store.Object, error) {
	if s.itemsGate != nil && strings.HasPrefix(key, itemsKind) {
		<-s.itemsGate
	}
	if ctx.Err() != nil {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *gatedStore) Put(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	isHead := strings.HasPrefix(key, headKind)
	s.mu.Lock()
	if isHead {
		s.headWrites++
	}
	first, refuse := s.headWrites == 1, isHead && s.refuseHeads
	s.mu.Unlock()
	if isHead && !first && s.endGate != nil {
		<-s.endGate
	}
	switch {
	case refuse, ctx.Err() != nil:
		return 0, store.ErrUnavailable
	case isHead && s.headGate != nil && first:
		_, err := s.Store.Put(ctx, key, value, revision)
		<-ctx.Done()
		return 0, errors.Join(store.ErrUnknown, err)
	case isHead && s.headGate != nil:
		<-s.headGate
	}
	return s.Store.Put(ctx, key, value, revision)
}

func (s *gatedStore) setRefuseHeads(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseHeads = refuse
}

func (e *engine) totalRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for _, n := range e.runs {
		sum += n
	}
	return sum
}

// awaitHead waits until the stored head of a job satisfies a condition.
func awaitHead(t *testing.T, s store.Store, id string, within time.Duration, ok func(head) bool) {
	t.Helper()
	for until := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		if o, err := s.Get(context.Background(), headKind+id); err == nil {
			h, err := decodeHead(o)
			assert.NilError(t, err)
			if ok(h) {
				return
			}
		}
		assert.Assert(t, time.Now().Before(until), "the head of job %s is not as expected after %v", id, within)
	}
}

// Guards against items of an ended job that run at a node which takes the job over while it is ended: the node is told before it
// owns the job in memory.
func TestJobEndedDuringATakeoverDoesNotRun(t *testing.T) {
	s, net := memstore.New(), newNetwork()
	first, second := newEngine(t, 1000, 10*time.Millisecond), newEngine(t, 3, time.Millisecond)
	gated := &gatedStore{Store: s, itemsGate: make(chan struct{})}
	a := net.addNode(t, s, first, "a", "b", "c")
	b := net.addNode(t, gated, second, "b", "a", "c")
	c := net.addNode(t, s, first, "c", "a", "b")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	adopted := make(chan error, 1)
	go func() { adopted <- b.adopt(context.Background(), "j", nil) }()
	awaitHead(t, s, "j", time.Second, func(h head) bool { return h.Owner == "b" })
	assert.NilError(t, c.End(context.Background(), "j"))
	time.Sleep(50 * time.Millisecond) // The owner is told.
	close(gated.itemsGate)
	assert.NilError(t, <-adopted)
	time.Sleep(2 * scheduleInterval)
	assert.Equal(t, second.totalRuns(), 0)
}

// Guards against items of an ended job that run at the node that created it, since the answer to the write of its head was lost and
// the job was confirmed at another node, and ended, before the creator read the head back.
func TestJobEndedWhileItsCreatorAwaitsAnAnswerDoesNotRun(t *testing.T) {
	s, net := memstore.New(), newNetwork()
	own, other := newEngine(t, 3, time.Millisecond), newEngine(t, 3, time.Millisecond)
	gated := &gatedStore{Store: s, headGate: make(chan struct{})}
	a := net.addNode(t, gated, own, "a", "b")
	b := net.addNode(t, s, other, "b", "a")
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	created := make(chan error, 1)
	go func() { created <- a.Accept(ctx, submission("j", 2)) }()
	awaitHead(t, s, "j", time.Second, func(head) bool { return true })
	assert.NilError(t, b.Accept(context.Background(), submission("j", 2)))
	assert.NilError(t, b.End(context.Background(), "j"))
	time.Sleep(50 * time.Millisecond) // The owner is told.
	close(gated.headGate)
	assert.NilError(t, <-created)
	time.Sleep(2 * scheduleInterval)
	assert.Equal(t, own.totalRuns(), 0)
}

// Guards against items of an ended job that run at its owner by the store, since it resumes the job from a list that is older than
// the end.
func TestOldHeadOfAnOwnJobIsReadAgain(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	a := net.addNode(t, s, e, "a")
	items, err := json.Marshal(submission("j", 2).Items)
	assert.NilError(t, err)
	_, err = s.Put(context.Background(), chunkKey("j", 0), items, store.CreateOnly)
	assert.NilError(t, err)
	old := head{ID: "j", Host: testHost, Path: "/b/j", Total: 2, Chunks: 1, Submitted: time.Now(), Owner: "a", Incarnation: 1}
	ended := old
	ended.Ended = true
	value, err := json.Marshal(ended)
	assert.NilError(t, err)
	revision, err := s.Put(context.Background(), headKind+"j", value, store.CreateOnly)
	assert.NilError(t, err)
	j, _, err := a.takeOwnership(context.Background(), "j", &sweptHead{old, revision - 1})
	assert.NilError(t, err)
	assert.Assert(t, !j.isOpen(), "items of an ended job may run")
}

// Guards against a node that takes a job from its owner, since an old list names the node itself as the owner.
func TestOldHeadTakesNoJobFromItsOwner(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	h, revision, err := a.readHead(context.Background(), "j")
	assert.NilError(t, err)
	h.Owner = "b"
	_, _, err = b.takeOwnership(context.Background(), "j", &sweptHead{h, revision - 1})
	assert.ErrorContains(t, err, "now owned by node a")
}

// Guards against an owner that is not told of the end of its job, since the node that confirms the end still holds the job from
// the time in which it was the owner.
func TestFormerOwnerTellsTheOwnerOfAnEnd(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	a.stop()
	time.Sleep(2 * checkInterval) // What node a had begun ends.
	former := a.ownedJob("j")
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	a.mu.Lock()
	a.jobs["j"] = former // Node a has not been told of the takeover.
	a.mu.Unlock()
	assert.NilError(t, a.End(context.Background(), "j"))
	assert.Assert(t, !b.runs("j"), "the owner was not told of the end")
	assert.Assert(t, a.ownedJob("j") == nil)
}

// runs reports whether a node may start items of a job.
func (n *node) runs(id string) bool {
	j := n.ownedJob(id)
	if j == nil {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.isOpen()
}

// Guards against an end that is confirmed before the owner is told, and against an owner that is not told because a call to it
// failed a moment ago: both left it to the sweeps of the hub, whose lists may be old.
func TestSuspectedOwnerIsToldOfAnEnd(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, b.Accept(context.Background(), submission("j", 2)))
	a.fleet.Suspect("b", time.Minute, errors.New("connection lost"))
	assert.NilError(t, a.End(context.Background(), "j"))
	assert.Assert(t, !b.runs("j"), "the owner was not told of the end")
}

// Guards against an owner that the hub does not tell of the end of its job, because a call to it failed a moment ago.
func TestHubTellsASuspectedOwnerOfAnEnd(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, b.Accept(context.Background(), submission("j", 2)))
	b.stop() // It does not look by itself.
	a.stop()
	time.Sleep(2 * checkInterval) // What the nodes had begun ends.
	h, revision, err := a.readHead(context.Background(), "j")
	assert.NilError(t, err)
	a.fleet.Suspect("b", time.Minute, errors.New("connection lost"))
	a.swept = map[string]Owned{"j": ownedIn(h, revision)}
	h.Ended = true
	a.sweepForOthers(context.Background(), []sweptHead{{h, revision + 1}})
	for until := time.Now().Add(sweepCallTimeout); b.runs("j"); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the owner was not told of the end")
	}
}

// Guards against an owner that goes on because the call that tells it of the end failed, for instance between two connects.
func TestEndIsToldUntilTheOwnerAnswers(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	net.addNode(t, s, e, "a", "b", "c").stop() // The hub sweeps no more.
	b := net.addNode(t, s, e, "b", "a", "c")
	c := net.addNode(t, s, e, "c", "a", "b")
	assert.NilError(t, b.Accept(context.Background(), submission("j", 2)))
	b.stop() // It does not look by itself.
	time.Sleep(2 * checkInterval)
	net.cutOff("b", true)
	assert.NilError(t, c.End(context.Background(), "j"))
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, b.runs("j"))
	net.reconnect("b")
	for until := time.Now().Add(tellInterval + 2*checkInterval); b.runs("j"); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the owner was not told of the end")
	}
}

// Guards against an end that nobody carries out because the caller left before it was stored, at a node that did not run for a
// moment: an end without a confirmation counts too.
func TestEndWithoutItsCallerIsStored(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	gated := &gatedStore{Store: s, endGate: make(chan struct{})} // The caller leaves before the end is stored.
	a := net.addNode(t, gated, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, a.End(gone, "j"), ErrUnavailable)
	close(gated.endGate)
	awaitHead(t, s, "j", time.Second, func(h head) bool { return h.Ended })
}

// Guards against an end that nobody carries out because the store did not accept it at first.
func TestEndThatTheStoreRefusedIsRepeated(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	gated := &gatedStore{Store: s}
	a := net.addNode(t, gated, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	gated.setRefuseHeads(true)
	assert.ErrorIs(t, a.End(context.Background(), "j"), ErrUnavailable)
	gated.setRefuseHeads(false)
	awaitHead(t, s, "j", 3*time.Second, func(h head) bool { return h.Ended })
	assert.Assert(t, !a.runs("j"))
}

// Guards against items of an ended job that an upstream reads too late, since a node that others may count as lost starts them by
// what it knew seconds ago, and the upstream is silent when they are sent.
func TestBeliefLeavesTimeForASilentUpstream(t *testing.T) {
	const cancelTime = 3 * time.Second // By the platform.
	now, j := time.Unix(1000, 0), &job{}
	for age := time.Duration(0); age < 2*cancelTime; age += 10 * time.Millisecond {
		if (ownership{now: now, verifiedAt: now.Add(-age)}).mayRun(j) {
			assert.Assert(t, age+soundSilence < cancelTime, "items start %v after the comparison", age)
		}
		if (ownership{now: now, sweptFreshAt: now.Add(-age)}).mayRun(j) {
			assert.Assert(t, age+soundSilence < cancelTime, "items start %v after a sweep", age)
		}
	}
	assert.Assert(t, ownership{now: now, verifiedAt: now}.mayRun(j) && ownership{now: now, sweptFreshAt: now}.mayRun(j))
}

// Guards against a node that goes on calling the store after it has stopped, since it repeats the end of a job.
func TestEndIsNotRepeatedAfterTheNodeHasStopped(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	gated := &gatedStore{Store: s}
	a := net.addNode(t, gated, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	gated.setRefuseHeads(true)
	assert.ErrorIs(t, a.End(context.Background(), "j"), ErrUnavailable)
	a.stop()
	time.Sleep(endRetry / 2)
	gated.setRefuseHeads(false)
	time.Sleep(2 * endRetry)
	h, _, err := a.readHead(context.Background(), "j")
	assert.NilError(t, err)
	assert.Assert(t, !h.Ended)
	a.mu.Lock()
	defer a.mu.Unlock()
	assert.Equal(t, len(a.ending), 0)
}
