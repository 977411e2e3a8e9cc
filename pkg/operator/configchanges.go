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

// shownFields bounds the changed fields that a reason names.
const shownFields = 3

// ConfigChanges keeps which change of the configuration last came into force on this node for each institution,
// model and upstream. Status shows it, also while the store gives no answer.
type ConfigChanges struct {
	board *blackboard.Board
	now   func() time.Time

	mu      sync.Mutex
	objects map[objectName]objectChange
}

type objectName struct {
	kind status.Kind
	name string
}

type objectChange struct {
	at   time.Time
	text string
}

// NewConfigChanges returns the changes of the board's configuration, which Run follows.
func NewConfigChanges(board *blackboard.Board, now func() time.Time) *ConfigChanges {
	return &ConfigChanges{board: board, now: now, objects: map[objectName]objectChange{}}
}

// Run follows the configuration until ctx ends.
func (c *ConfigChanges) Run(ctx context.Context) error {
	var before api.Config
	for {
		next, revision := c.board.Config.Get()
		if revision > 0 {
			c.note(before, next)
			before = next
		}
		select {
		case <-c.board.Config.Changed(revision):
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *ConfigChanges) note(before, next api.Config) {
	changes, now := Diff(before, next), c.now().UTC()
	c.mu.Lock()
	defer c.mu.Unlock()
	noted := map[objectName]bool{}
	for _, x := range changes {
		name, ok := objectOf(x)
		if !ok {
			continue
		}
		text := describeChange(x)
		if before.Version == 0 {
			// What came with the first configuration that this node knows was not changed by it.
			text = "first in force on this node"
		}
		switch {
		case noted[name] && before.Version == 0:
			continue
		case noted[name]:
			text = c.objects[name].text + "; " + text
		default:
			text = fmt.Sprintf("configuration %d: %s", next.Version, text)
		}
		noted[name] = true
		c.objects[name] = objectChange{now, text}
		if x.Operation == Removed && x.Kind == string(name.kind) {
			delete(c.objects, name)
		}
	}
}

// objectOf returns the object of status that a changed object belongs to.
func objectOf(x Change) (objectName, bool) {
	switch x.Kind {
	case "institution", "rules":
		return objectName{status.KindInstitution, x.Name}, true
	case "model":
		return objectName{status.KindModel, x.Name}, true
	case "version":
		model, _, _ := strings.Cut(x.Name, "/")
		return objectName{status.KindModel, model}, true
	case "upstream":
		return objectName{status.KindUpstream, x.Name}, true
	}
	return objectName{}, false
}

func describeChange(x Change) string {
	if x.Operation != Changed {
		return fmt.Sprintf("%s %s %s", x.Kind, x.Name, x.Operation)
	}
	var fields []string
	for i, f := range x.Fields {
		if i == shownFields {
			fields = append(fields, fmt.Sprintf("%d more", len(x.Fields)-shownFields))
			break
		}
		fields = append(fields, fmt.Sprintf("%s %s -> %s", f.Path, shortValue(f.Old), shortValue(f.New)))
	}
	return x.Kind + " " + strings.Join(fields, ", ")
}

// shortValue shows a scalar and says of a list only that it is one.
func shortValue(v []byte) string {
	if len(v) > 0 && v[0] == '[' {
		return "[...]"
	}
	return string(v)
}

// fill gives objects the time and reason of their last change where the parts that report them know neither, and
// those of a later change of the configuration.
func (c *ConfigChanges) fill(objects []status.Object) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range objects {
		o := &objects[i]
		change, ok := c.objects[objectName{o.Kind, o.Name}]
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

// fillFromProblems gives objects with problems the beginning of the latest as last change if nothing changed since,
// and the causes as the reason if the parts that report the object give none.
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
