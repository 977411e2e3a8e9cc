package forward

import (
	"net/http"
	"time"

	drainplan "trefoilplank.example/pkg/decision/drain"
	"trefoilplank.example/pkg/decision/routing"
)

// drainRetry is the Retry-After of a node that is about to close: other nodes can serve the request at once.
const drainRetry = 50 * time.Millisecond

// admits reports whether the node accepts a request whose caller waits until deadline: while it drains, it may have to end the request
// before. service is empty while the body is not read, which may take long: then only a refusal is certain.
func (f *Forwarder) admits(request string, route *routing.Route, deadline time.Time, service string) bool {
	plan := f.options.DrainPlan()
	if plan.End.IsZero() {
		return true
	}
	now, usual := time.Now(), time.Duration(0)
	if service != "" {
		usual = f.options.Placer.RunDuration(service)
	}
	verdict := plan.Admit(now, deadline, usual)
	if service == "" && verdict != drainplan.Refused {
		return true
	}
	fields := []any{
		"request", request, "route", route.Name, "since_ms", now.Sub(plan.Begun).Milliseconds(), "drain_left_ms", plan.End.Sub(now).Milliseconds(),
		"left_ms", deadline.Sub(now).Milliseconds(),
	}
	f.options.Metrics.countDraining(verdict)
	if verdict == drainplan.Refused {
		f.options.Log.Notice("request refused", append(fields, "reason", "node drains and would end the request before its deadline")...)
		return false
	}
	f.options.Log.Routine("request accepted while draining", append(fields, "verdict", verdict)...)
	return true
}

// RefuseDraining responds to a request that the node does not accept since it drains.
func (f *Forwarder) RefuseDraining(w http.ResponseWriter) {
	f.options.Metrics.countOutcome("refused")
	Refuse(w, http.StatusServiceUnavailable, drainRetry)
}
