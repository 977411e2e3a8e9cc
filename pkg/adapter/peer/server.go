package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Server accepts connections of peers that know the shared secret and runs the methods of registered receivers.
type Server struct {
	secret   []byte
	tls      *tls.Config
	dispatch *dispatcher
	rpc      *rpc.Server

	mu     sync.Mutex
	closed bool
	// relay makes the connections that other nodes ask for; nil if there are none.
	relay func(ctx context.Context, address string) (net.Conn, error)
	// conns and listeners are what Close must end.
	conns     map[net.Conn]struct{}
	listeners map[net.Listener]struct{}
}

var _ Registrar = (*Server)(nil)

// Accounted is a connection that counts as one of a stranger until Identified is called: the other side knows the secret.
type Accounted interface{ Identified() }

// NewServer returns a server; a nil tls selects plain TCP.
func NewServer(secret string, tls *tls.Config) *Server {
	s := &Server{
		secret: []byte(secret), tls: tls,
		dispatch:  &dispatcher{methods: map[string]*method{}},
		rpc:       rpc.NewServer(),
		conns:     map[net.Conn]struct{}{},
		listeners: map[net.Listener]struct{}{},
	}
	if err := s.rpc.RegisterName("Dispatcher", receiver{}); err != nil {
		panic(err)
	}
	return s
}

// Register adds the exported methods of receiver that have the net/rpc form, as name.METHOD.
func (s *Server) Register(name string, receiver any) error {
	return s.dispatch.register(name, receiver)
}

// Serve accepts connections until the listener fails or Close is called, after which it returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	s.listeners[l] = struct{}{}
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err == nil {
			go s.ServeConn(conn)
			continue
		}
		if s.isClosed() || errors.Is(err, net.ErrClosed) {
			return nil
		}
		// Accept fails temporarily when file descriptors run out; the listener itself stays usable.
		klog.Warningf("peer listener %s: accept failed, retrying: %v", l.Addr(), err)
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// track adds a connection to the open ones or removes it; it returns false when the server is closed.
func (s *Server) track(conn net.Conn, add bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if add && !s.closed {
		s.conns[conn] = struct{}{}
	} else {
		delete(s.conns, conn)
	}
	return !s.closed
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(conn net.Conn) {
	defer conn.Close()
	accounted, _ := conn.(Accounted)
	if s.tls != nil {
		conn = tls.Server(conn, s.tls)
	}
	if !s.track(conn, true) {
		return
	}
	defer s.track(conn, false)
	asked, err := serverHandshake(conn, s.secret)
	if err != nil {
		klog.V(1).Infof("peer handshake from %s failed: %v", conn.RemoteAddr(), err)
		return
	}
	if accounted != nil {
		accounted.Identified()
	}
	if asked == relayProtocol {
		s.serveRelay(conn)
		return
	}
	s.rpc.ServeCodec(&serverCodec{stream: newStream(countedConn{conn}), dispatch: s.dispatch})
}

// Close ends the listeners and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	var closeErrs []error
	for l := range s.listeners {
		closeErrs = append(closeErrs, l.Close())
	}
	for c := range s.conns {
		c.Close()
	}
	return errors.Join(closeErrs...)
}
