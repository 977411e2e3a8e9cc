// Package engine calls model engines: whole and streamed answers, resumption of a cut stream, and cancellation.
// It implements serving.Invoker for engines and for plain services.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"
	"github.com/zeebo/errs"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/service"
	"trefoilplank.example/pkg/serving"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxResumes bounds the resumptions of one stream without a new event in between.
	maxResumes = 3
	// resumeDelay is the delay before the second resumption; it doubles and is jittered.
	resumeDelay = 50 * time.Millisecond
)

// done is the payload that ends a whole stream.
var done = []byte("[DONE]")

// Client is a serving.Invoker.
type Client struct{ http *service.Client }

var _ serving.Invoker = (*Client)(nil)

// New returns a client that makes its calls through c.
func New(c *service.Client) *Client { return &Client{http: c} }

// Do implements serving.Invoker.
func (c *Client) Do(ctx context.Context, u api.Upstream, call serving.Call) (*serving.Result, error) {
	res, err := c.http.Do(ctx, u, call)
	if err != nil || u.Kind != api.UpstreamEngine {
		return res, err
	}
	var body struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if res.Status < 300 && json.Unmarshal(res.Body, &body) != nil {
		return nil, errs.Combine(serving.ErrMismatch, service.Error.New("engine answer is not JSON"))
	}
	res.Tokens = body.Usage.CompletionTokens
	return res, nil
}

