package uplink

import (
	"net"
	"sync/atomic"
)

// sendCheck is a check that a connection makes before its next write.
type sendCheck struct{ next atomic.Pointer[func() error] }

func (s *sendCheck) set(check func() error) { s.next.Store(&check) }

// run makes the check, if there is one.
func (s *sendCheck) run() error {
	if check := s.next.Swap(nil); check != nil {
		return (*check)()
	}
	return nil
}

// CheckBeforeWrite makes a connection of a Transport call check before its next write, which sends nothing and fails if check returns an
// error. Connecting, and a process that does not run, can take any time after a request has been passed to the Transport.
func CheckBeforeWrite(conn net.Conn, check func() error) {
	if c, ok := conn.(interface{ set(func() error) }); ok {
		c.set(check)
	}
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.run(); err != nil {
		return 0, err
	}
	c.counters.sent.Add(1)
	return c.Conn.Write(p)
}

// Write implements net.Conn.
func (c *relayedConn) Write(p []byte) (int, error) {
	if err := c.run(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
