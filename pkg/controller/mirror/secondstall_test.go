package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that was waiting for the copies when the process was stopped again, and is then sent by the old ones.
func TestSecondStallIsAwaitedToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLateFleet(t)
		f.caller.stop("hub", "next")
		f.store.breakableStore.mu.Lock()
		f.store.down = true
		f.store.breakableStore.mu.Unlock()
		f.node.stall()
		second := confirmWait - lookInterval/2
		time.AfterFunc(second, f.node.stall)
		begun := time.Now()
		f.node.AwaitConfirmed(context.Background(), "k/")
		assert.Assert(t, time.Since(begun) >= second+confirmWait, "it waited for %v", time.Since(begun))
		assert.Assert(t, time.Since(begun) < second+2*confirmWait, "it waited for %v", time.Since(begun))
	})
}
