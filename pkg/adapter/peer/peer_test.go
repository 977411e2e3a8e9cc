package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
)

var errBusy = errors.New("busy")

func init() { peer.RegisterError("test.busy", errBusy) }

// Echo is a receiver for tests; Block answers once release is closed.
type Echo struct{ release chan struct{} }

// Text is the argument and the reply of the methods of Echo.
type Text struct{ Value string }

func (e *Echo) Say(in *Text, out *Text) error { out.Value = in.Value; return nil }
func (e *Echo) Refuse(in Text, _ *Text) error {
	return &api.Error{Status: 429, Code: api.CodeRateLimited, Message: in.Value, Outcome: api.NotRun, RequestID: "a-1", RetryAfter: 1500 * time.Millisecond}
}
func (e *Echo) Busy(Text, *Text) error  { return errBusy }
func (e *Echo) Down(Text, *Text) error  { return fmt.Errorf("write: %w", store.ErrUnavailable) }
func (e *Echo) Panic(Text, *Text) error { panic("fault") }
func (e *Echo) Block(in Text, out *Text) error {
	<-e.release
	out.Value = "late"
	return nil
}

// startEcho serves an Echo and returns its address.
func startEcho(t *testing.T, secret string) (*peer.Server, string) {
	t.Helper()
	s := peer.NewServer(secret, nil)
	e := &Echo{release: make(chan struct{})}
	assert.NilError(t, s.Register("Echo", e))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go s.Serve(l)
	t.Cleanup(func() { close(e.release); s.Close() })
	return s, l.Addr().String()
}

// newClient returns a client of node "self", which runs on s, that reaches only node "other", at address.
func newClient(t *testing.T, s *peer.Server, secret, address string) *peer.Client {
	c := peer.NewClient(peer.ClientOptions{Self: "self", Server: s, Secret: secret, Resolve: func(n string) (string, bool) {
		return address, n == "other"
	}})
	t.Cleanup(c.Close)
	return c
}

// TestCallKeepsErrors guards against a receiver's error losing its type or fields on the way to the caller, in remote
// calls and in process.
func TestCallKeepsErrors(t *testing.T) {
	s, address := startEcho(t, "secret")
	c := newClient(t, s, "secret", address)
	for _, node := range []string{"self", "other"} {
		var out Text
		assert.NilError(t, c.Call(t.Context(), node, "Echo.Say", &Text{"x"}, &out))
		assert.Equal(t, out.Value, "x")
		err := c.Call(t.Context(), node, "Echo.Refuse", Text{"slow down"}, &out)
		var a *api.Error
		assert.Assert(t, errors.As(err, &a), "%v", err)
		assert.DeepEqual(t, *a, api.Error{Status: 429, Code: api.CodeRateLimited, Message: "slow down", Outcome: api.NotRun, RequestID: "a-1", RetryAfter: 1500 * time.Millisecond})
		assert.ErrorIs(t, c.Call(t.Context(), node, "Echo.Busy", Text{}, &out), errBusy)
		assert.ErrorIs(t, c.Call(t.Context(), node, "Echo.Down", Text{}, &out), store.ErrUnavailable)
		assert.ErrorIs(t, c.Call(t.Context(), node, "Echo.Missing", Text{}, &out), peer.ErrUnknownMethod)
		assert.ErrorContains(t, c.Call(t.Context(), node, "Echo.Panic", Text{}, &out), "panicked")
	}
	assert.ErrorIs(t, c.Call(t.Context(), "nobody", "Echo.Say", Text{}, &Text{}), peer.ErrUnknownNode)
}

// TestLateAnswer guards against an answer that arrives after its call timed out and overwrites the caller's reply, and
// against the timeout being reported as a call that did not reach the peer.
func TestLateAnswer(t *testing.T) {
	s, address := startEcho(t, "secret")
	c := newClient(t, s, "secret", address)
	for _, node := range []string{"self", "other"} {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		out := Text{"before"}
		err := c.Call(ctx, node, "Echo.Block", Text{}, &out)
		cancel()
		assert.ErrorIs(t, err, peer.ErrTimeout)
		assert.Assert(t, !errors.Is(err, peer.ErrUnreachable))
		assert.Equal(t, out.Value, "before")
	}
}

// TestWrongSecret guards against a connection between nodes that have different secrets.
func TestWrongSecret(t *testing.T) {
	_, address := startEcho(t, "secret")
	c := newClient(t, nil, "other secret", address)
	err := c.Call(t.Context(), "other", "Echo.Say", Text{}, &Text{})
	assert.ErrorIs(t, err, peer.ErrUnreachable)
}
