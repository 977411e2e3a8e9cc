package dispatch

import (
	"time"

	"trefoilplank.example/pkg/decision/outlier"
)

// outlierWeight is the weight below which an upstream gets no work while its service has others: half of the usual
// speed, or a fifth of broken runs.
const outlierWeight = 0.25

// Learn enters what this node's runs on an upstream showed.
func (s *State) Learn(upstream string, e outlier.Evidence, now time.Time) {
	if s.byID[upstream] != nil {
		s.learned.Add(upstream, e, now)
	}
}

// Report enters the evidence of a node, when this one is the hub.
func (s *State) Report(evidence map[string]outlier.Evidence, now time.Time) {
	for id, e := range evidence {
		if s.byID[id] != nil {
			s.reported.Add(id, e, now)
		}
	}
}

// Outliers returns the weights by the evidence of all nodes, when this one is the hub.
func (s *State) Outliers(now time.Time) map[string]float64 { return s.weights(s.reported, now) }

// SetOutliers takes the weights by the evidence of all nodes. They count beside those by the own evidence: a node may be the
// only one for which an upstream is bad. It returns the upstreams that begin or cease to be passed over.
func (s *State) SetOutliers(fleet map[string]float64) (began, ended []string) {
	for id, w := range fleet {
		if old, ok := s.fleet[id]; w < outlierWeight && (!ok || old >= outlierWeight) {
			began = append(began, id)
		}
	}
	for id, w := range s.fleet {
		if now, ok := fleet[id]; w < outlierWeight && (!ok || now >= outlierWeight) {
			ended = append(ended, id)
		}
	}
	s.fleet = fleet
	return began, ended
}

// reviewEvery is how often the own evidence is weighed. With 1,500 upstreams a review takes 0.4 ms, and what the hub says comes
// with each report.
const reviewEvery = 250 * time.Millisecond

// review weighs the own evidence.
func (s *State) review(now time.Time) {
	if now.Sub(s.reviewed) >= reviewEvery {
		s.own, s.reviewed = s.weights(s.learned, now), now
	}
}

func (s *State) weights(t *outlier.Tracker, now time.Time) map[string]float64 {
	all := map[string]float64{}
	for _, p := range s.pools {
		ids := make([]string, 0, len(p.upstreams))
		for _, u := range p.upstreams {
			ids = append(ids, u.ID)
		}
		for id, w := range t.Weights(ids, now) {
			all[id] = w
		}
	}
	return all
}

// weight is the part of its usual work that an upstream should get.
func (s *State) weight(u *upstream, now time.Time) float64 {
	weight := 1.0
	if w, ok := s.own[u.ID]; ok {
		weight = w
	}
	if w, ok := s.fleet[u.ID]; ok && now.Sub(s.totalsAt) <= totalsFresh {
		weight = min(weight, w)
	}
	return weight
}
