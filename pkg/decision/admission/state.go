package admission

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Kind is the kind of a decision.
type Kind string

// Kinds of decision.
const (
	Grant Kind = "grant"
	Wait  Kind = "wait"
	// Drop rejects a request that has not run.
	Drop Kind = "drop"
	// Preempt stops a batch run: for an online request, to restore the headroom or to keep the batch allowance.
	Preempt Kind = "preempt"
)

// Decision is a decision on one item, with its reason.
type Decision struct {
	Kind   Kind
	Item   Item
	Reason string
	// Queued is how long a granted or dropped item waited.
	Queued time.Duration
	// Wait is the expected time until a slot is free, for Wait and Drop.
	Wait time.Duration
	// ExceedsMaxWait marks a drop caused only by the maxWait of Offer. The request may be sent to another upstream, or
	// offered again with a longer maxWait.
	ExceedsMaxWait bool
	// RetryAfter is the time after which a dropped request should be retried.
	RetryAfter time.Duration
}

// Settings are the fixed parameters of a State.
type Settings struct {
	// MaxQueue bounds the number of waiting items.
	MaxQueue int
	// PreemptGrace is how long a preempted run may keep its slot. After that the slot counts as free, so that a lost
	// cancellation does not keep online work waiting.
	PreemptGrace time.Duration
	// PreemptWait is the expected time until a preempted run ends, about half a token interval.
	PreemptWait time.Duration
	// MinRetryAfter is the shortest RetryAfter of a dropped request.
	MinRetryAfter time.Duration
	// MaxAloneWait bounds the wait of a request that must run alone, since no other request starts meanwhile.
	MaxAloneWait time.Duration
	// DefaultHold is the assumed time that a slot is held until the first run has been observed.
	DefaultHold time.Duration
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{MaxQueue: 256, PreemptGrace: 20 * time.Millisecond,
		PreemptWait: 10 * time.Millisecond, MinRetryAfter: time.Second,
		MaxAloneWait: 10 * time.Second, DefaultHold: 500 * time.Millisecond}
}

// heldSlot is an occupied slot.
type heldSlot struct {
	item            Item
	grantedAt       time.Time
	preemptedAt     time.Time
	generatedTokens int
	resumable       bool
}

// State holds the occupied slots and the queue of one upstream. It is not safe for concurrent use.
type State struct {
	settings Settings
	limit    int
	running  map[string]*heldSlot
	queue    Queue
	// meanHold is the average time that online work holds a slot, 0 if unknown.
	meanHold time.Duration
	// headroom is the number of slots that batch work leaves free; restoreHeadroomByPreemption also preempts batch
	// runs for that.
	headroom                    int
	restoreHeadroomByPreemption bool
	// frozenUntil is the time until which nothing is granted, since slots may be in use that are not known here.
	frozenUntil time.Time
	// peak is the highest number of slots in use since ResetPeak.
	peak int
}

// NewState returns the state of an unused upstream with a concurrency limit of limit slots, at least 1.
func NewState(settings Settings, limit int) *State {
	return &State{settings: settings, limit: max(1, limit), running: map[string]*heldSlot{}}
}

// Limit returns the concurrency limit.
func (s *State) Limit() int { return s.limit }

// Counts returns the number of slots that online and batch work hold, and the number of waiting items.
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

// Peak returns the highest number of slots in use since ResetPeak.
func (s *State) Peak() int { return s.peak }

// ResetPeak sets the peak to the number of slots in use now.
func (s *State) ResetPeak() { s.peak = len(s.running) }

// SetLimit changes the limit and grants the slots that become free. A lower limit interrupts no run.
func (s *State) SetLimit(now time.Time, limit int) []Decision {
	s.limit = max(1, limit)
	return s.Advance(now)
}

// ObserveHold adds the time that an online run held its slot to the average.
func (s *State) ObserveHold(d time.Duration) {
	updateAverage(&s.meanHold, d)
}

