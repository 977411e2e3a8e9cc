package prompt

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzBody guards against panics on any body, canonical forms that lose or change a value or depend on white space, and
// prefix hashes that depend on text after their prefix.
func FuzzBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi \" \\ \u00e9 <"}],"n":1.50}`,
		`{"model":"m","prompt":["a",1,null,true],"max_tokens":5}`, `{"model":"m","model":"n"}`, `[`, `{"a":{"b":"}:"}}`, `1e700`, "\"\xff\"",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		canonical, err := Canonical(raw)
		if err != nil {
			_, err = Parse(raw, true)
			assert.Assert(t, err != nil)
			return
		}
		assert.Assert(t, reflect.DeepEqual(decodeNumbersAsText(t, raw), decodeNumbersAsText(t, canonical)), "%s became %s", raw, canonical)
		var indented bytes.Buffer
		assert.NilError(t, json.Indent(&indented, raw, " ", "\t"))
		again, err := Canonical(indented.Bytes())
		assert.NilError(t, err)
		assert.DeepEqual(t, again, canonical)
		if b, err := Parse(raw, false); err == nil {
			all := b.PrefixHashes("m", "")
			b.text = b.text[:len(b.text)/2]
			half := b.PrefixHashes("m", "")
			assert.DeepEqual(t, all[:len(half)], half)
		}
	})
}

// decodeNumbersAsText decodes JSON with numbers as text, since a number such as 1e700 fits no Go type.
func decodeNumbersAsText(t *testing.T, raw []byte) (v any) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	assert.NilError(t, dec.Decode(&v))
	return v
}

// Guards the token counts and prefix hashes that placement uses, and against accepting a body that an upstream might
// read differently, such as one with a repeated field.
func TestParse(t *testing.T) {
	b, err := Parse([]byte(`{"model":"m","stream":true,"max_completion_tokens":7,"messages":[{"role":"user","content":"`+
		strings.Repeat("x", 4*BlockBytes)+`"}],"meta":{"model":"other","model":"twice"}}`), true)
	assert.NilError(t, err)
	assert.Assert(t, b.Stream && b.MaxTokens == 7 && b.PromptTokens > BlockBytes && b.PromptTokens < BlockBytes+10)
	hashes := b.PrefixHashes("m", "")
	assert.Equal(t, len(hashes), 4)
	assert.Assert(t, hashes[0] != b.PrefixHashes("m", "adapter")[0])
	for _, bad := range []string{
		`{"model":"m","messages":[]}`, `{"model":"m"}`, `{"model":1,"messages":[{}]}`, `{"model":"m","messages":[1]}`,
		`{"model":"m","stream":"yes","messages":[{}]}`, `{"model":"m","max_tokens":-1,"messages":[{}]}`,
		`{"model":"m","max_tokens":"5","messages":[{}]}`, `{"model":"m","messages":[{}]}{}`, `[]`,
		`{"model":"m","messages":[{}],"x":` + strings.Repeat("[", 300) + strings.Repeat("]", 300) + `}`,
		`{"model":"m","mod\u0065l":"n","messages":[{}]}`,
	} {
		_, err := Parse([]byte(bad), true)
		assert.Assert(t, err != nil, bad)
	}
	assert.Assert(t, Digest("ab", "c") != Digest("a", "bc") && Fingerprint("ab", "c") != Fingerprint("a", "bc"))
}

// Guards the count of top-level keys, by which Parse detects repeated fields, against quotes, colons, brackets and
// backslashes in strings.
func TestCountKeysWithEscapes(t *testing.T) {
	for raw, want := range map[string]int{
		`{}`: 0, `{"":""}`: 1, `{"a\\":"\\\\","b\"c:":{"x":1,"y":2},"d":["\":"]}`: 3, `{"a":":\\","a":"\\\":"}`: 2,
	} {
		assert.Equal(t, countKeys([]byte(raw)), want, raw)
	}
}
