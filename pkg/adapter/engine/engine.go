// Package engine implements serving.Invoker for model engines and plain services: complete and streamed responses,
// resumption of an interrupted stream, and cancellation.
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
	// maxEventBytes bounds the size of one event in a stream.
	maxEventBytes = 1 << 20
	// maxResumes bounds consecutive resumptions of one stream without a new event in between.
	maxResumes = 3
	// resumeDelay is the delay before the second consecutive resumption; it doubles each time and is jittered.
	resumeDelay = 50 * time.Millisecond
)

// doneMarker is the payload of the event that ends a complete stream.
var doneMarker = []byte("[DONE]")

// Client makes calls to engines and plain services. It implements serving.Invoker and serving.Resumer.
type Client struct{ http *service.Client }

var _ serving.Invoker = (*Client)(nil)

// New returns a client that makes its calls through c.
func New(c *service.Client) *Client { return &Client{http: c} }

// Do implements serving.Invoker. An engine's successful response must be JSON; its token count is read from it.
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

// Cancel implements serving.Invoker. It sends nothing to a plain service, which notices the closed connection.
func (c *Client) Cancel(ctx context.Context, u api.Upstream, requestID string) error {
	if u.Kind != api.UpstreamEngine {
		return nil
	}
	body, err := json.Marshal(map[string]string{"request_id": requestID})
	if err != nil {
		return err
	}
	// The cancel request has its own request id, so that its response is not matched to the cancelled run.
	_, err = c.http.Do(ctx, u, serving.Call{
		RequestID: requestID + "-cancel", Method: http.MethodPost, Path: "/v1/cancel", Body: body,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	return err
}

// Stream implements serving.Invoker. When the connection breaks but the engine is still alive, it resumes the stream
// and emits the events that follow. A response with a status other than 200 is returned as a result, without events.
func (c *Client) Stream(ctx context.Context, u api.Upstream, call serving.Call, emit func(serving.StreamEvent) error) (*serving.Result, error) {
	s := &stream{id: call.RequestID, emit: emit, start: time.Now(), lastOffset: -1}
	a, err := c.http.Open(ctx, u, call)
	if err != nil {
		return nil, err
	}
	if a.StatusCode != http.StatusOK {
		defer a.Close()
		return c.http.Read(ctx, u, a, s.start)
	}
	return c.readWithResumes(ctx, u, s, a)
}

// readWithResumes reads the stream to its end and resumes it on a new connection after each break.
func (c *Client) readWithResumes(ctx context.Context, u api.Upstream, s *stream, a *service.Answer) (*serving.Result, error) {
	defer func() { a.Close() }()
	header := a.Header
	for {
		err := s.readEvents(a)
		if err == nil {
			return s.result(header), nil
		}
		if ctx.Err() != nil {
			return nil, errs.Combine(serving.ErrInterrupted, context.Cause(ctx))
		}
		if s.fatal != nil {
			return nil, s.fatal
		}
		a.Close()
		if a, err = c.reopenWithRetry(ctx, u, s, err); err != nil {
			return nil, err
		}
	}
}

// reopenWithRetry opens the stream again after it broke with cause. It tries up to maxResumes times, or until the
// engine is found to have crashed.
func (c *Client) reopenWithRetry(ctx context.Context, u api.Upstream, s *stream, cause error) (*service.Answer, error) {
	if s.eventCount > s.eventsAtResume {
		s.resumes = 0
	}
	s.eventsAtResume = s.eventCount
	for ; s.resumes < maxResumes; s.resumes++ {
		if s.resumes > 0 {
			delay := resumeDelay << (s.resumes - 1)
			select {
			case <-time.After(delay/2 + rand.N(delay)):
			case <-ctx.Done():
				return closedAnswer, errs.Combine(serving.ErrInterrupted, context.Cause(ctx))
			}
		}
		a, err := c.reopen(ctx, u, s)
		if err == nil {
			s.expectRepeats()
			s.resumes++
			return a, nil
		}
		cause = errs.Combine(err, cause)
		if errors.Is(err, serving.ErrUpstreamCrashed) || ctx.Err() != nil {
			break
		}
	}
	return closedAnswer, errs.Combine(serving.ErrInterrupted, cause)
}

// reopen requests the stream from the last received event on, so that the engine's repetition of it can be compared.
// When the repetition matched but the connection broke again before a new event, it requests the event after it.
func (c *Client) reopen(ctx context.Context, u api.Upstream, s *stream) (*service.Answer, error) {
	a, err := c.http.Open(ctx, u, serving.Call{
		RequestID: s.id, Method: http.MethodGet,
		Path: "/v1/streams/" + url.PathEscape(s.id) + "?offset=" + strconv.Itoa(s.resumeOffset()),
	})
	if err != nil {
		// The error is not wrapped: it may match serving.ErrNotStarted, which holds for this request but not for the
		// run, which has begun.
		err = service.Error.New("resume: %v", err)
		if ctx.Err() == nil && !c.http.Alive(ctx, u) {
			return nil, errs.Combine(serving.ErrUpstreamCrashed, err)
		}
		return nil, err
	}
	if a.StatusCode == http.StatusOK {
		return a, nil
	}
	a.Close()
	err = service.Error.New("resume answered %d", a.StatusCode)
	if a.StatusCode == http.StatusNotFound || a.StatusCode == http.StatusGone {
		// An engine that no longer knows a stream that broke a moment ago has restarted in between.
		return nil, errs.Combine(serving.ErrUpstreamCrashed, err)
	}
	return nil, err
}

// closedAnswer is returned with an error, so that the caller can close the answer in every case.
var closedAnswer = service.ClosedAnswer()

// stream is the state of one streamed response across all its connections.
type stream struct {
	id    string
	emit  func(serving.StreamEvent) error
	start time.Time

	// lastOffset is the offset of the last event, -1 before the first; lastEvents holds the contents of the events at
	// that offset.
	lastOffset int
	lastEvents []string
	// expectedRepeats holds the contents that the resumed stream must repeat before its first new event.
	expectedRepeats []string
	// eventCount counts the events that were emitted.
	eventCount int
	// repeatMatched is set when a resumed stream has repeated all events at the last offset unchanged.
	repeatMatched bool
	// resumes counts the resumptions since the last new event; eventsAtResume is eventCount at the last resumption.
	resumes, eventsAtResume int
	// firstAt and latestAt are the arrival times of the first and the last event.
	firstAt  time.Time
	latestAt time.Time
	// fatal is an error after which the stream must not be resumed.
	fatal error
}

// resumeOffset returns the offset to resume from. This is the offset of the last event, or the next one when a
// repetition of the last event matched already and the event holds text, so that no later event shares its offset.
func (s *stream) resumeOffset() int {
	if s.repeatMatched && hasText(s.lastEvents[len(s.lastEvents)-1]) {
		return s.lastOffset + 1
	}
	return max(s.lastOffset, 0)
}

// expectRepeats sets the events that the next connection must repeat.
func (s *stream) expectRepeats() {
	s.expectedRepeats = nil
	if s.resumeOffset() <= s.lastOffset {
		s.expectedRepeats = s.lastEvents
	}
}

// hasText reports whether the choices of an event contain at least one token.
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

// readEvents emits the events of one connection. It returns nil when the stream is complete.
func (s *stream) readEvents(a *service.Answer) error {
	for ev, err := range sse.Read(a.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		data := []byte(ev.Data)
		if bytes.Equal(data, doneMarker) {
			if len(s.expectedRepeats) > 0 {
				s.fatal = errs.Combine(serving.ErrMismatch, service.Error.New("resumed stream lacks the last event"))
				return s.fatal
			}
			return nil
		}
		if ev.Type == "error" {
			s.fatal = errs.Combine(serving.ErrInterrupted, service.Error.New("engine reported %s", data))
			return s.fatal
		}
		if err := s.handleEvent(data); err != nil {
			s.fatal = err
			return err
		}
	}
	return service.Error.New("stream ended without its end mark")
}

// eventFields holds the fields of an event that identify it and its content.
type eventFields struct {
	ID      string          `json:"id"`
	Offset  *int            `json:"offset"`
	Choices json.RawMessage `json:"choices"`
}

// content returns the part of an event that must be equal when the engine repeats it: the choices, since the
// timestamp may differ, or the whole event when it has none.
func (f *eventFields) content(data []byte) string {
	if f.Choices != nil {
		return string(f.Choices)
	}
	return string(data)
}

// handleEvent checks one event against the request and the events before it, and emits it unless it is a repetition.
func (s *stream) handleEvent(data []byte) error {
	var fields eventFields
	if err := json.Unmarshal(data, &fields); err != nil {
		return errs.Combine(serving.ErrMismatch, err)
	}
	if fields.ID != s.id {
		return errs.Combine(serving.ErrMismatch, service.Error.New("chunk of request %q", fields.ID))
	}
	offset := max(s.lastOffset, 0)
	if fields.Offset != nil {
		offset = *fields.Offset
	}
	content := fields.content(data)
	if len(s.expectedRepeats) > 0 {
		if offset != s.lastOffset || s.expectedRepeats[0] != content {
			return errs.Combine(serving.ErrMismatch, service.Error.New("resumed stream differs at offset %d", offset))
		}
		s.expectedRepeats = s.expectedRepeats[1:]
		s.repeatMatched = len(s.expectedRepeats) == 0
		return nil
	}
	if offset < s.lastOffset {
		return errs.Combine(serving.ErrMismatch, service.Error.New("offset %d after %d", offset, s.lastOffset))
	}
	s.repeatMatched = false
	s.latestAt = time.Now()
	if s.eventCount == 0 {
		s.firstAt = s.latestAt
	}
	if offset != s.lastOffset {
		s.lastEvents = nil
	}
	s.lastOffset, s.eventCount, s.lastEvents = offset, s.eventCount+1, append(s.lastEvents, content)
	return s.emit(serving.StreamEvent{Data: data, Offset: offset})
}

// result returns the result of a complete stream with its times and its number of events as tokens.
func (s *stream) result(header http.Header) *serving.Result {
	r := &serving.Result{Status: http.StatusOK, Header: header, Tokens: s.eventCount}
	if s.eventCount > 0 {
		r.FirstToken = s.firstAt.Sub(s.start)
	}
	if s.eventCount > 1 {
		r.BetweenTokens = s.latestAt.Sub(s.firstAt) / time.Duration(s.eventCount-1)
	}
	return r
}
