// Package explain keeps a bounded log of decisions, with their reasons and the values that they are based on.
package explain

import (
	"sync"
	"time"
)

// Entry is one decision. The fields from Request to Configuration name what it is about; those that do not apply are
// empty.
type Entry struct {
	Time     time.Time `json:"time"`
	Node     string    `json:"node"`
	Request  string    `json:"request,omitempty"`
	Job      string    `json:"job,omitempty"`
	Item     string    `json:"item,omitempty"`
	Upstream string    `json:"upstream,omitempty"`
	// Member is the node that a membership decision is about, and Configuration is a configuration version.
	Member        string `json:"member,omitempty"`
	Configuration string `json:"configuration,omitempty"`
	// Decision names what was decided, such as "place", "retry" or "drop".
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	// Values are the inputs of the decision.
	Values map[string]any `json:"values,omitempty"`
}

// ValueCustomID is the key in Values of a batch item's custom id. A query for an item matches it too.
const ValueCustomID = "custom_id"

// Query selects entries; an empty field matches any value.
type Query struct {
	Request, Job, Item, Upstream, Member, Configuration string
}

// matches reports whether the query selects e.
func (q Query) matches(e *Entry) bool {
	return (q.Request == "" || q.Request == e.Request) && (q.Job == "" || q.Job == e.Job) &&
		(q.Item == "" || q.Item == e.Item || q.Item == e.Values[ValueCustomID]) && (q.Upstream == "" || q.Upstream == e.Upstream) &&
		(q.Member == "" || q.Member == e.Member) && (q.Configuration == "" || q.Configuration == e.Configuration)
}

// Log is a ring buffer of the latest entries of one node. It is safe for concurrent use.
type Log struct {
	node string
	now  func() time.Time

	mu   sync.Mutex
	ring []Entry
	// next is the index in ring of the next entry; full is set once older entries are overwritten.
	next int
	full bool
}

// NewLog returns a log that keeps the latest capacity entries.
func NewLog(node string, capacity int, now func() time.Time) *Log {
	return &Log{node: node, now: now, ring: make([]Entry, capacity)}
}

// Record stores e with the node's name and the current time.
func (l *Log) Record(e Entry) {
	e.Node, e.Time = l.node, l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next] = e
	l.next++
	if l.next == len(l.ring) {
		l.next, l.full = 0, true
	}
}

// Find returns the matching entries, oldest first.
func (l *Log) Find(q Query) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Entry
	collect := func(part []Entry) {
		for i := range part {
			if q.matches(&part[i]) {
				found = append(found, part[i])
			}
		}
	}
	if l.full {
		collect(l.ring[l.next:])
	}
	collect(l.ring[:l.next])
	return found
}
