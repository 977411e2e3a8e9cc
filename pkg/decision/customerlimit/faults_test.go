package customerlimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// faults are what happens to nodes and hubs in TestFaults, 15 s after the start.
var faults = map[string]func(m *model){
	"hub lost": func(m *model) {
		m.moveHub(testCall+100*time.Millisecond, "second")
	},
	"hub restarted": func(m *model) { delete(m.hubs, "hub") },
	"hub changes often": func(m *model) {
		for i := range 12 {
			m.after(time.Duration(i)*1200*time.Millisecond, func() { m.moveHub(200*time.Millisecond, fmt.Sprint("hub", i%3)) })
		}
	},
	"hub lost and back": func(m *model) {
		m.moveHub(testCall, "second")
		m.after(4*time.Second, func() { m.moveHub(100*time.Millisecond, "hub") })
	},
	"two hubs": func(m *model) {
		m.hubOf = func(node int) string { return fmt.Sprint("hub", node%5/3) }
		m.after(4*time.Second, func() { m.hubOf = func(int) string { return "hub0" } })
	},
	"no hub for three seconds": func(m *model) {
		m.hubOf = func(int) string { return "" }
		m.after(3*time.Second, func() { m.hubOf = func(int) string { return "hub" } })
	},
	"answers lost": func(m *model) { m.lostAnswers = 0.2 },
	"nodes killed": func(m *model) {
		for i := range 8 {
			m.nodes[i*11].down = true
		}
	},
	"nodes restarted": func(m *model) {
		for i := range 40 {
			m.after(time.Duration(i)*200*time.Millisecond, func() { m.restart(m.nodes[i*2]) })
		}
	},
	"nodes cut off": func(m *model) {
		m.hubOf = func(node int) string {
			if node%10 == 0 {
				return ""
			}
			return "hub"
		}
		m.after(6*time.Second, func() { m.hubOf = func(int) string { return "hub" } })
	},
	"nodes frozen": func(m *model) {
		for i := range 20 {
			n := m.nodes[i*4]
			m.after(time.Duration(i)*100*time.Millisecond, func() { n.frozen = true })
			m.after(time.Duration(i)*100*time.Millisecond+2*time.Second, func() { m.thaw(n) })
		}
	},
}

// leastUsed is the part of the limit that must be used in the 20 s from each fault on.
var leastUsed = map[string]float64{
	"hub lost": 0.95, "hub restarted": 0.95, "hub changes often": 0.95, "hub lost and back": 0.95, "two hubs": 0.95, "answers lost": 0.95,
	"nodes killed": 0.95, "nodes restarted": 0.95, "nodes cut off": 0.95, "nodes frozen": 0.95,
	// Equal shares are lost at nodes where no request arrives while their share holds a whole request.
	"no hub for three seconds": 0.9,
}

// moveHub leaves all nodes without a hub for a time, and then lets each move to another one within 0.2 s.
func (m *model) moveHub(gap time.Duration, name string) {
	moved := map[int]bool{}
	m.hubOf = func(node int) string {
		if moved[node] {
			return name
		}
		return ""
	}
	for i := range m.nodes {
		m.after(gap+time.Duration(m.random.Int64N(int64(200*time.Millisecond))), func() { moved[i] = true })
	}
}

// restart replaces the process of a node.
func (m *model) restart(n *modelNode) {
	n.incarnation++
	n.state = NewNode(testWindow, m.random.Float64)
	n.down = true
	m.after(500*time.Millisecond, func() { n.down = false })
}

func (m *model) thaw(n *modelNode) {
	n.frozen = false
	pending := n.pendingAfterThaw
	n.pendingAfterThaw = nil
	for _, do := range pending {
		do()
	}
}

// Guards against limits that are exceeded, or used by less than what is promised, when hubs and nodes fail while a customer
// sends 7.5 times its usual rate, and when it sends its usual rate and then that much.
func TestFaults(t *testing.T) {
	for name, fault := range faults {
		for limitName, l := range map[string]Limit{"largest": typical["largest"], "usual": typical["usual"]} {
			for usual, before := range map[string]float64{"over the limit": 7.5, "usual rate before": 1} {
				t.Run(fmt.Sprint(name, ", ", limitName, ", ", usual), func(t *testing.T) {
					worst, used, ofWindow := 0.0, 1e9, 1e9
					for seed := range uint64(2) {
						m := newModel(seed, testNodes, l)
						any := func() int { return m.random.IntN(testNodes) }
						m.others(300, 45*time.Second)
						m.demand(before*l.Rate/1.6, 15*time.Second, any)
						m.run(15 * time.Second)
						fault(m)
						m.demand(7.5*l.Rate/1.6, 20*time.Second, any)
						from := m.now
						m.run(20 * time.Second)
						worst, used = max(worst, m.worst(l, testStart)), min(used, m.spent(l, from))
						ofWindow = min(ofWindow, m.usedOfWindow(l, from))
					}
					t.Logf("worst window %.3f of the bound, %.3f of the limit and %.3f of the window used", worst, used, ofWindow)
					assert.Check(t, worst <= 1, "worst window %.3f of the bound", worst)
					assert.Check(t, used >= leastUsed[name], "%.3f of the limit used", used)
					assert.Check(t, ofWindow >= leastUsed[name], "%.3f of the window used", ofWindow)
				})
			}
		}
	}
}
