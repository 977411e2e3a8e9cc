package operator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/operator/status"
)

// maxShownFields bounds the number of changed fields in a reason.
const maxShownFields = 3

// ConfigChanges holds, for each institution, model and upstream, the last configuration change that came into force on
// this node. It is kept in memory, so that status can show it while the store is unavailable.
type ConfigChanges struct {
	board *blackboard.Board
	now   func() time.Time

	mu      sync.Mutex
	objects map[objectKey]objectChange
}

type objectKey struct {
	kind status.Kind
	name string
}

// objectChange is the last change of an object: when it came into force, and its description.
type objectChange struct {
	at   time.Time
	text string
}

// NewConfigChanges returns an empty ConfigChanges; Run fills it from the configurations on the board.
func NewConfigChanges(board *blackboard.Board, now func() time.Time) *ConfigChanges {
	return &ConfigChanges{board: board, now: now, objects: map[objectKey]objectChange{}}
}

// Run records the changes of each new configuration until ctx ends.
func (c *ConfigChanges) Run(ctx context.Context) error {
	var before api.Config
	for {
		next, revision := c.board.Config.Get()
		if revision > 0 {
			c.record(before, next)
			before = next
		}
		select {
		case <-c.board.Config.Changed(revision):
		case <-ctx.Done():
			return nil
		}
	}
}

// record stores the description of each object that differs between two configurations. Several changes of one object
// are joined. Entries of removed objects are deleted.
func (c *ConfigChanges) record(before, next api.Config) {
	changes, now := Diff(before, next), c.now().UTC()
	c.mu.Lock()
	defer c.mu.Unlock()
	recorded := map[objectKey]bool{}
	for _, x := range changes {
		name, ok := statusObjectOf(x)
		if !ok {
			continue
		}
		text := describeChange(x)
		if before.Version == 0 {
			// The first configuration that this node knows does not show what changed and when.
			text = "first in force on this node"
		}
		switch {
		case recorded[name] && before.Version == 0:
			continue
		case recorded[name]:
			text = c.objects[name].text + "; " + text
		default:
			text = fmt.Sprintf("configuration %d: %s", next.Version, text)
		}
		recorded[name] = true
		c.objects[name] = objectChange{now, text}
		if x.Operation == OperationRemoved && x.Kind == string(name.kind) {
			delete(c.objects, name)
		}
	}
}

// statusObjectOf returns the status object to which a changed object of the configuration belongs, if there is one.
func statusObjectOf(x Change) (objectKey, bool) {
	switch x.Kind {
	case "institution", "rules":
		return objectKey{status.KindInstitution, x.Name}, true
	case "model":
		return objectKey{status.KindModel, x.Name}, true
	case "version":
		model, _, _ := strings.Cut(x.Name, "/")
		return objectKey{status.KindModel, model}, true
	case "upstream":
		return objectKey{status.KindUpstream, x.Name}, true
	}
	return objectKey{}, false
}

// describeChange returns a text such as "rules share 1 -> 2" or "upstream e added".
func describeChange(x Change) string {
	if x.Operation != OperationChanged {
		return fmt.Sprintf("%s %s %s", x.Kind, x.Name, x.Operation)
	}
	var fields []string
	for i, f := range x.Fields {
		if i == maxShownFields {
			fields = append(fields, fmt.Sprintf("%d more", len(x.Fields)-maxShownFields))
			break
		}
		fields = append(fields, fmt.Sprintf("%s %s -> %s", f.Path, shortValue(f.Old), shortValue(f.New)))
	}
	return x.Kind + " " + strings.Join(fields, ", ")
}

// shortValue returns the JSON value as text, with a list shortened to "[...]".
func shortValue(v []byte) string {
	if len(v) > 0 && v[0] == '[' {
		return "[...]"
	}
	return string(v)
}

// fillReasons adds configuration changes to the objects: as the reason if the reporting components gave none, and in
// front of their reason if the configuration changed later than the object. LastChange becomes the later time.
func (c *ConfigChanges) fillReasons(objects []status.Object) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range objects {
		o := &objects[i]
		change, ok := c.objects[objectKey{o.Kind, o.Name}]
		if !ok {
			continue
		}
		if o.Why == "" {
			o.Why = change.text
		} else if change.at.After(o.LastChange) {
			o.Why = change.text + "; " + o.Why
		}
		if change.at.After(o.LastChange) {
			o.LastChange = change.at
		}
	}
}

// fillFromProblems adds problems to their objects: LastChange becomes the start of the latest problem if that is later,
// and the causes become the reason if the reporting components gave none.
func fillFromProblems(objects []status.Object, problems []status.Problem) {
	for i := range objects {
		o := &objects[i]
		var causes []string
		for _, p := range problems {
			if p.Kind != o.Kind || p.Name != o.Name {
				continue
			}
			causes = append(causes, p.Cause)
			if p.Since.After(o.LastChange) {
				o.LastChange = p.Since
			}
		}
		if o.Why == "" {
			o.Why = strings.Join(causes, "; ")
		}
	}
}
