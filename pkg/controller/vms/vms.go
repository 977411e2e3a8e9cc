// Package vms keeps the board's VMs section. Only the relays of an availability zone read the platform's list; the
// other nodes ask a relay for the VMs that are not live, which costs a few bytes while nothing changes. At the two-year
// target a read by every node would take 12 KB/s of each, six times its control budget.
package vms

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/dissemination"
)

const (
	// interval is the time between two reads, so that a leaving VM is known on all nodes within two of them.
	interval = time.Second
	// callTimeout bounds the question to a relay.
	callTimeout = time.Second
	// fallbackEvery is the number of rounds without an answer of a relay after which a node reads the list itself.
	fallbackEvery = 5
)

// List reads the platform's list by VM name.
type List interface {
	Read(ctx context.Context) (map[string]blackboard.VMState, error)
}

// Options are the collaborators of a Controller.
type Options struct {
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	List  List
}

// Controller writes the board's VMs section. Register its Receiver as "VMs".
type Controller struct {
	Options
	// view is that of the members at revision viewed; building it hashes all members.
	view   dissemination.View
	viewed int64
	// misses counts the rounds in a row without an answer of a relay.
	misses int
}

// New returns a controller.
func New(o Options) *Controller { return &Controller{Options: o} }

// Run keeps the section until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.sync(ctx)
		select {
		case <-time.After(interval*9/10 + rand.N(interval/5)):
		case <-ctx.Done():
		}
	}
	return nil
}

// sync reads the list on a relay, and asks a relay elsewhere. Without an answer the section keeps its value.
func (c *Controller) sync(ctx context.Context) {
	members, revision := c.Board.Members.Get()
	if revision != c.viewed {
		c.viewed, c.view = revision, dissemination.ViewOf(members)
	}
	view := c.view
	if view.RelayRank(c.Self) >= 0 || c.misses >= fallbackEvery {
		c.misses = 0
		c.read(ctx)
		return
	}
	for _, relay := range view.Relays(members.Live[c.Self].AvailabilityZone) {
		if c.ask(ctx, relay) {
			c.misses = 0
			return
		}
	}
	c.misses++
}

func (c *Controller) read(ctx context.Context) {
	states, err := c.List.Read(ctx)
	if err != nil {
		klog.V(1).InfoS("Reading the VM list failed", "err", err)
		return
	}
	maps.DeleteFunc(states, func(_ string, s blackboard.VMState) bool { return s == blackboard.VMLive })
	c.set(states)
}

// set writes the section if it changes.
func (c *Controller) set(states map[string]blackboard.VMState) {
	if old, revision := c.Board.VMs.Get(); revision == 0 || !maps.Equal(old, states) {
		c.Board.VMs.Set(states)
	}
}

// GetArgs asks a relay for the VMs that are not live. Digest describes what the caller has; 0 is nothing.
type GetArgs struct{ Digest uint64 }

// GetReply answers GetArgs; States is empty when Same is set. Known is false on a node without a list.
type GetReply struct {
	Known, Same bool
	States      map[string]blackboard.VMState
}

func (c *Controller) ask(ctx context.Context, relay string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	have, _ := c.Board.VMs.Get()
	var reply GetReply
	if err := c.Peers.Call(ctx, relay, "VMs.Get", &GetArgs{Digest: digest(have)}, &reply); err != nil || !reply.Known {
		return false
	}
	if !reply.Same {
		c.set(reply.States)
	}
	return true
}

// digest returns a hash of the states that does not depend on their order.
func digest(states map[string]blackboard.VMState) uint64 {
	sum := uint64(1)
	for name, s := range states {
		sum += xxh3.HashString(name + "\x00" + string(s))
	}
	return sum
}

// Receiver is the net/rpc receiver "VMs".
type Receiver struct{ c *Controller }

// Receiver returns the receiver to register as "VMs".
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// Get answers with the VMs that are not live.
func (r *Receiver) Get(args *GetArgs, reply *GetReply) error {
	states, revision := r.c.Board.VMs.Get()
	reply.Known = revision > 0
	reply.Same = digest(states) == args.Digest
	if !reply.Same {
		reply.States = states
	}
	return nil
}
