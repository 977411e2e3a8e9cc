package storecalls

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/storepacing"
)

var errReset = errors.New("connection reset")

// open opens the circuit of a gate by two failures.
func open(t *testing.T, g *Gate) {
	for range 2 {
		ended, err := g.Enter(t.Context(), Call{"config", "list"})
		assert.NilError(t, err)
		ended(t.Context(), 0, errReset)
	}
}

// Guards against calls that wait for a probe and are each sent although it has failed, or wait on although it was answered.
func TestWaitingCallsShareTheResultOfAProbe(t *testing.T) {
	for _, answered := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := New(Options{})
			open(t, g)
			var sent, heldBack atomic.Int64
			var all sync.WaitGroup
			for range 10 {
				all.Go(func() {
					ended, err := g.Enter(t.Context(), Call{"members", "list"})
					if errors.Is(err, store.ErrHeldBack) {
						heldBack.Add(1)
						return
					}
					sent.Add(1)
					time.Sleep(10 * time.Millisecond)
					if answered {
						ended(t.Context(), 200, nil)
					} else {
						ended(t.Context(), 0, errReset)
					}
				})
			}
			all.Wait()
			if answered {
				assert.Equal(t, sent.Load(), int64(10))
			} else {
				assert.Equal(t, sent.Load(), int64(1))
				assert.Equal(t, heldBack.Load(), int64(9))
			}
		})
	}
}

// Guards against a call that is sent with too little time left to be answered, and then counts as a failure of the store, and against one
// that outlasts its context.
func TestCallThatIsShortOfTimeIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{})
		open(t, g)
		probe, err := g.Enter(t.Context(), Call{"config", "list"})
		assert.NilError(t, err)
		for _, timeout := range []time.Duration{minCallTime / 2, minCallTime + 100*time.Millisecond} {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			begun := time.Now()
			_, err = g.Enter(ctx, Call{"jobs", "create"})
			cancel()
			assert.Assert(t, errors.Is(err, store.ErrHeldBack), "%v", err)
			assert.Assert(t, time.Since(begun) <= max(0, timeout-minCallTime))
		}
		probe(t.Context(), 200, nil)
		_, err = g.Enter(t.Context(), Call{"jobs", "create"})
		assert.NilError(t, err)
	})
}

// Guards against followers that all read the store at its return although the hub does so for them, and against writes that wait for longer
// then: no other node makes them.
func TestReadsAreLeftToTheHubAtTheReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{})
		open(t, g)
		probe, err := g.Enter(t.Context(), Call{"config", "list"})
		assert.NilError(t, err)
		g.HubReports(true, true)
		probe(t.Context(), 0, errReset)
		results := map[string]error{}
		var mu sync.Mutex
		var all sync.WaitGroup
		begun := time.Now()
		for _, c := range []Call{{"servers", "list"}, {"members", "watch"}, {"jobs", "create"}} {
			all.Go(func() {
				ended, err := g.Enter(t.Context(), c)
				if err == nil {
					ended(t.Context(), 200, nil)
				}
				mu.Lock()
				defer mu.Unlock()
				results[c.Operation] = err
			})
		}
		time.Sleep(100 * time.Millisecond)
		g.HubReports(false, true)
		all.Wait()
		assert.Assert(t, time.Since(begun) < 200*time.Millisecond, "%v", time.Since(begun))
		assert.NilError(t, results["create"])
		assert.Assert(t, errors.Is(results["list"], store.ErrHeldBack) && errors.Is(results["watch"], store.ErrHeldBack), "%v", results)
		_, err = g.Enter(t.Context(), Call{"servers", "list"})
		assert.NilError(t, err)
	})
}

// Guards against a hub that learns of the store's return by its own probe only, at the end of its pause.
func TestHubProbesWhenANodeHasFoundTheReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told atomic.Int64
		hub, node := New(Options{}), New(Options{Returned: func() { told.Add(1) }})
		for _, g := range []*Gate{hub, node} {
			open(t, g)
			for range 3 {
				ended, err := g.Enter(t.Context(), Call{"config", "list"})
				assert.NilError(t, err)
				ended(t.Context(), 0, errReset)
				g.HubReports(g == node, g == node)
			}
		}
		assert.Assert(t, hub.Disrupted() && !node.Returned())
		time.Sleep(60 * time.Millisecond)
		probed := make(chan time.Time, 1)
		go func() {
			if ended, err := hub.Enter(t.Context(), Call{"config", "list"}); err == nil {
				probed <- time.Now()
				ended(t.Context(), 200, nil)
			}
		}()
		ended, err := node.Enter(t.Context(), Call{"jobs", "create"})
		assert.NilError(t, err)
		ended(t.Context(), 200, nil)
		synctest.Wait()
		assert.Equal(t, told.Load(), int64(1))
		assert.Assert(t, node.Returned())
		at := time.Now()
		hub.NodeReturned()
		assert.Assert(t, (<-probed).Sub(at) <= 0)
	})
}

// Guards against callers that give up and count as failures of the store, and against answers that refuse a call and do not.
func TestWhatCallsSayOfTheStore(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	late, cancelLate := context.WithTimeout(t.Context(), -1)
	defer cancelLate()
	for _, c := range []struct {
		ctx    context.Context
		status int
		err    error
		took   time.Duration
		want   storepacing.Outcome
	}{
		{t.Context(), 200, nil, 0, storepacing.Answered}, {t.Context(), 404, nil, 0, storepacing.Answered}, {t.Context(), 409, nil, 0, storepacing.Answered},
		{ended, 200, nil, 0, storepacing.Answered}, {t.Context(), 503, nil, 0, storepacing.Failed}, {t.Context(), 429, nil, 0, storepacing.Failed},
		{t.Context(), 0, io.EOF, 0, storepacing.Failed}, {ended, 0, context.Canceled, time.Second, storepacing.Abandoned},
		{late, 0, context.DeadlineExceeded, minCallTime / 2, storepacing.Abandoned}, {late, 0, context.DeadlineExceeded, minCallTime, storepacing.Failed},
	} {
		got, label := classify(c.ctx, c.status, c.err, c.took)
		assert.Equal(t, got, c.want, "%d %v %s", c.status, c.err, label)
	}
}

// Guards against a series of metrics for each job.
func TestCallsAreCountedWithoutTheIDsOfJobs(t *testing.T) {
	g := New(Options{Metrics: metrics.NewSet()})
	for _, id := range []string{"a", "b"} {
		ended, err := g.Enter(t.Context(), Call{"jobresults-" + id, "create"})
		assert.NilError(t, err)
		ended(t.Context(), 200, nil)
	}
	var out bytes.Buffer
	g.options.Metrics.WritePrometheus(&out)
	assert.Assert(t, strings.Contains(out.String(), `trefoilplank_store_calls_total{kind="jobresults",operation="create",outcome="answered"} 2`), "%s", &out)
}
