package fleet

import (
	"context"
	"encoding/json"
	"time"

	"trefoilplank.example/pkg/decision/lostnodes"
)

// Unheard returns the entries of registered nodes that are not heard.
func (f *Fleet) Unheard(names []string) (nodes []lostnodes.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		if m, ok := f.members[name]; ok {
			nodes = append(nodes, lostnodes.Node{Name: name, Revision: f.revisions[name], Marked: m.Challenged != 0, Answers: m.AnswersChallenges})
		}
	}
	return nodes
}

// Challenge marks the entry of another node, unless it was written again since this node read it. A process that is alive and reaches the
// store undoes that.
func (f *Fleet) Challenge(ctx context.Context, name string) {
	f.mu.Lock()
	m, known := f.members[name]
	revision := f.revisions[name]
	f.mu.Unlock()
	if !known || revision == 0 || name == f.Self().Name {
		return
	}
	m.Challenged = time.Now().UnixNano()
	value, err := json.Marshal(m)
	if err == nil {
		_, err = f.store.Put(ctx, Prefix+name, value, revision)
	}
	f.log.Notice("challenged a node that is not heard", "member", name, "incarnation", m.Incarnation, "error", err)
}

// Remove deletes the entry of another node unless it was written again since this node read it.
func (f *Fleet) Remove(ctx context.Context, name string) {
	f.mu.Lock()
	revision, known := f.revisions[name]
	incarnation := f.members[name].Incarnation
	f.mu.Unlock()
	if !known || name == f.Self().Name {
		return
	}
	err := f.store.Delete(ctx, Prefix+name, revision)
	f.log.Notice("deleted the entry of a lost node", "member", name, "incarnation", incarnation, "error", err)
}
