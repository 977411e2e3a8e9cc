package api

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzDecode guards against operator documents that crash a node, findings with a line outside the text, and accepted
// documents that change when they are stored as JSON and read again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(sampleRegister))
	f.Add([]byte(sampleRegister + "---\nkind: Rules\ninstitutions:\n  - {institution: board, share: 1, completion_window: 4h}\n"))
	f.Add([]byte(`[{"kind":"Register","models":[{"name":"m"}]},{"kind":"Rules"}]`))
	f.Add([]byte("{\"kind\":\"Register\"}\n{\"kind\":\"Rules\"}"))
	f.Add([]byte("a: &a [*a]\nkind: Register\n"))
	f.Add([]byte("kind: Rules\ninstitutions: [{share: 1e999, rate: {burst: -1}, classes: [{match: {batch: maybe}}]}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, findings := Decode(data)
		lines := strings.Count(string(data), "\n") + 1
		for _, finding := range findings {
			assert.Assert(t, finding.Message != "", "%+v", finding)
			assert.Assert(t, finding.Line >= 0 && finding.Line <= lines+1, "%+v in %d lines", finding, lines)
		}
		if len(findings) > 0 {
			return
		}
		var c Config
		if d.Register != nil {
			c.Register = *d.Register
		}
		if d.Rules != nil {
			c.Rules = *d.Rules
		}
		if len(d.Check(c)) > 0 {
			return
		}
		stored, err := json.Marshal(c)
		assert.NilError(t, err)
		var read Config
		assert.NilError(t, json.Unmarshal(stored, &read))
		again, err := json.Marshal(read)
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(stored))
	})
}
