package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// notReadyRetry is the retry time of a node without a configuration.
const notReadyRetry = time.Second

// identities indexes one configuration: the callers by key digest, and the names of the plain services.
type identities struct {
	revision int64
	byDigest map[string]serving.Identity
	services map[string]bool
}

// identify returns the caller whose bearer key the request carries.
func (g *Gateway) identify(r *http.Request) (serving.Identity, error) {
	config, revision := g.Board.Config.Get()
	if revision == 0 {
		err := api.Errorf(http.StatusServiceUnavailable, api.CodeNotReady, api.NotRun, "no configuration is in force yet")
		err.RetryAfter = notReadyRetry
		return serving.Identity{}, err
	}
	index := g.identities.Load()
	if index == nil || index.revision != revision {
		index = &identities{revision: revision, byDigest: map[string]serving.Identity{}, services: map[string]bool{}}
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
		g.identities.Store(index)
	}
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if ok && strings.EqualFold(scheme, "Bearer") {
		digest := sha256.Sum256([]byte(strings.TrimSpace(key)))
		if who, ok := index.byDigest[hex.EncodeToString(digest[:])]; ok {
			return who, nil
		}
	}
	return serving.Identity{}, api.Errorf(http.StatusUnauthorized, api.CodeUnauthorized, api.NotRun,
		"a known bearer key is required")
}

// WriteError answers with the error body and headers of the contract. An error that is not an *api.Error is an
// internal one with the outcome unknown.
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
	w.WriteHeader(out.Status)
	// The caller may have gone; there is nobody to report that to.
	_ = json.NewEncoder(w).Encode(body)
}

// writeJSON answers 200 with v.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
