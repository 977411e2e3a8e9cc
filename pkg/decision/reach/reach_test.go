package reach

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newState returns a state with upstreams u0, u1, … of service s and p0, p1, … of service p.
func newState(s, p int) *State {
	state := New()
	var list []Upstream
	for n := range s {
		list = append(list, Upstream{Address: fmt.Sprint("u", n), Service: "s"})
	}
	for n := range p {
		list = append(list, Upstream{Address: fmt.Sprint("p", n), Service: "p"})
	}
	state.SetUpstreams(list, start)
	return state
}

func path(s *State, address string, ms int) Path {
	p, _ := s.Path(address, at(ms))
	return p
}

// Guards against an upstream that is down being reached through others although nobody else reaches it, and against others
// being asked for sound upstreams because of it.
func TestFailureOfOneUpstreamIsNotThatOfTheNode(t *testing.T) {
	s := newState(4, 0)
	s.ConnectFailed("u0", at(100))
	s.ConnectFailed("u0", at(500))
	assert.Assert(t, !s.Suspected("s", at(500)))
	assert.Equal(t, path(s, "u0", 500), Direct)
	s.Connected("u1", at(600))
	s.ConnectFailed("u2", at(700))
	assert.Assert(t, !s.Suspected("s", at(700)), "another upstream was reached meanwhile")
	assert.DeepEqual(t, s.OthersReach("u2", at(710)), []string{"u2"})
	assert.Equal(t, path(s, "u2", 710), Relayed)
	assert.Equal(t, path(s, "u1", 710), Direct)
	_, cutOff := s.Unreached()
	assert.Assert(t, !cutOff)
}

// Guards against a node that is cut off and finds that out only for one upstream after the other, and against one service's
// failures being taken for another's.
func TestOneFindingHoldsForAllUpstreamsOfTheService(t *testing.T) {
	s := newState(4, 2)
	s.Connected("p0", at(50))
	s.ConnectFailed("u0", at(100))
	s.ConnectFailed("u1", at(150))
	assert.Assert(t, s.Suspected("s", at(150)))
	assert.Assert(t, !s.Suspected("p", at(150)))
	assert.Equal(t, len(s.OthersReach("u1", at(160))), 4)
	assert.Equal(t, path(s, "u3", 160), Relayed)
	assert.Equal(t, path(s, "p1", 160), Direct)
	count, cutOff := s.Unreached()
	assert.Equal(t, count, 4)
	assert.Assert(t, cutOff)
}

// Guards against open connections that live on hiding that all new ones fail.
func TestDataOnOpenConnectionsDoesNotHideFailingConnects(t *testing.T) {
	s := newState(3, 0)
	s.Connected("u2", at(0))
	for ms := 100; ms < 1000; ms += 100 {
		s.Poll(map[string]Activity{"u2": {Sent: true, Received: true}}, at(ms))
	}
	s.ConnectFailed("u0", at(950))
	s.ConnectFailed("u1", at(960))
	assert.Assert(t, s.Suspected("s", at(1000)))
	assert.Equal(t, len(s.OthersReach("u0", at(1000))), 3)
	assert.Assert(t, !s.Lost("u2"), "what is in progress on its open connections goes on")
}

// Guards against the silence of one upstream, of a service with little work, or of a process that was suspended being taken for
// a cut.
func TestSilenceCountsOnlyIfNoneIsHeard(t *testing.T) {
	s := newState(3, 0)
	sent := map[string]Activity{"u0": {Sent: true}, "u1": {Sent: true}}
	for ms := 0; ms <= 1000; ms += 100 {
		sent["u2"] = Activity{Received: true}
		s.Poll(sent, at(ms))
	}
	assert.Assert(t, !s.Suspected("s", at(1000)), "another upstream is heard")
	assert.Equal(t, len(s.SilentChecks(at(1000))), 0)

	s = newState(3, 0)
	s.Poll(map[string]Activity{"u0": {Sent: true}}, at(0))
	for ms := 100; ms <= 1500; ms += 100 {
		s.Poll(nil, at(ms))
	}
	assert.Assert(t, !s.Suspected("s", at(1500)), "one upstream may be silent for a second")

	s = newState(3, 0)
	s.Poll(map[string]Activity{"u0": {Sent: true}, "u1": {Sent: true}}, at(0))
	s.Poll(nil, at(3000))
	assert.Assert(t, !s.Suspected("s", at(3000)), "the process was suspended meanwhile")
	s.Poll(nil, at(3100))
	s.Poll(nil, at(3300))
	assert.Assert(t, s.Suspected("s", at(3300)))
	assert.Equal(t, len(s.SilentChecks(at(3300))), 2)
	assert.Equal(t, len(s.SilentChecks(at(3310))), 0, "checks in progress are not repeated")
}

