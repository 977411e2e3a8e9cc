package peer_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentConnectionIsReplaced guards against a peer that stays unreachable after a network partition because the
// client keeps a connection from before it on which no answer arrives any more. A proxy between both stops passing
// answers on its first connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s, target := startEcho(t, "secret")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var connections atomic.Int64
	var cut atomic.Bool
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			t.Cleanup(func() { in.Close(); out.Close() })
			first := connections.Add(1) == 1
			go io.Copy(out, in)
			go func() {
				for buffer := make([]byte, 4096); ; {
					n, err := out.Read(buffer)
					if err != nil || first && cut.Load() {
						return
					}
					_, _ = in.Write(buffer[:n])
				}
			}()
		}
	}()
	c := newClient(t, s, "secret", l.Addr().String())
	say := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		return c.Call(ctx, "other", "Echo.Say", Text{"x"}, &Text{})
	}
	assert.NilError(t, say())
	cut.Store(true)
	assert.Assert(t, say() != nil)
	for deadline := time.Now().Add(20 * time.Second); say() != nil; {
		assert.Assert(t, time.Now().Before(deadline), "the unresponsive connection is still in use")
	}
	assert.Equal(t, connections.Load(), int64(2))
}
