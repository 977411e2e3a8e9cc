// Package dial configures TCP connections that detect an unreachable peer within seconds.
package dial

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"trefoilplank.example/pkg/adapter/answers"
)

// With these values a connection to an unreachable or unresponsive peer ends within about three seconds, whether it is
// idle (keep-alive probes) or waits for an acknowledgement (TCP_USER_TIMEOUT). Keep-alive times are whole seconds. The user
// timeout counts from the last data that arrived and also ends keep-alive probes, so a peer may fall silent for at least
// userTimeout - keepAliveIdle at any moment.
const (
	userTimeout       = 3 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// MaxResponseHeaderBytes limits the head of an answer, informational ones included. A server in trouble may send one without
// end, and net/http would read 10 MB of it.
const MaxResponseHeaderBytes = 64 << 10

// Dialer returns a dialer of such connections with a connect timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// NewHTTPTransport returns a transport with the defaults of net/http that limits the heads of answers.
func NewHTTPTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = MaxResponseHeaderBytes
	return transport
}

// NewHTTPClient returns an HTTP client with such a transport that checks answers.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: answers.Transport{Base: NewHTTPTransport()}}
}

// ListenConfig returns a listener configuration that sets the same options on accepted connections.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects or listens.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}
