package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/service"
	"trefoilplank.example/pkg/serving"
)

// importTimeout bounds the transfer of a KV state to an engine, since the slot counts as occupied meanwhile. The
// largest state kept, 8 MiB, takes 7 ms at 10 Gbit/s and 70 ms at 1 Gbit/s.
const importTimeout = 100 * time.Millisecond

var _ serving.Resumer = (*Client)(nil)

// Export implements serving.Resumer. It fetches the KV state of a run from its engine.
func (c *Client) Export(ctx context.Context, u api.Upstream, requestID string) ([]byte, error) {
	body, err := json.Marshal(map[string]string{"request_id": requestID})
	if err != nil {
		return nil, err
	}
	res, err := c.http.Do(ctx, u, serving.Call{
		RequestID: requestID + "-export", Method: http.MethodPost, Path: "/kv/export", Body: body,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		return nil, err
	}
	if res.Status != http.StatusOK || len(res.Body) == 0 {
		return nil, service.Error.New("export answered %d with %d bytes", res.Status, len(res.Body))
	}
	return res.Body, nil
}

// Resume implements serving.Resumer. It imports the KV state, requests the stream from the last received event on and
// compares the repetition of that event, as after a broken connection, so that the state of another run can't
// continue this one.
func (c *Client) Resume(ctx context.Context, u api.Upstream, call serving.Call, state []byte, tail []serving.StreamEvent, emit func(serving.StreamEvent) error) (*serving.Result, error) {
	s := &stream{id: call.RequestID, emit: emit, start: time.Now(), lastOffset: -1}
	for _, e := range tail {
		var fields eventFields
		if err := json.Unmarshal(e.Data, &fields); err != nil {
			return nil, errs.Combine(serving.ErrNotResumed, err)
		}
		s.lastOffset, s.lastEvents = e.Offset, append(s.lastEvents, fields.content(e.Data))
	}
	if err := c.importState(ctx, u, call, state); err != nil {
		return nil, err
	}
	a, err := c.reopenWithRetry(ctx, u, s, nil)
	if err != nil {
		return nil, err
	}
	res, err := c.readWithResumes(ctx, u, s, a)
	if errors.Is(err, serving.ErrMismatch) {
		// A mismatch means that the state belongs to another run or that the import was faulty.
		return nil, errs.Combine(serving.ErrNotResumed, err)
	}
	return res, err
}

// importState uploads the KV state. Its errors match serving.ErrNotResumed when the engine refused the state or may
// have begun the run.
func (c *Client) importState(ctx context.Context, u api.Upstream, call serving.Call, state []byte) error {
	timed, stop := context.WithTimeout(ctx, importTimeout)
	defer stop()
	res, err := c.http.Do(timed, u, serving.Call{
		RequestID: call.RequestID + "-import", CustomID: call.CustomID, IdempotencyKey: call.IdempotencyKey, Method: http.MethodPost, Path: "/kv/import",
		Body: state, Header: http.Header{"Content-Type": {"application/json"}},
	})
	switch {
	case err == nil && res.Status < http.StatusMultipleChoices:
		return nil
	case err == nil:
		return errs.Combine(serving.ErrNotResumed, service.Error.New("import answered %d: %s", res.Status, strings.TrimSpace(string(res.Body))))
	case ctx.Err() != nil, errors.Is(err, serving.ErrNotStarted), errors.Is(err, serving.ErrUpstreamCrashed):
		return err
	}
	// The engine may have begun the run although its response was lost.
	return errs.Combine(serving.ErrNotResumed, err)
}
