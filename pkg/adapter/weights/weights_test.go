package weights

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a new request to a weight store within the Retry-After of its refusal, against a refusal that does
// not halve the rate, and against missing weights being reported as an outage.
func TestBegin(t *testing.T) {
	status, calls := http.StatusTooManyRequests, 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		assert.Check(t, r.URL.Path == "/weights/m/v 1", r.URL.Path)
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(status)
	}))
	defer s.Close()
	now := time.Unix(1000, 0)
	c := New(s.Listener.Addr().String(), func() time.Time { return now })
	begin := func() error { return c.RequestTransfer(context.Background(), "m", "v 1") }

	var busy *BusyError
	assert.Assert(t, errors.As(begin(), &busy))
	assert.Assert(t, busy.RetryAfter >= 2*time.Second && busy.RetryAfter <= 3*time.Second, busy.RetryAfter)
	assert.Assert(t, errors.As(begin(), &busy))
	assert.Equal(t, calls, 1)
	assert.Equal(t, float64(c.limiter.Limit()), maxPerSecond/2)

	now, status = now.Add(3*time.Second), http.StatusOK
	assert.NilError(t, begin())
	assert.Assert(t, errors.As(begin(), &busy), "the next transfer must wait for the node's own rate")
	now, status = now.Add(time.Second), http.StatusNotFound
	assert.ErrorIs(t, begin(), ErrMissing)
	now = now.Add(time.Second)
	s.Close()
	assert.ErrorIs(t, begin(), ErrUnavailable)
}
