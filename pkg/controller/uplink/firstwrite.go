package uplink

import (
	"net"
	"sync/atomic"
)

// FirstWrite is told of the next write on a connection of a Transport. Connecting, and a process that does not run, can take any time after a
// request has been passed to the Transport.
type FirstWrite interface {
	// Check is called right before the write. With an error nothing is written, and the write fails.
	Check() error
	// Written is called after the write with the number of bytes that the system has taken.
	Written(n int)
}

// firstWrite holds what is told of a connection's next write.
type firstWrite struct{ next atomic.Pointer[FirstWrite] }

func (f *firstWrite) watch(w FirstWrite) { f.next.Store(&w) }

// write writes by the given function, and tells of it if it is the first write since watch.
func (f *firstWrite) write(p []byte, write func([]byte) (int, error)) (int, error) {
	next := f.next.Swap(nil)
	if next == nil {
		return write(p)
	}
	if err := (*next).Check(); err != nil {
		return 0, err
	}
	n, err := write(p)
	(*next).Written(n)
	return n, err
}

// WatchFirstWrite makes a connection of a Transport tell of its next write. It reports whether the connection is one of a Transport.
func WatchFirstWrite(conn net.Conn, w FirstWrite) bool {
	c, ok := conn.(interface{ watch(FirstWrite) })
	if ok {
		c.watch(w)
	}
	return ok
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	return c.write(p, func(p []byte) (int, error) {
		c.counters.sent.Add(1) // Before an answer can be received.
		return c.Conn.Write(p)
	})
}

// Write implements net.Conn.
func (c *relayedConn) Write(p []byte) (int, error) { return c.write(p, c.Conn.Write) }
