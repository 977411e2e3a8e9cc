package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Finding is one fault in an operator document and its position.
type Finding struct {
	// Document is the index of the document in the call, from 0.
	Document int `json:"document"`
	// Line and Column count from 1; 0 when the fault has no position.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the faulty value, such as "register.models[1].name".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the finding as "document D, line L:C: path: message".
func (f Finding) String() string {
	return fmt.Sprintf("document %d, line %d:%d: %s: %s", f.Document, f.Line, f.Column, f.Path, f.Message)
}

// Findings are all faults found in one check.
type Findings []Finding

// Error returns the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// position is the position of a value in the documents of a call. line and column count from 1.
type position struct{ document, line, column int }

// Documents is the decoded form of one apply call. Register or Rules is nil when no document of that kind was sent.
type Documents struct {
	Register *Register
	Rules    *Rules
	// positions holds the position of each decoded value by its path.
	positions map[string]position
	findings  Findings
}

// Decode reads one or more documents: YAML documents, consecutive JSON values, or one list of documents. Documents of
// one kind are merged. The findings hold syntax errors, unknown fields and wrong types; the documents must not be used
// when there are any.
func Decode(data []byte) (*Documents, Findings) {
	d := &Documents{positions: map[string]position{}}
	nextIndex := 0
	for _, s := range splitJSONValues(data) {
		nextIndex = d.decodePart(nextIndex, s)
	}
	if d.Register == nil && d.Rules == nil && len(d.findings) == 0 {
		d.findings = append(d.findings, Finding{Path: "kind", Message: "no document of kind Register or Rules"})
	}
	return d, d.findings
}

// decodePart decodes the YAML documents of s, which get indexes from first on, and returns the index after the last.
func (d *Documents) decodePart(first int, part inputPart) int {
	dec := yaml.NewDecoder(bytes.NewReader(part.data))
	for i := first; ; i++ {
		var root yaml.Node
		err := dec.Decode(&root)
		part.shiftPositions(&root)
		switch {
		case errors.Is(err, io.EOF):
			return i
		case err != nil:
			f := syntaxFinding(i, err)
			f.Line += part.line
			d.findings = append(d.findings, f)
			return i + 1
		case len(root.Content) == 0:
		case root.Content[0].Kind == yaml.SequenceNode && len(root.Content[0].Content) > 0:
			for n, document := range root.Content[0].Content {
				d.decodeDocument(i+n, document)
			}
			i += len(root.Content[0].Content) - 1
		default:
			d.decodeDocument(i, root.Content[0])
		}
	}
}

// inputPart is a part of the data of a call. line is the number of lines before it, and column the number of columns
// before it on its first line.
type inputPart struct {
	data         []byte
	line, column int
}

// shiftPositions turns the positions of a node and its descendants from positions in the part into positions in
// all data of the call.
func (p inputPart) shiftPositions(node *yaml.Node) {
	if node.Line == 1 {
		node.Column += p.column
	}
	node.Line += p.line
	for _, n := range node.Content {
		p.shiftPositions(n)
	}
}

// splitJSONValues splits data into its JSON values. A single value, and data of another form such as YAML, is returned
// as one part.
func splitJSONValues(data []byte) []inputPart {
	var values []inputPart
	dec := json.NewDecoder(bytes.NewReader(data))
	for line, lineStart, scanned := 0, 0, 0; ; {
		var value json.RawMessage
		err := dec.Decode(&value)
		if errors.Is(err, io.EOF) && len(values) > 1 {
			return values
		}
		if err != nil {
			return []inputPart{{data: data}}
		}
		start := int(dec.InputOffset()) - len(value)
		skipped := data[scanned:start]
		if n := bytes.Count(skipped, []byte("\n")); n > 0 {
			line += n
			lineStart = scanned + bytes.LastIndexByte(skipped, '\n') + 1
		}
		scanned = start
		values = append(values, inputPart{value, line, start - lineStart})
	}
}

// syntaxFinding returns a YAML syntax error as a finding; the library gives its line only in the error's text.
func syntaxFinding(document int, err error) Finding {
	f := Finding{Document: document, Message: err.Error()}
	if _, rest, ok := strings.Cut(err.Error(), "line "); ok {
		digits := rest[:len(rest)-len(strings.TrimLeft(rest, "0123456789"))]
		f.Line, _ = strconv.Atoi(digits)
	}
	return f
}

// decodeDocument decodes one document according to its kind and merges it into d.
func (d *Documents) decodeDocument(index int, node *yaml.Node) {
	switch kind := documentKind(node); kind {
	case KindRegister:
		var r Register
		decoder := nodeDecoder{docs: d, document: index, offset: d.registerOffset}
		decoder.decodeValue(node, reflect.ValueOf(&r).Elem(), "register")
		d.mergeRegister(r)
	case KindRules:
		var r Rules
		decoder := nodeDecoder{docs: d, document: index, offset: d.rulesOffset}
		decoder.decodeValue(node, reflect.ValueOf(&r).Elem(), "rules")
		d.mergeRules(r)
	default:
		d.findings = append(d.findings, Finding{
			Document: index, Line: node.Line, Column: node.Column, Path: "kind",
			Message: fmt.Sprintf("document kind %q is not Register or Rules", kind),
		})
	}
}

// documentKind returns the value of the field kind, or "" when there is none.
func documentKind(node *yaml.Node) string {
	if node.Kind != yaml.MappingNode {
		return ""
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == "kind" {
			return node.Content[i+1].Value
		}
	}
	return ""
}

// registerOffset returns how many elements earlier documents have added to the register's top-level list at path, so
// that the indexes in paths continue from there.
func (d *Documents) registerOffset(path string) int {
	if d.Register == nil {
		return 0
	}
	switch path {
	case "register.institutions":
		return len(d.Register.Institutions)
	case "register.callers":
		return len(d.Register.Callers)
	case "register.models":
		return len(d.Register.Models)
	case "register.adapters":
		return len(d.Register.Adapters)
	case "register.versions":
		return len(d.Register.Versions)
	case "register.upstreams":
		return len(d.Register.Upstreams)
	}
	return 0
}

// rulesOffset is registerOffset for the lists of the rules.
func (d *Documents) rulesOffset(path string) int {
	if d.Rules == nil || path != "rules.institutions" {
		return 0
	}
	return len(d.Rules.Institutions)
}

// mergeRegister appends the lists of r to those of earlier documents.
func (d *Documents) mergeRegister(r Register) {
	if d.Register == nil {
		d.Register = &r
		return
	}
	d.Register.Institutions = append(d.Register.Institutions, r.Institutions...)
	d.Register.Callers = append(d.Register.Callers, r.Callers...)
	d.Register.Models = append(d.Register.Models, r.Models...)
	d.Register.Adapters = append(d.Register.Adapters, r.Adapters...)
	d.Register.Versions = append(d.Register.Versions, r.Versions...)
	d.Register.Upstreams = append(d.Register.Upstreams, r.Upstreams...)
}

// mergeRules appends the lists of r to those of earlier documents.
func (d *Documents) mergeRules(r Rules) {
	if d.Rules == nil {
		d.Rules = &r
		return
	}
	d.Rules.Institutions = append(d.Rules.Institutions, r.Institutions...)
}

// nodeDecoder copies the YAML nodes of one document into Go values and records the position of each path.
type nodeDecoder struct {
	docs *Documents
	// document is the index of the document in the call.
	document int
	// offset returns the number of elements that earlier documents have added to the list at path.
	offset func(path string) int
}

// addFinding adds a finding at the position of node.
func (d *nodeDecoder) addFinding(node *yaml.Node, path, format string, args ...any) {
	d.docs.findings = append(d.docs.findings, Finding{
		Document: d.document, Line: node.Line, Column: node.Column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

var unmarshalerType = reflect.TypeFor[yaml.Unmarshaler]()

// decodeValue copies node into v, which is found at path.
func (d *nodeDecoder) decodeValue(node *yaml.Node, v reflect.Value, path string) {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	d.docs.positions[path] = position{d.document, node.Line, node.Column}
	if v.Addr().Type().Implements(unmarshalerType) {
		d.decodeScalar(node, v, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeMapping(node, v, path)
	case reflect.Slice:
		d.decodeSequence(node, v, path)
	case reflect.Pointer:
		p := reflect.New(v.Type().Elem())
		d.decodeValue(node, p.Elem(), path)
		v.Set(p)
	default:
		d.decodeScalar(node, v, path)
	}
}

// decodeMapping copies a YAML mapping into a struct; unknown and repeated fields become findings.
func (d *nodeDecoder) decodeMapping(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.MappingNode {
		d.addFinding(node, path, "must be a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		field, ok := fieldByName(v, key.Value)
		switch {
		case !ok:
			d.addFinding(key, path+"."+key.Value, "unknown field")
		case seen[key.Value]:
			d.addFinding(key, path+"."+key.Value, "field is given twice")
		default:
			seen[key.Value] = true
			d.decodeValue(node.Content[i+1], field, path+"."+key.Value)
		}
	}
}

// fieldByName returns the field of a struct whose JSON name is name.
func fieldByName(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if tag == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// decodeSequence copies a YAML sequence into a slice; null leaves it empty.
func (d *nodeDecoder) decodeSequence(node *yaml.Node, v reflect.Value, path string) {
	if node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.SequenceNode {
		d.addFinding(node, path, "must be a list")
		return
	}
	offset := d.offset(path)
	list := reflect.MakeSlice(v.Type(), len(node.Content), len(node.Content))
	for i, n := range node.Content {
		d.decodeValue(n, list.Index(i), fmt.Sprintf("%s[%d]", path, i+offset))
	}
	v.Set(list)
}

// decodeScalar copies a YAML scalar into a value that holds no fields or elements.
func (d *nodeDecoder) decodeScalar(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.ScalarNode {
		d.addFinding(node, path, "must be a single value")
		return
	}
	if v.Kind() == reflect.String && node.Tag != "!!str" && node.Tag != "!!null" {
		// YAML reads unquoted text such as 2024 or true as a number or boolean; a text field takes it as text.
		v.SetString(node.Value)
		return
	}
	if err := node.Decode(v.Addr().Interface()); err != nil {
		d.addFinding(node, path, "%s", scalarMessage(node, v))
	}
}

// scalarMessage says what form a scalar must have to fit v.
func scalarMessage(node *yaml.Node, v reflect.Value) string {
	want := map[reflect.Kind]string{
		reflect.Int: "a whole number", reflect.Int64: "a whole number or a duration such as \"24h\"",
		reflect.Float64: "a number", reflect.Bool: "true or false", reflect.String: "text",
	}[v.Kind()]
	return fmt.Sprintf("%q must be %s", node.Value, want)
}
