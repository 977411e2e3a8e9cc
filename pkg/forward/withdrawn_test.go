package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
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

// Guards against a request that is sent to an upstream which went after the request had been checked, while it waited for its connection: a node
// that was stopped meanwhile sent it when it went on.
func TestUpstreamWithdrawnDuringAConnectIsNotSentRequests(t *testing.T) {
	for name, c := range map[string]struct {
		method, body string
		kept         bool
	}{"new": {http.MethodPost, "b", false}, "kept": {http.MethodPost, "b", true}, "kept_without_body": {http.MethodGet, "", true}} {
		t.Run(name, func(t *testing.T) {
			var reached atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				reached.Add(1)
				w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
				w.Header().Set(testHeaders.Signature, "s")
			}))
			defer server.Close()
			u := dispatch.Upstream{ID: "u", Address: strings.TrimPrefix(server.URL, "http://"), Service: "s"}
			var gone atomic.Bool
			client := NewClient(testHeaders, uplink.New(uplink.Options{}), func(dispatch.Upstream, dispatch.Announcement) {},
				func(context.Context, dispatch.Upstream) bool { return !gone.Load() })
			send := func(ctx context.Context) error {
				r := &Request{ID: "r", Method: c.method, Host: "h", Target: "/x", Header: http.Header{}, Body: []byte(c.body)}
				resp, err := client.Send(ctx, u, r, time.Second, -1)
				if err == nil {
					discard(resp)
				}
				return err
			}
			want := int64(0)
			if c.kept {
				want = 1
				assert.NilError(t, send(t.Context()))
			}
			err := send(httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
				assert.Check(t, info.Reused == c.kept)
				gone.Store(true)
			}}))
			assert.ErrorIs(t, err, ErrNotRun)
			assert.ErrorIs(t, err, ErrWithdrawn)
			assert.Equal(t, reached.Load(), want)
		})
	}
}
