package forward

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
)

// scriptedUpstream answers each request with the text that answer returns, on kept connections, and counts the connections.
type scriptedUpstream struct {
	net.Listener
	mu          sync.Mutex
	connections int
}

func newScriptedUpstream(t *testing.T, answer func(connection, request int, r *http.Request) string) *scriptedUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedUpstream{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			n := s.connections
			s.connections++
			s.mu.Unlock()
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for request := 0; ; request++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					fmt.Fprint(conn, answer(n, request, r))
				}
			}()
		}
	}()
	return s
}

// scriptedAnswer is an answer without a body.
func scriptedAnswer(status, id, more string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Id: %s\r\nX-Stamp: u\r\n%sContent-Length: 0\r\n\r\n", status, id, more)
}

func newOnceRequest(id string) *Request {
	return &Request{ID: id, Method: http.MethodPost, Host: testHost, Target: "/", Once: true}
}

// send sends a request to an upstream at an address.
func send(t *testing.T, c *Client, upstream, address string, r *Request) error {
	resp, err := c.Send(t.Context(), dispatch.Upstream{ID: upstream, Service: "s", Address: address}, r, time.Second, -1)
	if err == nil {
		discard(resp)
	}
	return err
}

func newScriptedClient(t *testing.T) *Client {
	client := NewClient(testHeaders, uplink.New(uplink.Options{}), func(dispatch.Upstream, dispatch.Announcement) {}, nil)
	t.Cleanup(client.Close)
	return client
}

// Guards against a request that runs and counts as not run: its address has passed to another upstream, the first attempt was
// refused with 421, and the second copy of that answer arrives where the answer to the next attempt is expected.
func TestSecondCopyOf421IsNotTakenForTheAnswerOfTheNextAttempt(t *testing.T) {
	var copies sync.Map
	l := newScriptedUpstream(t, func(connection, _ int, r *http.Request) string {
		id := r.Header.Get("X-Id")
		if r.Header.Get("X-Expect") != "new" {
			copies.Store(connection, scriptedAnswer("421 Misdirected", id, "X-Not-Run: 1\r\n"))
			return scriptedAnswer("421 Misdirected", id, "X-Not-Run: 1\r\n")
		}
		late, _ := copies.LoadAndDelete(connection)
		if late == nil {
			late = ""
		}
		return late.(string) + scriptedAnswer("200 OK", id, "")
	})
	client := newScriptedClient(t)
	request := newOnceRequest("a")
	assert.ErrorIs(t, send(t, client, "old", l.Addr().String(), request), ErrNotRun)
	err := send(t, client, "new", l.Addr().String(), request)
	assert.Assert(t, !errors.Is(err, ErrNotRun), "the upstream ran the request: %v", err)
	assert.NilError(t, err)
}

// Guards against a connection that goes on to be used after a late copy without a body was taken from it: each later request then
// gets the answer to the one before.
func TestConnectionWithALateCopyIsNotUsedAgain(t *testing.T) {
	l := newScriptedUpstream(t, func(connection, request int, r *http.Request) string {
		answer := scriptedAnswer("200 OK", r.Header.Get("X-Id"), "")
		if connection == 0 && request == 1 {
			return scriptedAnswer("503 Full", "a", "X-Not-Run: 1\r\n") // The answer to this request comes with the next one.
		}
		if connection == 0 && request == 2 {
			return scriptedAnswer("200 OK", "b", "") + answer
		}
		return answer
	})
	client := newScriptedClient(t)
	assert.NilError(t, send(t, client, "u", l.Addr().String(), newOnceRequest("a")))
	assert.ErrorIs(t, send(t, client, "u", l.Addr().String(), newOnceRequest("b")), ErrMismatch)
	for _, id := range []string{"c", "d"} {
		assert.NilError(t, send(t, client, "u", l.Addr().String(), newOnceRequest(id)))
	}
}
