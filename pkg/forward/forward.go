// Package forward sends callers' requests on to upstreams unchanged and brings their answers back unchanged.
//
// A request that may run more than once is sent to another upstream when one fails, and a resumable stream goes on at
// another upstream after the last whole event that the caller got. Every answer of the node itself says the truth about
// whether the request has run: 503 only when it has not and never will.
package forward

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventlog"
)

const (
	// presetDeadline is the time given to a request that names none, on a route without a timeout.
	presetDeadline = 10 * time.Second
	// maxSends bounds the upstreams that refuse one request before it is refused itself.
	maxSends = 4
	// notReadyRetry is the Retry-After of a node that knows no configuration yet; watches answer in milliseconds.
	notReadyRetry = 300 * time.Millisecond
	// drainRetry is the Retry-After of a node that is about to close: other nodes are free at once.
	drainRetry = 50 * time.Millisecond
	// longRun times the usual duration is how long nearly all runs take, and drainSlack what a wait for a slot and a second
	// attempt may add. A stream that was begun later than that was cut by the end of the drain.
	longRun, drainSlack = 2, time.Second
	// writeGrace is how long after a request's deadline a caller that does not read is given up.
	writeGrace = time.Second
	// returnedPart of the longest deadline seen on a route tells a first attempt from one that came back later.
	returnedPart = 0.97
	// presetBodyBytes bounds a request body while the configuration names no limit.
	presetBodyBytes = 4 << 20
	// maxBuffered is the longest answer that is read as a whole before it is sent on, so that one that breaks off can
	// be asked for again.
	maxBuffered = 256 << 10
)

// Options configures a Forwarder.
type Options struct {
	Dialect Dialect
	Placer  *placer.Placer
	Client  *Client
	// Table returns the configuration in force, or nil while none is known.
	Table func() *routing.Table
	// Batch serves the calls on batch routes.
	Batch http.Handler
	// Ask asks the hub for slots at once, and reports whether it answered in time.
	Ask func(ctx context.Context) bool
	// Draining reports whether the node takes no new callers, and Ends when it closes what is still open then; zero while it
	// does not drain.
	Draining func() bool
	Ends     func() time.Time
	Log      *eventlog.Log
	Metrics  *Metrics
}

// Forwarder is the handler of callers' requests.
type Forwarder struct {
	o         Options
	deadlines longest
	silences  *silences
}

// New returns a forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{o: o, deadlines: longest{by: map[string]time.Duration{}}, silences: newSilences()}
}

// longest keeps the longest deadline seen on each route, which is that of first attempts.
type longest struct {
	mu sync.Mutex
	by map[string]time.Duration
}

// see records a deadline and returns how much shorter it is than the longest one.
func (l *longest) see(route string, d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d > l.by[route] {
		l.by[route] = d
	}
	return l.by[route] - d
}

// exchange is one request of a caller on its way.
type exchange struct {
	*Forwarder
	w       http.ResponseWriter
	r       *http.Request
	route   *routing.Route
	service string
	request Request
	begun   time.Time
	// deadline is when the caller or the route gives the request up.
	deadline time.Time
	// used is the time that earlier attempts of the caller took.
	used time.Duration
	// ran counts the sends that may have run; refused those that did not.
	ran, refused int
	tried        []string
	// after is the number of the last event that the caller got, or -1.
	after int64
	// answered is the last failure that an upstream answered itself.
	answered *answerError
	// started is set once answer headers were written.
	started bool
	first   time.Duration
	// pace measures the attempt in progress.
	pace *placer.Pace
}

// RawPath returns the path of a request byte for byte.
func RawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// ServeHTTP forwards one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := time.Now()
	if f.o.Draining() {
		w.Header()["Connection"] = []string{"close"}
	}
	table := f.o.Table()
	if table == nil {
		f.o.Log.Notice("request refused", "request", r.Header.Get(f.o.Dialect.RequestID), "reason", "no configuration is known yet")
		Refuse(w, http.StatusServiceUnavailable, notReadyRetry)
		return
	}
	route := table.Match(r.Host, RawPath(r))
	if route == nil {
		f.o.Log.Notice("request without a route", "request", r.Header.Get(f.o.Dialect.RequestID), "host", r.Host, "version", table.Version)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if route.Kind == routing.KindBatch {
		f.o.Batch.ServeHTTP(w, r)
		return
	}
	body, status := ReadBody(w, r, table.Limits.BodyBytes)
	if status != 0 {
		f.o.Log.Notice("request body rejected", "request", r.Header.Get(f.o.Dialect.RequestID), "status", status)
		w.WriteHeader(status)
		return
	}
	x := f.exchange(w, r, route, body, begun)
	if f.closesBefore(x.service, begun) {
		f.o.Log.Notice("request refused", "request", x.request.ID, "route", route.Name, "reason", "the node closes before a usual run would end")
		f.o.Metrics.count("refused")
		Refuse(w, http.StatusServiceUnavailable, drainRetry)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.run(ctx)
}

// closesBefore reports whether the node is about to close and a run that begins now would probably be cut.
func (f *Forwarder) closesBefore(service string, now time.Time) bool {
	ends := f.o.Ends()
	return !ends.IsZero() && now.Add(longRun*f.o.Placer.Duration(service)+drainSlack).After(ends)
}

// Refuse answers that the request was not run, and when to come back.
func Refuse(w http.ResponseWriter, status int, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	w.WriteHeader(status)
}

// ReadBody reads a request body of at most limit bytes. A status other than 0 is the answer to a body that is too long or
// broke off.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int) (body []byte, status int) {
	if limit <= 0 {
		limit = presetBodyBytes
	}
	if r.ContentLength == 0 {
		return nil, 0
	}
	reader := http.MaxBytesReader(w, r.Body, int64(limit))
	var err error
	if n := r.ContentLength; n > 0 && n <= int64(limit) {
		body = make([]byte, n)
		_, err = io.ReadFull(reader, body)
	} else {
		body, err = io.ReadAll(reader)
	}
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		return body, 0
	case errors.As(err, &tooLong):
		return nil, http.StatusRequestEntityTooLarge
	}
	return nil, http.StatusBadRequest
}

