package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/controller/callerbudget"
	"trefoilplank.example/pkg/controller/drain"
	"trefoilplank.example/pkg/gateway/prompt"
	"trefoilplank.example/pkg/pieces"
	"trefoilplank.example/pkg/serving"
)

// maxDiscardBytes bounds how much more of a body is read after it is found too large. Most clients read the answer
// only after they have sent the whole body, and lose the answer if the connection is closed earlier.
const maxDiscardBytes = 64 << 20

func itoa(n int) string { return strconv.Itoa(n) }

// requestState is one online request while the gateway handles it: what it asks for and how its attempts went.
type requestState struct {
	req  serving.Request
	call serving.Call
	// stream is set when the caller asked for server-sent events; they are written to events.
	stream bool
	events *eventWriter
	// repeatable is set when the request may run twice without harm.
	repeatable bool
	// nonIdempotent is set by the header Trefoil-Non-Idempotent. Such a request needs a durable claim before it is
	// sent; claimed is set once it has one.
	nonIdempotent bool
	claimed       bool
	// hedgeable is set for repeatable GET calls of plain services, which may run on two upstreams at once.
	hedgeable bool
	// digest covers method, path and body. It shows whether a request with the same idempotency key is the same one.
	digest string

	// attempts counts the failed attempts, runs those of them that an upstream may have started, and crashes those during
	// which the upstream crashed.
	attempts, runs, crashes int
	// lastEngineRunStart is when the latest run on an engine started.
	lastEngineRunStart time.Time
	// mayHaveRun is set once an upstream may have started the request in any attempt.
	mayHaveRun bool
}

// isInference reports whether the request goes to a model engine.
func (rs *requestState) isInference() bool { return rs.req.Model != "" }

// needsDigest reports whether a resend of the request must be recognised.
func (rs *requestState) needsDigest() bool { return rs.nonIdempotent || rs.call.IdempotencyKey != "" }

// readBody reads the body within MaxBodyBytes and BodyTimeout.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	// The error is ignored: a writer without deadlines, as in a test, is read without one.
	_ = control.SetReadDeadline(time.Now().Add(g.BodyTimeout))
	stop := endReadWithNode(r.Context(), control)
	defer stop()
	body, err := pieces.Read(http.MaxBytesReader(w, r.Body, g.MaxBodyBytes), r.ContentLength)
	if err == nil {
		stop()
		// A remaining deadline would end the background read with which net/http detects a disconnect.
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The deadline stays set and the connection is closed after the answer; otherwise the server would wait for the
	// rest of the body before it answers.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case drain.Ended(r.Context()):
		return nil, errStopping()
	case errors.As(err, &tooLarge):
		callerbudget.Discard(r.Body, maxDiscardBytes)
		return nil, api.Errorf(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.NotRun,
			"the body is larger than %d bytes", g.MaxBodyBytes)
	case errors.Is(err, callerbudget.ErrNoRoom):
		refusal := api.Errorf(http.StatusServiceUnavailable, api.CodeNoCapacity, api.NotRun, "the node has no room for the body")
		refusal.RetryAfter = retryAfter
		return nil, refusal
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, api.Errorf(http.StatusRequestTimeout, api.CodeDeadline, api.NotRun, "the body did not arrive in time")
	default:
		return nil, malformed("reading the body: %v", err)
	}
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// endReadWithNode makes reads of a request's body fail once the node ends the request. stop ends that.
func endReadWithNode(ctx context.Context, control *http.ResponseController) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		if drain.Ended(ctx) {
			_ = control.SetReadDeadline(past)
		}
	})
}

// idleBody is a request body whose Read fails when nothing arrives within idle, or with drain.ErrEnded when the node ends the request.
type idleBody struct {
	io.ReadCloser
	ctx     context.Context
	control *http.ResponseController
	idle    time.Duration
}

