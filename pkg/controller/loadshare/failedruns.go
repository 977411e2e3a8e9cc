package loadshare

import "trefoilplank.example/pkg/controller/failedruns"

// failedRunsSync is how far the failed runs of this node and of the hub have been exchanged. It starts again with each
// process of a hub.
type failedRunsSync struct {
	hub         string
	incarnation int64
	// sent is the revision of this node's failed runs up to which the hub has them, and seen that of the hub's.
	sent, seen int64
}

// addTo adds to a report what the given hub may lack, and returns the revision up to which that is.
func (s *failedRunsSync) addTo(r *Report, hub string, runs *failedruns.Controller) (sentUpTo int64) {
	r.HubIncarnation, r.FailedRunsSeen = s.incarnation, s.seen
	sent, to := s.sent, s.hubProcess()
	if hub != s.hub {
		sent, to = 0, ""
	}
	r.FailedRuns, sentUpTo = runs.Since(sent, to)
	return sentUpTo
}

// hubProcess names the process of the hub that answered last, or "" if there is none.
func (s *failedRunsSync) hubProcess() string {
	if s.incarnation == 0 {
		return ""
	}
	return failedruns.PeerID(s.hub, s.incarnation)
}

// answered records the answer to a report with the failed runs up to sentUpTo. Another process than the last one has
// sent all that it has, and may lack what was not in the report.
func (s *failedRunsSync) answered(hub string, sentUpTo int64, t Totals) {
	if hub != s.hub || t.HubIncarnation != s.incarnation {
		*s = failedRunsSync{hub: hub, incarnation: t.HubIncarnation, seen: t.FailedRunsRevision}
		return
	}
	s.sent, s.seen = sentUpTo, t.FailedRunsRevision
}

// exchangeFailedRuns merges the failed runs of a report and answers with those that its node lacks.
func (h *hub) exchangeFailedRuns(r Report, reply *Totals) {
	from := failedruns.PeerID(r.Node, r.Incarnation)
	h.options.FailedRuns.Merge(from, r.FailedRuns)
	reply.HubIncarnation = h.options.Fleet.Self().Incarnation
	seen, to := r.FailedRunsSeen, from
	if r.HubIncarnation != reply.HubIncarnation {
		seen, to = 0, ""
	}
	reply.FailedRuns, reply.FailedRunsRevision = h.options.FailedRuns.Since(seen, to)
}
