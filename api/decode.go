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

// Finding is one fault in an operator document, with its place.
type Finding struct {
	// Document counts from 0 in the order of the call.
	Document int `json:"document"`
	// Line and Column count from 1; 0 when the fault has no place.
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the finding as "document D, line L:C: path: message".
func (f Finding) String() string {
	return fmt.Sprintf("document %d, line %d:%d: %s: %s", f.Document, f.Line, f.Column, f.Path, f.Message)
}

// Findings are all faults found in one check.
type Findings []Finding

// Error lists the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// place is the position of a value in the documents of a call.
type place struct{ document, line, column int }

// Documents is the decoded form of one apply call. Register or Rules is nil when no document of that kind was sent.
type Documents struct {
	Register *Register
	Rules    *Rules
	places   map[string]place
	findings Findings
}

// Decode reads one or many documents: YAML documents, JSON values one after the other, or one list of documents.
// Documents of one kind are joined. The findings hold syntax errors, unknown fields and wrong types; the documents
// are only to be used when there are none.
func Decode(data []byte) (*Documents, Findings) {
	d := &Documents{places: map[string]place{}}
	next := 0
	for _, s := range jsonValues(data) {
		next = d.decodeStream(next, s)
	}
	if d.Register == nil && d.Rules == nil && len(d.findings) == 0 {
		d.findings = append(d.findings, Finding{Path: "kind", Message: "no document of kind Register or Rules"})
	}
	return d, d.findings
}

// decodeStream decodes YAML documents, numbered from first, and returns the number after the last.
func (d *Documents) decodeStream(first int, s stream) int {
	dec := yaml.NewDecoder(bytes.NewReader(s.data))
	for i := first; ; i++ {
		var root yaml.Node
		err := dec.Decode(&root)
		s.move(&root)
		switch {
		case errors.Is(err, io.EOF):
			return i
		case err != nil:
			f := syntaxFinding(i, err)
			f.Line += s.line
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

// stream is a part of the data of a call, which begins after some lines, and some columns of its first line.
type stream struct {
	data         []byte
	line, column int
}

// move moves the positions of a node and all below it to those in the whole data.
func (s stream) move(node *yaml.Node) {
	if node.Line == 1 {
		node.Column += s.column
	}
	node.Line += s.line
	for _, n := range node.Content {
		s.move(n)
	}
}

// jsonValues splits data into the JSON values that it consists of. Data of another form, such as YAML, is
// returned whole.
func jsonValues(data []byte) []stream {
	var values []stream
	dec := json.NewDecoder(bytes.NewReader(data))
	for line, lineStart, counted := 0, 0, 0; ; {
		var value json.RawMessage
		err := dec.Decode(&value)
		if errors.Is(err, io.EOF) && len(values) > 1 {
			return values
		}
		if err != nil {
			return []stream{{data: data}}
		}
		start := int(dec.InputOffset()) - len(value)
		passed := data[counted:start]
		if n := bytes.Count(passed, []byte("\n")); n > 0 {
			line += n
			lineStart = counted + bytes.LastIndexByte(passed, '\n') + 1
		}
		counted = start
		values = append(values, stream{value, line, start - lineStart})
	}
}

func syntaxFinding(document int, err error) Finding {
	f := Finding{Document: document, Message: err.Error()}
	if _, rest, ok := strings.Cut(err.Error(), "line "); ok {
		digits := rest[:len(rest)-len(strings.TrimLeft(rest, "0123456789"))]
		f.Line, _ = strconv.Atoi(digits)
	}
	return f
}

func (d *Documents) decodeDocument(index int, node *yaml.Node) {
	switch kind := documentKind(node); kind {
	case KindRegister:
		var r Register
		w := walker{docs: d, document: index, offset: d.registerOffset}
		w.value(node, reflect.ValueOf(&r).Elem(), "register")
		d.joinRegister(r)
	case KindRules:
		var r Rules
		w := walker{docs: d, document: index, offset: d.rulesOffset}
		w.value(node, reflect.ValueOf(&r).Elem(), "rules")
		d.joinRules(r)
	default:
		d.findings = append(d.findings, Finding{
			Document: index, Line: node.Line, Column: node.Column, Path: "kind",
			Message: fmt.Sprintf("document kind %q is not Register or Rules", kind),
		})
	}
}

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

// registerOffset returns how many elements of a top-level list earlier documents hold, so that paths stay unique.
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

func (d *Documents) rulesOffset(path string) int {
	if d.Rules == nil || path != "rules.institutions" {
		return 0
	}
	return len(d.Rules.Institutions)
}

func (d *Documents) joinRegister(r Register) {
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

func (d *Documents) joinRules(r Rules) {
	if d.Rules == nil {
		d.Rules = &r
		return
	}
	d.Rules.Institutions = append(d.Rules.Institutions, r.Institutions...)
}

// walker copies a YAML node into a Go value and records the place of each path.
type walker struct {
	docs     *Documents
	document int
	offset   func(path string) int
}

func (w *walker) find(node *yaml.Node, path, format string, args ...any) {
	w.docs.findings = append(w.docs.findings, Finding{
		Document: w.document, Line: node.Line, Column: node.Column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

var unmarshalerType = reflect.TypeFor[yaml.Unmarshaler]()

func (w *walker) value(node *yaml.Node, v reflect.Value, path string) {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	w.docs.places[path] = place{w.document, node.Line, node.Column}
	if v.Addr().Type().Implements(unmarshalerType) {
		w.scalar(node, v, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		w.mapping(node, v, path)
	case reflect.Slice:
		w.sequence(node, v, path)
	case reflect.Pointer:
		p := reflect.New(v.Type().Elem())
		w.value(node, p.Elem(), path)
		v.Set(p)
	default:
		w.scalar(node, v, path)
	}
}

func (w *walker) mapping(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.MappingNode {
		w.find(node, path, "must be a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		field, ok := fieldByName(v, key.Value)
		switch {
		case !ok:
			w.find(key, path+"."+key.Value, "unknown field")
		case seen[key.Value]:
			w.find(key, path+"."+key.Value, "field is given twice")
		default:
			seen[key.Value] = true
			w.value(node.Content[i+1], field, path+"."+key.Value)
		}
	}
}

func fieldByName(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if tag == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (w *walker) sequence(node *yaml.Node, v reflect.Value, path string) {
	if node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.SequenceNode {
		w.find(node, path, "must be a list")
		return
	}
	offset := w.offset(path)
	list := reflect.MakeSlice(v.Type(), len(node.Content), len(node.Content))
	for i, n := range node.Content {
		w.value(n, list.Index(i), fmt.Sprintf("%s[%d]", path, i+offset))
	}
	v.Set(list)
}

func (w *walker) scalar(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.ScalarNode {
		w.find(node, path, "must be a single value")
		return
	}
	if v.Kind() == reflect.String && node.Tag != "!!str" && node.Tag != "!!null" {
		// Unquoted text such as 2024 or true is meant as text where the field holds text.
		v.SetString(node.Value)
		return
	}
	if err := node.Decode(v.Addr().Interface()); err != nil {
		w.find(node, path, "%s", scalarMessage(node, v))
	}
}

func scalarMessage(node *yaml.Node, v reflect.Value) string {
	want := map[reflect.Kind]string{
		reflect.Int: "a whole number", reflect.Int64: "a whole number or a duration such as \"24h\"",
		reflect.Float64: "a number", reflect.Bool: "true or false", reflect.String: "text",
	}[v.Kind()]
	return fmt.Sprintf("%q must be %s", node.Value, want)
}
