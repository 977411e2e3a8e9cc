package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/gob"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/rpc"
	"os"
	"reflect"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// dialTimeout bounds a connect; peers are a few milliseconds away.
	dialTimeout = 2 * time.Second
	// DefaultCallTimeout bounds a call whose context has no deadline.
	DefaultCallTimeout = 10 * time.Second
	// maxRedialDelay is the longest delay between two connects to a peer that does not answer; jitter adds up to half of
	// it. It stays below the time within which a suspected node must answer again to count as live.
	maxRedialDelay = time.Second
	// probeTimeout is how long a connection may carry no answer before it is probed, and how long the probe may take.
	// Two heartbeats fit into it, so that a dead connection is replaced before its node counts as lost.
	probeTimeout = time.Second
	// probeMethod is the method that a probe calls. No receiver has it, so a live peer answers with an error.
	probeMethod = "Peer.Probe"
	// idleTimeout is how long a connection may be unused before it is closed, so that pairs of nodes that no longer call
	// each other hold none.
	idleTimeout = 5 * time.Minute
)

// callCounts counts calls to other nodes by result: ok, unreachable, timeout or error. It also counts the connections
// that were closed because a probe got no answer, as silent.
var callCounts = expvar.NewMap("peer_calls")

// ClientOptions configures a Client.
type ClientOptions struct {
	// Self is this node's name; calls to it run on Server, in process.
	Self   string
	Server *Server
	Secret string
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// LocalIP, unless unspecified, is the source address of connections. On a host with several addresses, traffic in
	// both directions then uses the one that other nodes know.
	LocalIP net.IP
	// Resolve returns the peer address (IP:port) of a node, and false when the node is not known.
	Resolve func(node string) (address string, ok bool)
	// Observe, when set, is called with whether a node answered a call or its connection failed. It is not called when a
	// call ended by its own deadline, since deadlines can be shorter than a connect.
	Observe func(node string, answered bool)
}

// Client calls other nodes over one persistent connection each.
type Client struct {
	options ClientOptions

	mu    sync.Mutex
	links map[string]*link
}

var _ Caller = (*Client)(nil)

// NewClient returns a client; it connects to a node at the first call to it.
func NewClient(o ClientOptions) *Client { return &Client{options: o, links: map[string]*link{}} }

// Call implements Caller.
func (c *Client) Call(ctx context.Context, node, method string, args, reply any) error {
	if node == c.options.Self && c.options.Server != nil {
		return c.options.Server.CallLocal(ctx, method, args, reply)
	}
	address, ok := c.options.Resolve(node)
	if !ok {
		return fmt.Errorf("%w %q", ErrUnknownNode, node)
	}
	err := c.CallAddress(ctx, address, method, args, reply)
	if c.options.Observe != nil {
		switch {
		case errors.Is(err, ErrConnectionLost), errors.Is(err, ErrUnreachable) && ctx.Err() == nil:
			c.options.Observe(node, false)
		case !errors.Is(err, ErrTimeout) && !errors.Is(err, ErrUnreachable):
			c.options.Observe(node, true)
		}
	}
	return err
}

// CallAddress implements Caller. The answer is decoded into a copy first, since an answer that arrives after the
// call has ended must not write to reply.
func (c *Client) CallAddress(ctx context.Context, address, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultCallTimeout)
		defer cancel()
	}
	err := c.call(ctx, address, method, args, reply)
	switch {
	case err == nil:
		callCounts.Add("ok", 1)
	case errors.Is(err, ErrUnreachable):
		callCounts.Add("unreachable", 1)
	case errors.Is(err, ErrTimeout):
		callCounts.Add("timeout", 1)
	default:
		callCounts.Add("error", 1)
	}
	return err
}

// call makes one call over the connection to address and returns an error of this package's kinds or the receiver's.
func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	l := c.link(address)
	conn, err := l.connection(ctx)
	if err != nil {
		return err
	}
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.probeIfUnresponsive(conn)
		}
		return fmt.Errorf("%w: %w: %s at %s", ErrTimeout, ctx.Err(), method, address)
	}
	var remote rpc.ServerError
	switch {
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(received.Elem())
		return nil
	case errors.As(call.Error, &remote):
		return decodeError(string(remote))
	case errors.Is(call.Error, rpc.ErrShutdown) && !l.isClosed():
		// The connection ended before this request was written. After a local close, net/rpc gives the same
		// error to calls in progress.
		return fmt.Errorf("%w: %v", ErrUnreachable, call.Error)
	case errors.Is(call.Error, ErrTooLarge):
		return call.Error
	}
	return fmt.Errorf("%w: %w: %v", ErrTimeout, ErrConnectionLost, call.Error)
}

// CallLocal runs a method of this process. When the caller's types are those of the method, values are not copied
// through gob: receivers must not keep or change what their arguments refer to, nor return what they change later. The
// latter holds for remote calls too, whose replies are encoded after the method has returned.
func (s *Server) CallLocal(ctx context.Context, name string, args, reply any) error {
	m := s.dispatch.find(name)
	if m == nil {
		return fmt.Errorf("%w %q", ErrUnknownMethod, name)
	}
	in, err := m.localArgs(args)
	if err != nil {
		return err
	}
	out := m.newReply()
	done := make(chan error, 1)
	go func() { done <- m.call(in, out) }()
	select {
	case err := <-done:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return fmt.Errorf("%w: %w: %s in process", ErrTimeout, ctx.Err(), name)
	}
	target := reflect.ValueOf(reply).Elem()
	if target.Type() != m.replyType {
		copied := reflect.New(target.Type())
		if err := copyValue(out.Interface(), copied.Interface()); err != nil {
			return err
		}
		out = copied
	}
	target.Set(out.Elem())
	return nil
}

// localArgs returns a copy of the caller's arguments in the method's argument type.
func (m *method) localArgs(args any) (reflect.Value, error) {
	in, pointer := m.newArgs()
	from, to := reflect.Indirect(reflect.ValueOf(args)), reflect.ValueOf(pointer).Elem()
	if from.IsValid() && from.Type() == to.Type() {
		to.Set(from)
		return in, nil
	}
	return in, copyValue(args, pointer)
}

// copyValue copies a value between two types that have the same gob encoding.
func copyValue(from, to any) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(gob.NewDecoder(&b).Decode(to))
}

// link returns the link to an address, and closes the links to other addresses that were idle for idleTimeout.
func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for a, l := range c.links {
		if a != address && l.idle(now) {
			l.close()
			delete(c.links, a)
		}
	}
	l, ok := c.links[address]
	if !ok {
		l = &link{address: address, options: &c.options, redialDelay: backoff.NewExponentialBackOff()}
		l.redialDelay.InitialInterval, l.redialDelay.MaxInterval = 50*time.Millisecond, maxRedialDelay
		c.links[address] = l
	}
	l.lastUsed.Store(now.UnixNano())
	return l
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.close()
	}
	c.links = map[string]*link{}
}

// LoadTLS returns a configuration for mutual TLS in which both sides present a certificate signed by the authority.
func LoadTLS(certFile, keyFile, authorityFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Error.New("no certificate in %s", authorityFile)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}, nil
}
