package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/outlier"
)

// Guards against requests that are refused while the limit of an outlier, granted to this node, is left: other nodes can't use it.
func TestGrantedLimitOfOutlierIsUsedLast(t *testing.T) {
	s, rng := newTestState(6, 8)
	now := time.Unix(1000, 0)
	var ids []string
	for _, u := range s.services["s"].upstreams {
		ids = append(ids, u.ID)
		s.Announce(u.ID, Announcement{Limit: 5, Incarnation: u.Incarnation}, now)
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
