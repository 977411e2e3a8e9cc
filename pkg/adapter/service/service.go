// Package service makes HTTP calls to upstreams and matches every answer to its request by the echoed request
// id, never by the connection it arrives on.
//
// An answer that carries the id of another call in flight on the same upstream is handed to that call, and the
// call on whose connection it arrived waits a short time for its own answer to arrive in the same way.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// Error is the class of the errors of this package.
var Error = errs.Class("upstream")

// Limits of a call.
const (
	// MaxBodyBytes bounds an answer that is read as a whole.
	MaxBodyBytes = 64 << 20
	// matchWait is how long a call that got another call's answer waits for its own. Crossed answers are
	// sent together, so the second one follows within the time of one round trip.
	matchWait = 500 * time.Millisecond
	// dialTimeout bounds the connect; upstreams are at most a few milliseconds away.
	dialTimeout = time.Second
	// idleTimeout closes unused connections before usual servers do, which avoids a request written to a
	// connection that the server is closing.
	idleTimeout = 30 * time.Second
	// maxIdlePerUpstream keeps a connection for each slot of an upstream.
	maxIdlePerUpstream = 256
)

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	flights   flights
}

// New returns a client with its own connection pool.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Answer is the answer of an upstream that was matched to its call; the body is still to be read.
type Answer struct {
	*http.Response
	flight *flight
	cancel context.CancelFunc
	detach func() bool
}

// Close ends the call and drops what is left of the body.
func (a *Answer) Close() {
	a.detach()
	a.Body.Close()
	a.cancel()
	a.flight.end()
}

// progress records how far a call got on its connection.
type progress struct {
	connected, reused, wrote atomic.Bool
}

func (p *progress) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			p.reused.Store(i.Reused)
			p.connected.Store(true)
		},
		WroteHeaders: func() { p.wrote.Store(true) },
	})
}

