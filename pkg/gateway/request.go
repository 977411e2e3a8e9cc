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
	"trefoilplank.example/pkg/adapter/service"
	"trefoilplank.example/pkg/gateway/prompt"
	"trefoilplank.example/pkg/serving"
)

// maxDiscardBytes bounds what is read of a body after it is found too large. Most clients look at the answer only
// when they have sent the whole body, and lose the answer when the connection is closed before.
const maxDiscardBytes = 64 << 20

func itoa(n int) string { return strconv.Itoa(n) }

// job is one online request on its way through the gateway.
type job struct {
	req  serving.Request
	call serving.Call
	// stream is set when the caller asked for server-sent events, which go to events.
	stream bool
	events *eventWriter
	// repeatable is set when running the request twice does no harm.
	repeatable bool
	// marked is set for Trefoil-Non-Idempotent requests, which need a durable claim.
	marked  bool
	claimed bool
	// hedge is set for short lookups that may run on two upstreams at once.
	hedge bool
	// digest identifies method, path and body for the idempotency key.
	digest string

	// attempts counts the attempts, runs those that an upstream may have begun, and deaths the upstreams that died
	// under them.
	attempts, runs, deaths int
	// lastRun is when the latest run on an engine began.
	lastRun time.Time
	// begun is set once an upstream may have begun the request.
	begun bool
}

// engine reports whether the request goes to a model engine.
func (j *job) engine() bool { return j.req.Model != "" }

// named reports whether the request may be recognised when it comes again.
func (j *job) named() bool { return j.marked || j.call.IdempotencyKey != "" }

// readBody reads the body within the size and time limits.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	// A writer without deadlines, as in a test, is used as it is.
	_ = control.SetReadDeadline(time.Now().Add(g.BodyTimeout))
	body, err := service.ReadSized(http.MaxBytesReader(w, r.Body, g.MaxBodyBytes), r.ContentLength)
	if err == nil {
		// The deadline must not end the background read that notices a caller's disconnect.
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The deadline stays, and the connection is closed after the answer: the server would otherwise wait for the
	// rest of the body before it answers.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
		return nil, api.Errorf(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.NotRun,
			"the body is larger than %d bytes", g.MaxBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, api.Errorf(http.StatusRequestTimeout, api.CodeDeadline, api.NotRun, "the body did not arrive in time")
	default:
		return nil, malformed("reading the body: %v", err)
	}
}

// idleBody is a body whose reading fails when nothing arrives for a time.
type idleBody struct {
	io.ReadCloser
	control *http.ResponseController
	idle    time.Duration
}

