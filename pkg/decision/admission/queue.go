// Package admission decides, for one upstream, which request runs next, which waits and which is dropped. It is a
// set of state machines without I/O or clock: calls take the current time and return decisions with reasons.
package admission

import (
	"math"
	"slices"
	"time"
)

// Item is one request for a slot. Times are by the owner's clock.
type Item struct {
	// ID identifies one attempt of a request to get a slot; Request is the ID of the request itself.
	ID      string
	Request string
	// Node is the serving node that asked for the slot and that releases it.
	Node        string
	Institution string
	Class       string
	// Rank is the priority of the class; 0 is served first.
	Rank int
	// Share is the institution's weight within a rank; values of 0 and below count as 1.
	Share float64
	// Cost is the expected work, in the same unit for all items; values of 0 and below count as 1.
	Cost float64
	// Batch marks a run that online work may preempt.
	Batch bool
	// Alone requests an upstream on which nothing else runs.
	Alone bool
	// Deadline is when the answer is due; zero means no deadline.
	Deadline time.Time
	// LatestStart is the latest start that meets deadline and objective; zero means no bound.
	LatestStart time.Time

	enqueued time.Time
	sequence uint64
}

// accountKey identifies a fair-queueing account. An institution has one per rank, since shares apply within a rank.
type accountKey struct {
	rank        int
	institution string
}

// Queue orders waiting items by rank, then by weighted fair share between institutions (start-time fair
// queueing), then by deadline, then by arrival. It has no bound of its own; callers enforce one with Len and Worst.
type Queue struct {
	items    []Item
	sequence uint64
	// virtualFinish is the virtual finish time of each account; virtualClock is, per rank, the virtual start time of
	// the last item served.
	virtualFinish map[accountKey]float64
	virtualClock  map[int]float64
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

// virtualStart returns the virtual start time that the item would get if it were served next.
func (q *Queue) virtualStart(it *Item) float64 {
	return math.Max(q.virtualFinish[accountKey{it.Rank, it.Institution}], q.virtualClock[it.Rank])
}

// before reports whether a is served before b.
func (q *Queue) before(a, b *Item) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if x, y := q.virtualStart(a), q.virtualStart(b); x != y {
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

// nextIndex returns the index of the item to serve next, or -1 if the queue is empty.
func (q *Queue) nextIndex() int {
	best := -1
	for i := range q.items {
		if best < 0 || q.before(&q.items[i], &q.items[best]) {
			best = i
		}
	}
	return best
}

// Peek returns the next item without removing it.
func (q *Queue) Peek() (Item, bool) {
	i := q.nextIndex()
	if i < 0 {
		return Item{}, false
	}
	return q.items[i], true
}

// Pop removes the next item and charges its cost to its institution's account.
func (q *Queue) Pop() (Item, bool) {
	i := q.nextIndex()
	if i < 0 {
		return Item{}, false
	}
	it := q.items[i]
	q.items = slices.Delete(q.items, i, i+1)
	q.Charge(it)
	return it, true
}

// Charge adds the cost of a served item to its institution's account, whether or not the item waited in the queue.
func (q *Queue) Charge(it Item) {
	if q.virtualFinish == nil {
		q.virtualFinish, q.virtualClock = map[accountKey]float64{}, map[int]float64{}
	}
	start := q.virtualStart(&it)
	q.virtualClock[it.Rank] = start
	q.virtualFinish[accountKey{it.Rank, it.Institution}] = start + positiveOrOne(it.Cost)/positiveOrOne(it.Share)
	if len(q.virtualFinish) > maxAccounts {
		q.removeIdleAccounts()
	}
}

// maxAccounts is the number of accounts above which idle ones are removed; 400 institutions use a few ranks each.
const maxAccounts = 2048

// removeIdleAccounts removes accounts that are not ahead of the virtual clock. They have no effect, since virtualStart
// uses the later of the two.
func (q *Queue) removeIdleAccounts() {
	for k, v := range q.virtualFinish {
		if v <= q.virtualClock[k.rank] {
			delete(q.virtualFinish, k)
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

// Worst returns the item to drop when the queue is full. It has the lowest priority and, within that rank, belongs to
// the institution with the most waiting work for its share; of that institution's items it is served last.
func (q *Queue) Worst() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	backlog := make(map[accountKey]float64, 8)
	for i := range q.items {
		it := &q.items[i]
		backlog[accountKey{it.Rank, it.Institution}] += positiveOrOne(it.Cost) / positiveOrOne(it.Share)
	}
	worst := &q.items[0]
	for i := range q.items[1:] {
		it := &q.items[i+1]
		backlogOfIt, backlogOfWorst := backlog[accountKey{it.Rank, it.Institution}], backlog[accountKey{worst.Rank, worst.Institution}]
		if it.Rank > worst.Rank || (it.Rank == worst.Rank && (backlogOfIt > backlogOfWorst || (backlogOfIt == backlogOfWorst && q.before(worst, it)))) {
			worst = it
		}
	}
	return *worst, true
}

// Ahead estimates how many waiting items are served before it, assuming that the institutions of its rank alternate
// in proportion to their shares.
func (q *Queue) Ahead(it Item) int {
	ahead, ownAhead := 0, 0.0
	var waitingBy = map[string]float64{}
	shares := map[string]float64{}
	for i := range q.items {
		waiting := &q.items[i]
		switch {
		case waiting.Rank < it.Rank:
			ahead++
		case waiting.Rank == it.Rank && waiting.Institution == it.Institution:
			ownAhead++
		case waiting.Rank == it.Rank:
			waitingBy[waiting.Institution]++
			shares[waiting.Institution] = positiveOrOne(waiting.Share)
		}
	}
	rounds := (ownAhead + 1) / positiveOrOne(it.Share)
	for name, n := range waitingBy {
		ahead += int(math.Min(n, rounds*shares[name]))
	}
	return ahead + int(ownAhead)
}

func positiveOrOne(x float64) float64 {
	if x > 0 {
		return x
	}
	return 1
}
