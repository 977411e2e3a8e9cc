package limits

import (
	"maps"
	"slices"
	"sync"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// owners caches the limit owner of each institution until the set of live nodes changes. Finding an owner takes a hash
// for each of 380 nodes, and renewals need the owners of all institutions in use each second.
type owners struct {
	mu       sync.Mutex
	revision int64
	nodes    []string
	cached   map[string]string
}

// maxCached bounds the institutions in the cache. Names of unknown institutions are never added, but tests and old
// configurations may add more names.
const maxCached = 10_000

// of returns the limit owner of an institution for the current members.
func (o *owners) of(section *blackboard.Section[blackboard.Members], institution string) string {
	members, revision := section.Get()
	if len(members.Live) == 0 {
		return members.Self
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cached == nil || revision != o.revision {
		nodes := slices.Sorted(maps.Keys(members.Live))
		if o.cached == nil || !slices.Equal(nodes, o.nodes) {
			o.nodes, o.cached = nodes, map[string]string{}
		}
		o.revision = revision
	}
	owner, ok := o.cached[institution]
	if !ok {
		if len(o.cached) >= maxCached {
			clear(o.cached)
		}
		owner = rendezvous.Owner("limits/"+institution, o.nodes)
		o.cached[institution] = owner
	}
	return owner
}
