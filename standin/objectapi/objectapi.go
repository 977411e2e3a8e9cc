// Package objectapi is a stand-in for the platform's object API, in memory and with injected faults.
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
	// OutageSeconds breaks all connections for this long from the call on.
	OutageSeconds float64 `json:"outage_seconds"`
	// DelayMs is added to each answer.
	DelayMs int `json:"delay_ms"`
	// LoseAnswers is the part of writes whose answer is lost after the write took effect.
	LoseAnswers float64 `json:"lose_answers"`
}

// defaultListLimit bounds a page when the call names no limit.
const defaultListLimit = 500

// syncInterval is the time between revision reports on a quiet watch.
const syncInterval = 5 * time.Second

// Server serves the object API.
type Server struct {
	Store  *memstore.Store
	mux    *http.ServeMux
	faults *faults.Settings[Faults]

	mu     sync.Mutex
	rng    *rand.Rand
	outage time.Time
	// broken is closed when an outage starts, so that waiting watches break too.
	broken chan struct{}
	calls  map[string]int
}

// New returns a server over an empty store; seed drives the lost answers.
func New(seed uint64) *Server {
	s := &Server{
		Store: memstore.New(), mux: http.NewServeMux(), rng: rand.New(rand.NewPCG(seed, 1)),
		broken: make(chan struct{}), calls: map[string]int{},
	}
	s.faults = faults.NewSettings(Faults{}, s.applyFaults)
	s.mux.HandleFunc("GET /objects/{key...}", s.get)
	s.mux.HandleFunc("PUT /objects/{key...}", s.put)
	s.mux.HandleFunc("DELETE /objects/{key...}", s.delete)
	s.mux.HandleFunc("GET /objects", s.list)
	s.mux.HandleFunc("GET /watch", s.watch)
	s.mux.Handle("POST /standin/faults", s.faults)
	s.mux.Handle("GET /standin/executions", &faults.Executions{})
	s.mux.HandleFunc("GET /standin/calls", s.callCounts)
	return s
}

func (s *Server) applyFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = time.Now().Add(time.Duration(f.OutageSeconds * float64(time.Second)))
	if f.OutageSeconds > 0 {
		close(s.broken)
		s.broken = make(chan struct{})
	}
}

// ServeHTTP serves one call, or breaks its connection during an outage.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		s.mux.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	down := time.Now().Before(s.outage)
	s.calls[r.Method+" "+strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)[0]]++
	s.mu.Unlock()
	if down {
		faults.Break(w)
		return
	}
	if d := s.faults.Get().DelayMs; d > 0 {
		time.Sleep(time.Duration(d) * time.Millisecond)
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) callCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, s.calls)
}

// loseAnswer reports whether the answer of a write that took effect is to be lost.
func (s *Server) loseAnswer() bool {
	p := s.faults.Get().LoseAnswers
	s.mu.Lock()
	defer s.mu.Unlock()
	return p > 0 && s.rng.Float64() < p
}

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

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.Store.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Object-Revision", strconv.FormatInt(o.Revision, 10))
	_, _ = w.Write(o.Value)
}

// condition reads If-Revision; without the header the write is unconditional.
func condition(r *http.Request) (int64, error) {
	text := r.Header.Get("If-Revision")
	if text == "" {
		return store.AnyRevision, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	expect, err := condition(r)
	if err != nil {
		http.Error(w, "If-Revision must be a whole number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes+1))
	if err != nil {
		writeError(w, store.ErrTooLarge)
		return
	}
	revision, err := s.Store.Put(r.Context(), r.PathValue("key"), value, expect)
	if err != nil {
		writeError(w, err)
		return
	}
	if s.loseAnswer() {
		faults.Break(w)
		return
	}
	w.Header().Set("Object-Revision", strconv.FormatInt(revision, 10))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	expect, err := condition(r)
	if err != nil {
		http.Error(w, "If-Revision must be a whole number", http.StatusBadRequest)
		return
	}
	if err := s.Store.Delete(r.Context(), r.PathValue("key"), expect); err != nil {
		writeError(w, err)
		return
	}
	if s.loseAnswer() {
		faults.Break(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// objectJSON is the wire form of an object; Value is base64 text.
type objectJSON struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

type pageJSON struct {
	Objects  []objectJSON `json:"objects"`
	Next     string       `json:"next"`
	Revision int64        `json:"revision"`
}

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

type eventJSON struct {
	Type store.EventType `json:"type"`
	objectJSON
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be a whole number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	events, err := s.Store.Watch(r.Context(), q.Get("prefix"), from)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	enc := json.NewEncoder(w)
	ticker := time.NewTicker(syncInterval)
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
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		from = max(from, e.Revision)
		if enc.Encode(e) != nil || flush.Flush() != nil {
			return
		}
	}
}
