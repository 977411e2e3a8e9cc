package callerbudget

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	decision "trefoilplank.example/pkg/decision/callerbudget"
)

func processorTime(b *testing.B) time.Duration {
	var use unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &use); err != nil {
		b.Fatal(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// BenchmarkRequests measures the processor time of requests in turn on one connection, client included, with and without the
// account.
func BenchmarkRequests(b *testing.B) {
	for _, accounted := range []bool{false, true} {
		b.Run(fmt.Sprint("accounted=", accounted), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "answer")
			})}
			if accounted {
				g := New(Options{Bytes: 32 << 20, Descriptors: 3000}).Group(decision.Callers)
				g.Serve(s)
				l = g.Listener(l)
			}
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			text := "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000)
			reader := bufio.NewReader(c)
			begin := processorTime(b)
			for b.Loop() {
				if _, err := io.WriteString(c, text); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			b.ReportMetric(float64(processorTime(b)-begin)/float64(b.N), "cpu-ns/op")
		})
	}
}
