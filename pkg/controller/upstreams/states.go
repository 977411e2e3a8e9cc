package upstreams

import "reflect"

// States returns the last state of each engine that this node polls and that answers, and a revision that grows with
// each change. The caller must not modify the values.
func (o *Observer) States() (states map[string]State, revision int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, revision = o.states.Get()
	states = map[string]State{}
	for name, e := range o.entries {
		if e.engine != nil {
			states[name] = *e.engine
		}
	}
	return states, revision
}

// StatesChanged returns a channel that is closed when the result of States is newer than the revision.
func (o *Observer) StatesChanged(after int64) <-chan struct{} { return o.states.Changed(after) }

// setEngine stores the state of an owned engine, nil when it is not known; o.mu is held.
func (o *Observer) setEngine(e *entry, s *State) {
	if !reflect.DeepEqual(e.engine, s) {
		e.engine = s
		o.states.Set(struct{}{})
	}
}

// hasState reports whether the state of the engine is known.
func (o *Observer) hasState(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.entry(name).engine != nil
}
