package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"trefoilplank.example/pkg/decision/dispatch"
	decision "trefoilplank.example/pkg/decision/failedruns"
)

// works returns what a run of the request can be blamed for.
func (x *exchange) works() decision.Works {
	if x.cachedWorks == nil {
		w := x.options.Client.Works(&x.request, x.service)
		x.cachedWorks = &w
	}
	return *x.cachedWorks
}

// partsSurvived records that the upstream of the attempt in progress began to write an answer on the request's prompt.
func (x *exchange) partsSurvived() {
	if !x.beganWriting {
		x.beganWriting = true
		x.options.FailedRuns.PartsSurvived(x.works().Parts)
	}
}

// recordBrokenRun records a run that ended without an answer, since the request may have crashed the upstream. It waits
// until other nodes know of a crash, so that it counts before the request is sent again by any node.
func (x *exchange) recordBrokenRun(ctx context.Context, u dispatch.Upstream, cause error) {
	works := x.works()
	if x.beganWriting {
		works.Parts = nil
	}
	switch {
	case errors.Is(cause, ErrOwnConnection):
	case errors.Is(cause, ErrUnresponsive):
		x.options.FailedRuns.Silent(works, u, x.attemptStarted)
	case ctx.Err() == nil && BrokeOff(cause):
		x.options.FailedRuns.Broken(ctx, works, u, x.attemptStarted)
	}
}

// mayTry reports whether a quarantined request may run now, as the trial that ends its quarantine if the upstream survives.
func (x *exchange) mayTry(ctx context.Context) bool {
	if x.ran > 0 {
		return false
	}
	x.alone = x.alone || x.options.FailedRuns.TryTrial(ctx, x.works())
	return x.alone
}

// refuseQuarantined refuses a request under which upstreams have crashed. If an earlier attempt may have run, it
// responds with that failure instead.
func (x *exchange) refuseQuarantined(left time.Duration) {
	x.options.Log.Notice("request refused", "request", x.request.ID, "fingerprint", x.request.Fingerprint(), "route", x.route.Name,
		"reason", "quarantined, since upstreams crashed or broke off while they ran it", "ran", x.ran, "left_ms", left.Milliseconds())
	if x.ran > 0 {
		x.respondWithFailure()
		return
	}
	x.options.Metrics.countOutcome("quarantined")
	Refuse(x.w, http.StatusServiceUnavailable, min(left, x.options.FailedRuns.ComeBackIn(x.works())))
}
