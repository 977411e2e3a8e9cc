// Package operator serves the HTTP interface for operators on a node: configuration, status, explain, burn rates of
// service-level objectives, and drain.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/burn"
	"trefoilplank.example/pkg/config"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/operator/status"
)

// Options are the dependencies and settings of the operators' interface.
type Options struct {
	// Node is the name of this node.
	Node  string
	Board *blackboard.Board
	// Config accepts configuration changes.
	Config config.Accepter
	// Peers calls the other members. With nil, answers contain the data of this node only.
	Peers peer.Caller
	// Explain and Burn may be nil.
	Explain *explain.Log
	Burn    *burn.Recorder
	// ConfigChanges gives status the configuration changes as reasons; may be nil.
	ConfigChanges *ConfigChanges
	// Providers are the components of this node that report status.
	Providers []status.Provider
	// KeyDigests are the SHA-256 digests of the operator keys, in lower-case hex. Without digests every
	// call that needs a key is refused.
	KeyDigests []string
	// Drain starts the drain of this node and returns at once; with nil, a drain call only sets Board.Draining.
	Drain func()
	// Ready returns nil when the node can serve callers; if Ready is nil, a node with a configuration is ready.
	Ready func() error
	// MemberTimeout bounds the wait for each member's answer; 0 means DefaultMemberTimeout.
	MemberTimeout time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// DefaultMemberTimeout allows for a round trip between regions and is short enough for interactive use.
const DefaultMemberTimeout = 1500 * time.Millisecond

// maxDocumentBytes bounds the body of an apply call. Documents for 1,500 upstreams and 400 institutions take less than
// 2 MB.
const maxDocumentBytes = 32 << 20

// maxDiscardBytes bounds how much more of a body is read after it is found too large. Most clients read the answer
// only after they have sent the whole body, and lose the answer if the connection is closed earlier.
const maxDiscardBytes = 256 << 20

// bodyTimeout bounds the time to receive the body of a call. Without it a client that stops sending would keep its
// connection open forever, even without an operator key.
const bodyTimeout = time.Minute

// maxKeyBytes bounds an Idempotency-Key, as on the listener for callers. Keys are stored in the configuration history.
const maxKeyBytes = 255

// server handles the calls of operators.
type server struct {
	Options
	local        *LocalNode
	problemTimes problemStartTimes
}

// New returns the handler of the operators' listener.
func New(o Options) http.Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.MemberTimeout == 0 {
		o.MemberTimeout = DefaultMemberTimeout
	}
	s := &server{Options: o, local: NewLocalNode(o), problemTimes: problemStartTimes{since: map[string]time.Time{}}}
	mux := http.NewServeMux()
	for pattern, h := range map[string]http.HandlerFunc{
		"POST /v1/admin/apply":   s.apply,
		"GET /v1/admin/register": s.register,
		"GET /v1/admin/rules":    s.rules,
		"GET /v1/admin/status":   s.status,
		"GET /v1/admin/explain":  s.explain,
		"GET /v1/admin/burn":     s.burn,
		"POST /v1/admin/drain":   s.drain,
	} {
		mux.Handle(pattern, s.authorized(h))
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /debug/vars", debugVars)
	mux.HandleFunc("/", notFound)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderRequestID, o.Node+"-"+ulid.Make().String())
		// The error is ignored: a writer without deadlines, as in a test, is used without one.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		if path.Clean(r.URL.Path) != r.URL.Path || r.RequestURI == "*" {
			// The mux would answer with a redirect or without a body, and without an outcome.
			notFound(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// stoppingRetryAfter is the retry time while only this node can't serve a call.
const stoppingRetryAfter = time.Second

// RefuseStopping returns the handler for the calls that a node does not accept any more since it stops.
func RefuseStopping(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(api.HeaderRequestID, node+"-"+ulid.Make().String())
		w.Header().Set("Connection", "close")
		e := api.Errorf(http.StatusServiceUnavailable, api.CodeNotReady, api.NotRun, "the node stops")
		e.RetryAfter = stoppingRetryAfter
		writeError(w, e)
	})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no %s %s here", r.Method, r.URL.Path))
}

// authorized wraps a handler so that it is called only with a valid operator key.
func (s *server) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		if !strings.EqualFold(scheme, "Bearer") || !s.isOperatorKey(strings.TrimSpace(key)) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, api.Errorf(http.StatusUnauthorized, api.CodeUnauthorized, api.NotRun, "an operator key is needed"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *server) isOperatorKey(key string) bool {
	if key == "" {
		// KeyDigests may hold the digest of an empty key by mistake; that must not allow calls without a key.
		return false
	}
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	found := 0
	for _, d := range s.KeyDigests {
		found |= subtle.ConstantTimeCompare(digest, []byte(d))
	}
	return found == 1
}

func (s *server) drain(w http.ResponseWriter, _ *http.Request) {
	if s.Drain != nil {
		s.Drain()
	} else {
		s.Board.Draining.Set(true)
	}
	klog.InfoS("Operator started a drain", "node", s.Node)
	writeJSON(w, http.StatusOK, map[string]any{"node": s.Node, "draining": true})
}

func (s *server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.readinessError(); err != nil {
		writeError(w, api.Errorf(http.StatusServiceUnavailable, api.CodeNotReady, api.NotRun, "%v", err))
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

// readinessError returns why the node is not ready to serve callers, or nil.
func (s *server) readinessError() error {
	if s.Board.Draining.Value() {
		return errors.New("the node is draining")
	}
	if s.Ready != nil {
		return s.Ready()
	}
	if _, revision := s.Board.Config.Get(); revision == 0 {
		return errors.New("the node has no configuration yet")
	}
	return nil
}

// debugVars writes the expvar variables except the command line, which may contain secrets given as flags.
func debugVars(w http.ResponseWriter, _ *http.Request) {
	out := map[string]json.RawMessage{}
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != "cmdline" {
			out[kv.Key] = json.RawMessage(kv.Value.String())
		}
	})
	writeJSON(w, http.StatusOK, out)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		klog.V(2).InfoS("Writing an answer to an operator failed", "err", err)
	}
}

// writeError answers with the error body and headers of the public API.
func writeError(w http.ResponseWriter, e *api.Error) {
	e.RequestID = w.Header().Get(api.HeaderRequestID)
	w.Header().Set(api.HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(e.Body().Error.RetryAfterSeconds))
	}
	writeJSON(w, e.Status, e)
}
