// Package vms keeps the board's VMs section, which holds the VMs that are not live. Only the relays of an availability
// zone read the platform's list; the other nodes ask a relay for those VMs, which takes a few bytes while nothing
// changes. At the two-year target, reading the list on every node would take 12 KB/s on each, six times its budget for
// control traffic.
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
	// syncInterval is the time between two updates, so that all nodes know a leaving VM within two intervals.
	syncInterval = time.Second
	// callTimeout bounds a call to a relay.
	callTimeout = time.Second
	// fallbackAfterMisses is the number of updates without an answer from a relay after which a node reads the list
	// once.
	fallbackAfterMisses = 5
)

// List reads the states of all VMs of the platform, by VM name.
type List interface {
	Read(ctx context.Context) (map[string]blackboard.VMState, error)
}

// Options holds the dependencies of a Controller.
type Options struct {
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	List  List
}

// Controller writes the board's VMs section. Register its Receiver as "VMs".
type Controller struct {
	Options
	// cachedView is the view of the live members at viewRevision of the Members section; building it hashes all members.
	cachedView   dissemination.View
	viewRevision int64
	// misses counts the consecutive updates without an answer from a relay.
	misses int
}

// New returns a controller.
func New(o Options) *Controller { return &Controller{Options: o} }

// Run keeps the VMs section up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.sync(ctx)
		select {
		case <-time.After(syncInterval*9/10 + rand.N(syncInterval/5)):
		case <-ctx.Done():
		}
	}
	return nil
}

// sync updates the section once: a relay reads the list, and other nodes ask the relays of their zone. Without an answer
// the section keeps its value.
func (c *Controller) sync(ctx context.Context) {
	members, revision := c.Board.Members.Get()
	if revision != c.viewRevision {
		c.viewRevision, c.cachedView = revision, dissemination.ViewOf(members)
	}
	view := c.cachedView
	if view.RelayRank(c.Self) >= 0 || c.misses >= fallbackAfterMisses {
		c.misses = 0
		c.readList(ctx)
		return
	}
	for _, relay := range view.Relays(members.Live[c.Self].AvailabilityZone) {
		if c.askRelay(ctx, relay) {
			c.misses = 0
			return
		}
	}
	c.misses++
}

// readList sets the section from the platform's list.
func (c *Controller) readList(ctx context.Context) {
	states, err := c.List.Read(ctx)
	if err != nil {
		klog.V(1).InfoS("Reading the VM list failed", "err", err)
		return
	}
	maps.DeleteFunc(states, func(_ string, s blackboard.VMState) bool { return s == blackboard.VMLive })
	c.setSection(states)
}

// setSection writes the section if states differ from it or it was never written.
func (c *Controller) setSection(states map[string]blackboard.VMState) {
	if old, revision := c.Board.VMs.Get(); revision == 0 || !maps.Equal(old, states) {
		c.Board.VMs.Set(states)
	}
}

// GetArgs asks a relay for the VMs that are not live. Digest is the digest of the caller's section; a section that was
// never written has the digest of an empty one.
type GetArgs struct{ Digest uint64 }

// GetReply answers GetArgs. Known is false on a node whose section was never written. Same is set, and States is empty,
// if the section has the caller's digest.
type GetReply struct {
	Known, Same bool
	States      map[string]blackboard.VMState
}

// askRelay updates the section from a relay and reports whether it answered with a known section.
func (c *Controller) askRelay(ctx context.Context, relay string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	have, _ := c.Board.VMs.Get()
	var reply GetReply
	if err := c.Peers.Call(ctx, relay, "VMs.Get", &GetArgs{Digest: digest(have)}, &reply); err != nil || !reply.Known {
		return false
	}
	if !reply.Same {
		c.setSection(reply.States)
	}
	return true
}

// digest returns a hash of the states that does not depend on the map order.
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

// Get returns the VMs that are not live, unless the caller's digest equals that of this node.
func (r *Receiver) Get(args *GetArgs, reply *GetReply) error {
	states, revision := r.c.Board.VMs.Get()
	reply.Known = revision > 0
	reply.Same = digest(states) == args.Digest
	if !reply.Same {
		reply.States = states
	}
	return nil
}
