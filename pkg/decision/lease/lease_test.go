package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/lease"
)

// simulation holds the lease object, its holder, and a taker: a node that wants to take over from the holder. Holder and
// taker each have their own clock.
type simulation struct {
	now time.Duration
	// holderRate and takerRate are the speeds of the clocks relative to real time.
	holderRate, takerRate float64

	object   *lease.Record
	revision int64

	state       lease.State
	pending     []write
	reads       []read
	observation lease.Observation
	// takenToken is the largest token of the holder that the taker has taken over from.
	takenToken int64
}

// write is a renewal or acquisition without an answer yet. applied is set once the store has applied it, failed when its
// condition on the revision was not met.
type write struct {
	action   lease.Action
	token    int64
	expect   int64
	sent     time.Time
	applied  bool
	failed   bool
	revision int64
}

// read is a read by the taker without an answer yet. done is set once the store has processed it.
type read struct {
	start    time.Time
	done     bool
	record   *lease.Record
	revision int64
}

var epoch = time.Unix(1e9, 0)

func (s *simulation) holderNow() time.Time {
	return epoch.Add(time.Duration(float64(s.now) * s.holderRate))
}

func (s *simulation) takerNow() time.Time {
	return epoch.Add(time.Hour + time.Duration(float64(s.now)*s.takerRate))
}

// sendDueWrite sends the write that is due for the holder, unless another one has no answer yet.
func (s *simulation) sendDueWrite() {
	if len(s.pending) > 0 {
		return
	}
	switch action, _ := lease.Default.Next(s.state, s.holderNow()); action {
	case lease.ActionAcquire:
		s.state = lease.State{}
		s.pending = append(s.pending, write{action: action, expect: s.revision, sent: s.holderNow()})
	case lease.ActionRenew:
		s.pending = append(s.pending, write{action: action, token: s.state.Token, expect: s.state.Revision, sent: s.holderNow()})
	}
}

// applyWrites makes the store process the pending writes.
func (s *simulation) applyWrites() {
	for i := range s.pending {
		p := &s.pending[i]
		if p.applied || p.failed {
			continue
		}
		if p.failed = p.expect != s.revision; p.failed {
			continue
		}
		s.revision++
		p.applied, p.revision = true, s.revision
		r := lease.Record{Name: "n", Token: p.token}
		if r.Token == 0 {
			r.Token = s.revision
		}
		s.object = &r
	}
}

// deliverAnswers delivers the answers of the writes that the store has processed. Other writes are lost.
func (s *simulation) deliverAnswers() {
	for _, p := range s.pending {
		switch {
		case p.failed:
			s.state = lease.State{}
		case p.applied && p.action == lease.ActionAcquire:
			s.state = lease.Default.Acquired(p.sent, p.revision)
		case p.applied:
			s.state = lease.Default.Renewed(s.state, p.sent, s.holderNow(), p.revision)
		}
	}
	s.pending = nil
}

func (s *simulation) beginRead() { s.reads = append(s.reads, read{start: s.takerNow()}) }

func (s *simulation) processReads() {
	for i := range s.reads {
		if r := &s.reads[i]; !r.done {
			r.done, r.record, r.revision = true, s.object, s.revision
		}
	}
}

func (s *simulation) endReads() {
	for _, r := range s.reads {
		if r.done {
			s.observation = s.observation.AfterRead(r.record, r.revision, r.start, s.takerNow())
		}
	}
	s.reads = nil
}

func (s *simulation) readLease() {
	s.beginRead()
	s.processReads()
	s.endReads()
}

// takeOver takes over from the token that the taker saw, if that is allowed, and returns the number of takeovers.
func (s *simulation) takeOver() int {
	if s.observation.Token == 0 || !lease.Default.MayTake(s.observation, s.observation.Token, s.takerNow(), 0).Allowed {
		return 0
	}
	s.takenToken = max(s.takenToken, s.observation.Token)
	return 1
}

// TestNoEffectAfterTakeover guards against a holder that acts after another node took over. It covers delayed and lost
// writes, delayed reads, pauses, restarts and clocks at both ends of the allowed error.
func TestNoEffectAfterTakeover(t *testing.T) {
	takeovers := 0
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{1 - 0.0099, 1, 1 + 0.0099})
		sim := &simulation{holderRate: rate.Draw(t, "holder clock"), takerRate: rate.Draw(t, "taker clock")}
		lastToken := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				sim.now += time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond
			},
			"long pause": func(t *rapid.T) {
				sim.now += time.Duration(rapid.IntRange(28_000, 32_000).Draw(t, "ms")) * time.Millisecond
			},
			"send":          func(*rapid.T) { sim.sendDueWrite() },
			"apply":         func(*rapid.T) { sim.applyWrites() },
			"answer":        func(*rapid.T) { sim.applyWrites(); sim.deliverAnswers() },
			"renew":         func(*rapid.T) { sim.sendDueWrite(); sim.applyWrites(); sim.deliverAnswers() },
			"restart":       func(*rapid.T) { sim.state, sim.pending = lease.State{}, nil },
			"lose":          func(*rapid.T) { sim.pending = nil },
			"read begins":   func(*rapid.T) { sim.beginRead() },
			"read at store": func(*rapid.T) { sim.processReads() },
			"read ends":     func(*rapid.T) { sim.endReads() },
			"look":          func(*rapid.T) { sim.readLease() },
			"wait and take": func(t *rapid.T) {
				sim.readLease()
				// The pause ends shortly before or after the taker's wait is over.
				sim.now += time.Duration(rapid.IntRange(29_500, 31_500).Draw(t, "ms")) * time.Millisecond
				sim.readLease()
				takeovers += sim.takeOver()
			},
			"renewal sent in time is delayed": func(t *rapid.T) {
				sim.readLease()
				sim.now += time.Duration(rapid.IntRange(27_000, 28_900).Draw(t, "ms")) * time.Millisecond
				sim.sendDueWrite()
				sim.now += time.Duration(rapid.IntRange(1_000, 5_000).Draw(t, "ms")) * time.Millisecond
				sim.readLease()
				takeovers += sim.takeOver()
			},
			"take": func(*rapid.T) { takeovers += sim.takeOver() },
			"": func(t *rapid.T) {
				current := sim.state.Lease()
				if lease.Holds(current, sim.holderNow()) {
					if current.Token <= sim.takenToken {
						t.Fatalf("the holder acts under token %d after token %d was taken over", current.Token, sim.takenToken)
					}
					if current.Token < lastToken {
						t.Fatalf("token %d follows token %d", current.Token, lastToken)
					}
					lastToken = current.Token
				}
			},
		})
	})
	assert.Assert(t, takeovers > 0, "no takeover was ever allowed, so the property was not tested")
}

