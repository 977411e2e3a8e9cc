package listjob

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// delayAdopts lets a node read no calls of Jobs.Adopt in time.
func (n *network) delayAdopts(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adoptsLate = name
}

// delayedAdopts returns these calls.
func (n *network) delayedAdopts() []AdoptArgs {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.lateAdopts)
}

// threeNodes starts three nodes, of which the first has accepted a job, and returns the others in the order in which they are asked to
// take it over.
func threeNodes(t *testing.T) (s *memstore.Store, net *network, first *node, others []*node) {
	s, net = memstore.New(), newNetwork()
	slow := newEngine(t, 1000, 10*time.Millisecond)
	nodes := map[string]*node{
		"a": net.addNode(t, s, slow, "a", "b", "c"), "b": net.addNode(t, s, slow, "b", "a", "c"), "c": net.addNode(t, s, slow, "c", "a", "b"),
	}
	assert.NilError(t, nodes["a"].Accept(context.Background(), submission("j", 1)))
	for _, name := range rendezvous.Ranked("j", nodes["a"].fleet.AcceptingWeights()) {
		others = append(others, nodes[name])
	}
	assert.Equal(t, len(others), 2)
	return s, net, nodes["a"], others
}

// Guards against a job that is taken away from its live owner: the node that handed it over asked two nodes, and the first one, which did
// not run for a while, reads the call once the second one owns the job.
func TestLateHandOverLeavesTheJobToItsOwner(t *testing.T) {
	s, net, a, others := threeNodes(t)
	net.delayAdopts(others[0].self().Node)
	a.HandOver(context.Background())
	successor := others[1].self().Node
	awaitHead(t, s, "j", time.Second, func(h head) bool { return h.Owner == successor })
	late := net.delayedAdopts()
	assert.Equal(t, len(late), 1)
	var done Nothing
	_ = others[0].Receiver().Adopt(late[0], &done) // Read late.
	h, _, err := others[0].readHead(context.Background(), "j")
	assert.NilError(t, err)
	assert.Equal(t, h.Owner, successor)
	assert.Assert(t, others[0].ownedJob("j") == nil && others[1].ownedJob("j") != nil)
}

// Guards against a second owner of a job whose takeover takes longer than the call that asks for it.
func TestJobThatIsBeingTakenOverIsOfferedToNoOther(t *testing.T) {
	_, net, a, others := threeNodes(t)
	net.delayAdopts(others[0].self().Node)
	handedOver := make(chan struct{})
	go func() { defer close(handedOver); a.HandOver(context.Background()) }()
	late := net.delayedAdopts()
	for until := time.Now().Add(handOverTimeout); len(late) == 0; late = net.delayedAdopts() {
		assert.Assert(t, time.Now().Before(until), "no node was asked")
		time.Sleep(5 * time.Millisecond)
	}
	var done Nothing
	assert.NilError(t, others[0].Receiver().Adopt(late[0], &done))
	<-handedOver
	assert.Assert(t, others[0].ownedJob("j") != nil && others[1].ownedJob("j") == nil)
}

// Guards against a job that nobody takes over, because its head was written since the node that stops last read it, for instance
// by a write of its own without an answer.
func TestJobIsHandedOverByAnOldHead(t *testing.T) {
	s, _, a, others := threeNodes(t)
	h, revision, err := a.readHead(context.Background(), "j")
	assert.NilError(t, err)
	_, err = a.putHead(context.Background(), h, revision)
	assert.NilError(t, err)
	a.HandOver(context.Background())
	awaitHead(t, s, "j", time.Second, func(h head) bool { return h.Owner == others[0].self().Node })
}

// Guards against a job that changes its place among those that wait, since its new owner takes the revision of a later write for that of
// the job's creation.
func TestHandedOverJobKeepsItsOrder(t *testing.T) {
	s, _, a, others := threeNodes(t)
	_, created, err := a.readHead(context.Background(), "j")
	assert.NilError(t, err)
	a.HandOver(context.Background())
	awaitHead(t, s, "j", time.Second, func(h head) bool { return h.Owner != "a" })
	slices.SortFunc(others, func(x, _ *node) int {
		if x.ownedJob("j") != nil {
			return -1
		}
		return 1
	})
	others[0].HandOver(context.Background())
	awaitHead(t, s, "j", time.Second, func(h head) bool { return h.Owner == others[1].self().Node && h.Order == created })
}

// Guards against an item that is run again although its result was handed over: the scheduler started it between the start of the job and
// the queueing of its result, which a busy machine made likely.
func TestHandedOverResultsAreNotRunAgain(t *testing.T) {
	j := newJob(head{ID: "j", Host: testHost}, 1, submission("j", 3).Items)
	result := Result{ID: "j-item1", State: Completed, Text: "text"}
	j.restore([]Partial{{ID: "j-item0", Failures: 1}, {ID: "j-item1", Result: &result}})
	assert.Equal(t, j.items[0].phase, waiting)
	assert.Equal(t, j.items[1].phase, finished)
	assert.Equal(t, j.items[2].phase, waiting)
	assert.Equal(t, len(j.pending), 1)
	assert.Equal(t, j.pending[0].result.Text, "text")
}