// ExpectedWait estimates how long an item would wait for a slot.
func (s *State) ExpectedWait(now time.Time, it Item) time.Duration {
	ahead := s.queue.Ahead(it)
	if now.Before(s.frozenUntil) {
		return s.frozenUntil.Sub(now)
	}
	if free := s.limit - s.slotsInUse(now); ahead < free && !s.aloneRunActive() {
		return 0
	}
	if _, batch, _ := s.Counts(); ahead < batch && !it.Batch {
		return s.settings.PreemptWait
	}
	hold := s.meanHold
	if hold == 0 {
		hold = s.settings.DefaultHold
	}
	return time.Duration(float64(hold) * float64(ahead+1) / float64(s.limit))
}

// slotsInUse counts the occupied slots. Preempted runs count until PreemptGrace has passed.
func (s *State) slotsInUse(now time.Time) int {
	n := 0
	for _, h := range s.running {
		if h.preemptedAt.IsZero() || now.Sub(h.preemptedAt) < s.settings.PreemptGrace {
			n++
		}
	}
	return n
}

// Unlimited, as the maxWait of Offer, lets a request wait for any time.
const Unlimited time.Duration = math.MaxInt64

// Offer handles a new request: it is granted, queued, or dropped, for example if its expected wait exceeds maxWait.
// The first decision returned is about the item itself; others follow.
func (s *State) Offer(now time.Time, it Item, maxWait time.Duration) []Decision {
	if h, ok := s.running[it.ID]; ok {
		return []Decision{{Kind: Grant, Item: h.item, Reason: "slot already granted"}}
	}
	wait := s.ExpectedWait(now, it)
	if d, refused := s.refuseOnArrival(now, it, wait, maxWait); refused {
		return []Decision{d}
	}
	s.queue.Push(now, it)
	ownDecision := Decision{Kind: Wait, Item: it, Wait: wait, Reason: fmt.Sprintf("all %d slots in use", s.limit)}
	var otherDecisions []Decision
	for _, d := range s.Advance(now) {
		if d.Item.ID == it.ID {
			ownDecision = d
			continue
		}
		otherDecisions = append(otherDecisions, d)
	}
	if ownDecision.Kind == Wait && s.queue.Len() > s.settings.MaxQueue {
		worst, _ := s.queue.Worst()
		s.queue.Remove(worst.ID)
		d := s.drop(now, worst, "queue full")
		if worst.ID == it.ID {
			ownDecision = d
		} else {
			otherDecisions = append(otherDecisions, d)
		}
	}
	return append([]Decision{ownDecision}, otherDecisions...)
}

// refuseOnArrival returns a Drop decision and true if the item must not be queued.
func (s *State) refuseOnArrival(now time.Time, it Item, wait, maxWait time.Duration) (Decision, bool) {
	switch {
	case !it.Deadline.IsZero() && !now.Before(it.Deadline):
		return s.drop(now, it, "deadline has passed"), true
	case !it.LatestStart.IsZero() && now.Add(wait).After(it.LatestStart):
		return s.drop(now, it, fmt.Sprintf("expected wait of %v is too long for deadline or objective", wait)), true
	case wait > maxWait || it.Alone && len(s.running) > 0 && maxWait != Unlimited:
		d := s.drop(now, it, fmt.Sprintf("expected wait of %v is above the %v of another upstream", wait, maxWait))
		d.ExceedsMaxWait = true
		return d, true
	}
	return Decision{}, false
}

// drop returns the decision to drop an item. The caller must have removed it from the queue.
func (s *State) drop(now time.Time, it Item, reason string) Decision {
	d := Decision{Kind: Drop, Item: it, Reason: reason, Wait: s.ExpectedWait(now, it)}
	if !it.enqueued.IsZero() {
		d.Queued = now.Sub(it.enqueued)
	}
	d.RetryAfter = max(s.settings.MinRetryAfter, d.Wait)
	return d
}

// Release frees the slot of a request or removes it from the queue.
func (s *State) Release(now time.Time, id string) []Decision {
	delete(s.running, id)
	s.queue.Remove(id)
	return s.Advance(now)
}

