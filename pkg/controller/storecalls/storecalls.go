// Package storecalls paces the calls of a node to the store while the store is disrupted, and counts them.
package storecalls

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/storepacing"
	"trefoilplank.example/pkg/eventlog"
)

// minCallTime is the time that a call must have left when it is sent after a wait. A call that ran out of time sooner says nothing of the store,
// which may take a fraction of a second to answer when it is slow.
const minCallTime = 400 * time.Millisecond

// Call describes a call to the store.
type Call struct {
	// Kind is the kind of the objects, without a slash.
	Kind string
	// Operation is get, list, watch, create, replace or delete.
	Operation string
}

// Writes reports whether the call changes an object.
func (c Call) Writes() bool {
	return c.Operation == "create" || c.Operation == "replace" || c.Operation == "delete"
}

// passedOn reports whether the hub passes the result of the call on while the store answers it: its copies of the store, the VMs to be emptied, and
// what its sweeps of the jobs find.
func (c Call) passedOn() bool { return c.Operation == "list" || c.Operation == "watch" }

// Options configures a Gate. All fields may be left empty.
type Options struct {
	// Urgency returns the urgency of a call.
	Urgency func(Call) storepacing.Urgency
	// Returned is called when this node has found the store's return before its hub, which Returned then reports.
	Returned func()
	Log      *eventlog.Log
	Metrics  *metrics.Set
}

// Gate admits the calls of a node to the store. It is safe for concurrent use. A nil Gate admits all calls.
type Gate struct {
	options Options

	mu      sync.Mutex
	circuit *storepacing.Circuit
	// round is what the calls that wait now wait for.
	round *round
	// since is when the first probe failed, zero while the store answers, and held the calls that were not sent since then.
	since time.Time
	held  int
}

// round is a wait for the result of a probe. failed and hub are set before ended is closed: whether the probe has failed, and whether the hub
// has found the store's return.
type round struct {
	ended       chan struct{}
	failed, hub bool
}

func newRound() *round { return &round{ended: make(chan struct{})} }

// New returns a gate.
func New(o Options) *Gate {
	g := &Gate{options: o, circuit: storepacing.New(rand.Float64), round: newRound()}
	if o.Metrics != nil {
		o.Metrics.NewGauge(`trefoilplank_store_disrupted`, func() float64 {
			if g.Disrupted() {
				return 1
			}
			return 0
		})
	}
	return g
}

// Enter returns once the call may be sent. The caller must pass the outcome to the returned function. The error matches store.ErrHeldBack if
// the call must not be sent: a probe has failed while it waited, or its time is nearly over.
func (g *Gate) Enter(ctx context.Context, c Call) (ended func(ctx context.Context, status int, err error), err error) {
	if g == nil {
		return func(context.Context, int, error) {}, nil
	}
	ticket, err := g.admit(ctx, c)
	if err != nil {
		g.count(c, "held_back")
		return nil, err
	}
	begun := time.Now()
	return func(ctx context.Context, status int, err error) {
		outcome, label := classify(ctx, status, err, time.Since(begun))
		g.count(c, label)
		g.record(ticket, outcome)
	}, nil
}

// admit waits until the call may be sent or fails with the probe that it waits for.
func (g *Gate) admit(ctx context.Context, c Call) (storepacing.Ticket, error) {
	urgency := storepacing.Routine
	if g.options.Urgency != nil {
		urgency = g.options.Urgency(c)
	}
	for {
		now := time.Now()
		g.mu.Lock()
		ticket, ok, at := g.circuit.Admit(urgency, c.passedOn(), now)
		current := g.round
		g.mu.Unlock()
		if ok {
			return ticket, nil
		}
		pause := at.Sub(now)
		if deadline, limited := ctx.Deadline(); limited && deadline.Sub(now) < pause+minCallTime {
			if pause = deadline.Sub(now) - minCallTime; pause <= 0 {
				return ticket, g.heldBack(context.DeadlineExceeded)
			}
		}
		t := time.NewTimer(pause)
		select {
		case <-current.ended:
			t.Stop()
			switch {
			case current.failed:
				return ticket, g.heldBack(errProbeFailed)
			case current.hub && c.passedOn():
				return ticket, g.heldBack(errHubReads)
			}
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ticket, g.heldBack(ctx.Err())
		}
	}
}

var (
	errProbeFailed = errors.New("another call failed meanwhile")
	errHubReads    = errors.New("the hub reads the store again")
)

func (g *Gate) heldBack(cause error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held++
	return fmt.Errorf("%w: %w", store.ErrHeldBack, cause)
}

// classify returns what the result of a call says of the store, and its label in the metrics.
func classify(ctx context.Context, status int, err error, took time.Duration) (storepacing.Outcome, string) {
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled), err != nil && ctx.Err() != nil && took < minCallTime:
		return storepacing.Abandoned, "abandoned"
	case err != nil && ctx.Err() != nil:
		return storepacing.Failed, "timed_out"
	case err != nil:
		return storepacing.Failed, "broken"
	case status >= 500 || status == http.StatusTooManyRequests:
		return storepacing.Failed, "refused"
	}
	return storepacing.Answered, "answered"
}

// record passes the outcome of a call to the calls that wait.
func (g *Gate) record(ticket storepacing.Ticket, o storepacing.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	shared := g.circuit.Ended(ticket, o, now)
	switch {
	case shared && o == storepacing.Failed && g.since.IsZero():
		g.since, g.held = now, 0
		g.notice("store is disrupted, calls wait for single probes")
	case o == storepacing.Answered && !g.since.IsZero():
		g.notice("store answers again", "disrupted_ms", now.Sub(g.since).Milliseconds(), "held_back", g.held)
		g.since = time.Time{}
	}
	if shared || o == storepacing.Abandoned {
		g.endRound(o == storepacing.Failed, false)
	}
	if shared && g.options.Returned != nil && g.circuit.Returned(now) {
		go g.options.Returned()
	}
}

// endRound makes the calls that wait fail or ask again. g.mu is held.
func (g *Gate) endRound(failed, hub bool) {
	g.round.failed, g.round.hub = failed, hub
	close(g.round.ended)
	g.round = newRound()
}

// HubReports takes over from the last exchange whether the hub, another node, finds the store disrupted. known is whether such a hub answered.
func (g *Gate) HubReports(disrupted, known bool) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.circuit.HubReports(disrupted, known, time.Now()) {
		g.endRound(false, known)
	}
}

// Returned reports whether this node has lately found the store's return before its hub.
func (g *Gate) Returned() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.circuit.Returned(time.Now())
}

// NodeReturned records at the hub that another node has found the store's return.
func (g *Gate) NodeReturned() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.circuit.NodeReturned(time.Now()) {
		g.endRound(false, false)
	}
}

// Disrupted reports whether the store does not answer this node's own calls.
func (g *Gate) Disrupted() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.circuit.Disrupted(time.Now())
}

func (g *Gate) notice(event string, fields ...any) {
	if g.options.Log != nil {
		g.options.Log.Notice(event, fields...)
	}
}

// count counts a call. Only the part of the kind before a dash is a label: what follows can be the ID of a job.
func (g *Gate) count(c Call, outcome string) {
	if g.options.Metrics == nil {
		return
	}
	kind, _, _ := strings.Cut(c.Kind, "-")
	g.options.Metrics.GetOrCreateCounter(fmt.Sprintf(`trefoilplank_store_calls_total{kind=%q,operation=%q,outcome=%q}`, kind, c.Operation, outcome)).Inc()
}
