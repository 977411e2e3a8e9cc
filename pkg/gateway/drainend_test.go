package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/controller/drain"
	decision "trefoilplank.example/pkg/decision/drain"
)

// stoppingNode is a gateway whose drain a test ends.
type stoppingNode struct {
	*fixture
	servers *drain.Servers
	address string
	served  chan error
}

// startStoppingNode serves a fixture on a port of its own.
func startStoppingNode(f *fixture) *stoppingNode {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	n := &stoppingNode{fixture: f, servers: &drain.Servers{Gate: f.Gate}, address: l.Addr().String(), served: make(chan error, 1)}
	server := NewServer(f.Gateway)
	go func() { n.served <- n.servers.Serve(server, l, server.Serve) }()
	n.url = "http://" + n.address
	return n
}

// stop ends the node as a drain of a limited time does, and returns how many requests that ended.
func (n *stoppingNode) stop(limit time.Duration) int64 {
	plan := decision.NewPlan(time.Now(), limit, time.Now())
	n.DrainPlan = func() decision.Plan { return plan }
	n.board.Draining.Set(true)
	assert.NilError(n.t, n.servers.Refuse())
	ended := n.servers.Stop(plan.End, nil)
	assert.NilError(n.t, <-n.served)
	return ended
}

// begin sends the first part of a request on a new connection; answer reads the answer.
func (n *stoppingNode) begin(text string) (conn net.Conn, answer func() (reply, api.ErrorDetail)) {
	conn, err := net.Dial("tcp", n.address)
	assert.NilError(n.t, err)
	n.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(n.t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, text)
	assert.NilError(n.t, err)
	return conn, func() (reply, api.ErrorDetail) {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return reply{err: err}, api.ErrorDetail{}
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if resp.Close {
			resp.Header.Set("Connection", "close")
		}
		var e api.ErrorBody
		_ = json.Unmarshal(body, &e) // Only errors have that form.
		return reply{resp.StatusCode, resp.Header, string(body), resp.Header.Get(api.HeaderOutcome), err}, e.Error
	}
}

// requestHead returns the head of a request with the test key.
func requestHead(method, path string, length int, header ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", method, path, testKey, length)
	for i := 0; i+1 < len(header); i += 2 {
		head += header[i] + ": " + header[i+1] + "\r\n"
	}
	return head + "\r\n"
}

// Guards against a connection that stays open behind the refusal of a node that stops: the next request on it would be cut.
func TestRefusalAtTheEndClosesItsConnection(t *testing.T) {
	f := newFixture(t, nil, newUpstream(t, "e1", api.UpstreamEngine))
	n := startStoppingNode(f)
	n.board.Draining.Set(true)
	n.Gate.Close()
	body := chatBody("late", false)
	_, answer := n.begin(requestHead("POST", "/v1/chat/completions", len(body)) + body)
	r, detail := answer()
	assert.NilError(t, r.err)
	assert.Equal(t, fmt.Sprint(r.status, " ", detail.Code, " ", r.outcome, " ", detail.RetryAfterSeconds), "503 not_ready not-run 1")
	assert.Equal(t, r.header.Get("Connection"), "close")
}
