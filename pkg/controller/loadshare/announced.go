package loadshare

import (
	"time"

	"trefoilplank.example/pkg/decision/dispatch"
)

// termGap is the time without a report after which another node may have served as the hub meanwhile: others that get no answer
// for 0.4 s report to the next one.
const termGap = 500 * time.Millisecond

// startedCounts are the requests to limited upstreams that an exchange has reported.
type startedCounts struct {
	at     time.Time
	counts map[string]int
}

// limitedRequests counts this node's requests to limited upstreams.
type limitedRequests struct {
	// unreported are the requests that no hub has confirmed. An exchange without an answer may count them twice, never not at
	// all.
	unreported map[string]int
	// recent are those of the last dispatch.LimitBurst.
	recent []startedCounts
}

func (l *limitedRequests) add(started map[string]int, now time.Time) {
	if len(started) > 0 {
		l.recent = append(l.recent, startedCounts{now, started})
	}
	for len(l.recent) > 0 && now.Sub(l.recent[0].at) > dispatch.LimitBurst {
		l.recent = l.recent[1:]
	}
	l.count(started)
}

func (l *limitedRequests) count(started map[string]int) {
	for id, n := range started {
		if l.unreported == nil {
			l.unreported = map[string]int{}
		}
		l.unreported[id] += n
	}
}

// confirmed records that a hub has counted the requests. isNew is set if it is not the process that answered before. If it does
// not begin with empty allowances, it must count the recent requests too, which the hub before has allowed.
func (l *limitedRequests) confirmed(isNew, beginsEmpty bool) {
	l.unreported = nil
	if isNew && !beginsEmpty {
		for _, r := range l.recent {
			l.count(r.counts)
		}
	}
}

// addAnnounced adds to a report what upstreams said, and the requests that count against their limits.
func (e *Exchange) addAnnounced(r *Report) {
	if e.options.Announced == nil {
		return
	}
	e.limited.add(e.options.Announced.Started(), time.Now())
	r.Announced, r.Started, r.CountsStarted = e.options.Announced.Announcements(), e.limited.unreported, true
}

// applyAnnounced takes over what the hub knows of the answers of upstreams. isNew is set if another process answered before.
func (e *Exchange) applyAnnounced(t Totals, isNew bool) {
	e.limited.confirmed(isNew, t.BeginsEmpty)
	if e.options.Announced == nil {
		return
	}
	e.options.Announced.MergeAnnounced(t.Announced)
	e.options.Announced.SetHub(t.DividesLimits, e.options.Fleet.Size())
}

// exchangeAnnounced counts the requests that a node has sent to limited upstreams, and exchanges what upstreams said. granted
// are the slots that the node had: one that does not count its requests may have used all of them. sinceReport is the time
// since the report before, of any node.
func (h *hub) exchangeAnnounced(r Report, granted map[string]int, sinceReport time.Duration, reply *Totals) {
	if h.options.Announced == nil {
		return
	}
	if sinceReport > termGap {
		h.options.Announced.BeginTerm()
	}
	h.options.Announced.MergeAnnounced(r.Announced)
	started := r.Started
	if !r.CountsStarted {
		started = granted
	}
	h.options.Announced.CountStarted(started)
	reply.Announced, reply.DividesLimits, reply.BeginsEmpty = h.options.Announced.Announcements(), true, true
}
