package answers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// rawServer answers each connection by a function, after it has read the head of the first request.
func rawServer(t *testing.T, listen net.ListenConfig, answer func(net.Conn, *http.Request)) string {
	l, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn, r)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// send sends a body and returns the answer's body, or the error of any step.
func send(t *testing.T, rt http.RoundTripper, url string, body io.Reader) (string, error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
	assert.NilError(t, err)
	resp, err := rt.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

// Guards against answers of a server in trouble that are passed on as if they were answers: with a status that HTTP does not have, a field
// name that is no token, so that a length is not known, or control characters in a field or the reason.
func TestMalformedAnswersFail(t *testing.T) {
	const body = "\r\n\r\nhello"
	for _, head := range []string{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 5", "HTTP/1.1 099 Trouble\r\nContent-Length: 5", "HTTP/1.1 +20 Trouble\r\nContent-Length: 5",
		"HTTP/1.1 -20 Trouble\r\nContent-Length: 5", "HTTP/1.1 20 Trouble\r\nContent-Length: 5", "HTTP/1.1 2000 Trouble\r\nContent-Length: 5",
		"HTTP/1.1 600 Trouble\r\nContent-Length: 5", "HTTP/1.1 999 Trouble\r\nContent-Length: 5", "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x",
		"HTTP/1.1 200 O\x01K\r\nContent-Length: 5", "HTTP/1.1 200 O\x7fK\r\nContent-Length: 5", "HTTP/1.1 200 O\rK\r\nContent-Length: 5",
		"HTTP/2.0 200 OK\r\nContent-Length: 5", "HTTP/3.1 200 OK\r\nContent-Length: 5",
		"HTTP/1.1 200 OK\r\nContent-Length : 3", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked", "HTTP/1.1 200 OK\r\nContent Length: 5",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX Y: z", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX : z", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX\tY: z",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX\x01Y: z", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX\x7f: z", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX(Y): z",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: a\x01b", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: a\x00b", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: a\rb",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX: a\x7f", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4", "HTTP/1.1 200 OK\r\nContent-Length: +5",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nno colon", "HTTP/1.1 200 OK\r\n Content-Length: 5",
	} {
		t.Run(strings.ReplaceAll(head, "\r\n", " | "), func(t *testing.T) {
			url := rawServer(t, net.ListenConfig{}, func(conn net.Conn, _ *http.Request) { fmt.Fprint(conn, head, body) })
			rt := Transport{&http.Transport{}}
			defer rt.CloseIdleConnections()
			got, err := send(t, rt, url, strings.NewReader("x"))
			assert.Assert(t, err != nil, "passed on with body %q", got)
		})
	}
}

// Guards against sound answers that are taken for malformed ones.
func TestSoundAnswersPass(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nhello",
		"HTTP/1.0 200 OK\r\n\r\nhello", "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 \t\xc3\xa9(!)\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 599 Odd\r\nx!#$%&'*+-.^_`|~0: a\tb \xc3\xa9\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nX:\r\nContent-Length: 5\r\n\r\nhello",
	} {
		t.Run(strings.ReplaceAll(answer, "\r\n", " | "), func(t *testing.T) {
			url := rawServer(t, net.ListenConfig{}, func(conn net.Conn, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				fmt.Fprint(conn, answer)
			})
			rt := Transport{&http.Transport{DisableKeepAlives: true}}
			for range 50 {
				got, err := send(t, rt, url, strings.NewReader(strings.Repeat("x", 100_000)))
				assert.NilError(t, err)
				assert.Equal(t, got, "hello")
			}
		})
	}
}

// smallBuffers keeps what is sent to a listener's connections in the sender, which is still writing when the connection is reset.
var smallBuffers = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048), unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1000))
	})
	return errors.Join(controlErr, err)
}}

// Guards against a part of an answer without a length that is passed on as the whole, because its connection was reset, or ended, while the
// request was still being written: the writer gets the error, and the reader sees a plain end.
func TestAnswerCutOffDuringTheUploadIsNotComplete(t *testing.T) {
	for name, linger := range map[string]int{"reset": 0, "closed": -1} {
		t.Run(name, func(t *testing.T) {
			url := rawServer(t, smallBuffers, func(conn net.Conn, _ *http.Request) {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(linger)
			})
			rt := Transport{&http.Transport{}}
			for range 40 {
				_, err := send(t, rt, url, strings.NewReader(strings.Repeat("x", 4<<20)))
				assert.Assert(t, err != nil, "a part of the answer was taken for the whole")
			}
		})
	}
}

// madeAnswer is a transport without connections.
type madeAnswer struct{}

func (madeAnswer) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: io.NopCloser(strings.NewReader("hello")), Request: r}, nil
}

// Guards against whole answers of a transport that translates, and has no connections of net/http, being taken for ones that were cut off.
func TestAnswersOfOtherTransportsPass(t *testing.T) {
	got, err := send(t, Transport{madeAnswer{}}, "http://127.0.0.1/", nil)
	assert.NilError(t, err)
	assert.Equal(t, got, "hello")
}

// Guards against an upload that runs, although a server's answer holds the text by which net/http says that nothing was written.
func TestAnswersCanNotClaimThatNothingWasWritten(t *testing.T) {
	url := rawServer(t, net.ListenConfig{}, func(conn net.Conn, _ *http.Request) {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n", cannotRewind, "\r\n\r\n")
	})
	_, err := send(t, Transport{&http.Transport{}}, url, strings.NewReader("x"))
	assert.ErrorContains(t, err, "cannot rewind body after connection loss")
	assert.Assert(t, !NothingWritten(err))
	assert.Assert(t, NothingWritten(fmt.Errorf("through a: %w", errors.New(cannotRewind))))
}
