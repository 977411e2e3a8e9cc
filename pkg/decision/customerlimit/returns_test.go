package customerlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against refused requests that are all told to come back when the window has room for one, so that most of them are
// refused again. A customer sends five times its limit for 2 s; its requests that come back after that must pass.
func TestRefusedRequestsReturnByTurns(t *testing.T) {
	for name, l := range map[string]Limit{"largest": {120, 120}, "largest, no burst": {120, 0}, "medium": {30, 30}} {
		t.Run(name, func(t *testing.T) {
			m := newModel(1, testNodes, l)
			m.others(300, 30*time.Second)
			any := func() int { return m.random.IntN(testNodes) }
			m.demand(l.Rate/1.6, 10*time.Second, any)
			m.run(10 * time.Second)
			end := m.now.Add(2 * time.Second)
			returned, passed, soon, soonPassed := 0, 0, 0, 0
			for at := time.Duration(0); at < 2*time.Second; at += time.Duration(float64(time.Second) / (5 * l.Rate)) {
				m.after(at, func() {
					m.arriveThen(any(), func(v Verdict, retry time.Duration) {
						if v == Pass {
							return
						}
						m.after(retry, func() {
							later, early := !m.now.Before(end), retry <= testWindow/3
							m.arriveThen(any(), func(v Verdict, _ time.Duration) {
								if later {
									returned++
								}
								if later && v == Pass {
									passed++
								}
								if early {
									soon++
								}
								if early && v == Pass {
									soonPassed++
								}
							})
						})
					})
				})
			}
			m.run(18 * time.Second)
			worst := m.worst(l, testStart)
			t.Logf("%d of %d that came back later passed, %d of %d within 1.67 s and during the rise as well, worst window %.3f of the bound",
				passed, returned, soonPassed, soon, worst)
			assert.Assert(t, worst <= 1)
			assert.Assert(t, returned >= 20)
			assert.Assert(t, float64(passed) >= 0.9*float64(returned), "%d of %d passed", passed, returned)
		})
	}
}
