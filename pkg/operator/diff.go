package operator

import (
	"encoding/json"
	"reflect"
	"sort"

	"trefoilplank.example/api"
)

// Operation says how an object differs between two configurations.
type Operation string

// The operations.
const (
	OperationAdded   Operation = "added"
	OperationRemoved Operation = "removed"
	OperationChanged Operation = "changed"
)

// Change is one object that differs between two configurations.
type Change struct {
	// Kind is the kind of the object: institution, caller, model, adapter, version, upstream or rules.
	Kind      string    `json:"kind"`
	Name      string    `json:"name"`
	Operation Operation `json:"operation"`
	// Fields are the changed fields, sorted by path; only for OperationChanged.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one changed field with its old and new JSON value; null means that the field is absent.
type FieldChange struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old"`
	New  json.RawMessage `json:"new"`
}

// Diff returns the objects that differ between old and next. The order of objects within a list does not matter. The
// order of an institution's classes does, since it determines their priority.
func Diff(old, next api.Config) []Change {
	changes := []Change{}
	a, b := old.Register, next.Register
	changes = diffList(changes, "institution", a.Institutions, b.Institutions, func(x api.Institution) string { return x.Name })
	changes = diffList(changes, "caller", a.Callers, b.Callers, func(x api.Caller) string { return x.Name })
	changes = diffList(changes, "model", a.Models, b.Models, func(x api.Model) string { return x.Name })
	changes = diffList(changes, "adapter", a.Adapters, b.Adapters, func(x api.Adapter) string { return x.Name })
	changes = diffList(changes, "version", a.Versions, b.Versions, func(x api.Version) string { return x.Model + "/" + x.Name })
	changes = diffList(changes, "upstream", a.Upstreams, b.Upstreams, func(x api.Upstream) string { return x.Name })
	return diffList(changes, "rules", old.Rules.Institutions, next.Rules.Institutions,
		func(x api.InstitutionRules) string { return x.Institution })
}

// diffList appends the differences between two lists of objects, sorted by name.
func diffList[T any](changes []Change, kind string, old, next []T, name func(T) string) []Change {
	before, after := map[string]T{}, map[string]T{}
	names := map[string]bool{}
	for _, x := range old {
		before[name(x)], names[name(x)] = x, true
	}
	for _, x := range next {
		after[name(x)], names[name(x)] = x, true
	}
	for _, n := range sortedKeys(names) {
		a, inOld := before[n]
		b, inNext := after[n]
		switch {
		case !inOld:
			changes = append(changes, Change{Kind: kind, Name: n, Operation: OperationAdded})
		case !inNext:
			changes = append(changes, Change{Kind: kind, Name: n, Operation: OperationRemoved})
		case !reflect.DeepEqual(a, b):
			// The comparison of JSON forms costs far more than DeepEqual, so it is done only for unequal objects.
			if f := diffFields(a, b); len(f) > 0 {
				changes = append(changes, Change{Kind: kind, Name: n, Operation: OperationChanged, Fields: f})
			}
		}
	}
	return changes
}

// diffFields returns the fields that differ in the JSON forms of two objects.
func diffFields(a, b any) []FieldChange {
	x, y := jsonFields("", a), jsonFields("", b)
	paths := map[string]bool{}
	for p := range x {
		paths[p] = true
	}
	for p := range y {
		paths[p] = true
	}
	var fields []FieldChange
	for _, p := range sortedKeys(paths) {
		if !reflect.DeepEqual(x[p], y[p]) {
			fields = append(fields, FieldChange{Path: p, Old: encode(x[p]), New: encode(y[p])})
		}
	}
	return fields
}

// jsonFields returns the fields of a value's JSON form by path. Fields of nested objects have paths with dots; lists
// are not taken apart.
func jsonFields(prefix string, v any) map[string]any {
	var generic map[string]any
	if json.Unmarshal(encode(v), &generic) != nil {
		return nil
	}
	flat := map[string]any{}
	flatten(flat, prefix, generic)
	return flat
}

func flatten(flat map[string]any, prefix string, m map[string]any) {
	for k, v := range m {
		switch x := v.(type) {
		case map[string]any:
			flatten(flat, prefix+k+".", x)
		case []any:
			// An empty list is equivalent to an absent one.
			if len(x) > 0 {
				flat[prefix+k] = x
			}
		default:
			flat[prefix+k] = x
		}
	}
}

// encode returns the JSON form of a value whose encoding is not expected to fail.
func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}

func sortedKeys(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
