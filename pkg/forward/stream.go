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
	// silencePart of the objective is how long a repeatable request waits for the first byte of an answer beyond the
	// usual time and the expected queue before another upstream is tried: enough is left to be on time there.
	silencePart = 0.4
	// pausePart of the pause objective is how long a resumable stream may be silent before it goes on elsewhere.
	pausePart = 0.5
	// silenceShare of the answers of the last ten seconds, and silenceReserve without any, may be asked for again because an
	// upstream is silent. When upstreams are full, silence is their queue, and each request that leaves one queue for
	// another's end makes the others longer: on a grown site a sixth of the sends did so in a burst, and most were late.
	// Replicas that go dark need little more, since they are ejected after three failures.
	silenceShare, silenceReserve = 0.04, 4
	// leastSilence keeps a busy node from taking its own delays for silence of an upstream.
	leastSilence = 120 * time.Millisecond
	// maxEventBytes bounds an event that has not ended.
	maxEventBytes = 1 << 20
)

// silenceTimer ends an attempt of a request that may be repeated when its upstream gives nothing for too long.
type silenceTimer struct {
	timer *time.Timer
	pause time.Duration
}

// Stop ends the watch.
func (s *silenceTimer) Stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// heard starts the wait for the next event.
func (s *silenceTimer) heard() {
	switch {
	case s.timer == nil:
	case s.pause > 0:
		s.timer.Reset(s.pause)
	default:
		s.timer.Stop()
	}
}

// watchSilence starts the wait for the first byte. Requests that can't go on elsewhere are never given up for silence.
func (x *exchange) watchSilence(choice dispatch.Choice, cancel context.CancelCauseFunc) *silenceTimer {
	if x.lastAttempt() {
		return &silenceTimer{}
	}
	first := x.o.Placer.FirstEvent(x.service)
	wait := max(leastSilence, time.Duration(silencePart*float64(x.route.Objective))) + first + choice.Wait
	if choice.Free <= 0 {
		wait += x.route.Objective
	}
	s := &silenceTimer{}
	if x.route.Kind == routing.KindStream && x.route.PauseObjective > 0 {
		s.pause = max(leastSilence, time.Duration(pausePart*float64(x.route.PauseObjective)))
	}
	s.timer = time.AfterFunc(wait, func() {
		if x.mayLeave() {
			cancel(ErrSilent)
		}
	})
	return s
}

// silences bounds the requests that are sent again because of silence.
type silences struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newSilences() *silences {
	return &silences{budget: retry.NewBudget(silenceShare, silenceReserve)}
}

// mayLeave reports whether a request may leave a silent upstream, and counts it.
func (f *Forwarder) mayLeave() bool {
	f.silences.mu.Lock()
	defer f.silences.mu.Unlock()
	if f.silences.budget.Take(time.Now()) {
		return true
	}
	f.o.Metrics.count("silence_borne")
	return false
}

// answeredOne adds to what may leave silent upstreams.
func (f *Forwarder) answeredOne() {
	f.silences.mu.Lock()
	defer f.silences.mu.Unlock()
	f.silences.budget.Success(time.Now())
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// relayStream passes whole events on as they arrive, so that a stream can go on elsewhere after any of them.
func (x *exchange) relayStream(ctx context.Context, resp *http.Response, silence *silenceTimer) error {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	held := (*buffer)[:0]
	for {
		if cap(held)-len(held) < 1<<10 {
			held = append(make([]byte, 0, 2*cap(held)), held...)
		}
		n, err := resp.Body.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		if n > 0 {
			silence.heard()
			at, before := time.Now(), x.after
			rest, err := x.emit(resp, held)
			if err != nil {
				return err
			}
			x.pace.Heard(int(x.after-before), at)
			held = held[:copy(held, rest)]
		}
		switch {
		case errors.Is(err, io.EOF) && len(held) > 0:
			return Error.New("stream ended within an event")
		case errors.Is(err, io.EOF) && !x.started:
			return Error.New("stream ended without an event")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return classify(ctx, err)
		case len(held) > maxEventBytes:
			return Error.New("event longer than %d bytes", maxEventBytes)
		}
		*buffer = held[:0]
	}
}

// emit writes the whole events of held and returns the rest.
func (x *exchange) emit(resp *http.Response, held []byte) ([]byte, error) {
	end := bytes.LastIndex(held, eventstream.End)
	if end < 0 {
		return held, nil
	}
	whole := held[:end+len(eventstream.End)]
	last, err := checkOrder(whole, x.after)
	if err != nil {
		return nil, err
	}
	if !x.started {
		x.first = time.Since(x.begun)
		x.header(resp)
		x.started = true
		x.w.WriteHeader(resp.StatusCode)
	}
	x.after = last
	if _, err := x.w.Write(whole); err != nil {
		return nil, errs.Combine(errCaller, err)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return nil, errs.Combine(errCaller, err)
	}
	return held[len(whole):], nil
}

// checkOrder checks that the events follow each other without a gap after the one with the number after, or -1, and returns
// the number of the last one.
func checkOrder(events []byte, after int64) (int64, error) {
	for line := range bytes.Lines(events) {
		id, ok, err := eventstream.ID(line)
		if err == nil && ok {
			err = eventstream.Follow(after, id)
		}
		if err != nil {
			return after, err
		}
		if ok {
			after = id
		}
	}
	return after, nil
}
