package uplink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"trefoilplank.example/pkg/adapter/answers"
	"trefoilplank.example/pkg/adapter/dial"
	"trefoilplank.example/pkg/decision/reach"
)

// Transport sends requests to upstreams over this node's connections or through another node, whichever works. It is for
// requests whose bodies can be read although they were closed without having been read.
type Transport struct {
	links           *Links
	direct, relayed *http.Transport
}

// Transport returns a transport with the settings of t, whose DialContext it sets.
func (l *Links) Transport(t *http.Transport) *Transport {
	relayed := t.Clone()
	t.DialContext = l.connect
	relayed.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := l.connectRelayed(ctx, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return conn, nil
	}
	// A relayed connection ends with its request, so that none is left in use when the node's own connections are back, and a
	// node that drains relays nothing but requests in progress.
	relayed.DisableKeepAlives = true
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transports = append(l.transports, t)
	return &Transport{l, t, relayed}
}

// HTTPClient returns an HTTP client with the defaults of net/http whose connections links make.
func (l *Links) HTTPClient() *http.Client {
	return &http.Client{Transport: l.Transport(dial.NewHTTPTransport())}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	address := r.URL.Host
	if t.links.path(address) == reach.Relayed {
		return t.roundTripRelayed(r)
	}
	resp, err := answers.RoundTrip(t.direct, r)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && r.Context().Err() == nil && t.links.reachedAfterFailure(r.Context(), address, op) {
		return t.roundTripRelayed(r)
	}
	return resp, err
}

// roundTripRelayed sends a request over a connection through another node.
func (t *Transport) roundTripRelayed(r *http.Request) (*http.Response, error) {
	var relay string
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*relayedConn); ok {
			relay = conn.node
		}
		if relayed, ok := r.Context().Value(relayedKey{}).(func()); ok {
			relayed()
		}
	}}
	resp, err := answers.RoundTrip(t.relayed, r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		if relay != "" {
			err = fmt.Errorf("through %s: %w", relay, err)
		}
		return nil, err
	}
	resp.Body = &relayedBody{resp.Body, relay}
	return resp, nil
}

// relayedBody is the body of an answer that came through another node.
type relayedBody struct {
	io.ReadCloser
	relay string
}

// relayedKey is the key of the function that OnRelayed sets.
type relayedKey struct{}

// OnRelayed returns a context for a request of a Transport that calls relayed if the request gets a connection through another node,
// before anything is sent on it.
func OnRelayed(ctx context.Context, relayed func()) context.Context {
	return context.WithValue(ctx, relayedKey{}, relayed)
}

// RelayOf returns the node through which an answer of a Transport came, or "" if it came directly.
func RelayOf(resp *http.Response) string {
	if body, ok := resp.Body.(*relayedBody); ok {
		return body.relay
	}
	return ""
}

// reachedAfterFailure reports whether an upstream to which this node has just failed to connect is reached through another
// node. Unless the node itself is suspected, the upstream probably is at fault; the others are then asked in the background.
// While upstreams are heard, the answer of another node is awaited for helperDelay only.
func (l *Links) reachedAfterFailure(ctx context.Context, address string, ownErr error) bool {
	now := time.Now()
	l.mu.Lock()
	service := l.state.Service(address)
	suspected, heard := l.state.Suspected(service, now), now.Sub(l.state.LastHeard(service)) < reach.SilenceLimit
	ask := !l.state.Relayed(address) && l.state.Failing(address, now)
	l.mu.Unlock()
	if l.options.Relay == nil || !ask {
		return l.Relayed(address)
	}
	asked := l.askOthersOnce(address, ownErr)
	if !suspected {
		return false
	}
	patience := time.NewTimer(relayTimeout)
	defer patience.Stop()
	if heard {
		patience.Reset(helperDelay)
	}
	select {
	case <-asked:
	case <-patience.C:
	case <-ctx.Done():
	}
	return l.Relayed(address)
}

// askOthersOnce asks other nodes in the background to connect to an upstream to which this node failed to connect, and records it if
// only they do. The channel is closed at the end. Calls meanwhile, and within diagnosisLifetime, share the result.
func (l *Links) askOthersOnce(address string, ownErr error) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if asked := l.asked[address]; asked != nil {
		return asked
	}
	asked := make(chan struct{})
	l.asked[address] = asked
	go func() {
		if l.askOthers(address) == nil && !l.acceptsNow(address, ownErr) {
			l.reachedByOthers(address)
		}
		close(asked)
		time.AfterFunc(diagnosisLifetime, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.asked, address)
		})
	}()
	return asked
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() {
	t.direct.CloseIdleConnections()
	t.relayed.CloseIdleConnections()
}

// Close closes the idle connections of a transport that is no longer used.
func (t *Transport) Close() {
	t.links.mu.Lock()
	for n, known := range t.links.transports {
		if known == t.direct {
			t.links.transports = append(t.links.transports[:n], t.links.transports[n+1:]...)
			break
		}
	}
	t.links.mu.Unlock()
	t.CloseIdleConnections()
}
