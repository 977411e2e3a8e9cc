package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/config"
)

// storeRetryAfter is the Retry-After of a store failure. Most slow periods of the store end sooner, and a resend with
// the same key is safe at any time.
const storeRetryAfter = 5 * time.Second

// HeaderOperator is the request header with the name of the operator, which is stored in the configuration history.
const HeaderOperator = "Trefoil-Operator"

// applyTimeout bounds the wait for the store. It is shorter than the 60 s that trefoilctl waits, so that with a slow
// store the operator gets an answer with an outcome instead of a broken connection.
const applyTimeout = 20 * time.Second

// ApplyResult is the answer to an accepted change or a successful dry run.
type ApplyResult struct {
	// Version is the accepted version. For a dry run it is the version against which the documents were checked.
	Version int64 `json:"version"`
	// Key is the idempotency key with which the change can be resent.
	Key    string `json:"idempotency_key,omitempty"`
	DryRun bool   `json:"dry_run,omitempty"`
	// Replayed is set when a change with the same key was accepted before, so that this call changed nothing.
	Replayed bool     `json:"replayed,omitempty"`
	Changes  []Change `json:"changes"`
}

// findingsBody is the answer to invalid documents. Error says how many findings there are, in the form that all error
// answers have.
type findingsBody struct {
	Findings api.Findings    `json:"findings"`
	Error    api.ErrorDetail `json:"error"`
}

// versionRaceBody is the answer to a change whose If-Match names another version than the current one, Version.
type versionRaceBody struct {
	Version int64           `json:"version"`
	Error   api.ErrorDetail `json:"error"`
}

