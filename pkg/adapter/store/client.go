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
)

// Defaults of Options.
const (
	// DefaultCallTimeout bounds one HTTP exchange, so that a slow store does not hold a caller for its whole deadline.
	DefaultCallTimeout = 3 * time.Second
	// maxAttempts bounds the sends of one call; more would multiply the load on a store that recovers.
	maxAttempts = 3
	// maxListBytes bounds one list answer: 1,000 objects of a few KB, or some of the largest.
	maxListBytes = 64 << 20
	// DefaultWatchSilence leaves a store that reports its revision every 5 s some time, and a relay that was cut off
	// most of the 10 s that a configuration may take.
	DefaultWatchSilence = 7 * time.Second
	// dialTimeout bounds a connect; the store answers in milliseconds when it is up.
	dialTimeout = time.Second
)

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// ReadsPerSecond and WritesPerSecond are the node's budgets.
	ReadsPerSecond, WritesPerSecond float64
	CallTimeout                     time.Duration
	// WatchSilence is how long a watch may report nothing, not even its revision, before it ends and is made anew.
	WatchSilence time.Duration
	// Transport replaces the HTTP transport in tests.
	Transport http.RoundTripper
}

// Client is the HTTP client of the object API. It implements Store.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	silence time.Duration
	reads   *budget
	writes  *budget

	flights singleflight.Group
	// generation separates reads that began before a write of this node from those that begin after it, so
	// that a read never returns a value older than the node's own last write.
	mu         sync.Mutex
	generation int64
}

var _ Store = (*Client)(nil)

// calls counts the calls that went out, by kind, and their failures.
var calls = expvar.NewMap("store_calls")

// NewClient returns a client of the object API at address (IP:port or an http URL).
func NewClient(address string, o Options) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.WatchSilence == 0 {
		o.WatchSilence = DefaultWatchSilence
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     time.Minute,
		}
	}
	return &Client{
		base:    strings.TrimRight(address, "/"),
		http:    &http.Client{Transport: o.Transport},
		timeout: o.CallTimeout,
		silence: o.WatchSilence,
		reads:   newBudget(o.ReadsPerSecond, DefaultReadsPerSecond),
		writes:  newBudget(o.WritesPerSecond, DefaultWritesPerSecond),
	}
}

// Get implements Store. Equal reads in flight share one call.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	v, err := c.shared(ctx, "get\x00"+key, func(ctx context.Context) (any, error) { return c.get(ctx, key) })
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
	v, err := c.shared(ctx, name, func(ctx context.Context) (any, error) { return c.list(ctx, prefix, after, limit) })
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

// WithStale returns a context whose lists may be seconds old, where the store offers such reads at a lower price.
func WithStale(ctx context.Context) context.Context { return context.WithValue(ctx, staleKey{}, true) }

// IsStale reports whether a read may be seconds old.
func IsStale(ctx context.Context) bool { return ctx.Value(staleKey{}) != nil }

type freshKey struct{}

// WithFresh returns a context whose reads begin after the call, where a shared read may have begun before it.
func WithFresh(ctx context.Context) context.Context { return context.WithValue(ctx, freshKey{}, true) }

// shared runs read once for all concurrent callers of the same name and priority. The read outlives the caller
// that began it, since others may wait for it; the attempts' timeouts bound it.
func (c *Client) shared(ctx context.Context, name string, read func(context.Context) (any, error)) (any, error) {
	if ctx.Value(freshKey{}) != nil {
		return retryRead(ctx, func() (any, error) { return read(ctx) })
	}
	c.mu.Lock()
	name = fmt.Sprintf("%d\x00%d\x00%s", c.generation, priorityOf(ctx), name)
	c.mu.Unlock()
	result := c.flights.DoChan(name, func() (any, error) {
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

// retryRead repeats a read that found the store unavailable; reads have no effect, so a resend is always safe.
func retryRead(ctx context.Context, read func() (any, error)) (any, error) {
	wait := newBackOff()
	for attempt := 1; ; attempt++ {
		v, err := read()
		if err == nil || !errors.Is(err, ErrUnavailable) || attempt == maxAttempts {
			return v, err
		}
		if sleep(ctx, wait.NextBackOff()) != nil {
			return nil, err
		}
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = time.Second
	return b
}

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

func (c *Client) get(ctx context.Context, key string) (Object, error) {
	body, header, err := c.exchange(ctx, c.reads, "get", http.MethodGet, objectPath(key), nil, AnyRevision)
	if err != nil {
		return Object{}, readError(err)
	}
	revision, err := strconv.ParseInt(header.Get("Object-Revision"), 10, 64)
	if err != nil {
		return Object{}, unavailable(fmt.Errorf("object %s has no revision", key))
	}
	return Object{Key: key, Value: body, Revision: revision}, nil
}

// wireObject is an object in a list answer or a watch event.
type wireObject struct {
	Type     EventType `json:"type,omitempty"`
	Key      string    `json:"key"`
	Value    []byte    `json:"value"`
	Revision int64     `json:"revision"`
}

type wirePage struct {
	Objects  []wireObject `json:"objects"`
	Next     string       `json:"next"`
	Revision int64        `json:"revision"`
}

func (c *Client) list(ctx context.Context, prefix, after string, limit int) (Page, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	body, _, err := c.exchange(ctx, c.reads, "list", http.MethodGet, "/objects?"+query.Encode(), nil, AnyRevision)
	if err != nil {
		return Page{}, readError(err)
	}
	return decodePage(body)
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

func objectPath(key string) string {
	return (&url.URL{Path: "/objects/" + key}).EscapedPath()
}

// exchange sends one request within the budget. Errors match ErrUnavailable when the request had no effect,
// ErrUnknown when it may have had one, or the error that the store's status stands for.
func (c *Client) exchange(ctx context.Context, b *budget, kind, method, path string, body []byte, expect int64) ([]byte, http.Header, error) {
	if err := b.take(ctx); err != nil {
		return nil, nil, unavailable(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, unavailable(err)
	}
	if expect != AnyRevision {
		req.Header.Set("If-Revision", strconv.FormatInt(expect, 10))
	}
	calls.Add(kind, 1)
	resp, err := c.http.Do(req)
	if err != nil {
		calls.Add(kind+"_failed", 1)
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
		calls.Add(kind+"_failed", 1)
	}
	return answer, resp.Header, err
}

// transportError tells a request that never left (the connect failed) from one whose answer is missing.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return unavailable(err)
	}
	return unknown(err)
}

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
		// The store refuses without acting: over its rate, malformed, or down.
		return unavailable(fmt.Errorf("status %d: %.200s", status, body))
	}
	return unknown(fmt.Errorf("status %d: %.200s", status, body))
}

// readError turns an unknown outcome into unavailable: a read has no effect.
func readError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return unavailable(err)
	}
	return err
}

// outcomeError carries one of the package's errors and the fault behind it. The cause is not unwrapped, so that
// an error never matches two outcomes.
type outcomeError struct {
	outcome error
	cause   error
}

// Error names the outcome and the cause.
func (e *outcomeError) Error() string { return fmt.Sprintf("%v: %v", e.outcome, e.cause) }

// Is matches the outcome, and the context errors that callers test for.
func (e *outcomeError) Is(target error) bool {
	if target == context.Canceled || target == context.DeadlineExceeded {
		return errors.Is(e.cause, target)
	}
	return target == e.outcome
}

func unavailable(cause error) error { return &outcomeError{ErrUnavailable, cause} }
func unknown(cause error) error     { return &outcomeError{ErrUnknown, cause} }
