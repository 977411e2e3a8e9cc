package placer

import (
	"time"

	"trefoilplank.example/pkg/decision/outlier"
)

// minEvidenceEvents is the number of events after which the evidence of a run in progress is added to the placer, so that
// a slow upstream is detected before its runs end.
const minEvidenceEvents = 6

// RunMeasurement collects evidence about an upstream from the timing of one run. It must be used by one goroutine only.
type RunMeasurement struct {
	placer   *Placer
	upstream string
	// queued is set when the run may have waited for a slot; the time to its first event is then no evidence.
	queued bool
	// gotEvent is set after the first event.
	gotEvent bool
	// waitingSince is when the wait for the next event began.
	waitingSince time.Time
	evidence     outlier.Evidence
}

// MeasureRun starts measuring a run that is being sent to the upstream now.
func (p *Placer) MeasureRun(upstream string, queued bool) *RunMeasurement {
	return &RunMeasurement{placer: p, upstream: upstream, queued: queued, waitingSince: time.Now()}
}

// RecordEvents records events that arrived at the given time; an unstreamed answer is one event. The time from then until
// RecordEvents returns is not counted against the upstream, so it is called after the events have been passed on.
func (m *RunMeasurement) RecordEvents(events int, at time.Time) {
	if events <= 0 {
		return
	}
	wait := max(0, at.Sub(m.waitingSince))
	if !m.gotEvent {
		m.gotEvent = true
		events--
		if !m.queued {
			m.evidence.AddFirst(wait)
		}
		wait = 0
	}
	if events > 0 {
		m.evidence.AddGap(events, wait)
	}
	m.waitingSince = time.Now()
	if m.evidence.Gaps+m.evidence.Firsts >= minEvidenceEvents {
		m.Flush()
	}
}

// RecordTimeout records the end of a run that timed out because no event arrived. Before the first event, the run may
// have waited in a queue that this node cannot see, which is no evidence; after it, the upstream is slow or broken.
func (m *RunMeasurement) RecordTimeout() {
	if !m.gotEvent {
		m.Flush()
		return
	}
	m.RecordEvents(1, time.Now()) // The next event would have taken longer still.
	m.RecordEnd(true)
}

// RecordEnd records the end of the run; broken means that it failed or was cut off.
func (m *RunMeasurement) RecordEnd(broken bool) {
	m.evidence.Runs++
	if broken {
		m.evidence.Broken++
	}
	m.Flush()
}

// Flush adds the evidence collected so far to the placer. It is called without RecordEnd for a run that was stopped or
// whose caller left, since the end of such a run is no evidence.
func (m *RunMeasurement) Flush() {
	if m.evidence == (outlier.Evidence{}) {
		return
	}
	m.placer.addEvidence(m.upstream, m.evidence)
	m.evidence = outlier.Evidence{}
}

// addEvidence adds evidence from a run of this node.
func (p *Placer) addEvidence(upstream string, e outlier.Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.AddOwnEvidence(upstream, e, time.Now())
	sum := p.evidence[upstream]
	sum.Add(e)
	p.evidence[upstream] = sum
}

// Evidence returns the evidence from this node's runs since the last call, to be reported to the hub.
func (p *Placer) Evidence() map[string]outlier.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addMoments(time.Now())
	e := p.evidence
	p.evidence = map[string]outlier.Evidence{}
	return e
}

// AddEvidence adds the evidence that a node reported to this node as the hub.
func (p *Placer) AddEvidence(evidence map[string]outlier.Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.AddHubEvidence(evidence, time.Now())
}

// Outliers returns the weights of the upstreams that are outliers according to the evidence of all nodes. It is used when
// this node is the hub.
func (p *Placer) Outliers() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.HubWeights(time.Now())
}

// setOutliers stores the hub's weights of outliers and logs each upstream that became an outlier or no longer is one;
// p.mu is held.
func (p *Placer) setOutliers(weights map[string]float64) {
	began, ended := p.state.SetFleetWeights(weights)
	for _, id := range began {
		p.log.Notice("upstream is an outlier", "upstream", id, "weight", weights[id])
	}
	for _, id := range ended {
		p.log.Notice("upstream is no longer an outlier", "upstream", id)
	}
}
