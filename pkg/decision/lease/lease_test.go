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
// taker have clocks of their own.
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

func (w *simulation) holderNow() time.Time {
	return epoch.Add(time.Duration(float64(w.now) * w.holderRate))
}

func (w *simulation) takerNow() time.Time {
	return epoch.Add(time.Hour + time.Duration(float64(w.now)*w.takerRate))
}

// sendDueWrite sends the write that is due for the holder, unless another one has no answer yet.
func (w *simulation) sendDueWrite() {
	if len(w.pending) > 0 {
		return
	}
	switch action, _ := lease.Default.Next(w.state, w.holderNow()); action {
	case lease.ActionAcquire:
		w.state = lease.State{}
		w.pending = append(w.pending, write{action: action, expect: w.revision, sent: w.holderNow()})
	case lease.ActionRenew:
		w.pending = append(w.pending, write{action: action, token: w.state.Token, expect: w.state.Revision, sent: w.holderNow()})
	}
}

// applyWrites makes the store process the pending writes.
func (w *simulation) applyWrites() {
	for i := range w.pending {
		p := &w.pending[i]
		if p.applied || p.failed {
			continue
		}
		if p.failed = p.expect != w.revision; p.failed {
			continue
		}
		w.revision++
		p.applied, p.revision = true, w.revision
		r := lease.Record{Name: "n", Token: p.token}
		if r.Token == 0 {
			r.Token = w.revision
		}
		w.object = &r
	}
}

// deliverAnswers delivers the answers of the writes that the store has processed. Other writes are lost.
func (w *simulation) deliverAnswers() {
	for _, p := range w.pending {
		switch {
		case p.failed:
			w.state = lease.State{}
		case p.applied && p.action == lease.ActionAcquire:
			w.state = lease.Default.Acquired(p.sent, p.revision)
		case p.applied:
			w.state = lease.Default.Renewed(w.state, p.sent, w.holderNow(), p.revision)
		}
	}
	w.pending = nil
}

func (w *simulation) beginRead() { w.reads = append(w.reads, read{start: w.takerNow()}) }

func (w *simulation) processReads() {
	for i := range w.reads {
		if r := &w.reads[i]; !r.done {
			r.done, r.record, r.revision = true, w.object, w.revision
		}
	}
}

func (w *simulation) endReads() {
	for _, r := range w.reads {
		if r.done {
			w.observation = w.observation.AfterRead(r.record, r.revision, r.start, w.takerNow())
		}
	}
	w.reads = nil
}

func (w *simulation) readLease() {
	w.beginRead()
	w.processReads()
	w.endReads()
}

// takeOver takes over from the token that the taker saw, if that is allowed, and returns the number of takeovers.
func (w *simulation) takeOver() int {
	if w.observation.Token == 0 || !lease.Default.MayTake(w.observation, w.observation.Token, w.takerNow(), 0).Allowed {
		return 0
	}
	w.takenToken = max(w.takenToken, w.observation.Token)
	return 1
}

// TestNoEffectAfterTakeover guards against a holder that acts after another node took over. It covers delayed and lost
// writes, delayed reads, pauses, restarts and clocks at both ends of the allowed error.
func TestNoEffectAfterTakeover(t *testing.T) {
	takeovers := 0
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{1 - 0.0099, 1, 1 + 0.0099})
		w := &simulation{holderRate: rate.Draw(t, "holder clock"), takerRate: rate.Draw(t, "taker clock")}
		lastToken := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond
			},
			"long pause": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(28_000, 32_000).Draw(t, "ms")) * time.Millisecond
			},
			"send":          func(*rapid.T) { w.sendDueWrite() },
			"apply":         func(*rapid.T) { w.applyWrites() },
			"answer":        func(*rapid.T) { w.applyWrites(); w.deliverAnswers() },
			"renew":         func(*rapid.T) { w.sendDueWrite(); w.applyWrites(); w.deliverAnswers() },
			"restart":       func(*rapid.T) { w.state, w.pending = lease.State{}, nil },
			"lose":          func(*rapid.T) { w.pending = nil },
			"read begins":   func(*rapid.T) { w.beginRead() },
			"read at store": func(*rapid.T) { w.processReads() },
			"read ends":     func(*rapid.T) { w.endReads() },
			"look":          func(*rapid.T) { w.readLease() },
			"wait and take": func(t *rapid.T) {
				w.readLease()
				// The pause ends shortly before or after the taker's wait is over.
				w.now += time.Duration(rapid.IntRange(29_500, 31_500).Draw(t, "ms")) * time.Millisecond
				w.readLease()
				takeovers += w.takeOver()
			},
			"renewal sent in time is delayed": func(t *rapid.T) {
				w.readLease()
				w.now += time.Duration(rapid.IntRange(27_000, 28_900).Draw(t, "ms")) * time.Millisecond
				w.sendDueWrite()
				w.now += time.Duration(rapid.IntRange(1_000, 5_000).Draw(t, "ms")) * time.Millisecond
				w.readLease()
				takeovers += w.takeOver()
			},
			"take": func(*rapid.T) { takeovers += w.takeOver() },
			"": func(t *rapid.T) {
				held := w.state.Lease()
				if lease.Holds(held, w.holderNow()) {
					if held.Number <= w.takenToken {
						t.Fatalf("the holder acts under token %d after token %d was taken over", held.Number, w.takenToken)
					}
					if held.Number < lastToken {
						t.Fatalf("token %d follows token %d", held.Number, lastToken)
					}
					lastToken = held.Number
				}
			},
		})
	})
	assert.Assert(t, takeovers > 0, "the property was never exercised")
}

