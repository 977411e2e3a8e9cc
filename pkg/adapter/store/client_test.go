package store_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// fakeAPI is a transport that serves a memstore as the HTTP object API without a network. fault selects the fault of
// each request, which are numbered from 1.
type fakeAPI struct {
	*memstore.Store
	requests atomic.Int64
	fault    func(n int64, r *http.Request) fault
}

// fault is what happens to one request.
type fault int

const (
	noFault fault = iota
	connectRefused
	unavailable
	answerLost
	requestLost
)

var errReset = errors.New("connection reset")

func (a *fakeAPI) RoundTrip(r *http.Request) (*http.Response, error) {
	n := a.requests.Add(1)
	f := noFault
	if a.fault != nil {
		f = a.fault(n, r)
	}
	switch f {
	case connectRefused:
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	case unavailable:
		return &http.Response{StatusCode: 503, Body: io.NopCloser(strings.NewReader("down"))}, nil
	case requestLost:
		return nil, errReset
	}
	out := httptest.NewRecorder()
	a.serve(out, r)
	if f == answerLost {
		return nil, errReset
	}
	return out.Result(), nil
}

// serve answers a request as the object API does.
func (a *fakeAPI) serve(out http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/objects/")
	expect := store.AnyRevision
	if h := r.Header.Get("If-Revision"); h != "" {
		expect, _ = strconv.ParseInt(h, 10, 64)
	}
	var err error
	switch {
	case r.URL.Path == "/objects":
		limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
		p, _ := a.List(r.Context(), r.URL.Query().Get("prefix"), r.URL.Query().Get("after"), limit)
		list := []map[string]any{}
		for _, o := range p.Objects {
			list = append(list, map[string]any{"key": o.Key, "value": o.Value, "revision": o.Revision})
		}
		json.NewEncoder(out).Encode(map[string]any{"objects": list, "next": p.Next, "revision": p.Revision})
	case r.Method == http.MethodGet:
		var o store.Object
		if o, err = a.Get(r.Context(), key); err == nil {
			out.Header().Set("Object-Revision", strconv.FormatInt(o.Revision, 10))
			out.Write(o.Value)
		}
	case r.Method == http.MethodPut:
		var revision int64
		value, _ := io.ReadAll(r.Body)
		if revision, err = a.Put(r.Context(), key, value, expect); err == nil {
			out.Header().Set("Object-Revision", strconv.FormatInt(revision, 10))
		}
	case r.Method == http.MethodDelete:
		err = a.Delete(r.Context(), key, expect)
	}
	switch {
	case errors.Is(err, store.ErrNotFound):
		out.WriteHeader(404)
	case errors.Is(err, store.ErrConflict):
		out.WriteHeader(409)
	}
}

// newFakeAPI returns an empty store and a client of it with the options o.
func newFakeAPI(o store.Options) (*fakeAPI, *store.Client) {
	api := &fakeAPI{Store: memstore.New()}
	o.Transport = api
	return api, store.NewClient("127.0.0.1:1", o)
}

// TestRoundTrip guards against wrong HTTP encoding of keys, values, conditions, pages and errors in any call.
func TestRoundTrip(t *testing.T) {
	_, c := newFakeAPI(store.Options{})
	ctx := t.Context()
	revision, err := c.Put(ctx, "a/b c%", []byte("one"), store.CreateOnly)
	assert.NilError(t, err)
	_, err = c.Put(ctx, "a/b c%", []byte("two"), store.CreateOnly)
	assert.ErrorIs(t, err, store.ErrConflict)
	o, err := c.Get(ctx, "a/b c%")
	assert.NilError(t, err)
	assert.DeepEqual(t, o, store.Object{Key: "a/b c%", Value: []byte("one"), Revision: revision})
	_, err = c.Put(ctx, "a/c", nil, store.AnyRevision)
	assert.NilError(t, err)
	p, err := c.List(ctx, "a/", "", 1)
	assert.NilError(t, err)
	assert.Equal(t, p.Next, "a/b c%")
	all, err := store.ListAll(ctx, c, "a/")
	assert.NilError(t, err)
	assert.Equal(t, len(all.Objects), 2)
	assert.NilError(t, c.Delete(ctx, "a/c", store.AnyRevision))
	_, err = c.Get(ctx, "a/c")
	assert.ErrorIs(t, err, store.ErrNotFound)
	_, err = c.Put(ctx, "big", make([]byte, store.MaxValueBytes+1), store.AnyRevision)
	assert.ErrorIs(t, err, store.ErrTooLarge)
}

