package admission

import "time"

// StartBatch occupies a slot for a batch run, if room permits it.
func (s *State) StartBatch(now time.Time, it Item, allowance int) bool {
	if s.BatchRoom(now, allowance) <= 0 {
		return false
	}
	it.Batch = true
	s.occupy(now, it)
	return true
}

// BatchRoom returns how many batch runs may start: none while online work waits or a suspect runs alone.
func (s *State) BatchRoom(now time.Time, allowance int) int {
	if s.queue.Len() > 0 || s.aloneRuns() || now.Before(s.frozen) {
		return 0
	}
	_, batch, _ := s.Counts()
	return min(allowance-batch, s.limit-s.headroom-len(s.running))
}

// Freeze grants nothing until the given time. A new owner uses it until it knows the slots in use. An earlier time
// than before ends the freeze.
func (s *State) Freeze(now, until time.Time) []Decision {
	s.frozen = until
	return s.Advance(now)
}

// SetHeadroom sets how many slots batch work leaves free for online arrivals. With restore, batch runs are ended
// when online work has used the headroom; else it comes back as runs end.
func (s *State) SetHeadroom(slots int, restore bool) {
	s.headroom, s.restore = max(0, min(slots, s.limit-1)), restore
}

func (s *State) restoreHeadroom(now time.Time) []Decision {
	need := s.headroom + len(s.running) - s.limit
	for _, h := range s.running {
		if !h.preempted.IsZero() {
			need--
		}
	}
	return s.preemptN(now, need, "keeps a slot free for online work")
}

// SetProgress notes how much work a batch run would lose.
func (s *State) SetProgress(id string, tokens int, resumable bool) {
	if h, ok := s.running[id]; ok {
		h.tokens, h.resumable = tokens, resumable
	}
}

// DropNode frees the slots and queue places of a serving node that was lost.
func (s *State) DropNode(now time.Time, node string) []Decision {
	for id, h := range s.running {
		if h.item.Node == node && !h.item.Batch {
			delete(s.running, id)
		}
	}
	for _, it := range append([]Item(nil), s.queue.Items()...) {
		if it.Node == node {
			s.queue.Remove(it.ID)
		}
	}
	return s.Advance(now)
}

// Nodes returns the serving nodes that hold or await a slot.
func (s *State) Nodes() []string {
	seen := map[string]bool{}
	for _, h := range s.running {
		seen[h.item.Node] = true
	}
	for _, it := range s.queue.Items() {
		seen[it.Node] = true
	}
	out := make([]string, 0, len(seen))
	for n := range seen {
		out = append(out, n)
	}
	return out
}

// Reconcile replaces the slots of a node by those that it says it holds. A slot granted within grace of now
// stays, since the node may not have known of it yet. Held slots that are unknown here, from another owner or
// a local estimate, are taken over even above the limit.
func (s *State) Reconcile(now time.Time, node string, held []Item, grace time.Duration) []Decision {
	keep := make(map[string]bool, len(held))
	for _, it := range held {
		keep[it.ID] = true
		if _, ok := s.running[it.ID]; !ok {
			s.queue.Remove(it.ID)
			it.Node = node
			s.occupy(now, it)
		}
	}
	for id, h := range s.running {
		if h.item.Node == node && !h.item.Batch && !keep[id] && now.Sub(h.since) >= grace {
			delete(s.running, id)
		}
	}
	return s.Advance(now)
}

// Evict empties the queue, for an owner that hands the upstream to another one.
func (s *State) Evict(now time.Time, reason string) []Decision {
	var out []Decision
	for _, it := range append([]Item(nil), s.queue.Items()...) {
		s.queue.Remove(it.ID)
		out = append(out, s.drop(now, it, reason))
	}
	return out
}

// Busy reports whether Advance must be called again soon: requests wait.
func (s *State) Busy() bool { return s.queue.Len() > 0 }

// Hold returns the smoothed time that online work holds a slot.
func (s *State) Hold() time.Duration { return s.hold }

// TrimBatch preempts batch runs above the allowance, so that a lower allowance takes effect before long items
// end.
func (s *State) TrimBatch(now time.Time, allowance int) []Decision {
	over := -allowance
	for _, h := range s.running {
		if h.item.Batch && h.preempted.IsZero() {
			over++
		}
	}
	return s.preemptN(now, over, "batch allowance is down")
}
