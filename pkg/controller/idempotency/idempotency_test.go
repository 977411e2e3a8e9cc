package idempotency

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/idempotency"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/gateway/peertest"
)

// ulid has the length of the part of a request id after the node's name.
const ulid = "01M8YVE0VPVM9XF2RWFXQPMP76"

func newNode(t *testing.T, network *peertest.Network, name string, live ...string) *Controller {
	board := blackboard.New()
	board.Members.Set(peertest.Members(name, live...))
	node := network.AddNode(name)
	c, err := New(Options{Self: name, Board: board, Peers: node}, node)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = c.Run(ctx) }()
	return c
}

// Guards against a key that stays blocked after the node that ran its request was lost, whichever node owns the key, and
// against the late answer of that run, which must not replace the answer of the second run.
func TestRunOfALostNodeIsTakenOver(t *testing.T) {
	names := []string{"a", "b", "c"}
	for _, owner := range names {
		t.Run("owner "+owner, func(t *testing.T) {
			network := peertest.New()
			a, b, c := newNode(t, network, "a", names...), newNode(t, network, "b", names...), newNode(t, network, "c", names...)
			key := ""
			for i := 0; rendezvous.Owner("board\x00"+key, names) != owner; i++ {
				key = fmt.Sprint(i)
			}
			ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
			defer stop()
			first, _, _ := a.Begin(ctx, "board", key, "d", "a-"+ulid, time.Minute)
			assert.Assert(t, first != nil)
			tickets := make(chan *Ticket, 1)
			go func() {
				second, _, _ := b.Begin(ctx, "board", key, "d", "b-"+ulid, time.Minute)
				tickets <- second
			}()
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, len(tickets), 0)
			network.SetDown("a", true)
			for _, n := range []*Controller{b, c} {
				n.Board.Members.Set(peertest.Members(n.Self, "b", "c"))
			}
			second := <-tickets
			assert.Assert(t, second != nil)
			network.SetDown("a", false)
			first.End(ctx, &idempotency.Answer{Body: []byte("late")}, true)
			second.End(ctx, &idempotency.Answer{Body: []byte("taken over")}, true)
			_, answer, _ := c.Begin(ctx, "board", key, "d", "c-"+ulid, time.Minute)
			assert.Assert(t, answer != nil)
			assert.Equal(t, string(answer.Body), "taken over")
			_, _, conflict := c.Begin(ctx, "board", key, "other", "c-"+ulid, time.Minute)
			assert.Assert(t, conflict)
		})
	}
}
