package network

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Cut is what happens to the connections of a node to upstreams.
type Cut string

const (
	// NoCut lets all connections work. Those that lost data before stay silent.
	NoCut Cut = ""
	// Hangs drops all data in both directions; new connections get no answer.
	Hangs Cut = "hang"
	// Resets breaks open connections and refuses new ones.
	Resets Cut = "reset"
	// RefusesNew and HangsNew let open connections live on; new ones are refused, or get no answer.
	RefusesNew Cut = "refuse new"
	HangsNew   Cut = "hang new"
	// LosesAnswers and LosesRequests drop the data of one direction; new connections get no answer.
	LosesAnswers  Cut = "lose answers"
	LosesRequests Cut = "lose requests"
)

// Cutter makes the connections of one node to upstreams and cuts them. It is safe for concurrent use.
type Cutter struct {
	mu   sync.Mutex
	mode Cut
	// applies reports whether the cut applies to an address.
	applies func(address string) bool
	conns   map[*cutConn]bool
	changed chan struct{}
}

// NewCutter returns a Cutter that cuts nothing.
func NewCutter() *Cutter {
	return &Cutter{conns: map[*cutConn]bool{}, changed: make(chan struct{}), applies: func(string) bool { return true }}
}

// Set starts a cut from the addresses that applies reports, or ends it with NoCut.
func (c *Cutter) Set(mode Cut, applies func(address string) bool) {
	c.mu.Lock()
	c.mode, c.applies = mode, applies
	close(c.changed)
	c.changed = make(chan struct{})
	var broken []*cutConn
	for conn := range c.conns {
		if mode == Resets && applies(conn.address) {
			broken = append(broken, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range broken {
		_ = conn.Conn.(*net.TCPConn).SetLinger(0) // Close then resets the connection.
		_ = conn.Conn.Close()
	}
}

// modeFor returns the mode that applies to an address, and a channel that is closed at the next change.
func (c *Cutter) modeFor(address string) (Cut, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.applies(address) {
		return NoCut, c.changed
	}
	return c.mode, c.changed
}

// Dial connects to an upstream as the cut allows.
func (c *Cutter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		mode, changed := c.modeFor(address)
		switch mode {
		case Resets, RefusesNew:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		case NoCut:
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			wrapped := &cutConn{Conn: conn, cutter: c, address: address, closed: make(chan struct{})}
			c.mu.Lock()
			c.conns[wrapped] = true
			c.mu.Unlock()
			return wrapped, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
}

// cutConn is a connection of a node to an upstream. Once it has lost data in a direction it carries none there any more.
type cutConn struct {
	net.Conn
	cutter  *Cutter
	address string
	once    sync.Once
	closed  chan struct{}

	mu              sync.Mutex
	lostIn, lostOut bool
}

func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		mode, _ := c.cutter.modeFor(c.address)
		c.mu.Lock()
		c.lostIn = c.lostIn || mode == Hangs || mode == LosesAnswers
		lost := c.lostIn
		c.mu.Unlock()
		if !lost {
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

func (c *cutConn) Write(p []byte) (int, error) {
	mode, _ := c.cutter.modeFor(c.address)
	c.mu.Lock()
	c.lostOut = c.lostOut || mode == Hangs || mode == LosesRequests
	lost := c.lostOut
	c.mu.Unlock()
	if lost {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close ends the connection. The upstream does not hear of it while data to it is lost.
func (c *cutConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.cutter.mu.Lock()
		delete(c.cutter.conns, c)
		c.cutter.mu.Unlock()
		c.mu.Lock()
		lost := c.lostOut
		c.mu.Unlock()
		if lost {
			time.AfterFunc(time.Second, func() { _ = c.Conn.Close() }) // The system of the upstream ends it at last.
			return
		}
		_ = c.Conn.Close()
	})
	return nil
}
