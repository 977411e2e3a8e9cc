package jsontext

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// texts generates strings with characters that JSON escapes, and with bytes that are no UTF-8.
func texts() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		pieces := []string{"a", "<", ">", "&", `"`, `\`, "\n", "\t", "\b", "\x00", "\x1f", "\x7f", "é", "\u2028", "\u2029", "\ufffd", "\xff", "\xe2\x80", "日", "🎵"}
		return strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 40).Draw(t, "pieces"), "")
	})
}

// Guards against a length that differs from that of the encoding: values just below a limit would exceed it.
func TestLengthsAreThoseOfTheEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := texts().Draw(t, "s")
		text, err := Marshal(s)
		assert.NilError(t, err)
		assert.Equal(t, StringLen(s), len(text), "%q", s)
		data, err := Marshal([]byte(s))
		assert.NilError(t, err)
		assert.Equal(t, BytesLen([]byte(s)), len(data), "%q", s)
	})
}

// Guards against parts of a text that exceed the limit, or that decode to another text than the whole does.
func TestPartsOfAStringAreTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := texts().Draw(t, "s")
		limit := rapid.IntRange(2, 40).Draw(t, "limit")
		var joined strings.Builder
		for _, part := range SplitString(s, limit) {
			encoded, err := Marshal(part)
			assert.NilError(t, err)
			assert.Assert(t, len(encoded) <= max(limit, quotes+unicodeEscape), "%q", part)
			var decoded string
			assert.NilError(t, json.Unmarshal(encoded, &decoded))
			joined.WriteString(decoded)
		}
		whole, err := Marshal(s)
		assert.NilError(t, err)
		var decoded string
		assert.NilError(t, json.Unmarshal(whole, &decoded))
		assert.Equal(t, joined.String(), decoded)
	})
}
