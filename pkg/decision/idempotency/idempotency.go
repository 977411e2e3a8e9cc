// Package idempotency decides what becomes of a request that carries an idempotency key: run it, join the run in
// progress, give the first answer, or refuse it because the key was used for another body.
package idempotency

import (
	"container/list"
	"time"
)

const (
	// Keep is how long an answer is kept.
	Keep = 15 * time.Minute
	// DefaultCapacity bounds the bytes of all answers kept.
	DefaultCapacity = 32 << 20
	// MaxAnswer bounds one answer; a larger one is handed to those that wait for it and not kept.
	MaxAnswer = 1 << 20
	// entryBytes is the memory of an entry beside its answer.
	entryBytes = 400
)

// Answer is the first answer to a request.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// RequestID is the request that ran.
	RequestID string
}

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

// Action says what to do with a request.
type Action int

// Actions.
const (
	// Run means that the request is the first; End must follow.
	Run Action = iota
	// Join means that an equal request is in progress.
	Join
	// Done means that the first answer is known.
	Done
	// Conflict means that the key belongs to another body.
	Conflict
)

// Verdict is the result of Begin.
type Verdict struct {
	Action Action
	// Answer is set for Done.
	Answer *Answer
	// Runner is the request in progress for Join.
	Runner string
}

type entry struct {
	key, digest string
	// runner is the request in progress until the time lapses; empty once the answer is known.
	runner string
	lapses time.Time
	answer *Answer
	size   int
}

// Table holds the keys of which this node is an owner. It is not safe for concurrent use.
type Table struct {
	entries map[string]*list.Element
	// order has the oldest entry in front.
	order    *list.List
	bytes    int
	capacity int
}

// NewTable returns a table for capacity bytes.
func NewTable(capacity int) *Table {
	return &Table{entries: map[string]*list.Element{}, order: list.New(), capacity: capacity}
}

// Bytes returns the memory in use.
func (t *Table) Bytes() int { return t.bytes }

// Begin decides about a request. key names institution and key, digest the method, path and body. A run that has
// not ended by its deadline is taken as lost.
func (t *Table) Begin(key, digest, request string, deadline, now time.Time) Verdict {
	t.expire(now)
	el, ok := t.entries[key]
	if ok && el.Value.(*entry).lapses.Before(now) {
		t.remove(el)
		ok = false
	}
	if !ok {
		t.add(&entry{key: key, digest: digest, runner: request, lapses: deadline, size: entryBytes + len(key)})
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

// End records the end of the run of a request. A nil answer, or one too large to keep, frees the key. It
// reports whether the request was the runner; the answer of any other run is dropped.
func (t *Table) End(key, digest, request string, a *Answer, now time.Time) bool {
	el, ok := t.entries[key]
	if ok {
		e := el.Value.(*entry)
		if e.digest != digest || e.runner != request {
			return false
		}
		t.remove(el)
	}
	if a != nil && a.size() <= MaxAnswer {
		t.add(&entry{key: key, digest: digest, answer: a, lapses: now.Add(Keep), size: entryBytes + len(key) + a.size()})
	}
	return true
}

// Drop frees the keys whose runner is gone, because its node was lost.
func (t *Table) Drop(gone func(request string) bool) (keys []string) {
	for key, el := range t.entries {
		if e := el.Value.(*entry); e.runner != "" && gone(e.runner) {
			t.remove(el)
			keys = append(keys, key)
		}
	}
	return keys
}

func (t *Table) add(e *entry) {
	t.entries[e.key] = t.order.PushBack(e)
	t.bytes += e.size
	t.shrink(e)
}

// shrink drops the oldest answers above the capacity. Runs in progress stay, since dropping one would let the
// request run twice; their number is bounded by admission.
func (t *Table) shrink(keep *entry) {
	for el := t.order.Front(); el != nil && t.bytes > t.capacity; {
		next := el.Next()
		if e := el.Value.(*entry); e != keep && e.answer != nil {
			t.remove(el)
		}
		el = next
	}
}

// expire drops the answers in front that were kept long enough.
func (t *Table) expire(now time.Time) {
	for el := t.order.Front(); el != nil; el = t.order.Front() {
		if !el.Value.(*entry).lapses.Before(now) {
			return
		}
		t.remove(el)
	}
}

func (t *Table) remove(el *list.Element) {
	e := t.order.Remove(el).(*entry)
	delete(t.entries, e.key)
	t.bytes -= e.size
}
