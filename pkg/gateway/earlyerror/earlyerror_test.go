package earlyerror

import (
	"bufio"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
)

// serverErrorText is what net/http writes for a malformed request. A handler may send the same text as data, which must
// not be replaced.
const serverErrorText = "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n400 Bad Request"

// startServer serves a handler that answers every request with serverErrorText, and returns its address.
func startServer(t *testing.T, secure bool) string {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, serverErrorText)
	}))
	s.Config.MaxHeaderBytes = 1 << 10
	if secure {
		other := httptest.NewTLSServer(nil)
		t.Cleanup(other.Close)
		s.Listener = tls.NewListener(s.Listener, other.TLS)
	}
	s.Listener = WrapListener(s.Config, s.Listener, "n1")
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// send writes text on a new connection and returns a reader of the answers.
func send(t *testing.T, address, text string) *bufio.Reader {
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	return bufio.NewReader(c)
}

// Guards against an answer without request ID, outcome and JSON error body to a request that net/http refuses itself,
// also as the second request on a connection.
func TestRequestsThatReachNoHandler(t *testing.T) {
	plain := startServer(t, false)
	for name, x := range map[string]struct {
		text   string
		status int
		code   api.Code
	}{
		"escape":    {"GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", 400, api.CodeMalformed},
		"no host":   {"GET / HTTP/1.1\r\n\r\n", 400, api.CodeMalformed},
		"version":   {"GET / HTTP/3.9\r\nHost: a\r\n\r\n", 505, api.CodeMalformed},
		"encoding":  {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 501, api.CodeMalformed},
		"expect":    {"POST / HTTP/1.1\r\nHost: a\r\nExpect: nonsense\r\nContent-Length: 1\r\n\r\n", 417, api.CodeMalformed},
		"header":    {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", 431, api.CodeTooLarge},
		"pipelined": {"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", 400, api.CodeMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			answers := send(t, plain, x.text)
			if name == "pipelined" {
				first, err := http.ReadResponse(answers, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(first.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), serverErrorText)
			}
			checkError(t, answers, x.status, x.code)
		})
	}
}

// Guards against a TLS listener that closes the connection of a plain HTTP request without an answer.
func TestPlainRequestToTLS(t *testing.T) {
	checkError(t, send(t, startServer(t, true), "GET / HTTP/1.1\r\nHost: a\r\n\r\n"), 400, api.CodeMalformed)
}

// checkError checks status, error code, request ID and outcome of the next answer.
func checkError(t *testing.T, answers *bufio.Reader, status int, code api.Code) {
	answer, err := http.ReadResponse(answers, nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, status)
	var body api.ErrorBody
	assert.NilError(t, json.NewDecoder(answer.Body).Decode(&body))
	assert.Equal(t, body.Error.Code, code)
	assert.Equal(t, body.Error.Outcome, api.NotRun)
	assert.Assert(t, strings.HasPrefix(body.Error.RequestID, "n1-"))
	assert.Equal(t, answer.Header.Get(api.HeaderRequestID), body.Error.RequestID)
	assert.Equal(t, answer.Header.Get(api.HeaderOutcome), string(api.NotRun))
}
