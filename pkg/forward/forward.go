// Package forward sends callers' requests to upstreams unchanged and relays the responses unchanged.
//
// A request that may run more than once is sent to another upstream when one fails, and a resumable stream continues
// at another upstream after the last complete event that was sent to the caller. Every status that the node itself
// sends says correctly whether the request ran: it sends 503 only when the request has not run and never will.
package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"trefoilplank.example/pkg/controller/customers"
	"trefoilplank.example/pkg/controller/drain"
	"trefoilplank.example/pkg/controller/failedruns"
	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/controller/streamversions"
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/decision/dispatch"
	drainplan "trefoilplank.example/pkg/decision/drain"
	decision "trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventlog"
)

const (
	// defaultDeadline is the time given to a request without a deadline header, on a route without a timeout.
	defaultDeadline = 10 * time.Second
	// maxRefusals is how many attempts of a request may be refused by upstreams before the node refuses the request.
	maxRefusals = 4
	// notReadyRetry is the Retry-After of a node that has no configuration yet; store watches deliver one within
	// milliseconds.
	notReadyRetry = 300 * time.Millisecond
	// noRoomRetry is the Retry-After of a node that gave up a request body since it needed the room.
	noRoomRetry = 300 * time.Millisecond
	// writeGrace is how long after a request's deadline writes to a caller that does not read are still allowed.
	writeGrace = time.Second
	// repeatDeadlineFraction of the longest deadline seen on a route separates first attempts from repeated ones,
	// which announce a shorter deadline.
	repeatDeadlineFraction = 0.97
	// defaultBodyBytes limits a request body when the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// maxBufferedBytes limits the responses that are read completely before they are relayed, so that one that breaks
	// off can be requested again.
	maxBufferedBytes = 256 << 10
)

// Options configures a Forwarder.
type Options struct {
	HeaderNames HeaderNames
	Placer      *placer.Placer
	Client      *Client
	// FailedRuns holds the failed runs of all nodes; nil if they are not recorded.
	FailedRuns *failedruns.Controller
	// Streams tells the software versions at which streams began; nil if they are not known.
	Streams *streamversions.Controller
	// Table returns the routes in force, or nil before a configuration is known.
	Table func() *routing.Table
	// Customers checks the keys of requests; nil if there are no customers. CustomerMetrics counts their requests.
	Customers       *customers.Checker
	CustomerMetrics *customers.Metrics
	// Limiter limits the requests of customers; nil if there are no limits.
	Limiter Limiter
	// BatchHandler serves the requests on batch routes.
	BatchHandler http.Handler
	// AwaitUpstreams waits until the list of upstreams can be relied on, if the process did not run for a while; nil if it always can.
	AwaitUpstreams func(ctx context.Context)
	// RequestSlots asks the hub for slots immediately, and reports whether it answered in time.
	RequestSlots func(ctx context.Context) bool
	// Draining reports whether the node is draining. DrainPlan returns the schedule of the drain, or the zero plan while it does not
	// drain.
	Draining  func() bool
	DrainPlan func() drainplan.Plan
	Log       *eventlog.Log
	Metrics   *Metrics
}

// Forwarder is the HTTP handler of callers' requests.
type Forwarder struct {
	options        Options
	deadlines      longestDeadlines
	timeoutRetries *timeoutRetries
}

// New returns a forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{options: o, deadlines: longestDeadlines{byRoute: map[string]time.Duration{}}, timeoutRetries: newTimeoutRetries()}
}

