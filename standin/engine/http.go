package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoilplank.example/standin/faults"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 8 << 20

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	e.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	e.mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	e.mux.HandleFunc("POST /v1/cancel", e.cancelCall)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("GET /cache/events", e.cacheEvents)
	e.mux.HandleFunc("GET /state", e.state)
	e.mux.HandleFunc("POST /orders", e.order)
	e.mux.HandleFunc("POST /kv/export", e.exportKV)
	e.mux.HandleFunc("POST /kv/import", e.importKV)
	e.mux.Handle("POST /standin/faults", e.faults)
	e.mux.Handle("GET /standin/executions", &e.executions)
	e.mux.HandleFunc("GET /standin/orders", e.orderLog)
}

func apiError(w http.ResponseWriter, status int, message string) {
	faults.WriteJSON(w, status, map[string]any{"error": map[string]string{"message": message}})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		apiError(w, http.StatusBadRequest, err.Error())
		return
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		apiError(w, http.StatusBadRequest, err.Error())
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if chat && len(c.Messages) == 0 || !chat && len(c.Prompt) == 0 {
		apiError(w, http.StatusBadRequest, "the prompt is missing")
		return
	}
	target := newRun(r.Header.Get("X-Request-Id"), r, body, c, chat)
	if !e.enqueue(target) {
		apiError(w, http.StatusNotFound, "model "+c.Model+" is not loaded")
		return
	}
	if e.faults.Get().SwapAnswers {
		target = e.swapper.Exchange(target)
	}
	if c.Stream {
		e.stream(w, r, target, 0)
		return
	}
	e.whole(w, r, target)
}

// enqueue adds a run to the queue; false when its model is not loaded.
func (e *Engine) enqueue(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.orders.serves(r.model) {
		return false
	}
	e.byID[r.id] = r
	e.waiting = append(e.waiting, r)
	e.recordLoad()
	e.signal()
	return true
}

// attach counts a reader of r; the returned function ends it and cancels r when nobody returns in time.
func (e *Engine) attach(r *run, grace time.Duration) func() {
	e.mu.Lock()
	r.readers++
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		r.readers--
		e.mu.Unlock()
		time.AfterFunc(grace, func() {
			e.mu.Lock()
			alone := r.readers == 0
			e.mu.Unlock()
			if alone {
				e.cancel(r)
			}
		})
	}
}

// progress returns the state of a run and a channel that closes at its next change.
func (e *Engine) progress(r *run) (runState, int, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.state, r.generated, r.updated
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, target *run) {
	defer e.attach(target, 0)()
	for {
		state, _, updated := e.progress(target)
		switch state {
		case stateDone:
			w.Header().Set("X-Request-Id", target.id)
			faults.WriteJSON(w, http.StatusOK, target.wholeAnswer())
			return
		case stateCrashed:
			faults.Break(w)
			return
		case stateCancelled:
			apiError(w, 499, "cancelled")
			return
		}
		select {
		case <-updated:
		case <-r.Context().Done():
			return
		}
	}
}

// stream sends the tokens of target from offset on as server-sent events.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, target *run, offset int) {
	defer e.attach(target, resumeWindow)()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", target.id)
	flusher := http.NewResponseController(w)
	first := offset
	for {
		state, generated, updated := e.progress(target)
		for ; offset < generated; offset++ {
			if cut := e.faults.Get().CutStreamAfterTokens; cut > 0 && offset-first >= cut {
				faults.Break(w)
				return
			}
			if !writeEvent(w, flusher, target.chunk(offset)) {
				return
			}
		}
		switch state {
		case stateDone:
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			return
		case stateCrashed, stateCancelled:
			faults.Break(w)
			return
		}
		select {
		case <-updated:
		case <-r.Context().Done():
			return
		}
	}
}

