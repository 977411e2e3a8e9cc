package drain

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testServers are Servers with one HTTP server. Requests for /wait take until release is closed or the drain ends them, which they answer.
type testServers struct {
	*Servers
	t       *testing.T
	address string
	release chan struct{}
	served  chan error
	// secure is set if the server uses TLS.
	secure *tls.Config
	// handled and refused count the requests that were let in and those that were not.
	handled, refused atomic.Int64
}

func startServers(t *testing.T, wrap func(net.Listener) net.Listener) *testServers {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testServers{Servers: NewServers(), t: t, address: l.Addr().String(), release: make(chan struct{}), served: make(chan error, 1)}
	if wrap != nil {
		l = wrap(l)
	}
	handle := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		if r.URL.Path == "/wait" {
			select {
			case <-s.release:
			case <-r.Context().Done():
				w.WriteHeader(http.StatusGatewayTimeout)
				_, _ = fmt.Fprint(w, "ended ", Ended(r.Context()))
				return
			}
		}
		_, _ = io.WriteString(w, "served")
	})
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.refused.Add(1)
		http.Error(w, "refused", http.StatusServiceUnavailable)
	})
	server := &http.Server{Handler: s.Gate.Handler(handle, refuse)}
	go func() { s.served <- s.Serve(server, l, server.Serve) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// testConn is a caller's connection.
type testConn struct {
	net.Conn
	answers *bufio.Reader
}

func (s *testServers) dial() *testConn {
	c, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	if s.secure != nil {
		c = tls.Client(c, s.secure) // The handshake comes with the first request.
	}
	return &testConn{c, bufio.NewReader(c)}
}

// send makes a request and returns its answer, as status and body.
func (c *testConn) send(path string) (string, error) {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(body)), err
}

// await waits until n requests are in progress.
func (s *testServers) await(n int64) {
	for until := time.Now().Add(5 * time.Second); s.Gate.Active() != n; time.Sleep(time.Millisecond) {
		assert.Assert(s.t, time.Now().Before(until), "%d requests in progress", s.Gate.Active())
	}
}

// Guards against a stop that cuts requests: those in progress, and those on connections that were opened before new ones are refused.
func TestStopServesOpenConnections(t *testing.T) {
	t.Run("plain", func(t *testing.T) { testStopServesOpenConnections(t, startServers(t, nil)) })
	t.Run("TLS", func(t *testing.T) {
		other := httptest.NewTLSServer(nil)
		defer other.Close()
		s := startServers(t, func(l net.Listener) net.Listener { return tls.NewListener(l, other.TLS) })
		roots := x509.NewCertPool()
		roots.AddCert(other.Certificate())
		s.secure = &tls.Config{RootCAs: roots, ServerName: "example.com"}
		testStopServesOpenConnections(t, s)
	})
}

func testStopServesOpenConnections(t *testing.T, s *testServers) {
	waiting, kept, unused := s.dial(), s.dial(), s.dial()
	got, err := kept.send("/")
	assert.NilError(t, err)
	assert.Equal(t, got, "200 served")
	answer := make(chan string, 1)
	go func() {
		got, err := waiting.send("/wait")
		answer <- fmt.Sprint(got, err)
	}()
	s.await(1)
	assert.NilError(t, s.Refuse())
	_, err = net.Dial("tcp", s.address)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	stopped := make(chan int64, 1)
	go func() { stopped <- s.Stop(time.Time{}, nil) }()
	for _, c := range []*testConn{kept, unused} {
		got, err := c.send("/")
		assert.NilError(t, err)
		assert.Equal(t, got, "200 served")
	}
	time.Sleep(2 * idleTime)
	assert.Equal(t, len(stopped), 0)
	close(s.release)
	assert.Equal(t, <-answer, "200 served<nil>")
	assert.Equal(t, <-stopped, int64(0))
	assert.NilError(t, <-s.served)
}

// Guards against a stop that lasts as long as a silent upstream, and against requests in progress at its end that get no answer.
func TestStopAnswersWhatItEnds(t *testing.T) {
	s := startServers(t, nil)
	const requests = 20
	answers := make(chan string, requests)
	for range requests {
		c := s.dial()
		go func() {
			got, err := c.send("/wait")
			answers <- fmt.Sprint(got, err)
		}()
	}
	s.await(requests)
	assert.NilError(t, s.Refuse())
	begun := time.Now()
	assert.Equal(t, s.Stop(begun.Add(300*time.Millisecond), nil), int64(requests))
	assert.Assert(t, time.Since(begun) < 300*time.Millisecond+answerTime+2*shutdownTime, "took %s", time.Since(begun))
	for range requests {
		assert.Equal(t, <-answers, "504 ended true<nil>")
	}
	assert.NilError(t, <-s.served)
}

// Guards against a stop that does not wait for what else is in progress, and against one that waits longer than it may.
func TestStopWaitsForOthers(t *testing.T) {
	s := startServers(t, nil)
	var relayed atomic.Int64
	relayed.Store(1)
	time.AfterFunc(200*time.Millisecond, func() { relayed.Store(0) })
	begun := time.Now()
	assert.Equal(t, s.Stop(begun.Add(5*time.Second), relayed.Load), int64(0))
	assert.Assert(t, time.Since(begun) >= 200*time.Millisecond+idleTime-2*pollInterval && time.Since(begun) < 2*time.Second)

	s = startServers(t, nil)
	relayed.Store(1)
	begun = time.Now()
	assert.Equal(t, s.Stop(begun.Add(300*time.Millisecond), relayed.Load), int64(0))
	assert.Assert(t, time.Since(begun) >= 300*time.Millisecond && time.Since(begun) < 2*time.Second)
}

// Guards against requests that are let in while the servers stop and get no answer: callers send on connections that were open before, at
// any time until the last of them is closed.
func TestStopCutsNothingThatWasLetIn(t *testing.T) {
	const callers = 50
	for range 5 {
		s := startServers(t, nil)
		close(s.release)
		var group sync.WaitGroup
		var served, refused atomic.Int64
		for range callers {
			c := s.dial()
			group.Go(func() {
				for i := 0; ; i++ {
					switch got, err := c.send("/"); {
					case err != nil:
						return
					case got == "200 served":
						served.Add(1)
					case got == "503 refused\n":
						refused.Add(1)
					default:
						t.Errorf("answer %q", got)
					}
					time.Sleep(time.Duration(i%7) * time.Millisecond)
				}
			})
		}
		assert.NilError(t, s.Refuse())
		s.Stop(time.Now().Add(300*time.Millisecond), nil)
		group.Wait()
		assert.Equal(t, served.Load(), s.handled.Load())
		assert.Equal(t, refused.Load(), s.refused.Load())
		assert.NilError(t, <-s.served)
	}
}

// faultyListener fails the next Accept while faults is positive.
type faultyListener struct {
	net.Listener
	faults *atomic.Int64
}

func (l faultyListener) Accept() (net.Conn, error) {
	if l.faults.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that accepts no connection any more after one could not be accepted, as happens when descriptors are short.
func TestServersAcceptAfterAFailure(t *testing.T) {
	var faults atomic.Int64
	faults.Store(3)
	s := startServers(t, func(l net.Listener) net.Listener { return faultyListener{l, &faults} })
	c := s.dial()
	assert.NilError(t, c.SetDeadline(time.Now().Add(2*time.Second)))
	got, err := c.send("/")
	assert.NilError(t, err)
	assert.Equal(t, got, "200 served")
}
