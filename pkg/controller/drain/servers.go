package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pollInterval is the time between two checks of the number of requests in progress.
	pollInterval = 20 * time.Millisecond
	// idleTime is how long no request must be in progress before the gate closes, so that a request that is in flight on an open
	// connection is still read.
	idleTime = 250 * time.Millisecond
	// answerTime is how long requests that are ended have to write their answers.
	answerTime = 200 * time.Millisecond
	// shutdownTime is how long the last answers may take to be written, and connections on which nothing was sent to be closed.
	shutdownTime = 150 * time.Millisecond
	// StopTime is how much longer than until its end Stop takes. Both waits may last a poll longer.
	StopTime = answerTime + 2*pollInterval + shutdownTime
)

// Servers are the HTTP servers for callers. They stop without losing the answer to a request that was let in.
type Servers struct {
	// Gate lets the requests of all servers in.
	Gate *Gate

	mu        sync.Mutex // guards the fields below
	listeners []*listener
	servers   []*http.Server
	// stopped is set once no server may begin to serve any more.
	stopped bool
}

// NewServers returns an empty set of servers with an open gate.
func NewServers() *Servers { return &Servers{Gate: NewGate()} }

// Serve serves callers on l until the server is shut down; then it returns nil, as it does at once after Stop. The handler of the server must
// be that of the gate.
func (s *Servers) Serve(server *http.Server, l net.Listener, serve func(net.Listener) error) error {
	wrapped := &listener{Listener: l, closed: make(chan struct{})}
	server.BaseContext = func(net.Listener) context.Context { return s.Gate.Context() }
	if !s.add(server, wrapped) {
		return l.Close()
	}
	if err := serve(wrapped); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// add registers a server, and returns false if it must not serve any more.
func (s *Servers) add(server *http.Server, l *listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.listeners = append(s.listeners, l)
	s.servers = append(s.servers, server)
	return true
}

// listener is a net.Listener whose socket can be closed without an error for the server, which would otherwise return
// while requests are in progress. Accept then blocks until Close.
type listener struct {
	net.Listener
	once    sync.Once
	refuses atomic.Bool
	closed  chan struct{}
}

// closeSocket makes the listener refuse new connections.
func (l *listener) closeSocket() error {
	l.refuses.Store(true)
	return l.Listener.Close()
}

// Accept implements net.Listener. The server tries again after a failure that does not come from closeSocket or Close.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil || !l.refuses.Load() {
		return conn, err
	}
	<-l.closed
	return nil, http.ErrServerClosed
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.closeSocket()
}

// Refuse makes new connections fail, so that callers go elsewhere at once. Those on open connections are served.
func (s *Servers) Refuse() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	for _, l := range s.listeners {
		errs = append(errs, l.closeSocket())
	}
	return errors.Join(errs...)
}

// Stop serves open connections until nothing has been in progress for idleTime, or until end; a zero end means no limit. Then it lets no
// request in, ends those that remain, and closes all connections once their answers are written. It returns the number of requests
// that it ended. other returns what else is in progress, and may be nil.
func (s *Servers) Stop(end time.Time, other func() int64) (ended int64) {
	s.awaitIdle(end, other)
	s.Gate.Close()
	if ended = s.Gate.Active(); ended > 0 {
		s.Gate.End()
		for until := time.Now().Add(answerTime); s.Gate.Active() > 0 && time.Now().Before(until); {
			time.Sleep(pollInterval)
		}
	}
	s.mu.Lock()
	s.stopped = true
	servers := s.servers
	s.mu.Unlock()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
			defer cancel()
			_ = server.Shutdown(ctx) // An error means that a listener was closed before, or that connections are left.
			_ = server.Close()       // It closes connections that have sent nothing, and those of callers that do not read.
		})
	}
	group.Wait()
	return ended
}

// awaitIdle returns when nothing has been in progress for idleTime, with the gate closed, or at end.
func (s *Servers) awaitIdle(end time.Time, other func() int64) {
	idleSince := time.Now()
	for {
		now := time.Now()
		switch {
		case !end.IsZero() && !now.Before(end):
			return
		case s.Gate.Active() > 0 || other != nil && other() > 0:
			idleSince = now
		case now.Sub(idleSince) >= idleTime && s.Gate.CloseIfIdle():
			return
		}
		time.Sleep(pollInterval)
	}
}
