package line

import (
	"bytes"
	"encoding/json"
	"net/url"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against panics on malicious lines, and against a path that leaves the service or names another host.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[]}}`))
	f.Add([]byte(`{"custom_id":"a","method":"GET","url":"/v1/services/status/case/1?x=1","headers":{"trefoil-non-idempotent":"true"}}`))
	f.Add([]byte(`{"custom_id":"a","method":"GET","url":"/v1/services/status/../x"}`))
	f.Add([]byte(`{"custom_id":"a","method":"GET","url":"/v1/services/status/%2e%2E/x"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		item, err := Parse(raw)
		if err != nil {
			return
		}
		assert.Assert(t, (item.Model == "") != (item.Service == ""))
		decoded, err := url.PathUnescape(strings.SplitN(item.Path, "?", 2)[0])
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(item.Path, "/") && !slices.Contains(strings.Split(decoded, "/"), ".."), item.Path)
		assert.Assert(t, item.CustomID != "")
		// The JSON form of an accepted line is accepted as the same call.
		text, err := json.Marshal(item)
		assert.NilError(t, err)
		if len(text) > MaxLineBytes {
			return
		}
		again, err := Parse(text)
		assert.NilError(t, err, "%s", text)
		assert.Equal(t, again.Path, item.Path)
		assert.Equal(t, again.NonIdempotent, item.NonIdempotent)
	})
}

// Guards against errors that name Go types instead of the invalid field, and against accepting lines that can only fail
// when they run.
func TestErrorsNameTheField(t *testing.T) {
	for raw, want := range map[string]string{
		" \r":             "line is empty",
		"\ufeff{}":        "line begins with a byte order mark; save the file as UTF-8 without one",
		`[]`:              "not a JSON object but a value of type array",
		`{"custom_id":7}`: "custom_id must not be of type number",
		`{"custom_id":"a","method":"POST","url":"/v1/completions","body":5}`:                                         "body is not a JSON object but a value of type number",
		`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":5}}`:                               "body.model must not be of type number",
		`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m","prompt":"","max_tokens":-1}}`: "body.max_tokens is negative",
	} {
		_, err := Parse([]byte(raw))
		assert.Error(t, err, want)
	}
}

// Guards against an answer of an upstream whose text breaks the format of an output file, for example by a line end.
func FuzzOutput(f *testing.F) {
	f.Add("a", []byte(`{"x":1}`), 200)
	f.Add("b\n", []byte("no\nJSON"), 500)
	f.Add("", []byte("\xff\"\\"), 0)
	f.Fuzz(func(t *testing.T, id string, body []byte, status int) {
		o := &Output{ID: "1", CustomID: id, Response: &Response{StatusCode: status, Body: JSONBody(body)}}
		stored, err := AppendStored(nil, o)
		assert.NilError(t, err)
		stored, err = AppendStored(stored, &Output{CustomID: id, Error: &Failure{Code: "x"}})
		assert.NilError(t, err)
		var lines int
		for _, errorFile := range []bool{false, true} {
			assert.NilError(t, SelectStored(stored, errorFile, func(l []byte) error {
				lines++
				assert.Equal(t, bytes.Count(l, []byte("\n")), 1)
				return json.Unmarshal(l, &Output{})
			}))
		}
		assert.Equal(t, lines, 2)
	})
}
