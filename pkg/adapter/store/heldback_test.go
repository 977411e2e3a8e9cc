package store_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
)

// heldBackAfter is a transport that loses the answers to a number of calls and holds all later ones back.
type heldBackAfter struct{ lost, calls atomic.Int64 }

func (h *heldBackAfter) RoundTrip(*http.Request) (*http.Response, error) {
	if h.calls.Add(1); h.lost.Add(-1) >= 0 {
		return nil, errors.New("connection reset")
	}
	return nil, fmt.Errorf("%w: another call failed", store.ErrHeldBack)
}

// Guards against attempts of the client that repeat a call which was held back while the store is disrupted, and against a write of which an
// earlier attempt may have been carried out and whose error says otherwise.
func TestCallsThatAreHeldBackAreNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name  string
		lost  int64
		call  func(context.Context, *store.Client) error
		want  error
		calls int64
	}{
		{"list", 0, func(ctx context.Context, c *store.Client) error { _, err := c.List(ctx, "k/", "", 10); return err }, store.ErrUnavailable, 1},
		{"write", 0, func(ctx context.Context, c *store.Client) error {
			_, err := c.Put(ctx, "k/a", nil, store.CreateOnly)
			return err
		}, store.ErrUnavailable, 1},
		{"write whose answer was lost", 1, func(ctx context.Context, c *store.Client) error {
			_, err := c.Put(ctx, "k/a", nil, store.CreateOnly)
			return err
		}, store.ErrUnknown, 2},
		{"write whose answer and reading back were lost", 2, func(ctx context.Context, c *store.Client) error {
			_, err := c.Put(ctx, "k/a", nil, store.CreateOnly)
			return err
		}, store.ErrUnknown, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &heldBackAfter{}
				transport.lost.Store(c.lost)
				err := c.call(t.Context(), store.NewClient("127.0.0.1:1", store.Options{Transport: transport}))
				assert.Assert(t, errors.Is(err, c.want), "%v", err)
				assert.Equal(t, errors.Is(err, store.ErrUnavailable), c.want == store.ErrUnavailable)
				assert.Equal(t, transport.calls.Load(), c.calls)
			})
		})
	}
}
