package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/reach"
)

// Guards against new requests for an upstream that owes data and is not heard while others are, against a service without
// candidates when all are silent, and against an upstream that is avoided after it was heard, while it owes nothing, or for good.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	s, rng := newTestState(3, 8)
	start := time.Unix(1000, 0)
	heard := map[string]time.Time{}
	s.SetHeard(func(address string) time.Time { return heard[address] })
	address := func(id string) string { return s.byID[id].Address }
	var ids []string
	for _, u := range s.services["s"].upstreams {
		u.Address = u.ID
		ids = append(ids, u.ID)
	}
	drawn := func(ms int) map[string]bool {
		drawn := map[string]bool{}
		for range 100 {
			choice := s.ChooseForOnline(OnlineRequest{Service: "s", Objective: time.Second, Remaining: 3 * time.Second, HubAsked: true}, notPreemptible, start.Add(time.Duration(ms)*time.Millisecond), rng)
			assert.Equal(t, choice.Verdict, Send)
			drawn[choice.Upstream.ID] = true
		}
		return drawn
	}
	begin := func(id string, ms int) {
		s.BeginRun(id, false)
		s.AwaitData(id, start.Add(time.Duration(ms)*time.Millisecond))
	}
	const silent = 300
	assert.Equal(t, len(drawn(0)), 3, "an upstream that owes nothing is not silent")
	begin(ids[0], 0)
	assert.Assert(t, drawn(100)[ids[0]], "it has just begun")
	assert.Assert(t, !drawn(silent)[ids[0]])
	assert.Assert(t, !s.HasFreeSlot(OnlineRequest{Service: "s", Exclude: ids[1:]}, start.Add(silent*time.Millisecond)))
	s.SetTotals(nil, nil, start.Add(silent*time.Millisecond))
	s.SetGrants(Grant{Online: map[string]int{ids[0]: 1}, Batch: map[string]int{ids[0]: 1}})
	assert.Assert(t, !drawn(silent)[ids[0]], "a granted slot")
	_, ok := s.ChooseForBatch("s", nil, start.Add(silent*time.Millisecond), rng)
	assert.Assert(t, !ok)
	begin(ids[1], 0)
	begin(ids[2], 0)
	assert.Assert(t, drawn(silent)[ids[0]], "all are silent, and a slot is granted")
	assert.Equal(t, len(drawn(silent)), 3)
	heard[address(ids[0])], heard[address(ids[1])] = start.Add(400*time.Millisecond), start.Add(1600*time.Millisecond)
	assert.Assert(t, drawn(410)[ids[0]], "it was heard")
	assert.Assert(t, !drawn(1700)[ids[0]], "it is silent again")
	s.EndRun(ids[0], false, start.Add(1700*time.Millisecond))
	assert.Assert(t, !drawn(1710)[ids[0]], "its run was given up")
	heard[address(ids[0])] = start.Add(1720 * time.Millisecond)
	assert.Assert(t, drawn(1730)[ids[0]] && drawn(3000)[ids[0]], "it was heard and owes nothing")
	begin(ids[0], 3000)
	heard[address(ids[1])] = start.Add(5000 * time.Millisecond)
	assert.Assert(t, drawn(3000 + int(reach.SoundSilence.Milliseconds()))[ids[0]], "no sound upstream is silent for so long")
}
