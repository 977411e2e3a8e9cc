package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
)

// Guards against a request that is sent to an upstream which went after it had been chosen, and against one that counts as sent although its
// time was over before.
func TestWithdrawnUpstreamIsNotSentRequests(t *testing.T) {
	reached := false
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
	defer server.Close()
	u := dispatch.Upstream{ID: "u", Address: strings.TrimPrefix(server.URL, "http://"), Service: "s"}
	for _, c := range []struct {
		mayUse func(context.Context, dispatch.Upstream) bool
		is     error
	}{
		{func(context.Context, dispatch.Upstream) bool { return false }, ErrWithdrawn},
		{func(ctx context.Context, _ dispatch.Upstream) bool { <-ctx.Done(); return true }, context.DeadlineExceeded},
	} {
		client := NewClient(testHeaders, uplink.New(uplink.Options{}), func(dispatch.Upstream, dispatch.Announcement) {}, c.mayUse)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err := client.Send(ctx, u, &Request{ID: "r", Method: http.MethodPost, Host: "h", Target: "/x", Header: http.Header{}, Once: true}, time.Second, -1)
		cancel()
		assert.ErrorIs(t, err, ErrNotRun)
		assert.ErrorIs(t, err, c.is)
		assert.Assert(t, !reached)
	}
}
