package reconcile

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/upstreams"
	"trefoilplank.example/pkg/decision/reconcile"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// countedEngines counts the state reads of a controller.
type countedEngines struct {
	Engines
	reads atomic.Int64
}

func (e *countedEngines) State(ctx context.Context, u api.Upstream) (reconcile.State, error) {
	e.reads.Add(1)
	return e.Engines.State(ctx, u)
}

// ownerStates implements States for a node that owns all engines of a fleet, and the peer caller that carries its
// reports to a controller.
type ownerStates struct {
	fleet   *fakeFleet
	to      *Controller
	down    atomic.Bool
	changes blackboard.Section[struct{}]
	calls   []*ReportArgs
}

func (o *ownerStates) States() (map[string]upstreams.State, int64) {
	out := map[string]upstreams.State{}
	for name := range o.fleet.engines {
		s, err := o.fleet.State(context.Background(), api.Upstream{Name: name})
		out[name] = upstreams.State{Engine: s, NoOrders: err != nil}
	}
	_, revision := o.changes.Get()
	return out, revision
}

func (o *ownerStates) StatesChanged(after int64) <-chan struct{} { return o.changes.Changed(after) }

func (o *ownerStates) Call(_ context.Context, _, _ string, args, reply any) error {
	if o.down.Load() {
		return peer.ErrUnreachable
	}
	o.calls = append(o.calls, args.(*ReportArgs))
	return o.to.Receiver().Report(args.(*ReportArgs), reply.(*ReportReply))
}

func (o *ownerStates) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

// reportFixture returns a fixture in which n1 reconciles four engines that a second node owns, and the reporter of that
// node.
func reportFixture(t *testing.T, desired string) (*fixture, *countedEngines, *ownerStates, *Reporter) {
	f := newFixture(t, 4, 3, desired, api.FencingEnforced, "n1")
	owner := "o"
	for i := 0; rendezvous.Owner("reconcile/m", []string{owner, "n1"}) != "n1"; i++ {
		owner = fmt.Sprint("o", i)
	}
	live := map[string]blackboard.Member{owner: {Name: owner}}
	f.board["n1"].Members.Set(blackboard.Members{Self: "n1", Live: live})
	engines := &countedEngines{Engines: f.fleet}
	f.nodes["n1"].Engines = engines
	source := &ownerStates{fleet: f.fleet, to: f.nodes["n1"]}
	board := blackboard.New()
	board.Config.Set(f.board["n1"].Config.Value())
	board.Members.Set(blackboard.Members{Self: owner, Live: map[string]blackboard.Member{"n1": {}}})
	reporter := NewReporter(New(Options{Node: owner, Board: board, Store: f.store, Engines: f.fleet}), source, source)
	return f, engines, source, reporter
}

// TestReportsReplaceReads guards against a node that reads engines whose owner reports them, that uses a report which is
// too old or from a lost node, or that does not read an engine itself while no owner reports it.
func TestReportsReplaceReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, engines, source, reporter := reportFixture(t, "v1")
		reads := func() int64 {
			before := engines.reads.Load()
			f.pass("n1", 1)
			return engines.reads.Load() - before
		}
		assert.Equal(t, reads(), int64(4))
		assert.Assert(t, reporter.reportAll(t.Context()))
		assert.Equal(t, reads(), int64(0))
		time.Sleep(reportInterval)
		assert.Assert(t, reporter.reportAll(t.Context()))
		assert.Assert(t, !source.calls[1].Full && len(source.calls[1].States) == 0, "a digest is enough while nothing changes")
		assert.Equal(t, reads(), int64(0))
		time.Sleep(reportMaxAge)
		assert.Equal(t, reads(), int64(4), "the reports are too old")
		assert.Assert(t, reporter.reportAll(t.Context()))
		assert.Equal(t, len(source.calls), 4, "the receiver has forgotten the report and gets it again")
		assert.Equal(t, reads(), int64(0))
		f.fleet.engines["u0"].Loading["m"] = "v2"
		assert.Assert(t, reporter.reportAll(t.Context()))
		f.pass("n1", 1)
		assert.Equal(t, reads(), int64(1), "an engine that loads is read")
		f.board["n1"].Members.Set(blackboard.Members{Self: "n1", Live: map[string]blackboard.Member{"other": {}}})
		assert.Equal(t, reads(), int64(4), "the node that reported is lost")
	})
}

// TestOrderReadsTheStateFirst guards against an order based on a report although the engine has changed since: its state
// must be read before the order.
func TestOrderReadsTheStateFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, _, reporter := reportFixture(t, "v2")
		assert.Assert(t, reporter.reportAll(t.Context()))
		for _, e := range f.fleet.engines {
			e.Models["m"] = "v2"
		}
		f.pass("n1", 10)
		for u := range f.fleet.engines {
			assert.Equal(t, len(f.fleet.orders(u)), 0, "%v", f.fleet.orders(u))
		}
	})
}

// TestNewProcessGetsFullReport guards against a restarted receiver that gets no report until the next digest is due.
func TestNewProcessGetsFullReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, source, reporter := reportFixture(t, "v1")
		assert.Assert(t, reporter.reportAll(t.Context()))
		board := reporter.controller.Board
		board.Members.Set(blackboard.Members{Self: reporter.controller.Node, Live: map[string]blackboard.Member{"n1": {Incarnation: 2}}})
		assert.Assert(t, reporter.reportAll(t.Context()))
		assert.Assert(t, len(source.calls) == 2 && source.calls[1].Full)
	})
}

// TestChangeIsReportedAtOnce guards against a changed state that waits for the next digest or idle pass, and against a
// failed report that is not repeated.
func TestChangeIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, source, reporter := reportFixture(t, "v1")
		f.board["n1"].Lease.Set(blackboard.Lease{Token: 1, Deadline: time.Now().Add(time.Hour)})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.nodes["n1"].Run(ctx)
		go reporter.Run(ctx)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		assert.Assert(t, len(source.calls) <= 3, "%d reports in 10 minutes", len(source.calls))
		source.down.Store(true)
		f.fleet.mu.Lock()
		f.fleet.engines["u0"].Models["m"] = "v0"
		f.fleet.mu.Unlock()
		source.changes.Set(struct{}{})
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(f.fleet.orders("u0")), 0)
		source.down.Store(false)
		time.Sleep(reportMinInterval + 3*time.Second)
		assert.Equal(t, len(f.fleet.orders("u0")), 1, "the engine lost its version and must load it")
	})
}
