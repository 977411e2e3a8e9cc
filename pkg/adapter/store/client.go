package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/singleflight"

	"trefoilplank.example/pkg/adapter/answers"
	"trefoilplank.example/pkg/adapter/dial"
	"trefoilplank.example/pkg/boottime"
)

// Defaults of Options.
const (
	// DefaultCallTimeout bounds one HTTP request, so that a slow store does not use up the caller's deadline.
	DefaultCallTimeout = 3 * time.Second
	// maxAttempts bounds how often one call is sent; more attempts would multiply the load on a recovering store.
	maxAttempts = 3
	// maxListBytes bounds one response body: a list of 1,000 objects of a few KB, or of some of the largest.
	maxListBytes = 64 << 20
	// DefaultWatchTimeout leaves some slack to a store that reports its revision every 5 s, and leaves a relay that was
	// cut off most of the 10 s within which a new configuration must arrive.
	DefaultWatchTimeout = 7 * time.Second
	// dialTimeout bounds a connect; the store answers in milliseconds when it is up.
	dialTimeout = time.Second
)

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// ReadsPerSecond and WritesPerSecond are the node's budgets.
	ReadsPerSecond, WritesPerSecond float64
	CallTimeout                     time.Duration
	// WatchTimeout is how long a watch may go without an event, revision reports included, before it is ended. Follow
	// then starts a new one.
	WatchTimeout time.Duration
	// Transport replaces the HTTP transport in tests.
	Transport http.RoundTripper
}

// Client is the HTTP client of the object API. It implements Store.
type Client struct {
	baseURL      string
	http         *http.Client
	timeout      time.Duration
	watchTimeout time.Duration
	reads        *budget
	writes       *budget

	sharedReads singleflight.Group
	// generation counts this node's writes. Reads of different generations do not share a call, so that a read never
	// returns a value older than the node's own last write.
	mu         sync.Mutex
	generation int64
}

var _ Store = (*Client)(nil)

// callCounts counts the calls sent by kind, their failures as kind_failed, waits for the budget, and lost answers that
// were resolved.
var callCounts = expvar.NewMap("store_calls")

// NewClient returns a client of the object API at address (IP:port or an http URL).
func NewClient(address string, o Options) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.WatchTimeout == 0 {
		o.WatchTimeout = DefaultWatchTimeout
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     time.Minute,

			MaxResponseHeaderBytes: dial.MaxResponseHeaderBytes,
		}
	}
	return &Client{
		baseURL:      strings.TrimRight(address, "/"),
		http:         &http.Client{Transport: answers.Transport{Base: o.Transport}},
		timeout:      o.CallTimeout,
		watchTimeout: o.WatchTimeout,
		reads:        newBudget(o.ReadsPerSecond, DefaultReadsPerSecond),
		writes:       newBudget(o.WritesPerSecond, DefaultWritesPerSecond),
	}
}

// Get implements Store. Equal reads in flight share one call.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	v, err := c.shareRead(ctx, "get\x00"+key, func(ctx context.Context) (any, error) { return c.getOnce(ctx, key) })
	if err != nil {
		return Object{}, err
	}
	o := v.(Object)
	o.Value = bytes.Clone(o.Value)
	return o, nil
}

// List implements Store. Equal reads in flight share one call.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	name := fmt.Sprintf("list\x00%s\x00%s\x00%d\x00%t", prefix, after, limit, IsStale(ctx))
	v, err := c.shareRead(ctx, name, func(ctx context.Context) (any, error) { return c.listOnce(ctx, prefix, after, limit) })
	if err != nil {
		return Page{}, err
	}
	p := v.(Page)
	p.Objects = append([]Object(nil), p.Objects...)
	for i := range p.Objects {
		p.Objects[i].Value = bytes.Clone(p.Objects[i].Value)
	}
	return p, nil
}

type staleKey struct{}

// WithStale returns a context whose lists may be seconds old, where the store offers such reads at a lower cost.
func WithStale(ctx context.Context) context.Context { return context.WithValue(ctx, staleKey{}, true) }

