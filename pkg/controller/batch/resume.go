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

// Bounds of the export of runs and of the exported states.
const (
	// minExportTokens is the number of tokens from which a preempted run is exported. Export and import take one round
	// trip each, and an imported run joins the engine's next step as a new run does. The export takes at most
	// exportTimeout, the import about as long, and the step one token interval. With the 8 ms between tokens of the
	// fastest engines that is less than recomputing 4 tokens; slower engines save more.
	minExportTokens = 4
	// exportTimeout bounds the export, since online work waits for the slot. Freeing a slot may take 10 ms beyond a
	// token interval; half of that is left for the cancel that follows an export without an answer.
	exportTimeout = 5 * time.Millisecond
	// exportPause is how long no run is exported from an upstream after a failed export, so that an engine that never
	// exports delays slots by at most one exportTimeout per second. With a longer pause, one late answer would make all
	// runs that a burst preempts start again.
	exportPause = time.Second
	// unstreamedPause is how long new runs on an upstream are not streamed after its stream lacked a part of the answer.
	unstreamedPause = time.Minute
	// maxStateBytes bounds one state and maxStatesBytes all states of a node. Batch work may take 128 MB above the memory
	// of an idle node, of which results that wait for the store may take a quarter.
	maxStateBytes  = 8 << 20
	maxStatesBytes = 32 << 20
	// maxStates bounds the number of states. A state takes at least the space of an input line.
	maxStates = 4096
	// maxStateAge is the age at which a state is dropped. Items with a state are the next to run, so an older state
	// belongs to a part without an idle slot.
	maxStateAge = 30 * time.Second
)

// itemID identifies an item of a part that this node holds.
type itemID struct {
	part  partID
	index int
}

// state is the data that an engine exported for a preempted run, with the answer collected so far.
type state struct {
	requestID string
	data      []byte
	answer    *answer
	at        time.Time
	// version is that of the model that generated the answer, "" if the engine does not report it.
	version string
}

func (s *state) bytes() int {
	n := len(s.data) + s.answer.text.Len()
	for _, e := range s.answer.tail {
		n += len(e.Data)
	}
	return n
}

// states keeps the exported states of a node in memory, within bounds of number, size and age.
type states struct {
	mu    sync.Mutex
	lru   *simplelru.LRU[itemID, *state]
	bytes int
	// exportPausedUntil and streamPausedUntil hold, by upstream, the time until which no run is exported from it and no new
	// run on it is streamed.
	exportPausedUntil, streamPausedUntil map[string]time.Time
}

func newStates() *states {
	s := &states{exportPausedUntil: map[string]time.Time{}, streamPausedUntil: map[string]time.Time{}}
	// NewLRU fails only for a size that is not positive.
	s.lru, _ = simplelru.NewLRU(maxStates, func(_ itemID, v *state) { s.bytes -= v.bytes() })
	return s
}

// put stores a state and evicts the oldest ones until all fit into maxStatesBytes. It returns false, and stores nothing,
// if the state exceeds maxStateBytes.
func (s *states) put(id itemID, v *state) bool {
	if v.bytes() > maxStateBytes {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lru.Remove(id)
	s.bytes += v.bytes()
	s.lru.Add(id, v)
	for s.bytes > maxStatesBytes {
		s.lru.RemoveOldest()
	}
	time.AfterFunc(maxStateAge, s.expire)
	return true
}

// expire drops the states that have reached maxStateAge.
func (s *states) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		_, v, ok := s.lru.GetOldest()
		if !ok || time.Since(v.at) < maxStateAge {
			return
		}
		s.lru.RemoveOldest()
	}
}

// requestIDOf returns the request id of the run whose state is kept for an item, or "".
func (s *states) requestIDOf(id itemID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.lru.Peek(id); ok {
		return v.requestID
	}
	return ""
}

// pop removes the state of an item and returns it, or nil if there is none or it is too old or of another request.
func (s *states) pop(id itemID, requestID string) *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.lru.Peek(id)
	s.lru.Remove(id)
	if !ok || v.requestID != requestID || time.Since(v.at) >= maxStateAge {
		return nil
	}
	return v
}

// dropPart drops the states of a part.
func (s *states) dropPart(id partID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.lru.Keys() {
		if k.part == id {
			s.lru.Remove(k)
		}
	}
}

// pause sets the time of the upstream in times, which is s.exportPausedUntil or s.streamPausedUntil, to d from now.
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

// call runs the item on the upstream: resumed from its exported state, as a new stream, or unstreamed where the complete
// answer can't be rebuilt from a stream.
func (r *run) call(ctx context.Context, u api.Upstream, c serving.Call) (*serving.Result, error) {
	if r.c.Resumer == nil || u.Kind != api.UpstreamEngine {
		return r.c.Invoker.Do(ctx, u, c)
	}
	saved := r.c.states.pop(r.itemID(), r.request.ID)
	if saved != nil && saved.version != r.modelVersion(u) {
		r.explain(u.Name, "resume", "the engine serves another version of the model; the item starts again", map[string]any{"version": saved.version})
		saved = nil
	}
	body, ok := streamBody(r.item)
	if !ok || r.unstreamed || saved == nil && r.c.states.paused(r.c.states.streamPausedUntil, u.Name) {
		return r.c.Invoker.Do(ctx, u, c)
	}
	streamed := c
	streamed.Body = body
	if saved != nil {
		return r.resume(ctx, u, streamed, saved)
	}
	r.answer = &answer{chat: r.item.Path == "/v1/chat/completions"}
	r.upstream.Store(&u.Name)
	result, err := r.c.Invoker.Stream(ctx, u, streamed, r.emit)
	if err == nil && result.Status >= http.StatusBadRequest && result.Status < http.StatusInternalServerError &&
		result.Status != http.StatusTooManyRequests {
		// The upstream may have refused the streaming and not the item.
		r.answer = nil
		return r.c.Invoker.Do(ctx, u, c)
	}
	return r.rebuild(u, result, err)
}

