// Package earlyerror gives the answers that net/http writes itself the form of the contract. These are the answers
// to requests that reach no handler, since their request line or header can't be read: they would have no request id,
// no outcome and no JSON body. No upstream can have begun such a request, so the outcome is always not-run.
package earlyerror

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"trefoilplank.example/api"
)

type contextKey struct{}

// Listen prepares the server s for a listener and returns the listener that s must serve. node prefixes request ids.
// It must be called before s serves, and takes the place of the server's ConnContext and ConnState.
func Listen(s *http.Server, l net.Listener, node string) net.Listener {
	next := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.handled.Store(false)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
			c.handled.Store(true)
		}
		next.ServeHTTP(w, r)
	})
	return &listener{l, node}
}

type listener struct {
	net.Listener
	node string
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, node: l.node}, nil
}

// conn replaces what the server writes while no handler has the request.
type conn struct {
	net.Conn
	node string
	// handled is set from the call of the handler until the whole answer is written.
	handled atomic.Bool
}

// Read implements net.Conn. It answers a caller that speaks HTTP to a TLS listener, which the server does only for
// connections that it knows to be TLS.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	var header tls.RecordHeaderError
	if errors.As(err, &header) && header.Conn != nil && beginsRequest(header.RecordHeader) {
		_, _ = header.Conn.Write(c.answer(http.StatusBadRequest, "an HTTP request was sent to an HTTPS listener"))
		_ = header.Conn.Close()
		return 0, io.EOF
	}
	return n, err
}

// beginsRequest reports whether the bytes read in place of a TLS record begin an HTTP request.
func beginsRequest(b [5]byte) bool {
	switch string(b[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO", "DELET", "PATCH":
		return true
	}
	return false
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.handled.Load() {
		return c.Conn.Write(b)
	}
	status, reason, ok := statusLine(b)
	if !ok {
		return c.Conn.Write(b)
	}
	if _, err := c.Conn.Write(c.answer(status, reason)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// CloseWrite lets the server end its side first, so that the caller still reads the answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// statusLine reads the status line that begins an error answer of the server.
func statusLine(b []byte) (status int, reason string, ok bool) {
	line, _, _ := strings.Cut(string(b), "\r\n")
	version, rest, _ := strings.Cut(line, " ")
	digits, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(digits)
	return status, reason, err == nil && strings.HasPrefix(version, "HTTP/1.") && status >= http.StatusBadRequest
}

// answer returns a whole HTTP answer with the error body of the contract.
func (c *conn) answer(status int, reason string) []byte {
	e := api.Errorf(status, api.CodeMalformed, api.NotRun, "the request can't be read: %s", reason)
	if status == http.StatusRequestHeaderFieldsTooLarge {
		e.Code = api.CodeTooLarge
	}
	e.RequestID = c.node + "-" + ulid.Make().String()
	klog.V(2).InfoS("Request can't be read", "request", e.RequestID, "remote", c.RemoteAddr().String(), "status", status, "reason", reason)
	body, err := json.Marshal(e)
	if err != nil {
		klog.ErrorS(err, "Encoding an error answer failed", "request", e.RequestID)
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n%s: %s\r\n%s: %s\r\n\r\n%s\n",
		status, http.StatusText(status), len(body)+1, api.HeaderRequestID, e.RequestID, api.HeaderOutcome, e.Outcome, body)
	return out.Bytes()
}
