package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/controller/claims"
	"trefoilplank.example/pkg/controller/drain"
	"trefoilplank.example/pkg/decision/idempotency"
	"trefoilplank.example/pkg/serving"
)

const (
	// rejoinWindow is how long a run with an idempotency key continues after its caller has disconnected. A caller
	// that lost its connection is expected to resend within that time.
	rejoinWindow = 30 * time.Second
	// maxRecordedBytes bounds the body of an answer that is kept for resends.
	maxRecordedBytes = 4 << 20
)

// serveKeyed runs a request with an idempotency key. If an equal request with the key ran or is running, it waits for
// that run and returns its answer instead. A different request with the same key is refused.
func (g *Gateway) serveKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, rs *requestState) {
	ticket, first, conflict := g.Idempotency.Begin(ctx, rs.req.Institution, rs.call.IdempotencyKey, rs.digest, rs.req.ID,
		time.Until(rs.req.Deadline))
	switch {
	case conflict:
		WriteError(w, r, keyConflict())
	case first != nil:
		g.explainDecision(rs, "", "replay", "resend of the first answer to the idempotency key", map[string]any{"first": first.RequestID})
		writeRecorded(w, first)
	case ticket == nil:
		// An equal request is still running and may succeed, so the outcome is unknown.
		e := api.Errorf(http.StatusGatewayTimeout, api.CodeDeadline, api.Unknown,
			"the deadline passed while a request with the same key was running")
		if drain.Ended(ctx) {
			e = api.Errorf(http.StatusGatewayTimeout, api.CodeNotReady, api.Unknown, "the node stopped while a request with the same key was running")
		}
		e.RetryAfter = retryAfter
		WriteError(w, r, e)
	default:
		rec := &responseRecorder{w: w, control: http.NewResponseController(w)}
		runCtx, stop := g.detachFromCaller(r.Context(), rs.req.Deadline)
		defer stop()
		defer func() {
			answer, keep := rec.answer(rs), rs.keepAnswer(rec)
			if drain.Ended(runCtx) && !keep {
				// One of the requests that joined the run may run at another node.
				answer = nil
			}
			ticket.End(r.Context(), answer, keep)
		}()
		rec.res, rec.err = g.runAndAnswer(runCtx, rec, r, rs)
	}
}

func keyConflict() *api.Error {
	return api.Errorf(http.StatusConflict, api.CodeConflict, api.NotRun, "the idempotency key was used for another request body")
}

// detachFromCaller returns a context that ends at the deadline, rejoinWindow after ctx, the caller's context, ends, or when the node ends
// its requests.
func (g *Gateway) detachFromCaller(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	run, end := context.WithCancelCause(limited)
	stopEnding := context.AfterFunc(g.Gate.Context(), func() { end(drain.ErrEnded) })
	stop := context.AfterFunc(ctx, func() {
		select {
		case <-time.After(rejoinWindow):
			cancel()
		case <-run.Done():
		}
	})
	return run, func() {
		stop()
		stopEnding()
		end(nil)
		cancel()
	}
}

// keepAnswer reports whether later resends get the recorded answer. Any answer other than 429 and 5xx is kept, since
// the upstream would repeat it. For a request that must not be repeated, 429 and 5xx answers are kept too, and so are
// errors unless their outcome is not-run.
func (rs *requestState) keepAnswer(rec *responseRecorder) bool {
	if rec.err == nil {
		return rec.res != nil && (rec.res.Status < 500 && rec.res.Status != http.StatusTooManyRequests || !rs.repeatable)
	}
	var e *api.Error
	return !rs.repeatable && errors.As(rec.err, &e) && e.Outcome != api.NotRun
}

