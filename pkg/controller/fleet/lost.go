package fleet

import "context"

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
