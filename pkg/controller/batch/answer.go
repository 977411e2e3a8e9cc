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

// errNotRebuilt means that the events of a stream can't be turned into the whole answer without a loss.
var errNotRebuilt = Error.New("stream does not hold the whole answer")

// plainParameters are the request parameters under which a stream holds all that the whole answer has. Others, such as
// n, logprobs or tools, may put more into the answer than one text.
var plainParameters = []string{
	"model", "messages", "prompt", "max_tokens", "max_completion_tokens", "temperature", "top_p", "top_k", "min_p",
	"seed", "stop", "presence_penalty", "frequency_penalty", "repetition_penalty", "min_tokens", "user", "ignore_eos",
}

// streamBody returns the item's body with a request for a stream; false when the item must run unstreamed.
func streamBody(i *line.Item) ([]byte, bool) {
	if i.NonIdempotent || i.Model == "" || i.Path != "/v1/chat/completions" && i.Path != "/v1/completions" {
		return nil, false
	}
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(i.Body, &fields) != nil {
		return nil, false
	}
	for name, value := range fields {
		switch {
		case slices.Contains(plainParameters, name):
		case name == "n" && string(value) == "1", name == "stream" && string(value) == "false", string(value) == "null":
		default:
			return nil, false
		}
	}
	// Several prompts have several answers.
	if p := bytes.TrimSpace(fields["prompt"]); len(p) > 0 && p[0] != '"' {
		return nil, false
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	body, err := marshal(fields)
	return body, err == nil
}

// marshal keeps the characters that json.Marshal would escape, so that the upstream gets the item's text as it is.
func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(v)
	return bytes.TrimSpace(b.Bytes()), err
}

// answer collects the events of a stream. Only fields that the whole answer has in the same form are accepted.
type answer struct {
	chat    bool
	id      string
	model   string
	created json.RawMessage
	usage   json.RawMessage
	finish  string
	text    strings.Builder
	// hasText is set by an empty text as well.
	hasText bool
	// tail holds the events with the highest offset.
	tail   []serving.StreamEvent
	tokens int
}

// streamChunk is one event. Fields of unknown meaning must be null.
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

// Fields that the parts of an event may have.
var (
	chunkFields  = []string{"id", "object", "created", "model", "offset", "choices", "usage"}
	choiceFields = []string{"index", "finish_reason"}
	deltaFields  = []string{"role", "content"}
)

// known reports whether all other fields of an object are null.
func known(data json.RawMessage, fields ...string) bool {
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

// plain reports whether an event has no field that would be lost.
func (a *answer) plain(data []byte) bool {
	var raw struct {
		Choices []json.RawMessage `json:"choices"`
	}
	if !known(data, chunkFields...) || json.Unmarshal(data, &raw) != nil || len(raw.Choices) > 1 {
		return false
	}
	for _, choice := range raw.Choices {
		if !a.chat {
			return known(choice, append([]string{"text"}, choiceFields...)...)
		}
		var c struct {
			Delta json.RawMessage `json:"delta"`
		}
		if !known(choice, append([]string{"delta"}, choiceFields...)...) || json.Unmarshal(choice, &c) != nil || !known(c.Delta, deltaFields...) {
			return false
		}
	}
	return true
}

// add takes the next event.
func (a *answer) add(e serving.StreamEvent) error {
	var c streamChunk
	if !a.plain(e.Data) || json.Unmarshal(e.Data, &c) != nil {
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
		if !a.take(choice) {
			return errNotRebuilt
		}
	}
	if len(a.tail) > 0 && a.tail[0].Offset != e.Offset {
		a.tail = nil
	}
	a.tail = append(a.tail, e)
	return nil
}

func (a *answer) take(c streamChoice) bool {
	text := c.Text
	if a.chat {
		text = c.Delta.Content
	}
	if c.Index != 0 || a.finish != "" || c.Delta.Role != "" && c.Delta.Role != "assistant" {
		return false
	}
	if text != nil {
		// A character that is split between two events decodes to this one.
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
		a.finish = *c.FinishReason
	}
	return true
}

// body returns the whole answer, in the form of an unstreamed call.
func (a *answer) body() ([]byte, error) {
	if a.finish == "" || a.usage == nil || !a.hasText {
		return nil, errNotRebuilt
	}
	object, choice := "text_completion", map[string]any{"index": 0, "finish_reason": a.finish}
	if a.chat {
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": a.text.String()}
	} else {
		choice["text"] = a.text.String()
	}
	whole := map[string]any{"id": a.id, "object": object, "model": a.model, "choices": []any{choice}, "usage": a.usage}
	if len(a.created) > 0 {
		whole["created"] = a.created
	}
	return marshal(whole)
}
