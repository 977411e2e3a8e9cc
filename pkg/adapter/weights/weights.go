// Package weights requests transfers of model weights from the platform's rate-limited weight store.
package weights

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"trefoilplank.example/pkg/adapter/dial"
)

// Error is the class of all errors of this package.
var Error = errs.Class("weights")

// Errors of a transfer; test with errors.Is.
var (
	// ErrMissing means that the weight store does not hold the version.
	ErrMissing = Error.New("no such weights")
	// ErrUnavailable means that the weight store could not be reached or returned an unexpected status.
	ErrUnavailable = Error.New("weight store unavailable")
)

// BusyError means that the transfer exceeds the weight store's rate or this node's own rate. RetryAfter is the time
// to wait before the next attempt.
type BusyError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("over the weight store's rate, retry after %s", e.RetryAfter)
}

// Bounds of this node's rate in transfers a second. The store's rate is shared by all nodes and is not known, so each
// node halves its own rate after a refusal and raises it by raisePerGrant after each success.
const (
	maxPerSecond  = 4.0
	minPerSecond  = 0.05
	raisePerGrant = 0.1
)

// Client requests transfers at a rate that adapts to refusals. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	now  func() time.Time

	mu      sync.Mutex
	limiter *rate.Limiter
	// pausedUntil is the time before which the client sends nothing, set by the last refusal.
	pausedUntil time.Time
}

// New returns a client of the weight store at address (IP:port or a URL).
func New(address string, now func() time.Time) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{
		base: strings.TrimSuffix(address, "/"), http: dial.NewHTTPClient(), now: now, limiter: rate.NewLimiter(maxPerSecond, 1),
	}
}

// maxDrainBytes bounds how much of a response body is read so that its connection can be reused. The engine fetches
// the weights itself, so the rest of a longer body is not read.
const maxDrainBytes = 64 << 10

// RequestTransfer requests a transfer from the weight store. It returns nil when the transfer may begin, a *BusyError
// without waiting when it exceeds the rate, or an error that matches ErrMissing or ErrUnavailable.
func (c *Client) RequestTransfer(ctx context.Context, model, version string) error {
	if wait := c.reserve(); wait > 0 {
		return &BusyError{wait}
	}
	transferURL := fmt.Sprintf("%s/weights/%s/%s", c.base, url.PathEscape(model), url.PathEscape(version))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, transferURL, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	switch {
	case resp.StatusCode/100 == 2:
		c.raiseRate()
		return nil
	case resp.StatusCode == http.StatusTooManyRequests:
		return &BusyError{c.handleRefusal(resp.Header.Get("Retry-After"))}
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%w: %s version %s", ErrMissing, model, version)
	}
	return fmt.Errorf("%w: HTTP status %d", ErrUnavailable, resp.StatusCode)
}

// reserve takes a token of this node's own rate and returns 0, or returns how long until one is available.
func (c *Client) reserve() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if wait := c.pausedUntil.Sub(now); wait > 0 {
		return wait
	}
	if r := c.limiter.ReserveN(now, 1); r.DelayFrom(now) > 0 {
		wait := r.DelayFrom(now)
		r.CancelAt(now)
		return wait
	}
	return 0
}

// raiseRate raises the rate after a success.
func (c *Client) raiseRate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.SetLimitAt(c.now(), min(c.limiter.Limit()+raisePerGrant, maxPerSecond))
}

// handleRefusal halves the rate and returns the time to wait: the Retry-After header, or 1 s when it holds no positive
// number, plus up to half of it as jitter, so that nodes do not retry at the same moment.
func (c *Client) handleRefusal(retryAfter string) time.Duration {
	seconds, err := strconv.Atoi(retryAfter)
	if err != nil || seconds < 1 {
		seconds = 1
	}
	wait := time.Duration(float64(seconds) * float64(time.Second) * (1 + rand.Float64()/2))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil = c.now().Add(wait)
	c.limiter.SetLimitAt(c.now(), max(c.limiter.Limit()/2, minPerSecond))
	return wait
}
