package upstreams

import (
	"slices"
	"sync"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/admission"
)

// Owners caches the admission owner of each upstream, since a placement among 500 upstreams with 380 members would
// otherwise hash 190,000 pairs. The cache is cleared when the set of possible owners changes. The zero value is
// ready for use.
type Owners struct {
	mu       sync.Mutex
	revision int64
	nodes    []string
	byName   map[string]string
	// generation is incremented whenever nodes changes.
	generation int64
}

// Generation returns a number that grows whenever the set of possible owners changes.
func (o *Owners) Generation(section *blackboard.Section[blackboard.Members]) int64 {
	members, revision := section.Get()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh(members, revision)
	return o.generation
}

// refresh updates nodes for the current members and clears the cache if they differ; o.mu is held.
func (o *Owners) refresh(members blackboard.Members, revision int64) {
	if o.byName != nil && revision == o.revision {
		return
	}
	nodes := admission.PossibleOwners(members)
	if o.byName == nil || !slices.Equal(nodes, o.nodes) {
		o.nodes, o.byName = nodes, map[string]string{}
		o.generation++
	}
	o.revision = revision
}

// Of returns the owner of the upstream for the current members.
func (o *Owners) Of(section *blackboard.Section[blackboard.Members], upstream string) string {
	members, revision := section.Get()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh(members, revision)
	owner, ok := o.byName[upstream]
	if !ok {
		owner = admission.OwnerAmong(upstream, o.nodes, members.Self)
		o.byName[upstream] = owner
	}
	return owner
}