func (b *idleBody) Read(p []byte) (int, error) {
	// The error is ignored: a writer without deadlines, as in a test, is read without one.
	_ = b.control.SetReadDeadline(time.Now().Add(b.idle))
	stop := endReadWithNode(b.ctx, b.control)
	n, err := b.ReadCloser.Read(p)
	stop()
	if err != nil && drain.Ended(b.ctx) {
		return n, drain.ErrEnded
	}
	if errors.Is(err, io.EOF) {
		// A remaining deadline would end the background read with which net/http detects a disconnect.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// malformed returns an error with status 400 and outcome not-run.
func malformed(format string, args ...any) *api.Error {
	return api.Errorf(http.StatusBadRequest, api.CodeMalformed, api.NotRun, format, args...)
}

// newRequestState reads the headers that inference requests and service calls have in common.
func (g *Gateway) newRequestState(r *http.Request, body []byte) (*requestState, error) {
	identity, _ := serving.IdentityFrom(r.Context())
	id := serving.RequestIDFrom(r.Context())
	for _, name := range []string{api.HeaderTimeoutMs, api.HeaderIdempotencyKey, api.HeaderNonIdempotent} {
		if len(r.Header.Values(name)) > 1 {
			return nil, malformed("%s must be given once", name)
		}
	}
	timeout := g.Timeout
	if text := r.Header.Get(api.HeaderTimeoutMs); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return nil, malformed("%s must be a positive number of milliseconds", api.HeaderTimeoutMs)
		}
		if ms < g.MaxTimeout.Milliseconds() {
			timeout = time.Duration(ms) * time.Millisecond
		} else {
			timeout = g.MaxTimeout
		}
	}
	rs := &requestState{
		req: serving.Request{
			ID: id, Institution: identity.Institution, Caller: identity.Caller, Deadline: time.Now().Add(timeout),
		},
		call: serving.Call{
			RequestID: id, IdempotencyKey: r.Header.Get(api.HeaderIdempotencyKey), Method: r.Method,
			Header: forwardedRequestHeader(r.Header), Body: body,
		},
	}
	if len(rs.call.IdempotencyKey) > maxKeyBytes {
		return nil, malformed("%s is longer than %d bytes", api.HeaderIdempotencyKey, maxKeyBytes)
	}
	switch text := r.Header.Get(api.HeaderNonIdempotent); strings.ToLower(text) {
	case "", "false":
	case "true":
		rs.nonIdempotent = true
	default:
		return nil, malformed("%s must be true or false", api.HeaderNonIdempotent)
	}
	return rs, nil
}

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// classify sets class, rank and share of the request by the institution's rules. A request for an adapter without a
// class of its own gets the class of its base model.
func (g *Gateway) classify(rs *requestState) {
	rules, _ := g.Board.Config.Value().Rules.ForInstitution(rs.req.Institution)
	target := rs.req.Model
	if rs.req.Adapter != "" {
		target = rs.req.Adapter
	}
	rs.req.Class, rs.req.Rank = rules.Classify(rs.req.Caller, target, rs.req.Service, false)
	if rs.req.Class == "default" && target != rs.req.Model {
		rs.req.Class, rs.req.Rank = rules.Classify(rs.req.Caller, rs.req.Model, rs.req.Service, false)
	}
	if rs.req.Share = rules.Share; rs.req.Share <= 0 {
		rs.req.Share = 1
	}
}

