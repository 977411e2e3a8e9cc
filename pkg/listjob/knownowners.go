package listjob

import "time"

// knownOwners caches the owners of jobs of other nodes. An entry is kept for one to two periods of rotate after it was set: a job that is looked
// up later is located again. It is not safe for concurrent use.
type knownOwners struct {
	recent, earlier map[string]owner
	rotated         time.Time
}

func (k *knownOwners) get(id string) (owner, bool) {
	if o, ok := k.recent[id]; ok {
		return o, true
	}
	o, ok := k.earlier[id]
	return o, ok
}

func (k *knownOwners) set(id string, o owner) {
	if k.recent == nil {
		k.recent = map[string]owner{}
	}
	k.recent[id] = o
}

func (k *knownOwners) drop(id string) {
	delete(k.recent, id)
	delete(k.earlier, id)
}

// rotate forgets the entries that were set before the last rotation, once a period.
func (k *knownOwners) rotate(now time.Time, period time.Duration) {
	if now.Sub(k.rotated) < period {
		return
	}
	k.earlier, k.recent, k.rotated = k.recent, nil, now
}
