package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create-revision"`
}

type change struct {
	kind    string
	object  object
	deleted bool
	at      time.Time
}

// fault is what the store does with a call.
type fault int

const (
	serve fault = iota
	// silent calls are neither carried out nor answered.
	silent
)

const (
	storeLatency = 4 * time.Millisecond
	// valueBytes is the store's limit on an object, and pageBytes that on a list.
	valueBytes, pageBytes, pageItems = 1 << 20, 1 << 20, 500
)

// store is a stand-in for the platform's metadata store. It keeps all history.
type store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]*object
	log      []change
	// changed is closed and replaced with each change.
	changed chan struct{}
	// decide returns the fault of a call; nil means none.
	decide func(method, kind, name string) fault
	// staleness is the age of what lists return that may be stale.
	staleness time.Duration
	address   string
	server    *http.Server
	// tooLarge counts the refused writes of values above the limit.
	tooLarge int
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, kinds: map[string]map[string]*object{}, changed: make(chan struct{}), address: l.Addr().String()}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s, nil
}

func (s *store) setFault(decide func(method, kind, name string) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decide = decide
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	var in object
	body, _ := io.ReadAll(r.Body)
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	f := serve
	if s.decide != nil {
		f = s.decide(r.Method, kind, name)
	}
	s.mu.Unlock()
	time.Sleep(storeLatency)
	if f == silent {
		<-r.Context().Done()
		return
	}
	switch {
	case r.Method != http.MethodGet:
		status, o := s.change(r, kind, name, isStatus, in)
		writeAnswer(w, status, o)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case name == "":
		s.list(w, r, kind)
	default:
		s.mu.Lock()
		o := s.kinds[kind][name]
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeAnswer(w, http.StatusOK, o)
	}
}

func writeAnswer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// change carries out a write and returns its status and the object.
func (s *store) change(r *http.Request, kind, name string, isStatus bool, in object) (int, *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.kinds[kind][name]
	if len(in.Spec) > valueBytes {
		s.tooLarge++
		return http.StatusRequestEntityTooLarge, nil
	}
	expect := in.Metadata.Revision
	if r.Method == http.MethodDelete {
		expect, _ = strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && old != nil:
		return http.StatusConflict, old
	case r.Method == http.MethodPost:
		return http.StatusCreated, s.write(kind, object{Metadata: metadata{Name: name, Created: s.revision + 1}, Spec: in.Spec})
	case old == nil:
		return http.StatusNotFound, nil
	case expect != 0 && expect != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		s.revision++
		gone := *old
		gone.Metadata.Revision = s.revision
		delete(s.kinds[kind], name)
		s.record(change{kind, gone, true, time.Now()})
		return http.StatusOK, &gone
	}
	next := *old
	if isStatus {
		next.Status = in.Status
	} else {
		next.Spec = in.Spec
	}
	if string(next.Spec) == string(old.Spec) && string(next.Status) == string(old.Status) {
		return http.StatusOK, old
	}
	return http.StatusOK, s.write(kind, next)
}

// write stores an object under the next revision. The caller holds s.mu.
func (s *store) write(kind string, o object) *object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	s.kinds[kind][o.Metadata.Name] = &o
	s.record(change{kind, o, false, time.Now()})
	return &o
}

func (s *store) record(c change) {
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object as the operator or a replica does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name, Created: s.revision + 1}, Spec: text})
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	objects, revision := s.kinds[kind], s.revision
	if r.URL.Query().Get("stale-ok") == "1" && s.staleness > 0 {
		objects, revision = s.objectsAt(kind, time.Now().Add(-s.staleness))
	}
	var names []string
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	page := struct {
		Items    []*object `json:"items"`
		More     bool      `json:"more"`
		Revision int64     `json:"current-rev"`
	}{Items: []*object{}, Revision: revision}
	size := 0
	for _, name := range names {
		o := objects[name]
		if size += len(o.Spec); len(page.Items) > 0 && (size > pageBytes || len(page.Items) == pageItems) {
			page.More = true
			break
		}
		page.Items = append(page.Items, o)
	}
	writeAnswer(w, http.StatusOK, page)
}

// objectsAt returns the objects of a kind and the revision as of an earlier time. The caller holds s.mu.
func (s *store) objectsAt(kind string, at time.Time) (map[string]*object, int64) {
	objects, revision := map[string]*object{}, int64(1)
	for _, c := range s.log {
		if c.at.After(at) {
			break
		}
		revision = c.object.Metadata.Revision
		if c.kind != kind {
			continue
		}
		if delete(objects, c.object.Metadata.Name); !c.deleted {
			objects[c.object.Metadata.Name] = &c.object
		}
	}
	return objects, revision
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	type event struct {
		Object  object `json:"object"`
		Deleted bool   `json:"deleted"`
	}
	for {
		s.mu.Lock()
		events := []event{}
		for _, c := range s.log {
			if c.object.Metadata.Revision > from && c.kind == kind {
				events = append(events, event{c.object, c.deleted})
			}
		}
		revision, changed, blocked := s.revision, s.changed, s.decide != nil && s.decide(r.Method, kind, "") == silent
		s.mu.Unlock()
		if blocked {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 || ctx.Err() != nil {
			writeAnswer(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
