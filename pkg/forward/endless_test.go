package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/dial"
	"trefoilplank.example/pkg/controller/uplink"
)

// maxEndlessBytes is how much an upstream may get rid of on one connection before it is closed: what the node reads, and what
// the socket buffers hold.
const maxEndlessBytes = 1 << 20

// socketBuffer is the size in bytes that is set for the buffers of sockets; the kernel takes twice of it.
const socketBuffer = 64 << 10

// dialSmall connects with a receive buffer that does not grow: a kernel may let it take tens of megabytes, which are not the node's memory.
func dialSmall(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dial.Dialer(0).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(socketBuffer)
}

// sendsEndlessly returns a behaviour that sends begin and then repeats text until the connection is closed, and the number of
// bytes that each connection took.
func sendsEndlessly(begin, text string) (behaviour, <-chan int) {
	sent := make(chan int, 100)
	return func(_ *fixture, w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		if p, ok := conn.(*processConn); ok {
			conn = p.Conn
		}
		_ = conn.(*net.TCPConn).SetWriteBuffer(socketBuffer)
		begin := strings.NewReplacer("$id", r.Header.Get(testHeaders.RequestID)).Replace(begin)
		total := 0
		for data := begin + text; ; data = text {
			_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
			n, err := conn.Write([]byte(data))
			if total += n; err != nil {
				sent <- total
				return
			}
		}
	}, sent
}

// Guards against an upstream whose answer has no end, in a head, a body or an event: what it sends must not fill the node's
// memory, its connection must be closed, and the caller must get the answer of another upstream.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: $id\r\nX-Stamp: u\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	line := strings.Repeat("x", 1000)
	for name, c := range map[string]struct{ target, begin, text string }{
		"header lines":       {"/idempotent/a", head, "X-More: " + line + "\r\n"},
		"one header line":    {"/idempotent/a", head + "X-More: ", line},
		"garbage":            {"/idempotent/a", "", "\x00\xff garbage " + line},
		"garbage lines":      {"/idempotent/a", "", "garbage\r\n"},
		"informational":      {"/idempotent/a", "", "HTTP/1.1 103 Early Hints\r\nX-More: " + line + "\r\n\r\n"},
		"chunk extension":    {"/stream/a", head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n1;", line},
		"trailers":           {"/stream/a", head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + line + "\r\n"},
		"body of an error":   {"/idempotent/a", "HTTP/1.1 500 Failed\r\nX-Id: $id\r\nX-Stamp: u\r\n\r\n", line},
		"body of a refusal":  {"/idempotent/a", "HTTP/1.1 503 Full\r\nX-Id: $id\r\nX-Not-Run: 1\r\n\r\n", line},
		"event in chunks":    {"/stream/a", head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(line)},
		"event until closed": {"/stream/a", head + "Content-Type: text/event-stream\r\n\r\ndata: ", line},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endless, sent := sendsEndlessly(c.begin, c.text)
			f := newLinkedFixture(t, &uplink.Options{Dial: dialSmall}, make([]string, 2), endless, streamsAll)
			asked := false
			for n := 0; n < 20 && !asked; n++ {
				resp, body, err := f.call(t, c.target, "x")
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Assert(t, len(body) < maxEndlessBytes)
				for _, r := range f.requests() {
					asked = asked || r.upstream == "u0"
				}
			}
			assert.Assert(t, asked)
			select {
			case n := <-sent:
				t.Log(n, "bytes were sent")
				limit := maxEndlessBytes
				if strings.HasPrefix(name, "event") {
					limit += maxEventBytes
				}
				assert.Assert(t, n <= limit, "%d bytes were sent before the connection was closed", n)
			case <-time.After(5 * time.Second):
				t.Fatal("the connection stays open")
			}
		})
	}
}
