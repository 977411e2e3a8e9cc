package admission

import "time"

// StartBatch occupies a slot for a batch run and reports whether one was available.
func (s *State) StartBatch(now time.Time, it Item, allowance int) bool {
	if s.FreeBatchSlots(now, allowance) <= 0 {
		return false
	}
	it.Batch = true
	s.occupy(now, it)
	return true
}

// FreeBatchSlots returns how many batch runs may start, which may be negative. It is 0 while grants are frozen, online
// work waits, or a suspect request runs alone.
func (s *State) FreeBatchSlots(now time.Time, allowance int) int {
	if s.queue.Len() > 0 || s.aloneRunActive() || now.Before(s.frozenUntil) {
		return 0
	}
	_, batch, _ := s.Counts()
	return min(allowance-batch, s.limit-s.headroom-len(s.running))
}

// Freeze suspends grants until the given time, which replaces any earlier one. A new owner uses it until it knows
// which slots are in use, and ends it early with an earlier time.
func (s *State) Freeze(now, until time.Time) []Decision {
	s.frozenUntil = until
	return s.Advance(now)
}

// SetHeadroom sets how many slots batch work leaves free for online arrivals. With restore, batch runs are preempted
// to restore headroom that online work has used; otherwise it becomes free again as runs end.
func (s *State) SetHeadroom(slots int, restore bool) {
	s.headroom, s.restoreHeadroomByPreemption = max(0, min(slots, s.limit-1)), restore
}

// restoreHeadroom preempts as many batch runs as slots are missing from the headroom.
func (s *State) restoreHeadroom(now time.Time) []Decision {
	missing := s.headroom + len(s.running) - s.limit
	for _, h := range s.running {
		if !h.preemptedAt.IsZero() {
			missing--
		}
	}
	return s.preemptUpTo(now, missing, "online work has used the headroom, which batch work must restore")
}

// SetProgress records how many tokens a batch run has generated and whether it can resume elsewhere, which determine
// how much work preempting it would lose.
func (s *State) SetProgress(id string, tokens int, resumable bool) {
	if h, ok := s.running[id]; ok {
		h.generatedTokens, h.resumable = tokens, resumable
	}
}

// DropNode frees the online slots and queue places of a lost serving node.
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

// Nodes returns the serving nodes that hold a slot or wait for one.
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

// Reconcile replaces the online slots of a node by those that the node reports. A slot that was granted less than grace
// ago stays, since the node may not have known of it yet. Reported slots that are unknown here, which another owner
// granted or the node took without an owner, are added even above the limit.
func (s *State) Reconcile(now time.Time, node string, heldSlots []Item, grace time.Duration) []Decision {
	reported := make(map[string]bool, len(heldSlots))
	for _, it := range heldSlots {
		reported[it.ID] = true
		if _, ok := s.running[it.ID]; !ok {
			s.queue.Remove(it.ID)
			it.Node = node
			s.occupy(now, it)
		}
	}
	for id, h := range s.running {
		if h.item.Node == node && !h.item.Batch && !reported[id] && now.Sub(h.grantedAt) >= grace {
			delete(s.running, id)
		}
	}
	return s.Advance(now)
}

// DropQueue drops all waiting requests, for an owner that hands the upstream to another node.
func (s *State) DropQueue(now time.Time, reason string) []Decision {
	var out []Decision
	for _, it := range append([]Item(nil), s.queue.Items()...) {
		s.queue.Remove(it.ID)
		out = append(out, s.drop(now, it, reason))
	}
	return out
}

// HasWaiting reports whether requests wait, so that Advance must be called again soon.
func (s *State) HasWaiting() bool { return s.queue.Len() > 0 }

// MeanHold returns the average time that online work holds a slot.
func (s *State) MeanHold() time.Duration { return s.meanHold }

// TrimBatch preempts the batch runs above the allowance, so that a lower allowance takes effect before long runs end.
func (s *State) TrimBatch(now time.Time, allowance int) []Decision {
	excess := -allowance
	for _, h := range s.running {
		if h.item.Batch && h.preemptedAt.IsZero() {
			excess++
		}
	}
	return s.preemptUpTo(now, excess, "more batch runs than the lowered batch allowance")
}
