package api

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

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

func check(t *testing.T, text string) Findings {
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
	assert.Equal(t, len(check(t, sampleRegister)), 0)
}

// Guards against faults that are reported one at a time or without their place.
func TestAllFindingsCarryTheirPlace(t *testing.T) {
	text := strings.Replace(sampleRegister, "models: [m], services: [status]", "models: [x], services: [y]", 1)
	text = strings.Replace(text, "127.0.0.1:9001", "127.0.0.1:9000", 1)
	findings := check(t, text)
	assert.Equal(t, len(findings), 3)
	for _, f := range findings {
		assert.Assert(t, f.Line > 0 && f.Column > 0, f.String())
	}
	assert.Equal(t, findings[0].Path, "register.upstreams[1].address")
	assert.Equal(t, findings[0].Line, 13)
}

// Guards against a misspelt field being dropped without a word.
func TestUnknownFieldIsAFinding(t *testing.T) {
	findings := check(t, strings.Replace(sampleRegister, "  - name: board", "  - name: board\n    sahre: 2", 1))
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Line, 4)
	assert.Equal(t, findings[0].Message, "unknown field")
}

// Guards against a joined second document whose findings point at the first one.
func TestSecondDocumentKeepsItsPlaces(t *testing.T) {
	findings := check(t, sampleRegister+"---\nkind: Register\nmodels:\n  - name: m\n")
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Document, 1)
	assert.Equal(t, findings[0].Path, "register.models[1].name")
}

// Guards against JSON documents that are only accepted one a call, and against findings in them without their place.
func TestManyJSONDocuments(t *testing.T) {
	one := `{"kind":"Register","institutions":[{"name":"board"}]}`
	two := `{"kind":"Rules","institutions":[{"institution":"board","share":1}]}`
	for _, text := range []string{one + two, one + "\n" + two + "\n", one + "\n---\n" + two, "[" + one + ",\n " + two + "]"} {
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