// TestMayTake guards against a takeover that is allowed too early or never.
func TestMayTake(t *testing.T) {
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	record := func(token int64, released bool) *lease.Record { return &lease.Record{Token: token, Released: released} }
	unread := lease.Observation{}
	held := unread.AfterRead(record(5, false), 9, at(0), at(1))
	tests := []struct {
		name     string
		seen     lease.Observation
		now      float64
		inFlight time.Duration
		allowed  bool
		look     bool
	}{
		{"never read", unread, 100, 0, false, true},
		{"just seen", held, 2, 0, false, true},
		{"old observation without a second read", held, 60, 0, false, true},
		{"second read too early", held.AfterRead(record(5, false), 9, at(30), at(40)), 60, 0, false, true},
		{"second read late enough", held.AfterRead(record(5, false), 9, at(31.4), at(31.5)), 31.5, 0, true, false},
		{"renewed in between", held.AfterRead(record(5, false), 10, at(31.4), at(31.5)), 31.5, 0, false, true},
		{"order may be in flight", held.AfterRead(record(5, false), 9, at(31.4), at(31.5)), 31.5, 10 * time.Second, false, true},
		{"released", held.AfterRead(record(5, true), 10, at(2), at(3)), 3, 0, true, false},
		{"released, order in flight", held.AfterRead(record(5, true), 10, at(2), at(3)), 4, 10 * time.Second, false, false},
		{"restarted just now", held.AfterRead(record(12, false), 12, at(2), at(3)), 4, 0, false, false},
		{"restarted long ago", held.AfterRead(record(12, false), 12, at(2), at(3)), 34, 0, true, false},
		{"removed just now", held.AfterRead(nil, 0, at(2), at(3)), 4, 0, false, false},
		{"removed long ago", held.AfterRead(nil, 0, at(2), at(3)), 34, 0, true, false},
		{"older than the role record", unread.AfterRead(record(4, false), 4, at(0), at(1)), 60, 0, false, true},
	}
	for _, tt := range tests {
		d := lease.Default.MayTake(tt.seen, 5, at(tt.now), tt.inFlight)
		assert.Equal(t, d.Allowed, tt.allowed, "%s: %s", tt.name, d.Reason)
		assert.Equal(t, d.ReadAgain, tt.look, "%s: %s", tt.name, d.Reason)
	}
}

// TestRole guards against a role whose fencing token does not grow when a node with an older lease takes it over, and
// against a holder that keeps the role after its lease expired.
func TestRole(t *testing.T) {
	first := lease.Role{}.Take("a", blackboard.Lease{Number: 500})
	second := first.Take("b", blackboard.Lease{Number: 100})
	assert.DeepEqual(t, second, lease.Role{Holder: "b", Lease: 100, Token: 501})
	assert.Assert(t, second.HeldBy("b", blackboard.Lease{Number: 100}))
	assert.Assert(t, !second.HeldBy("b", blackboard.Lease{Number: 600}))
	assert.Assert(t, !lease.Role{Holder: "b"}.HeldBy("b", blackboard.Lease{}))
}

// TestSuspendedVM guards against a lease that stays valid through a suspension of the VM, which the monotonic clock does
// not count.
func TestSuspendedVM(t *testing.T) {
	now := time.Now()
	l := blackboard.Lease{Number: 1, Deadline: now.Add(time.Minute)}
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
