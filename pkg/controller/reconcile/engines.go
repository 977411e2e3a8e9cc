package reconcile

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/decision/reconcile"
)

// Error is the class of the errors of this package.
var Error = errs.Class("reconcile")

// Errors of calls to an engine; test with errors.Is.
var (
	// ErrNoOrders means that the engine has no order interface.
	ErrNoOrders = Error.New("the engine takes no orders")
	// ErrStaleToken means that the engine has seen a larger fencing token.
	ErrStaleToken = Error.New("the engine refused the fencing token as stale")
	// ErrRefused means that the engine did not obey an order.
	ErrRefused = Error.New("the engine refused the order")
	// ErrUnknown means that the engine may have obeyed an order.
	ErrUnknown = Error.New("the outcome of the order is unknown")
)

// Engines reads the state of engines and sends them orders.
type Engines interface {
	State(ctx context.Context, u api.Upstream) (reconcile.State, error)
	Order(ctx context.Context, u api.Upstream, token int64, o reconcile.Order) error
}

// HTTPEngines is the HTTP form of Engines.
type HTTPEngines struct{ Client *http.Client }

// NewHTTPEngines returns a client that keeps few idle connections, since state is read seldom.
func NewHTTPEngines() *HTTPEngines {
	return &HTTPEngines{&http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute,
	}}}
}

// maxStateBytes bounds the answer of an engine.
const maxStateBytes = 1 << 20

// State reads GET /state. A 404 returns ErrNoOrders.
func (e *HTTPEngines) State(ctx context.Context, u api.Upstream) (reconcile.State, error) {
	var s reconcile.State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+"/state", nil)
	if err != nil {
		return s, Error.Wrap(err)
	}
	resp, err := e.Client.Do(req)
	if err != nil {
		return s, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	switch {
	case err != nil:
		return s, Error.Wrap(err)
	case resp.StatusCode == http.StatusNotFound:
		return s, ErrNoOrders
	case resp.StatusCode != http.StatusOK:
		return s, Error.New("GET /state: HTTP status %d", resp.StatusCode)
	}
	return s, Error.Wrap(json.Unmarshal(body, &s))
}

// Order sends POST /orders with the fencing token. An error other than ErrStaleToken, ErrRefused and ErrNoOrders
// matches ErrUnknown.
func (e *HTTPEngines) Order(ctx context.Context, u api.Upstream, token int64, o reconcile.Order) error {
	body, err := json.Marshal(struct {
		Fencing int64 `json:"fencing"`
		reconcile.Order
	}{token, o})
	if err != nil {
		return Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	// Without a body to send again the transport never repeats the order on another connection.
	req.GetBody = nil
	resp, err := e.Client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	switch code := resp.StatusCode; {
	case code/100 == 2:
		return nil
	case code == http.StatusConflict:
		return ErrStaleToken
	case code == http.StatusNotFound:
		return ErrNoOrders
	case code/100 == 4:
		return fmt.Errorf("%w: HTTP status %d: %s", ErrRefused, code, bytes.TrimSpace(text))
	default:
		return fmt.Errorf("%w: HTTP status %d", ErrUnknown, code)
	}
}
