package vms

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/blackboard"
)

// fleet is the peer caller and the VM list of a test's controllers. A node in dead does not answer.
type fleet struct {
	nodes  map[string]*Controller
	dead   map[string]bool
	states map[string]blackboard.VMState
	reads  atomic.Int64
}

func (f *fleet) Read(context.Context) (map[string]blackboard.VMState, error) {
	f.reads.Add(1)
	copied := map[string]blackboard.VMState{}
	for name, s := range f.states {
		copied[name] = s
	}
	return copied, nil
}

func (f *fleet) Call(_ context.Context, node, _ string, args, reply any) error {
	if f.dead[node] {
		return errors.New("no answer")
	}
	return f.nodes[node].Receiver().Get(args.(*GetArgs), reply.(*GetReply))
}

func (f *fleet) CallAddress(context.Context, string, string, any, any) error {
	return errors.New("not used")
}

func newFleet(count int) *fleet {
	f := &fleet{
		nodes: map[string]*Controller{}, dead: map[string]bool{},
		states: map[string]blackboard.VMState{"a": blackboard.VMLive, "b": blackboard.VMLive},
	}
	live := map[string]blackboard.Member{}
	for i := range count {
		live[fmt.Sprint("n", i)] = blackboard.Member{AvailabilityZone: fmt.Sprint("z", i%2)}
	}
	for name := range live {
		b := blackboard.New()
		b.Members.Set(blackboard.Members{Self: name, Live: live})
		f.nodes[name] = New(Options{Self: name, Board: b, Peers: f, List: f})
	}
	return f
}

// syncAll calls sync once on each node that is not dead.
func (f *fleet) syncAll() {
	for name, c := range f.nodes {
		if !f.dead[name] {
			c.sync(context.Background())
		}
	}
}

// TestLeavingVMIsKnownOnAllNodes guards against nodes that do not learn within two updates that a VM leaves, and against
// reads of the list that grow with the number of nodes.
func TestLeavingVMIsKnownOnAllNodes(t *testing.T) {
	for _, count := range []int{8, 64} {
		f := newFleet(count)
		f.syncAll()
		f.states["a"] = blackboard.VMLeaving
		f.reads.Store(0)
		f.syncAll()
		f.syncAll()
		for name, c := range f.nodes {
			assert.Equal(t, c.Board.VMs.Value()["a"], blackboard.VMLeaving, name)
			assert.Equal(t, len(c.Board.VMs.Value()), 1)
		}
		assert.Equal(t, f.reads.Load(), int64(2*4), "two relays in each of two zones read once a round")
	}
}

// TestNodeReadsListWhenRelaysAreDead guards against nodes whose section is not updated any more once the relays of their
// zone are dead.
func TestNodeReadsListWhenRelaysAreDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		for name, c := range f.nodes {
			before := f.reads.Load()
			c.sync(context.Background())
			f.dead[name] = f.reads.Load() > before
		}
		f.states["a"] = blackboard.VMLost
		ctx, cancel := context.WithTimeout(context.Background(), (fallbackAfterMisses+3)*syncInterval)
		defer cancel()
		for name, c := range f.nodes {
			if !f.dead[name] {
				go c.Run(ctx)
			}
		}
		time.Sleep((fallbackAfterMisses + 2) * syncInterval)
		for name, c := range f.nodes {
			if !f.dead[name] {
				assert.Equal(t, c.Board.VMs.Value()["a"], blackboard.VMLost, name)
			}
		}
		cancel()
	})
}
