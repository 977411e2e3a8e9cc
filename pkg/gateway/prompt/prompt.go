// Package prompt reads what placement and crash isolation need from the body of an inference request.
package prompt

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/xxh3"
)

const (
	// BlockBytes is the prompt text covered by one prefix hash, about 64 tokens.
	BlockBytes = 256
	// MaxBlocks bounds the prefix hashes of a request; longer prefixes add nothing to placement.
	MaxBlocks = 256
	// bytesPerToken is the usual ratio for European languages.
	bytesPerToken = 4
	// DefaultMaxTokens is assumed when the request does not bound its answer.
	DefaultMaxTokens = 256
	// maxDepth bounds the nesting of a body.
	maxDepth = 200
)

// Body is a parsed inference request.
type Body struct {
	Model     string
	Stream    bool
	MaxTokens int
	// PromptTokens is an estimate from the size of the text.
	PromptTokens int
	text         []byte
	canonical    []byte
}

// Parse reads a chat or completion request. Fields that it does not know are left to the upstream.
func Parse(raw []byte, chat bool) (*Body, error) {
	fields, err := object(raw)
	if err != nil {
		return nil, err
	}
	b := &Body{MaxTokens: DefaultMaxTokens}
	if err := field(fields, "model", &b.Model); err != nil {
		return nil, err
	}
	if b.Model == "" {
		return nil, errors.New("model is missing")
	}
	if err := field(fields, "stream", &b.Stream); err != nil {
		return nil, err
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		n := 0
		if err := field(fields, name, &n); err != nil {
			return nil, err
		}
		if n < 0 {
			return nil, fmt.Errorf("%s is negative", name)
		}
		if n > 0 {
			b.MaxTokens = n
		}
	}
	if chat {
		b.text, err = messages(fields["messages"])
	} else {
		b.text, err = promptText(fields["prompt"])
	}
	if err != nil {
		return nil, err
	}
	b.PromptTokens = len(b.text)/bytesPerToken + 1
	b.canonical, err = Canonical(raw)
	return b, err
}

// Canonical returns the canonical form of the body.
func (b *Body) Canonical() []byte { return b.canonical }

// PrefixHashes returns chained hashes of the blocks of the prompt for a model and adapter; the last block may be
// partial and is left out, since its hash changes with every added character.
func (b *Body) PrefixHashes(model, adapter string) []uint64 {
	chain := xxh3.HashString(model + "\x00" + adapter)
	n := min(len(b.text)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, n)
	for i := range n {
		var prev [8]byte
		binary.LittleEndian.PutUint64(prev[:], chain)
		h := xxh3.New()
		_, _ = h.Write(prev[:])
		_, _ = h.Write(b.text[i*BlockBytes : (i+1)*BlockBytes])
		chain = h.Sum64()
		hashes = append(hashes, chain)
	}
	return hashes
}

// Fingerprint identifies a request by its parts.
func Fingerprint(parts ...string) string {
	h := xxh3.New()
	var size [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(size[:], uint64(len(p)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(p)
	}
	sum := h.Sum128().Bytes()
	return hex.EncodeToString(sum[:])
}

// Canonical returns the JSON value with sorted keys and without insignificant space; numbers keep their text.
func Canonical(raw []byte) ([]byte, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON value")
	}
	if deeper(v, maxDepth) {
		return nil, fmt.Errorf("nested more than %d levels", maxDepth)
	}
	return json.Marshal(v)
}

func deeper(v any, levels int) bool {
	if levels < 0 {
		return true
	}
	switch v := v.(type) {
	case map[string]any:
		for _, e := range v {
			if deeper(e, levels-1) {
				return true
			}
		}
	case []any:
		for _, e := range v {
			if deeper(e, levels-1) {
				return true
			}
		}
	}
	return false
}

// object splits a JSON object by exact key. A key that occurs twice is an error, because the upstream may take
// the other occurrence and serve a model that the caller is not granted.
func object(raw []byte) (map[string]json.RawMessage, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	t, err := dec.Token()
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if t != json.Delim('{') {
		return nil, errors.New("not a JSON object")
	}
	fields := map[string]json.RawMessage{}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, fmt.Errorf("not JSON: %w", err)
		}
		name, ok := t.(string)
		if !ok {
			return nil, errors.New("not a JSON object")
		}
		if _, twice := fields[name]; twice {
			return nil, fmt.Errorf("field %q occurs twice", name)
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return nil, fmt.Errorf("not JSON: %w", err)
		}
		fields[name] = value
	}
	if _, err := dec.Token(); err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	return fields, nil
}

func field(fields map[string]json.RawMessage, name string, into any) error {
	raw, ok := fields[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// messages returns the text of a chat in the order in which an engine sees it.
func messages(raw json.RawMessage) ([]byte, error) {
	var list []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, fmt.Errorf("messages: %w", err)
	}
	if len(list) == 0 {
		return nil, errors.New("messages is empty")
	}
	var text []byte
	for _, m := range list {
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = append(text, plain(m.Content)...)
		text = append(text, '\n')
	}
	return text, nil
}

func promptText(raw json.RawMessage) ([]byte, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, errors.New("prompt is missing")
	}
	return plain(raw), nil
}

// plain returns the characters of a JSON string, or the JSON text of any other value.
func plain(raw json.RawMessage) []byte {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return []byte(s)
	}
	return raw
}

// Digest identifies a request under an idempotency key; other than a fingerprint it resists deliberate collisions.
func Digest(parts ...string) string {
	h := sha256.New()
	var size [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil))
}
