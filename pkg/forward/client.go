package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/adapter/dial"
	"trefoilplank.example/pkg/decision/dispatch"
)

// Error is the class of the errors of this package.
var Error = errs.Class("forward")

// Outcomes of a call to an upstream; test with errors.Is.
var (
	// ErrNotRun means that the upstream did not run the request and never will.
	ErrNotRun = Error.New("not run")
	// ErrFull is a not-run answer of an upstream that has no place.
	ErrFull = Error.New("upstream is full")
	// ErrUnreachable means that no connection could be made, so the request was not run.
	ErrUnreachable = Error.New("upstream unreachable")
	// ErrMismatch means that the answer belongs to another request; the request may have run.
	ErrMismatch = Error.New("answer belongs to another request")
	// ErrUnsigned means that a success lacks the upstream's signature, so that it is worth nothing to the caller; the request
	// may have run.
	ErrUnsigned = Error.New("answer without the upstream's signature")
	// errCaller means that the caller no longer takes its answer.
	errCaller = Error.New("caller is gone")
	// ErrSilent means that the upstream gave nothing for too long; the request may have run.
	ErrSilent = Error.New("upstream is silent")
)

const (
	// dialTimeout bounds a connect: upstreams are a few milliseconds away, and a VM without power does not answer.
	dialTimeout = 300 * time.Millisecond
	// presetIdle is how long an unused connection is kept for an upstream that does not name its own idle timeout, and
	// mostIdle for one that names a longer one.
	presetIdle, mostIdle = 3 * time.Second, 8 * time.Second
	// idlePart of the timeout that an upstream names is how long a connection to it is kept unused, which avoids sends that
	// cross its close.
	idlePart = 0.8
	// freshIdle is the same for requests that may run only once: an upstream may drop an idle connection without notice,
	// and a send on it then counts as one that may have run.
	freshIdle = 1500 * time.Millisecond
	// idlePerUpstream keeps a connection for each slot that one node is likely to use at once.
	idlePerUpstream = 32
)

// Dialect holds the names of the headers that are spoken with callers and upstreams; the adapter sets them.
type Dialect struct {
	// RequestID names a request; upstreams echo it.
	RequestID string
	// Deadline is the time in milliseconds that the sender waits.
	Deadline string
	// ExpectInstance names the upstream that is meant; another one refuses.
	ExpectInstance string
	// NotRun marks an answer to a request that was not run.
	NotRun string
	// Load is "running,waiting,slots" of the upstream.
	Load string
	// LastEventID is the number of the last event that was received, when a stream is resumed.
	LastEventID string
	// Stamp is the upstream's signature of its answer.
	Stamp string
}

// Client sends requests to upstreams. It never sends one again by itself.
type Client struct {
	dialect Dialect
	// kept holds connections for requests that may be repeated, by the upstreams' service; fresh those for all others.
	mu    sync.Mutex
	kept  map[string]*pool
	fresh *http.Transport
}

// pool is the connections to the upstreams of a service.
type pool struct {
	transport *http.Transport
	idle      time.Duration
}

// NewClient returns a client with its own connections.
func NewClient(d Dialect) *Client {
	return &Client{dialect: d, kept: map[string]*pool{}, fresh: newTransport(freshIdle)}
}

func newTransport(idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: dial.Dialer(dialTimeout).DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: idlePerUpstream, IdleConnTimeout: idle,
		ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}
}

