package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"trefoilplank.example/pkg/adapter/store"
)

// Guards against upstreams that are dropped although their entries lapsed in an outage of the store, because the node follows its hub again
// after it, which is then late: the hub keeps the entries.
func TestLateNodeKeepsEntriesThatLapsedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace, lapse = 2200 * time.Millisecond, time.Second
		f := newLateFleet(t)
		hub, shared := f.caller.peers["hub"], f.store.breakableStore
		own := &breakableStore{Store: shared.Store} // The node's own connection to the store.
		f.store.breakableStore = own
		for _, m := range []*Mirror{hub, f.node} {
			c := m.copy["k/"]
			c.mu.Lock()
			c.prefix.AbsenceGrace, c.prefix.LapseTime = grace, lapse
			c.mu.Unlock()
		}
		own.setDown(true)
		shared.setDown(true)
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			f.node.FollowNode(context.Background(), "hub", hub.Revisions())
		}
		assert.NilError(t, shared.Store.Delete(context.Background(), "k/left", store.AnyRevision)) // It lapses.
		shared.setDown(false)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if len(hub.Revisions()) > 0 {
				return poll.Success()
			}
			return poll.Continue("hub does not watch")
		}, soon...)
		time.Sleep(2 * publishDelay)
		revisions := hub.Revisions()
		f.caller.stop("hub", "next")
		f.node.FollowNode(context.Background(), "hub", revisions) // It answers this exchange, and is busy then.
		own.setDown(false)
		f.node.FollowedLate("next")
		time.Sleep(otherTimeout + storeReadTimeout)
		assert.Assert(t, f.view.showing(bothEntries)(t).Done(), "dropped within the grace period: %v", f.view.keys)
	})
}