// exchange is the state of one caller's request while it is forwarded.
type exchange struct {
	*Forwarder
	w        http.ResponseWriter
	r        *http.Request
	route    *routing.Route
	service  string
	request  Request
	caller   customers.Caller
	received time.Time
	// deadline is when the caller or the route stops waiting.
	deadline time.Time
	// earlierAttempts is the time that the caller spent on earlier attempts, estimated from its deadline.
	earlierAttempts time.Duration
	// ran counts the attempts that may have run; refused counts those that did not. mayHaveRun is set once an upstream may have run the
	// request.
	ran, refused int
	mayHaveRun   bool
	tried        []string
	// lastEvent is the number of the last event that was sent to the caller, or -1.
	lastEvent int64
	// stream is the ID of the request that brought the first event of the stream: this one's, or the one that it resumes.
	// resumed is set in the latter case.
	stream  string
	resumed bool
	// version is the software version of the upstream that began the stream, or nil before the first event.
	version *string
	// lastFailure is the last error response that an upstream returned.
	lastFailure *failureResponse
	// alone is set for the trial of a quarantined request, which needs an upstream that runs nothing else.
	alone bool
	// headersSent is set once the response headers were written to the caller.
	headersSent      bool
	timeToFirstEvent time.Duration
	// attemptStarted is when the attempt in progress was sent. beganWriting is set once its upstream went on after the first
	// event.
	attemptStarted time.Time
	beganWriting   bool
	// cachedWorks are what a run of the request can be blamed for, or nil before they are needed.
	cachedWorks *decision.Works
	// measurement collects the timing of the attempt in progress, for the detection of slow upstreams.
	measurement *placer.RunMeasurement
}

// RawPath returns the path of a request exactly as the caller sent it.
func RawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// ServeHTTP forwards a request to an upstream and relays the response.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if f.options.Draining() {
		w.Header()["Connection"] = []string{"close"}
	}
	table := f.options.Table()
	if table == nil {
		f.options.Log.Notice("request refused", "request", r.Header.Get(f.options.HeaderNames.RequestID), "reason", "no configuration received yet")
		Refuse(w, http.StatusServiceUnavailable, notReadyRetry)
		return
	}
	route := table.Match(r.Host, RawPath(r))
	if route == nil {
		f.options.Log.Notice("no route for request", "request", r.Header.Get(f.options.HeaderNames.RequestID), "host", r.Host, "version", table.Version)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if route.Kind == routing.KindBatch {
		f.options.BatchHandler.ServeHTTP(w, r)
		return
	}
	// A caller without a valid key is refused before the node reads the body.
	if _, refusal := f.options.Customers.Identify(r.Header, route.Public); refusal.Status != 0 {
		f.refuseCaller(w, r, route, refusal)
		return
	}
	if !f.admits(r.Header.Get(f.options.HeaderNames.RequestID), route, received.Add(f.timeLeft(r, route)), "") {
		f.RefuseDraining(w)
		return
	}
	body, status := ReadBody(w, r, table.Limits.BodyBytes)
	if status != 0 {
		f.options.Log.Notice("request body rejected", "request", r.Header.Get(f.options.HeaderNames.RequestID), "status", status)
		w.WriteHeader(status)
		return
	}
	caller, refusal := f.options.Customers.Identify(r.Header, route.Public)
	if refusal.Status != 0 {
		f.refuseCaller(w, r, route, refusal)
		return
	}
	x := f.newExchange(w, r, route, body, received)
	x.setCaller(caller)
	if !f.admits(x.request.ID, route, x.deadline, x.service) {
		f.RefuseDraining(w)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	if x.takeLimit(ctx) {
		defer x.returnLimit()
		x.run(ctx)
	}
}

// announced returns how long the caller says that it waits, or 0 if it does not say.
func (f *Forwarder) announced(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(f.options.HeaderNames.Deadline), 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// timeLeft returns how long a request that has just come may take.
func (f *Forwarder) timeLeft(r *http.Request, route *routing.Route) time.Duration {
	left := defaultDeadline
	if route.Timeout > 0 {
		left = route.Timeout
	}
	if announced := f.announced(r); announced > 0 {
		return min(left, announced)
	}
	return left
}

func (f *Forwarder) newExchange(w http.ResponseWriter, r *http.Request, route *routing.Route, body []byte, received time.Time) *exchange {
	left := f.timeLeft(r, route)
	var earlierAttempts time.Duration
	if announced := f.announced(r); announced > 0 {
		earlierAttempts = f.deadlines.record(route.Name, announced)
	}
	id := r.Header.Get(f.options.HeaderNames.RequestID)
	x := &exchange{
		Forwarder: f, w: w, r: r, route: route, received: received, deadline: received.Add(left), earlierAttempts: earlierAttempts,
		lastEvent: -1, stream: id,
		request: Request{
			ID: id, Method: r.Method, Host: r.Host, Target: r.RequestURI, Header: endToEnd(r.Header), Body: body, Once: !route.Repeatable(),
		},
	}
	if n, err := strconv.ParseInt(r.Header.Get(f.options.HeaderNames.LastEventID), 10, 64); err == nil {
		x.lastEvent = n
	}
	if begun := r.Header.Get(f.options.HeaderNames.Resumes); route.Resumable && (begun != "" || x.lastEvent >= 0) {
		x.stream, x.resumed = begun, true
	}
	x.service = route.Pick(splitPoint(x.stream))
	return x
}

// run sends the request until it is answered, refused or out of attempts.
func (x *exchange) run(ctx context.Context) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeGrace)) // Without it a write blocks until the connection ends.
	if x.resumed && !x.findVersion(ctx) {
		return
	}
	for {
		if left := x.options.FailedRuns.QuarantinedFor(x.works); left > 0 && !x.mayTry(ctx) {
			x.refuseQuarantined(left)
			return
		}
		choice := x.chooseUpstream(ctx)
		if choice.Verdict == dispatch.Refuse || choice.Verdict == dispatch.NoUpstream {
			x.refuse(choice)
			return
		}
		err := x.attemptAndRelease(ctx, choice)
		if err == nil {
			x.options.CustomerMetrics.CountRequest(x.caller.Name(), "delivered")
			x.options.FailedRuns.Survived(x.works().Request)
			x.partsSurvived()
			x.countResponse()
			x.options.Metrics.observeDelivered(x.route, time.Since(x.received), x.timeToFirstEvent)
			return
		}
		if !x.shouldRetry(ctx, choice, err) {
			return
		}
	}
}