// Cancel implements serving.Invoker. A plain service learns of it by its closed connection.
func (c *Client) Cancel(ctx context.Context, u api.Upstream, requestID string) error {
	if u.Kind != api.UpstreamEngine {
		return nil
	}
	body, err := json.Marshal(map[string]string{"request_id": requestID})
	if err != nil {
		return err
	}
	// The order has an id of its own, since its answer must not be taken for that of the run.
	_, err = c.http.Do(ctx, u, serving.Call{
		RequestID: requestID + "-cancel", Method: http.MethodPost, Path: "/v1/cancel", Body: body,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	return err
}

// Stream implements serving.Invoker. When the connection is cut but the engine lives, it resumes the stream and
// hands over the events that follow. An answer other than 200 is returned as a whole without an event.
func (c *Client) Stream(ctx context.Context, u api.Upstream, call serving.Call, emit func(serving.StreamEvent) error) (*serving.Result, error) {
	s := &stream{id: call.RequestID, emit: emit, start: time.Now(), last: -1}
	a, err := c.http.Open(ctx, u, call)
	if err != nil {
		return nil, err
	}
	if a.StatusCode != http.StatusOK {
		defer a.Close()
		return c.http.Read(ctx, u, a, s.start)
	}
	return c.follow(ctx, u, s, a)
}

// follow reads the stream to its end over as many connections as it takes.
func (c *Client) follow(ctx context.Context, u api.Upstream, s *stream, a *service.Answer) (*serving.Result, error) {
	defer func() { a.Close() }()
	header := a.Header
	for {
		err := s.read(a)
		if err == nil {
			return s.result(header), nil
		}
		if ctx.Err() != nil {
			return nil, errs.Combine(serving.ErrInterrupted, context.Cause(ctx))
		}
		if s.stop != nil {
			return nil, s.stop
		}
		a.Close()
		if a, err = c.resume(ctx, u, s, err); err != nil {
			return nil, err
		}
	}
}

// resume opens the stream again. It tries a few times unless the engine turns out to have died.
func (c *Client) resume(ctx context.Context, u api.Upstream, s *stream, cause error) (*service.Answer, error) {
	if s.events > s.resumedAt {
		s.resumes = 0
	}
	s.resumedAt = s.events
	for ; s.resumes < maxResumes; s.resumes++ {
		if s.resumes > 0 {
			delay := resumeDelay << (s.resumes - 1)
			select {
			case <-time.After(delay/2 + rand.N(delay)):
			case <-ctx.Done():
				return noAnswer, errs.Combine(serving.ErrInterrupted, context.Cause(ctx))
			}
		}
		a, err := c.reopen(ctx, u, s)
		if err == nil {
			s.rewind()
			s.resumes++
			return a, nil
		}
		cause = errs.Combine(err, cause)
		if errors.Is(err, serving.ErrUpstreamDied) || ctx.Err() != nil {
			break
		}
	}
	return noAnswer, errs.Combine(serving.ErrInterrupted, cause)
}

// reopen asks for the stream from the last event that was received on, so that the overlap can be compared. When the
// overlap was equal but nothing followed before the next cut, it asks for the event after it.
func (c *Client) reopen(ctx context.Context, u api.Upstream, s *stream) (*service.Answer, error) {
	a, err := c.http.Open(ctx, u, serving.Call{
		RequestID: s.id, Method: http.MethodGet,
		Path: "/v1/streams/" + url.PathEscape(s.id) + "?offset=" + strconv.Itoa(s.resumeOffset()),
	})
	if err != nil {
		// The kind of this error is that of the resumption; the run itself has begun.
		err = service.Error.New("resume: %v", err)
		if ctx.Err() == nil && !c.http.Alive(ctx, u) {
			return nil, errs.Combine(serving.ErrUpstreamDied, err)
		}
		return nil, err
	}
	if a.StatusCode == http.StatusOK {
		return a, nil
	}
	a.Close()
	err = service.Error.New("resume answered %d", a.StatusCode)
	if a.StatusCode == http.StatusNotFound || a.StatusCode == http.StatusGone {
		// An engine that no longer knows a stream cut a moment ago has restarted in between.
		return nil, errs.Combine(serving.ErrUpstreamDied, err)
	}
	return nil, err
}

// noAnswer stands for an answer that was closed already.
var noAnswer = service.Closed()

// stream is the state of one streamed answer over all its connections.
type stream struct {
	id    string
	emit  func(serving.StreamEvent) error
	start time.Time

	// last is the offset of the last event, -1 before the first; tail holds the events at that offset.
	last   int
	tail   []string
	replay []string
	events int
	// joined is set when the events at the last offset came again and were equal.
	joined bool
	// resumes counts the resumptions since the last new event, resumedAt the events at the last one.
	resumes, resumedAt int
	first              time.Time
	latest             time.Time
	// stop is an error after which the stream must not be resumed.
	stop error
}

// resumeOffset returns the offset to resume from: that of the last event, or the one after it when the last event
// was compared already and holds text, so that no other event can have its offset.
func (s *stream) resumeOffset() int {
	if s.joined && hasText(s.tail[len(s.tail)-1]) {
		return s.last + 1
	}
	return max(s.last, 0)
}

// rewind expects the events that will come again.
func (s *stream) rewind() {
	s.replay = nil
	if s.resumeOffset() <= s.last {
		s.replay = s.tail
	}
}

// hasText reports whether the choices of an event hold at least one token.
func hasText(choices string) bool {
	var list []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	}
	if json.Unmarshal([]byte(choices), &list) != nil {
		return false
	}
	for _, c := range list {
		if c.Text != "" || c.Delta.Content != "" {
			return true
		}
	}
	return false
}

// read hands over the events of one connection; nil means that the stream is whole.
func (s *stream) read(a *service.Answer) error {
	for ev, err := range sse.Read(a.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		data := []byte(ev.Data)
		if bytes.Equal(data, done) {
			if len(s.replay) > 0 {
				s.stop = errs.Combine(serving.ErrMismatch, service.Error.New("resumed stream lacks the last event"))
				return s.stop
			}
			return nil
		}
		if ev.Type == "error" {
			s.stop = errs.Combine(serving.ErrInterrupted, service.Error.New("engine reported %s", data))
			return s.stop
		}
		if err := s.event(data); err != nil {
			s.stop = err
			return err
		}
	}
	return service.Error.New("stream ended without its end mark")
}

// chunk is what the gateway reads of an event.
type chunk struct {
	ID      string          `json:"id"`
	Offset  *int            `json:"offset"`
	Choices json.RawMessage `json:"choices"`
}

// content returns the part of an event that is the same when it is sent again; its time may differ.
func (c *chunk) content(data []byte) string {
	if c.Choices != nil {
		return string(c.Choices)
	}
	return string(data)
}

// event checks one event against the request and the events before it and hands it over.
func (s *stream) event(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return errs.Combine(serving.ErrMismatch, err)
	}
	if c.ID != s.id {
		return errs.Combine(serving.ErrMismatch, service.Error.New("chunk of request %q", c.ID))
	}
	offset := max(s.last, 0)
	if c.Offset != nil {
		offset = *c.Offset
	}
	content := c.content(data)
	if len(s.replay) > 0 {
		if offset != s.last || s.replay[0] != content {
			return errs.Combine(serving.ErrMismatch, service.Error.New("resumed stream differs at offset %d", offset))
		}
		s.replay = s.replay[1:]
		s.joined = len(s.replay) == 0
		return nil
	}
	if offset < s.last {
		return errs.Combine(serving.ErrMismatch, service.Error.New("offset %d after %d", offset, s.last))
	}
	s.joined = false
	s.latest = time.Now()
	if s.events == 0 {
		s.first = s.latest
	}
	if offset != s.last {
		s.tail = nil
	}
	s.last, s.events, s.tail = offset, s.events+1, append(s.tail, content)
	return s.emit(serving.StreamEvent{Data: data, Offset: offset})
}

func (s *stream) result(header http.Header) *serving.Result {
	r := &serving.Result{Status: http.StatusOK, Header: header, Tokens: s.events}
	if s.events > 0 {
		r.FirstToken = s.first.Sub(s.start)
	}
	if s.events > 1 {
		r.BetweenTokens = s.latest.Sub(s.first) / time.Duration(s.events-1)
	}
	return r
}
