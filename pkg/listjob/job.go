// Package listjob runs batch jobs that are submitted as lists of items and read as lists of results.
//
// An accepted job is kept in the store: a head, the items in chunks, and the results as a log of immutable objects.
// Each log entry is created under the next number, so the create that succeeds fixes the positions and content of its
// results for all nodes, whichever node runs the job. A job has one owner, which runs it and answers reads from
// memory. Two owners at the same time waste work, but can't list an item twice.
package listjob

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
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
	// ErrNotFound means that the job or item does not exist.
	ErrNotFound = Error.New("not found")
	// ErrRefused means that the job was not accepted and no part of it runs.
	ErrRefused = Error.New("refused")
	// ErrUnknown means that the job may have been accepted.
	ErrUnknown = Error.New("job may have been accepted")
	// ErrItemTooLarge means that an item is too large to be stored, whatever its body, and the job will never be accepted. It
	// accompanies ErrRefused.
	ErrItemTooLarge = Error.New("path and headers of an item are too large")
	// ErrUnavailable means that the node can't determine the answer now.
	ErrUnavailable = Error.New("unavailable")
)

// Item is one request of a job.
type Item struct {
	ID string `json:"id"`
	// Path is the path and query of the request.
	Path   string            `json:"path"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// Tokens is the sum of the prompt tokens and the maximum number of output tokens.
	Tokens int `json:"tokens,omitempty"`
}

// Submission is a job as submitted by a caller.
type Submission struct {
	ID string
	// Host and Path select the route.
	Host, Path string
	Items      []Item
	// Customer is the name of the customer whose job it is, or "".
	Customer string
	// TableVersion is the least version of the configuration by which the job may be accepted.
	TableVersion int64
}

// State is the final state of an item.
type State string

// Final states.
const (
	Completed State = "completed"
	Failed    State = "failed"
)

// Result is the final state of an item and its output.
type Result struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	Text  string `json:"text,omitempty"`
}

// Key prefixes of objects in the store.
const (
	headKind  = "jobs/"
	itemsKind = "jobitems/"
	// resultsKind is followed by the job's ID, so that one list call reads the whole log of a job.
	resultsKind = "jobresults-"
)

// OwnsKind reports whether objects of a kind, the part of a key before its slash, are those of jobs.
func OwnsKind(kind string) bool {
	kind += "/"
	return kind == headKind || kind == itemsKind || strings.HasPrefix(kind, resultsKind)
}

// head is the stored description of a job. A job is accepted once its head is stored.
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
	// Tokens is the sum of the tokens of all items. Order is the store revision at which the head was created, from the
	// first time on that it is replaced. Done is set on routes with a limit on waiting tokens once all results are listed.
	Tokens int64 `json:"tokens,omitempty"`
	Order  int64 `json:"order,omitempty"`
	Done   bool  `json:"done,omitempty"`
	// Refused is set if the job was withdrawn because it did not fit into that limit. Such a job does not exist for callers
	// and may be submitted again; earlier builds take it for an ended one.
	Refused bool `json:"refused,omitempty"`
	// TakenOver is when a node last took the job over from another one; zero if none has, or an earlier build did.
	TakenOver time.Time `json:"taken_over,omitzero"`
	// Customer is the name of the customer whose job it is, "" if there is none. Builds up to a9253e5 drop it when they write the head.
	Customer string `json:"customer,omitempty"`
	// TableVersion is the version of the configuration by which the job was accepted, 0 if a build up to 72b0519 has written the head.
	TableVersion int64 `json:"table_version,omitempty"`
}

// order returns the store revision at which the head was created; revision is that of its last change.
func (h head) order(revision int64) int64 { return cmp.Or(h.Order, revision) }

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

// phase is the progress of an item at the job's owner.
type phase int

const (
	waiting phase = iota
	running
	// finished items have a result that is not in the log yet.
	finished
	// listed items have a result in the log.
	listed
)

// item is the state of an item at the job's owner.
type item struct {
	Item
	job *job
	// key identifies the item among the failed runs of all nodes, and fingerprint its request. beganWriting is set once the
	// upstream of the last run went on after its first event.
	key, fingerprint string
	beganWriting     bool
	// silentFor is how long the upstream had sent no event when the last run ended, 0 if that was not sent. Only the goroutine of the run
	// uses it.
	silentFor time.Duration
	phase     phase
	// text holds the data of the events received so far; lastEvent is the number of the last one, or -1.
	text      []byte
	lastEvent int64
	// version is the software version of the upstreams that generated text, nil while there is none.
	version *string
	// lines is the number of events in text. Placement reads it without holding the job's lock.
	lines atomic.Int64
	// failures counts responses with status 500; brokenRuns counts the runs that broke off without a final answer and
	// sets the pause before the next run.
	failures, brokenRuns int
	notBefore            time.Time
	// longAnswers counts the runs in which the upstream sent more than a text may have.
	longAnswers int
	// pausedUntil is the end of the last pause that was logged.
	pausedUntil time.Time
	// runLines is the number of events that the last run began with.
	runLines int64
	// runStart is when the last run began, and waitingSince when the item began to wait for the next one.
	runStart, waitingSince time.Time
	result                 Result
	cancelRun              func()
}

// discardText makes the next run of an item begin anew. The caller holds the job's lock.
func (it *item) discardText() {
	it.text, it.lastEvent, it.version = nil, -1, nil
	it.lines.Store(0)
}

// job is the state of a job at its owner.
type job struct {
	mu       sync.Mutex
	head     head
	revision int64
	items    []*item
	byID     map[string]*item
	// results are the listed ones: durable, at fixed positions. nextEntry is the number of the next log entry.
	results   []Result
	nextEntry int
	// pending holds the finished items, whose results are to be written to the log.
	pending []*item
	// committing is set while commitResults runs.
	committing bool
	// changed is closed and replaced when results are listed or the job ends or changes its owner.
	changed chan struct{}
	// logCheckedAt is when the log was last checked for entries of other nodes.
	logCheckedAt time.Time
	// contestedUntil is the time until which the previous owner may still add to the log.
	contestedUntil time.Time
	// ownedAt is a time before this node became the owner.
	ownedAt time.Time
	// unconfirmed is set while the head is stored and the items are not; acceptance must not be confirmed to the
	// sender.
	unconfirmed atomic.Bool
	// released is set once this node no longer owns the job.
	released bool
	// times come from the route.
	times atomic.Pointer[jobTimes]
}

func newJob(h head, revision int64, items []Item) *job {
	j := &job{head: h, revision: revision, byID: map[string]*item{}, changed: make(chan struct{})}
	for _, it := range items {
		i := &item{Item: it, job: j, key: h.ID + "/" + it.ID, fingerprint: newRequest(h, &it).Fingerprint(), lastEvent: -1}
		j.items = append(j.items, i)
		j.byID[it.ID] = i
	}
	return j
}

// appendEntry adds the results of an entry of the stored log. It ignores results of items that are unknown or already
// listed; no node writes such results.
func (j *job) appendEntry(results []Result) {
	for _, r := range results {
		it := j.byID[r.ID]
		if it == nil || it.phase == listed {
			continue
		}
		if it.cancelRun != nil {
			it.cancelRun()
		}
		it.phase, it.text, it.Body = listed, nil, nil
		j.results = append(j.results, r)
	}
	close(j.changed)
	j.changed = make(chan struct{})
}

// isOpen reports whether this node still has items of the job to finish. The caller holds j.mu.
func (j *job) isOpen() bool { return !j.head.Ended && !j.released && len(j.results) < len(j.items) }

// nextBatch returns the pending items whose results fit into one log entry of at most limit bytes, at least one if there is one,
// and drops items that were listed meanwhile. The caller holds j.mu.
func (j *job) nextBatch(limit int) []*item {
	j.pending = slices.DeleteFunc(j.pending, func(it *item) bool { return it.phase == listed })
	size := entryOverhead
	for n, it := range j.pending {
		size += it.result.encodedLen()
		if n > 0 && size > limit {
			return j.pending[:n]
		}
	}
	return j.pending
}
