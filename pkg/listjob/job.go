// Package listjob runs batch jobs that are handed in as lists of items and read as lists of results.
//
// What is accepted lies in the store: a head, the items in chunks, and the results as a log of immutable objects. Each
// entry of the log is created under the next number, so the create that succeeds fixes positions and content for all
// nodes, whichever node runs the job. A job has one owner that runs it and answers reads from memory; two owners for a
// moment waste work but can't list an item twice.
package listjob

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/adapter/store"
)

// Error is the class of the errors of this package.
var Error = errs.Class("list job")

// Errors of the calls on jobs; test with errors.Is.
var (
	// ErrNotFound means that no such job or item exists.
	ErrNotFound = Error.New("not found")
	// ErrRefused means that the job was not accepted and no part of it runs.
	ErrRefused = Error.New("refused")
	// ErrUnknown means that the job may have been accepted.
	ErrUnknown = Error.New("outcome unknown")
	// ErrUnavailable means that the node can't tell now.
	ErrUnavailable = Error.New("unavailable")
)

// Item is one request of a job.
type Item struct {
	ID string `json:"id"`
	// Path is the request's path and query.
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Tokens is the number of tokens of the prompt and of the longest output together.
	Tokens int `json:"tokens,omitempty"`
}

// Submission is a job as it is handed in.
type Submission struct {
	ID string
	// Host and Path choose the route.
	Host, Path string
	Items      []Item
}

// State is the final state of an item.
type State string

// Final states.
const (
	Completed State = "completed"
	Failed    State = "failed"
)

// Result is what became of an item.
type Result struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	Text  string `json:"text,omitempty"`
}

// Kinds of objects in the store.
const (
	headKind  = "jobs/"
	itemsKind = "jobitems/"
	// resultsKind is followed by the job's id, so that one list call reads a job's whole log.
	resultsKind = "jobresults-"
)

// head is the object that makes a job accepted.
type head struct {
	ID          string    `json:"id"`
	Host        string    `json:"host"`
	Path        string    `json:"path"`
	Total       int       `json:"total"`
	Chunks      int       `json:"chunks"`
	Submitted   time.Time `json:"submitted"`
	Owner       string    `json:"owner"`
	Incarnation int64     `json:"incarnation"`
	Ended       bool      `json:"ended,omitempty"`
}

func decodeHead(o store.Object) (head, error) {
	var h head
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return h, Error.Wrap(err)
	}
	if headKind+h.ID != o.Key {
		return h, Error.New("head of job %q lies at %q", h.ID, o.Key)
	}
	return h, nil
}

// entry is one object of the result log.
type entry struct {
	// Node and Nonce make the entries of two writers differ, which tells whose create succeeded.
	Node    string   `json:"node"`
	Nonce   int64    `json:"nonce"`
	Results []Result `json:"results"`
}

func entryKey(id string, number int) string { return fmt.Sprintf("%s%s/%06d", resultsKind, id, number) }
func chunkKey(id string, number int) string { return fmt.Sprintf("%s%s.%03d", itemsKind, id, number) }

// maxChunkBytes bounds the bodies in one chunk: base64 makes them a third longer, and the store takes 1 MiB a value.
const maxChunkBytes = 600 << 10

// chunks splits the items so that each chunk fits a value of the store.
func chunks(items []Item) [][]Item {
	var out [][]Item
	size := 0
	for _, it := range items {
		n := len(it.Body) + len(it.Path) + 200
		for name, value := range it.Header {
			n += len(name) + len(value)
		}
		if len(out) == 0 || size+n > maxChunkBytes {
			out, size = append(out, nil), 0
		}
		out[len(out)-1] = append(out[len(out)-1], it)
		size += n
	}
	return out
}

// phase is where an item stands at its owner.
type phase int

const (
	waiting phase = iota
	running
	finished
	listed
)

// item is an item at the job's owner.
type item struct {
	Item
	job   *job
	phase phase
	// text holds the data of the events received so far; after is the number of the last one, or -1.
	text  []byte
	after int64
	// lines is the number of events in text. The placement reads it from other goroutines.
	lines atomic.Int64
	// failures counts answers of 500, broken the runs in a row that ended without an event.
	failures, broken int
	notBefore        time.Time
	began            time.Time
	result           Result
	stop             func()
}

// job is a job at its owner.
type job struct {
	mu       sync.Mutex
	head     head
	revision int64
	items    []*item
	byID     map[string]*item
	// results are listed: durable, at fixed positions. next is the number of the log's next entry.
	results []Result
	next    int
	pending []*item
	// committing is set while a commit is in progress.
	committing bool
	changed    chan struct{}
	// verified is when the log was last seen to have no entry of another node.
	verified time.Time
	// contested is until when another node may still add to the log.
	contested time.Time
	// unconfirmed is set while the head is stored and the items are not; the job must not be confirmed to its sender.
	unconfirmed atomic.Bool
	// released is set once the node no longer owns the job.
	released bool
	// due and until come from the route: when results are due, and until when items are tried.
	due, until time.Time
}

func newJob(h head, revision int64, items []Item) *job {
	j := &job{head: h, revision: revision, byID: map[string]*item{}, changed: make(chan struct{})}
	for _, it := range items {
		i := &item{Item: it, job: j, after: -1}
		j.items = append(j.items, i)
		j.byID[it.ID] = i
	}
	return j
}

// list takes an entry of the log as it is in the store. Results of items that are listed already or unknown are not taken
// twice; no writer of this program creates such an entry.
func (j *job) list(results []Result) {
	for _, r := range results {
		it := j.byID[r.ID]
		if it == nil || it.phase == listed {
			continue
		}
		if it.stop != nil {
			it.stop()
		}
		it.phase, it.text, it.Body = listed, nil, nil
		j.results = append(j.results, r)
	}
	close(j.changed)
	j.changed = make(chan struct{})
}

// open reports whether items are still to be done.
func (j *job) open() bool { return !j.head.Ended && !j.released && len(j.results) < len(j.items) }

// takePending returns the finished items that fit one entry, and forgets those that were listed meanwhile.
func (j *job) takePending() []*item {
	j.pending = slices.DeleteFunc(j.pending, func(it *item) bool { return it.phase == listed })
	size := 0
	for n, it := range j.pending {
		size += len(it.result.Text) + 200
		if n > 0 && size > maxChunkBytes {
			return j.pending[:n]
		}
	}
	return j.pending
}

// maxReadBytes bounds the results of one read.
const maxReadBytes = 900 << 10

// page returns the results from a position on, at least one if there is one.
func page(results []Result, after int) []Result {
	if after >= len(results) {
		return nil
	}
	size := 0
	for n, r := range results[after:] {
		size += len(r.Text) + 100
		if n > 0 && size > maxReadBytes {
			return results[after : after+n]
		}
	}
	return results[after:]
}

// urgency orders items: those that are due first, then those that have come furthest.
func urgency(a, b *item) int {
	return cmp.Or(a.job.due.Compare(b.job.due), cmp.Compare(b.after, a.after))
}