// chooseUpstream chooses the upstream for the next attempt. When free slots are scarce it first asks the hub for
// more.
func (x *exchange) chooseUpstream(ctx context.Context) dispatch.Choice {
	if x.options.AwaitUpstreams != nil {
		x.options.AwaitUpstreams(ctx)
	}
	n := x.onlineRequest()
	choice := x.options.Placer.PlaceOnline(n)
	if choice.Verdict != dispatch.Ask {
		return choice
	}
	n.HubAnswered = x.options.RequestSlots(ctx)
	n.HubAsked = true
	return x.options.Placer.PlaceOnline(n)
}

// attemptAndRelease makes an attempt and then releases its slot in placement, also when the response is aborted by a
// panic.
func (x *exchange) attemptAndRelease(ctx context.Context, choice dispatch.Choice) error {
	defer x.options.Placer.EndOnline(choice.Upstream.ID)
	return x.attempt(ctx, choice)
}

// onlineRequest describes the next attempt to placement.
func (x *exchange) onlineRequest() dispatch.OnlineRequest {
	elapsed := time.Since(x.received) + x.earlierAttempts
	n := dispatch.OnlineRequest{
		Service: x.service, Exclude: x.tried, FirstDecision: x.ran+x.refused == 0, Objective: x.route.Objective - elapsed, Remaining: time.Until(x.deadline),
		Alone: x.alone, Begins: x.route.Resumable && x.version == nil, Continues: x.version,
		Retried: float64(x.earlierAttempts) > (1-repeatDeadlineFraction)*float64(x.route.Timeout) || x.ran > 0,
	}
	if x.headersSent {
		n.Objective = x.route.PauseObjective
	}
	return n
}

