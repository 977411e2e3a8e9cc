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
	// largest regular message is a complete configuration, well under 1 MB.
	MaxMessageBytes = 8 << 20
	// keptBufferBytes is the size up to which the buffer of a connection is kept for the next message.
	keptBufferBytes = 32 << 10
	// writeTimeout bounds the write of one message, so that a connection whose peer stopped reading ends.
	writeTimeout = 10 * time.Second
)

// limitedReader closes the connection when one message holds more than MaxMessageBytes, since the start of the next
// message can't be found without reading this one. It has ReadByte, so gob reads no further than the message.
type limitedReader struct {
	*bufio.Reader
	conn net.Conn
	// remaining is the number of bytes that the current message may still hold.
	remaining int
}

func (r *limitedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	return n, r.consume(n, err)
}

func (r *limitedReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	return b, r.consume(1, err)
}

// consume subtracts n bytes from remaining, and closes the connection when the message exceeds its limit.
func (r *limitedReader) consume(n int, err error) error {
	r.remaining -= n
	if err == nil && r.remaining < 0 {
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
	s := &stream{conn: conn, reader: &limitedReader{Reader: bufio.NewReader(conn), conn: conn}}
	s.decoder = gob.NewDecoder(s.reader)
	s.encoder = gob.NewEncoder(&s.out)
	return s
}

// readHeader decodes the first value of the next message and restarts its byte limit.
func (s *stream) readHeader(header any) error {
	s.reader.remaining = MaxMessageBytes
	return s.decoder.Decode(header)
}

// write sends the values of a message with a single write to the connection. A failure leaves the gob stream unusable, so
// it closes the connection.
func (s *stream) write(values ...any) error {
	if s.out.Cap() > keptBufferBytes {
		s.out = bytes.Buffer{}
	}
	s.out.Reset()
	var err error
	for _, v := range values {
		if err == nil {
			err = s.encoder.Encode(v)
		}
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

// clientCodec is the rpc.ClientCodec of a connection.
type clientCodec struct{ *stream }

// WriteRequest sends a request and counts its bytes.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := c.write(r, body)
	requestBytes.Add(r.ServiceMethod, int64(c.out.Len()))
	return err
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }
func (c clientCodec) ReadResponseBody(body any) error          { return c.decoder.Decode(body) }
func (c clientCodec) Close() error                             { return c.conn.Close() }

// serverCodec is the rpc.ServerCodec of a connection. net/rpc reduces a receiver's error to its text before a codec
// sees it, so serverCodec directs all requests to the dispatcher's one net/rpc method, which keeps the error's type.
type serverCodec struct {
	*stream
	dispatch *dispatcher
	// method is the method name from the last request header.
	method string
}

// ReadRequestHeader keeps the requested method and names the dispatcher's method to net/rpc instead.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.readHeader(r); err != nil {
		return err
	}
	c.method, r.ServiceMethod = r.ServiceMethod, dispatchMethod
	return nil
}

// ReadRequestBody decodes the arguments of the method that the header names.
func (c *serverCodec) ReadRequestBody(body any) error {
	in, ok := body.(*Invocation)
	if !ok {
		return c.decoder.DecodeValue(reflect.Value{})
	}
	in.method = c.dispatch.find(c.method)
	if in.method == nil {
		in.unknownMethod = c.method
		return c.decoder.DecodeValue(reflect.Value{})
	}
	args, pointer := in.method.newArgs()
	in.args = args
	return c.decoder.Decode(pointer)
}

// emptyBody is sent in place of the reply of a failed call; net/rpc clients skip it.
type emptyBody struct{}

// WriteResponse sends the reply or the encoded error that the dispatcher's method stored in its result.
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
