package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// failureResponse is an error status that the upstream itself returned, with the buffered body.
type failureResponse struct {
	response *http.Response
	body     []byte
}

func (e *failureResponse) Error() string {
	return fmt.Sprintf("upstream answered with status %d", e.response.StatusCode)
}

// resumeFrom returns the number of the last event that was sent to the caller, after which the next attempt continues.
// It returns -1 before the response has begun; the caller's own Last-Event-ID header is then forwarded.
func (x *exchange) resumeFrom() int64 {
	if x.headersSent {
		return x.lastEvent
	}
	return -1
}

// impliesNotRun reports whether a status tells the caller that the request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleFailureResponse handles an error status that the upstream returned after it may have run the request. A
// status that tells the caller that the request was not run is not relayed. On the last attempt the response is
// relayed; otherwise it is buffered and returned as an error, for use if no later attempt succeeds. A body that is too
// long to buffer is dropped.
func (x *exchange) handleFailureResponse(ctx context.Context, resp *http.Response) error {
	if impliesNotRun(resp.StatusCode) || x.headersSent {
		return Error.New("upstream answered with status %d although it may have run the request", resp.StatusCode)
	}
	if x.lastAttempt() {
		x.options.Log.Notice("upstream's error response relayed to caller", "request", x.request.ID, "route", x.route.Name, "status", resp.StatusCode,
			"ran", x.ran+1, "refused", x.refused)
		if err := x.relayResponse(ctx, resp); err != nil {
			return err
		}
		x.measurement.RecordEnd(true)
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return classify(ctx, err)
	}
	if len(body) == maxBufferedBytes {
		return Error.New("upstream answered with status %d and a body of more than %d bytes", resp.StatusCode, maxBufferedBytes)
	}
	return &failureResponse{response: resp, body: body}
}

// lastAttempt reports whether a request that fails now will not be sent again.
func (x *exchange) lastAttempt() bool {
	return !x.route.Repeatable() || x.ran+1 >= max(1, x.route.MaxAttempts)
}

// relayResponse relays a response that is not an event stream. It reads a short body completely before it sends the
// headers, so that a body that breaks off can be requested again.
func (x *exchange) relayResponse(ctx context.Context, resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return classify(ctx, err)
	}
	if len(body) < maxBufferedBytes {
		x.writeResponse(resp, body)
		return nil
	}
	x.copyHeaders(resp)
	if resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	x.headersSent = true
	x.w.WriteHeader(resp.StatusCode)
	if _, err := x.w.Write(body); err != nil {
		return errs.Combine(errCallerGone, err)
	}
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		x.options.Log.Notice("answer broke off while it was relayed", "request", x.request.ID, "route", x.route.Name, "error", err)
		x.abort()
	}
	return nil
}

// copyHeaders copies the end-to-end headers of the upstream's response.
func (x *exchange) copyHeaders(resp *http.Response) {
	out := x.w.Header()
	for name, values := range endToEnd(resp.Header) {
		out[name] = values
	}
	if _, ok := resp.Header["Content-Type"]; !ok {
		out["Content-Type"] = nil // A nil value keeps net/http from detecting one.
	}
}

// writeResponse sends a completely read response to the caller, even when the deadline has passed.
func (x *exchange) writeResponse(resp *http.Response, body []byte) {
	x.copyHeaders(resp)
	if resp.StatusCode >= 200 && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.headersSent = true
	x.w.WriteHeader(resp.StatusCode)
	if _, err := x.w.Write(body); err != nil && x.r.Method != http.MethodHead {
		x.options.Log.Routine("response could not be written to caller", "request", x.request.ID, "error", err)
	}
}

// Refuse responds that the request was not run, with the time after which to retry.
func Refuse(w http.ResponseWriter, status int, after time.Duration) {
	setRetryAfter(w, after)
	w.WriteHeader(status)
}

func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}
