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

	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/retry"
	"trefoilplank.example/pkg/decision/routing"
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
	// silenceRetryRatio of the responses of the last ten seconds, plus silenceRetryReserve, is how many requests may
	// be sent again because an upstream is silent. When upstreams are full they are silent because requests queue
	// there, and each request that moves to the end of another queue makes that queue longer: in a burst on a large
	// deployment a sixth of the attempts were such moves, and most were late. Replicas that stop responding need few
	// retries, since they are ejected after three failures.
	silenceRetryRatio, silenceRetryReserve = 0.04, 4
	// minSilence keeps delays of a busy node itself from being taken for a silent upstream.
	minSilence = 120 * time.Millisecond
	// maxEventBytes limits the size of an incomplete event.
	maxEventBytes = 1 << 20
)

// silenceTimer cancels an attempt of a repeatable request when its upstream sends no data for too long. pause is the
// limit between events, or 0 for none.
type silenceTimer struct {
	timer *time.Timer
	pause time.Duration
}

// Stop stops the timer; the attempt is no longer cancelled for silence.
func (s *silenceTimer) Stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// dataReceived restarts the timer for the next event, or stops it if pauses are not limited.
func (s *silenceTimer) dataReceived() {
	switch {
	case s.timer == nil:
	case s.pause > 0:
		s.timer.Reset(s.pause)
	default:
		s.timer.Stop()
	}
}

// startSilenceTimer starts the timer for the first byte. On the last attempt of a request it returns a timer that
// never fires.
func (x *exchange) startSilenceTimer(choice dispatch.Choice, cancel context.CancelCauseFunc) *silenceTimer {
	if x.lastAttempt() {
		return &silenceTimer{}
	}
	first := x.options.Placer.FirstEvent(x.service)
	wait := max(minSilence, time.Duration(firstByteFraction*float64(x.route.Objective))) + first + choice.Wait
	if choice.Free <= 0 {
		wait += x.route.Objective
	}
	s := &silenceTimer{}
	if x.route.Kind == routing.KindStream && x.route.PauseObjective > 0 {
		s.pause = max(minSilence, time.Duration(pauseFraction*float64(x.route.PauseObjective)))
	}
	s.timer = time.AfterFunc(wait, func() {
		if x.takeSilenceRetry() {
			cancel(ErrSilent)
		}
	})
	return s
}

// silenceRetries limits how many requests are sent again because of a silent upstream.
type silenceRetries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newSilenceRetries() *silenceRetries {
	return &silenceRetries{budget: retry.NewBudget(silenceRetryRatio, silenceRetryReserve)}
}

// takeSilenceRetry reports whether a request may be sent again because its upstream is silent, and takes it from the
// budget.
func (f *Forwarder) takeSilenceRetry() bool {
	f.silenceRetries.mu.Lock()
	defer f.silenceRetries.mu.Unlock()
	if f.silenceRetries.budget.Take(time.Now()) {
		return true
	}
	f.options.Metrics.countOutcome("silence_borne")
	return false
}

// countResponse adds a relayed response to the budget of silence retries.
func (f *Forwarder) countResponse() {
	f.silenceRetries.mu.Lock()
	defer f.silenceRetries.mu.Unlock()
	f.silenceRetries.budget.Success(time.Now())
}

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// relayStream relays complete events as they arrive, so that the stream can continue at another upstream after any of
// them.
func (x *exchange) relayStream(ctx context.Context, resp *http.Response, silence *silenceTimer) error {
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	buffered := (*buffer)[:0]
	for {
		if cap(buffered)-len(buffered) < 1<<10 {
			buffered = append(make([]byte, 0, 2*cap(buffered)), buffered...)
		}
		n, err := resp.Body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if n > 0 {
			silence.dataReceived()
			at, before := time.Now(), x.lastEvent
			rest, err := x.relayEvents(resp, buffered)
			if err != nil {
				return err
			}
			x.measurement.RecordEvents(int(x.lastEvent-before), at)
			buffered = buffered[:copy(buffered, rest)]
		}
		switch {
		case errors.Is(err, io.EOF) && len(buffered) > 0:
			return Error.New("stream ended within an event")
		case errors.Is(err, io.EOF) && !x.headersSent:
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

// relayEvents writes the complete events of data to the caller and returns the remaining bytes.
func (x *exchange) relayEvents(resp *http.Response, data []byte) ([]byte, error) {
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
