package reconcile

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/decision/reconcile"
)

// TestHTTPEngines guards against HTTP statuses of an engine that map to the wrong error, and against orders without
// their fencing token.
func TestHTTPEngines(t *testing.T) {
	code, body, sent := 200, `{"models":{"m":"v1"},"adapters":null,"role":"serve","fencing":7}`, ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		sent = r.Method + " " + r.URL.Path + " " + string(b)
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}))
	defer s.Close()
	u, e, ctx := api.Upstream{Address: s.Listener.Addr().String()}, NewHTTPEngines(), context.Background()

	state, err := e.State(ctx, u)
	assert.NilError(t, err)
	assert.Equal(t, state.Models["m"], "v1")
	assert.Equal(t, state.Fencing, int64(7))
	o := reconcile.Order{Upstream: "u", Kind: reconcile.Load, Model: "m", Version: "v2", Reason: "r", Disrupts: []string{"m"}}
	assert.NilError(t, e.Order(ctx, u, 8, o))
	assert.Equal(t, sent, `POST /orders {"fencing":8,"order":"load","model":"m","version":"v2"}`)
	for status, want := range map[int]error{409: ErrStaleToken, 404: ErrNoOrders, 400: ErrRefused, 500: ErrUnknown} {
		code = status
		assert.ErrorIs(t, e.Order(ctx, u, 8, o), want)
	}
	code = 404
	_, err = e.State(ctx, u)
	assert.ErrorIs(t, err, ErrNoOrders)
	s.Close()
	assert.ErrorIs(t, e.Order(ctx, u, 8, o), ErrUnknown)
}
