package batch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

// Bounds of exported states.
const (
	// minExportTokens is the progress from which a run is exported. Export and import take two round trips, and an
	// imported run joins the engine's next step as a new one does: together at most exportTimeout, about the same
	// again for the import, and one step. With the 8 ms between tokens of the fastest engines that is below 4 tokens,
	// which recomputing would cost; slower engines gain more.
	minExportTokens = 4
	// exportTimeout bounds the export, since online work waits for the slot. It leaves half of the 10 ms that a
	// release may take beyond a token interval for the cancel that follows an export without an answer.
	exportTimeout = 5 * time.Millisecond
	// exportPause is the time without further exports from an upstream after one that failed. It bounds the delay of
	// slots by an engine that exports nothing to exportTimeout a second; a longer pause loses the runs of a whole
	// burst to a single late answer.
	exportPause = time.Second
	// plainPause is how long items run unstreamed on an upstream whose streams lack a part of the answer.
	plainPause = time.Minute
	// maxStateBytes bounds one state and maxStatesBytes all states of a node; 128 MB above idle are allowed for batch
	// work, of which results that wait for the store may take a quarter.
	maxStateBytes  = 8 << 20
	maxStatesBytes = 32 << 20
	// maxStates bounds the list itself. A state takes at least the space of a line.
	maxStates = 4096
	// maxStateAge is the age above which a state is dropped. Items with a state are next in stock, so that an older
	// one belongs to a part without an idle slot.
	maxStateAge = 30 * time.Second
)

// itemID names an item of a held part.
type itemID struct {
	part  partID
	index int
}

// state is an exported run.
type state struct {
	requestID string
	data      []byte
	answer    *answer
	at        time.Time
}

func (s *state) bytes() int {
	n := len(s.data) + s.answer.text.Len()
	for _, e := range s.answer.tail {
		n += len(e.Data)
	}
	return n
}

// states holds the exported states of a node in memory, within bounds of size and age.
type states struct {
	mu    sync.Mutex
	list  *simplelru.LRU[itemID, *state]
	bytes int
	// noExport and plain hold the times until which upstreams export nothing or get no streams.
	noExport, plain map[string]time.Time
}

func newStates() *states {
	s := &states{noExport: map[string]time.Time{}, plain: map[string]time.Time{}}
	// The error of NewLRU concerns the constant size only.
	s.list, _ = simplelru.NewLRU(maxStates, func(_ itemID, v *state) { s.bytes -= v.bytes() })
	return s
}

// put keeps a state; false when it is too large. The oldest states make room.
func (s *states) put(id itemID, v *state) bool {
	if v.bytes() > maxStateBytes {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Remove(id)
	s.bytes += v.bytes()
	s.list.Add(id, v)
	for s.bytes > maxStatesBytes {
		s.list.RemoveOldest()
	}
	time.AfterFunc(maxStateAge, s.expire)
	return true
}

// expire drops the states that are too old.
func (s *states) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		_, v, ok := s.list.GetOldest()
		if !ok || time.Since(v.at) < maxStateAge {
			return
		}
		s.list.RemoveOldest()
	}
}

// requestID returns the request id of the run whose state is kept, or "".
func (s *states) requestID(id itemID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.list.Peek(id); ok {
		return v.requestID
	}
	return ""
}

// take removes and returns the state of a run; nil when there is none.
func (s *states) take(id itemID, requestID string) *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.list.Peek(id)
	s.list.Remove(id)
	if !ok || v.requestID != requestID || time.Since(v.at) >= maxStateAge {
		return nil
	}
	return v
}

// dropPart forgets the states of a part.
func (s *states) dropPart(id partID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.list.Keys() {
		if k.part == id {
			s.list.Remove(k)
		}
	}
}

// pause notes in times, one of the maps of s, that the upstream is left alone for d.
func (s *states) pause(times map[string]time.Time, upstream string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times[upstream] = time.Now().Add(d)
}

func (s *states) paused(times map[string]time.Time, upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(times[upstream])
}

func (r *run) itemID() itemID { return itemID{r.p.id, r.index} }

