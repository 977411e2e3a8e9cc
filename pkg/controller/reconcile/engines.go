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
	"trefoilplank.example/pkg/adapter/answers"
	"trefoilplank.example/pkg/adapter/dial"
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
	// ErrRefused means that the engine rejected an order and did not carry it out.
	ErrRefused = Error.New("the engine refused the order")
	// ErrUnknown means that the engine may have carried out an order.
	ErrUnknown = Error.New("the outcome of the order is unknown")
)

// Engines reads the state of engines and sends them orders. A larger token fences off all orders with smaller ones.
type Engines interface {
	State(ctx context.Context, u api.Upstream) (reconcile.State, error)
	Order(ctx context.Context, u api.Upstream, token int64, o reconcile.Order) error
}

// HTTPEngines implements Engines over HTTP.
type HTTPEngines struct{ Client *http.Client }

// NewHTTPEngines returns an HTTPEngines that keeps few idle connections, since state is read rarely.
func NewHTTPEngines() *HTTPEngines {
	return &HTTPEngines{&http.Client{Transport: answers.Transport{Base: &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: dial.MaxResponseHeaderBytes,
	}}}}
}

// maxStateBytes bounds the body of an engine's answer to GET /state.
const maxStateBytes = 1 << 20

// State reads the engine's state with GET /state. It returns ErrNoOrders for status 404.
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

// Order sends an order and the fencing token with POST /orders. Once the request was sent, every error matches one of
// ErrStaleToken, ErrRefused, ErrNoOrders and ErrUnknown.
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
	// Without GetBody the transport can't resend the order on another connection.
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
