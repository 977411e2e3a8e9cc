package quarantine

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/blackboard"
	failed "trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/quarantine"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/gateway/peertest"
)

// newHolders returns the network and the controllers of three nodes in the rendezvous order of the fingerprint "x", which
// is suspect at all of them.
func newHolders(t *testing.T) (*peertest.Network, []*Controller) {
	t.Helper()
	network := peertest.New()
	names := rendezvous.Top("x", []string{"a", "b", "c"}, 3)
	var holders []*Controller
	for _, name := range names {
		node, board := network.AddNode(name), blackboard.New()
		board.Members.Set(peertest.Members(name, names...))
		c, err := New(Options{Self: name, Board: board, Peers: node}, node)
		assert.NilError(t, err)
		crash := ReportArgs{Fingerprint: "x", Request: "r0#1", Ending: quarantine.Crashed}
		assert.NilError(t, (&Receiver{c}).Report(&crash, nil))
		holders = append(holders, c)
	}
	return network, holders
}

// mustRun fails the test unless the request may run soon.
func (c *Controller) mustRun(t *testing.T, request string) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	_, wait := c.Check(ctx, failed.Works{Request: "x"}, request)
	assert.Assert(t, wait == 0 && ctx.Err() == nil, "a reservation that nobody holds must not keep equal requests waiting")
}

// Guards against equal requests that wait for minutes for a trial that never takes place: the caller of the trial is
// refused for want of an upstream, or leaves, while the check is on its way to the owner.
func TestCancelledCheckLeavesNoReservation(t *testing.T) {
	network, holders := newHolders(t)
	serving := holders[2]
	network.LoseReplies("Quarantine.Check", 1)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, wait := serving.Check(cancelled, failed.Works{Request: "x"}, "r1")
	assert.Equal(t, wait, busyRetry)
	time.Sleep(busyWait)
	serving.mustRun(t, "r2")
}

// Guards against equal requests that wait for minutes for a trial that has ended: the owner granted it, but its answer was
// lost, so that another node decided and only that one learned of the end.
func TestLostAnswerLeavesNoReservationAtOwner(t *testing.T) {
	network, holders := newHolders(t)
	network.LoseReplies("Quarantine.Check", 1)
	holders[2].mustRun(t, "r1")
	holders[2].ReportRun(t.Context(), failed.Works{Request: "x"}, "r1", "", false)
	holders[0].mustRun(t, "r2")
}

// Guards against the same wait when the answer of the successor is lost, which learned of the trial from the owner's grant,
// and at the node that took its place meanwhile.
func TestLostAnswerLeavesNoReservationAtSuccessors(t *testing.T) {
	network, holders := newHolders(t)
	// The owner serves the request, so the first call is the one to its successor.
	network.LoseReplies("Quarantine.Check", 1)
	holders[0].mustRun(t, "r1")
	clear(holders[0].avoidUntil)
	holders[0].ReportRun(t.Context(), failed.Works{Request: "x"}, "r1", "", false)
	for _, successor := range holders[1:] {
		assert.Equal(t, (&Receiver{successor}).verdict(t, "r2#1"), quarantine.Trial)
	}
}

// Guards against the same wait when the report of the end does not arrive.
func TestLostReportLeavesNoReservation(t *testing.T) {
	network, holders := newHolders(t)
	owner, serving := holders[0], holders[2]
	request := serving.Self + "-" + strings.Repeat("0", requestULIDLength)
	serving.mustRun(t, request)
	network.SetUnresponsive(owner.Self, true)
	serving.ReportRun(t.Context(), failed.Works{Request: "x"}, request, "", false)
	time.Sleep(2 * DefaultTimeouts.Call)
	network.SetUnresponsive(owner.Self, false)
	owner.mustRun(t, "r2")
}

// Guards against two equal requests that wait for each other, since each is reserved at one of the holders.
func TestRequestsReservedAtOneHolderEachGoOn(t *testing.T) {
	_, holders := newHolders(t)
	owner, serving := holders[0], holders[2]
	serving.mustRun(t, "r1")
	owner.mu.Lock()
	owner.table.ReleaseLost(func(string) bool { return true })
	owner.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() {
		owner.mustRun(t, "r2")
		owner.ReportRun(t.Context(), failed.Works{Request: "x"}, "r2", "", false)
	})
	time.Sleep(busyWait)
	serving.mustRun(t, "r1")
	serving.ReportRun(t.Context(), failed.Works{Request: "x"}, "r1", "", false)
	group.Wait()
}
