// Package earlyerror replaces the error answers that net/http itself writes by ones in the form of the public API.
// net/http answers requests that reach no handler, because their request line or header can't be parsed, without a
// request ID, an outcome or a JSON body. No upstream can have started such a request, so the outcome is always not-run.
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

// contextKey is the context key of a request's connection.
type contextKey struct{}

// WrapListener wraps l and the handler of s, and returns the listener that s must serve. node is the prefix of request
// IDs. It must be called before s serves; it overwrites the server's ConnContext and ConnState.
func WrapListener(s *http.Server, l net.Listener, node string) net.Listener {
	next := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.inHandler.Store(false)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
			c.inHandler.Store(true)
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

// conn replaces the error answers that the server writes while no handler has the request.
type conn struct {
	net.Conn
	node string
	// inHandler is set from the call of the handler until the complete answer is written. Meanwhile Write changes
	// nothing.
	inHandler atomic.Bool
}

// Read implements net.Conn. It answers a caller that sends plain HTTP to a TLS listener. net/http does that only for
// connections of type *tls.Conn, which conn hides.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	var header tls.RecordHeaderError
	if errors.As(err, &header) && header.Conn != nil && startsHTTPRequest(header.RecordHeader) {
		_, _ = header.Conn.Write(c.errorResponse(http.StatusBadRequest, "an HTTP request was sent to an HTTPS listener"))
		_ = header.Conn.Close()
		return 0, io.EOF
	}
	return n, err
}

// startsHTTPRequest reports whether the bytes read in place of a TLS record header are the start of an HTTP request.
func startsHTTPRequest(b [5]byte) bool {
	switch string(b[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO", "DELET", "PATCH":
		return true
	}
	return false
}

// Write implements net.Conn. It replaces an error answer that does not come from a handler.
func (c *conn) Write(b []byte) (int, error) {
	if c.inHandler.Load() {
		return c.Conn.Write(b)
	}
	status, reason, ok := parseStatusLine(b)
	if !ok {
		return c.Conn.Write(b)
	}
	if _, err := c.Conn.Write(c.errorResponse(status, reason)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// CloseWrite lets the server close its sending side first, so that the caller can still read the answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// parseStatusLine parses the status line of an answer; ok is false unless it is an error answer.
func parseStatusLine(b []byte) (status int, reason string, ok bool) {
	line, _, _ := strings.Cut(string(b), "\r\n")
	version, rest, _ := strings.Cut(line, " ")
	digits, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(digits)
	return status, reason, err == nil && strings.HasPrefix(version, "HTTP/1.") && status >= http.StatusBadRequest
}

// errorResponse returns a complete HTTP answer with the error body of the public API.
func (c *conn) errorResponse(status int, reason string) []byte {
	e := api.Errorf(status, api.CodeMalformed, api.NotRun, "the request can't be read: %s", reason)
	if status == http.StatusRequestHeaderFieldsTooLarge {
		e.Code = api.CodeTooLarge
	}
	e.RequestID = c.node + "-" + ulid.Make().String()
	klog.V(2).InfoS("Refused a request that can't be parsed", "request", e.RequestID, "remote", c.RemoteAddr().String(), "status", status, "reason", reason)
	body, err := json.Marshal(e)
	if err != nil {
		klog.ErrorS(err, "Encoding the answer to a request that can't be parsed failed", "request", e.RequestID)
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n%s: %s\r\n%s: %s\r\n\r\n%s\n",
		status, http.StatusText(status), len(body)+1, api.HeaderRequestID, e.RequestID, api.HeaderOutcome, e.Outcome, body)
	return out.Bytes()
}
