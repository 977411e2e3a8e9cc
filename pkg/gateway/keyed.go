package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/controller/claims"
	"trefoilplank.example/pkg/decision/idempotency"
	"trefoilplank.example/pkg/serving"
)

const (
	// rejoinTime is how long a run with an idempotency key goes on after its caller has gone. A caller that
	// lost its connection resends within that time.
	rejoinTime = 30 * time.Second
	// maxRecorded bounds an answer that is handed to the callers that joined its run.
	maxRecorded = 4 << 20
)

// serveKeyed runs a request under its idempotency key, joins the run in progress or gives the first answer.
func (g *Gateway) serveKeyed(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) {
	ticket, first, conflict := g.Idempotency.Begin(ctx, j.req.Institution, j.call.IdempotencyKey, j.digest, j.req.ID,
		time.Until(j.req.Deadline))
	switch {
	case conflict:
		WriteError(w, r, keyConflict())
	case first != nil:
		g.record(j, "", "replay", "the first answer to the idempotency key", map[string]any{"first": first.RequestID})
		replay(w, first)
	case ticket == nil:
		// An equal request is running and may yet succeed.
		e := api.Errorf(http.StatusGatewayTimeout, api.CodeDeadline, api.Unknown,
			"the deadline passed while a request with the same key was running")
		e.RetryAfter = retryAfter
		WriteError(w, r, e)
	default:
		rec := &recorder{w: w, control: http.NewResponseController(w)}
		defer func() { ticket.End(r.Context(), rec.answer(j), j.keepAnswer(rec)) }()
		runCtx, stop := detach(r.Context(), j.req.Deadline)
		defer stop()
		rec.res, rec.err = g.runAndAnswer(runCtx, rec, r, j)
	}
}

func keyConflict() *api.Error {
	return api.Errorf(http.StatusConflict, api.CodeConflict, api.NotRun, "the idempotency key was used for another request body")
}

// detach returns a context that ends at the deadline, or rejoinTime after the caller has gone.
func detach(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	run, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	stop := context.AfterFunc(ctx, func() {
		select {
		case <-time.After(rejoinTime):
			cancel()
		case <-run.Done():
		}
	})
	return run, func() {
		stop()
		cancel()
	}
}

// keepAnswer reports whether later resends get the recorded answer: a success, an answer that the upstream would
// repeat, or an outcome unknown of a request that must not be repeated.
func (j *job) keepAnswer(rec *recorder) bool {
	if rec.err == nil {
		return rec.res != nil && (rec.res.Status < 500 && rec.res.Status != http.StatusTooManyRequests || !j.repeatable)
	}
	var e *api.Error
	return !j.repeatable && errors.As(rec.err, &e) && e.Outcome != api.NotRun
}

func replay(w http.ResponseWriter, a *idempotency.Answer) {
	copyHeader(w.Header(), a.Header)
	if outcome := http.Header(a.Header).Get(api.HeaderOutcome); outcome != "" {
		w.Header().Set(api.HeaderOutcome, outcome)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// recorder passes an answer on and keeps it for resends. It takes the answer also when the caller has gone.
type recorder struct {
	w       http.ResponseWriter
	control *http.ResponseController
	res     *serving.Result
	err     error
	status  int
	header  http.Header
	body    bytes.Buffer
	gone    bool
}

// Unwrap lets http.ResponseController reach the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.w }

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.w.Header() }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status, r.header = status, r.w.Header().Clone()
	r.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.body.Len() <= maxRecorded {
		r.body.Write(b)
	}
	if !r.gone {
		_, err := r.w.Write(b)
		r.gone = err != nil
	}
	return len(b), nil
}

// FlushError implements the flush of http.ResponseController.
func (r *recorder) FlushError() error {
	if !r.gone {
		r.gone = r.control.Flush() != nil
	}
	return nil
}

// answer returns the recorded answer, or nil when there is none that another caller could use.
func (r *recorder) answer(j *job) *idempotency.Answer {
	if r.status == 0 || r.body.Len() > maxRecorded {
		return nil
	}
	header := r.header.Clone()
	header.Del(api.HeaderRequestID)
	header.Del("Connection")
	header.Del("Content-Length")
	return &idempotency.Answer{Status: r.status, Header: header, Body: r.body.Bytes(), RequestID: j.req.ID}
}

// claimKey returns the key under which a request that must not be repeated is claimed. A request without a key
// can't be resent as the same one, and is claimed under its id.
func (j *job) claimKey() string {
	if j.call.IdempotencyKey != "" {
		return "key:" + j.call.IdempotencyKey
	}
	return "request:" + j.req.ID
}

// claim makes sure that a request that must not be repeated has a durable claim before it is sent.
func (g *Gateway) claim(ctx context.Context, j *job) error {
	if !j.marked || j.claimed {
		return nil
	}
	result := claims.Unavailable
	if g.Claims != nil {
		result = g.Claims.Claim(ctx, j.req.Institution, j.claimKey(), j.digest, j.req.ID)
	}
	g.record(j, "", "claim", claimReasons[result], nil)
	switch result {
	case claims.Granted:
		j.claimed = true
		return nil
	case claims.OtherBody:
		return keyConflict()
	case claims.Held:
		return api.Errorf(http.StatusBadGateway, api.CodeUpstream, api.Unknown,
			"an earlier request with this key may have run and its answer is gone")
	}
	e := api.Errorf(http.StatusServiceUnavailable, api.CodeStore, api.NotRun,
		"the store gave no answer, and a request that must not be repeated does not run without a durable claim")
	e.RetryAfter = storeRetry
	return e
}

// storeRetry is the retry time after a claim that the store did not take.
const storeRetry = 2 * time.Second

var claimReasons = map[claims.Result]string{
	claims.Granted:     "claimed durably",
	claims.Held:        "claimed before by another request",
	claims.OtherBody:   "claimed before for another body",
	claims.Unavailable: "the store gave no answer",
}

// withdrawWait is how long the answer waits for the withdrawal of a claim, so that a resend finds the key free.
const withdrawWait = 100 * time.Millisecond

// withdraw frees the claim of a request that no upstream began.
func (g *Gateway) withdraw(ctx context.Context, j *job, err error) {
	var e *api.Error
	if j.claimed && errors.As(err, &e) && e.Outcome == api.NotRun {
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.Claims.Release(ctx, j.req.Institution, j.claimKey(), j.digest, j.req.ID)
		}()
		select {
		case <-done:
		case <-time.After(withdrawWait):
		}
	}
}
