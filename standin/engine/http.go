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

func (e *Engine) registerRoutes() {
	e.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, true) })
	e.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, false) })
	e.mux.HandleFunc("GET /v1/streams/{id}", e.handleResume)
	e.mux.HandleFunc("POST /v1/cancel", e.handleCancel)
	e.mux.HandleFunc("GET /load", e.handleLoad)
	e.mux.HandleFunc("GET /cache/events", e.handleCacheEvents)
	e.mux.HandleFunc("GET /state", e.handleState)
	e.mux.HandleFunc("POST /orders", e.handleOrder)
	e.mux.HandleFunc("POST /kv/export", e.handleKVExport)
	e.mux.HandleFunc("POST /kv/import", e.handleKVImport)
	e.mux.Handle("POST /standin/faults", e.faults)
	e.mux.Handle("GET /standin/executions", &e.executions)
	e.mux.HandleFunc("GET /standin/orders", e.handleOrderLog)
}

// writeError answers with an error object in the form of the OpenAI API.
func writeError(w http.ResponseWriter, status int, message string) {
	faults.WriteJSON(w, status, map[string]any{"error": map[string]string{"message": message}})
}

// handleCompletion serves chat completions if chat is set, otherwise text completions.
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if chat && len(c.Messages) == 0 || !chat && len(c.Prompt) == 0 {
		writeError(w, http.StatusBadRequest, "the prompt is missing")
		return
	}
	target := newRun(r.Header.Get("X-Request-Id"), r, body, c, chat)
	if !e.enqueue(target) {
		writeError(w, http.StatusNotFound, "model "+c.Model+" is not loaded")
		return
	}
	if e.faults.Get().SwapAnswers {
		target = e.swapper.Exchange(target)
	}
	if c.Stream {
		e.respondStreamed(w, r, target, 0)
		return
	}
	e.respondUnstreamed(w, r, target)
}

// enqueue adds a run to the waiting ones, or returns false if its model or adapter is not loaded.
func (e *Engine) enqueue(r *run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.orders.serves(r.model) {
		return false
	}
	e.runsByID[r.id] = r
	e.waiting = append(e.waiting, r)
	e.recordLoad()
	e.wakeLoop()
	return true
}

// addReader counts a connection as a reader of r. The returned function ends the reading and cancels r if it has no reader
// after the grace period.
func (e *Engine) addReader(r *run, grace time.Duration) func() {
	e.mu.Lock()
	r.readers++
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		r.readers--
		e.mu.Unlock()
		time.AfterFunc(grace, func() {
			e.mu.Lock()
			abandoned := r.readers == 0
			e.mu.Unlock()
			if abandoned {
				e.cancel(r)
			}
		})
	}
}

// progress returns the state of a run, its number of generated tokens and a channel that is closed at its next change.
func (e *Engine) progress(r *run) (runState, int, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.state, r.generated, r.updated
}

// respondUnstreamed waits for the end of target and answers with its complete text. It cancels target if the client leaves.
func (e *Engine) respondUnstreamed(w http.ResponseWriter, r *http.Request, target *run) {
	defer e.addReader(target, 0)()
	for {
		state, _, updated := e.progress(target)
		switch state {
		case stateDone:
			w.Header().Set("X-Request-Id", target.id)
			faults.WriteJSON(w, http.StatusOK, target.completionObject())
			return
		case stateCrashed:
			faults.ResetConnection(w)
			return
		case stateCancelled:
			writeError(w, 499, "cancelled")
			return
		}
		select {
		case <-updated:
		case <-r.Context().Done():
			return
		}
	}
}

// respondStreamed sends the tokens of target from offset on as server-sent events. It cancels target if the client leaves
// and none resumes the stream within resumeWindow.
func (e *Engine) respondStreamed(w http.ResponseWriter, r *http.Request, target *run, offset int) {
	defer e.addReader(target, resumeWindow)()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", target.id)
	flusher := http.NewResponseController(w)
	firstOffset := offset
	for {
		state, generated, updated := e.progress(target)
		for ; offset < generated; offset++ {
			if cut := e.faults.Get().CutStreamAfterTokens; cut > 0 && offset-firstOffset >= cut {
				faults.ResetConnection(w)
				return
			}
			if !writeEvent(w, flusher, target.chunkObject(offset)) {
				return
			}
		}
		switch state {
		case stateDone:
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
			return
		case stateCrashed, stateCancelled:
			faults.ResetConnection(w)
			return
		}
		select {
		case <-updated:
		case <-r.Context().Done():
			return
		}
	}
}

