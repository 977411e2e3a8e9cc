package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests to an upstream that is gone from a node that did not run, while its hub does not run either: the node used its old list
// after half a second.
func TestStalledNodeReadsTheStoreWhileItsHubIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateFleet(t)
		f.caller.stop("hub", "next")
		f.removeEntry(t)
		f.node.stall()
		begun := time.Now()
		f.node.AwaitConfirmed(context.Background(), "k/")
		assert.Assert(t, f.view.showing(entryGone)(t).Done(), "the copy is old")
		assert.Assert(t, time.Since(begun) < confirmWait)
		time.Sleep(2 * confirmWait)
		assert.Equal(t, f.store.taken(), 1)
	})
}

// Guards against calls of all nodes to the store after a pause of the machine, while their hub answers.
func TestStalledNodeAsksItsHubOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateFleet(t)
		f.removeEntry(t)
		f.node.stall()
		f.node.AwaitConfirmed(context.Background(), "k/")
		assert.Assert(t, f.view.showing(entryGone)(t).Done(), "the copy is old")
		time.Sleep(2 * confirmWait)
		assert.Equal(t, f.store.taken(), 0)
	})
}
