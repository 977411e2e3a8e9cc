package upstreams

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/serving"
)

// stateProber counts state polls and reports the load that the test sets.
type stateProber struct {
	*fakeProber
	running, states atomic.Int64
}

func (p *stateProber) Load(ctx context.Context, u api.Upstream) (Load, error) {
	l, err := p.fakeProber.Load(ctx, u)
	l.Running = int(p.running.Load())
	return l, err
}

func (p *stateProber) State(ctx context.Context, u api.Upstream) (State, error) {
	p.states.Add(1)
	return p.fakeProber.State(ctx, u)
}

// Guards against polls at the full rate of a steady upstream, and against poll intervals that stay long when the upstream
// gets work that its owner did not admit, when a run fails, when a poll fails or after an order to the engine.
func TestPollsStretchWhileSteady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &stateProber{fakeProber: &fakeProber{polls: map[string]int{}}}
		b := blackboard.New()
		b.Members.Set(blackboard.Members{Self: "a", Live: map[string]blackboard.Member{"a": {}}})
		b.Config.Set(api.Config{Register: api.Register{Upstreams: []api.Upstream{engine("e1")}}})
		o := New(Options{Self: "a", Board: b, Prober: p, Seed: 3, Runs: func(string) int { return 2 }})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = o.Run(ctx) }()
		p.running.Store(2)
		over := func(d time.Duration) (polls, states int) {
			before, read := p.count("e1"), p.states.Load()
			time.Sleep(d)
			synctest.Wait()
			return p.count("e1") - before, int(p.states.Load() - read)
		}
		settle := func() { over(2 * time.Minute) }
		settle()
		polls, states := over(time.Minute)
		assert.Assert(t, polls >= 5 && polls <= 7 && states <= 2, "%d load polls and %d state reads a minute", polls, states)

		p.running.Store(6)
		over(steadyLoadInterval)
		polls, _ = over(10 * time.Second)
		assert.Assert(t, polls >= 14, "%d polls in 10 s of an upstream that runs what its owner did not admit", polls)
		p.running.Store(2)

		for name, disturb := range map[string]func(){
			"failed run": func() { o.Report("e1", serving.RunNotStarted) }, "order": func() { o.PollNow("e1") },
		} {
			settle()
			disturb()
			polls, states = over(time.Second)
			assert.Assert(t, polls >= 1 && states >= 1, "%s: %d polls and %d state reads in 1 s", name, polls, states)
			polls, _ = over(10 * time.Second)
			assert.Assert(t, polls >= 14, "%s: %d polls in 10 s", name, polls)
		}

		settle()
		p.mu.Lock()
		p.down = true
		p.mu.Unlock()
		time.Sleep(steadyLoadInterval + 3*intervalPerUpstream)
		synctest.Wait()
		assert.Equal(t, b.Upstreams.Value()["e1"].Health, blackboard.HealthEjected)
	})
}

// Guards against a section that is written each second although only loads changed, and against changes of slots, models
// or health that are written as late as those of loads. The expiry of the health that an owner reported changes health.
func TestSectionIsWrittenOnChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &stateProber{fakeProber: &fakeProber{polls: map[string]int{}}}
		b := blackboard.New()
		b.Members.Set(blackboard.Members{Self: "a", Live: map[string]blackboard.Member{"a": {}, "b": {}}})
		b.Config.Set(api.Config{Register: api.Register{Upstreams: []api.Upstream{engine("e1"), engine("e2"), engine("e3"), engine("e4")}}})
		o := New(Options{Self: "a", Board: b, Prober: p, Seed: 3})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = o.Run(ctx) }()
		time.Sleep(time.Minute)
		other := "e1"
		for i := 2; p.count(other) > 0; i++ {
			other = fmt.Sprint("e", i)
		}
		_, before := b.Upstreams.Get()
		time.Sleep(time.Minute)
		_, after := b.Upstreams.Get()
		assert.Assert(t, after-before <= int64(time.Minute/loadFlushInterval), "%d writes in a minute", after-before)

		st := blackboard.UpstreamStatus{Health: blackboard.HealthReady, Slots: 3, ReportedAt: time.Now()}
		o.StoreOwnerStatus(other, st)
		time.Sleep(flushInterval)
		synctest.Wait()
		assert.Equal(t, b.Upstreams.Value()[other].Slots, 3)
		st.LoadedModels = []string{"n"}
		o.StoreOwnerStatus(other, st)
		time.Sleep(flushInterval)
		synctest.Wait()
		assert.DeepEqual(t, b.Upstreams.Value()[other].LoadedModels, []string{"n"})
		st.Health = blackboard.HealthEjected
		o.StoreOwnerStatus(other, st)
		assert.Equal(t, b.Upstreams.Value()[other].Health, blackboard.HealthEjected)
		time.Sleep(ownerHealthLifetime + time.Second)
		synctest.Wait()
		assert.Equal(t, b.Upstreams.Value()[other].Health, blackboard.HealthReady, "the health reported by the owner has expired")
	})
}