// IsStale reports whether ctx allows lists that are seconds old.
func IsStale(ctx context.Context) bool { return ctx.Value(staleKey{}) != nil }

type earlySyncKey struct{}

// WithEarlySync returns a context whose watches report at once whether there were changes, in place of waiting for the first one.
func WithEarlySync(ctx context.Context) context.Context {
	return context.WithValue(ctx, earlySyncKey{}, true)
}

// IsEarlySync reports whether ctx is one of WithEarlySync.
func IsEarlySync(ctx context.Context) bool { return ctx.Value(earlySyncKey{}) != nil }

type singleSyncKey struct{}

// WithSingleSync returns a context whose watches end after they have reported, at once, what has changed so far.
func WithSingleSync(ctx context.Context) context.Context {
	return context.WithValue(WithEarlySync(ctx), singleSyncKey{}, true)
}

// IsSingleSync reports whether ctx is one of WithSingleSync.
func IsSingleSync(ctx context.Context) bool { return ctx.Value(singleSyncKey{}) != nil }

type freshKey struct{}

// WithFresh returns a context whose reads are always sent, instead of joining a shared read that began earlier.
func WithFresh(ctx context.Context) context.Context { return context.WithValue(ctx, freshKey{}, true) }

// shareRead runs read once for all concurrent callers with the same name, priority and generation. The read is not
// cancelled with the caller that began it, since others may wait for it; a limit derived from the attempts' timeouts
// bounds it.
func (c *Client) shareRead(ctx context.Context, name string, read func(context.Context) (any, error)) (any, error) {
	if ctx.Value(freshKey{}) != nil {
		return retryRead(ctx, func() (any, error) { return read(ctx) })
	}
	c.mu.Lock()
	name = fmt.Sprintf("%d\x00%d\x00%s", c.generation, priorityOf(ctx), name)
	c.mu.Unlock()
	result := c.sharedReads.DoChan(name, func() (any, error) {
		limit := maxAttempts * 2 * c.timeout
		inner, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		return retryRead(inner, func() (any, error) { return read(inner) })
	})
	select {
	case r := <-result:
		return r.Val, r.Err
	case <-ctx.Done():
		return nil, unavailable(ctx.Err())
	}
}

// retryRead repeats a read while the store is unavailable, up to maxAttempts sends. Reads have no effect, so sending
// them again is always safe.
func retryRead(ctx context.Context, read func() (any, error)) (any, error) {
	wait := newBackOff()
	for attempt := 1; ; attempt++ {
		v, err := read()
		if err == nil || !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrHeldBack) || attempt == maxAttempts {
			return v, err
		}
		if sleep(ctx, wait.NextBackOff()) != nil {
			return nil, err
		}
	}
}

// newBackOff returns the delays between attempts, which grow from 50 ms to 1 s.
func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = time.Second
	return b
}

// sleep returns after d, or with the context's error when it ends before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// getOnce makes one attempt to read an object.
func (c *Client) getOnce(ctx context.Context, key string) (Object, error) {
	body, header, err := c.sendRequest(ctx, c.reads, "get", http.MethodGet, objectPath(key), nil, AnyRevision)
	if err != nil {
		return Object{}, readError(err)
	}
	revision, err := strconv.ParseInt(header.Get("Object-Revision"), 10, 64)
	if err != nil {
		return Object{}, unavailable(fmt.Errorf("object %s has no revision", key))
	}
	return Object{Key: key, Value: body, Revision: revision}, nil
}

// wireObject is the JSON form of an object in a list response or of a watch event.
type wireObject struct {
	Type     EventType `json:"type,omitempty"`
	Key      string    `json:"key"`
	Value    []byte    `json:"value"`
	Revision int64     `json:"revision"`
	// Begun is set by transports within this process; see Event.
	Begun time.Duration `json:"begun,omitempty"`
}

// wirePage is the JSON form of a list response.
type wirePage struct {
	Objects  []wireObject `json:"objects"`
	Next     string       `json:"next"`
	Revision int64        `json:"revision"`
}

