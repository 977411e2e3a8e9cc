package dial

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against a connection that ends because its sound peer was silent for a second or so: a set TCP_USER_TIMEOUT decides
// when keep-alive probes give up, and the first probe may be lost.
func TestPeerMayBeSilentForASecondOrSo(t *testing.T) {
	const silence = 1500 * time.Millisecond
	l, err := ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conn, err := Dialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	accepted, err := l.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	for _, c := range []net.Conn{conn, accepted} {
		raw, err := c.(*net.TCPConn).SyscallConn()
		assert.NilError(t, err)
		option := func(level, name int) (value int) {
			var optionErr error
			assert.NilError(t, raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), level, name) }))
			assert.NilError(t, optionErr)
			return value
		}
		timeout := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
		idle := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
		assert.Assert(t, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 1)
		assert.Assert(t, timeout-idle >= silence, "the peer may be silent for %s only", timeout-idle)
	}
}