// TestLostAnswers guards against a write whose answer was lost being reported as not applied, or being applied twice
// because it was sent again.
func TestLostAnswers(t *testing.T) {
	firstOnly := func(kind fault) func(int64, *http.Request) fault {
		return func(n int64, r *http.Request) fault {
			if n == 1 {
				return kind
			}
			return noFault
		}
	}
	firstThenRefused := func(kind fault) func(int64, *http.Request) fault {
		return func(n int64, _ *http.Request) fault {
			if n == 1 {
				return kind
			}
			return connectRefused
		}
	}
	tests := []struct {
		name   string
		expect int64
		fault  func(int64, *http.Request) fault
		want   error
		writes int64
	}{
		{"conditional, answer lost", store.CreateOnly, firstOnly(answerLost), nil, 1},
		{"conditional, request lost", store.CreateOnly, firstOnly(requestLost), nil, 1},
		{"unconditional, answer lost", store.AnyRevision, firstOnly(answerLost), store.ErrUnknown, 1},
		{"unconditional, request lost", store.AnyRevision, firstOnly(requestLost), store.ErrUnknown, 0},
		{"refused once", store.AnyRevision, firstOnly(connectRefused), nil, 1},
		{"status 503 once", store.CreateOnly, firstOnly(unavailable), nil, 1},
		{"answer lost, then down", store.CreateOnly, firstThenRefused(answerLost), store.ErrUnknown, 1},
		{"down", store.CreateOnly, firstThenRefused(connectRefused), store.ErrUnavailable, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				api, c := newFakeAPI(store.Options{})
				api.fault = tt.fault
				_, err := c.Put(t.Context(), "k", []byte("v"), tt.expect)
				if tt.want == nil {
					assert.NilError(t, err)
				} else {
					assert.ErrorIs(t, err, tt.want)
				}
				assert.Equal(t, api.Revision(), tt.writes)
				assert.Assert(t, !(errors.Is(err, store.ErrUnknown) && errors.Is(err, store.ErrUnavailable)))
			})
		})
	}
}

// TestLostAnswerThenOverwritten guards against reporting a write as not applied when its answer was lost and another
// write replaced it before the client read the object back.
func TestLostAnswerThenOverwritten(t *testing.T) {
	api, c := newFakeAPI(store.Options{})
	api.fault = func(n int64, r *http.Request) fault {
		if n == 1 {
			return answerLost
		}
		if n == 2 {
			_, err := api.Put(t.Context(), "k", []byte("other"), store.AnyRevision)
			assert.NilError(t, err)
		}
		return noFault
	}
	_, err := c.Put(t.Context(), "k", []byte("v"), store.CreateOnly)
	assert.ErrorIs(t, err, store.ErrUnknown)
}

// TestReadsAreShared guards against concurrent reads of one key each costing a call, and against a read after a write
// that joins a read in flight and returns the value from before the write.
func TestReadsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api, c := newFakeAPI(store.Options{})
		_, err := api.Put(t.Context(), "k", []byte("old"), store.AnyRevision)
		assert.NilError(t, err)
		api.fault = func(_ int64, r *http.Request) fault {
			if r.Method == http.MethodGet {
				time.Sleep(time.Second)
			}
			return noFault
		}
		values := make(chan string, 10)
		for range 10 {
			go func() {
				o, _ := c.Get(t.Context(), "k")
				values <- string(o.Value)
			}()
		}
		synctest.Wait()
		assert.Equal(t, api.requests.Load(), int64(1))
		_, err = c.Put(t.Context(), "k", []byte("new"), store.AnyRevision)
		assert.NilError(t, err)
		o, err := c.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, string(o.Value), "new")
		assert.Equal(t, api.requests.Load(), int64(3))
		for range 10 {
			<-values
		}
	})
}

// TestPriorities guards against a lease renewal that waits for the budget behind queued data writes.
func TestPriorities(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := newFakeAPI(store.Options{WritesPerSecond: 10})
		data := store.WithPriority(t.Context(), store.PriorityData)
		for range 100 {
			go c.Put(data, "data", nil, store.AnyRevision)
		}
		synctest.Wait()
		began := time.Now()
		_, err := c.Put(store.WithPriority(t.Context(), store.PriorityLease), "lease", nil, store.AnyRevision)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.Sleep(time.Minute)
	})
}

