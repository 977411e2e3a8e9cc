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

// storeRetryAfter is the wait proposed after a store failure. Most slow periods of the store end sooner, and a
// resend of the same key is safe at any time.
const storeRetryAfter = 5 * time.Second

// HeaderOperator names the operator of a change, for the history.
const HeaderOperator = "Trefoil-Operator"

// applyTimeout bounds the wait for the store. It is below the 60 s that trefoilctl waits, so that a slow store gives
// an answer with its outcome instead of a broken connection.
const applyTimeout = 20 * time.Second

// ApplyResult is the answer to an accepted or checked apply.
type ApplyResult struct {
	// Version is the accepted version; for a dry run the version that the documents were checked against.
	Version int64 `json:"version"`
	// Key identifies the change when it is sent again.
	Key    string `json:"idempotency_key,omitempty"`
	DryRun bool   `json:"dry_run,omitempty"`
	// Replayed is set when the change had been accepted before under the same key; it changes nothing now.
	Replayed bool     `json:"replayed,omitempty"`
	Changes  []Change `json:"changes"`
}

// findingsBody is the answer to documents with faults. Error repeats the findings in the form of other errors.
type findingsBody struct {
	Findings api.Findings    `json:"findings"`
	Error    api.ErrorDetail `json:"error"`
}

// raceBody is the answer to a change that was made on an old version.
type raceBody struct {
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
	next := merge(current, change)
	if f := docs.Check(next); len(f) > 0 && (dryRun || !s.knownChange(r.Context(), change.Key)) {
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
		s.applyFailed(w, change.Key, err)
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

// readChange reads the documents and headers of a call, or answers the call and returns false.
func (s *server) readChange(w http.ResponseWriter, r *http.Request) (config.Change, *api.Documents, bool) {
	body, err := readDocuments(w, r)
	if err != nil {
		writeError(w, err)
		return config.Change{}, nil, false
	}
	change, err := s.changeHeaders(r)
	if err != nil {
		writeError(w, err)
		return config.Change{}, nil, false
	}
	docs, findings := api.Decode(body)
	change.Register, change.Rules = docs.Register, docs.Rules
	if len(findings) > 0 {
		writeFindings(w, append(findings, furtherFindings(docs, findings, merge(s.Board.Config.Value(), change))...))
		return config.Change{}, nil, false
	}
	return change, docs, true
}

// furtherFindings checks what could be read of documents with findings, so that an operator sees all faults at once. It
// leaves out values that have a finding or hold one, and finds nothing when the register or a whole part could not be
// read, since everything that refers to a misspelt name would then be found missing.
func furtherFindings(docs *api.Documents, found api.Findings, next api.Config) api.Findings {
	for _, f := range found {
		if f.Path == "" || f.Path == "kind" || within(f.Path, "register") || strings.HasPrefix(f.Message, "must be ") {
			return nil
		}
	}
	var further api.Findings
	for _, x := range docs.Check(next) {
		if !slices.ContainsFunc(found, func(f api.Finding) bool { return within(x.Path, f.Path) || within(f.Path, x.Path) }) {
			further = append(further, x)
		}
	}
	return further
}

// within reports whether a path is that of a value or of a part of it.
func within(path, value string) bool {
	rest, ok := strings.CutPrefix(path, value)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// readDocuments reads the body of a call within its bounds.
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
	// The deadline must not end the background read that notices the end of the connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// changeHeaders reads what the headers of a call say about the change.
func (s *server) changeHeaders(r *http.Request) (config.Change, *api.Error) {
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
		// A key of our own lets the accepter recognise its own write when the store loses the answer.
		key = ulid.Make().String()
	}
	who := r.Header.Get(HeaderOperator)
	if who == "" {
		who = "operator@" + r.RemoteAddr
	}
	return config.Change{IfMatch: ifMatch, Key: key, Who: who}, nil
}

func malformed(format string, args ...any) *api.Error {
	return api.Errorf(http.StatusBadRequest, api.CodeMalformed, api.NotRun, format, args...)
}

// parseDryRun reads the parameter dry_run. A value that is not understood is an error, since the change would
// otherwise be made.
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

// parseIfMatch reads a version or an entity tag. None is config.AnyVersion, and 0 is config.NoVersion.
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

// merge returns the configuration that the change would bring into force.
func merge(current api.Config, c config.Change) api.Config {
	if c.Register != nil {
		current.Register = *c.Register
	}
	if c.Rules != nil {
		current.Rules = *c.Rules
	}
	return current
}

// knownChange reports whether a change with this key was accepted before. Its documents may no longer fit the
// configuration in force, and a resend must still get the first answer.
func (s *server) knownChange(ctx context.Context, key string) bool {
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

func (s *server) dryRun(w http.ResponseWriter, c config.Change, current, next api.Config) {
	accepted := max(s.Config.Accepted(), current.Version)
	if !c.Matches(accepted) {
		s.applyFailed(w, "", &config.RaceError{Current: accepted})
		return
	}
	writeJSON(w, http.StatusOK, ApplyResult{Version: current.Version, DryRun: true, Changes: Diff(current, next)})
}

// applyFailed answers a change that was not, or perhaps not, accepted.
func (s *server) applyFailed(w http.ResponseWriter, key string, err error) {
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
		writeJSON(w, e.Status, raceBody{Version: race.Current, Error: e.Body().Error})
	case errors.As(err, &reuse):
		writeError(w, api.Errorf(http.StatusConflict, api.CodeConflict, api.NotRun, "%v", reuse))
	case errors.Is(err, store.ErrUnavailable):
		e := api.Errorf(http.StatusServiceUnavailable, api.CodeStore, api.NotRun, "the change was not accepted: %v", err)
		e.RetryAfter = storeRetryAfter
		writeError(w, e)
	default:
		// An error of any other kind, such as the end of the call's context, leaves open whether the head was written.
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
	s.document(w, r, c.Version, c.Register)
}

func (s *server) rules(w http.ResponseWriter, r *http.Request) {
	c := s.Board.Config.Value()
	c.Rules.Kind = api.KindRules
	s.document(w, r, c.Version, c.Rules)
}

// document writes a document in force, so that it can be edited and applied again.
func (s *server) document(w http.ResponseWriter, r *http.Request, version int64, doc any) {
	w.Header().Set("ETag", etag(version))
	if matchesAny(r.Header.Values("If-None-Match"), etag(version)) {
		// Every answer that is not 2xx has an outcome; a read runs nothing.
		w.Header().Set(api.HeaderOutcome, string(api.NotRun))
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, doc)
}

// matchesAny reports whether a list of entity tags, compared as weak ones, holds tag or "*".
func matchesAny(lists []string, tag string) bool {
	for x := range strings.SplitSeq(strings.Join(lists, ","), ",") {
		if x = strings.TrimPrefix(strings.TrimSpace(x), "W/"); x == tag || x == "*" {
			return true
		}
	}
	return false
}
