// Package answers checks the answers of HTTP servers before anything of them is used.
//
// The transport of net/http is liberal: it takes any status of three digits, field names with blanks, whose fields it then does not know
// (a length among them), and an answer without a length as complete when its connection ends, also if that was reset while the request was
// being written. A server in trouble sends such answers.
package answers

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/net/http/httpguts"
)

// Error is the class of the errors of this package.
var Error = errs.Class("answer")

// ErrMalformed means that the server has sent what is no answer in HTTP/1. The request may have run.
var ErrMalformed = Error.New("not an answer in HTTP")

// ErrCutOff means that an answer without a length ended before the request was written: its connection broke off.
var ErrCutOff = Error.New("answer ended before the request was written")

// writeEndTime is how long the end of an answer waits to learn whether the request was written whole. The server may have read it while the
// goroutine that wrote it did not run.
const writeEndTime = 100 * time.Millisecond

// lastStatus is the highest status of HTTP, and firstFinalStatus the lowest one that ends a request. Callers never ask to switch protocols.
const firstFinalStatus, lastStatus = 200, 599

// Transport passes requests on to Base, and fails those whose answers are none.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) { return RoundTrip(t.Base, r) }

// CloseIdleConnections closes those of Base.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip sends a request by base. After an error that matches ErrMalformed its connection is closed.
func RoundTrip(base http.RoundTripper, r *http.Request) (*http.Response, error) {
	var sent sentRequest
	resp, err := base.RoundTrip(r.WithContext(sent.trace(r.Context())))
	if err != nil {
		return nil, err
	}
	if !sent.onConnection() {
		return resp, nil // Base has made the answer itself.
	}
	if err := check(resp); err != nil {
		_ = resp.Body.Close()
		sent.closeConnection()
		return nil, err
	}
	if EndsWithConnection(resp) {
		resp.Body = &untilClosed{resp.Body, &sent}
	}
	return resp, nil
}

// EndsWithConnection reports whether the body of a response has neither a length nor chunks, so that a connection which ends
// early can look like its end.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// cannotRewind is the text of an error of net/http that has no exported value.
const cannotRewind = "net/http: cannot rewind body after connection loss"

// NothingWritten reports whether err is what net/http returns when a reused connection failed before the first byte of a request whose body
// can't be sent again. The texts of other errors may hold what a server sent, so the whole text is compared.
func NothingWritten(err error) bool {
	for ; err != nil; err = errors.Unwrap(err) {
		if err.Error() == cannotRewind {
			return true
		}
	}
	return false
}

// check returns an error that matches ErrMalformed if a response is none.
func check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return errs.Combine(ErrMalformed, Error.New("version is not HTTP/1"))
	}
	if resp.StatusCode < firstFinalStatus || resp.StatusCode > lastStatus {
		return errs.Combine(ErrMalformed, Error.New("status %d", resp.StatusCode))
	}
	if !httpguts.ValidHeaderFieldValue(resp.Status) {
		return errs.Combine(ErrMalformed, Error.New("reason of status %d holds a control character", resp.StatusCode))
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errs.Combine(ErrMalformed, Error.New("name of a field is no token"))
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errs.Combine(ErrMalformed, Error.New("value of field %s holds a control character", name))
			}
		}
	}
	return nil
}

// sentRequest follows a request on its connection.
type sentRequest struct {
	mu   sync.Mutex
	conn io.Closer
	// finished is closed when the request was written or could not be; written is set then, and err is the error.
	finished chan struct{}
	written  bool
	err      error
}

// trace returns a context for the request.
func (s *sentRequest) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			// net/http may use another connection if nothing was written on the first one.
			s.conn, s.finished, s.written, s.err = info.Conn, make(chan struct{}), false, nil
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.finished != nil && !s.written {
				s.written, s.err = true, info.Err
				close(s.finished)
			}
		},
	})
}

// onConnection reports whether the request has got a connection of net/http.
func (s *sentRequest) onConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil
}

func (s *sentRequest) closeConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.conn.Close() // What it would still deliver is of no use.
}

// wroteWhole reports whether the request was written without an error.
func (s *sentRequest) wroteWhole() bool {
	s.mu.Lock()
	finished := s.finished
	s.mu.Unlock()
	patience := time.NewTimer(writeEndTime)
	defer patience.Stop()
	select {
	case <-finished:
	case <-patience.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written && s.err == nil
}

// untilClosed is a body that ends with its connection. A reset while the request is being written is reported to the writer only, and looks
// like such an end to the reader.
type untilClosed struct {
	io.ReadCloser
	sent *sentRequest
}

func (b *untilClosed) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.sent.wroteWhole() {
		return n, ErrCutOff
	}
	return n, err
}
