package admission

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Kind says what was decided.
type Kind string

// Kinds of decision.
const (
	Grant Kind = "grant"
	Wait  Kind = "wait"
	// Drop gives a request up before it ran.
	Drop Kind = "drop"
	// Preempt ends a batch run so that online work gets its slot.
	Preempt Kind = "preempt"
)

// Decision is one outcome with its reason.
type Decision struct {
	Kind   Kind
	Item   Item
	Reason string
	// Queued is the time that a granted or dropped item waited.
	Queued time.Duration
	// Wait is the expected time to a slot, for Wait and Drop.
	Wait time.Duration
	// Elsewhere marks a drop that only the caller's longest wait caused; the request may come again with a longer
	// one.
	Elsewhere bool
	// RetryAfter is when a dropped request is useful again.
	RetryAfter time.Duration
}

// Settings are the fixed parameters of a State.
type Settings struct {
	// MaxQueue bounds the waiting items.
	MaxQueue int
	// PreemptGrace is how long a preempted run may hold its slot. Then the slot counts as free, since a lost
	// cancellation must not keep online work waiting.
	PreemptGrace time.Duration
	// PreemptWait is the expected time for a preempted run to leave: about half a token interval.
	PreemptWait time.Duration
	// MinRetryAfter is the least retry time of a dropped request.
	MinRetryAfter time.Duration
	// AloneWait bounds the wait of a request that runs alone, since it keeps the upstream empty meanwhile.
	AloneWait time.Duration
	// UnknownHold stands for the time that a slot is held until a run was seen.
	UnknownHold time.Duration
}

// DefaultSettings returns the parameters in use.
func DefaultSettings() Settings {
	return Settings{MaxQueue: 256, PreemptGrace: 20 * time.Millisecond,
		PreemptWait: 10 * time.Millisecond, MinRetryAfter: time.Second,
		AloneWait: 10 * time.Second, UnknownHold: 500 * time.Millisecond}
}

// holding is an occupied slot.
type holding struct {
	item      Item
	since     time.Time
	preempted time.Time
	tokens    int
	resumable bool
}

// State holds the slots and the queue of one upstream. It is not safe for concurrent use.
type State struct {
	set     Settings
	limit   int
	running map[string]*holding
	queue   Queue
	// hold is the smoothed time that online work holds a slot.
	hold time.Duration
	// headroom is the number of slots that batch work leaves free; with restore it also ends runs for that.
	headroom int
	restore  bool
	// frozen is until when nothing is granted, since slots may be in use that are not known here.
	frozen time.Time
	// peak is the most slots in use since ResetPeak.
	peak int
}

// NewState returns an upstream with a concurrency limit of limit slots.
func NewState(set Settings, limit int) *State {
	return &State{set: set, limit: max(1, limit), running: map[string]*holding{}}
}

// Limit returns the concurrency limit.
func (s *State) Limit() int { return s.limit }

// Counts returns the slots held by online and by batch work and the number of waiting items.
func (s *State) Counts() (online, batch, waiting int) {
	for _, h := range s.running {
		if h.item.Batch {
			batch++
		} else {
			online++
		}
	}
	return online, batch, s.queue.Len()
}

// Peak returns the most slots in use since ResetPeak.
func (s *State) Peak() int { return s.peak }

// ResetPeak starts a new observation of the peak.
func (s *State) ResetPeak() { s.peak = len(s.running) }

// SetLimit changes the limit and hands out what it frees. A lower limit interrupts nothing.
func (s *State) SetLimit(now time.Time, limit int) []Decision {
	s.limit = max(1, limit)
	return s.Advance(now)
}

// ObserveHold learns how long online work holds a slot.
func (s *State) ObserveHold(d time.Duration) {
	smooth(&s.hold, d)
}

// ExpectedWait estimates the time until an item would get a slot.
func (s *State) ExpectedWait(now time.Time, it Item) time.Duration {
	ahead := s.queue.Ahead(it)
	if now.Before(s.frozen) {
		return s.frozen.Sub(now)
	}
	if free := s.limit - s.occupied(now); ahead < free && !s.aloneRuns() {
		return 0
	}
	if _, batch, _ := s.Counts(); ahead < batch && !it.Batch {
		return s.set.PreemptWait
	}
	hold := s.hold
	if hold == 0 {
		hold = s.set.UnknownHold
	}
	return time.Duration(float64(hold) * float64(ahead+1) / float64(s.limit))
}

// occupied counts the slots in use; preempted runs count until their grace ends.
func (s *State) occupied(now time.Time) int {
	n := 0
	for _, h := range s.running {
		if h.preempted.IsZero() || now.Sub(h.preempted) < s.set.PreemptGrace {
			n++
		}
	}
	return n
}

// Unlimited as the longest wait lets a request queue however long it takes.
const Unlimited time.Duration = math.MaxInt64

// Offer takes a new request. It is dropped if its expected wait is above maxWait. The first decision returned is
// always about the item itself.
func (s *State) Offer(now time.Time, it Item, maxWait time.Duration) []Decision {
	if h, ok := s.running[it.ID]; ok {
		return []Decision{{Kind: Grant, Item: h.item, Reason: "slot already granted"}}
	}
	wait := s.ExpectedWait(now, it)
	if d, refused := s.refuse(now, it, wait, maxWait); refused {
		return []Decision{d}
	}
	s.queue.Push(now, it)
	own := Decision{Kind: Wait, Item: it, Wait: wait, Reason: fmt.Sprintf("all %d slots in use", s.limit)}
	var rest []Decision
	for _, d := range s.Advance(now) {
		if d.Item.ID == it.ID {
			own = d
			continue
		}
		rest = append(rest, d)
	}
	if own.Kind == Wait && s.queue.Len() > s.set.MaxQueue {
		worst, _ := s.queue.Worst()
		s.queue.Remove(worst.ID)
		d := s.drop(now, worst, "queue full")
		if worst.ID == it.ID {
			own = d
		} else {
			rest = append(rest, d)
		}
	}
	return append([]Decision{own}, rest...)
}

