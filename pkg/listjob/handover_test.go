package listjob

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// headStore is a store whose writes of heads wait until opened is closed, or fail while failing is set.
type headStore struct {
	store.Store
	// arrived is closed with the first write of a head.
	arrived chan struct{}
	opened  chan struct{}
	writes  atomic.Int64
	failing atomic.Bool
}

func newHeadStore(s store.Store) *headStore {
	return &headStore{Store: s, arrived: make(chan struct{}), opened: make(chan struct{})}
}

func (s *headStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	if strings.HasPrefix(key, headKind) {
		if s.writes.Add(1) == 1 {
			close(s.arrived)
		}
		if s.failing.Load() {
			return 0, store.ErrUnavailable
		}
		select {
		case <-s.opened:
		case <-ctx.Done():
			return 0, store.ErrUnavailable
		}
	}
	return s.Store.Put(ctx, key, value, expect)
}

// handOverWhile begins a hand-over, opens the store a little later, and waits for the end of the hand-over.
func (n *node) handOverWhile(s *headStore) {
	handedOver := make(chan struct{})
	go func() { defer close(handedOver); n.HandOver(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	close(s.opened)
	<-handedOver
}

// Guards against an accepted job that stays with a node until it is gone, since the job was being stored when the node handed its jobs
// over.
func TestJobThatIsBeingAcceptedIsHandedOver(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	slow := newHeadStore(s)
	a := net.addNode(t, slow, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	accepted := make(chan error, 1)
	go func() { accepted <- a.Accept(context.Background(), submission("j", 1)) }()
	<-slow.arrived
	a.handOverWhile(slow)
	assert.NilError(t, <-accepted)
	awaitHead(t, s, "j", time.Second, func(h head) bool { return h.Owner == "b" })
	assert.Assert(t, b.ownedJob("j") != nil)
}

// Guards against a job that stays with a node until it is gone, since the node was taking the job over from a lost one when it handed its
// jobs over.
func TestJobThatIsBeingTakenOverIsHandedOver(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	slow := newHeadStore(s)
	lost := net.addNode(t, s, e, "lost", "a", "b")
	assert.NilError(t, lost.Accept(context.Background(), submission("j", 1)))
	lost.stop()
	net.cutOff("lost", false)
	a := net.addNode(t, slow, e, "a", "b", "lost")
	b := net.addNode(t, s, e, "b", "a", "lost")
	taken := make(chan error, 1)
	go func() { taken <- a.adopt(context.Background(), "j", nil) }()
	<-slow.arrived
	a.handOverWhile(slow)
	assert.NilError(t, <-taken)
	awaitHead(t, s, "j", time.Second, func(h head) bool { return h.Owner == "b" })
	assert.Assert(t, b.ownedJob("j") != nil)
}

// Guards against a job that nobody runs until its node is gone, since no node could take it over at the first attempt: the store was
// unavailable for a moment.
func TestHandOverIsRepeated(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	failing := newHeadStore(s)
	close(failing.opened)
	failing.failing.Store(true)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, failing, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 1)))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	time.AfterFunc(400*time.Millisecond, func() { failing.failing.Store(false) })
	a.HandOver(ctx)
	assert.NilError(t, ctx.Err())
	assert.Assert(t, b.ownedJob("j") != nil)
}

// Guards against a job that nobody runs until its node is gone, since no other node seemed to live when it handed its jobs over.
func TestHandOverAwaitsASuccessor(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 1)))
	a.options.Fleet.Suspect("b", 400*time.Millisecond, errors.New("no answer"))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a.HandOver(ctx)
	assert.NilError(t, ctx.Err())
	assert.Assert(t, b.ownedJob("j") != nil)
}

// Guards against a job that nobody runs until its node is gone, since the nodes that were asked first stop too while others do not.
func TestHandOverPassesOverStoppingNodes(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	names := []string{"a", "b", "c", "d", "e", "f"}
	nodes := map[string]*node{}
	for _, name := range names {
		nodes[name] = net.addNode(t, s, e, name, slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })...)
	}
	assert.NilError(t, nodes["a"].Accept(context.Background(), submission("j", 1)))
	ranked := rendezvous.Ranked("j", nodes["a"].options.Fleet.AcceptingWeights())
	for _, name := range ranked[:len(ranked)-1] {
		nodes[name].HandOver(context.Background())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	nodes["a"].HandOver(ctx)
	assert.NilError(t, ctx.Err())
	assert.Assert(t, nodes[ranked[len(ranked)-1]].ownedJob("j") != nil)
}

// Guards against a job that nobody runs, since a node that was asked twice to take it over confirmed that while its first attempt was in progress,
// and that failed.
func TestTakeoverInProgressIsNotConfirmed(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	slow := newHeadStore(s)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, slow, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 1)))
	first := make(chan error, 1)
	go func() { first <- b.Receiver().Adopt(AdoptArgs{ID: "j"}, &Nothing{}) }()
	<-slow.arrived
	assert.ErrorIs(t, b.Receiver().Adopt(AdoptArgs{ID: "j"}, &Nothing{}), errTakingOver)
	close(slow.opened)
	assert.NilError(t, <-first)
	assert.NilError(t, b.Receiver().Adopt(AdoptArgs{ID: "j"}, &Nothing{}))
}

// Guards against a job that is refused by the node that a stopping one asked, and whose caller is told that the outcome is unknown: the refusal
// came when the call between the nodes had ended.
func TestRefusalArrivesBeforeTheCallEnds(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	b := net.addNode(t, newHeadStore(s), e, "b", "a")
	begun := time.Now()
	var reply AcceptReply
	assert.NilError(t, b.Receiver().Accept(submission("j", 1), &reply))
	assert.Assert(t, reply.Refused)
	assert.Assert(t, time.Since(begun) < acceptTimeout-acceptMargin/2, "answered after %v", time.Since(begun))
}
