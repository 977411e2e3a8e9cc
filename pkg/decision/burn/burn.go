// Package burn counts the requests that met and missed an objective in time buckets, and evaluates multi-window
// burn-rate alerts. It has no clock, goroutine or I/O.
package burn

import "time"

// Window is a period that ends now, over which a burn rate is computed.
type Window int

// Windows of the burn report. Alerts combine a long window with a short one, so that they fire only while the fault
// lasts.
const (
	Window5m Window = iota
	Window1h
	Window6h
	Window3d
	numWindows
)

// Windows lists all windows, shortest first.
var Windows = [numWindows]Window{Window5m, Window1h, Window6h, Window3d}

// resolution is the width and number of the buckets that a window is counted in.
type resolution struct {
	width       time.Duration
	bucketCount int
}

// Two resolutions keep a series at 552 buckets of 8 bytes. Buckets of 30 s over three days would take 69 KB per
// objective, 83 MB for 400 institutions with three objectives each.
var (
	fine   = resolution{30 * time.Second, 120}
	coarse = resolution{10 * time.Minute, 432}
)

// Length returns the length of the window.
func (w Window) Length() time.Duration {
	return [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}[w]
}

// String returns the name of the window in reports, such as "5m".
func (w Window) String() string { return [...]string{"5m", "1h", "6h", "3d"}[w] }

func (w Window) resolution() resolution {
	if w <= Window1h {
		return fine
	}
	return coarse
}

// Count holds the numbers of requests that met (good) and missed (bad) an objective.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count { return Count{c.Good + other.Good, c.Bad + other.Bad} }

// Total returns the number of requests.
func (c Count) Total() uint64 { return c.Good + c.Bad }

// Counts holds a count for each window.
type Counts [numWindows]Count

// Add returns the sum of two sets of counts.
func (c Counts) Add(other Counts) Counts {
	for i := range c {
		c[i] = c[i].Add(other[i])
	}
	return c
}

// Bucket is one bucket of a series. Start is the number of bucket widths since the Unix epoch, so that buckets of
// different nodes have the same bounds.
type Bucket struct {
	Start     int64
	Good, Bad uint32
}

// ring is a ring buffer of the latest buckets of one resolution.
type ring struct {
	resolution resolution
	buckets    []Bucket
}

// Series holds the buckets of one objective. Use NewSeries; the zero value is not usable.
type Series struct{ fine, coarse ring }

// NewSeries returns an empty series.
func NewSeries() *Series {
	return &Series{
		fine:   ring{fine, make([]Bucket, fine.bucketCount)},
		coarse: ring{coarse, make([]Bucket, coarse.bucketCount)},
	}
}

// Observe counts a request that ended at now.
func (s *Series) Observe(now time.Time, good bool) {
	b := Bucket{Good: 1}
	if !good {
		b = Bucket{Bad: 1}
	}
	for _, r := range []*ring{&s.fine, &s.coarse} {
		b.Start = r.index(now)
		r.add(b)
	}
}

// Counts returns the counts of all windows at now. A window includes the current, incomplete bucket, so it covers at
// most its length and at least its length less one bucket.
func (s *Series) Counts(now time.Time) Counts {
	var c Counts
	for _, w := range Windows {
		r := &s.fine
		if w.resolution() == coarse {
			r = &s.coarse
		}
		c[w] = r.sum(now, w.Length())
	}
	return c
}

// Snapshot is a copy of a series that can be sent to another node.
type Snapshot struct{ Fine, Coarse []Bucket }

// Snapshot returns the non-empty buckets that are part of a window at now.
func (s *Series) Snapshot(now time.Time) Snapshot {
	return Snapshot{Fine: s.fine.recentBuckets(now), Coarse: s.coarse.recentBuckets(now)}
}

// Merge adds the buckets of a snapshot. Buckets too old for the windows of the series are ignored.
func (s *Series) Merge(snapshot Snapshot) {
	for _, b := range snapshot.Fine {
		s.fine.add(b)
	}
	for _, b := range snapshot.Coarse {
		s.coarse.add(b)
	}
}

// index returns the Start of the bucket that t falls into.
func (r *ring) index(t time.Time) int64 { return t.UnixNano() / int64(r.resolution.width) }

// add adds b to its bucket. It is ignored if a later bucket already uses the same place in the ring.
func (r *ring) add(b Bucket) {
	slot := &r.buckets[b.Start%int64(len(r.buckets))]
	switch {
	case slot.Start == b.Start:
		slot.Good += b.Good
		slot.Bad += b.Bad
	case slot.Start < b.Start:
		*slot = b
	}
}

// sum returns the counts of the buckets of the given length of time up to now.
func (r *ring) sum(now time.Time, length time.Duration) Count {
	last := r.index(now)
	first := last - int64(length/r.resolution.width) + 1
	var c Count
	for _, b := range r.buckets {
		if b.Start >= first && b.Start <= last {
			c = c.Add(Count{uint64(b.Good), uint64(b.Bad)})
		}
	}
	return c
}

// recentBuckets returns the non-empty buckets that are not older at now than the ring reaches back.
func (r *ring) recentBuckets(now time.Time) []Bucket {
	last := r.index(now)
	var recent []Bucket
	for _, b := range r.buckets {
		if b.Start > last-int64(len(r.buckets)) && b.Start <= last && b.Good+b.Bad > 0 {
			recent = append(recent, b)
		}
	}
	return recent
}
