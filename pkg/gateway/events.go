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

// eventWriter passes the events of a streamed answer to the caller. The status line goes out with the first
// event, so that a failure before it still gets an error answer or a retry.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// stall bounds the time for one event.
	stall time.Duration
	// passed holds a hash of each event that was passed on, replayed the number of those that the present run
	// has sent again.
	passed   []uint64
	replayed int
	// diverged is set when a further run can't be joined to what was passed on.
	diverged bool
}

func newEventWriter(w http.ResponseWriter, stall time.Duration) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), stall: stall}
}

func (e *eventWriter) started() bool { return len(e.passed) > 0 }

// restart begins another run of the request. Its events are dropped as long as they are equal to those passed on.
func (e *eventWriter) restart() { e.replayed = 0 }

// errDiverged ends a run whose events differ from those that an earlier run passed on.
var errDiverged = errors.New("the answer of another upstream differs from the part that was passed on")

// emit writes one event and flushes it.
func (e *eventWriter) emit(ev serving.StreamEvent) error {
	hash := contentHash(ev)
	if e.replayed < len(e.passed) {
		if e.passed[e.replayed] != hash {
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
	e.passed = append(e.passed, hash)
	e.replayed++
	return e.write("", ev.Data)
}

// contentHash covers the offset and the choices of an event; its time may differ between runs.
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

// complete reports whether the present run has reached the events passed on before.
func (e *eventWriter) complete() bool { return e.replayed == len(e.passed) }

// finish writes the end mark of a whole stream.
func (e *eventWriter) finish() {
	if !e.started() {
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
