package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are never sent while a node does not run now and then and neither other nodes nor the store answer it: without a
// second gap they wait for confirmWait.
func TestRequestsAreSentDuringAnOutageAtANodeWithManyStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateFleet(t)
		f.caller.stop("hub", "next")
		f.store.breakableStore.mu.Lock()
		f.store.down = true
		f.store.breakableStore.mu.Unlock()
		f.node.stall()
		for n := range 20 {
			time.AfterFunc(time.Duration(n)*(confirmWait-lookInterval/2), f.node.stall)
		}
		begun := time.Now()
		f.node.AwaitConfirmed(context.Background(), "k/")
		waited := time.Since(begun)
		time.Sleep(20 * confirmWait) // All reads have ended.
		assert.Assert(t, waited < 4*confirmWait, "a request waited for %v", waited)
	})
}
