// Package peertest provides an in-process network of nodes for tests. Calls use net/rpc over pipes; nodes can be made
// unreachable or unresponsive, and replies can be lost.
package peertest

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
)

// Network connects the nodes of a test and simulates their faults.
type Network struct {
	mu           sync.Mutex
	servers      map[string]*rpc.Server
	clients      map[string]*rpc.Client
	down         map[string]bool
	unresponsive map[string]bool
	lostReplies  map[string]int
}

// New returns an empty network.
func New() *Network {
	return &Network{
		servers: map[string]*rpc.Server{}, clients: map[string]*rpc.Client{},
		down: map[string]bool{}, unresponsive: map[string]bool{}, lostReplies: map[string]int{},
	}
}

// AddNode adds a node with an RPC server.
func (n *Network) AddNode(name string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[name] = rpc.NewServer()
	client, server := net.Pipe()
	go n.servers[name].ServeConn(server)
	n.clients[name] = rpc.NewClient(client)
	return &Node{network: n, name: name}
}

// SetDown makes a node unreachable, or reachable again: calls from and to it fail at once with peer.ErrUnreachable.
func (n *Network) SetDown(name string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[name] = down
}

// SetUnresponsive makes calls to a node time out without effect, as when its process is paused, or ends that state.
func (n *Network) SetUnresponsive(name string, unresponsive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unresponsive[name] = unresponsive
}

// LoseReplies makes the next count calls of a method take effect but fail with peer.ErrTimeout.
func (n *Network) LoseReplies(method string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lostReplies[method] = count
}

// Members returns a member list of the named live nodes for the blackboard.
func Members(self string, names ...string) blackboard.Members {
	m := blackboard.Members{Self: self, Live: map[string]blackboard.Member{}}
	for _, name := range names {
		m.Live[name] = blackboard.Member{Name: name}
	}
	return m
}

// Node is one node of a network. It implements peer.Caller and peer.Registrar.
type Node struct {
	network *Network
	name    string
}

var (
	_ peer.Caller    = (*Node)(nil)
	_ peer.Registrar = (*Node)(nil)
)

// Register implements peer.Registrar.
func (n *Node) Register(name string, receiver any) error {
	return n.network.servers[n.name].RegisterName(name, receiver)
}

// Call implements peer.Caller.
func (n *Node) Call(ctx context.Context, node, method string, args, reply any) error {
	net := n.network
	net.mu.Lock()
	client, down, unresponsive := net.clients[node], net.down[node] || net.down[n.name], net.unresponsive[node]
	lose := net.lostReplies[method] > 0
	if lose {
		net.lostReplies[method]--
	}
	net.mu.Unlock()
	switch {
	case client == nil:
		return peer.ErrUnknownNode
	case down:
		return peer.ErrUnreachable
	case unresponsive:
		<-ctx.Done()
		return peer.ErrTimeout
	}
	// A reply may arrive after the caller has given up, and must not be written to the caller's variable then.
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if lose {
			return peer.ErrTimeout
		}
		reflect.ValueOf(reply).Elem().Set(received.Elem())
		return call.Error
	case <-ctx.Done():
		return peer.ErrTimeout
	}
}

// CallAddress implements peer.Caller; the address of a node is its name.
func (n *Node) CallAddress(ctx context.Context, address, method string, args, reply any) error {
	return n.Call(ctx, address, method, args, reply)
}
