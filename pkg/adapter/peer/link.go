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

// link holds the connection to one address and redials it with backoff.
type link struct {
	address string
	o       *ClientOptions
	// used is the time of the last call in Unix nanoseconds.
	used atomic.Int64

	mu    sync.Mutex
	conn  *rpc.Client
	codec *watchedCodec
	// probing is set while a message without effect tests whether the connection still carries answers.
	probing bool
	// dialing is closed when the connect in progress ends; nil when there is none.
	dialing chan struct{}
	wait    *backoff.ExponentialBackOff
	// notBefore is the earliest time of the next connect, and fault the last connect's error.
	notBefore time.Time
	fault     error
	closed    bool
}

// get returns the connection. While a peer is backed off it fails at once, so that callers try elsewhere.
func (l *link) get(ctx context.Context) (*rpc.Client, error) {
	for {
		l.mu.Lock()
		if l.conn != nil {
			defer l.mu.Unlock()
			return l.conn, nil
		}
		if l.closed || time.Now().Before(l.notBefore) {
			defer l.mu.Unlock()
			return nil, fmt.Errorf("%w: %s: %v", ErrUnreachable, l.address, l.fault)
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

// dial connects once. It is not bound to a caller, since others may wait for the same connection.
func (l *link) dial() {
	conn, err := l.connect()
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	if err != nil {
		l.fault = err
		l.notBefore = time.Now().Add(l.wait.NextBackOff())
		return
	}
	if l.closed {
		conn.Close()
		return
	}
	l.wait.Reset()
	codec := &watchedCodec{clientCodec: clientCodec{newStream(conn)}, ended: make(chan struct{})}
	codec.heard.Store(time.Now().UnixNano())
	client := rpc.NewClientWithCodec(codec)
	l.conn, l.codec = client, codec
	go func() {
		<-codec.ended
		l.drop(client)
	}()
}

func (l *link) connect() (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: localAddress(l.o.LocalIP, l.address)}
	conn, err := dialer.Dial("tcp", l.address)
	if err != nil {
		return nil, err
	}
	if l.o.TLS != nil {
		host, _, _ := net.SplitHostPort(l.address)
		config := l.o.TLS.Clone()
		config.ServerName = host
		conn = tls.Client(conn, config)
	}
	connects.Add(1)
	if err := clientHandshake(conn, []byte(l.o.Secret)); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// localAddress returns the address to connect from, or nil to leave the choice to the system: for an unspecified IP,
// and for one of another family than the peer's.
func localAddress(ip net.IP, peer string) net.Addr {
	host, _, _ := net.SplitHostPort(peer)
	remote := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() || remote == nil || (ip.To4() == nil) != (remote.To4() == nil) {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}

// drop forgets a connection that ended, so that the next call redials.
func (l *link) drop(client *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == client {
		l.conn = nil
	}
}

// doubt tests a connection on which a call got no answer in time. When packets vanish, the system keeps a connection
// open for minutes and resends ever more rarely, so without the test a peer stays lost long after the network heals.
func (l *link) doubt(client *rpc.Client) {
	l.mu.Lock()
	codec := l.codec
	if l.conn != client || l.probing || time.Since(time.Unix(0, codec.heard.Load())) < silenceTimeout {
		l.mu.Unlock()
		return
	}
	l.probing = true
	l.mu.Unlock()
	go func() {
		// A peer that has no such method answers that.
		call := client.Go(probeMethod, emptyBody{}, &emptyBody{}, make(chan *rpc.Call, 1))
		timer := time.NewTimer(silenceTimeout)
		defer timer.Stop()
		select {
		case <-call.Done:
		case <-timer.C:
			calls.Add("silent", 1)
			codec.conn.Close()
			l.drop(client)
		}
		l.mu.Lock()
		l.probing = false
		l.mu.Unlock()
	}()
}

func (l *link) idle(now time.Time) bool {
	return now.Sub(time.Unix(0, l.used.Load())) > idleTimeout
}

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

// watchedCodec reports the end of a connection, after which net/rpc reads no more from it.
type watchedCodec struct {
	clientCodec
	once  sync.Once
	ended chan struct{}
	// heard is the time of the last answer in Unix nanoseconds.
	heard atomic.Int64
}

func (c *watchedCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.clientCodec.ReadResponseHeader(r)
	if err == nil {
		c.heard.Store(time.Now().UnixNano())
	}
	return c.observe(err)
}

func (c *watchedCodec) ReadResponseBody(body any) error {
	return c.observe(c.clientCodec.ReadResponseBody(body))
}

// observe closes ended at the first error and ends the connection, since net/rpc would leave it open.
func (c *watchedCodec) observe(err error) error {
	if err != nil {
		c.once.Do(func() { close(c.ended) })
		c.conn.Close()
	}
	return err
}
