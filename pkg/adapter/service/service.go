// Package service makes HTTP calls to upstreams and matches every answer to its call by the echoed request id, never by
// the connection it arrives on.
//
// An answer with the request id of another call in progress at the same upstream is delivered to that call. The call on
// whose connection it arrived waits for matchWait for its own answer to arrive in the same way.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/answers"
	"trefoilplank.example/pkg/adapter/dial"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/serving"
)

// Error is the class of the errors of this package.
var Error = errs.Class("upstream")

// Limits of a call.
const (
	// MaxBodyBytes bounds the body of an answer that is read into memory.
	MaxBodyBytes = 64 << 20
	// matchWait is how long a call that received another call's answer waits for its own. Answers that an upstream
	// swaps are sent together, so the second one follows within the time of one round trip.
	matchWait = 500 * time.Millisecond
	// idleTimeout closes unused connections earlier than most servers do, so that no request is written to a connection
	// that the server is closing.
	idleTimeout = 30 * time.Second
	// maxIdlePerUpstream allows an idle connection for each slot of an upstream.
	maxIdlePerUpstream = 256
)

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	transport  *uplink.Transport
	inProgress pendingCalls
}

// New returns a client with its own connection pool, whose connections links makes.
func New(links *uplink.Links) *Client {
	return &Client{transport: links.Transport(&http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: dial.MaxResponseHeaderBytes,
	})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Answer is an upstream's response that was matched to its call; the body is still to be read.
type Answer struct {
	*http.Response
	pendingCall *pendingCall
	// cancel ends the round trip that carries the answer.
	cancel context.CancelFunc
	// detach stops the caller's context from cancelling the round trip.
	detach func() bool
}

// Close ends the call and discards the rest of the body.
func (a *Answer) Close() {
	a.detach()
	a.Body.Close()
	a.cancel()
	a.pendingCall.remove()
}

// progress records how far a call got on its connection.
type progress struct {
	connected, reused, wroteHeaders atomic.Bool
}

// withTrace returns a context that records the progress of a round trip in p.
func (p *progress) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			p.reused.Store(i.Reused)
			p.connected.Store(true)
		},
		WroteHeaders: func() { p.wroteHeaders.Store(true) },
	})
}

// onceBody hides the body's type from net/http, so that the transport can't resend a request on its own, as it would
// for GET and for any request with an Idempotency-Key header.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// newRequest builds the HTTP request of a call; its request id, custom id and idempotency key become headers.
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

// WithProbe returns a context whose calls always probe the upstream before they are sent. It is for calls that must not
// be sent to an upstream that is already down, such as the run of a suspect request, against which a broken connection
// would count. A recent answer is not enough then, since another node may have seen the upstream crash.
func WithProbe(ctx context.Context) context.Context { return context.WithValue(ctx, probeKey{}, true) }

// Open sends the call and returns its answer once the headers have arrived. The caller must close the answer. An
// upstream that has not answered for aliveWindow is probed first, so that a call to an upstream that is already down
// counts as not started, rather than as one during which the upstream crashed.
func (c *Client) Open(ctx context.Context, u api.Upstream, call serving.Call) (*Answer, error) {
	if ctx.Value(probeKey{}) != nil || !c.inProgress.recentlyAlive(u.Name) {
		if !c.Alive(ctx, u) {
			return nil, errs.Combine(serving.ErrNotStarted, Error.New("upstream %s does not answer its probe", u.Name))
		}
		c.inProgress.recordAnswer(u.Name)
	}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	pending := c.inProgress.add(u.Name, call.RequestID, cancel)
	a, err := c.roundTrip(ctx, run, u, call, pending)
	if err != nil {
		pending.remove()
		return nil, err
	}
	a.pendingCall = pending
	a.detach = context.AfterFunc(ctx, a.cancel)
	return a, nil
}

