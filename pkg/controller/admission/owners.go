package admission

import (
	"slices"
	"sync"

	"trefoilplank.example/pkg/blackboard"
	decision "trefoilplank.example/pkg/decision/admission"
)

// owners caches the admission owner of each upstream, since a placement over 500 upstreams and 380 members would
// otherwise hash 190,000 pairs. The cache is dropped when the set of possible owners changes.
type owners struct {
	mu       sync.Mutex
	revision int64
	members  blackboard.Members
	nodes    []string
	byName   map[string]string
}

// of returns the owner of the upstream under the present members of the section.
func (o *owners) of(section *blackboard.Section[blackboard.Members], upstream string) string {
	members, revision := section.Get()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byName == nil || revision != o.revision {
		nodes := decision.PossibleOwners(members)
		if o.byName == nil || !slices.Equal(nodes, o.nodes) {
			o.nodes, o.byName = nodes, map[string]string{}
		}
		o.revision, o.members = revision, members
	}
	owner, ok := o.byName[upstream]
	if !ok {
		owner = decision.OwnerAmong(upstream, o.nodes, members.Self)
		o.byName[upstream] = owner
	}
	return owner
}

// owner returns the admission owner of the upstream.
func (c *Controller) owner(upstream string) string { return c.ownerOf.of(&c.Board.Members, upstream) }
