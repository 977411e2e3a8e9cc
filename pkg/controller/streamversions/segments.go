package streamversions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/softwareversion"
	"trefoilplank.example/pkg/jsontext"
	"trefoilplank.example/pkg/wait"
)

// While a service has several versions, the hub keeps the records of its streams in the store too, in segments of one second
// each, so that streams can go on after a restart of all nodes. A later second takes the place of one before Lifetime.
const (
	// segmentPrefix is followed by the position of a segment, its second modulo segments.
	segmentPrefix = Prefix + "segment-"
	segmentLength = time.Second
	segments      = int64(softwareversion.Lifetime / segmentLength)
	// segmentInterval is the pause between two writes. Streams that begin within it before all nodes are lost can't be taken
	// up: most streams last for less than a second.
	segmentInterval = 150 * time.Millisecond
	// segmentRecords limits the records that are written at once.
	segmentRecords = 8192
	// maxPartBytes limits a part of a segment as it is encoded; a store may count the metadata of an object with its value.
	// maxParts is the number of parts of a segment: what exceeds them is written in the next second.
	maxPartBytes, maxParts = store.MaxValueBytes - 48<<10, 4
	// minPartBytes is the smallest limit that is tried after the store has refused larger parts.
	minPartBytes = 4 << 10
	// segmentsPage is the number of segments in one answer of the store.
	segmentsPage = 8
	// rankReview and rankTime are how often and how long a node that has started looks whether others may ask it.
	rankReview, rankTime = 200 * time.Millisecond, 5 * time.Second
)

// storedSegment holds the streams that were recorded in one second.
type storedSegment struct {
	// AtMS is the Unix millisecond at which the segment begins.
	AtMS int64 `json:"at_ms"`
	// Streams holds the IDs of streams by service and version.
	Streams map[string]map[string][]string `json:"streams"`
}

// with returns the segment with further records.
func (s storedSegment) with(records []softwareversion.Record) storedSegment {
	next := storedSegment{AtMS: s.AtMS, Streams: map[string]map[string][]string{}}
	for service, versions := range s.Streams {
		next.Streams[service] = map[string][]string{}
		for version, streams := range versions {
			next.Streams[service][version] = slices.Clone(streams)
		}
	}
	for _, r := range records {
		if next.Streams[r.Service] == nil {
			next.Streams[r.Service] = map[string][]string{}
		}
		next.Streams[r.Service][r.Version] = append(next.Streams[r.Service][r.Version], r.Stream)
	}
	return next
}

func (s *storedSegment) records(now time.Time) (records []softwareversion.Record) {
	age := now.Sub(time.UnixMilli(s.AtMS))
	for service, versions := range s.Streams {
		for version, streams := range versions {
			for _, id := range streams {
				records = append(records, softwareversion.Record{Stream: id, Service: service, Version: version, Age: age})
			}
		}
	}
	return records
}

// signalRecords wakes writeSegments if records of a service with several versions were added; c.mu is held.
func (c *Controller) signalRecords(service string, now time.Time) {
	if c.versions.Several(service, now) {
		select {
		case c.recordsAdded <- struct{}{}:
		default:
		}
	}
}

// segmentWriter writes records to the segments of the store. A segment that does not fit into one value has several parts.
type segmentWriter struct {
	c *Controller
	// written is the revision of the directory up to which records are written.
	written int64
	// part is the part of the segment that is being written, the number of which is number. limit is the size in bytes up to
	// which parts are written.
	part          storedSegment
	number, limit int
	// revisions holds those of the stored parts as this writer last wrote or read them, by key.
	revisions map[string]int64
}

// errPartTaken means that the part holds records of the same second that this writer has not written there for certain: another hub has, or a
// write of this one was carried out late.
var errPartTaken = store.Error.New("part of a segment is taken")

// writeSegments writes new records while this node is the hub, until ctx ends.
func (c *Controller) writeSegments(ctx context.Context) error {
	w := segmentWriter{c: c, limit: maxPartBytes, revisions: map[string]int64{}}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.recordsAdded:
		}
		if !c.options.IsHub() {
			continue
		}
		more, err := w.write(ctx, time.Now())
		pause := segmentInterval
		if err != nil {
			c.options.Log.Notice("records of streams not written", "error", err)
			more, pause = true, historyRetry
		}
		if more {
			select {
			case c.recordsAdded <- struct{}{}:
			default:
			}
		}
		_ = wait.Sleep(ctx, pause)
	}
}

