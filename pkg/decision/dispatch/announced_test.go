package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/outlier"
)

// announceLimits has all upstreams of the service name a limit, and returns their IDs.
func announceLimits(s *State, limit float64, now time.Time) (ids []string) {
	for _, u := range s.services["s"].upstreams {
		ids = append(ids, u.ID)
		s.Announce(u.ID, Announcement{Limit: limit, Incarnation: u.Incarnation}, now)
	}
	return ids
}

// Guards against requests that are refused while the limit of an outlier, granted to this node, is left: other nodes can't use it.
func TestGrantedLimitOfOutlierIsUsedLast(t *testing.T) {
	s, rng := newTestState(6, 8)
	now := time.Unix(1000, 0)
	ids := announceLimits(s, 5, now)
	for _, u := range s.services["s"].upstreams {
		s.AddOwnEvidence(u.ID, outlier.Evidence{Firsts: 4, FirstTime: 4 * time.Millisecond}, now)
	}
	s.AddOwnEvidence(ids[0], outlier.Evidence{Firsts: 1, FirstTime: 100 * time.Millisecond}, now)
	s.SetHub(true, 3)
	s.SetTotals(nil, nil, now)
	s.SetGrants(Grant{Online: map[string]int{ids[0]: 1, ids[1]: 1}})
	choose := func(asked bool) Choice {
		return s.ChooseForOnline(OnlineRequest{Service: "s", Objective: time.Second, Remaining: 3 * time.Second, HubAsked: asked}, notPreemptible, now, rng)
	}
	first := choose(true)
	assert.Assert(t, s.weight(s.byID[ids[0]], now) < outlierWeight)
	assert.Equal(t, first.Upstream.ID, ids[1], "others are preferred")
	assert.Equal(t, choose(false).Verdict, Ask, "others may be granted")
	last := choose(true)
	assert.Equal(t, last.Verdict, Send)
	assert.Equal(t, last.Upstream.ID, ids[0])
	assert.Equal(t, choose(true).Verdict, Refuse, "nothing is granted")
}

// Guards against requests that are refused for seconds after a single late answer, while the limit of the upstream that sent it is left: the hub
// granted nothing of the limits of outliers to any node. Other limits, and upstreams without one, are granted first.
func TestLimitOfOutlierIsGrantedLast(t *testing.T) {
	s, _ := newTestState(6, 8)
	now := time.Unix(1000, 0)
	ids := announceLimits(s, 1, now)
	for _, u := range s.services["s"].upstreams {
		s.AddHubEvidence(map[string]outlier.Evidence{u.ID: {Firsts: 4, FirstTime: 4 * time.Millisecond}}, now)
		u.announced.fleet.available(u.announced.limit, now)
	}
	s.AddHubEvidence(map[string]outlier.Evidence{ids[0]: {Firsts: 1, FirstTime: 90 * time.Millisecond}}, now)
	now = now.Add(time.Second) // Each limit leaves one request.
	s.SetFleetWeights(s.HubWeights(now))
	s.SetTotals(nil, nil, now)
	assert.Assert(t, s.weight(s.byID[ids[0]], now) < outlierWeight)
	grants := func(arrivals int, outstanding map[string]int) map[string]int {
		want := Want{Waiting: arrivals}
		return s.Grants("s", want, want, nil, outstanding, func(string) bool { return false }, now).Online
	}
	assert.Equal(t, grants(5, nil)[ids[0]], 0, "others are granted first")
	assert.Equal(t, sumSlots(grants(5, nil)), 5)
	assert.Equal(t, grants(6, nil)[ids[0]], 1)
	assert.Equal(t, sumSlots(grants(9, nil)), 6, "more than the limits is granted")
	assert.Equal(t, grants(6, map[string]int{ids[0]: 1})[ids[0]], 0, "the slot is granted to another node")
	s.Announce(ids[1], Announcement{Incarnation: s.byID[ids[1]].Incarnation}, now)
	assert.Equal(t, grants(9, nil)[ids[0]], 0, "an upstream without a limit has slots")
	s.byID[ids[0]].ejectedUntil = now.Add(time.Second)
	assert.Equal(t, grants(20, nil)[ids[0]], 0, "the upstream fails")
}

// Guards against a granted slot of an outlier that is used although upstreams without a limit are left.
func TestGrantedLimitOfOutlierIsLeftWhileOthersHaveSlots(t *testing.T) {
	s, rng := newTestState(6, 8)
	now := time.Unix(1000, 0)
	limited := s.services["s"].upstreams[0]
	s.Announce(limited.ID, Announcement{Limit: 5, Incarnation: limited.Incarnation}, now)
	for _, u := range s.services["s"].upstreams {
		s.AddOwnEvidence(u.ID, outlier.Evidence{Firsts: 4, FirstTime: 4 * time.Millisecond}, now)
	}
	s.AddOwnEvidence(limited.ID, outlier.Evidence{Firsts: 1, FirstTime: 100 * time.Millisecond}, now)
	s.SetHub(true, 3)
	s.SetTotals(nil, nil, now)
	s.SetGrants(Grant{Online: map[string]int{limited.ID: 5}})
	for range 20 {
		choice := s.ChooseForOnline(OnlineRequest{Service: "s", Objective: time.Second, Remaining: 3 * time.Second, HubAsked: true}, notPreemptible, now, rng)
		assert.Equal(t, choice.Verdict, Send)
		assert.Assert(t, choice.Upstream.ID != limited.ID)
	}
}