// parseInference reads a chat or completion request.
func (g *Gateway) parseInference(w http.ResponseWriter, r *http.Request) (*requestState, error) {
	raw, err := g.readBody(w, r)
	if err != nil {
		return nil, err
	}
	rs, err := g.newRequestState(r, raw)
	if err != nil {
		return nil, err
	}
	body, err := prompt.Parse(raw, strings.HasSuffix(r.URL.Path, "/chat/completions"))
	if err != nil {
		return nil, malformed("%v", err)
	}
	identity, _ := serving.IdentityFrom(r.Context())
	if !identity.MayUseModel(body.Model) {
		return nil, api.Errorf(http.StatusForbidden, api.CodeForbidden, api.NotRun, "model %q is not granted", body.Model)
	}
	if rs.req.Model, rs.req.Adapter, err = g.resolveModel(body.Model); err != nil {
		return nil, err
	}
	rs.stream = body.Stream
	rs.repeatable = !rs.nonIdempotent
	rs.req.PromptTokens, rs.req.MaxTokens = body.PromptTokens, body.MaxTokens
	rs.req.PrefixHashes = body.PrefixHashes(rs.req.Model, rs.req.Adapter)
	rs.req.Parts = body.Parts(rs.req.Model, rs.req.Adapter)
	canonical := string(body.Canonical())
	rs.req.Fingerprint = prompt.Fingerprint(identity.Institution, body.Model, canonical)
	if rs.needsDigest() {
		rs.digest = prompt.Digest(r.Method, r.URL.Path, canonical)
	}
	rs.call.Path = r.URL.Path
	rs.call.Header.Set("Content-Type", "application/json")
	rs.call.Header.Del("Accept-Encoding")
	g.classify(rs)
	return rs, nil
}

// resolveModel returns the base model for the name of a model or adapter, and the adapter if it is one.
func (g *Gateway) resolveModel(name string) (model, adapter string, err error) {
	register := g.Board.Config.Value().Register
	if slices.ContainsFunc(register.Models, func(m api.Model) bool { return m.Name == name }) {
		return name, "", nil
	}
	for _, a := range register.Adapters {
		if a.Name == name {
			return a.Model, name, nil
		}
	}
	return "", "", api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no model %q", name)
}

// parseServiceCall reads a call of a plain service.
func (g *Gateway) parseServiceCall(w http.ResponseWriter, r *http.Request) (*requestState, error) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	if unescaped, err := url.PathUnescape(name); err == nil {
		name = unescaped
	}
	identity, _ := serving.IdentityFrom(r.Context())
	if !identity.MayUseService(name) {
		return nil, api.Errorf(http.StatusForbidden, api.CodeForbidden, api.NotRun, "service %q is not granted", name)
	}
	if index := g.configIndex.Load(); index == nil || !index.services[name] {
		return nil, api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no service %q", name)
	}
	body, err := g.readBody(w, r)
	if err != nil {
		return nil, err
	}
	rs, err := g.newRequestState(r, body)
	if err != nil {
		return nil, err
	}
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	rs.repeatable = safe && !rs.nonIdempotent
	rs.hedgeable = r.Method == http.MethodGet && rs.repeatable
	rs.req.Service = name
	rs.call.Path = "/" + path
	if r.URL.RawQuery != "" {
		rs.call.Path += "?" + r.URL.RawQuery
	}
	rs.req.Fingerprint = prompt.Fingerprint(identity.Institution, name, r.Method, rs.call.Path, string(body))
	if rs.needsDigest() {
		rs.digest = prompt.Digest(r.Method, r.URL.RequestURI(), string(body))
	}
	g.classify(rs)
	return rs, nil
}

// notForwarded are the headers that apply to one connection only or are meant for this system.
var notForwarded = []string{
	"Authorization", "Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", api.HeaderIdempotencyKey,
	api.HeaderUpstreamRequestID,
}

// isForwarded reports whether a header is passed between caller and upstream.
func isForwarded(name string) bool {
	return !slices.Contains(notForwarded, name) && !strings.HasPrefix(name, "Trefoil-")
}

// forwardedRequestHeader returns the request headers to send to the upstream, without those named in Connection.
func forwardedRequestHeader(h http.Header) http.Header {
	out := copyForwarded(http.Header{}, h)
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	return out
}

// copyForwarded copies the headers that are passed between caller and upstream, and returns to.
func copyForwarded(to, from http.Header) http.Header {
	for name, values := range from {
		if isForwarded(name) {
			to[name] = slices.Clone(values)
		}
	}
	return to
}

// withDeadline returns ctx with the deadline of the request.
func (rs *requestState) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, rs.req.Deadline)
}