func (c *Client) transport(service string, once bool) *http.Transport {
	if once {
		return c.fresh
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.kept[service]
	if p == nil {
		p = &pool{newTransport(presetIdle), presetIdle}
		c.kept[service] = p
	}
	return p.transport
}

// learnIdle takes the idle timeout that an upstream names. The library fixes it for a transport's lifetime, so a change
// begins a new one.
func (c *Client) learnIdle(service, keepAlive string) {
	text, ok := strings.CutPrefix(keepAlive, "timeout=")
	if !ok {
		return
	}
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || seconds <= 0 {
		return
	}
	idle := min(mostIdle, time.Duration(idlePart*float64(seconds)*float64(time.Second)))
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.kept[service]; p != nil && p.idle != idle {
		p.transport.CloseIdleConnections()
		c.kept[service] = &pool{newTransport(idle), idle}
	}
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.kept {
		p.transport.CloseIdleConnections()
	}
	c.fresh.CloseIdleConnections()
}

// Request is one request as it goes to an upstream.
type Request struct {
	ID     string
	Method string
	// Host is the Host header, Target the path and query byte for byte.
	Host, Target string
	// Header is shared by all sends and not changed.
	Header http.Header
	Body   []byte
	// Once is set for a request that must not run more than once.
	Once bool
}

// unreplayable hides the body's type, so that the transport can't send a request a second time.
type unreplayable struct{ io.Reader }

func (unreplayable) Close() error { return nil }

// Send sends the request and returns the answer once its headers are there and belong to the request. left is the time
// that the upstream is given; after is the last event received, or negative. Errors that match ErrNotRun say that the
// upstream did not run the request; all others that it may have.
func (c *Client) Send(ctx context.Context, u dispatch.Upstream, r *Request, left time.Duration, after int64) (*http.Response, error) {
	path, query, hasQuery := strings.Cut(r.Target, "?")
	req := &http.Request{
		Method: r.Method, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Scheme: "http", Host: u.Address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""},
		Header: make(http.Header, len(r.Header)+4),
	}
	if strings.HasPrefix(path, "//") {
		// An opaque part that begins with two slashes would be sent as an absolute URL.
		req.URL.Opaque, req.URL.Path, req.URL.RawPath = "", path, path
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""} // An empty value keeps the library from sending its own.
	}
	req.Header[c.dialect.RequestID] = []string{r.ID}
	req.Header[c.dialect.ExpectInstance] = []string{u.ID}
	if left > 0 {
		req.Header[c.dialect.Deadline] = []string{strconv.FormatInt(max(1, left.Milliseconds()), 10)}
	}
	if after >= 0 {
		req.Header[c.dialect.LastEventID] = []string{strconv.FormatInt(after, 10)}
	}
	if len(r.Body) > 0 {
		req.Body, req.ContentLength = unreplayable{bytes.NewReader(r.Body)}, int64(len(r.Body))
	}
	resp, err := c.transport(u.Service, r.Once).RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, classify(ctx, err)
	}
	c.learnIdle(u.Service, resp.Header.Get("Keep-Alive"))
	if err := c.check(resp, r.ID); err != nil {
		if errors.Is(err, ErrMismatch) {
			// Closing an unread body ends the connection, on which the own answer may still arrive.
			_ = resp.Body.Close()
		} else {
			discard(resp)
		}
		return nil, err
	}
	return resp, nil
}

// check tells an answer to this request from a refusal and from another request's answer.
func (c *Client) check(resp *http.Response, id string) error {
	notRun := resp.Header.Get(c.dialect.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
	if echo := resp.Header.Get(c.dialect.RequestID); echo != id && (echo != "" || !notRun) {
		return ErrMismatch
	}
	if !notRun {
		if resp.StatusCode < http.StatusMultipleChoices && resp.Header.Get(c.dialect.Stamp) == "" {
			return ErrUnsigned
		}
		return nil
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		return errs.Combine(ErrNotRun, ErrFull)
	}
	return errs.Combine(ErrNotRun, Error.New("upstream answered %d without running the request", resp.StatusCode))
}

// discardLimit is how much of an unwanted answer is read to keep its connection; refusals have short bodies.
const discardLimit = 4 << 10

func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, discardLimit) // Only the connection's reuse depends on it.
	_ = resp.Body.Close()
}

// classify tells a request that never left from one that may have run.
func classify(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && errors.Is(cause, ErrSilent) {
		return errs.Combine(ErrSilent, err)
	}
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return errs.Combine(ErrNotRun, ErrUnreachable, err)
	case strings.Contains(err.Error(), "cannot rewind body after connection loss"):
		// The one error that net/http gives when a kept connection failed before the first byte of a request was
		// written; it has no exported value.
		return errs.Combine(ErrNotRun, err)
	}
	return Error.Wrap(err)
}

// Busy returns the number of running and waiting requests that an answer reports, or -1.
func (c *Client) Busy(h http.Header) int {
	parts := strings.Split(h.Get(c.dialect.Load), ",")
	if len(parts) != 3 {
		return -1
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err1 != nil || err2 != nil {
		return -1
	}
	return running + waiting
}
