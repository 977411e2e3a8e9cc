// Package peertest provides an in-process network of peers for tests. It opens no connections, so it works with
// testing/synctest.
package peertest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"trefoilplank.example/pkg/adapter/peer"
)

// Network connects nodes by address. Its faults can be changed at any time.
type Network struct {
	mu      sync.Mutex
	servers map[string]*peer.Server
	down    map[string]bool
	paused  map[string]bool
	cut     func(from, to string) bool
	// loseAnswers is the number of calls that are still to take effect and then time out.
	loseAnswers int
	// Calls counts the calls that reached a server.
	Calls atomic.Int64
}

// New returns a network without nodes.
func New() *Network {
	return &Network{servers: map[string]*peer.Server{}, down: map[string]bool{}, paused: map[string]bool{}}
}

// Listen adds a server at an address. It replaces an earlier one and ends a fault set with SetDown.
func (n *Network) Listen(address string, s *peer.Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = s
	delete(n.down, address)
}

// SetDown makes calls from and to an address fail at once.
func (n *Network) SetDown(address string, down bool) { n.setFault(n.down, address, down) }

// SetPaused makes calls from and to an address get no answer until the caller's context ends.
func (n *Network) SetPaused(address string, paused bool) { n.setFault(n.paused, address, paused) }

func (n *Network) setFault(m map[string]bool, address string, v bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m[address] = v
}

// SetPartition makes calls between the pairs of addresses for which cut returns true fail at once; nil removes the
// fault.
func (n *Network) SetPartition(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// LoseAnswers makes the next count calls take effect and then time out.
func (n *Network) LoseAnswers(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loseAnswers = count
}

// route returns the server that a call reaches, or nil when it fails at once. unresponsive is true when the call gets
// no answer, and lose when it takes effect but its answer is lost.
func (n *Network) route(from, to string) (s *peer.Server, unresponsive, lose bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.servers[to] == nil || n.down[to] || n.down[from] || n.cut != nil && n.cut(from, to) {
		return nil, false, false
	}
	if n.paused[to] || n.paused[from] {
		return nil, true, false
	}
	lose = n.loseAnswers > 0
	if lose {
		n.loseAnswers--
	}
	return n.servers[to], false, lose
}

// Caller makes the calls of the node at Address. Resolve returns the address of a node.
type Caller struct {
	Network *Network
	Address string
	Resolve func(node string) (string, bool)
}

var _ peer.Caller = (*Caller)(nil)

// Call implements peer.Caller.
func (c *Caller) Call(ctx context.Context, node, method string, args, reply any) error {
	address, ok := c.Resolve(node)
	if !ok {
		return fmt.Errorf("%w %q", peer.ErrUnknownNode, node)
	}
	return c.CallAddress(ctx, address, method, args, reply)
}

// CallAddress implements peer.Caller.
func (c *Caller) CallAddress(ctx context.Context, address, method string, args, reply any) error {
	s, unresponsive, lose := c.Network.route(c.Address, address)
	if unresponsive {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", peer.ErrTimeout, ctx.Err())
	}
	if s == nil {
		return fmt.Errorf("%w: %s", peer.ErrUnreachable, address)
	}
	c.Network.Calls.Add(1)
	err := s.CallLocal(ctx, method, args, reply)
	if lose {
		return errors.Join(peer.ErrTimeout, peer.ErrConnectionLost)
	}
	return err
}