// refuse decides whether an item is dropped on arrival.
func (s *State) refuse(now time.Time, it Item, wait, maxWait time.Duration) (Decision, bool) {
	switch {
	case !it.Deadline.IsZero() && !now.Before(it.Deadline):
		return s.drop(now, it, "deadline has passed"), true
	case !it.StartBy.IsZero() && now.Add(wait).After(it.StartBy):
		return s.drop(now, it, fmt.Sprintf("expected wait of %v is too long for deadline or objective", wait)), true
	case wait > maxWait || it.Alone && len(s.running) > 0 && maxWait != Unlimited:
		d := s.drop(now, it, fmt.Sprintf("expected wait of %v is above the %v of another upstream", wait, maxWait))
		d.Elsewhere = true
		return d, true
	}
	return Decision{}, false
}

func (s *State) drop(now time.Time, it Item, reason string) Decision {
	d := Decision{Kind: Drop, Item: it, Reason: reason, Wait: s.ExpectedWait(now, it)}
	if !it.enqueued.IsZero() {
		d.Queued = now.Sub(it.enqueued)
	}
	d.RetryAfter = max(s.set.MinRetryAfter, d.Wait)
	return d
}

// Release frees the slot of a request or takes it out of the queue.
func (s *State) Release(now time.Time, id string) []Decision {
	delete(s.running, id)
	s.queue.Remove(id)
	return s.Advance(now)
}

// Advance drops what can no longer be served in time and hands free slots to waiting items.
func (s *State) Advance(now time.Time) []Decision {
	out := s.expire(now)
	for {
		it, ok := s.queue.Peek()
		if !ok && s.restore {
			return append(out, s.restoreHeadroom(now)...)
		}
		if !ok || s.aloneRuns() || now.Before(s.frozen) {
			return out
		}
		free := s.occupied(now) < s.limit
		if it.Alone {
			// A suspect may crash the upstream, so that even a preempted run must be gone first.
			free = len(s.running) == 0
		}
		if !free {
			return append(out, s.preempt(now, it.Alone)...)
		}
		s.queue.Pop()
		s.occupy(now, it)
		out = append(out, Decision{Kind: Grant, Item: it, Queued: now.Sub(it.enqueued), Reason: "slot free"})
	}
}

func (s *State) occupy(now time.Time, it Item) {
	s.running[it.ID] = &holding{item: it, since: now}
	s.peak = max(s.peak, len(s.running))
}

func (s *State) aloneRuns() bool {
	for _, h := range s.running {
		if h.item.Alone {
			return true
		}
	}
	return false
}

func (s *State) expire(now time.Time) []Decision {
	var out []Decision
	for _, it := range append([]Item(nil), s.queue.Items()...) {
		reason := ""
		switch {
		case !it.Deadline.IsZero() && !now.Before(it.Deadline):
			reason = "deadline passed in the queue"
		case !it.StartBy.IsZero() && now.After(it.StartBy):
			reason = "too late to meet deadline or objective"
		case it.Alone && now.Sub(it.enqueued) > s.set.AloneWait:
			reason = "upstream did not become empty for a run alone"
		}
		if reason != "" {
			s.queue.Remove(it.ID)
			out = append(out, s.drop(now, it, reason))
		}
	}
	return out
}

// preempt chooses one batch run for each waiting online item that has none yet, or all for a run alone.
func (s *State) preempt(now time.Time, all bool) []Decision {
	if all {
		return s.preemptN(now, len(s.running), "a suspect request runs alone")
	}
	need := 0
	for _, it := range s.queue.Items() {
		if !it.Batch {
			need++
		}
	}
	for _, h := range s.running {
		if !h.preempted.IsZero() {
			need--
		}
	}
	return s.preemptN(now, need, "online work waits")
}

// preemptN ends up to n batch runs, those first that lose the least work.
func (s *State) preemptN(now time.Time, n int, why string) []Decision {
	var candidates []*holding
	for _, h := range s.running {
		if h.item.Batch && h.preempted.IsZero() {
			candidates = append(candidates, h)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].lessLoss(candidates[j]) })
	var out []Decision
	for _, h := range candidates[:max(0, min(n, len(candidates)))] {
		h.preempted = now
		reason := fmt.Sprintf("%s; this run loses the least work: %.0f tokens", why, h.loss())
		out = append(out, Decision{Kind: Preempt, Item: h.item, Reason: reason})
	}
	return out
}

// resumeOverhead is the part of a resumable run's tokens that moving it costs, an estimate of KV export and
// import against recomputing.
const resumeOverhead = 0.05

// loss is the work in tokens that preempting the run throws away.
func (h *holding) loss() float64 {
	if h.resumable {
		return float64(h.tokens) * resumeOverhead
	}
	return float64(h.tokens)
}

func (h *holding) lessLoss(o *holding) bool {
	if x, y := h.loss(), o.loss(); x != y {
		return x < y
	}
	if !h.since.Equal(o.since) {
		return h.since.After(o.since)
	}
	return h.item.ID < o.item.ID
}