// listOnce makes one attempt to read a page.
func (c *Client) listOnce(ctx context.Context, prefix, after string, limit int) (Page, error) {
	begun := boottime.Now()
	if IsStale(ctx) {
		begun = 0
	}
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	body, _, err := c.sendRequest(ctx, c.reads, "list", http.MethodGet, "/objects?"+query.Encode(), nil, AnyRevision)
	if err != nil {
		return Page{}, readError(err)
	}
	p, err := decodePage(body)
	p.Begun = begun
	return p, err
}

func decodePage(body []byte) (Page, error) {
	var w wirePage
	if err := json.Unmarshal(body, &w); err != nil {
		return Page{}, unavailable(err)
	}
	p := Page{Next: w.Next, Revision: w.Revision}
	for _, o := range w.Objects {
		p.Objects = append(p.Objects, Object{Key: o.Key, Value: o.Value, Revision: o.Revision})
	}
	return p, nil
}

// objectPath returns the escaped URL path of an object.
func objectPath(key string) string {
	return (&url.URL{Path: "/objects/" + key}).EscapedPath()
}

// sendRequest sends one request within the budget b and returns the response body and header. kind names the request in
// the call counts. Errors match ErrUnavailable when the request had no effect, ErrUnknown when it may have had one, or
// the error that the response's status stands for.
func (c *Client) sendRequest(ctx context.Context, b *budget, kind, method, path string, body []byte, expect int64) ([]byte, http.Header, error) {
	if err := b.acquire(ctx); err != nil {
		return nil, nil, unavailable(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, unavailable(err)
	}
	if expect != AnyRevision {
		req.Header.Set("If-Revision", strconv.FormatInt(expect, 10))
	}
	callCounts.Add(kind, 1)
	resp, err := c.http.Do(req)
	if err != nil {
		callCounts.Add(kind+"_failed", 1)
		return nil, nil, transportError(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err == nil {
		err = statusError(resp.StatusCode, answer)
	} else {
		err = unknown(err)
	}
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		callCounts.Add(kind+"_failed", 1)
	}
	return answer, resp.Header, err
}

// transportError returns ErrUnavailable when the request was never sent because the connect failed or the store is
// disrupted, and ErrUnknown when it may have been sent and only the response is missing.
func transportError(err error) error {
	var op *net.OpError
	if errors.Is(err, ErrHeldBack) || errors.As(err, &op) && op.Op == "dial" {
		return unavailable(err)
	}
	return unknown(err)
}

// statusError returns the error that an HTTP status stands for, nil for success.
func statusError(status int, body []byte) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict, status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusGone:
		return ErrCompacted
	case status < 500, status == http.StatusServiceUnavailable:
		// The store refused without acting: over its rate, a malformed request, or an outage.
		return unavailable(fmt.Errorf("status %d: %.200s", status, body))
	}
	return unknown(fmt.Errorf("status %d: %.200s", status, body))
}

// readError turns ErrUnknown into ErrUnavailable, since a read has no effect.
func readError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return unavailable(err)
	}
	return err
}

// outcomeError is ErrUnavailable or ErrUnknown with its cause. The cause is not unwrapped, so that an error never
// matches two outcomes.
type outcomeError struct {
	outcome error
	cause   error
}

// Error implements error.
func (e *outcomeError) Error() string { return fmt.Sprintf("%v: %v", e.outcome, e.cause) }

// Is matches the outcome, and the cause only for ErrHeldBack and the context errors that callers test for.
func (e *outcomeError) Is(target error) bool {
	if target == context.Canceled || target == context.DeadlineExceeded || target == ErrHeldBack {
		return errors.Is(e.cause, target)
	}
	return target == e.outcome
}

// unavailable and unknown return ErrUnavailable and ErrUnknown with a cause.
func unavailable(cause error) error { return &outcomeError{ErrUnavailable, cause} }
func unknown(cause error) error     { return &outcomeError{ErrUnknown, cause} }
