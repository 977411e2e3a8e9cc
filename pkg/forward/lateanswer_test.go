package forward

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
)

// Guards against a request that runs and counts as not run, since an extra refusal without an ID arrives where its response is
// expected on a kept connection; and against a refusal without an ID on a new connection that counts as a run.
func TestLateRefusalWithoutIDBelongsToNoRequest(t *testing.T) {
	for _, refusal := range []string{"503 Full\r\nX-Not-Run: 1", "421 Misdirected"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprint(refusal[:3], " kept ", kept), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				defer l.Close()
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						go func() {
							defer conn.Close()
							reader := bufio.NewReader(conn)
							for {
								r, err := http.ReadRequest(reader)
								if err != nil {
									return
								}
								if r.URL.Path == "/refused" {
									fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", refusal)
								}
								fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: u\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
							}
						}()
					}
				}()
				client := NewClient(testHeaders, uplink.New(uplink.Options{}), func(dispatch.Upstream, dispatch.Announcement) {}, nil)
				defer client.Close()
				send := func(target string) error {
					u := dispatch.Upstream{ID: "u", Service: "s", Address: l.Addr().String()}
					resp, err := client.Send(t.Context(), u, &Request{ID: target, Method: http.MethodPost, Host: testHost, Target: target, Once: true}, time.Second, -1)
					if err == nil {
						discard(resp)
					}
					return err
				}
				if kept {
					assert.NilError(t, send("/first"))
				}
				err = send("/refused")
				assert.Assert(t, err != nil)
				assert.Equal(t, errors.Is(err, ErrNotRun), !kept, "%v", err)
			})
		}
	}
}
