// Package prompt parses the bodies of inference requests: the model and token counts for admission, prefix hashes for
// placement, and fingerprints for crash isolation.
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
	"maps"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/zeebo/xxh3"
)

const (
	// BlockBytes is the size of the prompt text covered by one prefix hash, about 64 tokens.
	BlockBytes = 256
	// MaxBlocks bounds the number of prefix hashes of a request; longer prefixes do not improve placement.
	MaxBlocks = 256
	// bytesPerToken is the average for text in European languages.
	bytesPerToken = 4
	// DefaultMaxTokens is assumed for a request without max_tokens and max_completion_tokens.
	DefaultMaxTokens = 256
	// maxDepth bounds the nesting of JSON objects and arrays in a body.
	maxDepth = 200
)

// Body is a parsed inference request.
type Body struct {
	Model     string
	Stream    bool
	MaxTokens int
	// PromptTokens is estimated from the size of the text.
	PromptTokens int
	// text is the prompt, or the concatenated messages of a chat; value is the whole decoded body.
	text  []byte
	value any
	// size is the length of the body as sent; the canonical form is usually not longer.
	size int
}

// Parse parses the body of a chat or completion request. It does not check fields that only the upstream uses.
func Parse(raw []byte, chat bool) (*Body, error) {
	v, err := decode(raw)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	fields, ok := v.(map[string]any)
	if !ok {
		return nil, errors.New("not a JSON object")
	}
	if countKeys(raw) != len(fields) {
		// The upstream might use the other occurrence and serve a model that the caller is not granted.
		return nil, errors.New("a field occurs twice")
	}
	b := &Body{MaxTokens: DefaultMaxTokens, value: v, size: len(raw)}
	if b.Model, ok = fields["model"].(string); !ok || b.Model == "" {
		return nil, errors.New("model is missing or not a string")
	}
	switch stream := fields["stream"].(type) {
	case nil:
	case bool:
		b.Stream = stream
	default:
		return nil, errors.New("stream is not true or false")
	}
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		if err := b.setMaxTokens(name, fields[name]); err != nil {
			return nil, err
		}
	}
	if chat {
		b.text, err = chatText(fields["messages"])
	} else if fields["prompt"] == nil {
		err = errors.New("prompt is missing")
	} else {
		b.text = appendText(nil, fields["prompt"])
	}
	b.PromptTokens = len(b.text)/bytesPerToken + 1
	return b, err
}

func (b *Body) setMaxTokens(name string, v any) error {
	if v == nil {
		return nil
	}
	number, _ := v.(json.Number)
	n, err := number.Int64()
	if err != nil || n < 0 || n > math.MaxInt32 {
		return fmt.Errorf("%s is not a whole number of tokens", name)
	}
	if n > 0 {
		b.MaxTokens = int(n)
	}
	return nil
}

// Canonical returns the canonical JSON form of the body, as the function Canonical does.
func (b *Body) Canonical() []byte { return appendValue(make([]byte, 0, b.size), b.value) }

// PrefixHashes returns a hash for each prefix of the prompt that consists of complete blocks, for a model and adapter.
// Each hash covers the previous one. A partial last block is omitted, since its hash would change with every added
// character.
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

// Fingerprint returns a 128-bit hash that identifies equal requests by their parts. Unlike Digest it does not resist
// deliberate collisions.
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

// Canonical returns a JSON value with sorted keys and without insignificant white space; numbers keep their text.
func Canonical(raw []byte) ([]byte, error) {
	v, err := decode(raw)
	if err != nil {
		return nil, err
	}
	return appendValue(nil, v), nil
}

func decode(raw []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON value")
	}
	if nestedDeeper(v, maxDepth) {
		return nil, fmt.Errorf("nested more than %d levels", maxDepth)
	}
	return v, nil
}

// appendValue appends the canonical form of a decoded value.
func appendValue(b []byte, v any) []byte {
	switch v := v.(type) {
	case map[string]any:
		b = append(b, '{')
		for i, k := range slices.Sorted(maps.Keys(v)) {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(appendString(b, k), ':')
			b = appendValue(b, v[k])
		}
		return append(b, '}')
	case []any:
		b = append(b, '[')
		for i, e := range v {
			if i > 0 {
				b = append(b, ',')
			}
			b = appendValue(b, e)
		}
		return append(b, ']')
	case string:
		return appendString(b, v)
	case json.Number:
		return append(b, v...)
	case bool:
		return strconv.AppendBool(b, v)
	}
	return append(b, "null"...)
}

func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			// Marshalling a string never fails.
			quoted, _ := json.Marshal(s)
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// nestedDeeper reports whether a decoded value is nested more than the given number of levels.
func nestedDeeper(v any, levels int) bool {
	if levels < 0 {
		return true
	}
	switch v := v.(type) {
	case map[string]any:
		for _, e := range v {
			if nestedDeeper(e, levels-1) {
				return true
			}
		}
	case []any:
		for _, e := range v {
			if nestedDeeper(e, levels-1) {
				return true
			}
		}
	}
	return false
}

// countKeys counts the top-level keys of a valid JSON object, including repeated ones.
func countKeys(raw []byte) (n int) {
	depth := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = stringEnd(raw, i+1)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case ':':
			if depth == 1 {
				n++
			}
		}
	}
	return n
}

// stringEnd returns the index of the closing quote of the JSON string whose text begins at i. raw is valid JSON.
func stringEnd(raw []byte, i int) int {
	for {
		next := bytes.IndexByte(raw[i:], '"')
		escape := bytes.IndexByte(raw[i:i+next], '\\')
		if escape < 0 {
			return i + next
		}
		i += escape + 2
	}
}

// chatText returns the roles and contents of chat messages in the order in which an engine sees them.
func chatText(v any) ([]byte, error) {
	list, ok := v.([]any)
	if !ok || len(list) == 0 {
		return nil, errors.New("messages is missing or empty")
	}
	var text []byte
	for _, e := range list {
		m, ok := e.(map[string]any)
		if !ok {
			return nil, errors.New("a message is not an object")
		}
		role, _ := m["role"].(string)
		text = append(append(text, role...), '\n')
		text = append(appendText(text, m["content"]), '\n')
	}
	return text, nil
}

// appendText appends the characters of a string, or the canonical form of any other value.
func appendText(text []byte, v any) []byte {
	if s, ok := v.(string); ok {
		return append(text, s...)
	}
	return appendValue(text, v)
}

// Digest returns a SHA-256 hash that shows whether a request with the same idempotency key is the same one. Unlike
// Fingerprint it resists deliberate collisions.
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
