package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"net"
	"net/rpc"
	"reflect"
	"time"
)

const (
	// MaxMessageBytes bounds one message, so that a faulty peer can't exhaust the memory of a small VM. The
	// largest regular message is a whole configuration, well under 1 MB.
	MaxMessageBytes = 8 << 20
	// writeTimeout ends a connection whose peer stopped reading.
	writeTimeout = 10 * time.Second
)

// limitedReader ends the connection when one message holds more than MaxMessageBytes, since what follows can't be
// told apart from it. It has ReadByte, so gob reads no further than the message.
type limitedReader struct {
	*bufio.Reader
	conn net.Conn
	left int
}

func (r *limitedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	return n, r.count(n, err)
}

func (r *limitedReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	return b, r.count(1, err)
}

func (r *limitedReader) count(n int, err error) error {
	r.left -= n
	if err == nil && r.left < 0 {
		r.conn.Close()
		return ErrTooLarge
	}
	return err
}

// stream frames gob values over a connection. Reads and writes are each made by one goroutine at a time, which
// net/rpc ensures.
type stream struct {
	conn    net.Conn
	reader  *limitedReader
	decoder *gob.Decoder
	out     bytes.Buffer
	encoder *gob.Encoder
}

func newStream(conn net.Conn) *stream {
	conn = countedConn{conn}
	s := &stream{conn: conn, reader: &limitedReader{Reader: bufio.NewReader(conn), conn: conn}}
	s.decoder = gob.NewDecoder(s.reader)
	s.encoder = gob.NewEncoder(&s.out)
	return s
}

func (s *stream) readHeader(header any) error {
	s.reader.left = MaxMessageBytes
	return s.decoder.Decode(header)
}

// write sends header and body as one segment. A failed write leaves the gob stream unusable, so it closes the connection.
func (s *stream) write(header, body any) error {
	s.out.Reset()
	err := s.encoder.Encode(header)
	if err == nil {
		err = s.encoder.Encode(body)
	}
	if err == nil && s.out.Len() > MaxMessageBytes {
		err = ErrTooLarge
	}
	if err == nil {
		err = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if err == nil {
		_, err = s.conn.Write(s.out.Bytes())
	}
	if err != nil {
		s.conn.Close()
	}
	return err
}

// clientCodec is the caller's side of net/rpc.
type clientCodec struct{ *stream }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := c.write(r, body)
	requestBytes.Add(r.ServiceMethod, int64(c.out.Len()))
	return err
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }
func (c clientCodec) ReadResponseBody(body any) error          { return c.decoder.Decode(body) }
func (c clientCodec) Close() error                             { return c.conn.Close() }

// serverCodec is the receiver's side of net/rpc. net/rpc reduces a receiver's error to its text before a codec
// sees it, so all requests go to the dispatcher's one net/rpc method, which keeps the error's type.
type serverCodec struct {
	*stream
	dispatch *dispatcher
	// method is the method named by the request header that was read last.
	method string
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.readHeader(r); err != nil {
		return err
	}
	c.method, r.ServiceMethod = r.ServiceMethod, dispatchMethod
	return nil
}

// ReadRequestBody decodes the arguments of the method named by the header.
func (c *serverCodec) ReadRequestBody(body any) error {
	in, ok := body.(*Invocation)
	if !ok {
		return c.decoder.DecodeValue(reflect.Value{})
	}
	in.method = c.dispatch.find(c.method)
	if in.method == nil {
		in.unknown = c.method
		return c.decoder.DecodeValue(reflect.Value{})
	}
	args, pointer := in.method.newArgs()
	in.args = args
	return c.decoder.Decode(pointer)
}

// emptyBody stands for the reply of a failed call; net/rpc clients skip it.
type emptyBody struct{}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	out, ok := body.(*Result)
	if !ok {
		return c.write(r, emptyBody{})
	}
	if out.err != nil {
		r.Error = encodeError(out.err)
		return c.write(r, emptyBody{})
	}
	return c.write(r, out.reply)
}

func (c *serverCodec) Close() error { return c.conn.Close() }
