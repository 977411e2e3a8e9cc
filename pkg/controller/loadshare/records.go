package loadshare

import (
	"trefoilplank.example/pkg/controller/failedruns"
	"trefoilplank.example/pkg/controller/streamversions"
)

// recordSync is how far the records of this node and of the hub have been exchanged. It starts again with each process of
// a hub.
type recordSync struct {
	hub         string
	incarnation int64
	// sent are the revisions of this node's records up to which the hub has them, and seen those of the hub's.
	sent, seen revisions
}

// revisions are those of failed runs and of streams.
type revisions struct{ failedRuns, streams int64 }

// addTo adds to a report what the given hub may lack, and returns the revisions up to which that is.
func (s *recordSync) addTo(r *Report, hub string, runs *failedruns.Controller, streams *streamversions.Controller) (sentUpTo revisions) {
	r.HubIncarnation, r.FailedRunsSeen, r.StreamsSeen = s.incarnation, s.seen.failedRuns, s.seen.streams
	sent, to := s.sent, s.hubProcess()
	if hub != s.hub {
		sent, to = revisions{}, ""
	}
	r.FailedRuns, sentUpTo.failedRuns = runs.Since(sent.failedRuns, to)
	r.Streams, sentUpTo.streams = streams.Since(sent.streams, to)
	return sentUpTo
}

// hubProcess names the process of the hub that answered last, or "" if there is none.
func (s *recordSync) hubProcess() string {
	if s.incarnation == 0 {
		return ""
	}
	return failedruns.PeerID(s.hub, s.incarnation)
}

// isNew reports whether an answer is from another process than the one before.
func (s *recordSync) isNew(hub string, t Totals) bool {
	return hub != s.hub || t.HubIncarnation != s.incarnation
}

// answered records the answer to a report with the records up to sentUpTo. Another process than the last one has sent all
// that it has, and may lack what was not in the report.
func (s *recordSync) answered(hub string, sentUpTo revisions, t Totals) {
	seen := revisions{t.FailedRunsRevision, t.StreamsRevision}
	if s.isNew(hub, t) {
		*s = recordSync{hub: hub, incarnation: t.HubIncarnation, seen: seen}
		return
	}
	s.sent, s.seen = sentUpTo, seen
}

// exchangeRecords merges the records of a report and answers with those that its node lacks. Only the successor of the hub
// gets streams.
func (h *hub) exchangeRecords(r Report, reply *Totals) {
	from := failedruns.PeerID(r.Node, r.Incarnation)
	h.options.FailedRuns.Merge(from, r.FailedRuns)
	h.options.Streams.Add(from, r.Streams)
	reply.HubIncarnation = h.options.Fleet.Self().Incarnation
	seen, to := revisions{r.FailedRunsSeen, r.StreamsSeen}, from
	if r.HubIncarnation != reply.HubIncarnation {
		seen, to = revisions{}, ""
	}
	reply.FailedRuns, reply.FailedRunsRevision = h.options.FailedRuns.Since(seen.failedRuns, to)
	if r.Node == h.successor {
		reply.Streams, reply.StreamsRevision = h.options.Streams.Since(seen.streams, to)
	}
}