func (f *Forwarder) exchange(w http.ResponseWriter, r *http.Request, route *routing.Route, body []byte, begun time.Time) *exchange {
	left := presetDeadline
	if route.Timeout > 0 {
		left = route.Timeout
	}
	var used time.Duration
	if ms, err := strconv.ParseInt(r.Header.Get(f.o.Dialect.Deadline), 10, 64); err == nil && ms > 0 {
		named := time.Duration(ms) * time.Millisecond
		used = f.deadlines.see(route.Name, named)
		left = min(left, named)
	}
	x := &exchange{
		Forwarder: f, w: w, r: r, route: route, begun: begun, deadline: begun.Add(left), used: used,
		service: route.Pick(draw(r.Header.Get(f.o.Dialect.RequestID))), after: -1,
		request: Request{
			ID: r.Header.Get(f.o.Dialect.RequestID), Method: r.Method, Host: r.Host, Target: r.RequestURI,
			Header: endToEnd(r.Header), Body: body, Once: !route.Repeatable(),
		},
	}
	if n, err := strconv.ParseInt(r.Header.Get(f.o.Dialect.LastEventID), 10, 64); err == nil {
		x.after = n
	}
	return x
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	out := maps.Clone(h)
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}

// run sends the request until it is answered, refused or given up.
func (x *exchange) run(ctx context.Context) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeGrace)) // Without it a write ends with its connection.
	for {
		choice := x.place(ctx)
		if choice.Verdict == dispatch.Refuse || choice.Verdict == dispatch.NoUpstream {
			x.refuse(choice)
			return
		}
		err := x.counted(ctx, choice)
		if err == nil {
			x.answeredOne()
			x.o.Metrics.delivered(x.route, time.Since(x.begun), x.first)
			return
		}
		if !x.again(ctx, choice, err) {
			return
		}
	}
}

// place decides where the request goes, with the hub's help when free slots are scarce.
func (x *exchange) place(ctx context.Context) dispatch.Choice {
	n := x.need()
	choice := x.o.Placer.Online(n)
	if choice.Verdict != dispatch.Ask {
		return choice
	}
	n.Answered = x.o.Ask(ctx)
	n.Asked = true
	return x.o.Placer.Online(n)
}

// counted makes an attempt and ends its place in the load, also when the answer is broken off.
func (x *exchange) counted(ctx context.Context, choice dispatch.Choice) error {
	defer x.o.Placer.End(choice.Upstream.ID)
	return x.attempt(ctx, choice)
}

func (x *exchange) need() dispatch.Need {
	passed := time.Since(x.begun) + x.used
	n := dispatch.Need{
		Service: x.service, Exclude: x.tried, First: x.ran+x.refused == 0, Objective: x.route.Objective - passed, Remaining: time.Until(x.deadline),
		Returned: float64(x.used) > (1-returnedPart)*float64(x.route.Timeout) || x.ran > 0,
	}
	if x.started {
		n.Objective = x.route.PauseObjective
	}
	return n
}

// again decides whether the request is sent once more after a failure; otherwise it ends it.
func (x *exchange) again(ctx context.Context, choice dispatch.Choice, cause error) bool {
	x.tried = append(x.tried, choice.Upstream.ID)
	notRun := errors.Is(cause, ErrNotRun)
	if notRun {
		x.refused++
	} else {
		x.ran++
	}
	x.learn(ctx, choice.Upstream.ID, cause)
	fields := []any{
		"request", x.request.ID, "route", x.route.Name, "upstream", choice.Upstream.ID, "error", cause, "ran", x.ran,
		"refused", x.refused, "after", x.after, "left_ms", time.Until(x.deadline).Milliseconds(),
	}
	errors.As(cause, &x.answered)
	x.measure(ctx, cause)
	switch {
	case x.r.Context().Err() != nil, errors.Is(cause, errCaller):
		x.o.Metrics.count("left")
		x.o.Log.Routine("caller left", fields...)
		x.abort()
		return false
	case ctx.Err() != nil:
		x.o.Log.Notice("request out of time", fields...)
		x.fail(http.StatusGatewayTimeout)
		return false
	case x.ran > 0 && (!x.route.Repeatable() || x.ran >= max(1, x.route.MaxAttempts)), x.refused >= maxSends:
		x.o.Log.Notice("request given up", fields...)
		if x.ran > 0 {
			x.give()
		} else {
			x.refuse(dispatch.Choice{RetryAfter: notReadyRetry})
		}
		return false
	}
	x.o.Metrics.count("sent_again")
	x.o.Log.Routine("request sent again", fields...)
	return true
}