// onceBody hides the body's type from net/http, so that the transport never sends a request a second time by
// itself: it would do so for GET and for any request with an Idempotency-Key header.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func newRequest(ctx context.Context, u api.Upstream, call serving.Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+u.Address+call.Path,
		onceBody{bytes.NewReader(call.Body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(api.HeaderUpstreamRequestID, call.RequestID)
	if call.CustomID != "" {
		req.Header.Set(api.HeaderUpstreamCustomID, call.CustomID)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(api.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "trefoilplank")
	}
	return req, nil
}

type probeKey struct{}

// WithProbe returns a context for a call that must not be sent to an upstream which is down already, such as the run
// of a suspect, whose broken connection would count against it. Another node may have seen the upstream die.
func WithProbe(ctx context.Context) context.Context { return context.WithValue(ctx, probeKey{}, true) }

// Open sends the call and returns its answer once the headers arrived. The caller closes the answer. An upstream
// that gave no answer for aliveFor is probed first: a call to one that is already down so counts as not started, and
// its broken connection does not pass for a death under the call.
func (c *Client) Open(ctx context.Context, u api.Upstream, call serving.Call) (*Answer, error) {
	if ctx.Value(probeKey{}) != nil || !c.flights.recentlyAlive(u.Name) {
		if !c.Alive(ctx, u) {
			return nil, errs.Combine(serving.ErrNotStarted, Error.New("upstream %s does not answer its probe", u.Name))
		}
		c.flights.answered(u.Name)
	}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f := c.flights.add(u.Name, call.RequestID, cancel)
	a, err := c.roundTrip(ctx, run, u, call, f)
	if err != nil {
		f.end()
		return nil, err
	}
	a.flight = f
	a.detach = context.AfterFunc(ctx, a.cancel)
	return a, nil
}

// roundTrip sends the call and returns its answer. What arrives on the call's own connection goes to the call that it
// belongs to, so the round trip is not tied to the caller's context once its headers are there.
func (c *Client) roundTrip(ctx, run context.Context, u api.Upstream, call serving.Call, f *flight) (*Answer, error) {
	cancel := f.cancel
	leave := context.AfterFunc(ctx, cancel)
	var p progress
	resp, err := c.send(run, u, call, &p)
	f.settle()
	if err != nil {
		select {
		case a := <-f.answers:
			leave()
			cancel()
			return a, nil
		default:
		}
		err = c.classify(ctx, run, u, f, &p, err)
		leave()
		cancel()
		return nil, err
	}
	leave()
	c.flights.answered(u.Name)
	a := &Answer{Response: resp, cancel: cancel}
	echo := resp.Header.Get(api.HeaderUpstreamRequestID)
	if echo == "" && (resp.StatusCode >= 300 || resp.StatusCode == http.StatusNoContent) {
		// A refusal from a layer below the application carries no id, and an empty answer has no content to mix
		// up; both belong to this connection.
		echo = call.RequestID
	}
	if echo == call.RequestID {
		return a, nil
	}
	if !c.flights.deliver(u.Name, echo, a) {
		resp.Body.Close()
		cancel()
	}
	timer := time.NewTimer(matchWait)
	defer timer.Stop()
	select {
	case a := <-f.answers:
		return a, nil
	case <-timer.C:
		return nil, serving.ErrMismatch
	case <-ctx.Done():
		return nil, errs.Combine(serving.ErrInterrupted, context.Cause(ctx))
	}
}

// send makes the round trip; it repeats it once when a kept connection had closed before anything was written.
func (c *Client) send(ctx context.Context, u api.Upstream, call serving.Call, p *progress) (*http.Response, error) {
	for try := 0; ; try++ {
		req, err := newRequest(p.trace(ctx), u, call)
		if err != nil {
			return nil, err
		}
		resp, err := c.transport.RoundTrip(req)
		if err != nil && try == 0 && nothingWritten(err) {
			p.wrote.Store(false)
			p.connected.Store(false)
			continue
		}
		return resp, err
	}
}

// nothingWritten reports the one error that net/http gives when a kept connection failed before the first byte
// of a request whose body can't be sent again. The error has no exported value.
func nothingWritten(err error) bool {
	return strings.Contains(err.Error(), "cannot rewind body after connection loss")
}

// classify turns an error of a round trip into one of package serving.
func (c *Client) classify(ctx, run context.Context, u api.Upstream, f *flight, p *progress, err error) error {
	if !p.connected.Load() || !p.wrote.Load() || nothingWritten(err) {
		return errs.Combine(serving.ErrNotStarted, err)
	}
	if run.Err() != nil {
		return errs.Combine(serving.ErrInterrupted, context.Cause(ctx))
	}
	return c.broken(ctx, u, f, evidence{reused: p.reused.Load()}, err)
}

// Do runs a call and returns its whole answer.
func (c *Client) Do(ctx context.Context, u api.Upstream, call serving.Call) (*serving.Result, error) {
	start := time.Now()
	a, err := c.Open(ctx, u, call)
	if err != nil {
		return nil, err
	}
	defer a.Close()
	return c.Read(ctx, u, a, start)
}

// Read reads the rest of an answer and checks that it is whole.
func (c *Client) Read(ctx context.Context, u api.Upstream, a *Answer, start time.Time) (*serving.Result, error) {
	first := time.Since(start)
	body, err := ReadSized(io.LimitReader(a.Body, MaxBodyBytes+1), a.ContentLength)
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, errs.Combine(serving.ErrInterrupted, context.Cause(ctx))
	case err != nil:
		return nil, c.broken(ctx, u, a.flight, evidence{answered: true}, err)
	case len(body) > MaxBodyBytes:
		return nil, errs.Combine(serving.ErrMismatch, Error.New("answer above %d bytes", MaxBodyBytes))
	case a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Request.Method != http.MethodHead && !json.Valid(body):
		// Such a body ends where the connection ends, which a dying upstream does as well.
		return nil, errs.Combine(serving.ErrMismatch, Error.New("answer without a length"))
	}
	return &serving.Result{Status: a.StatusCode, Header: a.Header, Body: body, FirstToken: first}, nil
}

// maxPresize bounds the memory that a body takes before it arrives.
const maxPresize = 64 << 10

// ReadSized reads a body to its end. size is the length that its header gave, or -1; the body is read without growing
// when that is right.
func ReadSized(r io.Reader, size int64) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(int(min(max(size, 0), maxPresize)) + bytes.MinRead)
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}

// Closed returns an answer that is closed already and whose body is empty.
func Closed() *Answer {
	return &Answer{
		Response: &http.Response{Body: http.NoBody},
		flight:   (&flights{}).add("", "", func() {}),
		cancel:   func() {},
		detach:   func() bool { return true },
	}
}
