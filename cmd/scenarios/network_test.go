package scenarios

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// storeName is the name of the object store in commands that cut traffic.
const storeName = "store"

// linkFault is what happens to the traffic in one direction between two parties.
type linkFault int

const (
	passes linkFault = iota
	// silent drops bytes and lets new connections hang. A connection that lost bytes stays silent after the heal, as
	// when a firewall has forgotten it or its retransmission timer has grown.
	silent
	// refused ends connections.
	refused
)

type direction struct{ from, to string }

// network forwards the traffic between the nodes of one script, and between them and the store.
type network struct {
	mu      sync.Mutex
	faults  map[direction]linkFault
	delays  map[direction]time.Duration
	changed chan struct{}
	// names holds the node of each source address, and targets the real address behind each forwarder.
	names     map[string]string
	targets   map[string]string
	listeners []net.Listener
	conns     map[net.Conn]bool
}

func newNetwork() *network {
	return &network{
		faults: map[direction]linkFault{}, delays: map[direction]time.Duration{}, changed: make(chan struct{}),
		names: map[string]string{}, targets: map[string]string{}, conns: map[net.Conn]bool{},
	}
}

func (n *network) close() {
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
func (n *network) change() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// join adds a node and returns the address that it listens on, the one that it advertises and that of the store.
func (n *network) join(name, store string) (ip, peer, storeAddress string, err error) {
	n.mu.Lock()
	ip = fmt.Sprintf("127.0.1.%d", len(n.names)+1)
	for known, owner := range n.names {
		if owner == name {
			ip = known
		}
	}
	n.names[ip] = name
	n.targets[storeName] = store
	n.mu.Unlock()
	if peer, err = n.listen("", name); err == nil {
		storeAddress, err = n.listen(name, storeName)
	}
	return ip, peer, storeAddress, err
}

// setTarget makes the real address of a node known.
func (n *network) setTarget(name, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.targets[name] = address
	n.change()
}

// listen starts a forwarder to a party; from is "" where the source address tells who connects.
func (n *network) listen(from, to string) (string, error) {
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
func (n *network) state(d direction) (linkFault, time.Duration, string, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[d], n.delays[d], n.targets[d.to], n.changed
}

// track adds or removes an open connection.
func (n *network) track(c net.Conn, open bool) {
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
func (n *network) forward(client net.Conn, from, to string) {
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
		if there == refused || here == refused {
			return
		}
		if there == passes && here == passes && target != "" {
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
		if a == refused || b == refused || ended == 2 || ended == 1 && a == passes && b == passes {
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
func (n *network) pump(source, sink net.Conn, d direction) {
	buffer, lost := make([]byte, 64<<10), false
	for {
		k, err := source.Read(buffer)
		fault, delay, _, _ := n.state(d)
		if err != nil {
			return
		}
		if lost = lost || fault != passes; lost {
			continue
		}
		time.Sleep(delay)
		if _, err := sink.Write(buffer[:k]); err != nil {
			return
		}
	}
}

// set changes the faults of all directions from one group to another.
func (n *network) set(from, to []string, f linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			n.faults[direction{a, b}] = f
		}
	}
	n.change()
}

func group(arg string) []string { return strings.Split(arg, ",") }

// networkStart makes the nodes started after it talk through forwarders: network.
func networkStart(ts *testscript.TestScript, _ bool, _ []string) {
	f := fleetOf(ts)
	f.network = newNetwork()
	ts.Defer(f.network.close)
}

// cut stops the traffic between two groups of nodes: cut silent|refused|oneway GROUP GROUP. A group is a list of names
// with commas; store is the object store. oneway drops only what the first group sends to the second.
func cut(ts *testscript.TestScript, _ bool, args []string) {
	kind, ok := map[string]linkFault{"silent": silent, "refused": refused, "oneway": silent}[args[0]]
	if !ok || len(args) != 3 {
		ts.Fatalf("usage: cut silent|refused|oneway GROUP GROUP")
	}
	n := fleetOf(ts).network
	n.set(group(args[1]), group(args[2]), kind)
	if args[0] != "oneway" {
		n.set(group(args[2]), group(args[1]), kind)
	}
}

// heal ends all cuts: heal.
func heal(ts *testscript.TestScript, _ bool, _ []string) {
	n := fleetOf(ts).network
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	n.change()
}

// delay sets the time that traffic takes each way between two groups: delay DURATION GROUP GROUP.
func delay(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	n := fleetOf(ts).network
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range group(args[1]) {
		for _, b := range group(args[2]) {
			n.delays[direction{a, b}], n.delays[direction{b, a}] = d, d
		}
	}
}

// flap cuts and heals the traffic between two groups again and again: flap TIMES PERIOD GROUP GROUP.
func flap(ts *testscript.TestScript, neg bool, args []string) {
	var times int
	_, err := fmt.Sscan(args[0], &times)
	ts.Check(err)
	for i := range times {
		kind := []string{"silent", "refused"}[i%2]
		cut(ts, neg, []string{kind, args[2], args[3]})
		sleep(ts, neg, args[1:2])
		heal(ts, neg, nil)
		sleep(ts, neg, args[1:2])
	}
}

// until polls a condition that returns why it does not hold yet, and prints the time that it took.
func until(ts *testscript.TestScript, limit, what string, missing func() string) {
	d, err := time.ParseDuration(limit)
	ts.Check(err)
	start, why := time.Now(), ""
	for time.Since(start) < d {
		if why = missing(); why == "" {
			fmt.Fprintf(ts.Stdout(), "%s after %d ms\n", what, time.Since(start).Milliseconds())
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s not within %s: %s", what, limit, why)
}

// inForce waits until a version is in force on the named nodes, and checks that none goes back: inforce DURATION VERSION
// NODE...
func inForce(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	until(ts, args[0], "version "+args[1], func() string {
		for _, name := range args[2:] {
			v := f.version(ts, name)
			if v < f.versions[name] {
				ts.Fatalf("node %s went from version %d to %d", name, f.versions[name], v)
			}
			f.versions[name] = v
			if fmt.Sprint(v) != args[1] {
				return fmt.Sprintf("%s has version %d", name, v)
			}
		}
		return ""
	})
}

// agree waits until the named nodes have each other and no other node as members: agree DURATION NODE...
func agree(ts *testscript.TestScript, _ bool, args []string) {
	f, names := fleetOf(ts), slices.Sorted(slices.Values(args[1:]))
	until(ts, args[0], "members "+strings.Join(names, ","), func() string {
		for _, name := range names {
			if got := f.addresses(ts, name); !slices.Equal(got, names) {
				return fmt.Sprintf("%s answers the addresses of %v", name, got)
			}
		}
		return ""
	})
}
