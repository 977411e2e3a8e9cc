package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/controller/customers"
	"trefoilplank.example/pkg/decision/routing"
)

// Limiter limits the requests of customers over all nodes.
type Limiter interface {
	// Take takes a request from a customer's limit. If ok is false, the request is over the limit, and can pass after retryAfter.
	Take(ctx context.Context, c *routing.Customer) (retryAfter time.Duration, ok bool)
	// Return gives back a request that ended without having run.
	Return(c *routing.Customer)
}

// errKeyRemoved means that a request was not sent since its key was removed after the request was read. It comes with ErrNotRun.
var errKeyRemoved = Error.New("key was removed")

// identify makes a header tell the customer of a request, and nothing that the caller says of it.
func (c *Client) identify(h http.Header, r *Request) {
	if !r.Identified {
		return
	}
	delete(h, customers.AuthorizationHeader)
	if c.headers.Customer == "" {
		return
	}
	delete(h, c.headers.Customer)
	if r.Customer != "" {
		h[c.headers.Customer] = []string{r.Customer}
	}
}

// IsIdentity reports whether a header identifies a caller, whatever the case of its name.
func (c *Client) IsIdentity(name string) bool {
	name = http.CanonicalHeaderKey(name)
	return name == customers.AuthorizationHeader || name == c.headers.Customer
}

// RefuseCaller responds to a request that is refused because of its key.
func RefuseCaller(w http.ResponseWriter, refusal customers.Refusal) {
	if refusal.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", customers.Scheme)
		w.WriteHeader(refusal.Status)
		return
	}
	Refuse(w, refusal.Status, refusal.RetryAfter)
}

// refuseCaller refuses a request because of its key.
func (f *Forwarder) refuseCaller(w http.ResponseWriter, r *http.Request, route *routing.Route, refusal customers.Refusal) {
	f.options.Log.Notice("request refused", "request", r.Header.Get(f.options.HeaderNames.RequestID), "route", route.Name, "reason", refusal.Reason, "status", refusal.Status)
	RefuseCaller(w, refusal)
}

// setCaller makes upstreams learn the customer of the request. The request is sent only while its key is valid.
func (x *exchange) setCaller(caller customers.Caller) {
	x.caller = caller
	x.request.Customer, x.request.Identified = caller.Name(), caller.Checked
	if caller.Customer == nil {
		return
	}
	x.request.MaySend = func() error {
		if x.options.Customers.StillHolds(caller).Status != 0 {
			return errs.Combine(ErrNotRun, errKeyRemoved)
		}
		return nil
	}
}

// refuseRemoved responds to a request whose key was removed. If an earlier attempt may have run, it responds with that failure instead.
func (x *exchange) refuseRemoved() {
	if x.ran > 0 {
		x.respondWithFailure()
		return
	}
	refusal := x.options.Customers.StillHolds(x.caller)
	if refusal.Status == 0 { // The key came back meanwhile.
		refusal = customers.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: notReadyRetry}
	}
	x.options.CustomerMetrics.CountRequest(x.caller.Name(), "key_removed")
	RefuseCaller(x.w, refusal)
}

// takeLimit takes the request from its customer's limit. If the limit is reached, it refuses the request and returns false.
func (x *exchange) takeLimit(ctx context.Context) bool {
	if x.options.Limiter == nil || x.caller.Customer == nil {
		return true
	}
	after, ok := x.options.Limiter.Take(ctx, x.caller.Customer)
	if ok {
		return true
	}
	x.options.Log.Routine("request refused", "request", x.request.ID, "route", x.route.Name, "reason", "customer is over its limit", "customer", x.caller.Name(),
		"retry_after_ms", after.Milliseconds())
	x.options.Metrics.countOutcome("over_limit")
	x.options.CustomerMetrics.CountRequest(x.caller.Name(), "over_limit")
	Refuse(x.w, http.StatusTooManyRequests, after)
	return false
}

// returnLimit gives the request back to its customer's limit if no upstream can have run it.
func (x *exchange) returnLimit() {
	if x.options.Limiter != nil && x.caller.Customer != nil && !x.mayHaveRun {
		x.options.Limiter.Return(x.caller.Customer)
	}
}
