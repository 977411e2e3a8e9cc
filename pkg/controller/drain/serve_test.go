package drain

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failingListener fails once for lack of descriptors.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func newServer(t *testing.T, s *Servers) (*http.Server, net.Listener) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return &http.Server{Handler: s.Gate.Handler(answer, http.NotFoundHandler())}, l
}

// Guards against a node that accepts no callers any more after one connection could not be accepted.
func TestServeGoesOnAfterFailedAccept(t *testing.T) {
	s := NewServers()
	server, l := newServer(t, s)
	served := make(chan error, 1)
	failing := &failingListener{Listener: l}
	go func() { served <- s.Serve(server, failing, server.Serve) }()
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + l.Addr().String())
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	s.Stop(time.Now(), nil)
	assert.NilError(t, <-served)
}

// Guards against a server that begins to serve after all were stopped, and that nobody stops any more.
func TestServeAfterStopReturns(t *testing.T) {
	s := NewServers()
	s.Stop(time.Now(), nil)
	server, l := newServer(t, s)
	assert.NilError(t, s.Serve(server, l, server.Serve))
}
