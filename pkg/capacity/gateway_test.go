package capacity_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/gateway"
	"trefoilplank.example/pkg/serving"
)

// fixedSlots grants every request a slot of one upstream.
type fixedSlots struct{ upstream api.Upstream }

func (s fixedSlots) Acquire(_ context.Context, r serving.Request) (*serving.Slot, error) {
	return &serving.Slot{Upstream: s.upstream, RequestID: r.ID, Owner: nodeName(0)}, nil
}

func (fixedSlots) Release(*serving.Slot, serving.Usage) {}

// fixedInvoker answers a call with the given number of tokens. If release is set, a call first calls arrivals.Done and
// then blocks until release is closed.
type fixedInvoker struct {
	tokens   int
	release  chan struct{}
	arrivals *sync.WaitGroup
}

func (v fixedInvoker) waitForRelease() {
	if v.release != nil {
		v.arrivals.Done()
		<-v.release
	}
}

func (v fixedInvoker) Do(context.Context, api.Upstream, serving.Call) (*serving.Result, error) {
	v.waitForRelease()
	return &serving.Result{Status: http.StatusOK, Header: http.Header{}, Body: []byte(`{"choices":[]}`), Tokens: v.tokens}, nil
}

func (v fixedInvoker) Stream(_ context.Context, _ api.Upstream, c serving.Call, emit func(serving.StreamEvent) error) (*serving.Result, error) {
	v.waitForRelease()
	event := []byte(fmt.Sprintf(`{"id":%q,"offset":0,"choices":[{"index":0,"delta":{"content":" word"}}]}`, c.RequestID))
	for i := range v.tokens {
		if err := emit(serving.StreamEvent{Data: event, Offset: i}); err != nil {
			return nil, err
		}
	}
	return &serving.Result{Status: http.StatusOK, Tokens: v.tokens, FirstToken: time.Millisecond}, nil
}

func (fixedInvoker) Cancel(context.Context, api.Upstream, string) error { return nil }

// newGateway returns a gateway whose requests all run on the first upstream of the board.
func newGateway(board *blackboard.Board, v fixedInvoker) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Node: nodeName(0), Board: board, Slots: fixedSlots{board.Config.Value().Register.Upstreams[0]}, Invoker: v,
		Explain: explain.NewLog(nodeName(0), 1000, time.Now),
	})
}

// discardWriter is a response writer that counts the bytes of the body and discards them.
type discardWriter struct {
	header http.Header
	status int
	bytes  int
}

func (w *discardWriter) Header() http.Header { return w.header }
func (w *discardWriter) WriteHeader(s int)   { w.status = s }
func (w *discardWriter) Flush()              {}
func (w *discardWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

// chatRequest returns a chat request with a prompt of about 500 tokens.
func chatRequest(stream bool, suffix string) *http.Request {
	body := fmt.Sprintf(`{"model":"model-0","stream":%v,"max_tokens":220,"messages":[{"role":"user","content":"%s %s"}]}`, stream, strings.Repeat("word ", 500), suffix)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key")
	return r
}

// boardWithKey returns a board on which the first caller has the bearer key "key".
func boardWithKey(upstreams, institutions int) *blackboard.Board {
	b := testBoard(1, upstreams, institutions)
	cfg := b.Config.Value()
	// The SHA-256 digest of "key".
	cfg.Register.Callers[0].KeyDigests = []string{"2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"}
	b.Config.Set(cfg)
	return b
}

// BenchmarkGatewayRequest measures the time of a request of one token in the gateway alone, by the number of
// institutions: admission and upstream answer at once, and there is no connection.
func BenchmarkGatewayRequest(b *testing.B) {
	for _, n := range institutionSizes {
		b.Run(fmt.Sprintf("institutions=%d", n), func(b *testing.B) {
			g := newGateway(boardWithKey(100, n), fixedInvoker{tokens: 1})
			for i := 0; b.Loop(); i++ {
				w := &discardWriter{header: http.Header{}}
				g.ServeHTTP(w, chatRequest(false, fmt.Sprint(i)))
				if w.status != 0 && w.status != http.StatusOK {
					b.Fatal(w.status)
				}
			}
		})
	}
}

// BenchmarkGatewayTokens measures the time and bytes of a streamed token in the gateway alone. The slope over the number
// of tokens does not include the rest of the request.
func BenchmarkGatewayTokens(b *testing.B) {
	for _, tokens := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			g := newGateway(boardWithKey(100, 25), fixedInvoker{tokens: tokens})
			size := 0
			for i := 0; b.Loop(); i++ {
				w := &discardWriter{header: http.Header{}}
				g.ServeHTTP(w, chatRequest(true, fmt.Sprint(i)))
				size = w.bytes
			}
			if size < 10*tokens {
				b.Fatalf("%d bytes for %d tokens", size, tokens)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tokens), "ns/token")
			b.ReportMetric(float64(size)/float64(tokens), "B/token")
		})
	}
}

// BenchmarkGatewayInFlight measures the memory of each request in flight in the gateway and its HTTP connections,
// including the client's side in the same process.
func BenchmarkGatewayInFlight(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			for b.Loop() {
				v := fixedInvoker{tokens: 1, release: make(chan struct{}), arrivals: &sync.WaitGroup{}}
				server := httptest.NewServer(newGateway(boardWithKey(100, 25), v))
				var clients sync.WaitGroup
				v.arrivals.Add(n)
				b.ReportMetric(retainedBytes(func() any {
					for i := range n {
						clients.Go(func() {
							r := chatRequest(true, fmt.Sprint(i))
							body, _ := io.ReadAll(r.Body)
							req, err := http.NewRequest(r.Method, server.URL+r.URL.Path, bytes.NewReader(body))
							assert.Check(b, err)
							req.Header = r.Header
							resp, err := http.DefaultClient.Do(req)
							if assert.Check(b, err) {
								assert.Check(b, resp.StatusCode == http.StatusOK)
								_, _ = io.Copy(io.Discard, resp.Body)
								resp.Body.Close()
							}
						})
					}
					v.arrivals.Wait()
					return server
				})/float64(n), "B/request")
				close(v.release)
				clients.Wait()
				server.Close()
				http.DefaultClient.CloseIdleConnections()
			}
		})
	}
}
