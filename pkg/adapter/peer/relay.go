package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/dial"
)

const (
	// segmentBytes limits the data in one segment of a relayed connection, and so what a node holds of it in each direction.
	segmentBytes = 8 << 10
	// relayOpenTimeout bounds the time until a node has connected for another one.
	relayOpenTimeout = 5 * time.Second
	// closeTimeout is how long a node waits for the other one to close a relayed connection whose data has ended.
	closeTimeout = 2 * time.Second
	// writeEndTime is how long the end of a target's data waits for a write to it, and writeEndPoll the time between checks.
	writeEndTime, writeEndPoll = 100 * time.Millisecond, 5 * time.Millisecond
)

// relayRequest asks for a connection to an address.
type relayRequest struct{ Address string }

// relayReply answers a relayRequest. Error is empty if the connection was made, else the text form of the error.
type relayReply struct{ Error string }

// segment is a part of the data on a relayed connection. The last one of each direction has End set: without it the data
// broke off. BrokeOff is set in the last one if it is known that they did; nodes of earlier builds wait for the end of the connection.
type segment struct {
	Data     []byte
	End      bool
	BrokeOff bool
}

// ErrBrokeOff means that a relayed connection ended before its data did.
var ErrBrokeOff = Error.New("relayed connection broke off")

// Relay connects to an address through another node. ctx bounds only the time until the connection is open.
func (c *Client) Relay(ctx context.Context, node, address string) (net.Conn, error) {
	peerAddress, ok := c.options.Resolve(node)
	if !ok {
		return nil, fmt.Errorf("%w %q", ErrUnknownNode, node)
	}
	conn, err := c.options.connect(ctx, peerAddress, relayProtocol, dial.Dialer(dialTimeout))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, peerAddress, err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	s := newStream(conn)
	var reply relayReply
	if err = s.write(relayRequest{address}); err == nil {
		err = s.readHeader(&reply)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("%w: %s: %w", ErrTimeout, peerAddress, err)
	}
	if reply.Error != "" {
		conn.Close()
		return nil, decodeError(reply.Error)
	}
	return &relayedConn{Conn: conn, stream: s}, nil
}

// HandleRelays makes the server connect to addresses for other nodes, by the given function. It must be called before Serve.
func (s *Server) HandleRelays(connect func(ctx context.Context, address string) (net.Conn, error)) {
	s.relay = connect
}

// serveRelay connects to the address that a client asks for and passes data on in both directions until one side ends.
func (s *Server) serveRelay(conn net.Conn) {
	in := newStream(conn)
	var request relayRequest
	if err := conn.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return
	}
	if err := in.readHeader(&request); err != nil {
		klog.V(1).Infof("relay request from %s failed: %v", conn.RemoteAddr(), err)
		return
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	target, err := s.connectForRelay(request.Address)
	reply := relayReply{}
	if err != nil {
		reply.Error = encodeError(err)
	}
	if writeErr := in.write(reply); err != nil || writeErr != nil {
		if err == nil {
			_ = target.Close() // Nothing was sent.
		}
		return
	}
	relayData(&relayedConn{Conn: conn, stream: in}, target)
}

func (s *Server) connectForRelay(address string) (net.Conn, error) {
	if s.relay == nil {
		return nil, ErrUnknownMethod
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayOpenTimeout)
	defer cancel()
	return s.relay(ctx, address)
}

// relayData passes data on between a client and a target until either side has ended or broken off, and closes both.
func relayData(client *relayedConn, target net.Conn) {
	var sending sync.WaitGroup
	out := &watchedWriter{Writer: target}
	sending.Go(func() {
		// The client closes when it no longer waits for an answer; the target must hear that at once. If the target has ended
		// first, what the client still sends is read and dropped, since closing a connection with unread data would reset it
		// before the client has read the answer.
		if _, err := io.CopyBuffer(out, onlyReader{client}, make([]byte, segmentBytes)); err != nil && !errors.Is(err, ErrBrokeOff) {
			_, _ = io.Copy(io.Discard, onlyReader{client}) // Ends with the connection.
		}
		_ = target.Close()
	})
	_, err := io.CopyBuffer(onlyWriter{client}, onlyReader{target}, make([]byte, segmentBytes))
	if err == nil {
		err = client.end(out.failed())
	}
	if err == nil {
		err = client.SetReadDeadline(time.Now().Add(closeTimeout))
	}
	if err != nil {
		klog.V(1).Infof("relayed connection to %s broke off: %v", target.RemoteAddr(), err)
		_ = client.Close()
	}
	_ = target.Close()
	sending.Wait()
	_ = client.Close()
}

// onlyReader and onlyWriter hide the methods by which io.Copy would pass data on without the buffer.
type onlyReader struct{ io.Reader }
type onlyWriter struct{ io.Writer }

// watchedWriter remembers a write that failed. A connection that is reset while it is written to reports that to the writer only, and looks to
// the reader as if the other side had ended it.
type watchedWriter struct {
	io.Writer
	mu sync.Mutex
	// begun and ended count the writes, and broken is set once one has failed.
	begun, ended int
	broken       bool
}

func (w *watchedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	w.begun++
	w.mu.Unlock()
	n, err := w.Writer.Write(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended++
	w.broken = w.broken || err != nil
	return n, err
}

// failed reports whether a write has failed, or one does not end within writeEndTime.
func (w *watchedWriter) failed() bool {
	for until := time.Now().Add(writeEndTime); ; time.Sleep(writeEndPoll) {
		w.mu.Lock()
		writing, broken := w.begun > w.ended, w.broken
		w.mu.Unlock()
		if broken || !writing || time.Now().After(until) {
			return broken || writing
		}
	}
}

// relayedConn is one side of a relayed connection. Data travels in segments, so that its end differs from a break.
type relayedConn struct {
	net.Conn
	stream *stream
	// unread is what was received and not read yet.
	unread []byte
	ended  bool

	writing sync.Mutex
}

// Read returns io.EOF at the end of the data, and an error that matches ErrBrokeOff if there was none.
func (c *relayedConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		var next segment
		if err := c.stream.readHeader(&next); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrBrokeOff, notEOF(err))
		}
		if next.BrokeOff {
			return 0, fmt.Errorf("%w: connection was reset", ErrBrokeOff)
		}
		c.unread, c.ended = next.Data, next.End
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// notEOF keeps the end of a connection from being taken for the end of its data.
func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write sends data in segments.
func (c *relayedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	written := 0
	for len(p) > written {
		data := p[written:min(len(p), written+segmentBytes)]
		if err := c.stream.write(segment{Data: data}); err != nil {
			return written, err
		}
		written += len(data)
	}
	return written, nil
}

// end tells the other side that the data is complete, or broke off.
func (c *relayedConn) end(brokeOff bool) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.stream.write(segment{End: !brokeOff, BrokeOff: brokeOff})
}
