package placer

import (
	"time"

	"trefoilplank.example/pkg/decision/loadreport"
)

// recordMoment keeps the momentary slowness that an upstream reported, for the next report to the hub; p.mu is held.
func (p *Placer) recordMoment(upstream string, report loadreport.Report) {
	if report.Slowness <= 0 {
		return
	}
	if p.moments == nil {
		p.moments = map[string]loadreport.Report{}
	}
	p.moments[upstream] = report
}

// addMoments adds the momentary slowness of upstreams to the evidence, unless it is too old to be used; p.mu is held.
func (p *Placer) addMoments(now time.Time) {
	for id, report := range p.moments {
		if slowness, ok := report.Moment(now); ok {
			e := p.evidence[id]
			e.Slowness, e.SlownessAge = slowness, report.Age(now)
			p.evidence[id] = e
		}
	}
	clear(p.moments)
}

// HubSlowness returns the time of work on the uneven upstreams, as multiples of the usual one, by the evidence of all nodes. It is used
// when this node is the hub.
func (p *Placer) HubSlowness() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.UpdateHubSlowness(time.Now())
}

// SetSlowness sets the time of work on the uneven upstreams by the hub's answer.
func (p *Placer) SetSlowness(slowness map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetSlowness(slowness, time.Now())
}

// Zone returns the availability zone of this node.
func (p *Placer) Zone() string { return p.state.AvailabilityZone }

// OutOfZone returns how many runs this node has started on upstreams in other zones.
func (p *Placer) OutOfZone() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(p.state.OutOfZone())
}
