package admission

import (
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	decision "trefoilplank.example/pkg/decision/admission"
	"trefoilplank.example/pkg/decision/health"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// weightLifetime is how long the online_tail_weight of an institution applies to an upstream after its last run.
const weightLifetime = time.Minute

// observeRun updates the estimates and the tuner from a finished online run; o.mu is held.
func (o *ownedUpstream) observeRun(now time.Time, a *ReleaseArgs) {
	u := a.Usage
	if a.Work.Batch || (u.Result != serving.RunOK && u.Result != "") || u.Duration <= 0 {
		return
	}
	s := decision.Sample{Queued: a.Work.Queued, FirstToken: u.FirstToken, BetweenTokens: u.BetweenTokens, Duration: u.Duration, Tokens: u.Tokens}
	if _, batch, _ := o.state.Counts(); batch > 0 {
		// While batch runs hold slots, a request queues only until one of them is preempted, so batch work caused
		// this wait and it counts into the first-token time.
		s.FirstToken += s.Queued
	}
	o.state.ObserveHold(u.Duration)
	o.estimates.Observe(s)
	rules := o.c.Board.Config.Value().Rules
	objectives := decision.ObjectivesOf(rules, a.Work.Institution, a.Work.Class)
	if ratio, mayMiss, ok := objectives.WorstRatio(s, &o.estimates); ok {
		o.tuner.Observe(now, ratio, mayMiss)
	}
	if r, ok := rules.ForInstitution(a.Work.Institution); ok {
		if r.OnlineTailWeight >= o.weight || now.Sub(o.weightAt) > weightLifetime {
			o.weight, o.weightAt = r.OnlineTailWeight, now
		}
	}
	o.tune(now, o.batchPressure())
}

// batchPressure returns the urgency of the batch work that this upstream can run.
func (o *ownedUpstream) batchPressure() float64 {
	u, ok := o.c.findUpstream(o.name)
	if !ok || o.c.Batch == nil {
		return 0
	}
	most := 0.0
	for _, m := range u.Models {
		most = max(most, o.c.Batch.Pressure(m))
	}
	return most
}

// tune sets the limit and the number of batch slots according to the latest observations and the pressure of batch work;
// o.mu is held.
func (o *ownedUpstream) tune(now time.Time, pressure float64) {
	st := o.c.Board.Upstreams.Value()[o.name]
	_, batch, _ := o.state.Counts()
	out := o.tuner.Update(now, decision.TunerInput{Slots: st.Slots, PeakSlots: o.state.Peak(), UsedBatchSlots: batch,
		OnlineTailWeight: o.weight, BatchPressure: pressure, MeanHold: o.state.MeanHold()})
	limit := out.Limit
	if share := health.WorkShare(st.Health, now.Sub(st.Since)); share > 0 && share < 1 {
		limit = max(1, int(share*float64(limit)))
	}
	if out.Tail > 0 {
		o.state.ResetPeak()
	}
	if out.Reason != "" {
		o.c.record(explain.Entry{Upstream: o.name, Decision: "tune", Reason: out.Reason, Values: map[string]any{
			"limit": limit, "batch_slots": out.BatchSlots, "tail": out.Tail, "weight": o.weight, "pressure": pressure}})
	}
	o.batchSlots = min(out.BatchSlots, limit)
	o.state.SetHeadroom(decision.Headroom(limit, o.weight))
	if limit != o.state.Limit() {
		o.applyDecisions(now, o.state.SetLimit(now, limit))
	}
	o.refreshProgress()
	o.applyDecisions(now, o.state.TrimBatch(now, o.batchSlots))
}

// latestStart returns the time after which starting the request is of no use; o.mu is held.
func (o *ownedUpstream) latestStart(now time.Time, w Work, it decision.Item) time.Time {
	objective := decision.ObjectivesOf(o.c.Board.Config.Value().Rules, w.Institution, w.Class).FirstToken
	return decision.LatestStart(now, now.Add(-w.Queued), it.Deadline, o.estimates.ExpectedRunTime(w.MaxTokens), time.Duration(objective.Latency), o.estimates.FirstToken)
}

// mayStartBatch reports whether this node may start batch work on the upstream.
func (c *Controller) mayStartBatch(name string, u api.Upstream) bool {
	h := c.Board.Upstreams.Value()[name].Health
	return !u.Leaving && h != blackboard.HealthEjected && h != blackboard.HealthLeaving &&
		c.owner(name) == c.Self
}