func writeEvent(w http.ResponseWriter, flusher *http.ResponseController, v any) bool {
	data, err := json.Marshal(v)
	if err != nil {
		return false
	}
	_, err = w.Write([]byte("data: " + string(data) + "\n\n"))
	return err == nil && flusher.Flush() == nil
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	target := e.byID[r.PathValue("id")]
	e.mu.Unlock()
	if target == nil {
		apiError(w, http.StatusNotFound, "no such stream")
		return
	}
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 || offset > len(target.output) {
		apiError(w, http.StatusBadRequest, "offset is out of range")
		return
	}
	e.stream(w, r, target, offset)
}

// named returns the run that a call names by its request id, or answers with the reason why there is none.
func (e *Engine) named(w http.ResponseWriter, r *http.Request) (*run, bool) {
	var c struct {
		RequestID string `json:"request_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		apiError(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	e.mu.Lock()
	target := e.byID[c.RequestID]
	e.mu.Unlock()
	if target == nil {
		apiError(w, http.StatusNotFound, "no such request")
	}
	return target, target != nil
}

func (e *Engine) cancelCall(w http.ResponseWriter, r *http.Request) {
	target, ok := e.named(w, r)
	if !ok {
		return
	}
	e.cancel(target)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(e.faults.Get().LoadLagMs) * time.Millisecond
	faults.WriteJSON(w, http.StatusOK, e.laggingLoad(lag))
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	gap := e.faults.Get().EventsGap
	e.mu.Lock()
	defer e.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, map[string]any{"events": e.cache.eventsAfter(after, gap), "next": e.cache.seq})
}

// usage is the token count of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (r *run) usage() usage {
	return usage{r.promptTokens, len(r.output), r.promptTokens + len(r.output)}
}

func (r *run) wholeAnswer() any {
	text := strings.Join(r.output, "")
	choice := map[string]any{"index": 0, "finish_reason": "stop", "text": text}
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		choice = map[string]any{
			"index": 0, "finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": text},
		}
	}
	return map[string]any{
		"id": r.id, "object": object, "created": r.created, "model": r.model,
		"choices": []any{choice}, "usage": r.usage(),
	}
}

// chunk returns the event of token i; the last one carries the finish reason and the usage.
func (r *run) chunk(i int) any {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	object := "text_completion"
	if r.chat {
		object = "chat.completion.chunk"
		choice["delta"] = map[string]string{"content": r.output[i]}
	} else {
		choice["text"] = r.output[i]
	}
	event := map[string]any{
		"id": r.id, "object": object, "created": r.created, "model": r.model, "offset": i,
		"choices": []any{choice},
	}
	if i == len(r.output)-1 {
		choice["finish_reason"] = "stop"
		event["usage"] = r.usage()
	}
	return event
}

// kvState is the exported form of a run.
type kvState struct {
	RequestID string `json:"request_id"`
	Body      []byte `json:"body"`
	Chat      bool   `json:"chat"`
	Generated int    `json:"generated"`
}

// exportKV stops a run and returns its state, so that another engine can go on with it.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	target, ok := e.named(w, r)
	if !ok {
		return
	}
	e.cancel(target)
	_, generated, _ := e.progress(target)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	faults.WriteJSON(w, http.StatusOK, kvState{target.id, target.body, target.chat, generated})
}

// importKV goes on with an exported run; its stream is read with GET /v1/streams/ID.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var s kvState
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		apiError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := json.Unmarshal(s.Body, &c); err != nil {
		apiError(w, http.StatusBadRequest, err.Error())
		return
	}
	request := r.Clone(r.Context())
	request.Header.Set("X-Request-Id", s.RequestID)
	target := newRun(s.RequestID, request, s.Body, c, s.Chat)
	target.generated = min(s.Generated, len(target.output)-1)
	// The state holds the KV of the prompt, so that there is no prefill.
	target.imported = true
	if !e.enqueue(target) {
		apiError(w, http.StatusNotFound, "model "+c.Model+" is not loaded")
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.WriteHeader(http.StatusAccepted)
}
