// Package weights starts weight transfers at the platform's rate-limited weight store.
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
)

// Error is the class of all errors of this package.
var Error = errs.Class("weights")

// Errors of a transfer; test with errors.Is.
var (
	// ErrMissing means that the weight store does not hold the version.
	ErrMissing = Error.New("no such weights")
	// ErrUnavailable means that the weight store gave no usable answer.
	ErrUnavailable = Error.New("weight store unavailable")
)

// BusyError means that the transfer is over the rate.
type BusyError struct{ RetryAfter time.Duration }

// Error names the wait.
func (e *BusyError) Error() string {
	return fmt.Sprintf("over the weight store's rate, retry after %s", e.RetryAfter)
}

// Bounds of the rate of this node. The store's rate is shared by all nodes and is not known, so each node halves
// its own rate at a refusal and raises it slowly after successes.
const (
	maxPerSecond  = 4.0
	minPerSecond  = 0.05
	raisePerGrant = 0.1
)

// Client starts transfers. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	now  func() time.Time

	mu      sync.Mutex
	limiter *rate.Limiter
	until   time.Time
}

// New returns a client of the store at an IP:port or URL.
func New(address string, now func() time.Time) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{
		base: strings.TrimSuffix(address, "/"), http: &http.Client{}, now: now, limiter: rate.NewLimiter(maxPerSecond, 1),
	}
}

// maxDrainBytes is read of an answer so that its connection can be used again. The engine fetches the weights
// itself, so that a longer answer is cut off.
const maxDrainBytes = 64 << 10

// Begin asks the weight store for a transfer. It returns nil when the transfer may begin, a *BusyError without
// waiting when it is over the rate, or an error that matches ErrMissing or ErrUnavailable.
func (c *Client) Begin(ctx context.Context, model, version string) error {
	if wait := c.reserve(); wait > 0 {
		return &BusyError{wait}
	}
	path := fmt.Sprintf("%s/weights/%s/%s", c.base, url.PathEscape(model), url.PathEscape(version))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
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
		c.granted()
		return nil
	case resp.StatusCode == http.StatusTooManyRequests:
		return &BusyError{c.refused(resp.Header.Get("Retry-After"))}
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%w: %s version %s", ErrMissing, model, version)
	}
	return fmt.Errorf("%w: HTTP status %d", ErrUnavailable, resp.StatusCode)
}

// reserve takes a permit of this node's own rate, or returns how long there is none.
func (c *Client) reserve() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if wait := c.until.Sub(now); wait > 0 {
		return wait
	}
	if r := c.limiter.ReserveN(now, 1); r.DelayFrom(now) > 0 {
		wait := r.DelayFrom(now)
		r.CancelAt(now)
		return wait
	}
	return 0
}

func (c *Client) granted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.SetLimitAt(c.now(), min(c.limiter.Limit()+raisePerGrant, maxPerSecond))
}

// refused halves the rate and returns the wait, with jitter so that nodes do not come back together.
func (c *Client) refused(retryAfter string) time.Duration {
	seconds, err := strconv.Atoi(retryAfter)
	if err != nil || seconds < 1 {
		seconds = 1
	}
	wait := time.Duration(float64(seconds) * float64(time.Second) * (1 + rand.Float64()/2))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = c.now().Add(wait)
	c.limiter.SetLimitAt(c.now(), max(c.limiter.Limit()/2, minPerSecond))
	return wait
}
