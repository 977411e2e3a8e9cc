package forward

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"trefoilplank.example/pkg/adapter/answers"
	"trefoilplank.example/pkg/adapter/dial"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/loadreport"
	"trefoilplank.example/pkg/decision/reach"
)

// Error is the class of the errors of this package.
var Error = errs.Class("forward")

// Outcomes of a call to an upstream; test with errors.Is.
var (
	// ErrNotRun means that the upstream did not run the request and never will.
	ErrNotRun = Error.New("upstream did not run the request")
	// ErrFull means that the upstream did not run the request because it has no free slot. It comes with ErrNotRun.
	ErrFull = Error.New("upstream has no free slot")
	// ErrUnreachable means that no connection could be made, so the request was not run.
	ErrUnreachable = Error.New("upstream unreachable")
	// ErrMismatch means that the response carries another request's ID; the request may have run.
	ErrMismatch = Error.New("response carries another request's ID")
	// ErrUnsigned means that a successful response lacks the upstream's signature, without which the caller can't use
	// it; the request may have run.
	ErrUnsigned = Error.New("response lacks the upstream's signature")
	// ErrWithdrawn means that the request was not sent, since the upstream is known to be gone or leaving. It comes with ErrNotRun.
	ErrWithdrawn = Error.New("upstream is gone or leaving")
	// errCallerGone means that the response could not be written to the caller.
	errCallerGone = Error.New("response could not be written to the caller")
	// ErrUnresponsive means that the upstream sent no data for too long; the request may have run.
	ErrUnresponsive = Error.New("upstream sent no data for too long")
	// errMaySound comes with ErrUnresponsive if the upstream may be silent and sound, which says nothing against it.
	errMaySound = Error.New("upstream may be sound")
	// ErrOwnConnection means that a request failed since this node's own connections to the upstream do, while other nodes
	// reach it. It comes with the error of the request.
	ErrOwnConnection = Error.New("only this node does not reach the upstream")
)

const (
	// defaultIdleTimeout is how long an idle connection is kept to an upstream that sends no Keep-Alive timeout;
	// maxIdleTimeout bounds the time for one that does.
	defaultIdleTimeout, maxIdleTimeout = 3 * time.Second, 8 * time.Second
	// idleFraction of the Keep-Alive timeout that an upstream sends is how long an idle connection to it is kept.
	// This avoids sending a request while the upstream closes the connection.
	idleFraction = 0.8
	// onceIdleTimeout is how long an idle connection is kept for requests that may run only once: an upstream may drop an
	// idle connection without notice, and a request sent on it then counts as one that may have run.
	onceIdleTimeout = 1500 * time.Millisecond
	// attributeTimeout bounds the check of an upstream whose run broke off: the request waits for it. It covers a connection
	// through another node, but not one to a VM that does not answer.
	attributeTimeout = 150 * time.Millisecond
	// maxIdlePerUpstream is the number of idle connections kept to an upstream: one for each slot that a node is likely
	// to use at once.
	maxIdlePerUpstream = 32
)

// HeaderNames holds the names of the headers exchanged with callers and upstreams; the platform's adapter sets them.
type HeaderNames struct {
	// RequestID carries the ID of a request; upstreams echo it.
	RequestID string
	// Deadline carries the time in milliseconds that the sender waits.
	Deadline string
	// ExpectInstance carries the ID of the upstream that is addressed; any other one refuses the request.
	ExpectInstance string
	// NotRun is set on a response to a request that was not run.
	NotRun string
	// Load carries the upstream's load as "running,waiting,slots" with further figures; see loadreport.Parse.
	Load string
	// LastEventID carries the number of the last event received, when a stream is resumed.
	LastEventID string
	// Resumes carries the ID of the request that brought the first event, when a caller resumes a stream.
	Resumes string
	// Signature carries the upstream's signature of its response.
	Signature string
	// PromptParts carries the parts of a request's prompt in order, as "id:tokens" separated by commas. The last part is the
	// request's own.
	PromptParts string
	// Limit carries the number of requests per second that an upstream accepts from all nodes together, a decimal number.
	Limit string
	// Leaving is set on the answers of an upstream that is about to leave.
	Leaving string
	// Customer carries the name of the customer on whose behalf a request is sent.
	Customer string
}

// maxSharedParts limits the parts of a prompt that are considered. Sharing becomes rarer towards the end of a prompt.
const maxSharedParts = 16

