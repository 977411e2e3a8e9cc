package uplink

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/decision/reach"
)

func init() {
	peer.RegisterError("uplink.unknown_upstream", ErrUnknownUpstream)
	peer.RegisterError("uplink.cut_off", ErrCutOff)
	peer.RegisterError("uplink.busy", ErrBusy)
	peer.RegisterError("uplink.refused", ErrRefused)
	peer.RegisterError("uplink.unreachable", ErrUnreachable)
}

// connectRelayed connects to an upstream through another node. It returns ErrRefused or ErrUnreachable if a node that reaches
// other upstreams could not connect to this one, and ErrNoHelper if no node could be asked.
func (l *Links) connectRelayed(ctx context.Context, address string) (net.Conn, error) {
	if l.options.Relay == nil {
		return nil, ErrNoHelper
	}
	begun, asked := time.Now(), 0
	for _, node := range l.options.Helpers(address) {
		if asked == maxHelpers || ctx.Err() != nil {
			break
		}
		if l.avoided(node, begun) {
			continue
		}
		asked++
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		conn, err := l.options.Relay(callCtx, node, address)
		cancel()
		switch {
		case err == nil:
			l.options.Metrics.observeRelay("connected", time.Since(begun))
			l.options.Log.Routine("connected through another node", "upstream_address", address, "member", node, "asked", asked, "ms", time.Since(begun).Milliseconds())
			return conn, nil
		case errors.Is(err, ErrRefused), errors.Is(err, ErrUnreachable):
			l.options.Metrics.observeRelay("upstream_unreachable", time.Since(begun))
			return nil, err
		}
		l.options.Log.Routine("other node could not connect to upstream", "upstream_address", address, "member", node, "error", err)
		if ctx.Err() == nil && !errors.Is(err, ErrUnknownUpstream) {
			l.avoidNode(node, time.Now())
		}
	}
	l.options.Metrics.observeRelay("no_helper", time.Since(begun))
	return nil, ErrNoHelper
}

// avoided reports whether a node could not help lately.
func (l *Links) avoided(node string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.avoid[node])
}

func (l *Links) avoidNode(node string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, until := range l.avoid {
		if now.After(until) {
			delete(l.avoid, n)
		}
	}
	l.avoid[node] = now.Add(avoidTime)
}

// Accept connects to an upstream for another node. The connection counts as relayed until it is closed.
func (l *Links) Accept(ctx context.Context, address string) (net.Conn, error) {
	conn, err := l.accept(ctx, address)
	if err != nil {
		l.options.Metrics.countAccepted("refused")
		l.options.Log.Routine("connection for another node refused", "upstream_address", address, "error", err, "relayed", l.relayedForOthers.Load())
		return nil, err
	}
	l.options.Metrics.countAccepted("connected")
	return conn, nil
}

func (l *Links) accept(ctx context.Context, address string) (net.Conn, error) {
	l.mu.Lock()
	known := l.state.Known(address)
	service := l.state.Service(address)
	l.mu.Unlock()
	if !known {
		return nil, ErrUnknownUpstream
	}
	if l.path(address) == reach.Relayed {
		return nil, ErrCutOff
	}
	if l.relayedForOthers.Add(1) > maxRelayed {
		l.relayedForOthers.Add(-1)
		return nil, ErrBusy
	}
	conn, err := l.connect(ctx, "tcp", address)
	if err == nil {
		return &acceptedConn{Conn: conn, links: l}, nil
	}
	l.relayedForOthers.Add(-1)
	l.mu.Lock()
	suspected := l.state.Suspected(service, time.Now())
	l.mu.Unlock()
	switch {
	case suspected:
		return nil, ErrCutOff
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, ErrRefused
	}
	return nil, errors.Join(ErrUnreachable, err)
}

// acceptedConn is a connection that this node relays for another one.
type acceptedConn struct {
	net.Conn
	links  *Links
	closed bool
}

// Close ends the connection. It is called once.
func (c *acceptedConn) Close() error {
	if !c.closed {
		c.closed = true
		c.links.relayedForOthers.Add(-1)
	}
	return c.Conn.Close()
}

// RelayedForOthers returns the number of connections that this node relays.
func (l *Links) RelayedForOthers() int64 { return l.relayedForOthers.Load() }
