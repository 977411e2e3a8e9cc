package forward

import (
	"context"
	"net/http"

	"trefoilplank.example/pkg/decision/dispatch"
)

// findVersion finds the software version at which the stream began that the caller resumes. If it is not known, it
// refuses the request: what two versions generate does not fit together. A stream that another customer began is refused too.
func (x *exchange) findVersion(ctx context.Context) bool {
	version, ok := x.options.Streams.VersionOf(ctx, x.stream, x.service, x.caller.Name())
	if ok {
		x.version = &version
		return true
	}
	x.options.Log.Notice("request refused", "request", x.request.ID, "route", x.route.Name, "resumes", x.stream, "after", x.lastEvent,
		"reason", "software version at which the stream began is not known, or another customer began it", "customer", x.caller.Name())
	x.options.Metrics.countOutcome("refused")
	x.options.CustomerMetrics.CountRequest(x.caller.Name(), "no_stream")
	Refuse(x.w, http.StatusServiceUnavailable, notReadyRetry)
	return false
}

// resumes returns the ID of the request whose stream the caller resumes, or "".
func (x *exchange) resumes() string {
	if x.resumed {
		return x.stream
	}
	return ""
}

// begin records the software version of the upstream whose first event is about to be sent to the caller. Only upstreams
// of this version can continue the stream.
func (x *exchange) begin(u dispatch.Upstream) {
	if !x.route.Resumable {
		return
	}
	if x.version == nil {
		x.version = &u.SoftwareVersion
	}
	x.options.Streams.Began(x.stream, x.service, *x.version, x.caller.Name())
}
