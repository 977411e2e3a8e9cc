package gateway

import (
	"context"
	"time"

	"trefoilplank.example/pkg/decision/retry"
	"trefoilplank.example/pkg/serving"
)

// runHedged runs a hedgeable call, and sends it to a second upstream as well if the first one takes longer than 95 %
// of the recent calls of the service. The first successful answer is used and the other run is cancelled.
func (g *Gateway) runHedged(ctx context.Context, rs *requestState, slot *serving.Slot, alone bool) attempt {
	start := time.Now()
	delay, ok := g.hedgeDelay(rs.req.Service)
	if !ok || alone {
		a := g.run(ctx, rs, slot)
		g.recordLookup(rs.req.Service, a, time.Since(start))
		return a
	}
	// Cancelling ctx on return ends the slower run, which then releases its slot.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, 2)
	go func() { results <- g.run(ctx, rs, slot) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-results:
		g.recordLookup(rs.req.Service, a, time.Since(start))
		return a
	case <-timer.C:
	}
	runs := 1
	if g.takeHedgeToken() {
		runs++
		second := *rs
		second.req.Exclude = append(append([]string(nil), rs.req.Exclude...), slot.Upstream.Name)
		g.explainDecision(rs, slot.Upstream.Name, "hedge", "no answer within the duration of 95 % of recent calls", map[string]any{
			"delay": delay.String(),
		})
		go func() { results <- g.runHedge(ctx, &second) }()
	}
	a := <-results
	if runs == 2 && !succeeded(a) {
		a = moreConclusive(a, <-results)
	}
	g.recordLookup(rs.req.Service, a, time.Since(start))
	return a
}

// runHedge gets a slot on another upstream and runs the request there. If no slot is granted, the returned attempt has
// no upstream.
func (g *Gateway) runHedge(ctx context.Context, rs *requestState) attempt {
	slot, err := g.acquireSlot(ctx, rs, false)
	if err != nil {
		return attempt{err: err}
	}
	return g.run(ctx, rs, slot)
}

// moreConclusive returns the attempt that decides the outcome: a successful one, otherwise one that an upstream may
// have started, so that the outcome is never not-run when either of the two may have run.
func moreConclusive(a, b attempt) attempt {
	if succeeded(b) || a.upstream == "" || (!a.maybeStarted() && b.upstream != "") {
		return b
	}
	return a
}

// succeeded reports whether the attempt has an answer that needs no retry.
func succeeded(a attempt) bool { return a.err == nil && !retryableStatus(a.res.Status) }

// takeHedgeToken reports whether the hedge budget allows another second run, and takes it from the budget.
func (g *Gateway) takeHedgeToken() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hedgeBudget.Take(time.Now())
}

// hedgeDelay returns how long to wait before a second run. It returns false if too few durations are known or the calls
// of the service are not short.
func (g *Gateway) hedgeDelay(service string) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.lookupDurations[service]
	if !ok {
		return 0, false
	}
	return d.HedgeDelay()
}

// recordLookup adds the duration of a successful call to the durations that set the hedge delay of the service.
func (g *Gateway) recordLookup(service string, a attempt, took time.Duration) {
	if !succeeded(a) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d, ok := g.lookupDurations[service]
	if !ok {
		d = &retry.LookupDurations{}
		g.lookupDurations[service] = d
	}
	d.Add(took)
	g.hedgeBudget.RecordSuccess(time.Now())
}
