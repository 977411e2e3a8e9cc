package customerlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testNodes = 88

// typical are limits of 1.6 times the usual rate: of the largest customer, of a usual one, and of small ones.
var typical = map[string]Limit{
	"largest": {120, 120}, "largest, no burst": {120, 0}, "usual": {4.2, 4}, "usual, no burst": {4.2, 0}, "small": {0.5, 1}, "very small": {0.1, 0},
}

// Guards against refusals of a customer that sends little and then much for a short time, although its window has room: a bucket
// of the burst refused a third of these requests.
func TestShortRiseWithinTheWindow(t *testing.T) {
	l := Limit{246, 246}
	m := newModel(1, testNodes, l)
	m.others(300, 15*time.Second)
	any := func() int { return m.random.IntN(testNodes) }
	m.demand(40, 10*time.Second, any)
	m.run(10 * time.Second)
	arrived, ran := len(m.arrived), len(m.runs)
	m.demand(550, 2100*time.Millisecond, any)
	m.run(3 * time.Second)
	arrived, ran = len(m.arrived)-arrived, len(m.runs)-ran
	worst := m.worst(l, testStart)
	t.Logf("%d of %d served, worst window %.3f of the bound, without limits %.3f", ran, arrived, worst, worstOf(m.arrived, l, testStart))
	assert.Assert(t, worst <= 1)
	assert.Assert(t, float64(ran) >= 0.99*float64(arrived), "%d of %d served", ran, arrived)
}

// Guards against a customer over its limit that gets more than it, or notably less, when it sends 7.5 times its usual rate to
// all nodes, to three, or to a node after the other.
func TestContention(t *testing.T) {
	for name, l := range typical {
		for place, pick := range map[string]func(m *model) int{
			"all nodes":   func(m *model) int { return m.random.IntN(testNodes) },
			"three nodes": func(m *model) int { return m.random.IntN(3) },
			"moving": func(m *model) int {
				return int(m.now.Sub(testStart)/(400*time.Millisecond))*5%testNodes + m.random.IntN(2)
			},
		} {
			t.Run(fmt.Sprint(name, ", ", place), func(t *testing.T) {
				m := newModel(1, testNodes, l)
				m.others(300, 45*time.Second)
				any := func() int { return m.random.IntN(testNodes) }
				m.demand(l.Rate/1.6, 15*time.Second, any)
				m.run(15 * time.Second)
				usual := m.used(l, testStart, m.now)
				m.demand(7.5*l.Rate/1.6, 30*time.Second, func() int { return pick(m) })
				from := m.now
				m.run(30 * time.Second)
				worst, used, ofWindow := m.worst(l, testStart), m.spent(l, from), m.usedOfWindow(l, from)
				t.Logf("usual rate: %.3f served; contention: worst window %.3f of the bound, %.3f of the limit and %.3f of the window used, %d exchanges; without limits %.3f of the bound",
					usual, worst, used, ofWindow, m.exchanges, worstOf(m.arrived, l, testStart))
				assert.Assert(t, worst <= 1, "worst window %.3f of the bound", worst)
				assert.Assert(t, usual >= 0.95, "%.3f of the usual rate served", usual)
				assert.Assert(t, used >= 0.95, "%.3f of the limit used", used)
				assert.Assert(t, ofWindow >= 0.95, "%.3f of the window used", ofWindow)
			})
		}
	}
}
