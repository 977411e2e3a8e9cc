package upstreams

import "reflect"

// States returns the last state of each engine that this node polls and that answers, with a revision that grows at
// each change. The values must not be changed.
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

// StatesChanged returns a channel that is closed once States has changed after the revision.
func (o *Observer) StatesChanged(after int64) <-chan struct{} { return o.states.Changed(after) }

// setEngine notes the state of an owned engine, nil when it is not known; o.mu is held.
func (o *Observer) setEngine(e *entry, s *State) {
	if !reflect.DeepEqual(e.engine, s) {
		e.engine = s
		o.states.Set(struct{}{})
	}
}

func (o *Observer) hasState(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.entry(name).engine != nil
}