// resume continues an exported run on the upstream.
func (r *run) resume(ctx context.Context, u api.Upstream, c serving.Call, from *state) (*serving.Result, error) {
	r.answer, r.resumedFrom = from.answer, from
	r.tokens.Store(int64(from.answer.tokens))
	r.upstream.Store(&u.Name)
	tokens := from.answer.tokens
	result, err := r.c.Resumer.Resume(ctx, u, c, from.data, slices.Clone(from.answer.tail), r.emit)
	values := map[string]any{"tokens": tokens, "bytes": len(from.data)}
	if errors.Is(err, serving.ErrNotResumed) {
		r.explain(u.Name, "resume", "the exported state was not resumed", values)
	} else {
		r.explain(u.Name, "resume", "the run continued from its exported state", values)
	}
	return r.rebuild(u, result, err)
}

// emit adds an event of the stream to the answer.
func (r *run) emit(e serving.StreamEvent) error {
	r.resumedFrom = nil
	err := r.answer.addEvent(e)
	r.tokens.Store(int64(r.answer.tokens))
	return err
}

// rebuild replaces the body of a stream's result by the complete answer rebuilt from its events.
func (r *run) rebuild(u api.Upstream, result *serving.Result, err error) (*serving.Result, error) {
	if err == nil && result.Status == http.StatusOK {
		result.Body, err = r.answer.body()
		result.Header = http.Header{"Content-Type": {"application/json"}}
		result.Tokens = r.answer.tokens
	}
	if errors.Is(err, errNotRebuilt) {
		r.c.states.pause(r.c.states.streamPausedUntil, u.Name, unstreamedPause)
		r.explain(u.Name, "unstreamed", err.Error(), nil)
	}
	if err != nil {
		return nil, err
	}
	return result, nil
}

// mustRestart reports whether a run failed because it could not be resumed or rebuilt from its stream. Its item is not at
// fault and starts again.
func mustRestart(err error) bool {
	return errors.Is(err, serving.ErrNotResumed) || errors.Is(err, errNotRebuilt)
}

// exportable reports whether the run has made enough progress to be exported and its upstream's exports aren't paused.
func (r *run) exportable() bool {
	u := r.upstream.Load()
	return u != nil && r.tokens.Load() >= minExportTokens && !r.c.states.paused(r.c.states.exportPausedUntil, *u)
}

// export gets the state of a preempted run from the engine, which stops the run. It returns false if the run was not
// stopped and must be cancelled.
func (r *run) export(ctx context.Context, u api.Upstream, cause error) bool {
	if !errors.Is(context.Cause(ctx), serving.ErrPreempted) || r.answer == nil || mustRestart(cause) {
		return false
	}
	if r.resumedFrom != nil {
		// No event has followed the state that the run was resumed from, so that state is still valid.
		r.exported = r.resumedFrom
		return false
	}
	if !r.exportable() {
		return false
	}
	exportCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), exportTimeout)
	defer stop()
	data, err := r.c.Resumer.Export(exportCtx, u, r.request.ID)
	if err != nil {
		r.c.states.pause(r.c.states.exportPausedUntil, u.Name, exportPause)
		r.explain(u.Name, "export", "the engine did not return the state", map[string]any{"err": err.Error()})
		return false
	}
	r.exported = &state{requestID: r.request.ID, data: data, answer: r.answer, at: time.Now(), version: r.modelVersion(u)}
	return true
}

// modelVersion returns the version of the item's model that an engine serves, as it last reported.
func (r *run) modelVersion(u api.Upstream) string {
	return r.c.Board.Upstreams.Value()[u.Name].ModelVersions[r.request.Model]
}

// requeueUnstreamed requeues an item whose answer can't be rebuilt from a stream; it then runs unstreamed.
func (r *run) requeueUnstreamed() serving.Usage {
	r.c.mu.Lock()
	r.p.items[r.index].unstreamed = true
	r.c.mu.Unlock()
	return r.requeue(0, serving.RunCancelled)
}

// requeueWithState keeps the exported state of a preempted item and makes the item the next to run, since states are
// dropped at maxStateAge.
func (r *run) requeueWithState() serving.Usage {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	delete(r.p.running, r.index)
	if !r.p.dropped {
		r.c.states.put(r.itemID(), r.exported)
		target := r.p.items[r.index].target
		r.p.ready[target] = slices.Insert(r.p.ready[target], 0, r.index)
		r.c.notifyAdmission()
	}
	r.p.signalCommitter()
	return serving.Usage{Result: serving.RunCancelled}
}
