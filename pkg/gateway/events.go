package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// eventWriter passes the events of a streamed answer to the caller. The status line goes out with the first
// event, so that a failure before it still gets an error answer or a retry.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// stall bounds the time for one event.
	stall time.Duration
	count int
}

func newEventWriter(w http.ResponseWriter, stall time.Duration) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), stall: stall}
}

func (e *eventWriter) started() bool { return e.count > 0 }

// emit writes one event and flushes it.
func (e *eventWriter) emit(ev serving.StreamEvent) error {
	if e.count == 0 {
		h := e.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		e.w.WriteHeader(http.StatusOK)
	}
	e.count++
	return e.write("", ev.Data)
}

func (e *eventWriter) write(event string, data []byte) error {
	var b bytes.Buffer
	if event != "" {
		b.WriteString("event: " + event + "\n")
	}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		b.WriteString("data: ")
		b.Write(line)
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
	// A caller that reads nothing would block the write, and keep its slot, beyond the deadline of the request.
	_ = e.control.SetWriteDeadline(time.Now().Add(e.stall))
	if _, err := e.w.Write(b.Bytes()); err != nil {
		return errCallerGone
	}
	if err := e.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errCallerGone
	}
	return nil
}

// finish writes the end mark of a whole stream.
func (e *eventWriter) finish() {
	if e.count == 0 {
		e.w.Header().Set("Content-Type", "text/event-stream")
	}
	_ = e.write("", []byte("[DONE]"))
	e.end()
}

// end takes the write deadline off the connection, which may serve another request.
func (e *eventWriter) end() { _ = e.control.SetWriteDeadline(time.Time{}) }

// fail ends a stream that can't be finished with an error record in place of the end mark.
func (e *eventWriter) fail(r *http.Request, err error) {
	var known *api.Error
	if !errors.As(err, &known) {
		known = api.Errorf(http.StatusInternalServerError, api.CodeInternal, api.Unknown, "%v", err)
	}
	out := *known
	out.RequestID = serving.RequestIDFrom(r.Context())
	body, _ := json.Marshal(out.Body())
	_ = e.write("error", body)
	e.end()
}