func (b *idleBody) Read(p []byte) (int, error) {
	// A writer without deadlines, as in a test, is used as it is.
	_ = b.control.SetReadDeadline(time.Now().Add(b.idle))
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// The deadline must not end the background read that notices a caller's disconnect.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

func malformed(format string, args ...any) *api.Error {
	return api.Errorf(http.StatusBadRequest, api.CodeMalformed, api.NotRun, format, args...)
}

// newJob fills in what all kinds of request share.
func (g *Gateway) newJob(r *http.Request, body []byte) (*job, error) {
	who, _ := serving.IdentityFrom(r.Context())
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
	j := &job{
		req: serving.Request{
			ID: id, Institution: who.Institution, Caller: who.Caller, Deadline: time.Now().Add(timeout),
		},
		call: serving.Call{
			RequestID: id, IdempotencyKey: r.Header.Get(api.HeaderIdempotencyKey), Method: r.Method,
			Header: passRequestHeader(r.Header), Body: body,
		},
	}
	if len(j.call.IdempotencyKey) > maxKeyBytes {
		return nil, malformed("%s is longer than %d bytes", api.HeaderIdempotencyKey, maxKeyBytes)
	}
	switch text := r.Header.Get(api.HeaderNonIdempotent); strings.ToLower(text) {
	case "", "false":
	case "true":
		j.marked = true
	default:
		return nil, malformed("%s must be true or false", api.HeaderNonIdempotent)
	}
	return j, nil
}

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// classify fills in class, rank and share from the rules.
func (g *Gateway) classify(j *job) {
	rules, _ := g.Board.Config.Value().Rules.ForInstitution(j.req.Institution)
	named := j.req.Model
	if j.req.Adapter != "" {
		named = j.req.Adapter
	}
	j.req.Class, j.req.Rank = rules.Classify(j.req.Caller, named, j.req.Service, false)
	if j.req.Class == "default" && named != j.req.Model {
		j.req.Class, j.req.Rank = rules.Classify(j.req.Caller, j.req.Model, j.req.Service, false)
	}
	if j.req.Share = rules.Share; j.req.Share <= 0 {
		j.req.Share = 1
	}
}

// inferenceJob reads a chat or completion request.
func (g *Gateway) inferenceJob(w http.ResponseWriter, r *http.Request) (*job, error) {
	raw, err := g.readBody(w, r)
	if err != nil {
		return nil, err
	}
	j, err := g.newJob(r, raw)
	if err != nil {
		return nil, err
	}
	body, err := prompt.Parse(raw, strings.HasSuffix(r.URL.Path, "/chat/completions"))
	if err != nil {
		return nil, malformed("%v", err)
	}
	who, _ := serving.IdentityFrom(r.Context())
	if !who.MayUseModel(body.Model) {
		return nil, api.Errorf(http.StatusForbidden, api.CodeForbidden, api.NotRun, "model %q is not granted", body.Model)
	}
	if j.req.Model, j.req.Adapter, err = g.resolveModel(body.Model); err != nil {
		return nil, err
	}
	j.stream = body.Stream
	j.repeatable = !j.marked
	j.req.PromptTokens, j.req.MaxTokens = body.PromptTokens, body.MaxTokens
	j.req.PrefixHashes = body.PrefixHashes(j.req.Model, j.req.Adapter)
	canonical := string(body.Canonical())
	j.req.Fingerprint = prompt.Fingerprint(who.Institution, body.Model, canonical)
	if j.named() {
		j.digest = prompt.Digest(r.Method, r.URL.Path, canonical)
	}
	j.call.Path = r.URL.Path
	j.call.Header.Set("Content-Type", "application/json")
	j.call.Header.Del("Accept-Encoding")
	g.classify(j)
	return j, nil
}

// resolveModel returns the base model and, when name is one, the adapter.
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

// serviceJob reads a call of a plain service.
func (g *Gateway) serviceJob(w http.ResponseWriter, r *http.Request) (*job, error) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	if unescaped, err := url.PathUnescape(name); err == nil {
		name = unescaped
	}
	who, _ := serving.IdentityFrom(r.Context())
	if !who.MayUseService(name) {
		return nil, api.Errorf(http.StatusForbidden, api.CodeForbidden, api.NotRun, "service %q is not granted", name)
	}
	if index := g.identities.Load(); index == nil || !index.services[name] {
		return nil, api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no service %q", name)
	}
	body, err := g.readBody(w, r)
	if err != nil {
		return nil, err
	}
	j, err := g.newJob(r, body)
	if err != nil {
		return nil, err
	}
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	j.repeatable = safe && !j.marked
	j.hedge = r.Method == http.MethodGet && j.repeatable
	j.req.Service = name
	j.call.Path = "/" + path
	if r.URL.RawQuery != "" {
		j.call.Path += "?" + r.URL.RawQuery
	}
	j.req.Fingerprint = prompt.Fingerprint(who.Institution, name, r.Method, j.call.Path, string(body))
	if j.named() {
		j.digest = prompt.Digest(r.Method, r.URL.RequestURI(), string(body))
	}
	g.classify(j)
	return j, nil
}

// notPassed are the headers that belong to one connection or to the system.
var notPassed = []string{
	"Authorization", "Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", api.HeaderIdempotencyKey,
	api.HeaderUpstreamRequestID,
}

func passed(name string) bool {
	return !slices.Contains(notPassed, name) && !strings.HasPrefix(name, "Trefoil-")
}

// passRequestHeader returns the headers that go to the upstream.
func passRequestHeader(h http.Header) http.Header {
	out := copyHeader(http.Header{}, h)
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	return out
}

func copyHeader(to, from http.Header) http.Header {
	for name, values := range from {
		if passed(name) {
			to[name] = slices.Clone(values)
		}
	}
	return to
}

// deadline returns ctx with the deadline of the job.
func (j *job) deadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, j.req.Deadline)
}