// measure ends the measuring of a failed attempt. One that its caller or the deadline ended shows no failure.
func (x *exchange) measure(ctx context.Context, cause error) {
	switch {
	case errors.Is(cause, ErrSilent):
		x.pace.Silent()
	case errors.Is(cause, ErrNotRun), errors.Is(cause, errCaller), ctx.Err() != nil:
		x.pace.Enter()
	default:
		x.pace.End(true)
	}
}

// learn tells the placement what a failure says about the upstream.
func (x *exchange) learn(ctx context.Context, upstream string, cause error) {
	var answered *answerError
	switch {
	case ctx.Err() != nil && !errors.Is(cause, ErrSilent), errors.Is(cause, errCaller):
	case errors.Is(cause, ErrFull):
		x.o.Placer.Refused(upstream)
	case errors.Is(cause, ErrUnreachable):
		x.o.Placer.Failed(upstream, true, cause)
	case errors.As(cause, &answered):
	default:
		x.o.Placer.Failed(upstream, false, cause)
	}
}

// refuse ends a request that no upstream can serve now.
func (x *exchange) refuse(choice dispatch.Choice) {
	x.o.Log.Notice("request refused", "request", x.request.ID, "route", x.route.Name, "verdict", choice.Verdict, "ran", x.ran,
		"wait_ms", choice.Wait.Milliseconds(), "free", choice.Free, "totals_age_ms", choice.TotalsAge.Milliseconds(),
		"used_ms", x.used.Milliseconds(), "retry_after_ms", choice.RetryAfter.Milliseconds())
	if x.ran > 0 {
		x.give()
		return
	}
	x.o.Metrics.count("refused")
	Refuse(x.w, http.StatusServiceUnavailable, choice.RetryAfter)
}

// give ends a request that ran without success: with the upstream's own answer if there is one.
func (x *exchange) give() {
	if x.answered != nil && !x.started {
		x.deliver(x.answered.response, x.answered.body)
		return
	}
	x.fail(http.StatusBadGateway)
}

// fail ends a request that may have run with a status that promises nothing, or breaks an answer that has begun.
func (x *exchange) fail(status int) {
	x.o.Metrics.count("failed")
	if x.started {
		x.abort()
	}
	x.w.WriteHeader(status)
}

// abort ends the connection, so that a part of an answer does not look complete.
func (x *exchange) abort() { panic(http.ErrAbortHandler) }

// attempt sends the request to one upstream and delivers its answer.
func (x *exchange) attempt(ctx context.Context, choice dispatch.Choice) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := x.watchSilence(choice, cancel)
	defer silence.Stop()
	sent := time.Now()
	x.pace = x.o.Placer.Pace(choice.Upstream.ID, choice.Free <= 0)
	resp, err := x.o.Client.Send(ctx, choice.Upstream, &x.request, time.Until(x.deadline), x.resumeAfter())
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	x.o.Placer.Answered(choice.Upstream.ID, x.o.Client.Busy(resp.Header))
	if resp.StatusCode >= 500 || promises(resp.StatusCode) {
		return x.answeredFailure(ctx, resp)
	}
	switch {
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") && resp.StatusCode == http.StatusOK:
		err = x.relayStream(ctx, resp, silence)
	case x.started:
		err = Error.New("upstream answered a resumed stream with status %d", resp.StatusCode)
	default:
		err = x.relayWhole(ctx, resp)
	}
	if err == nil {
		first := x.first
		if first == 0 {
			first = time.Since(sent)
			x.pace.Heard(1, time.Now())
		}
		x.pace.End(false)
		x.o.Placer.Finished(x.service, first, time.Since(sent), choice.Free <= 0 || x.ran > 0)
		x.o.Log.Routine("request answered", "request", x.request.ID, "route", x.route.Name, "upstream", choice.Upstream.ID,
			"status", resp.StatusCode, "free", choice.Free, "granted", choice.Granted, "totals_age_ms", choice.TotalsAge.Milliseconds(),
			"first_ms", first.Milliseconds(), "total_ms", time.Since(x.begun).Milliseconds(), "ran", x.ran+1)
	}
	return err
}

// draw maps a request id to [0, 1), so that a split is the same on all nodes.
func draw(id string) float64 {
	const bits = 53
	return float64(xxh3.HashString(id)>>(64-bits)) / (1 << bits)
}