// writeEvent sends v as one server-sent event and reports whether that succeeded.
func writeEvent(w http.ResponseWriter, flusher *http.ResponseController, v any) bool {
	data, err := json.Marshal(v)
	if err != nil {
		return false
	}
	_, err = w.Write([]byte("data: " + string(data) + "\n\n"))
	return err == nil && flusher.Flush() == nil
}

// handleResume serves GET /v1/streams/ID, which resumes the stream of a request at the token given by offset.
func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	target := e.runsByID[r.PathValue("id")]
	e.mu.Unlock()
	if target == nil {
		writeError(w, http.StatusNotFound, "no such stream")
		return
	}
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 || offset > len(target.output) {
		writeError(w, http.StatusBadRequest, "offset is out of range")
		return
	}
	e.respondStreamed(w, r, target, offset)
}

// runFromBody returns the run whose request ID is in the body of a call. If there is none, it answers with an error and
// returns false.
func (e *Engine) runFromBody(w http.ResponseWriter, r *http.Request) (*run, bool) {
	var c struct {
		RequestID string `json:"request_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	e.mu.Lock()
	target := e.runsByID[c.RequestID]
	e.mu.Unlock()
	if target == nil {
		writeError(w, http.StatusNotFound, "no such request")
	}
	return target, target != nil
}

// handleCancel serves POST /v1/cancel.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	target, ok := e.runFromBody(w, r)
	if !ok {
		return
	}
	e.cancel(target)
	w.WriteHeader(http.StatusNoContent)
}

// handleLoad serves GET /load.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(e.faults.Get().LoadLagMs) * time.Millisecond
	faults.WriteJSON(w, http.StatusOK, e.laggingLoad(lag))
}

// handleCacheEvents serves GET /cache/events. The answer's next is the number of the newest event, even if that is left out.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	dropProbability := e.faults.Get().EventsGap
	e.mu.Lock()
	defer e.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, map[string]any{"events": e.cache.eventsAfter(after, dropProbability), "next": e.cache.seq})
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

// completionObject returns the unstreamed answer.
func (r *run) completionObject() any {
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

// chunkObject returns the stream event of token i. The event of the last token has the finish reason and the usage.
func (r *run) chunkObject(i int) any {
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

// kvState is the state of a run that POST /kv/export returns and POST /kv/import accepts.
type kvState struct {
	RequestID string `json:"request_id"`
	Body      []byte `json:"body"`
	Chat      bool   `json:"chat"`
	Generated int    `json:"generated"`
}

// handleKVExport serves POST /kv/export: it cancels a run and returns its state, so that another engine can continue it.
func (e *Engine) handleKVExport(w http.ResponseWriter, r *http.Request) {
	target, ok := e.runFromBody(w, r)
	if !ok {
		return
	}
	e.cancel(target)
	_, generated, _ := e.progress(target)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	faults.WriteJSON(w, http.StatusOK, kvState{target.id, target.body, target.chat, generated})
}

// handleKVImport serves POST /kv/import: it continues an exported run, whose stream is read with GET /v1/streams/ID.
func (e *Engine) handleKVImport(w http.ResponseWriter, r *http.Request) {
	var s kvState
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := json.Unmarshal(s.Body, &c); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	request := r.Clone(r.Context())
	request.Header.Set("X-Request-Id", s.RequestID)
	target := newRun(s.RequestID, request, s.Body, c, s.Chat)
	target.generated = min(s.Generated, len(target.output)-1)
	// The exported state holds the KV of the prompt, so that no prefill is needed.
	target.kvImported = true
	if !e.enqueue(target) {
		writeError(w, http.StatusNotFound, "model "+c.Model+" is not loaded")
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.WriteHeader(http.StatusAccepted)
}