// shouldRetry records a failed attempt and reports whether the request is sent again. If not, it ends the response.
func (x *exchange) shouldRetry(ctx context.Context, choice dispatch.Choice, cause error) bool {
	x.tried = append(x.tried, choice.Upstream.ID)
	notRun := errors.Is(cause, ErrNotRun)
	if notRun {
		x.refused++
	} else {
		x.ran++
		x.mayHaveRun = true
	}
	cause = x.options.Client.Attribute(ctx, choice.Upstream, cause)
	x.reportFailure(ctx, choice.Upstream.ID, cause)
	x.recordBrokenRun(ctx, choice.Upstream, cause)
	fields := []any{
		"request", x.request.ID, "fingerprint", x.request.Fingerprint(), "route", x.route.Name, "upstream", choice.Upstream.ID,
		"incarnation", choice.Upstream.Incarnation, "error", cause, "ran", x.ran, "refused", x.refused, "after", x.lastEvent, "left_ms",
		time.Until(x.deadline).Milliseconds(), "sent_ms_ago", time.Since(x.attemptStarted).Milliseconds(),
		"unheard_ms", x.options.Client.Unheard(choice.Upstream).Milliseconds(), "once", x.request.Once,
	}
	errors.As(cause, &x.lastFailure)
	x.endMeasurement(ctx, cause)
	switch {
	case errors.Is(cause, errKeyRemoved):
		x.options.Log.Notice("request not sent, since its key was removed", fields...)
		x.refuseRemoved()
		return false
	case drain.Ended(x.r.Context()) && !errors.Is(cause, errCallerGone):
		x.options.Log.Notice("request ended since the drain is over", fields...)
		x.options.Metrics.countDraining("ended")
		switch {
		case x.ran == 0 && !x.headersSent:
			x.RefuseDraining(x.w)
		case x.lastFailure != nil:
			x.respondWithFailure()
		default:
			x.fail(http.StatusGatewayTimeout)
		}
		return false
	case x.r.Context().Err() != nil, errors.Is(cause, errCallerGone):
		x.options.Metrics.countOutcome("left")
		x.options.Log.Routine("caller disconnected", fields...)
		x.abort()
		return false
	case ctx.Err() != nil:
		x.options.Log.Notice("request deadline exceeded", fields...)
		x.fail(http.StatusGatewayTimeout)
		return false
	case x.ran > 0 && (!x.route.Repeatable() || x.ran >= max(1, x.route.MaxAttempts)), x.refused >= maxRefusals,
		!notRun && !x.beganWriting && !x.options.FailedRuns.MayRepeat(x.works()):
		x.options.Log.Notice("request failed after its last attempt", fields...)
		if x.ran > 0 {
			x.respondWithFailure()
		} else {
			x.refuse(dispatch.Choice{RetryAfter: notReadyRetry})
		}
		return false
	}
	x.options.Metrics.countOutcome("sent_again")
	x.options.Log.Routine("sending request again after a failed attempt", fields...)
	return true
}

// endMeasurement ends the measurement of a failed attempt. One that was ended by its caller or its deadline does not
// count as a failure.
func (x *exchange) endMeasurement(ctx context.Context, cause error) {
	switch {
	case errors.Is(cause, ErrNotRun), errors.Is(cause, errCallerGone), errors.Is(cause, ErrOwnConnection), ctx.Err() != nil && !errors.Is(cause, ErrUnresponsive):
		x.measurement.Flush()
	case errors.Is(cause, ErrUnresponsive):
		x.measurement.RecordTimeout()
	default:
		x.measurement.RecordEnd(true)
	}
}

// reportFailure reports a failed attempt to placement, unless the failure says nothing about the upstream.
func (x *exchange) reportFailure(ctx context.Context, upstream string, cause error) {
	var failure *failureResponse
	switch {
	case ctx.Err() != nil && !errors.Is(cause, ErrUnresponsive), errors.Is(cause, errCallerGone), errors.Is(cause, errMaySound), errors.Is(cause, ErrWithdrawn), errors.Is(cause, errKeyRemoved):
	case errors.Is(cause, ErrOwnConnection):
		x.options.Metrics.countOutcome("own_connection_failed")
	case errors.Is(cause, ErrFull):
		x.options.Placer.RecordRefusal(upstream)
	case errors.Is(cause, ErrUnreachable):
		x.options.Placer.RecordFailure(upstream, true, cause)
	case errors.As(cause, &failure):
	default:
		x.options.Placer.RecordFailure(upstream, false, cause)
	}
}

