package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// Guards the public API for plain and streamed calls: unknown fields and escaped paths reach the upstream unchanged,
// each answer carries the request ID, a complete stream ends with [DONE], and explain records the end of a request.
func TestForwardsCalls(t *testing.T) {
	f := newFixture(t, nil, newUpstream(t, "e1", api.UpstreamEngine), newUpstream(t, "s1", api.UpstreamService))
	r := f.chat("hello")
	assert.Equal(t, r.status, 200, r.body)
	assert.Assert(t, cmp.Contains(r.body, `"x_extra":{"keep":1.50}`))
	assert.Assert(t, strings.HasPrefix(r.header.Get(api.HeaderRequestID), "n1-"))
	r = f.chatStream("hello")
	assert.Equal(t, r.header.Get("Content-Type"), "text/event-stream")
	assert.Equal(t, strings.Count(r.body, "data: {"), 3, r.body)
	assert.Assert(t, strings.HasSuffix(r.body, "data: [DONE]\n\n"))
	r = f.send(context.Background(), "GET", "/v1/services/status/a%2Fb//c?q=1", "")
	assert.Equal(t, r.status, 200, r.body)
	assert.Assert(t, cmp.Contains(r.body, `"/a%2Fb//c?q=1"`))
	assert.Equal(t, f.slots.inUse(), 0)
	entries := f.Gateway.Explain.Find(explain.Query{Request: r.header.Get(api.HeaderRequestID)})
	assert.Equal(t, entries[len(entries)-1].Decision, "complete", "the last explain entry of a request must say how it ended")
}

// Guards the status, error code, outcome and request ID of requests that are refused before admission, none of which
// may reach an upstream.
func TestRefusals(t *testing.T) {
	e := newUpstream(t, "e1", api.UpstreamEngine)
	f := newFixture(t, func(o *Options) { o.MaxBodyBytes = 500 }, e)
	for _, c := range []struct {
		method, path, body string
		header             []string
		status             int
		code               api.Code
	}{
		{"GET", "/v1/models", "", []string{"Authorization", "Bearer wrong"}, 401, api.CodeUnauthorized},
		{"GET", "/v1/nothing", "", nil, 404, api.CodeNotFound},
		{"GET", "/v1//models", "", nil, 404, api.CodeNotFound},
		{"POST", "/v1/completions", `{"model":"secret","prompt":"x"}`, nil, 403, api.CodeForbidden},
		{"POST", "/v1/completions", `{"model":"m","model":"secret","prompt":"x"}`, nil, 400, api.CodeMalformed},
		{"POST", "/v1/completions", `{"model":"m"}`, nil, 400, api.CodeMalformed},
		{"POST", "/v1/completions", `{"model":"m","prompt":"x"`, nil, 400, api.CodeMalformed},
		{"POST", "/v1/completions", `{"model":"m","prompt":"x"}`, []string{"Trefoil-Timeout-Ms", "-1"}, 400, api.CodeMalformed},
		{"POST", "/v1/completions", `{"model":"m","prompt":"` + strings.Repeat("x", 600) + `"}`, nil, 413, api.CodeTooLarge},
		{"GET", "/v1/services/other/x", "", nil, 403, api.CodeForbidden},
	} {
		r := f.send(context.Background(), c.method, c.path, c.body, c.header...)
		assert.Equal(t, r.status, c.status, "%s %s: %s", c.path, c.body, r.body)
		var body api.ErrorBody
		assert.NilError(t, json.Unmarshal([]byte(r.body), &body))
		assert.Equal(t, body.Error.Code, c.code)
		assert.Equal(t, r.outcome, "not-run")
		assert.Equal(t, body.Error.RequestID, r.header.Get(api.HeaderRequestID))
	}
	assert.Equal(t, e.runCount(), 0)
}

// Guards that mounted handlers of other packages see the identity, the request ID and the path values.
func TestMount(t *testing.T) {
	f := newFixture(t, nil)
	f.Mount("GET /v1/batches/{id}", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		identity, _ := serving.IdentityFrom(r.Context())
		fmt.Fprint(w, identity.Institution, " ", serving.RequestIDFrom(r.Context()), " ", r.PathValue("id"))
	}))
	r := f.send(context.Background(), "GET", "/v1/batches/b1", "")
	assert.Equal(t, r.body, "board "+r.header.Get(api.HeaderRequestID)+" b1")
}
