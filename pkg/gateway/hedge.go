package gateway

import (
	"context"
	"time"

	"trefoilplank.example/pkg/decision/retry"
	"trefoilplank.example/pkg/serving"
)

// runHedged runs a short lookup, and runs it on a second upstream as well when the first one takes longer than
// 95 % of the recent lookups of the service. The first good answer counts, and the other run is cancelled.
func (g *Gateway) runHedged(ctx context.Context, j *job, slot *serving.Slot, alone bool) attempt {
	start := time.Now()
	delay, ok := g.hedgeDelay(j.req.Service)
	if !ok || alone {
		a := g.run(ctx, j, slot, alone)
		g.learnLookup(j.req.Service, a, time.Since(start))
		return a
	}
	// Both runs end with this call, so that the loser gives its slot back.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, 2)
	go func() { results <- g.run(ctx, j, slot, false) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-results:
		g.learnLookup(j.req.Service, a, time.Since(start))
		return a
	case <-timer.C:
	}
	runs := 1
	if g.takeHedge() {
		runs++
		second := *j
		second.req.Exclude = append(append([]string(nil), j.req.Exclude...), slot.Upstream.Name)
		g.record(j, slot.Upstream.Name, "hedge", "no answer in the time of 95 % of the lookups", map[string]any{
			"delay": delay.String(),
		})
		go func() { results <- g.runSecond(ctx, &second) }()
	}
	a := <-results
	if runs == 2 && !good(a) {
		a = better(a, <-results)
	}
	g.learnLookup(j.req.Service, a, time.Since(start))
	return a
}

// runSecond gets another slot and runs the hedge. Without a slot it returns an attempt without an upstream.
func (g *Gateway) runSecond(ctx context.Context, j *job) attempt {
	slot, err := g.acquire(ctx, j, false)
	if err != nil {
		return attempt{err: err}
	}
	return g.run(ctx, j, slot, false)
}

// better returns the attempt that tells more about the request: a good answer, else one that an upstream may have
// begun, so that the outcome is never not-run when one of the two has.
func better(a, b attempt) attempt {
	if good(b) || a.upstream == "" || (!a.started() && b.upstream != "") {
		return b
	}
	return a
}

func good(a attempt) bool { return a.err == nil && !retryableStatus(a.res.Status) }

func (g *Gateway) takeHedge() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hedges.Take(time.Now())
}

func (g *Gateway) hedgeDelay(service string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.lookups[service]
	if !ok {
		return 0, false
	}
	return d.HedgeDelay()
}

// learnLookup records the duration of a successful lookup.
func (g *Gateway) learnLookup(service string, a attempt, took time.Duration) {
	if !good(a) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.lookups[service]
	if !ok {
		d = &retry.Durations{}
		g.lookups[service] = d
	}
	d.Add(took)
	g.hedges.Success(time.Now())
}
