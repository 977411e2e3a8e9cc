// Package objectapi is a stand-in for the platform's object API. It keeps objects in memory and injects faults.
package objectapi

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/standin/faults"
)

// Faults are the faults that POST /standin/faults sets.
type Faults struct {
	// OutageSeconds resets all connections for this long, counted from the latest change of any fault.
	OutageSeconds float64 `json:"outage_seconds"`
	// DelayMs delays each call.
	DelayMs int `json:"delay_ms"`
	// LoseAnswers is the probability that a write takes effect but its connection is reset instead of answered.
	LoseAnswers float64 `json:"lose_answers"`
}

// defaultListLimit is the largest number of objects on a page when a list call has no valid limit.
const defaultListLimit = 500

// watchSyncInterval is the time between the sync events of a watch, which tell the client the revision reached.
const watchSyncInterval = 5 * time.Second

// Server serves the object API.
type Server struct {
	// Store holds the objects.
	Store  *memstore.Store
	mux    *http.ServeMux
	faults *faults.Settings[Faults]

	// mu guards the fields below.
	mu        sync.Mutex
	rng       *rand.Rand
	outageEnd time.Time
	// outageStarted is closed and replaced when an outage starts, so that open watches are aborted too.
	outageStarted chan struct{}
	// callCounts counts calls by method and first path element, such as "GET objects".
	callCounts map[string]int
}

// New returns a server over an empty store. seed determines which answers LoseAnswers loses.
func New(seed uint64) *Server {
	s := &Server{
		Store: memstore.New(), mux: http.NewServeMux(), rng: rand.New(rand.NewPCG(seed, 1)),
		outageStarted: make(chan struct{}), callCounts: map[string]int{},
	}
	s.faults = faults.NewSettings(Faults{}, s.applyFaults)
	s.mux.HandleFunc("GET /objects/{key...}", s.get)
	s.mux.HandleFunc("PUT /objects/{key...}", s.put)
	s.mux.HandleFunc("DELETE /objects/{key...}", s.delete)
	s.mux.HandleFunc("GET /objects", s.list)
	s.mux.HandleFunc("GET /watch", s.watch)
	s.mux.Handle("POST /standin/faults", s.faults)
	s.mux.Handle("GET /standin/executions", &faults.Executions{})
	s.mux.HandleFunc("GET /standin/calls", s.handleCallCounts)
	return s
}

// applyFaults starts an outage of f.OutageSeconds, or ends the present one if that is 0.
func (s *Server) applyFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageEnd = time.Now().Add(time.Duration(f.OutageSeconds * float64(time.Second)))
	if f.OutageSeconds > 0 {
		close(s.outageStarted)
		s.outageStarted = make(chan struct{})
	}
}

// ServeHTTP serves one call. During an outage it resets the connection of every call outside /standin/.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		s.mux.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	down := time.Now().Before(s.outageEnd)
	s.callCounts[r.Method+" "+strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)[0]]++
	s.mu.Unlock()
	if down {
		faults.ResetConnection(w)
		return
	}
	if d := s.faults.Get().DelayMs; d > 0 {
		time.Sleep(time.Duration(d) * time.Millisecond)
	}
	s.mux.ServeHTTP(w, r)
}

// handleCallCounts serves GET /standin/calls.
func (s *Server) handleCallCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, s.callCounts)
}

// shouldLoseAnswer decides at random whether to lose the answer to a write that took effect.
func (s *Server) shouldLoseAnswer() bool {
	probability := s.faults.Get().LoseAnswers
	s.mu.Lock()
	defer s.mu.Unlock()
	return probability > 0 && s.rng.Float64() < probability
}

// writeError answers with the status that the object API has for an error of the store.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, store.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, store.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, store.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, store.ErrCompacted):
		status = http.StatusGone
	}
	http.Error(w, err.Error(), status)
}

// get serves GET /objects/KEY.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.Store.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Object-Revision", strconv.FormatInt(o.Revision, 10))
	_, _ = w.Write(o.Value)
}

// expectedRevision returns the revision in the If-Revision header. Without the header it returns store.AnyRevision, which
// makes the write unconditional.
func expectedRevision(r *http.Request) (int64, error) {
	text := r.Header.Get("If-Revision")
	if text == "" {
		return store.AnyRevision, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

// put serves PUT /objects/KEY. The write is conditional if the call has an If-Revision header.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	expected, err := expectedRevision(r)
	if err != nil {
		http.Error(w, "If-Revision must be a whole number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes+1))
	if err != nil {
		writeError(w, store.ErrTooLarge)
		return
	}
	revision, err := s.Store.Put(r.Context(), r.PathValue("key"), value, expected)
	if err != nil {
		writeError(w, err)
		return
	}
	if s.shouldLoseAnswer() {
		faults.ResetConnection(w)
		return
	}
	w.Header().Set("Object-Revision", strconv.FormatInt(revision, 10))
	w.WriteHeader(http.StatusNoContent)
}

// delete serves DELETE /objects/KEY, conditional in the same way as put.
func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	expected, err := expectedRevision(r)
	if err != nil {
		http.Error(w, "If-Revision must be a whole number", http.StatusBadRequest)
		return
	}
	if err := s.Store.Delete(r.Context(), r.PathValue("key"), expected); err != nil {
		writeError(w, err)
		return
	}
	if s.shouldLoseAnswer() {
		faults.ResetConnection(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// objectJSON is the JSON form of an object, in which Value is base64.
type objectJSON struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// pageJSON is the JSON form of one page of a list.
type pageJSON struct {
	Objects  []objectJSON `json:"objects"`
	Next     string       `json:"next"`
	Revision int64        `json:"revision"`
}

// list serves GET /objects: one page of the objects with a prefix, after the key given by after.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultListLimit
	}
	page, err := s.Store.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	answer := pageJSON{Next: page.Next, Revision: page.Revision, Objects: []objectJSON{}}
	for _, o := range page.Objects {
		answer.Objects = append(answer.Objects, objectJSON(o))
	}
	faults.WriteJSON(w, http.StatusOK, answer)
}

// eventJSON is the JSON form of a watch event.
type eventJSON struct {
	Type store.EventType `json:"type"`
	objectJSON
}

// watch serves GET /watch: it streams the events after the revision given by from, one JSON object per line,
// until the client leaves or an outage starts.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be a whole number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	outageStarted := s.outageStarted
	s.mu.Unlock()
	events, err := s.Store.Watch(r.Context(), q.Get("prefix"), from)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	enc := json.NewEncoder(w)
	ticker := time.NewTicker(watchSyncInterval)
	defer ticker.Stop()
	for {
		var e eventJSON
		select {
		case event, ok := <-events:
			if !ok {
				return
			}
			e = eventJSON{Type: event.Type, objectJSON: objectJSON(event.Object)}
		case <-ticker.C:
			e = eventJSON{Type: store.EventSync, objectJSON: objectJSON{Revision: from}}
		case <-outageStarted:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		from = max(from, e.Revision)
		if enc.Encode(e) != nil || flusher.Flush() != nil {
			return
		}
	}
}
