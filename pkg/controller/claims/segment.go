package claims

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/store"
)

const (
	// formatVersion is the version of the head's format. A head without a version is a JSON object of claims by key.
	formatVersion = 1
	// segmentExpiryMargin is how long a segment is kept after its claims have expired, since clocks differ.
	segmentExpiryMargin = time.Hour
	// deleteTimeout bounds the deletion of expired segments.
	deleteTimeout = 10 * time.Second
	// purgeInterval is the time between removals of expired claims from memory.
	purgeInterval = 10 * time.Minute
	// maxSegmentGets is the number of segments that are read one by one before all are listed; after a conflict only the
	// last few are new.
	maxSegmentGets = 4
	// listPageSize is the number of segments in one page of a list, about 0.5 MB.
	listPageSize = 100
)

// head is the head object of a bucket, which each commit updates. Entries holds the open claims by hashed key.
type head struct {
	Version int              `json:"version"`
	Entries map[string]entry `json:"entries"`
	// Last is the key of the newest segment's object, and Newest is the unix time of that segment's newest claim.
	Last   string `json:"last,omitempty"`
	Newest int64  `json:"newest,omitempty"`
}

// segment is an object of claims that is written once. Prev and PrevNewest are the key and the newest claim's unix time
// of the segment before it.
type segment struct {
	Entries    map[string]entry `json:"entries"`
	Prev       string           `json:"prev,omitempty"`
	PrevNewest int64            `json:"prev_newest,omitempty"`
}

// segmentRef refers to a segment: the key of its object and the unix time of its newest claim.
type segmentRef struct {
	name   string
	newest int64
}

// load reads the head and the segments that are not in the copy yet.
func (b *bucket) load(ctx context.Context) error {
	var h head
	o, err := b.store.Get(ctx, b.name)
	switch {
	case errors.Is(err, store.ErrNotFound):
		o.Revision = store.CreateOnly
	case err != nil:
		return err
	default:
		if h, err = decodeHead(o.Value); err != nil {
			return err
		}
	}
	if err := b.readSegments(ctx, h); err != nil {
		return err
	}
	b.head, b.revision, b.loaded = h, o.Revision, true
	b.dropExpired()
	return nil
}

// decodeHead decodes the value of a head object, also in the format without a version.
func decodeHead(value []byte) (h head, err error) {
	if err = json.Unmarshal(value, &h); err == nil && h.Version == 0 {
		h = head{}
		err = json.Unmarshal(value, &h.Entries)
	}
	if err == nil && h.Version > formatVersion {
		err = Error.New("bucket head has unknown format version %d", h.Version)
	}
	return h, Error.Wrap(err)
}

// readSegments reads the segments from the newest one back to one that is in the copy or has expired.
func (b *bucket) readSegments(ctx context.Context, h head) error {
	type found struct {
		segmentRef
		entries map[string]entry
	}
	var fresh []found
	var listed map[string]segment
	known := func(name string) bool {
		return slices.ContainsFunc(b.segments, func(r segmentRef) bool { return r.name == name })
	}
	oldest := b.now().Add(-retention).Unix()
	for ref := (segmentRef{h.Last, h.Newest}); ref.name != "" && ref.newest >= oldest && !known(ref.name); {
		if len(fresh) == maxSegmentGets {
			var err error
			if listed, err = b.listSegments(ctx); err != nil {
				return err
			}
		}
		s, ok := listed[ref.name]
		if !ok {
			o, err := b.store.Get(ctx, ref.name)
			if err != nil {
				return err
			}
			if err := json.Unmarshal(o.Value, &s); err != nil {
				return Error.Wrap(err)
			}
		}
		fresh = append(fresh, found{ref, s.Entries})
		ref = segmentRef{s.Prev, s.PrevNewest}
	}
	for _, f := range slices.Backward(fresh) {
		b.addSegment(f.segmentRef, f.entries)
	}
	b.deleteExpired(listed)
	return nil
}

