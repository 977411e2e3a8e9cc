package peer

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// resetTarget is a connection that was reset while it is written to: the write fails, and the reader sees a plain end.
type resetTarget struct {
	net.Conn
	read    chan string
	written chan struct{}
}

func (r *resetTarget) Read(p []byte) (int, error) {
	part, ok := <-r.read
	if !ok {
		<-r.written
		return 0, io.EOF
	}
	return copy(p, part), nil
}

func (r *resetTarget) Write([]byte) (int, error) {
	close(r.written)
	time.Sleep(5 * time.Millisecond)
	return 0, syscall.ECONNRESET
}

func (*resetTarget) Close() error { return nil }

func (*resetTarget) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// Guards against a part of an answer that is passed on as the whole because the upstream reset the connection of the node that relays it, which
// was still writing the request.
func TestResetOfARelayedConnectionIsNoEnd(t *testing.T) {
	for range 50 {
		near, far := net.Pipe()
		target := &resetTarget{read: make(chan string, 1), written: make(chan struct{})}
		target.read <- "part"
		close(target.read)
		done := make(chan struct{})
		go func() { defer close(done); relayData(&relayedConn{Conn: far, stream: newStream(far)}, target) }()
		client := &relayedConn{Conn: near, stream: newStream(near)}
		go func() { _, _ = client.Write([]byte("request")) }()
		got, err := io.ReadAll(client)
		assert.Equal(t, string(got), "part")
		assert.Assert(t, errors.Is(err, ErrBrokeOff), "%v", err)
		_ = client.Close()
		<-done
	}
}