// Client sends requests to upstreams. It never retries on its own.
type Client struct {
	headers HeaderNames
	links   *uplink.Links
	// announce receives what upstreams say of themselves in their answers.
	announce func(dispatch.Upstream, dispatch.Announcement)
	// mayUse reports whether requests may be sent to an upstream now; nil if all may. It may wait for what this node must learn first.
	mayUse func(context.Context, dispatch.Upstream) bool
	// pools holds the connections for repeatable requests, by service; onceTransport holds those for requests that may
	// run only once.
	mu            sync.Mutex
	pools         map[string]*pool
	onceTransport *uplink.Transport
	// freshTransport keeps no connections. It is for requests that were refused at the same address, and for the other requests
	// without a body that net/http would resend on a kept connection: those with a method or a key by which they count as
	// idempotent.
	freshTransport *uplink.Transport
}

// pool holds the connections to the upstreams of a service.
type pool struct {
	transport   *uplink.Transport
	idleTimeout time.Duration
}

// NewClient returns a client with its own connection pools, whose connections links makes. announce receives what upstreams
// say of themselves in their answers. mayUse is asked before each request is passed to a connection, and again right before its first byte
// is written, whether the upstream may be sent requests; if it is nil, all may.
func NewClient(names HeaderNames, links *uplink.Links, announce func(dispatch.Upstream, dispatch.Announcement), mayUse func(context.Context, dispatch.Upstream) bool) *Client {
	fresh := newTransport(onceIdleTimeout)
	fresh.DisableKeepAlives = true
	return &Client{
		headers: names, links: links, announce: announce, mayUse: mayUse, pools: map[string]*pool{}, onceTransport: links.Transport(newTransport(onceIdleTimeout)),
		freshTransport: links.Transport(fresh),
	}
}

func newTransport(idleTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerUpstream, IdleConnTimeout: idleTimeout,
		ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10, MaxResponseHeaderBytes: dial.MaxResponseHeaderBytes,
	}
}

// transport returns the transport for requests to the upstreams of a service; all requests that may run only once share
// one transport.
func (c *Client) transport(service string, once bool) *uplink.Transport {
	if once {
		return c.onceTransport
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[service]
	if p == nil {
		p = &pool{c.links.Transport(newTransport(defaultIdleTimeout)), defaultIdleTimeout}
		c.pools[service] = p
	}
	return p.transport
}

// updateIdleTimeout adopts the timeout of an upstream's Keep-Alive header. A transport's idle timeout must not change
// while it is in use, so a new value gets a new transport.
func (c *Client) updateIdleTimeout(service, keepAlive string) {
	text, ok := strings.CutPrefix(keepAlive, "timeout=")
	if !ok {
		return
	}
	text, _, _ = strings.Cut(text, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || seconds <= 0 {
		return
	}
	idleTimeout := min(maxIdleTimeout, time.Duration(idleFraction*float64(seconds)*float64(time.Second)))
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[service]; p != nil && p.idleTimeout != idleTimeout {
		p.transport.Close()
		c.pools[service] = &pool{c.links.Transport(newTransport(idleTimeout)), idleTimeout}
	}
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.transport.CloseIdleConnections()
	}
	c.onceTransport.CloseIdleConnections()
}

// Request is a request as it is sent to an upstream.
type Request struct {
	ID     string
	Method string
	// Host is the Host header; Target is the path and query, byte for byte.
	Host, Target string
	// Header is shared by all attempts and must not be modified.
	Header http.Header
	Body   []byte
	// Once is set for a request that must not run more than once.
	Once bool
	// Customer is the name of the customer that sent the request, or "". If Identified is set, the upstream gets this name and neither
	// the header of that kind that the caller sent nor its key.
	Customer   string
	Identified bool
	// MaySend is called before the request is sent, and again right before its first byte is written. With an error nothing is sent. Nil
	// allows all.
	MaySend func() error
	// refusedAt holds the addresses at which an attempt was refused.
	refusedAt []string
}

// Fingerprint identifies equal requests: those with the same host, target and body. Their ids differ.
func (r *Request) Fingerprint() string {
	h := xxh3.New()
	for _, part := range [][]byte{[]byte(r.Host), []byte(r.Target), r.Body} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // A hash returns no error.
		_, _ = h.Write(part)
	}
	sum := h.Sum128().Bytes()
	return hex.EncodeToString(sum[:])
}

