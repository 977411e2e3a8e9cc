// Package admission decides, for one upstream, which request runs next, which waits and which is dropped. It is a
// set of state machines without I/O or clock: each call takes the present time and returns decisions with reasons.
package admission

import (
	"math"
	"slices"
	"time"
)

// Item is one request as the queue sees it. Times are of the owner's clock.
type Item struct {
	// ID is unique for each attempt of a request to get a slot, Request the request's own id.
	ID      string
	Request string
	// Node is the serving node that asked, which releases the slot.
	Node        string
	Institution string
	Class       string
	// Rank orders classes; 0 goes first.
	Rank int
	// Share is the institution's weight within a rank; values not above 0 count as 1.
	Share float64
	// Cost is the expected work in any unit that is the same for all items; values not above 0 count as 1.
	Cost float64
	// Batch marks an item that online work may preempt.
	Batch bool
	// Alone asks for an upstream on which nothing else runs.
	Alone bool
	// Deadline is when the answer is due; zero means never.
	Deadline time.Time
	// StartBy is the latest time at which a start still meets deadline and objective; zero means any time.
	StartBy time.Time

	enqueued time.Time
	sequence uint64
}

// shareKey separates the accounts of an institution by rank, since shares compete within one rank only.
type shareKey struct {
	rank        int
	institution string
}

// Queue orders waiting items by rank, then by weighted fair share between institutions (start-time fair
// queueing), then by deadline. It is bounded by its user through Len and Worst.
type Queue struct {
	items    []Item
	sequence uint64
	// virtual is the virtual finish time of each account, clock the start time of the last item served per rank.
	virtual map[shareKey]float64
	clock   map[int]float64
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Items returns the waiting items in order of arrival; the caller must not change them.
func (q *Queue) Items() []Item { return q.items }

// Push adds an item.
func (q *Queue) Push(now time.Time, it Item) {
	q.sequence++
	it.enqueued, it.sequence = now, q.sequence
	q.items = append(q.items, it)
}

// start returns the virtual start time that the next item of the account would get.
func (q *Queue) start(it *Item) float64 {
	return math.Max(q.virtual[shareKey{it.Rank, it.Institution}], q.clock[it.Rank])
}

// before reports whether a is served before b.
func (q *Queue) before(a, b *Item) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if x, y := q.start(a), q.start(b); x != y {
		return x < y
	}
	if !a.Deadline.Equal(b.Deadline) {
		if a.Deadline.IsZero() || b.Deadline.IsZero() {
			return b.Deadline.IsZero()
		}
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

// best returns the index of the item that is served next, or -1.
func (q *Queue) best() int {
	best := -1
	for i := range q.items {
		if best < 0 || q.before(&q.items[i], &q.items[best]) {
			best = i
		}
	}
	return best
}

// Peek returns the item that Pop would return.
func (q *Queue) Peek() (Item, bool) {
	i := q.best()
	if i < 0 {
		return Item{}, false
	}
	return q.items[i], true
}

// Pop removes the next item and charges its cost to its institution.
func (q *Queue) Pop() (Item, bool) {
	i := q.best()
	if i < 0 {
		return Item{}, false
	}
	it := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	q.Charge(it)
	return it, true
}

// Charge books an item that was served, with or without waiting.
func (q *Queue) Charge(it Item) {
	if q.virtual == nil {
		q.virtual, q.clock = map[shareKey]float64{}, map[int]float64{}
	}
	start := q.start(&it)
	q.clock[it.Rank] = start
	q.virtual[shareKey{it.Rank, it.Institution}] = start + positive(it.Cost)/positive(it.Share)
	if len(q.virtual) > maxAccounts {
		q.forgetIdle()
	}
}

// maxAccounts bounds the accounts kept; 400 institutions use a few ranks each.
const maxAccounts = 2048

// forgetIdle removes accounts that are not ahead of the clock, which hold no information.
func (q *Queue) forgetIdle() {
	for k, v := range q.virtual {
		if v <= q.clock[k.rank] {
			delete(q.virtual, k)
		}
	}
}

// Remove takes an item out of the queue.
func (q *Queue) Remove(id string) (Item, bool) {
	i := slices.IndexFunc(q.items, func(it Item) bool { return it.ID == id })
	if i < 0 {
		return Item{}, false
	}
	it := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	return it, true
}

// Worst returns the item that is served last: the one to drop when the queue is full. Among the items of one
// rank it is one of the institution with the most waiting work for its share.
func (q *Queue) Worst() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	backlog := make(map[shareKey]float64, 8)
	for i := range q.items {
		it := &q.items[i]
		backlog[shareKey{it.Rank, it.Institution}] += positive(it.Cost) / positive(it.Share)
	}
	worst := &q.items[0]
	for i := range q.items[1:] {
		it := &q.items[i+1]
		x, y := backlog[shareKey{it.Rank, it.Institution}], backlog[shareKey{worst.Rank, worst.Institution}]
		if it.Rank > worst.Rank || (it.Rank == worst.Rank && (x > y || (x == y && q.before(worst, it)))) {
			worst = it
		}
	}
	return *worst, true
}

// Ahead returns the number of waiting items that are served before it, on the estimate that institutions of
// its rank alternate by share.
func (q *Queue) Ahead(it Item) int {
	ahead, own := 0, 0.0
	var others = map[string]float64{}
	shares := map[string]float64{}
	for i := range q.items {
		w := &q.items[i]
		switch {
		case w.Rank < it.Rank:
			ahead++
		case w.Rank == it.Rank && w.Institution == it.Institution:
			own++
		case w.Rank == it.Rank:
			others[w.Institution]++
			shares[w.Institution] = positive(w.Share)
		}
	}
	turns := (own + 1) / positive(it.Share)
	for name, n := range others {
		ahead += int(math.Min(n, turns*shares[name]))
	}
	return ahead + int(own)
}

func positive(x float64) float64 {
	if x > 0 {
		return x
	}
	return 1
}
