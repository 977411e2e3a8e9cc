package engine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/service"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/serving"
)

// answerWithBody returns an answer that no call belongs to.
func answerWithBody(body []byte) *service.Answer {
	a := service.ClosedAnswer()
	a.Body = io.NopCloser(bytes.NewReader(body))
	return a
}

// FuzzEvents guards against panics on arbitrary streams, events of another request that are emitted, decreasing
// offsets, and a stream that counts as complete without its [DONE] event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"r\",\"offset\":0}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":\"r\",\"offset\":1}\n\ndata: {\"id\":\"r\",\"offset\":0}\n\n"))
	f.Add([]byte("event: error\ndata: {}\n\n"))
	f.Add([]byte("id: 1\nretry: 5\n:comment\ndata: {\"id\":\"other\"}\ndata\n\r\n\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		last := 0
		s := &stream{id: "r", lastOffset: -1, start: time.Now(), emit: func(e serving.StreamEvent) error {
			assert.Assert(t, bytes.Contains(e.Data, []byte("r")))
			assert.Assert(t, e.Offset >= last)
			last = e.Offset
			return nil
		}}
		if err := s.readEvents(answerWithBody(raw)); err == nil {
			assert.Assert(t, bytes.Contains(raw, doneMarker))
		}
	})
}

// Guards against lost, duplicated or reordered events when a stream breaks at any byte, up to three times in a row,
// and is resumed.
func TestResumeAtAnyByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []string
		offset := 0
		for i := range rapid.IntRange(0, 12).Draw(t, "events") {
			tokens := rapid.IntRange(0, 2).Draw(t, "tokens")
			events = append(events, fmt.Sprintf(`{"id":"r","offset":%d,"choices":[{"n":%d,"text":%q}]}`, offset, i, strings.Repeat("x", tokens)))
			offset += tokens
		}
		from := func(offset int) []byte {
			var b bytes.Buffer
			for _, e := range events {
				_, rest, _ := strings.Cut(e, `"offset":`)
				at, _, _ := strings.Cut(rest, ",")
				if n, _ := strconv.Atoi(at); n >= offset {
					fmt.Fprintf(&b, "data: %s\n\n", e)
				}
			}
			return append(b.Bytes(), "data: [DONE]\n\n"...)
		}
		var got []string
		s := &stream{id: "r", lastOffset: -1, start: time.Now(), emit: func(e serving.StreamEvent) error {
			got = append(got, string(e.Data))
			return nil
		}}
		body := from(0)
		for range rapid.IntRange(0, 3).Draw(t, "cuts") {
			err := s.readEvents(answerWithBody(body[:rapid.IntRange(0, len(body)-len("data: [DONE]\n\n")).Draw(t, "cut")]))
			assert.Assert(t, err != nil && s.fatal == nil, "%v", err)
			s.expectRepeats()
			body = from(s.resumeOffset())
		}
		assert.NilError(t, s.readEvents(answerWithBody(body)))
		assert.DeepEqual(t, got, events)
	})
}

// Guards against mixing the events of two runs: a resumed stream whose repetition of the last event differs is
// refused.
func TestResumeOfAnotherRun(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		text := "first run"
		if strings.HasPrefix(r.URL.Path, "/v1/streams/") {
			text = "second run"
		}
		fmt.Fprintf(w, "data: {\"id\":\"r\",\"offset\":0,\"text\":%q}\n\n", text)
	}))
	defer engine.Close()
	u := api.Upstream{Name: "e", Address: engine.Listener.Addr().String(), Kind: api.UpstreamEngine}
	var events int
	_, err := New(service.New(uplink.New(uplink.Options{}))).Stream(context.Background(), u, serving.Call{
		RequestID: "r", Method: "POST", Path: "/v1/completions", Header: http.Header{},
	}, func(serving.StreamEvent) error { events++; return nil })
	assert.Assert(t, errors.Is(err, serving.ErrMismatch), "%v", err)
	assert.Equal(t, events, 1)
}
