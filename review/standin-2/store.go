package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The platform's metadata store, as PROTOCOL.md describes it: objects by kind and name, one revision counter, watches that wait.

const (
	storeLatency = 4 * time.Millisecond
	objectsPath  = "/-/objects/"
	pageItems    = 500
	pageBytes    = 1 << 20
	valueBytes   = 1 << 20
)

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create-revision"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
	// text is the object as JSON, where that is kept.
	text json.RawMessage
}

type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	at      time.Time
}

type kindState struct {
	objects map[string]object
	log     []change
	changed chan struct{}
	// sorted holds the names of a large kind, or nil if they have changed.
	sorted []string
}

// fate is what happens to a write.
type fate struct {
	// lost: the call gets no answer, and its channel returns nothing further. It is carried out after late, if its condition still holds then.
	lost bool
	late time.Duration
}

// write is a write call as the fault hook sees it.
type write struct {
	Method, Kind, Name string
	Body               object
}

type store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]*kindState
	// decide tells the fate of a write; nil lets all through.
	decide func(write) fate
	// writes and lostWrites count the write calls while decide was set.
	writes, lostWrites int
	// missing and missingKind return objects that are derived from others when they are read.
	missing     func(kind, name string) (object, bool)
	missingKind func(kind string) map[string]object
	// quiet keeps the writes of job heads out of the record.
	quiet bool
	// staleAge is how old the lists are that calls with stale-ok get; 0 for lists of the moment.
	staleAge time.Duration
	// rewrite changes the spec of an object that the system writes; nil leaves all as they are.
	rewrite func(kind, name string, spec json.RawMessage) json.RawMessage
	rec     *recorder
}

func newStore(rec *recorder) *store {
	return &store{revision: 1, kinds: map[string]*kindState{}, rec: rec}
}

func (s *store) serve(l net.Listener) { _ = http.Serve(l, s) }

func (s *store) setFault(decide func(write) fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decide = decide
}

func (s *store) counts() (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.lostWrites
}

