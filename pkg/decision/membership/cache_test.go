package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/decision/lease"
)

// Guards against a cached ring that keeps a removed node or lacks a new one, so that no node observes it, and against
// digests that change while DigestRevision does not, so that a difference between tables is never repaired.
func TestCachedRingAndDigestFollowChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		own := Update{Name: "n0", AvailabilityZone: "a", PeerAddress: "n0", Stamp: Stamp{Incarnation: 1}}
		table := NewTable(Default, own, now)
		zones := rapid.SampledFrom([]string{"a", "b"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			digests, revision := table.Digests(), table.DigestRevision()
			name := fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "node"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				table.Merge(Update{Name: name, AvailabilityZone: zones.Draw(t, "zone"), PeerAddress: name, Draining: rapid.Bool().Draw(t, "draining"),
					Stamp: Stamp{int64(rapid.IntRange(1, 3).Draw(t, "incarnation")), int64(rapid.IntRange(0, 3).Draw(t, "seq")), Status(rapid.IntRange(0, 3).Draw(t, "status"))}}, now)
			case 1:
				table.RecordMissedCall(name, now)
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second)
				table.Tick(now)
			case 3:
				if u, ok := table.Get(name); ok {
					table.RecordAnswer(name, Stamp{u.Incarnation, u.Seq + int64(rapid.IntRange(0, 1).Draw(t, "more")), Alive},
						rapid.Bool().Draw(t, "drains"), 3, now)
				}
			case 4:
				table.ObserveLease(lease.Record{Name: name, AvailabilityZone: zones.Draw(t, "zone"), PeerAddress: name, Incarnation: int64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
					Released: rapid.Bool().Draw(t, "released"), Draining: rapid.Bool().Draw(t, "draining"), Expiry: now}, rapid.Int64Range(1, 9).Draw(t, "revision"), now)
			case 5:
				table.SetDraining(rapid.Bool().Draw(t, "self drains"))
			}
			assert.DeepEqual(t, append([]string{}, table.ring()...), append([]string{}, table.computeRing()...))
			assert.Assert(t, table.Digests() == digests || table.DigestRevision() != revision)
		}
	})
}
