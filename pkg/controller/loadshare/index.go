package loadshare

import (
	"slices"

	"trefoilplank.example/pkg/decision/dispatch"
)

// IndexedLoads holds the loads of upstreams by their position in the hub's index, which a node gets once: as maps by
// upstream, the totals were most of each answer and of the time to encode it.
type IndexedLoads struct {
	// Revision is that of the index. IDs is the index, omitted for nodes that have it.
	Revision int64
	IDs      []string
	// Counts holds online, batch and non-preemptible batch runs of each upstream.
	Counts []uint32
	// Slowness is the time of work on each upstream in units of 1/slownessUnits of the usual one, or 0 if it is the usual one. It is
	// empty while all upstreams are alike, and in answers between those that bring it.
	Slowness []byte
}

const (
	// countsPerLoad is the number of counts of one upstream.
	countsPerLoad = 3
	// spareIndexEntries is how many upstreams without load the index may hold beside as many as there are with load.
	spareIndexEntries = 64
)

// upstreamIndex numbers upstreams. Its revision changes with each change of a number, and differs between the processes of
// hubs.
type upstreamIndex struct {
	revision  int64
	ids       []string
	positions map[string]int
}

// newUpstreamIndex returns an empty index. firstRevision is unique among hubs, as the start time of a process is.
func newUpstreamIndex(firstRevision int64) upstreamIndex {
	return upstreamIndex{revision: max(1, firstRevision), positions: map[string]int{}}
}

// pack returns the loads for a node that has the index of revision known. Upstreams without load are left out of the counts
// at their end.
func (x *upstreamIndex) pack(loads map[string]dispatch.Load, known int64) *IndexedLoads {
	if len(x.ids) > 2*len(loads)+spareIndexEntries {
		x.ids, x.positions = nil, map[string]int{}
		x.revision++
	}
	grown := false
	for id := range loads {
		if _, ok := x.positions[id]; !ok {
			x.positions[id] = len(x.ids)
			x.ids = append(x.ids, id)
			grown = true
		}
	}
	if grown {
		x.revision++
	}
	packed := &IndexedLoads{Revision: x.revision, Counts: make([]uint32, countsPerLoad*len(x.ids))}
	for id, l := range loads {
		x.set(packed.Counts, id, l)
	}
	if known != x.revision {
		packed.IDs = slices.Clone(x.ids)
	}
	return packed
}

// holds reports whether the index has all upstreams of loads.
func (x *upstreamIndex) holds(loads map[string]dispatch.Load) bool {
	for id := range loads {
		if _, ok := x.positions[id]; !ok {
			return false
		}
	}
	return true
}

// set sets the counts of one upstream, if the index has it.
func (x *upstreamIndex) set(counts []uint32, id string, l dispatch.Load) {
	if n, ok := x.positions[id]; ok {
		c := counts[countsPerLoad*n:]
		c[0], c[1], c[2] = uint32(max(0, l.Online)), uint32(max(0, l.Batch)), uint32(max(0, l.Firm))
	}
}

// expand returns the loads of an answer and keeps the index that it brings.
func (x *upstreamIndex) expand(packed *IndexedLoads) map[string]dispatch.Load {
	if packed.IDs != nil {
		x.ids = packed.IDs
	}
	x.revision = packed.Revision
	loads := make(map[string]dispatch.Load, len(x.ids))
	for n, id := range x.ids {
		if end := countsPerLoad * (n + 1); end <= len(packed.Counts) {
			counts := packed.Counts[end-countsPerLoad : end]
			if l := (dispatch.Load{Online: int(counts[0]), Batch: int(counts[1]), Firm: int(counts[2])}); l != (dispatch.Load{}) {
				loads[id] = l
			}
		}
	}
	return loads
}
