package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/adapter/answers"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/retry"
	"trefoilplank.example/pkg/eventstream"
)

const (
	// firstByteFraction of the objective is how long a repeatable request waits for the first byte of a response,
	// beyond the usual time and the expected queueing, before another upstream is tried. The rest of the objective
	// lets the other upstream answer in time.
	firstByteFraction = 0.4
	// pauseFraction of the pause objective is how long a resumable stream may send nothing before it continues at
	// another upstream.
	pauseFraction = 0.5
	// timeoutRetryRatio of the responses of the last ten seconds, plus timeoutRetryReserve, is how many requests may
	// be sent again because an upstream is unresponsive. Full upstreams send no data while requests queue there, and
	// each request that moves to the end of another queue makes that queue longer: in a burst on a large deployment a
	// sixth of the attempts were such moves, and most were late. Replicas that stop responding need few retries, since
	// they are ejected after three failures.
	timeoutRetryRatio, timeoutRetryReserve = 0.04, 4
	// minDataTimeout keeps delays of a busy node itself from being taken for an unresponsive upstream.
	minDataTimeout = 120 * time.Millisecond
	// maxEventBytes limits the size of an incomplete event, and minReadBytes is the least room for a read.
	maxEventBytes, minReadBytes = 1 << 20, 1 << 10
)

// timeoutRetries limits how many requests are sent again because of an unresponsive upstream.
type timeoutRetries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newTimeoutRetries() *timeoutRetries {
	return &timeoutRetries{budget: retry.NewBudget(timeoutRetryRatio, timeoutRetryReserve)}
}

// takeTimeoutRetry reports whether a request may be sent again because its upstream is unresponsive. If so, it takes
// the retry from the budget.
func (f *Forwarder) takeTimeoutRetry() bool {
	f.timeoutRetries.mu.Lock()
	defer f.timeoutRetries.mu.Unlock()
	if f.timeoutRetries.budget.Take(time.Now()) {
		return true
	}
	f.options.Metrics.countOutcome("silence_borne")
	return false
}

// countResponse adds a relayed response to the budget of timeout retries.
func (f *Forwarder) countResponse() {
	f.timeoutRetries.mu.Lock()
	defer f.timeoutRetries.mu.Unlock()
	f.timeoutRetries.budget.RecordSuccess(time.Now())
}

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// relayStream relays complete events as they arrive, so that the stream can continue at another upstream after any of
// them.
func (x *exchange) relayStream(ctx context.Context, u dispatch.Upstream, resp *http.Response, timer *dataTimer) error {
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	buffered := (*buffer)[:0]
	wroteBefore := false // The upstream has sent an event of this attempt.
	for {
		if cap(buffered)-len(buffered) < minReadBytes {
			buffered = append(make([]byte, 0, min(2*cap(buffered), maxEventBytes+minReadBytes)), buffered...)
		}
		n, err := resp.Body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if n > 0 {
			x.options.FailedRuns.Alive(u.ID, x.attemptStarted)
			at, before := time.Now(), x.lastEvent
			rest, err := x.relayEvents(u, resp, buffered)
			if err != nil {
				return err
			}
			if len(rest) < len(buffered) { // Bytes of an event that is never completed are no progress.
				timer.eventReceived()
			}
			if wroteBefore && x.lastEvent > before || x.lastEvent > before+1 {
				x.partsSurvived()
			}
			wroteBefore = wroteBefore || x.lastEvent > before
			x.measurement.RecordEvents(int(x.lastEvent-before), at)
			buffered = buffered[:copy(buffered, rest)]
		}
		switch {
		case errors.Is(err, io.EOF) && len(buffered) > 0:
			return Error.New("stream ended within an event")
		case errors.Is(err, io.EOF) && (!x.headersSent || !wroteBefore && answers.EndsWithConnection(resp)):
			return Error.New("stream ended without a complete event")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return classify(ctx, err)
		case len(buffered) > maxEventBytes:
			return Error.New("incomplete event is longer than %d bytes", maxEventBytes)
		}
		*buffer = buffered[:0]
	}
}

// relayEvents writes the complete events of data from an upstream to the caller and returns the remaining bytes.
func (x *exchange) relayEvents(u dispatch.Upstream, resp *http.Response, data []byte) ([]byte, error) {
	end := bytes.LastIndex(data, eventstream.EventEnd)
	if end < 0 {
		return data, nil
	}
	complete := data[:end+len(eventstream.EventEnd)]
	last, err := checkOrder(complete, x.lastEvent)
	if err != nil {
		return nil, err
	}
	if !x.headersSent {
		x.begin(u)
		x.timeToFirstEvent = time.Since(x.received)
		x.copyHeaders(resp)
		x.headersSent = true
		x.w.WriteHeader(resp.StatusCode)
	}
	x.lastEvent = last
	if _, err := x.w.Write(complete); err != nil {
		return nil, errs.Combine(errCallerGone, err)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return nil, errs.Combine(errCallerGone, err)
	}
	return data[len(complete):], nil
}

// checkOrder checks that the event numbers follow lastEvent (-1 for none) without a gap, and returns the last one.
func checkOrder(events []byte, lastEvent int64) (int64, error) {
	for line := range bytes.Lines(events) {
		id, ok, err := eventstream.ID(line)
		if err == nil && ok {
			err = eventstream.CheckNext(lastEvent, id)
		}
		if err != nil {
			return lastEvent, err
		}
		if ok {
			lastEvent = id
		}
	}
	return lastEvent, nil
}