// TestMayTake guards against a takeover that is allowed too early or never.
func TestMayTake(t *testing.T) {
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	record := func(token int64, released bool) *lease.Record { return &lease.Record{Token: token, Released: released} }
	unread := lease.Observation{}
	firstRead := unread.AfterRead(record(5, false), 9, at(0), at(1))
	tests := []struct {
		name        string
		observation lease.Observation
		now         float64
		inFlight    time.Duration
		allowed     bool
		readAgain   bool
	}{
		{"never read", unread, 100, 0, false, true},
		{"just seen", firstRead, 2, 0, false, true},
		{"old observation without a second read", firstRead, 60, 0, false, true},
		{"second read too early", firstRead.AfterRead(record(5, false), 9, at(30), at(40)), 60, 0, false, true},
		{"second read late enough", firstRead.AfterRead(record(5, false), 9, at(31.4), at(31.5)), 31.5, 0, true, false},
		{"renewed in between", firstRead.AfterRead(record(5, false), 10, at(31.4), at(31.5)), 31.5, 0, false, true},
		{"order may be in flight", firstRead.AfterRead(record(5, false), 9, at(31.4), at(31.5)), 31.5, 10 * time.Second, false, true},
		{"released", firstRead.AfterRead(record(5, true), 10, at(2), at(3)), 3, 0, true, false},
		{"released, order in flight", firstRead.AfterRead(record(5, true), 10, at(2), at(3)), 4, 10 * time.Second, false, false},
		{"restarted just now", firstRead.AfterRead(record(12, false), 12, at(2), at(3)), 4, 0, false, false},
		{"restarted long ago", firstRead.AfterRead(record(12, false), 12, at(2), at(3)), 34, 0, true, false},
		{"removed just now", firstRead.AfterRead(nil, 0, at(2), at(3)), 4, 0, false, false},
		{"removed long ago", firstRead.AfterRead(nil, 0, at(2), at(3)), 34, 0, true, false},
		{"older than the role record", unread.AfterRead(record(4, false), 4, at(0), at(1)), 60, 0, false, true},
	}
	for _, tt := range tests {
		d := lease.Default.MayTake(tt.observation, 5, at(tt.now), tt.inFlight)
		assert.Equal(t, d.Allowed, tt.allowed, "%s: %s", tt.name, d.Reason)
		assert.Equal(t, d.ReadAgain, tt.readAgain, "%s: %s", tt.name, d.Reason)
	}
}

// TestRole guards against a role whose fencing token does not grow when a node with an older lease takes it over, and
// against a holder that keeps the role after its lease expired.
func TestRole(t *testing.T) {
	first := lease.Role{}.Take("a", blackboard.Lease{Token: 500})
	second := first.Take("b", blackboard.Lease{Token: 100})
	assert.DeepEqual(t, second, lease.Role{Holder: "b", Lease: 100, Token: 501})
	assert.Assert(t, second.HeldBy("b", blackboard.Lease{Token: 100}))
	assert.Assert(t, !second.HeldBy("b", blackboard.Lease{Token: 600}))
	assert.Assert(t, !lease.Role{Holder: "b"}.HeldBy("b", blackboard.Lease{}))
}

// TestSuspendedVM guards against a lease that stays valid through a suspension of the VM, which the monotonic clock does
// not count.
func TestSuspendedVM(t *testing.T) {
	now := time.Now()
	l := blackboard.Lease{Token: 1, Deadline: now.Add(time.Minute)}
	assert.Assert(t, lease.Holds(l, now.Add(30*time.Second)))
	// Round(0) removes the monotonic reading, so that only the wall clock shows the time of the suspension.
	assert.Assert(t, !lease.Holds(l, now.Add(2*time.Minute).Round(0)))
	assert.Assert(t, !lease.Holds(blackboard.Lease{Deadline: now.Add(time.Minute)}, now))
}

// FuzzDecode guards against a panic on a corrupt lease object, and against accepting a token above the object's revision.
func FuzzDecode(f *testing.F) {
	f.Add("nodes/a", lease.Record{Name: "a", Token: 3}.Encode(), int64(7))
	f.Add("nodes/a", []byte("{}"), int64(0))
	f.Fuzz(func(t *testing.T, key string, value []byte, revision int64) {
		r, err := lease.Decode(key, value, revision)
		if err == nil && (lease.Prefix+r.Name != key || r.Token > revision || r.Token < 0) {
			t.Fatalf("%+v at revision %d of %q", r, revision, key)
		}
	})
}
