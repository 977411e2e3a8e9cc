package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// link holds the connection to one address and redials it with backoff. Its connection is made by the first call.
type link struct {
	address string
	options *ClientOptions
	// lastUsed is the time of the last call in Unix nanoseconds.
	lastUsed atomic.Int64

	mu    sync.Mutex
	conn  *rpc.Client
	codec *watchedCodec
	// probing is set while a call of probeMethod checks whether the connection still carries answers.
	probing bool
	// dialing is closed when the connect in progress ends; nil when there is none.
	dialing chan struct{}
	// redialDelay computes the delay between two connects.
	redialDelay *backoff.ExponentialBackOff
	// nextDial is the earliest time of the next connect, and dialErr the error of the last one.
	nextDial time.Time
	dialErr  error
	closed   bool
}

// connection returns the connection and makes one when there is none. During the delay after a failed connect it fails
// at once, so that callers can try another node.
func (l *link) connection(ctx context.Context) (*rpc.Client, error) {
	for {
		l.mu.Lock()
		if l.conn != nil {
			defer l.mu.Unlock()
			return l.conn, nil
		}
		if l.closed || time.Now().Before(l.nextDial) {
			defer l.mu.Unlock()
			return nil, fmt.Errorf("%w: %s: %v", ErrUnreachable, l.address, l.dialErr)
		}
		if l.dialing == nil {
			l.dialing = make(chan struct{})
			go l.dial()
		}
		dialing := l.dialing
		l.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, l.address, ctx.Err())
		}
	}
}

// dial makes one connect. It does not use a caller's context, since several callers may wait for the same connection.
func (l *link) dial() {
	conn, err := l.connect()
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err != nil {
		l.dialErr = err
		l.nextDial = time.Now().Add(l.redialDelay.NextBackOff())
		return
	}
	if l.closed {
		conn.Close()
		return
	}
	l.redialDelay.Reset()
	codec := &watchedCodec{clientCodec: clientCodec{newStream(countedConn{conn})}, ended: make(chan struct{})}
	codec.lastAnswer.Store(time.Now().UnixNano())
	client := rpc.NewClientWithCodec(codec)
	l.conn, l.codec = client, codec
	go func() {
		<-codec.ended
		l.drop(client)
	}()
}

// connect opens a connection for calls.
func (l *link) connect() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return l.options.connect(ctx, l.address, callProtocol, &net.Dialer{})
}

// connect opens a connection and makes the TLS and peer handshakes. ctx bounds only the time until the connection is open.
func (o *ClientOptions) connect(ctx context.Context, address string, p protocol, dialer *net.Dialer) (net.Conn, error) {
	dialer.LocalAddr = localAddress(o.LocalIP, address)
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if o.TLS != nil {
		host, _, _ := net.SplitHostPort(address)
		config := o.TLS.Clone()
		config.ServerName = host
		conn = tls.Client(conn, config)
	}
	connectCount.Add(1)
	if err := clientHandshake(conn, []byte(o.Secret), p); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// localAddress returns the source address for connections to peer. It is nil, which leaves the choice to the system,
// when ip is unspecified or of another address family than the peer.
func localAddress(ip net.IP, peer string) net.Addr {
	host, _, _ := net.SplitHostPort(peer)
	remote := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() || remote == nil || (ip.To4() == nil) != (remote.To4() == nil) {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}

// drop removes a connection that ended, so that the next call dials again.
func (l *link) drop(client *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == client {
		l.conn = nil
	}
}

// probeIfUnresponsive probes a connection on which a call timed out, unless another answer arrived on it within
// probeTimeout, and closes it when the probe gets no answer. When the network drops packets, the operating system keeps
// a connection open for minutes and retransmits at growing intervals, so without the probe a peer would stay
// unreachable long after the network has recovered.
func (l *link) probeIfUnresponsive(client *rpc.Client) {
	l.mu.Lock()
	codec := l.codec
	if l.conn != client || l.probing || time.Since(time.Unix(0, codec.lastAnswer.Load())) < probeTimeout {
		l.mu.Unlock()
		return
	}
	l.probing = true
	l.mu.Unlock()
	go func() {
		// A live peer answers that it has no such method.
		call := client.Go(probeMethod, emptyBody{}, &emptyBody{}, make(chan *rpc.Call, 1))
		timer := time.NewTimer(probeTimeout)
		defer timer.Stop()
		select {
		case <-call.Done:
		case <-timer.C:
			callCounts.Add("silent", 1)
			codec.conn.Close()
			l.drop(client)
		}
		l.mu.Lock()
		l.probing = false
		l.mu.Unlock()
	}()
}

// idle reports whether the link was unused for idleTimeout.
func (l *link) idle(now time.Time) bool {
	return now.Sub(time.Unix(0, l.lastUsed.Load())) > idleTimeout
}

// close ends the connection; later calls fail with ErrUnreachable.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// watchedCodec is a clientCodec that reports the end of its connection, since net/rpc does not, and the time of the
// last answer.
type watchedCodec struct {
	clientCodec
	once sync.Once
	// ended is closed at the first read error, after which net/rpc reads no more.
	ended chan struct{}
	// lastAnswer is the time of the last answer in Unix nanoseconds.
	lastAnswer atomic.Int64
}

func (c *watchedCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.clientCodec.ReadResponseHeader(r)
	if err == nil {
		c.lastAnswer.Store(time.Now().UnixNano())
	}
	return c.closeOnError(err)
}

func (c *watchedCodec) ReadResponseBody(body any) error {
	return c.closeOnError(c.clientCodec.ReadResponseBody(body))
}

// closeOnError closes ended at the first error, and closes the connection, which net/rpc would leave open.
func (c *watchedCodec) closeOnError(err error) error {
	if err != nil {
		c.once.Do(func() { close(c.ended) })
		c.conn.Close()
	}
	return err
}
