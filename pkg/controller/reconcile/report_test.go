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

// countedEngines counts the states that a controller reads itself.
type countedEngines struct {
	Engines
	reads atomic.Int64
}

func (e *countedEngines) State(ctx context.Context, u api.Upstream) (reconcile.State, error) {
	e.reads.Add(1)
	return e.Engines.State(ctx, u)
}

// ownerStates is an owner's view of the engines of a fleet, and its peer connection to the controller.
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

// reportFixture has engines that a second node owns; n1 reconciles them.
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

// Guards against reading every engine beside its owner, against trust in a report that is old or of a lost node, and
// against an engine that its owner can't read and nobody else reads.
func TestReportsReplaceReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, engines, source, reporter := reportFixture(t, "v1")
		reads := func() int64 {
			before := engines.reads.Load()
			f.pass("n1", 1)
			return engines.reads.Load() - before
		}
		assert.Equal(t, reads(), int64(4))
		assert.Assert(t, reporter.round(t.Context()))
		assert.Equal(t, reads(), int64(0))
		time.Sleep(reportInterval)
		assert.Assert(t, reporter.round(t.Context()))
		assert.Assert(t, !source.calls[1].Full && len(source.calls[1].States) == 0, "a digest is enough while nothing changes")
		assert.Equal(t, reads(), int64(0))
		time.Sleep(reportLife)
		assert.Equal(t, reads(), int64(4), "the reports are too old")
		assert.Assert(t, reporter.round(t.Context()))
		assert.Equal(t, len(source.calls), 4, "the receiver has forgotten the report and gets it again")
		assert.Equal(t, reads(), int64(0))
		f.fleet.engines["u0"].Loading["m"] = "v2"
		assert.Assert(t, reporter.round(t.Context()))
		f.pass("n1", 1)
		assert.Equal(t, reads(), int64(1), "an engine that loads is read")
		f.board["n1"].Members.Set(blackboard.Members{Self: "n1", Live: map[string]blackboard.Member{"other": {}}})
		assert.Equal(t, reads(), int64(4), "the node that reported is lost")
	})
}

// Guards against an order that rests on a report: the engine has changed since, and its state is read first.
func TestOrderReadsTheStateFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, _, reporter := reportFixture(t, "v2")
		assert.Assert(t, reporter.round(t.Context()))
		for _, e := range f.fleet.engines {
			e.Models["m"] = "v2"
		}
		f.pass("n1", 10)
		for u := range f.fleet.engines {
			assert.Equal(t, len(f.fleet.orders(u)), 0, "%v", f.fleet.orders(u))
		}
	})
}

// Guards against a receiver that was restarted and hears nothing until the next digest.
func TestNewProcessIsToldAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, source, reporter := reportFixture(t, "v1")
		assert.Assert(t, reporter.round(t.Context()))
		board := reporter.c.Board
		board.Members.Set(blackboard.Members{Self: reporter.c.Node, Live: map[string]blackboard.Member{"n1": {Incarnation: 2}}})
		assert.Assert(t, reporter.round(t.Context()))
		assert.Assert(t, len(source.calls) == 2 && source.calls[1].Full)
	})
}

// Guards against changes that wait for the next digest or idle pass, and against reports that are lost for good.
func TestChangeIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, source, reporter := reportFixture(t, "v1")
		f.board["n1"].Lease.Set(blackboard.Lease{Number: 1, Deadline: time.Now().Add(time.Hour)})
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
		time.Sleep(reportGap + 3*time.Second)
		assert.Equal(t, len(f.fleet.orders("u0")), 1, "the engine lost its version and must load it")
	})
}
