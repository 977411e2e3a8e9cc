package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	decision "trefoilplank.example/pkg/decision/admission"
	"trefoilplank.example/pkg/serving"
)

// Guards against granting more slots over all nodes than the limit, and against a waiting request that does not get a
// released slot.
func TestAcquireHoldsLimitOverNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := cluster(t, 3, engines(1), nil)
		var slots []*serving.Slot
		for i := range defaultLimit {
			s, err := n.nodes[fmt.Sprintf("n%d", i%3)].c.Acquire(context.Background(), request(fmt.Sprint("r", i)))
			assert.NilError(t, err)
			slots = append(slots, s)
		}
		got := make(chan error, 1)
		go func() {
			_, err := n.nodes["n1"].c.Acquire(context.Background(), request("late"))
			got <- err
		}()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, len(got), 0, "a request above the limit did not wait")
		n.nodes["n0"].c.Release(slots[0], serving.Usage{Result: serving.RunOK, Duration: time.Second})
		time.Sleep(time.Millisecond)
		assert.Equal(t, len(got), 1, "a freed slot did not reach the waiting request")
		assert.NilError(t, <-got)
	})
}

// Guards against online requests that fail because the owner is dead and membership has not noticed it yet.
func TestDeadOwnerUsesLocalEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := cluster(t, 3, engines(1), nil)
		owner := decision.Owner("e0", n.nodes["n0"].board.Members.Value())
		n.setFault(owner, "dead")
		for name, node := range n.nodes {
			if name == owner {
				continue
			}
			began := time.Now()
			s, err := node.c.Acquire(context.Background(), request("r-"+name))
			assert.NilError(t, err)
			assert.Equal(t, s.Owner, "", "the grant must be a local one")
			assert.Assert(t, time.Since(began) <= acquireTimeout)
		}
	})
}
