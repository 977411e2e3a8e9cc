// Package operator is the operators' HTTP interface of a node: configuration, status, explain, service-level
// burn and drain.
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

// Options are the parts of a node that the operators' interface needs.
type Options struct {
	// Node is the name of this node.
	Node  string
	Board *blackboard.Board
	// Config accepts configuration changes.
	Config config.Accepter
	// Peers reaches the other members; nil answers from this node alone.
	Peers peer.Caller
	// Explain and Burn may be nil.
	Explain *explain.Log
	Burn    *burn.Recorder
	// Changes are the changes of the configuration that status names as reasons; may be nil.
	Changes *ConfigChanges
	// Providers are the parts of this node that report status.
	Providers []status.Provider
	// KeyDigests are the SHA-256 digests of the operator keys, in lower-case hex. Without digests every
	// call that needs a key is refused.
	KeyDigests []string
	// Drain starts the departure of this node and returns at once; nil only sets the board's Draining section.
	Drain func()
	// Ready returns nil when the node serves callers; by default a node with a configuration is ready.
	Ready func() error
	// MemberTimeout bounds the wait for each member's answer; 0 means DefaultMemberTimeout.
	MemberTimeout time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// DefaultMemberTimeout is long enough for a round trip between regions and short enough for an interactive answer.
const DefaultMemberTimeout = 1500 * time.Millisecond

// maxDocumentBytes bounds the body of an apply call. 1,500 upstreams and 400 institutions take under 2 MB.
const maxDocumentBytes = 32 << 20

// maxDiscardBytes bounds what is read of documents that are found too large. Most clients look at the answer only
// when they have sent the whole body, and lose it when the connection is closed before.
const maxDiscardBytes = 256 << 20

// bodyTimeout bounds the time in which a call's body arrives. Without it a client that stalls would hold its
// connection for ever, also one without a key.
const bodyTimeout = time.Minute

// maxKeyBytes bounds an Idempotency-Key, as on the callers' listener; keys are kept in the history of versions.
const maxKeyBytes = 255

type server struct {
	Options
	local *Local
	seen  firstSeen
}

// New returns the handler of the operators' listener.
func New(o Options) http.Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.MemberTimeout == 0 {
		o.MemberTimeout = DefaultMemberTimeout
	}
	s := &server{Options: o, local: NewLocal(o), seen: firstSeen{since: map[string]time.Time{}}}
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
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /debug/vars", vars)
	mux.HandleFunc("/", notFound)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderRequestID, o.Node+"-"+ulid.Make().String())
		// A writer without deadlines, as in a test, is used as it is.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
		if path.Clean(r.URL.Path) != r.URL.Path || r.RequestURI == "*" {
			// The mux would answer with a redirect or without a body, and without an outcome.
			notFound(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no %s %s here", r.Method, r.URL.Path))
}

// authorized lets a call pass that carries an operator key.
func (s *server) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		if !strings.EqualFold(scheme, "Bearer") || !s.knownKey(strings.TrimSpace(key)) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, api.Errorf(http.StatusUnauthorized, api.CodeUnauthorized, api.NotRun, "an operator key is needed"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *server) knownKey(key string) bool {
	if key == "" {
		// A node whose operator key was left empty must not take calls without a key.
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
	klog.InfoS("Drain started by an operator", "node", s.Node)
	writeJSON(w, http.StatusOK, map[string]any{"node": s.Node, "draining": true})
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.notReady(); err != nil {
		writeError(w, api.Errorf(http.StatusServiceUnavailable, api.CodeNotReady, api.NotRun, "%v", err))
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

func (s *server) notReady() error {
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

// vars writes the expvar variables except the command line, which may hold secrets given as flags.
func vars(w http.ResponseWriter, _ *http.Request) {
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
		klog.V(2).InfoS("Writing an operator answer failed", "err", err)
	}
}

func writeError(w http.ResponseWriter, e *api.Error) {
	e.RequestID = w.Header().Get(api.HeaderRequestID)
	w.Header().Set(api.HeaderOutcome, string(e.Outcome))
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(e.Body().Error.RetryAfterSeconds))
	}
	writeJSON(w, e.Status, e)
}