// listSegments reads all segments of the bucket, by object key.
func (b *bucket) listSegments(ctx context.Context) (map[string]segment, error) {
	all := map[string]segment{}
	for after := ""; ; {
		page, err := b.store.List(ctx, b.name+"/", after, listPageSize)
		if err != nil {
			return nil, err
		}
		for _, o := range page.Objects {
			var s segment
			if err := json.Unmarshal(o.Value, &s); err != nil {
				return nil, Error.Wrap(err)
			}
			all[o.Key] = s
		}
		if after = page.Next; after == "" {
			return all, nil
		}
	}
}

// addSegment adds a segment that is newer than all others to the copy.
func (b *bucket) addSegment(ref segmentRef, entries map[string]entry) {
	if b.segmentClaims == nil {
		b.segmentClaims = map[string]entry{}
	}
	maps.Copy(b.segmentClaims, entries)
	b.segments = append(b.segments, ref)
}

// commitHead writes the open claims with one conditional update of the head. If there are too many, it first writes them
// to a new segment that the head then names; a segment that no head names is ignored.
func (b *bucket) commitHead(ctx context.Context, open map[string]entry) error {
	h := head{Version: formatVersion, Entries: open, Last: b.head.Last, Newest: b.head.Newest}
	var ref segmentRef
	if len(open) > b.maxOpen {
		ref = segmentRef{b.name + "/" + ulid.Make().String(), newestTime(open)}
		value, err := json.Marshal(segment{Entries: open, Prev: h.Last, PrevNewest: h.Newest})
		if err != nil {
			return Error.Wrap(err)
		}
		if _, err = b.store.Put(ctx, ref.name, value, store.CreateOnly); err != nil {
			return err
		}
		h.Entries, h.Last, h.Newest = map[string]entry{}, ref.name, ref.newest
	}
	value, err := json.Marshal(h)
	if err != nil {
		return Error.Wrap(err)
	}
	revision, err := b.store.Put(ctx, b.name, value, b.revision)
	if err != nil {
		return err
	}
	if ref.name != "" {
		b.addSegment(ref, open)
		b.dropExpired()
	}
	b.head, b.revision = h, revision
	clear(b.toWithdraw)
	return nil
}

// newestTime returns the unix time of the newest claim.
func newestTime(entries map[string]entry) int64 {
	var at int64
	for _, e := range entries {
		at = max(at, e.At)
	}
	return at
}

// dropExpired drops expired claims from memory and deletes expired segments.
func (b *bucket) dropExpired() {
	now := b.now()
	if now.Sub(b.lastPurge) >= purgeInterval {
		b.lastPurge = now
		oldest := now.Add(-retention).Unix()
		maps.DeleteFunc(b.segmentClaims, func(_ string, e entry) bool { return e.At < oldest })
	}
	expired := now.Add(-retention - segmentExpiryMargin).Unix()
	old := 0
	for old < len(b.segments) && b.segments[old].newest < expired {
		old++
	}
	var keys []string
	for _, ref := range b.segments[:old] {
		keys = append(keys, ref.name)
	}
	b.segments = slices.Clone(b.segments[old:])
	b.deleteObjects(keys)
}

// deleteExpired deletes the listed segments that have expired, including those that no head names.
func (b *bucket) deleteExpired(listed map[string]segment) {
	expired := b.now().Add(-retention - segmentExpiryMargin).Unix()
	var keys []string
	for name, s := range listed {
		if newestTime(s.Entries) < expired {
			keys = append(keys, name)
		}
	}
	b.deleteObjects(keys)
}

// deleteObjects deletes objects in the background. Objects that it fails to delete are found again when the bucket is
// listed.
func (b *bucket) deleteObjects(keys []string) {
	if len(keys) == 0 {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), deleteTimeout)
		defer stop()
		for _, key := range keys {
			if err := b.store.Delete(ctx, key, store.AnyRevision); err != nil && !errors.Is(err, store.ErrNotFound) {
				klog.V(1).InfoS("Expired claims not deleted", "object", key, "err", err)
			}
		}
	}()
}
