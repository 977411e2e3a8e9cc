package main

import (
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"
)

// partitions carries all traffic between nodes through proxies, one before each node, so that single machines can be cut off from the others.
// The store, the replicas and clients go on reaching the machine.
type partitions struct {
	mu sync.Mutex
	// nodeAt is the node at each address of a machine.
	nodeAt map[string]string
	// proxyOf is the address of the proxy before each node, and realOf the node's own.
	proxyOf, realOf map[string]string
	cut             map[string]bool
}

// partitions must be called before the nodes start.
func (f *fleet) partitions() *partitions {
	p := &partitions{nodeAt: map[string]string{}, proxyOf: map[string]string{}, realOf: map[string]string{}, cut: map[string]bool{}}
	f.store.rewrite = p.rewrite
	return p
}

// add puts a proxy before a node.
func (p *partitions) add(n *node, ip string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.ip = ip
	p.nodeAt[ip], p.proxyOf[n.name] = n.name, l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(n.name, conn)
		}
	}()
	return nil
}

// rewrite puts the address of the proxy into the entry under which a node registers, and keeps the node's own.
func (p *partitions) rewrite(kind, name string, spec json.RawMessage) json.RawMessage {
	var entry map[string]json.RawMessage
	if kind != "members" || json.Unmarshal(spec, &entry) != nil || entry["peer_address"] == nil {
		return spec
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var own string
	if json.Unmarshal(entry["peer_address"], &own) != nil || p.proxyOf[name] == "" {
		return spec
	}
	p.realOf[name] = own
	entry["peer_address"], _ = json.Marshal(p.proxyOf[name])
	text, err := json.Marshal(entry)
	if err != nil {
		return spec
	}
	return text
}

// setCut cuts a machine off from all other machines of the system, silently, or ends the cut.
func (p *partitions) setCut(name string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[name] = cut
}

func (p *partitions) isCut(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[a] || p.cut[b]
}

// pass carries a connection to a node.
func (p *partitions) pass(to string, in net.Conn) {
	defer in.Close()
	host, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	from := p.nodeAt[host]
	p.mu.Lock()
	own := p.realOf[to]
	p.mu.Unlock()
	out, err := net.Dial("tcp", own)
	if err != nil {
		return
	}
	defer out.Close()
	var both sync.WaitGroup
	for _, way := range [][2]net.Conn{{in, out}, {out, in}} {
		both.Go(func() {
			p.copy(from, to, way[0], way[1])
			_ = in.Close()
			_ = out.Close()
		})
	}
	both.Wait()
}

// copy passes bytes on. What arrives during a cut is lost, and with it the connection: nothing more is heard of it until the cut ends.
func (p *partitions) copy(from, to string, in io.Reader, out io.Writer) {
	buffer := make([]byte, 16<<10)
	for lost := false; !lost; {
		n, err := in.Read(buffer)
		for p.isCut(from, to) {
			lost = true
			time.Sleep(10 * time.Millisecond)
		}
		if err != nil || lost {
			return
		}
		if _, err := out.Write(buffer[:n]); err != nil {
			return
		}
	}
}