// Works returns what a run of the request on upstreams of a service can be blamed for.
func (c *Client) Works(r *Request, service string) failedruns.Works {
	works := failedruns.Works{Request: r.Fingerprint()}
	entries := strings.Split(r.Header.Get(c.headers.PromptParts), ",")
	for _, entry := range entries[:len(entries)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		if part := failedruns.PartWork(service, id); id != "" && len(works.Parts) < maxSharedParts && !slices.Contains(works.Parts, part) {
			works.Parts = append(works.Parts, part)
		}
	}
	return works
}

// unreplayable hides the type of the body's reader, so that the transport can't resend a request. It would do so when a kept
// connection breaks, also after the upstream has begun to run the request.
type unreplayable struct{ io.Reader }

// usuallyLacksBody reports whether net/http sends an empty body of unknown length with a method as no body at all.
func usuallyLacksBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return true
	}
	return false
}

func (unreplayable) Close() error { return nil }

// check returns an error if a request must not be sent to an upstream now.
func (c *Client) check(ctx context.Context, u dispatch.Upstream, r *Request) error {
	if c.mayUse != nil && !c.mayUse(ctx, u) {
		return ErrWithdrawn
	}
	if r.MaySend != nil {
		if err := r.MaySend(); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// Send sends the request and returns the response once its headers have arrived and were found to belong to the
// request. left is the time given to the upstream; none is sent if it is not positive. lastEvent is the number of the
// last event received, or negative. Errors that match ErrNotRun mean that the upstream did not run the request; after
// all others it may have.
func (c *Client) Send(ctx context.Context, u dispatch.Upstream, r *Request, left time.Duration, lastEvent int64) (*http.Response, error) {
	begun := time.Now()
	if err := c.check(ctx, u, r); err != nil {
		return nil, errs.Combine(ErrNotRun, err)
	}
	if left > 0 {
		left = max(time.Millisecond, left-time.Since(begun))
	}
	path, query, hasQuery := strings.Cut(r.Target, "?")
	req := &http.Request{
		Method: r.Method, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    &url.URL{Scheme: "http", Host: u.Address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""},
		Header: make(http.Header, len(r.Header)+4),
	}
	if strings.HasPrefix(path, "//") {
		// net/http would send an opaque part that begins with two slashes as an absolute URL.
		req.URL.Opaque, req.URL.Path, req.URL.RawPath = "", path, path
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	c.identify(req.Header, r)
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""} // An empty value keeps net/http from sending its own.
	}
	req.Header[c.headers.RequestID] = []string{r.ID}
	req.Header[c.headers.ExpectInstance] = []string{u.ID}
	if left > 0 {
		req.Header[c.headers.Deadline] = []string{strconv.FormatInt(max(1, left.Milliseconds()), 10)}
	}
	if lastEvent >= 0 {
		req.Header[c.headers.LastEventID] = []string{strconv.FormatInt(lastEvent, 10)}
	}
	transport := c.transport(u.Service, r.Once)
	switch {
	case len(r.Body) > 0:
		req.Body, req.ContentLength = unreplayable{bytes.NewReader(r.Body)}, int64(len(r.Body))
	case usuallyLacksBody(r.Method):
		req.Body = unreplayable{http.NoBody} // It is sent like no body.
	case r.Method == http.MethodTrace || r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != "":
		transport = c.freshTransport
	}
	if slices.Contains(r.refusedAt, u.Address) {
		transport = c.freshTransport // A second copy of the refusal may arrive on the kept connection, and has the ID of this request.
	}
	var conn httptrace.GotConnInfo
	sent := &writing{check: func() error { return c.check(ctx, u, r) }}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info
		sent.on(info.Conn)
	}})
	resp, err := transport.RoundTrip(req.WithContext(traced))
	if err != nil {
		return nil, sent.attribute(classify(ctx, err))
	}
	c.updateIdleTimeout(u.Service, resp.Header.Get("Keep-Alive"))
	err = c.checkResponse(resp, r.ID, conn.Reused)
	if !errors.Is(err, ErrMismatch) && resp.StatusCode != http.StatusMisdirectedRequest {
		c.announce(u, c.announcement(resp.Header))
	}
	if err != nil {
		if errors.Is(err, ErrMismatch) {
			// The response to this request may still arrive on the connection. Closing an unread body closes the connection, but
			// not if the body is empty.
			_ = resp.Body.Close()
			_ = conn.Conn.Close()
		} else {
			if errors.Is(err, ErrNotRun) {
				r.refusedAt = append(r.refusedAt, u.Address)
			}
			discard(resp)
		}
		return nil, err
	}
	return resp, nil
}

