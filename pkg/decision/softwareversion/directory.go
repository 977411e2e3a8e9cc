package softwareversion

import (
	"container/list"
	"time"
)

// capacity limits the streams in a directory, which take about 300 bytes each.
const capacity = 50_000

// Record tells the software version at which a stream began, as nodes send it to each other.
type Record struct {
	// Stream is the id of the request that brought the stream's first event.
	Stream, Service, Version string
	// Customer is the name of the customer that began the stream, "" if it is not known. Nodes of earlier builds pass records on without it.
	Customer string
	// Age is the time since the stream's last known event. Nodes exchange ages, since their clocks differ.
	Age time.Duration
}

// stream is a record in a directory.
type stream struct {
	Record
	at time.Time
	// revision is that of the last change; source is the process from which the record came, or empty.
	revision int64
	source   string
}

// Directory holds the streams that this node began and those that it learned of. It is not safe for concurrent use.
type Directory struct {
	streams map[string]*list.Element
	// byRevision lists the streams in the order of their last changes.
	byRevision *list.List
	revision   int64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{streams: map[string]*list.Element{}, byRevision: list.New()}
}

// Len returns the number of streams.
func (d *Directory) Len() int { return len(d.streams) }

// Add records a stream that came from a process, or from this node if source is empty, and reports whether it is new. A
// later record of a stream only renews it, since a stream never changes its version.
func (d *Directory) Add(r Record, source string, now time.Time) bool {
	at := now.Add(-max(0, r.Age))
	if now.Sub(at) >= Lifetime {
		return false
	}
	if element, known := d.streams[r.Stream]; known {
		if s := element.Value.(*stream); at.After(s.at) {
			s.at = at
		}
		return false
	}
	d.revision++
	d.streams[r.Stream] = d.byRevision.PushBack(&stream{r, at, d.revision, source})
	for len(d.streams) > capacity {
		d.remove(d.byRevision.Front())
	}
	return true
}

// MayResume reports whether a customer may take the stream up. Without its customer, the stream may be taken up by all.
func (r Record) MayResume(customer string) bool { return r.Customer == "" || r.Customer == customer }

// Touch makes Since return the streams of a service again.
func (d *Directory) Touch(service string) {
	for element, n := d.byRevision.Front(), d.byRevision.Len(); n > 0; n-- {
		next := element.Next()
		if s := element.Value.(*stream); s.Service == service {
			d.revision++
			s.revision = d.revision
			d.byRevision.MoveToBack(element)
		}
		element = next
	}
}

// Find returns the record of a stream.
func (d *Directory) Find(id string, now time.Time) (Record, bool) {
	element, ok := d.streams[id]
	if !ok || now.Sub(element.Value.(*stream).at) >= Lifetime {
		return Record{}, false
	}
	return element.Value.(*stream).Record, true
}

// Expire drops the streams that can't continue any more.
func (d *Directory) Expire(now time.Time) {
	for element := d.byRevision.Front(); element != nil; {
		next := element.Next()
		if now.Sub(element.Value.(*stream).at) >= Lifetime {
			d.remove(element)
		}
		element = next
	}
}

func (d *Directory) remove(element *list.Element) {
	d.byRevision.Remove(element)
	delete(d.streams, element.Value.(*stream).Stream)
}

// Since returns up to limit records that changed after a revision and that share selects, the oldest change first, and the
// revision that they lead to. It leaves out those that came from the given process.
func (d *Directory) Since(revision int64, process string, limit int, share func(service string) bool, now time.Time) ([]Record, int64) {
	first := d.byRevision.Back()
	for first != nil && first.Value.(*stream).revision > revision {
		first = first.Prev()
	}
	if first == nil {
		first = d.byRevision.Front()
	} else {
		first = first.Next()
	}
	var records []Record
	for ; first != nil; first = first.Next() {
		s := first.Value.(*stream)
		if now.Sub(s.at) >= Lifetime || s.source != "" && s.source == process || !share(s.Service) {
			continue
		}
		if len(records) == limit {
			return records, s.revision - 1
		}
		r := s.Record
		r.Age = max(0, now.Sub(s.at))
		records = append(records, r)
	}
	return records, d.revision
}