// Guards against a return that waits for a connection to each upstream in turn, against requests that are sent to upstreams
// which do not work again yet, and against checks without end while the cut lasts.
func TestUpstreamsReturnOneByOneAndSoon(t *testing.T) {
	s := newState(4, 0)
	s.ConnectFailed("u0", at(0))
	s.ConnectFailed("u1", at(0))
	s.OthersReach("u0", at(10))
	checks := 0
	for ms := 10; ms < 4000; ms += 10 {
		if _, check := s.Path("u0", at(ms)); check {
			checks++
			s.ConnectFailed("u0", at(ms))
		}
	}
	assert.Assert(t, checks >= 4 && checks <= 8, "%d checks in 4 s", checks)
	assert.Assert(t, s.Connected("u1", at(4000)))
	_, check := s.Path("u0", at(4001))
	assert.Assert(t, check, "another upstream is back")
	s.ConnectFailed("u0", at(4001))
	assert.Equal(t, path(s, "u1", 4010), Direct)
	assert.Equal(t, path(s, "u0", 4010), Relayed)
	assert.Assert(t, s.Connected("u0", at(4500)))
	assert.Assert(t, !s.Connected("u0", at(4600)), "it returned before")
}

// Guards against a node without requests that stays cut off for ever, and against checks of all its upstreams at once.
func TestUpstreamsReturnWithoutRequests(t *testing.T) {
	s := newState(5, 0)
	s.ConnectFailed("u0", at(0))
	s.ConnectFailed("u1", at(0))
	s.OthersReach("u0", at(10))
	assert.Assert(t, s.Waiting())
	for ms := 300; ms < 2000; ms += 100 {
		for _, address := range s.ReturnChecks(2, at(ms)) {
			s.Connected(address, at(ms))
		}
	}
	count, _ := s.Unreached()
	assert.Equal(t, count, 0)
	assert.Assert(t, !s.Waiting())
	assert.Equal(t, len(s.ReturnChecks(2, at(3000))), 0)
	s.ConnectFailed("u0", at(4000))
	s.ConnectFailed("u1", at(4000))
	assert.Equal(t, len(s.OthersReach("u0", at(4000))), 5)
	assert.Equal(t, len(s.ReturnChecks(2, at(5000))), 2)
}

// Guards against requests in progress that wait for an upstream that can't answer, and against those that it still answers
// being given up.
func TestLostOnlyIfNothingArrives(t *testing.T) {
	s := newState(2, 0)
	s.Poll(map[string]Activity{"u0": {Received: true}, "u1": {Sent: true}}, at(0))
	s.ConnectFailed("u0", at(100))
	s.ConnectFailed("u1", at(100))
	assert.Assert(t, !s.Lost("u0"), "nobody else is known to reach it")
	s.OthersReach("u0", at(110))
	assert.Assert(t, s.Lost("u0"))
	s.Poll(map[string]Activity{"u0": {Received: true}}, at(200))
	assert.Assert(t, !s.Lost("u0"))
}

// Guards against the state of an upstream's former process, and of upstreams that are gone.
func TestStateFollowsTheListOfUpstreams(t *testing.T) {
	s := newState(2, 0)
	s.ConnectFailed("u0", at(100))
	s.SetUpstreams([]Upstream{{"u0", "s", 2}}, at(200))
	assert.Assert(t, !s.Failing("u0", at(200)))
	assert.Assert(t, !s.Known("u1"))
	s.ConnectFailed("u1", at(300))
	assert.Equal(t, len(s.OthersReach("u1", at(300))), 0)
}

// Guards against a path through others without a reason, under any order of events: without a failure or silence of the
// upstream's service, and after a connection of the node's own.
func TestPathsFollowFromEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState(4, 1)
		ms, failed := 0, map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			ms += rapid.IntRange(0, 300).Draw(t, "ms")
			address := rapid.SampledFrom([]string{"u0", "u1", "u2", "u3", "p0"}).Draw(t, "address")
			service := address[:1]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				s.ConnectFailed(address, at(ms))
				failed[service] = true
			case 1:
				s.Connected(address, at(ms))
				if s.Relayed(address) || s.Failing(address, at(ms)) {
					t.Fatalf("%s is not reached directly after a connection", address)
				}
			case 2:
				s.Poll(map[string]Activity{address: {Sent: true}}, at(ms))
				failed[service] = failed[service] || s.Failing(address, at(ms+1000))
			case 3:
				s.Poll(map[string]Activity{address: {Received: true}}, at(ms))
			case 4:
				before := s.Relayed(address)
				relayed := s.OthersReach(address, at(ms))
				if len(relayed) > 0 && !failed[service] {
					t.Fatalf("%v are relayed without a failure", relayed)
				}
				if !before && s.Relayed(address) && !s.Failing(address, at(ms)) {
					t.Fatalf("%s is relayed and does not fail", address)
				}
			}
			for _, a := range []string{"u0", "p0"} {
				if s.Relayed(a) && !failed[a[:1]] {
					t.Fatalf("%s is relayed without a failure", a)
				}
			}
		}
	})
}
