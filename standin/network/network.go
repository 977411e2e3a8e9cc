// Package network stands in for the network between nodes on one machine: it forwards connections and drops, ends or
// delays their traffic by source and destination.
package network

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// StoreName is the name of the object store among the parties.
const StoreName = "store"

// Fault is what happens to the traffic in one direction between two parties.
type Fault int

// Faults.
const (
	// Passes is no fault.
	Passes Fault = iota
	// Silent drops bytes and lets new connections hang. A connection that lost bytes stays silent after the heal, as
	// when a firewall has forgotten it or its retransmission timer has grown.
	Silent
	// Refused ends connections.
	Refused
)

type direction struct{ from, to string }

// Network forwards the traffic between nodes, and between them and the store.
type Network struct {
	mu      sync.Mutex
	faults  map[direction]Fault
	delays  map[direction]time.Duration
	changed chan struct{}
	// names holds the node of each source address, and targets the real address behind each forwarder.
	names     map[string]string
	targets   map[string]string
	listeners []net.Listener
	conns     map[net.Conn]bool
}

// New returns a network without faults.
func New() *Network {
	return &Network{
		faults: map[direction]Fault{}, delays: map[direction]time.Duration{}, changed: make(chan struct{}),
		names: map[string]string{}, targets: map[string]string{}, conns: map[net.Conn]bool{},
	}
}

// Close ends all connections.
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
	n.change()
}

// change wakes what waits for another fault. n.mu is held.
func (n *Network) change() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Join adds a node and returns the address that it listens on, the one that it advertises and that of the store.
func (n *Network) Join(name, store string) (ip, peer, storeAddress string, err error) {
	n.mu.Lock()
	ip = fmt.Sprintf("127.0.1.%d", len(n.names)+1)
	for known, owner := range n.names {
		if owner == name {
			ip = known
		}
	}
	n.names[ip] = name
	n.targets[StoreName] = store
	n.mu.Unlock()
	if peer, err = n.listen("", name); err == nil {
		storeAddress, err = n.listen(name, StoreName)
	}
	return ip, peer, storeAddress, err
}

// SetTarget makes the real address of a node known.
func (n *Network) SetTarget(name, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.targets[name] = address
	n.change()
}

// listen starts a forwarder to a party; from is "" where the source address tells who connects.
func (n *Network) listen(from, to string) (string, error) {
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

// state returns the fault, delay and target of a direction, and a channel that is closed at the next change.
func (n *Network) state(d direction) (Fault, time.Duration, string, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[d], n.delays[d], n.targets[d.to], n.changed
}

// track adds or removes an open connection.
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

// forward carries one connection. It hangs until neither direction is silent.
func (n *Network) forward(client net.Conn, from, to string) {
	n.track(client, true)
	defer n.track(client, false)
	if from == "" {
		n.mu.Lock()
		from = n.names[client.RemoteAddr().(*net.TCPAddr).IP.String()]
		n.mu.Unlock()
	}
	out, back := direction{from, to}, direction{to, from}
	for {
		there, delay, target, changed := n.state(out)
		here, _, _, _ := n.state(back)
		if there == Refused || here == Refused {
			return
		}
		if there == Passes && here == Passes && target != "" {
			time.Sleep(delay)
			break
		}
		<-changed
	}
	_, _, target, _ := n.state(out)
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	n.track(server, true)
	defer n.track(server, false)
	done := make(chan struct{}, 2)
	go func() { n.pump(client, server, out); done <- struct{}{} }()
	go func() { n.pump(server, client, back); done <- struct{}{} }()
	ended := 0
	for {
		a, _, _, changed := n.state(out)
		b, _, _, _ := n.state(back)
		if a == Refused || b == Refused || ended == 2 || ended == 1 && a == Passes && b == Passes {
			return
		}
		select {
		case <-done:
			ended++
		case <-changed:
		}
	}
}

// pump carries one direction until its source ends. Bytes that meet a silent cut are lost, and all after them.
func (n *Network) pump(source, sink net.Conn, d direction) {
	buffer, lost := make([]byte, 64<<10), false
	for {
		k, err := source.Read(buffer)
		fault, delay, _, _ := n.state(d)
		if err != nil {
			return
		}
		if lost = lost || fault != Passes; lost {
			continue
		}
		time.Sleep(delay)
		if _, err := sink.Write(buffer[:k]); err != nil {
			return
		}
	}
}

// Set changes the faults of all directions from one group to another.
func (n *Network) Set(from, to []string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.faults[direction{a, b}] = f
		}
	}
	n.change()
}

// Heal ends all faults.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	n.change()
}

// Delay sets the time that traffic takes each way between two groups.
func (n *Network) Delay(a, b []string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, from := range a {
		for _, to := range b {
			n.delays[direction{from, to}], n.delays[direction{to, from}] = d, d
		}
	}
}