// TestFollowResumes guards against changes that are missed or reported out of order when a watch breaks, and against a
// new list after each break: only a compaction needs one.
func TestFollowResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &flakyWatches{Store: memstore.New()}
		seen := map[string]int64{}
		go store.Follow(ctx, s, "k", func(u store.Update) {
			for _, o := range append(u.Objects, u.Event.Object) {
				assert.Check(t, seen[o.Key] <= o.Revision)
				seen[o.Key] = o.Revision
			}
		})
		for i := range 50 {
			_, err := s.Put(ctx, "k"+strconv.Itoa(i%7), []byte{byte(i)}, store.AnyRevision)
			assert.NilError(t, err)
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		for i := range 7 {
			o, err := s.Get(ctx, "k"+strconv.Itoa(i))
			assert.NilError(t, err)
			assert.Equal(t, seen[o.Key], o.Revision)
		}
		assert.Equal(t, s.lists.Load(), int64(2), "one at the start and one after the compaction")
	})
}

// flakyWatches is a store that ends each watch after one event and refuses the tenth watch as compacted.
type flakyWatches struct {
	*memstore.Store
	lists, watches atomic.Int64
}

func (f *flakyWatches) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	f.lists.Add(1)
	return f.Store.List(ctx, prefix, after, limit)
}

func (f *flakyWatches) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	if f.watches.Add(1) == 10 {
		return nil, store.ErrCompacted
	}
	inner, cancel := context.WithCancel(ctx)
	events, err := f.Store.Watch(inner, prefix, from)
	out := make(chan store.Event)
	go func() {
		defer cancel()
		defer close(out)
		if e, ok := <-events; ok {
			select {
			case out <- e:
			case <-ctx.Done():
			}
		}
	}()
	return out, err
}

// FuzzWire guards against a panic, and against a value or an event that the response does not hold, when the store
// sends a malformed response.
func FuzzWire(f *testing.F) {
	f.Add(200, "3", []byte(`{"objects":[{"key":"a","value":"AA==","revision":1}],"next":"","revision":4}`))
	f.Add(200, "", []byte(`{"type":"put","key":"a","value":"AA==","revision":1}`))
	f.Add(503, "x", []byte("down"))
	f.Fuzz(func(t *testing.T, status int, revision string, body []byte) {
		if status < 200 || status > 599 {
			return
		}
		c := store.NewClient("127.0.0.1:1", store.Options{Transport: fixedResponse{status, revision, body}})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		o, err := c.Get(ctx, "k")
		if err == nil && (status >= 300 || !bytes.Equal(o.Value, body)) {
			t.Fatalf("status %d gave %v", status, o)
		}
		p, err := c.List(ctx, "k", "", 10)
		if err == nil && status >= 300 {
			t.Fatalf("status %d gave %v", status, p)
		}
		events, err := c.Watch(ctx, "k", 0)
		if err == nil {
			for e := range events {
				if e.Type != store.EventPut && e.Type != store.EventDelete && e.Type != store.EventSync {
					t.Fatalf("event %v", e)
				}
			}
		}
	})
}

// fixedResponse is a transport that gives the same response to every request.
type fixedResponse struct {
	status   int
	revision string
	body     []byte
}

func (f fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: f.status, Body: io.NopCloser(bytes.NewReader(f.body)),
		Header: http.Header{"Object-Revision": {f.revision}},
	}, nil
}

// silentTransport is a transport on which no data arrives, as when the network drops packets. With headers set, the
// response header still arrives.
type silentTransport struct{ headers bool }

func (s silentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, end := io.Pipe()
	context.AfterFunc(r.Context(), func() { end.CloseWithError(r.Context().Err()) })
	if !s.headers {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
}

// TestSilentWatch guards against a watch that waits forever when its connection stays open but carries no data, as
// after a network partition.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, headers := range []bool{true, false} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
			defer cancel()
			start := time.Now()
			events, err := store.NewClient("127.0.0.1:1", store.Options{Transport: silentTransport{headers}}).Watch(ctx, "config/head", 1)
			if err == nil {
				_, open := <-events
				assert.Assert(t, !open)
			}
			assert.Assert(t, time.Since(start) < 10*time.Second, "headers %t: ended after %s", headers, time.Since(start))
		}
	})
}
