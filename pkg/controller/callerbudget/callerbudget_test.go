package callerbudget

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	decision "trefoilplank.example/pkg/decision/callerbudget"
	"trefoilplank.example/pkg/eventlog"
)

// newServer starts a server that answers with the length of the body, and returns its group and address.
func newServer(t *testing.T, o Options) (*Group, string) {
	log := eventlog.New(io.Discard, "test")
	t.Cleanup(log.Close)
	o.Log, o.Metrics = log, metrics.NewSet()
	b := New(o)
	g := b.Group(decision.Callers)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, len(body))
	})}
	g.Serve(s)
	go func() { _ = s.Serve(g.Listener(l)) }()
	t.Cleanup(func() { s.Close() })
	return g, l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// Guards against an account that keeps what ended connections held: callers would be refused at rest.
func TestAccountIsEmptyWhenConnectionsHaveEnded(t *testing.T) {
	g, address := newServer(t, Options{Bytes: 4 << 20, Descriptors: 200})
	var callers sync.WaitGroup
	for n := range 300 {
		callers.Go(func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer c.Close()
			text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000)
			_, _ = io.WriteString(c, text[:len(text)-n%3]) // Some bodies stop short; any connection may be closed meanwhile.
			time.Sleep(50 * time.Millisecond)
		})
	}
	callers.Wait()
	eventually(t, "the account is not empty", func() bool { return g.used() == decision.Usage{} })
	resp, err := http.Post("http://"+address, "text/plain", strings.NewReader("body"))
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against a refusal that the caller does not get: a body that gave way is answered with 503.
func TestBodyThatGivesWayIsRefused(t *testing.T) {
	g, address := newServer(t, Options{Bytes: 1 << 20, Descriptors: 200})
	first := dial(t, address)
	_, err := io.WriteString(first, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500001\r\n\r\n"+strings.Repeat("x", 500000))
	assert.NilError(t, err)
	eventually(t, "body not held", func() bool { return g.used().Bytes > 500000 })
	second := dial(t, address)
	_, err = io.WriteString(second, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("x", 500000))
	assert.NilError(t, err)
	for conn, want := range map[net.Conn]int{first: http.StatusServiceUnavailable, second: http.StatusOK} {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, want)
	}
}

// Guards against header sections over the configuration's limit that are read up to that of the server, and against refusing the
// longest allowed one.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	_, address := newServer(t, Options{Bytes: 4 << 20, Descriptors: 200, HeadBytes: func() int { return 16 << 10 }})
	for size, want := range map[int]int{16 << 10: http.StatusOK, 32 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		c := dial(t, address)
		begin, end := "GET / HTTP/1.1\r\nHost: h\r\nX: ", "\r\n\r\n"
		_, _ = io.WriteString(c, begin+strings.Repeat("x", size-len(begin)-len(end))+end) // The server may have closed it.
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, want)
	}
}

// Guards against callers that keep the node answering requests which they have sent ahead, and against taking a caller that
// reuses its connection for one.
func TestRequestsSentAheadEndTheConnection(t *testing.T) {
	_, address := newServer(t, Options{Bytes: 4 << 20, Descriptors: 200})
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	answers := func(c net.Conn, count int, send func()) (n int) {
		reader := bufio.NewReader(c)
		for range count {
			send()
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return n
			}
			if _, err = io.ReadAll(resp.Body); err != nil {
				return n
			}
			n++
		}
		return n
	}
	inTurn := dial(t, address)
	assert.Equal(t, answers(inTurn, 2000, func() { _, _ = io.WriteString(inTurn, request) }), 2000)
	ahead := dial(t, address)
	_, err := io.WriteString(ahead, strings.Repeat(request, 200))
	assert.NilError(t, err)
	n := answers(ahead, 200, func() {})
	assert.Assert(t, n < 200, "%d requests sent ahead were answered", n)
}

// Guards against bodies that take for ever, and callers that never read.
func TestTimeoutsEndConnections(t *testing.T) {
	g, address := newServer(t, Options{Bytes: 4 << 20, Descriptors: 200, BodyTimeout: 50 * time.Millisecond})
	c := dial(t, address)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nb")
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	g.sweep()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
}