// write writes records that are not written yet, and reports whether there are more. Records whose write failed are written by a
// later call.
func (w *segmentWriter) write(ctx context.Context, now time.Time) (more bool, err error) {
	if begin := now.Truncate(segmentLength).UnixMilli(); w.part.AtMS != begin {
		w.part, w.number = storedSegment{AtMS: begin}, 0
	}
	for most := segmentRecords; ; {
		records, revision := w.c.unwritten(w.written, most, now)
		if len(records) == 0 {
			w.written = revision
			return false, nil
		}
		next := w.part.with(records)
		value, err := jsontext.Marshal(next)
		switch {
		case err != nil:
			return false, err
		case len(value) <= w.limit:
			err = w.put(ctx, value)
			switch {
			case errors.Is(err, store.ErrTooLarge) && w.limit/2 >= minPartBytes:
				w.limit /= 2
				continue
			case errors.Is(err, errPartTaken) && w.number+1 < maxParts:
				w.part, w.number = storedSegment{AtMS: w.part.AtMS}, w.number+1
				continue
			case errors.Is(err, errPartTaken):
				return true, nil // The rest goes into the segment of the next second.
			}
			if err == nil {
				w.part, w.written = next, revision
			}
			return len(records) == most, err
		case len(w.part.Streams) > 0 && w.number+1 < maxParts:
			w.part, w.number = storedSegment{AtMS: w.part.AtMS}, w.number+1
		case len(w.part.Streams) > 0:
			return true, nil // The segment is full. The rest goes into that of the next second.
		case len(records) > 1:
			most = len(records) / 2
		default:
			w.c.options.Log.Notice("record of a stream fits into no value of the store", "bytes", len(value))
			w.written = revision
			return true, nil
		}
	}
}

// unwritten returns up to most records of services with several versions that changed after a revision, and the revision that
// they lead to.
func (c *Controller) unwritten(revision int64, most int, now time.Time) ([]softwareversion.Record, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.Since(revision, "", most, func(service string) bool { return c.versions.Several(service, now) }, now)
}

// put replaces the part that this writer knows, so that a write which is carried out late replaces no later one.
func (w *segmentWriter) put(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	key := fmt.Sprint(segmentPrefix, w.part.AtMS/segmentLength.Milliseconds()%segments)
	if w.number > 0 {
		key = fmt.Sprint(key, "-", w.number)
	}
	for {
		revision, err := w.c.options.Store.Put(ctx, key, value, w.revisions[key])
		if err == nil {
			w.revisions[key] = revision
			return nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		o, err := w.c.options.Store.Get(store.WithFresh(ctx), key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		w.revisions[key] = o.Revision
		var stored storedSegment
		if o.Revision > 0 && json.Unmarshal(o.Value, &stored) == nil && stored.AtMS == w.part.AtMS {
			return errPartTaken
		}
	}
}

// readSegments reads the records that an earlier hub has written, if other nodes ask this one for streams.
func (c *Controller) readSegments(ctx context.Context) {
	for begun := time.Now(); !c.options.Asked(); _ = wait.Sleep(ctx, rankReview) {
		if time.Since(begun) > rankTime || ctx.Err() != nil {
			return
		}
	}
	read := 0
	for after := ""; ; {
		callCtx, cancel := context.WithTimeout(ctx, historyTimeout)
		page, err := c.options.Store.List(callCtx, Prefix, after, segmentsPage)
		cancel()
		if err != nil {
			c.options.Log.Notice("records of streams not read", "error", err)
			return
		}
		for _, o := range page.Objects {
			if o.Key == HistoryKey {
				continue
			}
			var s storedSegment
			if err := json.Unmarshal(o.Value, &s); err != nil {
				c.options.Log.Notice("invalid records of streams ignored", "key", o.Key, "error", err)
				continue
			}
			records := s.records(time.Now())
			c.Add("store", records)
			read += len(records)
		}
		if after = page.Next; after == "" {
			break
		}
	}
	if read > 0 {
		c.options.Log.Notice("records of streams read", "records", read)
	}
}
