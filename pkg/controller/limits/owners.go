package limits

import (
	"maps"
	"slices"
	"sync"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// owners keeps the limit owner of each institution until the set of live nodes changes: finding one takes a hash for
// each of 380 nodes, and renewals look at all institutions in use each second.
type owners struct {
	mu       sync.Mutex
	revision int64
	nodes    []string
	known    map[string]string
}

// maxKnown bounds the institutions that are kept; names of unknown ones never get here, but tests and old
// configurations may add to them.
const maxKnown = 10_000

func (o *owners) of(section *blackboard.Section[blackboard.Members], institution string) string {
	members, revision := section.Get()
	if len(members.Live) == 0 {
		return members.Self
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.known == nil || revision != o.revision {
		nodes := slices.Sorted(maps.Keys(members.Live))
		if o.known == nil || !slices.Equal(nodes, o.nodes) {
			o.nodes, o.known = nodes, map[string]string{}
		}
		o.revision = revision
	}
	owner, ok := o.known[institution]
	if !ok {
		if len(o.known) >= maxKnown {
			clear(o.known)
		}
		owner = rendezvous.Owner("limits/"+institution, o.nodes)
		o.known[institution] = owner
	}
	return owner
}
