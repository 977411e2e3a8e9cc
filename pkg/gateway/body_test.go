package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
)

// rawCall sends text on a new connection and returns the answer.
func rawCall(t *testing.T, f *fixture, text string) *http.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = conn.Write([]byte(text))
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = answer.Body.Close() })
	return answer
}

// Guards against a call without an answer because the server waits for the rest of a body that the caller never sends.
func TestStalledBodyIsAnswered(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.BodyTimeout = 50 * time.Millisecond })
	answer := rawCall(t, f, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
		"\r\nContent-Length: 500\r\n\r\n{\"model\":")
	assert.Equal(t, answer.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, answer.Header.Get(api.HeaderOutcome), "not-run")
}

// Guards against a refused call, for example one without a key, that keeps its connection open by not sending the body,
// and against a refusal that closes the connection although the body was sent.
func TestStalledBodyOfRefusedCall(t *testing.T) {
	f := newFixture(t, nil)
	for _, path := range []string{"/v1/completions", "/v1/nothing"} {
		answer := rawCall(t, f, "POST "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{\"model\":")
		assert.Equal(t, answer.StatusCode, http.StatusUnauthorized)
		assert.Equal(t, answer.Header.Get(api.HeaderOutcome), "not-run")
	}
	forbidden := rawCall(t, f, "POST /v1/services/other/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 500\r\n\r\n{")
	assert.Equal(t, forbidden.StatusCode, http.StatusForbidden)
	answer := rawCall(t, f, "POST /v1/nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
	assert.Assert(t, !answer.Close)
}

// Guards against silently using one value of a header that is given twice: the call is refused with 400.
func TestHeadersGivenTwice(t *testing.T) {
	e := newUpstream(t, "e1", api.UpstreamEngine)
	f := newFixture(t, nil, e)
	for _, name := range []string{api.HeaderTimeoutMs, api.HeaderIdempotencyKey, api.HeaderNonIdempotent} {
		answer := rawCall(t, f, fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%[2]s: 1\r\n%[2]s: 2\r\nContent-Length: 26\r\n\r\n%s",
			testKey, name, `{"model":"m","prompt":"x"}`))
		assert.Equal(t, answer.StatusCode, http.StatusBadRequest, name)
		assert.Equal(t, answer.Header.Get(api.HeaderOutcome), "not-run")
	}
	assert.Equal(t, e.runCount(), 0)
}

// Guards against a connection that breaks while a client still sends a body that is too large: the client would never
// see the 413 answer.
func TestLargeBodyIsReadBeforeTheRefusal(t *testing.T) {
	const size = 4 << 20
	f := newFixture(t, func(o *Options) { o.MaxBodyBytes = 1000 })
	answer := rawCall(t, f, fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		testKey, size, strings.Repeat("x", size)))
	assert.Equal(t, answer.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, answer.Header.Get(api.HeaderOutcome), "not-run")
}

// Guards against an upload that keeps its connection open after the caller stops sending, and against a slow upload
// that is cut off after BodyTimeout although the caller keeps sending.
func TestUploadMayBeSlowButNotSilent(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.BodyTimeout = 200 * time.Millisecond })
	f.Mount("POST /v1/files", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			WriteError(w, r, malformed("%v", err))
			return
		}
		fmt.Fprint(w, len(body))
	}))
	header := "POST /v1/files HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 8\r\n\r\n"
	assert.Equal(t, rawCall(t, f, header+"1234").StatusCode, http.StatusBadRequest)
	slow, send := io.Pipe()
	go func() {
		for range 8 {
			time.Sleep(60 * time.Millisecond)
			_, _ = send.Write([]byte("x"))
		}
		_ = send.Close()
	}()
	r, err := http.NewRequest("POST", f.url+"/v1/files", slow)
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	answer, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusOK)
}
