package forward

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a stream that is passed on as complete because the upstream at which it continues ends before its first
// event, in an answer that ends with its connection.
func TestResumedAnswerThatEndsAtOnceIsNotComplete(t *testing.T) {
	endsAtOnce := func(f *fixture, w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		runs := len(f.received)
		f.mu.Unlock()
		if runs != 2 { // The first run breaks off, the third ends well.
			breaksOnce(f, w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: u\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get(testHeaders.RequestID))
	}
	for range 5 {
		f := newFixture(t, endsAtOnce, endsAtOnce, endsAtOnce)
		resp, body, err := f.call(t, "/stream/a", "prompt")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, allEvents())
	}
}
