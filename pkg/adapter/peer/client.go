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
	// dialTimeout bounds connect and handshake; peers are a few milliseconds away.
	dialTimeout = 2 * time.Second
	// DefaultCallTimeout bounds a call whose context has no deadline.
	DefaultCallTimeout = 10 * time.Second
	// redialMax is the longest time between two connects to a peer that does not answer, plus up to half of it.
	// It stays below the time that failure detection gives a node to be heard again.
	redialMax = time.Second
	// silenceTimeout is how long a connection gives no answer before it is tested, and how long the test takes. Two
	// heartbeats fit in, so that a dead connection is replaced before its node counts as lost.
	silenceTimeout = time.Second
	// probeMethod is the name of the test; no receiver has it.
	probeMethod = "Peer.Probe"
	// idleTimeout closes connections that no call used, so that pairs out of use hold none.
	idleTimeout = 5 * time.Minute
)

// calls counts calls by result.
var calls = expvar.NewMap("peer_calls")

// ClientOptions configures a Client.
type ClientOptions struct {
	// Self is the own node's name; calls to it run on Server in process.
	Self   string
	Server *Server
	Secret string
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// LocalIP, when it is a specific address, is what connections are made from, so that on a host with several
	// addresses traffic in both directions uses the one that other nodes know.
	LocalIP net.IP
	// Resolve returns the peer address (IP:port) of a node, and false when the node is not known.
	Resolve func(node string) (address string, ok bool)
	// Observe, when set, is told whether a node answered a call or its connection failed. A call that ended by
	// its own deadline is no evidence, since deadlines can be shorter than a connect.
	Observe func(node string, answered bool)
}

// Client calls other nodes over one persistent connection each.
type Client struct {
	o ClientOptions

	mu    sync.Mutex
	links map[string]*link
}

var _ Caller = (*Client)(nil)

// NewClient returns a client.
func NewClient(o ClientOptions) *Client { return &Client{o: o, links: map[string]*link{}} }

// Call implements Caller.
func (c *Client) Call(ctx context.Context, node, method string, args, reply any) error {
	if node == c.o.Self && c.o.Server != nil {
		return c.o.Server.CallLocal(ctx, method, args, reply)
	}
	address, ok := c.o.Resolve(node)
	if !ok {
		return fmt.Errorf("%w %q", ErrUnknownNode, node)
	}
	err := c.CallAddress(ctx, address, method, args, reply)
	if c.o.Observe != nil {
		switch {
		case errors.Is(err, ErrConnectionLost), errors.Is(err, ErrUnreachable) && ctx.Err() == nil:
			c.o.Observe(node, false)
		case !errors.Is(err, ErrTimeout) && !errors.Is(err, ErrUnreachable):
			c.o.Observe(node, true)
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
		calls.Add("ok", 1)
	case errors.Is(err, ErrUnreachable):
		calls.Add("unreachable", 1)
	case errors.Is(err, ErrTimeout):
		calls.Add("timeout", 1)
	default:
		calls.Add("error", 1)
	}
	return err
}

func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	l := c.link(address)
	conn, err := l.get(ctx)
	if err != nil {
		return err
	}
	copied := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, copied.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.doubt(conn)
		}
		return fmt.Errorf("%w: %w: %s at %s", ErrTimeout, ctx.Err(), method, address)
	}
	var remote rpc.ServerError
	switch {
	case call.Error == nil:
		reflect.ValueOf(reply).Elem().Set(copied.Elem())
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

// CallLocal runs a method of this process. Where the caller's types are the method's own, nothing is encoded:
// receivers must not keep or change what their arguments refer to, nor return what they change later. That holds
// for remote calls too, whose replies are encoded after the method has returned.
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

// localArgs returns a copy of the caller's arguments in the method's type.
func (m *method) localArgs(args any) (reflect.Value, error) {
	in, pointer := m.newArgs()
	from, to := reflect.Indirect(reflect.ValueOf(args)), reflect.ValueOf(pointer).Elem()
	if from.IsValid() && from.Type() == to.Type() {
		to.Set(from)
		return in, nil
	}
	return in, copyValue(args, pointer)
}

// copyValue converts between types that gob holds to be the same.
func copyValue(from, to any) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(gob.NewDecoder(&b).Decode(to))
}

// link returns the connection holder of an address, and drops holders that were idle for long.
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
		l = &link{address: address, o: &c.o, wait: backoff.NewExponentialBackOff()}
		l.wait.InitialInterval, l.wait.MaxInterval = 50*time.Millisecond, redialMax
		c.links[address] = l
	}
	l.used.Store(now.UnixNano())
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

// LoadTLS returns a configuration for mutual TLS in which both sides present a certificate of the authority.
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