// Advance drops the waiting items that can't be served in time, grants free slots to the others, and preempts batch
// runs where online work needs their slots.
func (s *State) Advance(now time.Time) []Decision {
	out := s.dropExpired(now)
	for {
		it, ok := s.queue.Peek()
		if !ok && s.restoreHeadroomByPreemption {
			return append(out, s.restoreHeadroom(now)...)
		}
		if !ok || s.aloneRunActive() || now.Before(s.frozenUntil) {
			return out
		}
		free := s.slotsInUse(now) < s.limit
		if it.Alone {
			// A suspect request may crash the upstream, so even preempted runs must have ended first.
			free = len(s.running) == 0
		}
		if !free {
			return append(out, s.preemptForWaiting(now, it.Alone)...)
		}
		s.queue.Pop()
		s.occupy(now, it)
		out = append(out, Decision{Kind: Grant, Item: it, Queued: now.Sub(it.enqueued), Reason: "slot free"})
	}
}

// occupy records that an item holds a slot.
func (s *State) occupy(now time.Time, it Item) {
	s.running[it.ID] = &heldSlot{item: it, grantedAt: now}
	s.peak = max(s.peak, len(s.running))
}

// aloneRunActive reports whether a request that must run alone holds a slot.
func (s *State) aloneRunActive() bool {
	for _, h := range s.running {
		if h.item.Alone {
			return true
		}
	}
	return false
}

// dropExpired drops the waiting items that have passed their deadline, latest start or MaxAloneWait.
func (s *State) dropExpired(now time.Time) []Decision {
	var out []Decision
	for _, it := range append([]Item(nil), s.queue.Items()...) {
		reason := ""
		switch {
		case !it.Deadline.IsZero() && !now.Before(it.Deadline):
			reason = "deadline passed in the queue"
		case !it.LatestStart.IsZero() && now.After(it.LatestStart):
			reason = "too late to meet deadline or objective"
		case it.Alone && now.Sub(it.enqueued) > s.settings.MaxAloneWait:
			reason = "upstream did not become empty for a run alone"
		}
		if reason != "" {
			s.queue.Remove(it.ID)
			out = append(out, s.drop(now, it, reason))
		}
	}
	return out
}

// preemptForWaiting preempts batch runs until there is one preempted run per waiting online item, or all batch runs
// for an item that must run alone.
func (s *State) preemptForWaiting(now time.Time, all bool) []Decision {
	if all {
		return s.preemptUpTo(now, len(s.running), "a suspect request must run alone")
	}
	missing := 0
	for _, it := range s.queue.Items() {
		if !it.Batch {
			missing++
		}
	}
	for _, h := range s.running {
		if !h.preemptedAt.IsZero() {
			missing--
		}
	}
	return s.preemptUpTo(now, missing, "an online request waits")
}

// preemptUpTo preempts up to n batch runs, those that lose the least work first.
func (s *State) preemptUpTo(now time.Time, n int, cause string) []Decision {
	var candidates []*heldSlot
	for _, h := range s.running {
		if h.item.Batch && h.preemptedAt.IsZero() {
			candidates = append(candidates, h)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].losesLessThan(candidates[j]) })
	var out []Decision
	for _, h := range candidates[:max(0, min(n, len(candidates)))] {
		h.preemptedAt = now
		reason := fmt.Sprintf("%s; preempted the run that loses the least work: %.0f tokens", cause, h.lostTokens())
		out = append(out, Decision{Kind: Preempt, Item: h.item, Reason: reason})
	}
	return out
}

// resumeOverhead is the cost of moving a resumable run, as a fraction of recomputing its tokens: an estimate for KV
// export and import.
const resumeOverhead = 0.05

// lostTokens returns the work, in tokens, that is lost if the run is preempted.
func (h *heldSlot) lostTokens() float64 {
	if h.resumable {
		return float64(h.generatedTokens) * resumeOverhead
	}
	return float64(h.generatedTokens)
}

// losesLessThan orders runs for preemption: least lost work first, then the most recently started.
func (h *heldSlot) losesLessThan(other *heldSlot) bool {
	if x, y := h.lostTokens(), other.lostTokens(); x != y {
		return x < y
	}
	if !h.grantedAt.Equal(other.grantedAt) {
		return h.grantedAt.After(other.grantedAt)
	}
	return h.item.ID < other.item.ID
}
