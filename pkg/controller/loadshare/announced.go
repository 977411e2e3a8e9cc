package loadshare

// addAnnounced adds to a report what upstreams said, and the requests that count against their limits.
func (e *Exchange) addAnnounced(r *Report) {
	if e.options.Announced == nil {
		return
	}
	for id, n := range e.options.Announced.Started() {
		if e.unreported == nil {
			e.unreported = map[string]int{}
		}
		e.unreported[id] += n
	}
	r.Announced, r.Started, r.CountsStarted = e.options.Announced.Announcements(), e.unreported, true
}

// applyAnnounced takes over what the hub knows of the answers of upstreams.
func (e *Exchange) applyAnnounced(t Totals) {
	e.unreported = nil
	if e.options.Announced == nil {
		return
	}
	e.options.Announced.MergeAnnounced(t.Announced)
	e.options.Announced.SetHub(t.DividesLimits, e.options.Fleet.Size())
}

// exchangeAnnounced counts the requests that a node has sent to limited upstreams, and exchanges what upstreams said. granted
// are the slots that the node had: one that does not count its requests may have used all of them.
func (h *hub) exchangeAnnounced(r Report, granted map[string]int, reply *Totals) {
	if h.options.Announced == nil {
		return
	}
	h.options.Announced.MergeAnnounced(r.Announced)
	started := r.Started
	if !r.CountsStarted {
		started = granted
	}
	h.options.Announced.CountStarted(started)
	reply.Announced, reply.DividesLimits = h.options.Announced.Announcements(), true
}
