// Package burn counts good and bad requests in time buckets and decides on multi-window burn-rate alerts.
// It has no clock, goroutine or I/O.
package burn

import "time"

// Window is a span of time before now that burn is computed over.
type Window int

// Windows of the burn report. The alerts combine a long window with a short one, so that they fire only while
// the fault still lasts.
const (
	Window5m Window = iota
	Window1h
	Window6h
	Window3d
	windowCount
)

// Windows lists all windows, shortest first.
var Windows = [windowCount]Window{Window5m, Window1h, Window6h, Window3d}

// resolution is the bucket width that a window is counted with.
type resolution struct {
	width   time.Duration
	buckets int
}

// Two resolutions keep a series at 552 buckets of 8 bytes. 30 s buckets over three days would take 69 KB for
// each objective, 83 MB for 400 institutions with three objectives.
var (
	fine   = resolution{30 * time.Second, 120}
	coarse = resolution{10 * time.Minute, 432}
)

// Length returns the length of the window.
func (w Window) Length() time.Duration {
	return [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}[w]
}

// String returns the short name of the window, as in reports.
func (w Window) String() string { return [...]string{"5m", "1h", "6h", "3d"}[w] }

func (w Window) resolution() resolution {
	if w <= Window1h {
		return fine
	}
	return coarse
}

// Count is a number of requests that met and missed an objective.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count { return Count{c.Good + o.Good, c.Bad + o.Bad} }

// Total returns the number of requests.
func (c Count) Total() uint64 { return c.Good + c.Bad }

// Counts holds a count for each window.
type Counts [windowCount]Count

// Add returns the sum of two sets of counts.
func (c Counts) Add(o Counts) Counts {
	for i := range c {
		c[i] = c[i].Add(o[i])
	}
	return c
}

// Bucket is one non-empty bucket of a series. Start counts bucket widths since the Unix epoch, so buckets of
// different nodes line up.
type Bucket struct {
	Start     int64
	Good, Bad uint32
}

// ring holds the latest buckets of one resolution.
type ring struct {
	resolution resolution
	buckets    []Bucket
}

// Series holds the buckets of one objective. The zero value is not usable.
type Series struct{ fine, coarse ring }

// NewSeries returns an empty series.
func NewSeries() *Series {
	return &Series{
		fine:   ring{fine, make([]Bucket, fine.buckets)},
		coarse: ring{coarse, make([]Bucket, coarse.buckets)},
	}
}

// Observe counts one request that ended at now.
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

// Counts returns the counts of all windows at now. A window holds the running bucket and those before it, so it
// covers at most its length and at least its length less one bucket.
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

// Snapshot returns the buckets that a window at now may still hold.
func (s *Series) Snapshot(now time.Time) Snapshot {
	return Snapshot{Fine: s.fine.live(now), Coarse: s.coarse.live(now)}
}

// Merge adds the buckets of a snapshot. Buckets that have left the windows are dropped.
func (s *Series) Merge(o Snapshot) {
	for _, b := range o.Fine {
		s.fine.add(b)
	}
	for _, b := range o.Coarse {
		s.coarse.add(b)
	}
}

func (r *ring) index(t time.Time) int64 { return t.UnixNano() / int64(r.resolution.width) }

// add counts b in its bucket. A bucket older than the one that holds its place is dropped.
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

func (r *ring) live(now time.Time) []Bucket {
	last := r.index(now)
	var live []Bucket
	for _, b := range r.buckets {
		if b.Start > last-int64(len(r.buckets)) && b.Start <= last && b.Good+b.Bad > 0 {
			live = append(live, b)
		}
	}
	return live
}