func (s *server) apply(w http.ResponseWriter, r *http.Request) {
	change, docs, ok := s.readChange(w, r)
	if !ok {
		return
	}
	dryRun, err := parseDryRun(r)
	if err != nil {
		writeError(w, malformed("%v", err))
		return
	}
	current := s.Board.Config.Value()
	next := withChange(current, change)
	if f := docs.Check(next); len(f) > 0 && (dryRun || !s.wasAccepted(r.Context(), change.Key)) {
		writeFindings(w, f)
		return
	}
	if dryRun {
		s.dryRun(w, change, current, next)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	version, err := s.Config.Apply(ctx, change)
	if err != nil {
		s.writeApplyError(w, change.Key, err)
		return
	}
	klog.InfoS("Configuration accepted", "version", version, "who", change.Who, "key", change.Key)
	w.Header().Set("ETag", etag(version))
	result := ApplyResult{Version: version, Key: change.Key, Replayed: version <= current.Version, Changes: []Change{}}
	if !result.Replayed {
		result.Changes = Diff(current, next)
	}
	writeJSON(w, http.StatusOK, result)
}

// readChange reads the documents and headers of an apply call. If they are invalid, it answers the call and returns
// false.
func (s *server) readChange(w http.ResponseWriter, r *http.Request) (config.Change, *api.Documents, bool) {
	body, err := readDocuments(w, r)
	if err != nil {
		writeError(w, err)
		return config.Change{}, nil, false
	}
	change, err := s.readChangeHeaders(r)
	if err != nil {
		writeError(w, err)
		return config.Change{}, nil, false
	}
	docs, findings := api.Decode(body)
	change.Register, change.Rules = docs.Register, docs.Rules
	if len(findings) > 0 {
		writeFindings(w, append(findings, furtherFindings(docs, findings, withChange(s.Board.Config.Value(), change))...))
		return config.Change{}, nil, false
	}
	return change, docs, true
}

// furtherFindings checks the parts of documents that could be decoded although there are findings, so that an operator
// sees all faults at once. It omits values that have a finding or contain one. It returns nothing if the register or a
// whole document could not be decoded, since everything that refers to a misspelt name would then be found missing.
func furtherFindings(docs *api.Documents, found api.Findings, next api.Config) api.Findings {
	for _, f := range found {
		if f.Path == "" || f.Path == "kind" || pathWithin(f.Path, "register") || strings.HasPrefix(f.Message, "must be ") {
			return nil
		}
	}
	var further api.Findings
	for _, x := range docs.Check(next) {
		if !slices.ContainsFunc(found, func(f api.Finding) bool { return pathWithin(x.Path, f.Path) || pathWithin(f.Path, x.Path) }) {
			further = append(further, x)
		}
	}
	return further
}

// pathWithin reports whether path is the path of a value or of a field or element inside it.
func pathWithin(path, value string) bool {
	rest, ok := strings.CutPrefix(path, value)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// readDocuments reads the body of an apply call within maxDocumentBytes and bodyTimeout.
func readDocuments(w http.ResponseWriter, r *http.Request) ([]byte, *api.Error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxDocumentBytes+1))
	if err == nil && len(body) > maxDocumentBytes {
		_, err = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
		if err == nil {
			w.Header().Set("Connection", "close")
		}
		return nil, api.Errorf(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.NotRun,
			"the documents are larger than %d bytes", maxDocumentBytes)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.Header().Set("Connection", "close")
		return nil, api.Errorf(http.StatusRequestTimeout, api.CodeDeadline, api.NotRun, "the documents did not arrive within %s", bodyTimeout)
	}
	if err != nil {
		return nil, malformed("reading the documents: %v", err)
	}
	// A remaining deadline would end the background read with which net/http detects a disconnect.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// readChangeHeaders reads the expected version, the idempotency key and the operator's name from the request headers.
func (s *server) readChangeHeaders(r *http.Request) (config.Change, *api.Error) {
	for _, name := range []string{"If-Match", api.HeaderIdempotencyKey} {
		if len(r.Header.Values(name)) > 1 {
			return config.Change{}, malformed("%s must be given once", name)
		}
	}
	ifMatch, err := parseIfMatch(r.Header.Get("If-Match"))
	if err != nil {
		return config.Change{}, malformed("%v", err)
	}
	key := r.Header.Get(api.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return config.Change{}, malformed("%s is longer than %d bytes", api.HeaderIdempotencyKey, maxKeyBytes)
	}
	if key == "" {
		// With a generated key the accepter recognises its own write if the store loses the answer to it.
		key = ulid.Make().String()
	}
	who := r.Header.Get(HeaderOperator)
	if who == "" {
		who = "operator@" + r.RemoteAddr
	}
	return config.Change{IfMatch: ifMatch, Key: key, Who: who}, nil
}

// malformed returns an error with status 400 and outcome not-run.
func malformed(format string, args ...any) *api.Error {
	return api.Errorf(http.StatusBadRequest, api.CodeMalformed, api.NotRun, format, args...)
}

// parseDryRun parses the query parameter dry_run. A value that is not a boolean is an error, since the change would
// otherwise be applied.
func parseDryRun(r *http.Request) (bool, error) {
	values, given := r.URL.Query()["dry_run"]
	if !given {
		return false, nil
	}
	dryRun, err := strconv.ParseBool(values[len(values)-1])
	if err != nil || len(values) > 1 {
		return false, fmt.Errorf("dry_run must be given once and be true or false")
	}
	return dryRun, nil
}

// parseIfMatch parses a version or an entity tag. An empty header and "*" mean config.AnyVersion, 0 means
// config.NoVersion.
func parseIfMatch(h string) (int64, error) {
	h = strings.Trim(strings.TrimPrefix(strings.TrimSpace(h), "W/"), `"`)
	if h == "" || h == "*" {
		return config.AnyVersion, nil
	}
	v, err := strconv.ParseInt(h, 10, 64)
	if err == nil && v == 0 {
		return config.NoVersion, nil
	}
	if err != nil || v < 0 {
		return 0, fmt.Errorf("If-Match %q is not a version", h)
	}
	return v, nil
}

func etag(version int64) string { return fmt.Sprintf("%q", strconv.FormatInt(version, 10)) }

// withChange returns the current configuration with the documents of the change.
func withChange(current api.Config, c config.Change) api.Config {
	if c.Register != nil {
		current.Register = *c.Register
	}
	if c.Rules != nil {
		current.Rules = *c.Rules
	}
	return current
}

// wasAccepted reports whether a change with this key was accepted before. A resend must get the first answer even if
// its documents no longer fit the configuration in force.
func (s *server) wasAccepted(ctx context.Context, key string) bool {
	history, err := s.Config.History(ctx)
	if err != nil {
		return false
	}
	for _, h := range history {
		if h.Key == key {
			return true
		}
	}
	return false
}

// dryRun answers what the change would do, or the error that Apply would return for its If-Match.
func (s *server) dryRun(w http.ResponseWriter, c config.Change, current, next api.Config) {
	accepted := max(s.Config.Accepted(), current.Version)
	if !c.Matches(accepted) {
		s.writeApplyError(w, "", &config.RaceError{Current: accepted})
		return
	}
	writeJSON(w, http.StatusOK, ApplyResult{Version: current.Version, DryRun: true, Changes: Diff(current, next)})
}

// writeApplyError answers a change that was not accepted, or for which that is not known.
func (s *server) writeApplyError(w http.ResponseWriter, key string, err error) {
	var findings api.Findings
	var race *config.RaceError
	var reuse *config.KeyReuseError
	switch {
	case errors.As(err, &findings):
		writeFindings(w, findings)
	case errors.As(err, &race):
		e := api.Errorf(http.StatusPreconditionFailed, api.CodeVersionRace, api.NotRun, "%v", race)
		e.RequestID = w.Header().Get(api.HeaderRequestID)
		w.Header().Set("ETag", etag(race.Current))
		w.Header().Set(api.HeaderOutcome, string(e.Outcome))
		writeJSON(w, e.Status, versionRaceBody{Version: race.Current, Error: e.Body().Error})
	case errors.As(err, &reuse):
		writeError(w, api.Errorf(http.StatusConflict, api.CodeConflict, api.NotRun, "%v", reuse))
	case errors.Is(err, store.ErrUnavailable):
		e := api.Errorf(http.StatusServiceUnavailable, api.CodeStore, api.NotRun, "the change was not accepted: %v", err)
		e.RetryAfter = storeRetryAfter
		writeError(w, e)
	default:
		// With any other error, such as the end of the call's context, the store may have written the new head.
		e := api.Errorf(http.StatusServiceUnavailable, api.CodeStore, api.Unknown,
			"the change may have been accepted; send it again with Idempotency-Key %q: %v", key, err)
		e.RetryAfter = storeRetryAfter
		w.Header().Set(api.HeaderIdempotencyKey, key)
		writeError(w, e)
	}
}

func writeFindings(w http.ResponseWriter, f api.Findings) {
	e := api.Errorf(http.StatusUnprocessableEntity, api.CodeInvalid, api.NotRun, "the documents have %s", findingCount(len(f)))
	e.RequestID = w.Header().Get(api.HeaderRequestID)
	w.Header().Set(api.HeaderOutcome, string(e.Outcome))
	writeJSON(w, e.Status, findingsBody{Findings: f, Error: e.Body().Error})
}

func findingCount(n int) string {
	if n == 1 {
		return "1 finding"
	}
	return fmt.Sprintf("%d findings", n)
}

func (s *server) register(w http.ResponseWriter, r *http.Request) {
	c := s.Board.Config.Value()
	c.Register.Kind = api.KindRegister
	s.writeDocument(w, r, c.Version, c.Register)
}

func (s *server) rules(w http.ResponseWriter, r *http.Request) {
	c := s.Board.Config.Value()
	c.Rules.Kind = api.KindRules
	s.writeDocument(w, r, c.Version, c.Rules)
}

// writeDocument writes the register or rules in force in the form that apply accepts.
func (s *server) writeDocument(w http.ResponseWriter, r *http.Request, version int64, doc any) {
	w.Header().Set("ETag", etag(version))
	if matchesAny(r.Header.Values("If-None-Match"), etag(version)) {
		// Every answer other than 2xx has an outcome; a read is always not-run.
		w.Header().Set(api.HeaderOutcome, string(api.NotRun))
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, doc)
}

// matchesAny reports whether lists of entity tags contain tag, by weak comparison, or "*".
func matchesAny(lists []string, tag string) bool {
	for x := range strings.SplitSeq(strings.Join(lists, ","), ",") {
		if x = strings.TrimPrefix(strings.TrimSpace(x), "W/"); x == tag || x == "*" {
			return true
		}
	}
	return false
}
