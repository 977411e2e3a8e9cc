// Package idempotency decides what to do with a request that has an idempotency key: run it, join the run in progress,
// return the first answer, or refuse it because the key was used for a different request.
package idempotency

import (
	"container/list"
	"time"
)

const (
	// AnswerRetention is how long an answer is stored.
	AnswerRetention = 15 * time.Minute
	// DefaultCapacity is the default capacity of a table in bytes.
	DefaultCapacity = 32 << 20
	// MaxAnswerBytes limits the size of one stored answer. A larger one is returned to the requests that wait for it but
	// not stored.
	MaxAnswerBytes = 1 << 20
	// entryOverhead is the memory of an entry without its key and answer, in bytes.
	entryOverhead = 400
)

// Answer is the first answer to a request with an idempotency key.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// RequestID is the ID of the request that ran.
	RequestID string
}

// size returns the number of bytes of the header and the body.
func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Action is what to do with a request.
type Action int

const (
	// Run means that the request is the first with its key. The caller runs it and then calls End.
	Run Action = iota
	// Join means that an equal request is in progress, whose answer the request shares.
	Join
	// Done means that the first answer is known.
	Done
	// Conflict means that the key was used for a request with a different digest.
	Conflict
)

// Verdict is the result of Begin.
type Verdict struct {
	Action Action
	// Answer is set for Done.
	Answer *Answer
	// Runner is the ID of the request in progress; set for Join.
	Runner string
}

// entry is the state of one key: a request in progress or the first answer.
type entry struct {
	key, digest string
	// runner is the ID of the request in progress; empty once the answer is known. The entry, with a runner or an
	// answer, is valid until expires.
	runner  string
	expires time.Time
	answer  *Answer
	size    int
}

// Table holds the entries of the keys of which this node is an owner. It is not safe for concurrent use.
type Table struct {
	entries map[string]*list.Element
	// byAge lists the entries, the oldest one in front.
	byAge    *list.List
	bytes    int
	capacity int
}

// NewTable returns a table that keeps answers up to a total of capacity bytes.
func NewTable(capacity int) *Table {
	return &Table{entries: map[string]*list.Element{}, byAge: list.New(), capacity: capacity}
}

// Bytes returns the estimated memory of all entries.
func (t *Table) Bytes() int { return t.bytes }

// Begin decides what to do with a request. key contains the institution and the idempotency key, digest covers the
// method, path and body. A run that has not ended by its deadline counts as lost.
func (t *Table) Begin(key, digest, request string, deadline, now time.Time) Verdict {
	t.removeExpired(now)
	el, ok := t.entries[key]
	if ok && el.Value.(*entry).expires.Before(now) {
		t.remove(el)
		ok = false
	}
	if !ok {
		t.add(&entry{key: key, digest: digest, runner: request, expires: deadline, size: entryOverhead + len(key)})
		return Verdict{Action: Run}
	}
	switch e := el.Value.(*entry); {
	case e.digest != digest:
		return Verdict{Action: Conflict}
	case e.answer != nil:
		return Verdict{Action: Done, Answer: e.answer}
	case e.runner == request:
		return Verdict{Action: Run}
	default:
		return Verdict{Action: Join, Runner: e.runner}
	}
}

// End records the end of the run of a request. A nil answer, or one above MaxAnswerBytes, frees the key. End returns false,
// and ignores the answer, if the key has another digest or runner, or if its answer is already known.
func (t *Table) End(key, digest, request string, a *Answer, now time.Time) bool {
	el, ok := t.entries[key]
	if ok {
		e := el.Value.(*entry)
		if e.digest != digest || e.runner != request {
			return false
		}
		t.remove(el)
	}
	if a != nil && a.size() <= MaxAnswerBytes {
		t.add(&entry{key: key, digest: digest, answer: a, expires: now.Add(AnswerRetention), size: entryOverhead + len(key) + a.size()})
	}
	return true
}

// DropLost frees the keys whose runner is lost, because its node was, and returns them.
func (t *Table) DropLost(lost func(request string) bool) (keys []string) {
	for key, el := range t.entries {
		if e := el.Value.(*entry); e.runner != "" && lost(e.runner) {
			t.remove(el)
			keys = append(keys, key)
		}
	}
	return keys
}

// add adds an entry as the newest one and evicts answers above the capacity.
func (t *Table) add(e *entry) {
	t.entries[e.key] = t.byAge.PushBack(e)
	t.bytes += e.size
	t.evictAnswers(e)
}

// evictAnswers removes the oldest answers, except that of the entry added last, while the table exceeds its capacity.
// Runs in progress stay, since removing one would let the request run twice. Admission limits their number.
func (t *Table) evictAnswers(added *entry) {
	for el := t.byAge.Front(); el != nil && t.bytes > t.capacity; {
		next := el.Next()
		if e := el.Value.(*entry); e != added && e.answer != nil {
			t.remove(el)
		}
		el = next
	}
}

// removeExpired removes expired entries from the front of the list, up to the first one that has not expired.
func (t *Table) removeExpired(now time.Time) {
	for el := t.byAge.Front(); el != nil; el = t.byAge.Front() {
		if !el.Value.(*entry).expires.Before(now) {
			return
		}
		t.remove(el)
	}
}

func (t *Table) remove(el *list.Element) {
	e := t.byAge.Remove(el).(*entry)
	delete(t.entries, e.key)
	t.bytes -= e.size
}
