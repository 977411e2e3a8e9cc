package jsontext

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against jobs whose values take many times the memory of their text: they must be counted before they are decoded.
func TestMeasure(t *testing.T) {
	for _, c := range []struct {
		text          string
		values, depth int
	}{
		{`{}`, 1, 1},
		{`{"a":[1,2,{"b":"x"}]}`, 8, 3},
		{`"a\\\"[{,"`, 1, 0},
		{`"a\\\\",[`, 3, 1},
		{`"unfinished`, 1, 0},
		{strings.Repeat("[", 1000), 1000, 1000},
	} {
		values, depth := Measure([]byte(c.text))
		assert.Equal(t, values, c.values, c.text)
		assert.Equal(t, depth, c.depth, c.text)
	}
}

// Fuzzes Measure: no text may make it panic, and no valid text may have more values than bytes.
func FuzzMeasure(f *testing.F) {
	f.Add([]byte(`{"a":["\\\"",1]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		values, depth := Measure(text)
		assert.Assert(t, values <= len(text) && depth <= len(text))
	})
}
