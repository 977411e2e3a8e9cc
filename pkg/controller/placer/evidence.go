package placer

import (
	"time"

	"trefoilplank.example/pkg/decision/outlier"
)

// evidenceEvents is the number of events after which a run's evidence is entered while the run goes on, so that a slow upstream
// is found before its runs end.
const evidenceEvents = 6

// Pace measures a run for what it shows of its upstream. It is used by one goroutine.
type Pace struct {
	placer   *Placer
	upstream string
	// queued is set when the run may have waited for a slot; its first event then shows nothing.
	queued bool
	// heard is set after the first event.
	heard bool
	last  time.Time
	found outlier.Evidence
}

// Pace begins to measure a run that is sent now.
func (p *Placer) Pace(upstream string, queued bool) *Pace {
	return &Pace{placer: p, upstream: upstream, queued: queued, last: time.Now()}
}

// Heard counts events that came at a time; a whole answer is one event. The time until Heard returns is not counted against
// the upstream, so it is called when the events have been passed on.
func (m *Pace) Heard(events int, at time.Time) {
	if events <= 0 {
		return
	}
	waited := max(0, at.Sub(m.last))
	if !m.heard {
		m.heard = true
		events--
		if !m.queued {
			m.found.First(waited)
		}
		waited = 0
	}
	if events > 0 {
		m.found.Gap(events, waited)
	}
	m.last = time.Now()
	if m.found.Gaps+m.found.Firsts >= evidenceEvents {
		m.Enter()
	}
}

// Silent counts the end of a run that gave nothing for too long. Before its first event it may wait in a queue that nobody
// sees; after one its upstream is slow or broken.
func (m *Pace) Silent() {
	if !m.heard {
		m.Enter()
		return
	}
	m.Heard(1, time.Now()) // The next event would have taken longer still.
	m.End(true)
}

// End counts the end of the run.
func (m *Pace) End(broken bool) {
	m.found.Runs++
	if broken {
		m.found.Broken++
	}
	m.Enter()
}

// Enter hands on what was found so far. A run that was stopped, or whose caller left, shows no more than that.
func (m *Pace) Enter() {
	if m.found == (outlier.Evidence{}) {
		return
	}
	m.placer.learn(m.upstream, m.found)
	m.found = outlier.Evidence{}
}

func (p *Placer) learn(upstream string, e outlier.Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Learn(upstream, e, time.Now())
	sum := p.evidence[upstream]
	sum.Add(e)
	p.evidence[upstream] = sum
}

// Evidence returns what this node's runs showed since the last call, for the exchange.
func (p *Placer) Evidence() map[string]outlier.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.evidence
	p.evidence = map[string]outlier.Evidence{}
	return e
}

// Report enters another node's evidence, when this node is the hub.
func (p *Placer) Report(evidence map[string]outlier.Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Report(evidence, time.Now())
}

// Outliers returns the weights of outliers by the evidence of all nodes, when this node is the hub.
func (p *Placer) Outliers() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Outliers(time.Now())
}

// setOutliers takes the hub's weights and logs those upstreams that begin or cease to get work by them. The caller holds the lock.
func (p *Placer) setOutliers(weights map[string]float64) {
	began, ended := p.state.SetOutliers(weights)
	for _, id := range began {
		p.log.Notice("upstream is an outlier", "upstream", id, "weight", weights[id])
	}
	for _, id := range ended {
		p.log.Notice("upstream is no outlier any more", "upstream", id)
	}
}
