package prompt

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzBody guards against panics on any body, canonical forms that lose or change a value, forms that depend on
// the layout, and prefix hashes that are not chained.
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
		assert.Assert(t, reflect.DeepEqual(value(t, raw), value(t, canonical)), "%s became %s", raw, canonical)
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

// value decodes JSON with numbers as text, since a number such as 1e700 fits no Go type.
func value(t *testing.T, raw []byte) (v any) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	assert.NilError(t, dec.Decode(&v))
	return v
}

// Guards against a field that the upstream reads otherwise than the gateway, and the estimates that admission uses.
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

// Guards the count of fields, by which a repeated one is refused, against quotes and backslashes in strings.
func TestKeysWithEscapes(t *testing.T) {
	for raw, want := range map[string]int{
		`{}`: 0, `{"":""}`: 1, `{"a\\":"\\\\","b\"c:":{"x":1,"y":2},"d":["\":"]}`: 3, `{"a":":\\","a":"\\\":"}`: 2,
	} {
		assert.Equal(t, keys([]byte(raw)), want, raw)
	}
}
