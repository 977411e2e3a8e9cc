package admission

import (
	"slices"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/decision/placement"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// rankedUpstream is an upstream with its expected wait and cost and the reason for its rank.
type rankedUpstream struct {
	api.Upstream
	placement.Choice
}

// rankUpstreams returns the upstreams that can run the request, best first.
func (c *Controller) rankUpstreams(r serving.Request, exclude []string) []rankedUpstream {
	in := placement.Input{AvailabilityZone: c.zone(), PrefixHashes: r.PrefixHashes, Alone: r.Alone}
	index := c.registerIndex()
	positions := index.serving(r.Model, r.Service)
	ups := make([]*api.Upstream, 0, len(positions))
	in.Candidates = make([]placement.Candidate, 0, len(positions))
	now := time.Now()
	observed := c.Board.Upstreams.Value()
	for _, i := range positions {
		u := &index.upstreams[i]
		if u.Leaving {
			continue
		}
		ups = append(ups, u)
		st := observed[u.Name]
		cand := placement.Candidate{
			Name: u.Name, AvailabilityZone: u.AvailabilityZone, Health: st.Health, HealthFor: now.Sub(st.Since),
			Excluded:  slices.Contains(exclude, u.Name),
			NotLoaded: u.Kind == api.UpstreamEngine && st.LoadedModels != nil && !slices.Contains(st.LoadedModels, r.Model),
		}
		c.setLoad(&cand, now, index.owner[i] == c.Self)
		if c.Observer != nil && len(r.PrefixHashes) > 0 {
			cand.CachedBlocks, cand.CacheTrust = c.Observer.Cached(u.Name, r.PrefixHashes)
		}
		in.Candidates = append(in.Candidates, cand)
	}
	c.mu.Lock()
	choices := placement.Choose(in, c.random)
	c.mu.Unlock()
	out := make([]rankedUpstream, len(choices))
	for i, ch := range choices {
		out[i] = rankedUpstream{Upstream: *ups[ch.Index], Choice: ch}
	}
	if len(out) > 0 {
		c.record(explain.Entry{Request: r.ID, Upstream: out[0].Upstream.Name, Decision: "place", Reason: out[0].Reason,
			Values: map[string]any{"candidates": len(in.Candidates), "usable": len(out), "expected_wait_ms": out[0].Wait.Milliseconds(),
				"expected_first_token_ms": out[0].Cost.Milliseconds()}})
	}
	return out
}

// setLoad sets the load of a candidate: from the state of this node if it is the owner, else from the owner's last
// reply.
func (c *Controller) setLoad(cand *placement.Candidate, now time.Time, own bool) {
	if own {
		l := c.ownedUpstream(cand.Name).load()
		cand.LoadKnown, cand.Limit, cand.Online, cand.Batch, cand.Waiting, cand.Hold = true, l.Limit, l.Online, l.Batch, l.Waiting, l.Hold
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view(cand.Name)
	cand.Limit, cand.SlotsTakenHere = defaultLimit, v.slotsTakenHere
	if !v.receivedAt.IsZero() {
		l := v.load
		cand.LoadKnown, cand.Age = true, now.Sub(v.receivedAt)
		cand.Limit, cand.Online, cand.Batch, cand.Waiting, cand.Hold = l.Limit, l.Online, l.Batch, l.Waiting, l.Hold
	}
}

func (c *Controller) zone() string {
	m := c.Board.Members.Value()
	return m.Live[c.Self].AvailabilityZone
}
