package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
)

// Guards against a request without a body that net/http sends again by itself when a kept connection breaks after the
// request was written: the upstream runs it twice within one attempt, and if the second connection is refused, the attempt
// looks as if it had not run.
func TestRequestOnBrokenConnectionIsNotSentAgain(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		header http.Header
		once   bool
		down   bool
	}{
		"GET":                   {method: http.MethodGet},
		"GET that runs once":    {method: http.MethodGet, once: true},
		"HEAD":                  {method: http.MethodHead},
		"OPTIONS":               {method: http.MethodOptions},
		"TRACE":                 {method: http.MethodTrace},
		"POST with a key":       {method: http.MethodPost, header: http.Header{"Idempotency-Key": {"k"}}},
		"GET, upstream is gone": {method: http.MethodGet, down: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(f *fixture, w http.ResponseWriter, _ *http.Request) {
				if len(f.requests()) == 1 {
					return
				}
				if c.down {
					f.upstreams["u0"].Listener.Close()
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				conn.Close()
			})
			client := NewClient(testHeaders, uplink.New(uplink.Options{}), func(dispatch.Upstream, dispatch.Announcement) {}, nil)
			defer client.Close()
			u := dispatch.Upstream{ID: "u0", Service: "s", Address: f.upstreams["u0"].Listener.Addr().String()}
			send := func(id string) error {
				resp, err := client.Send(context.Background(), u, &Request{ID: id, Method: c.method, Host: testHost, Target: "/a", Header: c.header, Once: c.once}, time.Second, -1)
				if err == nil {
					resp.Body.Close()
				}
				return err
			}
			assert.NilError(t, send("first"))
			err := send("second")
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, ErrNotRun), "the upstream ran the request: %v", err)
			assert.Equal(t, len(f.requests()), 2)
			for _, r := range f.requests() {
				assert.Equal(t, r.header.Get("Transfer-Encoding"), "")
			}
		})
	}
}