// announcement returns what the upstream that sent a header says of itself. A limit that is no number counts as none.
func (c *Client) announcement(h http.Header) dispatch.Announcement {
	limit, err := strconv.ParseFloat(strings.TrimSpace(h.Get(c.headers.Limit)), 64)
	if err != nil || !(limit > 0) || math.IsInf(limit, 0) {
		limit = 0
	}
	return dispatch.Announcement{Limit: limit, Leaving: h.Get(c.headers.Leaving) != ""}
}

// checkResponse returns an error if the response refuses this request, belongs to another one or lacks the signature. An
// upstream may refuse a request before it has read its ID. On a reused connection a response without one may be a late copy that
// belongs to an earlier request.
func (c *Client) checkResponse(resp *http.Response, id string, reused bool) error {
	notRun := resp.Header.Get(c.headers.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
	if echo := resp.Header.Get(c.headers.RequestID); echo != id && (echo != "" || !notRun || reused) {
		return ErrMismatch
	}
	if !notRun {
		if resp.StatusCode < http.StatusMultipleChoices && resp.Header.Get(c.headers.Signature) == "" {
			return ErrUnsigned
		}
		return nil
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		return errs.Combine(ErrNotRun, ErrFull)
	}
	return errs.Combine(ErrNotRun, Error.New("upstream answered with status %d without running the request", resp.StatusCode))
}

// maxDiscardBytes is how many bytes of an unwanted body are read so that its connection can be reused; refusals have
// short bodies.
const maxDiscardBytes = 4 << 10

// discard closes an unwanted response so that its connection can be reused if the body is short.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes) // An error only prevents reuse of the connection.
	_ = resp.Body.Close()
}

// BrokeOff reports whether a failed attempt ended because the upstream broke off its answer or its connection, rather
// than by an answer, a refusal or the caller.
func BrokeOff(err error) bool {
	var failure *failureResponse
	for _, other := range []error{ErrNotRun, ErrMismatch, ErrUnsigned, ErrUnresponsive, ErrOwnConnection, errCallerGone} {
		if errors.Is(err, other) {
			return false
		}
	}
	return err != nil && !errors.As(err, &failure)
}

// Attribute adds ErrOwnConnection to the error of a request that failed without fault of its upstream.
func (c *Client) Attribute(ctx context.Context, u dispatch.Upstream, err error) error {
	ownFault := false
	switch {
	case errors.Is(err, ErrUnresponsive):
		ownFault = c.links.Doubtful(u.Address)
	case ctx.Err() == nil && BrokeOff(err):
		ctx, cancel := context.WithTimeout(ctx, attributeTimeout)
		defer cancel()
		ownFault = c.links.Diagnose(ctx, u.Address) == uplink.ReachedByOthers
	}
	if ownFault {
		return errs.Combine(ErrOwnConnection, err)
	}
	return err
}

// silence describes the silence of an upstream, which has sent nothing of a run for the given time. relayed is set if the run's
// connection goes through another node.
func (c *Client) silence(u dispatch.Upstream, lasted time.Duration, relayed bool) reach.Silence {
	return reach.Silence{
		Lasted: lasted, Unheard: c.links.Unheard(u.Address), Steady: c.links.Steady(u.Address), Relayed: relayed,
		Lost: c.links.Lost(u.Address), Restarted: c.links.Restarted(u.Address, u.Incarnation),
	}
}

// diagnose checks a silent upstream the way that its run's connection goes.
func (c *Client) diagnose(u dispatch.Upstream, relayed bool) reach.Diagnosis {
	if relayed {
		return c.links.DiagnoseRelayed(context.Background(), u.Address)
	}
	return c.links.DiagnoseSilent(context.Background(), u.Address)
}

// Unheard returns how long no data has arrived from an upstream on this node's own connections.
func (c *Client) Unheard(u dispatch.Upstream) time.Duration { return c.links.Unheard(u.Address) }

// classify marks errors of requests that were never sent with ErrNotRun, and those caused by a dataTimer with
// ErrUnresponsive.
func classify(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && errors.Is(cause, ErrUnresponsive) {
		return errs.Combine(cause, err)
	}
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return errs.Combine(ErrNotRun, ErrUnreachable, err)
	case answers.NothingWritten(err):
		return errs.Combine(ErrNotRun, err)
	}
	return Error.Wrap(err)
}

// ReportedLoad returns the load that the upstream reports in a response's header, which has just arrived.
func (c *Client) ReportedLoad(h http.Header) loadreport.Report {
	return loadreport.Parse(h.Get(c.headers.Load), time.Now())
}
