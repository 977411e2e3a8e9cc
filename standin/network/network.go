// Package network is a stand-in for the network between nodes that run on one machine. It forwards connections, and drops
// or delays their traffic or closes them by source and destination.
package network

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// StoreName stands for the object store where the name of a node is expected.
const StoreName = "store"

// Fault is what happens to the traffic from one node, or the store, to another.
type Fault int

const (
	// NoFault forwards the traffic.
	NoFault Fault = iota
	// Blackhole drops bytes and lets new connections hang. A connection that lost bytes keeps dropping them after the
	// fault has ended, as when a firewall has removed the connection's state or its retransmission timer has grown.
	Blackhole
	// Refused closes open and new connections.
	Refused
)

// direction names the sender and the receiver of traffic, each a node or StoreName.
type direction struct{ from, to string }

// Network forwards the traffic between nodes, and between them and the store.
type Network struct {
	mu     sync.Mutex
	faults map[direction]Fault
	delays map[direction]time.Duration
	// changed is closed and replaced when faults or targetAddresses change.
	changed chan struct{}
	// nodesByIP maps the source IP address of each node to the node's name.
	nodesByIP map[string]string
	// targetAddresses maps nodes and the store to the addresses at which they listen, behind the forwarders.
	targetAddresses map[string]string
	listeners       []net.Listener
	// conns is the set of open connections.
	conns map[net.Conn]bool
}

// New returns a network without faults.
func New() *Network {
	return &Network{
		faults: map[direction]Fault{}, delays: map[direction]time.Duration{}, changed: make(chan struct{}),
		nodesByIP: map[string]string{}, targetAddresses: map[string]string{}, conns: map[net.Conn]bool{},
	}
}

// Close closes all forwarders and connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for c := range n.conns {
		_ = c.Close()
	}
	clear(n.faults)
	n.notifyChange()
}

// notifyChange wakes the forwarders that wait for a change of faults or target addresses; n.mu is held.
func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// AddNode adds a node. It returns the IP address that the node listens on and connects from, the peer address that it
// advertises, and the address at which it reaches the store. A node that joins again gets the same IP address.
func (n *Network) AddNode(name, store string) (ip, peerAddress, storeAddress string, err error) {
	n.mu.Lock()
	ip = fmt.Sprintf("127.0.1.%d", len(n.nodesByIP)+1)
	for knownIP, owner := range n.nodesByIP {
		if owner == name {
			ip = knownIP
		}
	}
	n.nodesByIP[ip] = name
	n.targetAddresses[StoreName] = store
	n.mu.Unlock()
	if peerAddress, err = n.startForwarder("", name); err == nil {
		storeAddress, err = n.startForwarder(name, StoreName)
	}
	return ip, peerAddress, storeAddress, err
}

// SetTarget sets the address at which a node listens, to which connections to its advertised address are forwarded.
func (n *Network) SetTarget(name, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.targetAddresses[name] = address
	n.notifyChange()
}

// startForwarder listens for connections to a node or the store and returns the address. from is the node that connects,
// or "" if it is to be found by its source IP address.
func (n *Network) startForwarder(from, to string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.forward(c, from, to)
		}
	}()
	return l.Addr().String(), nil
}

// directionState returns the fault, delay and target of a direction, and a channel that is closed at the next change.
func (n *Network) directionState(d direction) (Fault, time.Duration, string, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[d], n.delays[d], n.targetAddresses[d.to], n.changed
}

// track records an open connection, or closes it and removes its record.
func (n *Network) track(c net.Conn, open bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if open {
		n.conns[c] = true
	} else {
		delete(n.conns, c)
		_ = c.Close()
	}
}

// forward forwards one connection until it ends or is refused. The connection hangs until the target's address is known and
// neither direction has a fault.
func (n *Network) forward(client net.Conn, from, to string) {
	n.track(client, true)
	defer n.track(client, false)
	if from == "" {
		n.mu.Lock()
		from = n.nodesByIP[client.RemoteAddr().(*net.TCPAddr).IP.String()]
		n.mu.Unlock()
	}
	out, back := direction{from, to}, direction{to, from}
	for {
		outFault, delay, target, changed := n.directionState(out)
		backFault, _, _, _ := n.directionState(back)
		if outFault == Refused || backFault == Refused {
			return
		}
		if outFault == NoFault && backFault == NoFault && target != "" {
			time.Sleep(delay)
			break
		}
		<-changed
	}
	_, _, target, _ := n.directionState(out)
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	n.track(server, true)
	defer n.track(server, false)
	done := make(chan struct{}, 2)
	go func() { n.copyDirection(client, server, out); done <- struct{}{} }()
	go func() { n.copyDirection(server, client, back); done <- struct{}{} }()
	endedDirections := 0
	for {
		outFault, _, _, changed := n.directionState(out)
		backFault, _, _, _ := n.directionState(back)
		if outFault == Refused || backFault == Refused || endedDirections == 2 || endedDirections == 1 && outFault == NoFault && backFault == NoFault {
			return
		}
		select {
		case <-done:
			endedDirections++
		case <-changed:
		}
	}
}

// copyDirection copies one direction of a connection until the source ends. Bytes read during a fault are dropped, and so
// are all later ones in that direction.
func (n *Network) copyDirection(source, sink net.Conn, d direction) {
	buffer, lost := make([]byte, 64<<10), false
	for {
		count, err := source.Read(buffer)
		fault, delay, _, _ := n.directionState(d)
		if err != nil {
			return
		}
		if lost = lost || fault != NoFault; lost {
			continue
		}
		time.Sleep(delay)
		if _, err := sink.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// SetFault sets the fault of the traffic from each source to each destination.
func (n *Network) SetFault(sources, destinations []string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, source := range sources {
		for _, destination := range destinations {
			n.faults[direction{source, destination}] = f
		}
	}
	n.notifyChange()
}

// ClearFaults ends all faults.
func (n *Network) ClearFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	n.notifyChange()
}

// SetDelay sets the time that traffic takes in each direction between the members of a and those of b.
func (n *Network) SetDelay(a, b []string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, from := range a {
		for _, to := range b {
			n.delays[direction{from, to}], n.delays[direction{to, from}] = d, d
		}
	}
}
