package upstreams

import (
	"context"
	"maps"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/api"
)

// poll reads the load of one upstream, and state and cache events if it is an engine, until ctx ends.
func (o *Observer) poll(ctx context.Context, u api.Upstream) {
	o.polledUpstreams.Add(1)
	defer o.polledUpstreams.Add(-1)
	o.mu.Lock()
	pollNow := o.entry(u.Name).pollNow
	o.mu.Unlock()
	schedule := pollSchedule{}
	for ctx.Err() == nil {
		now := time.Now()
		runs := o.runs(u.Name)
		load, ok := o.pollLoad(ctx, u)
		if ok && u.Kind == api.UpstreamEngine {
			if now.Sub(schedule.stateAt) >= schedule.stateInterval() || !o.hasState(u.Name) {
				schedule.stateAt = now
				o.pollState(ctx, u)
			}
			if now.Sub(schedule.cacheAt) >= 2*o.baseInterval() {
				schedule.cacheAt = now
				o.pollCache(ctx, u)
			}
		}
		schedule.setInterval(o.baseInterval(), ok && o.steady(u.Name, load, runs))
		if !schedule.wait(ctx, pollNow) {
			return
		}
	}
}

// baseInterval returns the time between load polls of an upstream that is not steady.
func (o *Observer) baseInterval() time.Duration {
	return max(loadInterval, time.Duration(o.polledUpstreams.Load())*intervalPerUpstream)
}

func (o *Observer) runs(name string) int {
	if o.Runs == nil {
		return 0
	}
	return o.Runs(name)
}

func (o *Observer) pollLoad(ctx context.Context, u api.Upstream) (Load, bool) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	l, err := o.Prober.Load(probeCtx, u)
	if ctx.Err() != nil {
		return l, false
	}
	now := time.Now()
	o.mu.Lock()
	e := o.entry(u.Name)
	changed := o.recordHealth(u.Name, e, e.tracker.RecordPoll(now, err == nil, o.random))
	if err == nil {
		if l.At.IsZero() || l.At.After(now) {
			l.At = now
		}
		before, st := e.status, &e.status
		st.Running, st.Waiting, st.Slots, st.KVUsed, st.KVCapacity, st.ReportedAt = l.Running, l.Waiting, l.Slots, l.KVUsed, l.KVCapacity, l.At
		o.scheduleFlush(before, *st)
	} else {
		o.setEngine(e, nil)
	}
	o.mu.Unlock()
	if changed {
		o.publish()
	}
	if err != nil {
		klog.V(1).InfoS("Load poll failed", "upstream", u.Name, "err", err)
	}
	return l, err == nil
}

func (o *Observer) pollState(ctx context.Context, u api.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s, err := o.Prober.State(ctx, u)
	if err != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.setEngine(o.entry(u.Name), nil)
		klog.V(1).InfoS("State poll failed", "upstream", u.Name, "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.entry(u.Name)
	before := e.status
	e.status.LoadedModels, e.status.ModelVersions = s.Models, maps.Clone(s.Engine.Models)
	for model := range s.Engine.Loading {
		delete(e.status.ModelVersions, model)
	}
	if e.stop != nil {
		o.setEngine(e, &s)
	}
	o.scheduleFlush(before, e.status)
}

func (o *Observer) pollCache(ctx context.Context, u api.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	o.mu.Lock()
	after := o.entry(u.Name).cache.LastSeq()
	o.mu.Unlock()
	ev, err := o.Prober.CacheEvents(ctx, u, after)
	if err != nil {
		klog.V(1).InfoS("Cache event poll failed", "upstream", u.Name, "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.entry(u.Name).cache
	if ev.Next > 0 && ev.Next < after {
		// The engine was restarted, with an empty cache and a new sequence of events.
		c.Reset()
	}
	c.Apply(time.Now(), ev.Events)
}