// refuse responds to a request for which no upstream can be chosen now. If an earlier attempt may have run, it
// responds with that failure instead.
func (x *exchange) refuse(choice dispatch.Choice) {
	x.options.Log.Notice("request refused", "request", x.request.ID, "route", x.route.Name, "verdict", choice.Verdict, "ran", x.ran,
		"wait_ms", choice.Wait.Milliseconds(), "free", choice.Free, "totals_age_ms", choice.TotalsAge.Milliseconds(),
		"used_ms", x.earlierAttempts.Milliseconds(), "retry_after_ms", choice.RetryAfter.Milliseconds())
	if x.ran > 0 {
		x.respondWithFailure()
		return
	}
	x.options.Metrics.countOutcome("refused")
	x.options.CustomerMetrics.CountRequest(x.caller.Name(), "no_room")
	Refuse(x.w, http.StatusServiceUnavailable, choice.RetryAfter)
}

// respondWithFailure responds to a request that ran without success: with the last error response of an upstream if
// there is one.
func (x *exchange) respondWithFailure() {
	if x.lastFailure != nil && !x.headersSent {
		x.writeResponse(x.lastFailure.response, x.lastFailure.body)
		return
	}
	x.fail(http.StatusBadGateway)
}

// fail ends a request that may have run: with a status that does not claim otherwise, or by aborting a response that
// has begun.
func (x *exchange) fail(status int) {
	x.options.Metrics.countOutcome("failed")
	if x.headersSent {
		x.abort()
	}
	x.w.WriteHeader(status)
}

// abort closes the connection, so that a partial response does not look complete.
func (x *exchange) abort() { panic(http.ErrAbortHandler) }

// attempt sends the request to one upstream and relays its response.
func (x *exchange) attempt(ctx context.Context, choice dispatch.Choice) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := x.startDataTimer(choice, cancel)
	defer timer.Stop()
	sent := time.Now()
	x.attemptStarted, x.beganWriting = sent, false
	x.measurement = x.options.Placer.MeasureRun(choice.Upstream.ID, choice.Free <= 0)
	resp, err := x.options.Client.Send(uplink.OnRelayed(ctx, func() { timer.relayed.Store(true) }), choice.Upstream, &x.request, time.Until(x.deadline), x.resumeFrom())
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	x.mayHaveRun = true
	x.options.Placer.RecordAnswer(choice.Upstream.ID, x.options.Client.ReportedLoad(resp.Header))
	if resp.StatusCode >= 500 || impliesNotRun(resp.StatusCode) {
		return x.handleFailureResponse(ctx, resp)
	}
	switch {
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") && resp.StatusCode == http.StatusOK:
		err = x.relayStream(ctx, choice.Upstream, resp, timer)
	case x.headersSent:
		err = Error.New("upstream answered with status %d instead of resuming the stream", resp.StatusCode)
	default:
		err = x.relayResponse(ctx, resp)
	}
	if err == nil {
		first := x.timeToFirstEvent
		if first == 0 {
			first = time.Since(sent)
			x.measurement.RecordEvents(1, time.Now())
		}
		x.measurement.RecordEnd(false)
		x.options.Placer.RecordOnlineRun(x.service, first, time.Since(sent), choice.Free <= 0 || x.ran > 0)
		x.options.Log.Routine("request answered", "request", x.request.ID, "route", x.route.Name, "upstream", choice.Upstream.ID,
			"status", resp.StatusCode, "free", choice.Free, "granted", choice.Granted, "totals_age_ms", choice.TotalsAge.Milliseconds(),
			"resumes", x.resumes(), "version", choice.Upstream.SoftwareVersion, "relayed_by", uplink.RelayOf(resp), "first_ms", first.Milliseconds(), "total_ms", time.Since(x.received).Milliseconds(), "ran", x.ran+1)
	}
	return err
}

// splitPoint maps a request ID to [0, 1), so that all nodes choose the same service of a traffic split.
func splitPoint(id string) float64 {
	const bits = 53
	return float64(xxh3.HashString(id)>>(64-bits)) / (1 << bits)
}