// call runs the item on the upstream: from its exported state, as a stream, or unstreamed where the whole answer can't be
// rebuilt from a stream.
func (r *run) call(ctx context.Context, u api.Upstream, c serving.Call) (*serving.Result, error) {
	if r.c.Resumer == nil || u.Kind != api.UpstreamEngine {
		return r.c.Invoker.Do(ctx, u, c)
	}
	kept := r.c.states.take(r.itemID(), r.request.ID)
	body, ok := streamBody(r.item)
	if !ok || r.unstreamed || kept == nil && r.c.states.paused(r.c.states.plain, u.Name) {
		return r.c.Invoker.Do(ctx, u, c)
	}
	streamed := c
	streamed.Body = body
	if kept != nil {
		return r.resume(ctx, u, streamed, kept)
	}
	r.answer = &answer{chat: r.item.Path == "/v1/chat/completions"}
	r.upstream.Store(&u.Name)
	result, err := r.c.Invoker.Stream(ctx, u, streamed, r.emit)
	if err == nil && result.Status >= http.StatusBadRequest && result.Status < http.StatusInternalServerError &&
		result.Status != http.StatusTooManyRequests {
		// The refusal may concern the stream and not the item.
		r.answer = nil
		return r.c.Invoker.Do(ctx, u, c)
	}
	return r.rebuild(u, result, err)
}

// resume goes on with an exported run.
func (r *run) resume(ctx context.Context, u api.Upstream, c serving.Call, kept *state) (*serving.Result, error) {
	r.answer, r.kept = kept.answer, kept
	r.tokens.Store(int64(kept.answer.tokens))
	r.upstream.Store(&u.Name)
	tokens := kept.answer.tokens
	result, err := r.c.Resumer.Resume(ctx, u, c, kept.data, slices.Clone(kept.answer.tail), r.emit)
	values := map[string]any{"tokens": tokens, "bytes": len(kept.data)}
	if errors.Is(err, serving.ErrNotResumed) {
		r.explain(u.Name, "resume", "the exported state was not resumed", values)
	} else {
		r.explain(u.Name, "resume", "the run went on from its exported state", values)
	}
	return r.rebuild(u, result, err)
}

// emit takes an event of the stream.
func (r *run) emit(e serving.StreamEvent) error {
	r.kept = nil
	err := r.answer.add(e)
	r.tokens.Store(int64(r.answer.tokens))
	return err
}

// rebuild makes the whole answer out of the events of a stream that has ended.
func (r *run) rebuild(u api.Upstream, result *serving.Result, err error) (*serving.Result, error) {
	if err == nil && result.Status == http.StatusOK {
		result.Body, err = r.answer.body()
		result.Header = http.Header{"Content-Type": {"application/json"}}
		result.Tokens = r.answer.tokens
	}
	if errors.Is(err, errNotRebuilt) {
		r.c.states.pause(r.c.states.plain, u.Name, plainPause)
		r.explain(u.Name, "unstreamed", err.Error(), nil)
	}
	if err != nil {
		return nil, err
	}
	return result, nil
}

// restarts reports whether a run ended without saying anything about its item, which starts again.
func restarts(err error) bool {
	return errors.Is(err, serving.ErrNotResumed) || errors.Is(err, errNotRebuilt)
}

// resumable reports whether the run is worth an export.
func (r *run) resumable() bool {
	u := r.upstream.Load()
	return u != nil && r.tokens.Load() >= minExportTokens && !r.c.states.paused(r.c.states.noExport, *u)
}

// export takes the state of a preempted run from the engine, which stops the run; false when the engine must still be
// told to stop.
func (r *run) export(ctx context.Context, u api.Upstream, cause error) bool {
	if !errors.Is(context.Cause(ctx), serving.ErrPreempted) || r.answer == nil || restarts(cause) {
		return false
	}
	if r.kept != nil {
		// Nothing followed the state that the run was to go on from, so it is still valid.
		r.exported = r.kept
		return false
	}
	if !r.resumable() {
		return false
	}
	order, stop := context.WithTimeout(context.WithoutCancel(ctx), exportTimeout)
	defer stop()
	data, err := r.c.Resumer.Export(order, u, r.request.ID)
	if err != nil {
		r.c.states.pause(r.c.states.noExport, u.Name, exportPause)
		r.explain(u.Name, "export", "the engine gave no state", map[string]any{"err": err.Error()})
		return false
	}
	r.exported = &state{requestID: r.request.ID, data: data, answer: r.answer, at: time.Now()}
	return true
}

// backUnstreamed returns an item to stock whose answer can't be had as a stream.
func (r *run) backUnstreamed() serving.Usage {
	r.c.mu.Lock()
	r.p.items[r.index].unstreamed = true
	r.c.mu.Unlock()
	return r.back(0, serving.RunCancelled)
}

// shelve returns a preempted item to stock with its state, as the next one to run, since states age.
func (r *run) shelve() serving.Usage {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	delete(r.p.running, r.index)
	if !r.p.over {
		r.c.states.put(r.itemID(), r.exported)
		target := r.p.items[r.index].target
		r.p.ready[target] = slices.Insert(r.p.ready[target], 0, r.index)
		r.c.announce()
	}
	r.p.kick()
	return serving.Usage{Result: serving.RunCancelled}
}
