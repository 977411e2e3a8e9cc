package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// zoneParams places the engines and arrivals of a model in three zones.
type zoneParams struct {
	// engines holds the zones of the engines, in turn.
	engines []int
	// arrivals returns the relative rates of arrivals in the zones at a time; nil if they are equal.
	arrivals func(time.Duration) [3]float64
}

func (p *zoneParams) engineZone(n int) string {
	if p == nil {
		return fmt.Sprint("z", n%3)
	}
	return fmt.Sprint("z", p.engines[n%len(p.engines)])
}

// zoneCounts are the requests of the nodes of a zone: those that were served elsewhere, were late or refused.
type zoneCounts struct{ arrived, elsewhere, late, refused int }

func (m *model) zone(n *modelNode) *zoneCounts {
	c := m.zones[n.state.AvailabilityZone]
	if c == nil {
		c = &zoneCounts{}
		m.zones[n.state.AvailabilityZone] = c
	}
	return c
}

// share returns the part of the arrivals that arrives in a zone.
func (p *modelParams) share(zone int, t time.Duration) float64 {
	if p.zones == nil || p.zones.arrivals == nil {
		return 1.0 / 3
	}
	rates := p.zones.arrivals(t)
	return rates[zone] / (rates[0] + rates[1] + rates[2])
}

// arrivalNode draws the node at which a request arrives.
func (m *model) arrivalNode() *modelNode {
	if m.params.zones == nil {
		node := m.nodes[m.rng.IntN(len(m.nodes))]
		m.zone(node).arrived++
		return node
	}
	zone, x := 0, m.arrivals.Float64()
	for x -= m.params.share(0, m.elapsed()); x > 0 && zone < 2; x -= m.params.share(zone, m.elapsed()) {
		zone++
	}
	node := m.nodes[zone+3*m.arrivals.IntN(len(m.nodes)/3)]
	m.zone(node).arrived++
	return node
}

// nodeRate returns the arrivals per second at a node.
func (m *model) nodeRate(n *modelNode) float64 {
	rate := m.params.rate(m.elapsed()) / float64(m.params.nodes)
	if m.params.zones == nil {
		return rate
	}
	var zone int
	_, _ = fmt.Sscanf(n.state.AvailabilityZone, "z%d", &zone)
	return rate * 3 * m.params.share(zone, m.elapsed())
}

// countZones counts a request that an engine admitted.
func (m *model) countZones(r *modelRun, first time.Duration) {
	c := m.zone(r.node)
	if r.node.state.byID[r.engine.id].AvailabilityZone != r.node.state.AvailabilityZone {
		c.elsewhere++
	}
	if first > m.params.objective {
		c.late++
	}
}

// zoneLoad returns a load at 24 nodes and engines in three zones, as a fraction of what 24 engines can serve.
func zoneLoad(load float64, items float64, rate func(float64) func(time.Duration) float64, z zoneParams) modelParams {
	return modelParams{nodes: 24, engines: 24, slots: 8, rate: rate(load * 24 * 8 / 0.7), itemsPerSecond: items, streamDuration: 700 * time.Millisecond,
		itemDuration: 3 * time.Second, firstEvent: 70 * time.Millisecond, objective: 300 * time.Millisecond, exchangeInterval: 55 * time.Millisecond,
		duration: 30 * time.Second, zones: &z}
}

// steady returns a constant rate.
func steady(mean float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return mean }
}

// Guards against bytes between zones while each zone has room, and against loss in a zone that lacks upstreams or has a burst while
// others have room.
func TestRequestsLeaveTheirZoneByNeed(t *testing.T) {
	equal := []int{0, 1, 2}
	for _, c := range []struct {
		name string
		p    modelParams
		// elsewhere bounds the part of the requests that are served in another zone, lost the part that is late or refused, and lostInZone the
		// same for the worst zone.
		elsewhere, lost, lostInZone float64
	}{
		{"calm, equal zones", zoneLoad(0.5, 0, steady, zoneParams{engines: equal}), 0.02, 0.001, 0.001},
		{"bursts with batch, equal zones", zoneLoad(0.4, 8, burst, zoneParams{engines: equal}), 0.15, 0.003, 0.005},
		{"all zones full", zoneLoad(1.3, 0, steady, zoneParams{engines: equal}), 0.35, 0.3, 0.3},
		{"a zone without upstreams", zoneLoad(0.5, 0, steady, zoneParams{engines: []int{0, 1}}), 0.4, 0.001, 0.001},
		{"a zone lost a third", zoneLoad(0.6, 0, steady, zoneParams{engines: []int{0, 1, 2, 0, 1, 2, 1, 2}}), 0.15, 0.002, 0.004},
		{"bursts in one zone", zoneLoad(0.5, 0, steady, zoneParams{engines: equal, arrivals: func(t time.Duration) [3]float64 {
			if t%(5800*time.Millisecond) < 2400*time.Millisecond {
				return [3]float64{3, 1, 1}
			}
			return [3]float64{1, 1, 1}
		}}), 0.15, 0.001, 0.002},
	} {
		models := make([]*model, 2)
		var running sync.WaitGroup
		for seed := range models {
			running.Go(func() {
				p := c.p
				p.seed = uint64(seed)
				models[seed] = newModel(p).run()
			})
		}
		running.Wait()
		var sum zoneCounts
		byZone := map[string]zoneCounts{}
		var p99 time.Duration
		for _, m := range models {
			p99 += m.p99() / time.Duration(len(models))
			for name, z := range m.zones {
				b := byZone[name]
				for _, total := range []*zoneCounts{&sum, &b} {
					total.arrived, total.elsewhere, total.late, total.refused = total.arrived+z.arrived, total.elsewhere+z.elsewhere, total.late+z.late, total.refused+z.refused
				}
				byZone[name] = b
			}
		}
		lost := func(z zoneCounts) float64 { return float64(z.late+z.refused) / float64(z.arrived) }
		worst := 0.0
		for _, z := range byZone {
			worst = max(worst, lost(z))
		}
		elsewhere := float64(sum.elsewhere) / float64(sum.arrived)
		t.Logf("%s: %d arrived, elsewhere %.4f, late %.4f, refused %.4f, lost in the worst zone %.4f, p99 to the first event %v", c.name, sum.arrived, elsewhere,
			float64(sum.late)/float64(sum.arrived), float64(sum.refused)/float64(sum.arrived), worst, p99.Round(time.Millisecond))
		assert.Check(t, elsewhere <= c.elsewhere, c.name)
		assert.Check(t, lost(sum) <= c.lost && worst <= c.lostInZone, c.name)
	}
}
