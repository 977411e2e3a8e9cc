package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/drain"
)

// Guards against three faults of a drain: a stream in progress is cut, GET /v1/addresses still names the draining
// node, and connections are refused before the last address answer that names the node has expired.
func TestDrain(t *testing.T) {
	e := newUpstream(t, "e1", api.UpstreamEngine)
	e.tokens, e.tokenInterval = 90, 50*time.Millisecond
	f := newFixture(t, func(o *Options) { o.AddressTTL = time.Second }, e)
	f.board.Members.Set(blackboard.Members{Self: "n1", Live: map[string]blackboard.Member{
		"n1": {Name: "n1", Address: "10.0.0.1:1"}, "n2": {Name: "n2", Address: "10.0.0.2:1"},
	}})
	c := drain.New(drain.Options{Board: f.board, AddressesValidUntil: f.AddressesValidUntil, AddressTTL: f.AddressTTL, Servers: &drain.Servers{Gate: f.Gate}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(f.Gateway)
	served := make(chan error, 1)
	go func() { served <- c.Serve(server, l, server.Serve) }()
	f.url = "http://" + l.Addr().String()

	assert.Equal(t, strings.Count(f.send(context.Background(), "GET", "/v1/addresses", "").body, "10.0.0."), 2)
	streamed := make(chan reply, 1)
	go func() { streamed <- f.chatStream("long") }()
	eventually(t, "the stream has begun", func() bool { return e.runCount() == 1 })

	begun := time.Now()
	go func() { _ = c.Drain(context.Background()) }()
	eventually(t, "draining", func() bool { return f.board.Draining.Value() })
	r := f.send(context.Background(), "GET", "/v1/addresses", "")
	assert.Assert(t, strings.Contains(r.body, "10.0.0.2") && !strings.Contains(r.body, "10.0.0.1"), r.body)
	for time.Since(begun) < f.AddressTTL {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err, "refused %s after the drain began", time.Since(begun))
		conn.Close()
		time.Sleep(50 * time.Millisecond)
	}
	eventually(t, "new connections are refused", func() bool {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	assert.Equal(t, len(streamed), 0)
	r = <-streamed
	assert.Assert(t, r.err == nil && strings.HasSuffix(r.body, "[DONE]\n\n"), "%v", r.err)
	assert.NilError(t, <-served)
}

// Guards against callers that occupy a connection with an endless header: one above MaxHeaderBytes is refused with 431,
// a request ID and an outcome.
func TestHeaderLimit(t *testing.T) {
	f := newFixture(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(f.Gateway)
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, _ = conn.Write([]byte("GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 2*MaxHeaderBytes) + "\r\n\r\n"))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, resp.Header.Get(api.HeaderOutcome), "not-run")
	assert.Assert(t, resp.Header.Get(api.HeaderRequestID) != "")
}
