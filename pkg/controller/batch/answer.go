package batch

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"unicode/utf8"

	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/serving"
)

// errNotRebuilt means that the complete unstreamed answer can't be rebuilt from the events of a stream.
var errNotRebuilt = Error.New("complete answer can't be rebuilt from the stream")

// streamableParameters are the request parameters with which a stream has everything that the unstreamed answer has.
// Others, such as n, logprobs or tools, may add more to the answer than one text.
var streamableParameters = []string{
	"model", "messages", "prompt", "max_tokens", "max_completion_tokens", "temperature", "top_p", "top_k", "min_p",
	"seed", "stop", "presence_penalty", "frequency_penalty", "repetition_penalty", "min_tokens", "user", "ignore_eos",
}

// streamBody returns the item's body as a streaming request, or false when the item must run unstreamed.
func streamBody(item *line.Item) ([]byte, bool) {
	if item.NonIdempotent || item.Model == "" || item.Path != "/v1/chat/completions" && item.Path != "/v1/completions" {
		return nil, false
	}
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(item.Body, &fields) != nil {
		return nil, false
	}
	for name, value := range fields {
		switch {
		case slices.Contains(streamableParameters, name):
		case name == "n" && string(value) == "1", name == "stream" && string(value) == "false", string(value) == "null":
		default:
			return nil, false
		}
	}
	// A prompt that is not a string may be a list of prompts, which has several answers.
	if p := bytes.TrimSpace(fields["prompt"]); len(p) > 0 && p[0] != '"' {
		return nil, false
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	body, err := marshal(fields)
	return body, err == nil
}

// marshal encodes v without escaping HTML characters, so that the upstream gets the item's text unchanged.
func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(v)
	return bytes.TrimSpace(b.Bytes()), err
}

// answer collects the events of a stream to rebuild the unstreamed answer. It accepts only fields that have the same
// form in both.
type answer struct {
	chat         bool
	id           string
	model        string
	created      json.RawMessage
	usage        json.RawMessage
	finishReason string
	text         strings.Builder
	// hasText is set after the first event with a text, which may be empty.
	hasText bool
	// tail holds the events with the last offset, which are sent to an engine that resumes the run.
	tail []serving.StreamEvent
	// tokens counts the events with a text that is not empty.
	tokens int
}

// streamChunk is one event of a stream.
type streamChunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created json.RawMessage `json:"created"`
	Model   string          `json:"model"`
	Choices []streamChoice  `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type streamChoice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text"`
	FinishReason *string `json:"finish_reason"`
	Delta        struct {
		Role    string  `json:"role"`
		Content *string `json:"content"`
	} `json:"delta"`
}

// Fields that may be set in an event, in its choice and in the delta of a choice. All others must be absent or null.
var (
	chunkFields  = []string{"id", "object", "created", "model", "offset", "choices", "usage"}
	choiceFields = []string{"index", "finish_reason"}
	deltaFields  = []string{"role", "content"}
)

// onlyFields reports whether all fields of a JSON object other than the given ones are null.
func onlyFields(data json.RawMessage, fields ...string) bool {
	var values map[string]json.RawMessage
	if len(data) == 0 {
		return true
	}
	if json.Unmarshal(data, &values) != nil {
		return false
	}
	for name, value := range values {
		if string(value) != "null" && !slices.Contains(fields, name) {
			return false
		}
	}
	return true
}

// rebuildable reports whether an event has no field that the rebuilt answer would lose.
func (a *answer) rebuildable(data []byte) bool {
	var raw struct {
		Choices []json.RawMessage `json:"choices"`
	}
	if !onlyFields(data, chunkFields...) || json.Unmarshal(data, &raw) != nil || len(raw.Choices) > 1 {
		return false
	}
	for _, choice := range raw.Choices {
		if !a.chat {
			return onlyFields(choice, append([]string{"text"}, choiceFields...)...)
		}
		var c struct {
			Delta json.RawMessage `json:"delta"`
		}
		if !onlyFields(choice, append([]string{"delta"}, choiceFields...)...) || json.Unmarshal(choice, &c) != nil || !onlyFields(c.Delta, deltaFields...) {
			return false
		}
	}
	return true
}

// addEvent adds the next event. It returns errNotRebuilt if the rebuilt answer would lose a part of the event.
func (a *answer) addEvent(e serving.StreamEvent) error {
	var c streamChunk
	if !a.rebuildable(e.Data) || json.Unmarshal(e.Data, &c) != nil {
		return errNotRebuilt
	}
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
	}
	if a.id == "" {
		a.id, a.model, a.created = c.ID, c.Model, c.Created
	}
	if c.Object != object || c.ID != a.id || c.Model != a.model {
		return errNotRebuilt
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		a.usage = c.Usage
	}
	for _, choice := range c.Choices {
		if !a.addChoice(choice) {
			return errNotRebuilt
		}
	}
	if len(a.tail) > 0 && a.tail[0].Offset != e.Offset {
		a.tail = nil
	}
	a.tail = append(a.tail, e)
	return nil
}

func (a *answer) addChoice(c streamChoice) bool {
	text := c.Text
	if a.chat {
		text = c.Delta.Content
	}
	if c.Index != 0 || a.finishReason != "" || c.Delta.Role != "" && c.Delta.Role != "assistant" {
		return false
	}
	if text != nil {
		// The halves of a character that is split between two events decode to utf8.RuneError.
		if strings.ContainsRune(*text, utf8.RuneError) {
			return false
		}
		a.hasText = true
		a.text.WriteString(*text)
		if *text != "" {
			a.tokens++
		}
	}
	if c.FinishReason != nil {
		a.finishReason = *c.FinishReason
	}
	return true
}

// body returns the complete answer in the form of an unstreamed call. It returns errNotRebuilt if the finish reason, the
// usage or the text is missing.
func (a *answer) body() ([]byte, error) {
	if a.finishReason == "" || a.usage == nil || !a.hasText {
		return nil, errNotRebuilt
	}
	object, choice := "text_completion", map[string]any{"index": 0, "finish_reason": a.finishReason}
	if a.chat {
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": a.text.String()}
	} else {
		choice["text"] = a.text.String()
	}
	fields := map[string]any{"id": a.id, "object": object, "model": a.model, "choices": []any{choice}, "usage": a.usage}
	if len(a.created) > 0 {
		fields["created"] = a.created
	}
	return marshal(fields)
}
