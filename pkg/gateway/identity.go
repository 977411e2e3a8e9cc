package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// notReadyRetryAfter is the Retry-After while the node has no configuration.
const notReadyRetryAfter = time.Second

// configIndex indexes one configuration: the callers by key digest, and the names of the plain services. revision is
// the blackboard's revision of that configuration.
type configIndex struct {
	revision int64
	byDigest map[string]serving.Identity
	services map[string]bool
}

// identify returns the identity of the caller by the bearer key of the request.
func (g *Gateway) identify(r *http.Request) (serving.Identity, error) {
	config, revision := g.Board.Config.Get()
	if revision == 0 {
		err := api.Errorf(http.StatusServiceUnavailable, api.CodeNotReady, api.NotRun, "no configuration is in force yet")
		err.RetryAfter = notReadyRetryAfter
		return serving.Identity{}, err
	}
	index := g.configIndex.Load()
	if index == nil || index.revision != revision {
		index = &configIndex{revision: revision, byDigest: map[string]serving.Identity{}, services: map[string]bool{}}
		for _, u := range config.Register.Upstreams {
			if u.Kind == api.UpstreamService {
				index.services[u.Service] = true
			}
		}
		for _, c := range config.Register.Callers {
			for _, d := range c.KeyDigests {
				index.byDigest[d] = serving.Identity{Institution: c.Institution, Caller: c.Name, Grants: c.Grants}
			}
		}
		g.configIndex.Store(index)
	}
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if ok && strings.EqualFold(scheme, "Bearer") {
		digest := sha256.Sum256([]byte(strings.TrimSpace(key)))
		if identity, ok := index.byDigest[hex.EncodeToString(digest[:])]; ok {
			return identity, nil
		}
	}
	return serving.Identity{}, api.Errorf(http.StatusUnauthorized, api.CodeUnauthorized, api.NotRun,
		"a known bearer key is required")
}

// WriteError answers with the error body and headers of the public API. An error that is not an *api.Error is
// reported as an internal error with outcome unknown.
func WriteError(w http.ResponseWriter, r *http.Request, err error) {
	var e *api.Error
	if !errors.As(err, &e) {
		e = api.Errorf(http.StatusInternalServerError, api.CodeInternal, api.Unknown, "%v", err)
	}
	out := *e
	out.RequestID = serving.RequestIDFrom(r.Context())
	body := out.Body()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderOutcome, string(out.Outcome))
	if out.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if s := body.Error.RetryAfterSeconds; s > 0 {
		h.Set("Retry-After", itoa(s))
	}
	text, err := json.Marshal(body)
	if err != nil {
		klog.ErrorS(err, "Encoding an error answer failed", "request", out.RequestID)
	}
	// With a length the answer is complete also if the connection is closed before the handler returns.
	h.Set("Content-Length", itoa(len(text)+1))
	w.WriteHeader(out.Status)
	// The error is ignored: it means that the caller has disconnected.
	_, _ = w.Write(append(text, '\n'))
}

// writeJSON answers 200 with the JSON form of v.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
