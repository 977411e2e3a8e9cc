package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// eventWriter writes the events of a streamed answer to the caller. The status line is sent with the first event, so
// that a failure before it can still be retried or answered with an error status.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// eventTimeout bounds the write of one event.
	eventTimeout time.Duration
	// sentHashes holds a hash of each event sent to the caller. replayed is how many of these events the current run
	// has produced.
	sentHashes []uint64
	replayed   int
	// diverged is set when no further run may continue the stream, since its events differ from those already sent.
	diverged bool
}

func newEventWriter(w http.ResponseWriter, eventTimeout time.Duration) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), eventTimeout: eventTimeout}
}

func (e *eventWriter) started() bool { return len(e.sentHashes) > 0 }

// beginRun prepares for another run of the request, whose events are dropped as long as they equal those already sent.
func (e *eventWriter) beginRun() { e.replayed = 0 }

// errDiverged ends a run whose events differ from those of an earlier run that were sent to the caller.
var errDiverged = errors.New("the answer of another upstream differs from the part that was passed on")

// emit writes and flushes one event, or drops it if an earlier run has sent it already.
func (e *eventWriter) emit(ev serving.StreamEvent) error {
	hash := contentHash(ev)
	if e.replayed < len(e.sentHashes) {
		if e.sentHashes[e.replayed] != hash {
			e.diverged = true
			return errDiverged
		}
		e.replayed++
		return nil
	}
	if !e.started() {
		h := e.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		e.w.WriteHeader(http.StatusOK)
	}
	e.sentHashes = append(e.sentHashes, hash)
	e.replayed++
	return e.write("", ev.Data)
}

// contentHash returns a hash of the offset and the choices of an event. Other fields, such as the creation time, may
// differ between runs.
func contentHash(ev serving.StreamEvent) uint64 {
	var chunk struct {
		Choices json.RawMessage `json:"choices"`
	}
	content := []byte(ev.Data)
	if json.Unmarshal(ev.Data, &chunk) == nil && chunk.Choices != nil {
		content = chunk.Choices
	}
	return xxh3.HashSeed(content, uint64(ev.Offset))
}

// write writes and flushes one server-sent event; event is its type, or "" for none.
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
	// Without a write deadline, a caller that reads nothing would block the write and keep its slot beyond the
	// deadline of the request.
	_ = e.control.SetWriteDeadline(time.Now().Add(e.eventTimeout))
	if _, err := e.w.Write(b.Bytes()); err != nil {
		return errCallerGone
	}
	if err := e.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errCallerGone
	}
	return nil
}

// caughtUp reports whether the current run has produced all events that were sent to the caller.
func (e *eventWriter) caughtUp() bool { return e.replayed == len(e.sentHashes) }

// writeDone ends a complete stream with the event [DONE].
func (e *eventWriter) writeDone() {
	if !e.started() {
		e.w.Header().Set("Content-Type", "text/event-stream")
	}
	_ = e.write("", []byte("[DONE]"))
	e.clearWriteDeadline()
}

// clearWriteDeadline removes the write deadline from the connection, which may serve another request.
func (e *eventWriter) clearWriteDeadline() { _ = e.control.SetWriteDeadline(time.Time{}) }

// writeError ends a stream that can't be completed with an error event instead of [DONE].
func (e *eventWriter) writeError(r *http.Request, err error) {
	var known *api.Error
	if !errors.As(err, &known) {
		known = api.Errorf(http.StatusInternalServerError, api.CodeInternal, api.Unknown, "%v", err)
	}
	out := *known
	out.RequestID = serving.RequestIDFrom(r.Context())
	body, _ := json.Marshal(out.Body())
	_ = e.write("error", body)
	e.clearWriteDeadline()
}
