package mirror

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
)

// Guards against a list that is handled after a newer one: the copy is right, but its user goes on with the old list until the next change.
func TestListsAreHandledInTheOrderOfTheirRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateFleet(t)
		c := f.node.copy["k/"]
		var mu sync.Mutex
		delayed := false
		c.prefix.Handle = func(objects map[string]store.Object) {
			mu.Lock()
			first := !delayed
			delayed = true
			mu.Unlock()
			if first {
				time.Sleep(time.Millisecond) // The goroutine does not run.
			}
			f.view.handle(objects)
		}
		put(t, f.store, "k/new", "1")
		time.Sleep(2 * publishDelay)
		f.node.FollowNode(context.Background(), "hub", f.caller.peers["hub"].Revisions())
		synctest.Wait() // The list with k/left is about to be handled.
		assert.NilError(t, f.store.Delete(context.Background(), "k/left", store.AnyRevision))
		synctest.Wait()
		f.node.FollowedLate("next")
		time.Sleep(time.Second)
		c.mu.Lock()
		_, held := c.objects["k/left"]
		c.mu.Unlock()
		assert.Assert(t, !held)
		assert.Assert(t, f.view.showing(map[string]string{"k/new": "1", "k/stays": "1"})(t).Done(), "the old list is in use for good: %v", f.view.keys)
	})
}