// roundTrip sends the call and returns its answer. The answer on the call's own connection may belong to another call,
// so the caller's context ctx no longer cancels the round trip once the headers have arrived; run does.
func (c *Client) roundTrip(ctx, run context.Context, u api.Upstream, call serving.Call, pending *pendingCall) (*Answer, error) {
	cancel := pending.cancel
	detach := context.AfterFunc(ctx, cancel)
	var p progress
	resp, err := c.send(run, u, call, &p)
	pending.endRoundTrip()
	if err != nil {
		select {
		case a := <-pending.answers:
			detach()
			cancel()
			return a, nil
		default:
		}
		err = c.classifyError(ctx, run, u, pending, &p, err)
		detach()
		cancel()
		return nil, err
	}
	detach()
	c.inProgress.recordAnswer(u.Name)
	a := &Answer{Response: resp, cancel: cancel}
	echo := resp.Header.Get(api.HeaderUpstreamRequestID)
	if echo == "" && (resp.StatusCode >= 300 || resp.StatusCode == http.StatusNoContent) {
		// An error response from a layer below the application carries no request id, and an empty response has no
		// content that could be confused; both count as the answer to this connection's call.
		echo = call.RequestID
	}
	if echo == call.RequestID {
		return a, nil
	}
	if !c.inProgress.deliver(u.Name, echo, a) {
		resp.Body.Close()
		cancel()
	}
	timer := time.NewTimer(matchWait)
	defer timer.Stop()
	select {
	case a := <-pending.answers:
		return a, nil
	case <-timer.C:
		return nil, serving.ErrMismatch
	case <-ctx.Done():
		return nil, errs.Combine(serving.ErrInterrupted, context.Cause(ctx))
	}
}

// send makes the round trip. It makes a second one when a reused connection was closed before anything was written.
func (c *Client) send(ctx context.Context, u api.Upstream, call serving.Call, p *progress) (*http.Response, error) {
	for try := 0; ; try++ {
		req, err := newRequest(p.withTrace(ctx), u, call)
		if err != nil {
			return nil, err
		}
		resp, err := c.transport.RoundTrip(req)
		if err != nil && try == 0 && answers.NothingWritten(err) {
			p.wroteHeaders.Store(false)
			p.connected.Store(false)
			continue
		}
		return resp, err
	}
}

// classifyError turns an error of a round trip into serving.ErrNotStarted, serving.ErrInterrupted or
// serving.ErrUpstreamCrashed.
func (c *Client) classifyError(ctx, run context.Context, u api.Upstream, pending *pendingCall, p *progress, err error) error {
	// A request that is cancelled on a connection may be written while its round trip returns.
	cancelled := run.Err() != nil && p.connected.Load()
	if !cancelled && (!p.connected.Load() || !p.wroteHeaders.Load()) || answers.NothingWritten(err) {
		return errs.Combine(serving.ErrNotStarted, err)
	}
	if run.Err() != nil {
		return errs.Combine(serving.ErrInterrupted, context.Cause(ctx))
	}
	return c.breakError(ctx, u, pending, connState{reused: p.reused.Load()}, err)
}

// Do makes a call and returns its complete answer.
func (c *Client) Do(ctx context.Context, u api.Upstream, call serving.Call) (*serving.Result, error) {
	start := time.Now()
	a, err := c.Open(ctx, u, call)
	if err != nil {
		return nil, err
	}
	defer a.Close()
	return c.Read(ctx, u, a, start)
}

// Read reads the body of an answer and checks that it is complete. start is when the call began.
func (c *Client) Read(ctx context.Context, u api.Upstream, a *Answer, start time.Time) (*serving.Result, error) {
	first := time.Since(start)
	body, err := ReadSized(io.LimitReader(a.Body, MaxBodyBytes+1), a.ContentLength)
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, errs.Combine(serving.ErrInterrupted, context.Cause(ctx))
	case err != nil:
		return nil, c.breakError(ctx, u, a.pendingCall, connState{answered: true}, err)
	case len(body) > MaxBodyBytes:
		return nil, errs.Combine(serving.ErrMismatch, Error.New("answer above %d bytes", MaxBodyBytes))
	case a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Request.Method != http.MethodHead && !json.Valid(body):
		// Without a length the body ends when the connection closes, so an upstream that crashes may cut it short.
		return nil, errs.Combine(serving.ErrMismatch, Error.New("answer without a length"))
	}
	return &serving.Result{Status: a.StatusCode, Header: a.Header, Body: body, FirstToken: first}, nil
}

// maxPreallocBytes bounds the memory in bytes that is allocated for a body before it arrives.
const maxPreallocBytes = 64 << 10

// ReadSized reads a body to its end. size is the length from its header, or -1 when unknown. The buffer does not grow
// when size is right and at most maxPreallocBytes.
func ReadSized(r io.Reader, size int64) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(int(min(max(size, 0), maxPreallocBytes)) + bytes.MinRead)
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}

// ClosedAnswer returns an answer with an empty body that is already closed.
func ClosedAnswer() *Answer {
	return &Answer{
		Response:    &http.Response{Body: http.NoBody},
		pendingCall: (&pendingCalls{}).add("", "", func() {}),
		cancel:      func() {},
		detach:      func() bool { return true },
	}
}
