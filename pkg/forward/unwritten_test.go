package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
)

// Guards against a request that counts as run although nothing of it was written: its kept connection was closed while the check before the
// first byte waited for the list of upstreams.
func TestRequestWhoseConnectionEndsDuringTheCheckIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	kept := make(chan net.Conn, 1)
	var requests atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					requests.Add(1)
					fmt.Fprint(conn, scriptedAnswer("200 OK", r.Header.Get(testHeaders.RequestID), ""))
					select {
					case kept <- conn:
					default:
					}
				}
			}()
		}
	}()
	var calls atomic.Int64
	client := NewClient(testHeaders, uplink.New(uplink.Options{}), func(dispatch.Upstream, dispatch.Announcement) {}, func(context.Context, dispatch.Upstream) bool {
		if calls.Add(1) == 4 { // The check before the first byte of the second request.
			(<-kept).Close()
			time.Sleep(100 * time.Millisecond)
		}
		return true
	})
	t.Cleanup(client.Close)
	assert.NilError(t, send(t, client, "u", l.Addr().String(), newOnceRequest("a")))
	time.Sleep(20 * time.Millisecond)
	second := newOnceRequest("b")
	second.Body = []byte("body")
	err = send(t, client, "u", l.Addr().String(), second)
	assert.Equal(t, requests.Load(), int64(1))
	assert.Equal(t, calls.Load(), int64(4))
	assert.ErrorIs(t, err, ErrNotRun, "%s", strings.ReplaceAll(fmt.Sprint(err), l.Addr().String(), "upstream"))
}
