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
	"maps"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"

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
	value        any
	// size is the length of the body as it was sent, which its canonical form usually does not exceed.
	size int
}

// Parse reads a chat or completion request. Fields that it does not know are left to the upstream.
func Parse(raw []byte, chat bool) (*Body, error) {
	v, err := decode(raw)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	fields, ok := v.(map[string]any)
	if !ok {
		return nil, errors.New("not a JSON object")
	}
	if keys(raw) != len(fields) {
		// The upstream may take the other occurrence and serve a model that the caller is not granted.
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
		if err := b.maxTokens(name, fields[name]); err != nil {
			return nil, err
		}
	}
	if chat {
		b.text, err = messages(fields["messages"])
	} else if fields["prompt"] == nil {
		err = errors.New("prompt is missing")
	} else {
		b.text = plain(nil, fields["prompt"])
	}
	b.PromptTokens = len(b.text)/bytesPerToken + 1
	return b, err
}

func (b *Body) maxTokens(name string, v any) error {
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

// Canonical returns the canonical form of the body.
func (b *Body) Canonical() []byte { return appendValue(make([]byte, 0, b.size), b.value) }

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
	if deeper(v, maxDepth) {
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
			// A string always has a JSON form.
			quoted, _ := json.Marshal(s)
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
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

// keys counts the keys of a valid JSON object, with repetitions.
func keys(raw []byte) (n int) {
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

// stringEnd returns the index of the quote that ends the string whose text begins at i, in valid JSON.
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

// messages returns the text of a chat in the order in which an engine sees it.
func messages(v any) ([]byte, error) {
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
		text = append(plain(text, m["content"]), '\n')
	}
	return text, nil
}

// plain appends the characters of a string, or the canonical form of any other value.
func plain(text []byte, v any) []byte {
	if s, ok := v.(string); ok {
		return append(text, s...)
	}
	return appendValue(text, v)
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
