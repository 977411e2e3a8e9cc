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
	// formatVersion is that of heads; a head without a version is a plain object of claims.
	formatVersion = 1
	// collectMargin is how much longer than its claims a segment is kept, for clocks that differ.
	collectMargin = time.Hour
	// collectTimeout bounds the deletion of old segments.
	collectTimeout = 10 * time.Second
	// purgeInterval is the time between removals of expired claims from memory.
	purgeInterval = 10 * time.Minute
	// walkGets is the number of segments that are read one by one before all are listed; after a conflict only the
	// last few are new.
	walkGets = 4
	// listPage is the number of segments in one page, about 0.5 MB.
	listPage = 100
)

// head is the object of a bucket that each claim updates.
type head struct {
	Version int              `json:"version"`
	Entries map[string]entry `json:"entries"`
	// Last is the object of the newest segment, Newest the unix time of its newest claim.
	Last   string `json:"last,omitempty"`
	Newest int64  `json:"newest,omitempty"`
}

// segment is an object of claims that is written once. Prev and PrevNewest describe the segment before it.
type segment struct {
	Entries    map[string]entry `json:"entries"`
	Prev       string           `json:"prev,omitempty"`
	PrevNewest int64            `json:"prev_newest,omitempty"`
}

// segmentRef names a segment; newest is the unix time of its newest claim.
type segmentRef struct {
	name   string
	newest int64
}

// load reads the head, and those segments that are not known yet.
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
	if err := b.follow(ctx, h); err != nil {
		return err
	}
	b.head, b.revision, b.loaded = h, o.Revision, true
	b.collect()
	return nil
}

func decodeHead(value []byte) (h head, err error) {
	if err = json.Unmarshal(value, &h); err == nil && h.Version == 0 {
		h = head{}
		err = json.Unmarshal(value, &h.Entries)
	}
	if err == nil && h.Version > formatVersion {
		err = Error.New("head of version %d", h.Version)
	}
	return h, Error.Wrap(err)
}

// follow reads the segments from the newest one back to one that is known or has expired.
func (b *bucket) follow(ctx context.Context, h head) error {
	type found struct {
		segmentRef
		entries map[string]entry
	}
	var fresh []found
	var listed map[string]segment
	known := func(name string) bool {
		return slices.ContainsFunc(b.segments, func(r segmentRef) bool { return r.name == name })
	}
	oldest := b.now().Add(-keep).Unix()
	for ref := (segmentRef{h.Last, h.Newest}); ref.name != "" && ref.newest >= oldest && !known(ref.name); {
		if len(fresh) == walkGets {
			var err error
			if listed, err = b.list(ctx); err != nil {
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
	b.deleteUnused(listed)
	return nil
}

// list reads all segments of the bucket.
func (b *bucket) list(ctx context.Context) (map[string]segment, error) {
	all := map[string]segment{}
	for after := ""; ; {
		page, err := b.store.List(ctx, b.name+"/", after, listPage)
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

func (b *bucket) addSegment(ref segmentRef, entries map[string]entry) {
	if b.closed == nil {
		b.closed = map[string]entry{}
	}
	maps.Copy(b.closed, entries)
	b.segments = append(b.segments, ref)
}

// commitHead writes the open claims with one conditional update. When they are many they go to a new segment first,
// and the head names it; a segment that no head names does not count.
func (b *bucket) commitHead(ctx context.Context, open map[string]entry) error {
	h := head{Version: formatVersion, Entries: open, Last: b.head.Last, Newest: b.head.Newest}
	var ref segmentRef
	if len(open) > b.limit {
		ref = segmentRef{b.name + "/" + ulid.Make().String(), newest(open)}
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
		b.collect()
	}
	b.head, b.revision = h, revision
	clear(b.undone)
	return nil
}

func newest(entries map[string]entry) int64 {
	var at int64
	for _, e := range entries {
		at = max(at, e.At)
	}
	return at
}

// collect drops expired claims from memory and deletes expired segments.
func (b *bucket) collect() {
	now := b.now()
	if now.Sub(b.purged) >= purgeInterval {
		b.purged = now
		oldest := now.Add(-keep).Unix()
		maps.DeleteFunc(b.closed, func(_ string, e entry) bool { return e.At < oldest })
	}
	expired := now.Add(-keep - collectMargin).Unix()
	old := 0
	for old < len(b.segments) && b.segments[old].newest < expired {
		old++
	}
	var keys []string
	for _, ref := range b.segments[:old] {
		keys = append(keys, ref.name)
	}
	b.segments = slices.Clone(b.segments[old:])
	b.remove(keys)
}

// deleteUnused deletes listed segments that have expired, also those that no head names.
func (b *bucket) deleteUnused(listed map[string]segment) {
	expired := b.now().Add(-keep - collectMargin).Unix()
	var keys []string
	for name, s := range listed {
		if newest(s.Entries) < expired {
			keys = append(keys, name)
		}
	}
	b.remove(keys)
}

// remove deletes objects in the background. What fails is found again when the bucket is listed.
func (b *bucket) remove(keys []string) {
	if len(keys) == 0 {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), collectTimeout)
		defer stop()
		for _, key := range keys {
			if err := b.store.Delete(ctx, key, store.AnyRevision); err != nil && !errors.Is(err, store.ErrNotFound) {
				klog.V(1).InfoS("Expired claims not deleted", "object", key, "err", err)
			}
		}
	}()
}