func (s *store) kind(name string) *kindState {
	k := s.kinds[name]
	if k == nil {
		k = &kindState{objects: map[string]object{}, changed: make(chan struct{})}
		s.kinds[name] = k
	}
	return k
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	var in object
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeLatency)
	q := r.URL.Query()
	if r.Method == http.MethodGet {
		switch {
		case q.Has("watch"):
			s.watch(w, r, kind)
		case name == "":
			age := time.Duration(0)
			if q.Has("stale-ok") {
				age = s.staleAge
			}
			s.list(w, kind, q.Get("after"), age)
		default:
			s.get(w, kind, name)
		}
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	in.Metadata.Name = name
	if s.rewrite != nil && len(in.Spec) > 0 {
		in.Spec = s.rewrite(kind, name, in.Spec)
	}
	if text := q.Get("revision"); text != "" {
		in.Metadata.Revision, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	var f fate
	if s.decide != nil {
		s.writes++
		if f = s.decide(write{r.Method, kind, name, in}); f.lost {
			s.lostWrites++
		}
	}
	s.mu.Unlock()
	if f.lost {
		s.rec.add("store: %s %s/%s gets no answer, is carried out %v later", r.Method, kind, name, f.late)
		go func() {
			time.Sleep(f.late)
			status, o := s.apply(r.Method, kind, name, isStatus, in)
			s.rec.add("store: late %s %s/%s carried out: status %d, now %s", r.Method, kind, name, status, o.Spec)
		}()
		<-r.Context().Done() // The channel returns nothing further.
		panic(http.ErrAbortHandler)
	}
	status, o := s.apply(r.Method, kind, name, isStatus, in)
	writeJSON(w, status, o)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	text, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// apply carries out a write.
func (s *store) apply(method, kind, name string, isStatus bool, in object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kind(kind)
	old, exists := k.objects[name]
	switch method {
	case http.MethodPost:
		if exists {
			return http.StatusConflict, old
		}
		in.Metadata.Created = s.revision + 1
		in.Status = nil
		return http.StatusCreated, s.put(k, kind, in)
	case http.MethodPut:
		switch {
		case !exists:
			return http.StatusNotFound, object{}
		case in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
			return http.StatusConflict, old
		case len(in.Spec) > valueBytes:
			return http.StatusRequestEntityTooLarge, object{}
		}
		next := old
		if isStatus {
			next.Status = in.Status
		} else {
			next.Spec = in.Spec
		}
		if string(next.Spec) == string(old.Spec) && string(next.Status) == string(old.Status) {
			return http.StatusOK, old
		}
		return http.StatusOK, s.put(k, kind, next)
	case http.MethodDelete:
		switch {
		case !exists:
			return http.StatusNotFound, object{}
		case in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
			return http.StatusConflict, old
		}
		delete(k.objects, name)
		s.revision++
		old.Metadata.Revision = s.revision
		k.append(change{old, true, time.Now()})
		return http.StatusOK, old
	}
	return http.StatusMethodNotAllowed, object{}
}

func (s *store) put(k *kindState, kind string, o object) object {
	s.revision++
	o.Metadata.Revision, o.text = s.revision, nil
	k.objects[o.Metadata.Name] = o
	k.append(change{o, false, time.Now()})
	if kind == "members" || kind == "jobs" && !s.quiet {
		s.rec.add("store: %s/%s revision %d: %s", kind, o.Metadata.Name, s.revision, o.Spec)
	}
	return o
}

func (k *kindState) append(c change) {
	k.sorted = nil
	k.log = append(k.log, c)
	close(k.changed)
	k.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kind(kind).objects[name]
	if !ok && s.missing != nil {
		o, ok = s.missing(kind, name)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// before returns the objects of a kind, and the store's revision, as they were at a moment.
func (k *kindState) before(moment time.Time) (*kindState, int64) {
	then, revision := &kindState{objects: map[string]object{}}, int64(1)
	for _, c := range k.log {
		if c.at.After(moment) {
			break
		}
		if revision = c.Object.Metadata.Revision; c.Deleted {
			delete(then.objects, c.Object.Metadata.Name)
		} else {
			then.objects[c.Object.Metadata.Name] = c.Object
		}
	}
	return then, revision
}

func (s *store) list(w http.ResponseWriter, kind, after string, age time.Duration) {
	s.mu.Lock()
	k, revision := s.kind(kind), s.revision
	if age > 0 {
		k, revision = k.before(time.Now().Add(-age))
	}
	if len(k.objects) == 0 && s.missingKind != nil {
		if objects := s.missingKind(kind); objects != nil {
			k = &kindState{objects: objects}
		}
	}
	names := k.sorted[:len(k.sorted):len(k.sorted)]
	if k.sorted == nil {
		for name := range k.objects {
			names = append(names, name)
		}
		slices.Sort(names)
		if len(names) > pageItems {
			k.sorted = names
		}
	}
	first, found := slices.BinarySearch(names, after)
	if found {
		first++
	}
	names = names[first:]
	items, size, more := [][]byte{}, 0, false
	for _, name := range names {
		o := k.objects[name]
		size += len(o.Spec)
		if len(items) > 0 && (size > pageBytes || len(items) == pageItems) {
			more = true
			break
		}
		text := o.text
		if text == nil {
			text, _ = json.Marshal(o)
		}
		items = append(items, text)
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"items":[%s],"more":%t,"current-rev":%d}`, bytes.Join(items, []byte(",")), more, revision)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		k := s.kind(kind)
		events := []change{}
		for _, c := range k.log {
			if c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, k.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// operatorPut writes an object as the operator or a replica does.
func (s *store) operatorPut(kind, name string, spec any) {
	text, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kind(kind)
	o := k.objects[name]
	if string(o.Spec) == string(text) {
		return
	}
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision + 1
	}
	o.Metadata.Name, o.Spec = name, text
	s.put(k, kind, o)
}

func (s *store) operatorDelete(kind, name string) {
	_, _ = s.apply(http.MethodDelete, kind, name, false, object{})
}