// writeRecorded writes the recorded first answer to a resend, with its outcome header, which copyForwarded drops.
func writeRecorded(w http.ResponseWriter, a *idempotency.Answer) {
	copyForwarded(w.Header(), a.Header)
	if outcome := http.Header(a.Header).Get(api.HeaderOutcome); outcome != "" {
		w.Header().Set(api.HeaderOutcome, outcome)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// responseRecorder writes an answer to the caller and records it for resends. It continues to record after a write to
// the caller has failed.
type responseRecorder struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	res        *serving.Result
	err        error
	status     int
	header     http.Header
	body       bytes.Buffer
	callerGone bool
}

// Unwrap lets http.ResponseController reach the connection.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.w }

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.w.Header() }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	r.status, r.header = status, r.w.Header().Clone()
	r.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.body.Len() <= maxRecordedBytes {
		r.body.Write(b)
	}
	if !r.callerGone {
		_, err := r.w.Write(b)
		r.callerGone = err != nil
	}
	return len(b), nil
}

// FlushError implements the flush of http.ResponseController.
func (r *responseRecorder) FlushError() error {
	if !r.callerGone {
		r.callerGone = r.control.Flush() != nil
	}
	return nil
}

// answer returns the recorded answer, or nil if nothing was written or it is larger than maxRecordedBytes.
func (r *responseRecorder) answer(rs *requestState) *idempotency.Answer {
	if r.status == 0 || r.body.Len() > maxRecordedBytes {
		return nil
	}
	header := r.header.Clone()
	header.Del(api.HeaderRequestID)
	header.Del("Connection")
	header.Del("Content-Length")
	return &idempotency.Answer{Status: r.status, Header: header, Body: r.body.Bytes(), RequestID: rs.req.ID}
}

// claimKey returns the key of the durable claim of a non-idempotent request. A request without an idempotency key
// can't be recognised when it is resent, and is claimed under its request ID.
func (rs *requestState) claimKey() string {
	if rs.call.IdempotencyKey != "" {
		return "key:" + rs.call.IdempotencyKey
	}
	return "request:" + rs.req.ID
}

// ensureClaim makes sure that a non-idempotent request has a durable claim before it is sent to an upstream.
func (g *Gateway) ensureClaim(ctx context.Context, rs *requestState) error {
	if !rs.nonIdempotent || rs.claimed {
		return nil
	}
	result := claims.Unavailable
	if g.Claims != nil {
		result = g.Claims.Claim(ctx, rs.req.Institution, rs.claimKey(), rs.digest, rs.req.ID)
	}
	g.explainDecision(rs, "", "claim", claimReasons[result], nil)
	switch result {
	case claims.Granted:
		rs.claimed = true
		return nil
	case claims.BodyMismatch:
		return keyConflict()
	case claims.HeldByOther:
		return api.Errorf(http.StatusBadGateway, api.CodeUpstream, api.Unknown,
			"an earlier request with this key may have run and its answer is gone")
	}
	e := api.Errorf(http.StatusServiceUnavailable, api.CodeStore, api.NotRun,
		"the store gave no answer, and a request that must not be repeated does not run without a durable claim")
	e.RetryAfter = storeRetryAfter
	return e
}

// storeRetryAfter is the Retry-After of a request whose claim the store did not confirm.
const storeRetryAfter = 2 * time.Second

var claimReasons = map[claims.Result]string{
	claims.Granted:      "claimed durably",
	claims.HeldByOther:  "already claimed by an earlier request",
	claims.BodyMismatch: "already claimed for a different request",
	claims.Unavailable:  "the store did not confirm the claim",
}

// withdrawWait bounds how long an answer waits for the release of its claim, so that a resend finds the key free.
const withdrawWait = 100 * time.Millisecond

// withdrawClaim releases the claim of a request that no upstream started.
func (g *Gateway) withdrawClaim(ctx context.Context, rs *requestState, err error) {
	var e *api.Error
	if rs.claimed && errors.As(err, &e) && e.Outcome == api.NotRun {
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.Claims.Release(ctx, rs.req.Institution, rs.claimKey(), rs.digest, rs.req.ID)
		}()
		select {
		case <-done:
		case <-time.After(withdrawWait):
		}
	}
}
