// Package peertest is an in-process network of nodes for tests: calls use net/rpc encoding over pipes, and nodes
// can be taken down or made silent.
package peertest

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
)

// Network connects nodes.
type Network struct {
	mu      sync.Mutex
	servers map[string]*rpc.Server
	clients map[string]*rpc.Client
	down    map[string]bool
	silent  map[string]bool
	lose    map[string]int
}

// New returns an empty network.
func New() *Network {
	return &Network{
		servers: map[string]*rpc.Server{}, clients: map[string]*rpc.Client{},
		down: map[string]bool{}, silent: map[string]bool{}, lose: map[string]int{},
	}
}

// Node adds a node and returns its caller and registrar.
func (n *Network) Node(name string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[name] = rpc.NewServer()
	client, server := net.Pipe()
	go n.servers[name].ServeConn(server)
	n.clients[name] = rpc.NewClient(client)
	return &Node{network: n, name: name}
}

// Down makes a node refuse all calls.
func (n *Network) Down(name string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[name] = down
}

// Silent makes a node take calls without effect and without an answer, as a paused process does.
func (n *Network) Silent(name string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[name] = silent
}

// LoseReplies makes the next count calls of a method take effect but time out.
func (n *Network) LoseReplies(method string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose[method] = count
}

// Members returns a member section value of the named nodes.
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
	client, down, silent := net.clients[node], net.down[node] || net.down[n.name], net.silent[node]
	lose := net.lose[method] > 0
	if lose {
		net.lose[method]--
	}
	net.mu.Unlock()
	switch {
	case client == nil:
		return peer.ErrUnknownNode
	case down:
		return peer.ErrUnreachable
	case silent:
		<-ctx.Done()
		return peer.ErrTimeout
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if lose {
			return peer.ErrTimeout
		}
		return call.Error
	case <-ctx.Done():
		return peer.ErrTimeout
	}
}

// CallAddress implements peer.Caller with names as addresses.
func (n *Node) CallAddress(ctx context.Context, address, method string, args, reply any) error {
	return n.Call(ctx, address, method, args, reply)
}
