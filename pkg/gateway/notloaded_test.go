package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
)

// Guards against passing on to the caller the 404 that an engine answers while it loads a model or switches an adapter:
// another engine must run the request, and without one the caller must get 503 with outcome not-run.
func TestEngineWithoutTheModel(t *testing.T) {
	refuse := func(_ *fakeUpstream, w http.ResponseWriter, _ *http.Request, _ []byte) bool {
		http.NotFound(w, nil)
		return true
	}
	for _, stream := range []bool{false, true} {
		e1, e2 := newUpstream(t, "e1", api.UpstreamEngine), newUpstream(t, "e2", api.UpstreamEngine)
		f := newFixture(t, nil, e1, e2)
		send := f.chat
		if stream {
			send = f.chatStream
		}
		e1.fault = refuse
		for range 10 {
			assert.Equal(t, send("x").status, http.StatusOK)
		}
		e2.fault = refuse
		answer := send("x")
		assert.Equal(t, answer.status, http.StatusServiceUnavailable, answer.body)
		assert.Equal(t, answer.outcome, "not-run")
		assert.Assert(t, answer.header.Get("Retry-After") != "")
	}
}
