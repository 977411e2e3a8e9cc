package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against an entry that is gone, by the hub's copy, and is used again because the next hub still keeps it after an outage that only it
// has seen: the hub's copy is not read again while that does not change.
func TestEntryThatOnlyTheNextHubKeepsStaysGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateFleet(t)
		hub, next := f.caller.peers["hub"], f.caller.peers["next"]
		c := next.copy["k/"]
		c.mu.Lock()
		c.prefix.AbsenceGrace, c.restoredAt = time.Second, time.Now()
		c.mu.Unlock()
		f.removeEntry(t)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			f.node.FollowNode(context.Background(), "hub", hub.Revisions())
			return f.view.showing(entryGone)(t)
		}, soon...)
		f.node.FollowNode(context.Background(), "hub", hub.Revisions())
		f.node.FollowedLate("next")
		time.Sleep(otherTimeout)
		assert.Check(t, f.view.showing(entryGone)(t).Done(), "the entry is used again")
		for range 10 { // The hub answers again, and no node keeps the entry any more.
			time.Sleep(300 * time.Millisecond)
			f.node.FollowNode(context.Background(), "hub", hub.Revisions())
		}
		assert.Check(t, f.view.showing(entryGone)(t).Done(), "the entry is used for good")
	})
}

// Guards against a call to the store of each node while the next hub answers: the revision up to which its copy is complete lags behind that of
// a copy that was read from the store, by changes of other prefixes, until its watch call ends.
func TestNextHubIsReadAfterChangesOfOtherPrefixes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateFleet(t)
		put(t, f.store, "other/a", "1")
		f.node.FollowedLate("") // The hub and the next one are late.
		time.Sleep(storeReadTimeout)
		assert.Equal(t, f.store.taken(), 1)
		f.node.FollowNode(context.Background(), "hub", f.caller.peers["hub"].Revisions())
		time.Sleep(2 * storeReadPause)
		f.node.FollowedLate("next") // Only the hub is late.
		time.Sleep(storeReadTimeout)
		assert.Check(t, f.store.taken() == 1, "late hub: %d calls to the store", f.store.taken())
		taken := f.store.taken()
		f.node.stall()
		f.node.AwaitConfirmed(context.Background(), "k/")
		time.Sleep(confirmWait)
		assert.Check(t, f.store.taken() == taken, "after a stall of the node, with a hub that answers: %d more calls", f.store.taken()-taken)
	})
}
