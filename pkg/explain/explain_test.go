package explain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a query for an item by its custom id that does not find its entry, or finds entries of other items.
func TestItemIsFoundByCustomID(t *testing.T) {
	l := NewLog("n", 4, time.Now)
	l.Record(Entry{Item: "job/0", Values: map[string]any{ValueCustomID: "a"}})
	l.Record(Entry{Item: "job/1", Values: map[string]any{ValueCustomID: "b"}})
	l.Record(Entry{Upstream: "u"})
	assert.Equal(t, len(l.Find(Query{Item: "a"})), 1)
	assert.Equal(t, l.Find(Query{Item: "job/1"})[0].Values[ValueCustomID], "b")
}

// Guards against a log that returns entries out of order, or keeps more than its capacity, once it is full.
func TestLogKeepsLatestInOrder(t *testing.T) {
	l := NewLog("n", 3, time.Now)
	for _, d := range []string{"1", "2", "3", "4", "5"} {
		l.Record(Entry{Decision: d})
	}
	var got []string
	for _, e := range l.Find(Query{}) {
		got = append(got, e.Decision)
	}
	assert.DeepEqual(t, got, []string{"3", "4", "5"})
}
