package streamversions

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/softwareversion"
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

func (s *storedSegment) add(records []softwareversion.Record) {
	for _, r := range records {
		if s.Streams[r.Service] == nil {
			s.Streams[r.Service] = map[string][]string{}
		}
		s.Streams[r.Service][r.Version] = append(s.Streams[r.Service][r.Version], r.Stream)
	}
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

// writeSegments writes new records while this node is the hub, until ctx ends.
func (c *Controller) writeSegments(ctx context.Context) error {
	var written int64
	var segment storedSegment
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.recordsAdded:
		}
		if !c.options.IsHub() {
			continue
		}
		now := time.Now()
		c.mu.Lock()
		records, revision := c.directory.Since(written, "", segmentRecords, func(service string) bool { return c.versions.Several(service, now) }, now)
		c.mu.Unlock()
		if begin := now.Truncate(segmentLength).UnixMilli(); segment.AtMS != begin {
			segment = storedSegment{AtMS: begin, Streams: map[string]map[string][]string{}}
		}
		segment.add(records)
		if err := c.writeSegment(ctx, segment); err != nil {
			c.options.Log.Notice("records of streams not written", "records", len(records), "error", err)
		} else {
			written = revision
		}
		_ = wait.Sleep(ctx, segmentInterval)
	}
}

func (c *Controller) writeSegment(ctx context.Context, s storedSegment) error {
	value, err := json.Marshal(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	position := s.AtMS / segmentLength.Milliseconds() % segments
	_, err = c.options.Store.Put(ctx, fmt.Sprint(segmentPrefix, position), value, store.AnyRevision)
	return err
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
