package uplink

import (
	"context"
	"errors"
	"net"
	"sync"
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

// relayAttempt is the result of an attempt to connect through one node.
type relayAttempt struct {
	node string
	conn net.Conn
	err  error
}

// connectRelayed connects to an upstream through another node. It asks further nodes when one fails or does not answer soon. It
// returns ErrRefused or ErrUnreachable if a node that reaches other upstreams could not connect to this one, and ErrNoHelper
// if no node could be asked.
func (l *Links) connectRelayed(ctx context.Context, address string) (net.Conn, error) {
	if l.options.Relay == nil {
		return nil, ErrNoHelper
	}
	begun := time.Now()
	nodes := l.inOrder(l.options.Helpers(address), begun)
	attempts := make(chan relayAttempt, len(nodes))
	next := time.NewTimer(0)
	defer next.Stop()
	pending := 0
	for pending > 0 || len(nodes) > 0 {
		select {
		case <-next.C:
			if len(nodes) > 0 {
				pending++
				go l.relayThrough(ctx, nodes[0], address, attempts)
				nodes = nodes[1:]
				next.Reset(nextHelperDelay)
			}
			continue
		case <-ctx.Done():
			go closeLate(attempts, pending)
			return nil, ctx.Err()
		case a := <-attempts:
			pending--
			switch {
			case a.err == nil:
				go closeLate(attempts, pending)
				l.options.Metrics.observeRelay("connected", time.Since(begun))
				l.options.Log.Routine("connected through another node", "upstream_address", address, "member", a.node, "ms", time.Since(begun).Milliseconds())
				return a.conn, nil
			case errors.Is(a.err, ErrRefused), errors.Is(a.err, ErrUnreachable):
				go closeLate(attempts, pending)
				l.options.Metrics.observeRelay("upstream_unreachable", time.Since(begun))
				return nil, a.err
			}
			l.options.Log.Routine("other node could not connect to upstream", "upstream_address", address, "member", a.node, "error", a.err)
			if ctx.Err() == nil && !errors.Is(a.err, ErrUnknownUpstream) {
				l.avoidNode(a.node, time.Now())
			}
			next.Reset(0)
		}
	}
	l.options.Metrics.observeRelay("no_helper", time.Since(begun))
	return nil, ErrNoHelper
}

// relayThrough makes one attempt to connect through a node.
func (l *Links) relayThrough(ctx context.Context, node, address string, attempts chan<- relayAttempt) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	conn, err := l.options.Relay(ctx, node, address)
	if err == nil {
		conn = &relayedConn{Conn: conn, node: node}
	}
	attempts <- relayAttempt{node, conn, err}
}

// relayedConn is a connection through another node.
type relayedConn struct {
	net.Conn
	firstWrite
	node string
}

// closeLate closes the connections of the attempts that are still pending, which nobody uses.
func closeLate(attempts <-chan relayAttempt, pending int) {
	for range pending {
		if a := <-attempts; a.err == nil {
			_ = a.conn.Close() // Nothing was sent.
		}
	}
}

// inOrder returns the nodes to ask, at most maxHelpers: those that could not help lately come last.
func (l *Links) inOrder(nodes []string, now time.Time) []string {
	var preferred, avoided []string
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range nodes {
		if now.Before(l.avoid[n]) {
			avoided = append(avoided, n)
		} else {
			preferred = append(preferred, n)
		}
	}
	ordered := append(preferred, avoided...)
	return ordered[:min(maxHelpers, len(ordered))]
}

// avoidNode makes other nodes preferred to one that could not help.
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
	if l.options.Draining != nil && l.options.Draining() {
		return nil, ErrBusy
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
	links *Links
	once  sync.Once
}

// Close ends the connection.
func (c *acceptedConn) Close() error {
	c.once.Do(func() { c.links.relayedForOthers.Add(-1) })
	return c.Conn.Close()
}

// RelayedForOthers returns the number of connections that this node relays.
func (l *Links) RelayedForOthers() int64 { return l.relayedForOthers.Load() }
