package api

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// sampleRegister is a valid register; tests put faults into copies of it.
const sampleRegister = `kind: Register
institutions:
  - name: board
callers:
  - name: desk
    institution: board
    key_digests: [0000000000000000000000000000000000000000000000000000000000000000]
    grants: {models: [m], services: [status]}
models:
  - name: m
upstreams:
  - {name: e1, address: "127.0.0.1:9000", vm: vm1, availability_zone: a, kind: engine, models: [m]}
  - {name: s1, address: "127.0.0.1:9001", vm: vm1, availability_zone: a, kind: service, service: status}
`

// decodeAndCheck decodes text and, if that finds no fault, checks it as a configuration.
func decodeAndCheck(t *testing.T, text string) Findings {
	t.Helper()
	d, findings := Decode([]byte(text))
	if len(findings) > 0 {
		return findings
	}
	c := Config{}
	if d.Register != nil {
		c.Register = *d.Register
	}
	if d.Rules != nil {
		c.Rules = *d.Rules
	}
	return d.Check(c)
}

// Guards against a valid register being refused.
func TestValidRegisterHasNoFindings(t *testing.T) {
	assert.Equal(t, len(decodeAndCheck(t, sampleRegister)), 0)
}

// Guards against reporting only the first of several faults, or faults without their position.
func TestAllFindingsHavePositions(t *testing.T) {
	text := strings.Replace(sampleRegister, "models: [m], services: [status]", "models: [x], services: [y]", 1)
	text = strings.Replace(text, "127.0.0.1:9001", "127.0.0.1:9000", 1)
	findings := decodeAndCheck(t, text)
	assert.Equal(t, len(findings), 3)
	for _, f := range findings {
		assert.Assert(t, f.Line > 0 && f.Column > 0, f.String())
	}
	assert.Equal(t, findings[0].Path, "register.upstreams[1].address")
	assert.Equal(t, findings[0].Line, 13)
}

// Guards against a misspelt field being silently ignored.
func TestUnknownFieldIsAFinding(t *testing.T) {
	findings := decodeAndCheck(t, strings.Replace(sampleRegister, "  - name: board", "  - name: board\n    sahre: 2", 1))
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Line, 4)
	assert.Equal(t, findings[0].Message, "unknown field")
}

// Guards against findings in the second of two merged documents that give a position or path in the first one.
func TestSecondDocumentKeepsPositions(t *testing.T) {
	findings := decodeAndCheck(t, sampleRegister+"---\nkind: Register\nmodels:\n  - name: m\n")
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Document, 1)
	assert.Equal(t, findings[0].Path, "register.models[1].name")
}

// Guards against a call with several JSON documents being refused, and against findings in them with a wrong position.
func TestManyJSONDocuments(t *testing.T) {
	registerJSON := `{"kind":"Register","institutions":[{"name":"board"}]}`
	rulesJSON := `{"kind":"Rules","institutions":[{"institution":"board","share":1}]}`
	for _, text := range []string{registerJSON + rulesJSON, registerJSON + "\n" + rulesJSON + "\n",
		registerJSON + "\n---\n" + rulesJSON, "[" + registerJSON + ",\n " + rulesJSON + "]"} {
		d, findings := Decode([]byte(text))
		assert.Equal(t, len(findings), 0, "%s: %v", text, findings)
		assert.Assert(t, d.Register != nil && d.Rules != nil, text)
		faulty := strings.Replace(text, `"share"`, `"shape"`, 1)
		_, findings = Decode([]byte(faulty))
		assert.Equal(t, len(findings), 1, "%s: %v", text, findings)
		before := faulty[:strings.Index(faulty, `"shape"`)]
		assert.Equal(t, findings[0], Finding{
			Document: 1, Line: 1 + strings.Count(before, "\n"), Column: len(before) - strings.LastIndex(before, "\n"),
			Path: "rules.institutions[0].shape", Message: "unknown field",
		}, text)
	}
}
