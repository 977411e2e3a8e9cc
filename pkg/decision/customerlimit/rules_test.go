package customerlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// direct exchanges a node's report with a hub at once.
func direct(m *model, n *Node, hub string, lost bool) {
	r, sent := n.Report(m.now, hub)
	answer := m.hubs[hub].Answer(m.now, "node", 1, 1, r)
	if !lost {
		n.Answered(m.now, sent, answer)
	}
}

// takeAsked takes a request, asking the hub if the node must.
func takeAsked(m *model, n *Node, l Limit) bool {
	v, _ := n.Take(m.now, customer, l, 1)
	if v == Ask {
		n.Wait(m.now, customer)
		direct(m, n, "hub", false)
		v, _ = n.TakeAsked(m.now, customer, l, 1, true)
	}
	return v == Pass
}

func oneNode(l Limit) (*model, *Node) {
	m := &model{now: testStart, hubs: map[string]*Hub{}}
	for _, name := range []string{"hub", "second"} {
		m.hubs[name] = NewHub(testWindow, func(string) Limit { return l })
	}
	return m, NewNode(testWindow, func() float64 { return 0 })
}

// Guards against counts that are dropped with a lost answer, and against those of a repeated report that count twice.
func TestLostAnswersLoseAndRepeatNoCounts(t *testing.T) {
	l := Limit{Rate: 10, Burst: 200}
	m, n := oneNode(l)
	direct(m, n, "hub", false)
	for i := range 40 {
		assert.Assert(t, takeAsked(m, n, l))
		direct(m, n, "hub", i%2 == 0)
	}
	direct(m, n, "hub", false)
	a := m.hubs["hub"].customers[customer]
	assert.Equal(t, a.free(), l.capacity(testWindow)-40)
	assert.Equal(t, a.history.sum(), int64(40))
	direct(m, n, "hub", true)
	direct(m, n, "hub", false)
	assert.Equal(t, a.free(), l.capacity(testWindow)-40)
}

// Guards against a new hub that does not know the requests of the last window, or counts them twice when the node returns.
func TestNewHubLearnsTheLastWindow(t *testing.T) {
	l := Limit{Rate: 10, Burst: 200}
	m, n := oneNode(l)
	direct(m, n, "hub", false)
	for range 100 {
		assert.Assert(t, takeAsked(m, n, l))
	}
	direct(m, n, "second", false)
	free := m.hubs["second"].customers[customer].free()
	assert.Assert(t, free <= l.capacity(testWindow)-100, "%f", free)
	m.now = m.now.Add(300 * time.Millisecond)
	direct(m, n, "hub", false)
	assert.Equal(t, m.hubs["hub"].customers[customer].free(), l.capacity(testWindow)-100)
	m.now = m.now.Add(2 * time.Second)
	m.hubs["hub"] = NewHub(testWindow, func(string) Limit { return l })
	direct(m, n, "hub", false)
	direct(m, n, "hub", false)
	assert.Equal(t, m.hubs["hub"].customers[customer].free(), l.capacity(testWindow)-100, "restarted hub")
}

// Guards against a late report of a node that takes the place of a newer one.
func TestLateReportIsIgnored(t *testing.T) {
	l := Limit{Rate: 10, Burst: 100}
	m, n := oneNode(l)
	direct(m, n, "hub", false)
	late, _ := n.Report(m.now, "hub")
	for range 20 {
		assert.Assert(t, takeAsked(m, n, l))
	}
	direct(m, n, "hub", false)
	assert.Assert(t, m.hubs["hub"].Answer(m.now, "node", 1, 1, late) == nil)
	assert.Equal(t, m.hubs["hub"].customers[customer].free(), l.capacity(testWindow)-20)
}

// Guards against a customer with a low rate and no burst that is never served, is served after a quiet time only, or more
// often than its rate; and against a limit of 0 that refuses.
func TestLowRatesAndNoLimit(t *testing.T) {
	l := Limit{Rate: 0.1}
	m, n := oneNode(l)
	passed := 0
	for range 200 * 10 {
		m.now = m.now.Add(100 * time.Millisecond)
		if takeAsked(m, n, l) {
			passed++
		}
	}
	assert.Assert(t, passed >= 20 && passed <= 23, "%d passed in 200 s", passed)
	m.now = m.now.Add(time.Minute)
	assert.Assert(t, takeAsked(m, n, l), "after a quiet time one must pass")
	for range 1000 {
		v, _ := n.Take(m.now, customer, Limit{Burst: 5}, 1)
		assert.Equal(t, v, Pass)
	}
}

// Guards against requests that ended without having run and still count.
func TestReturnedRequestsDoNotCount(t *testing.T) {
	l := Limit{Rate: 1, Burst: 10}
	m, n := oneNode(l)
	passed := 0
	for range 100 {
		if takeAsked(m, n, l) {
			passed++
			n.Return(m.now, customer)
		}
	}
	assert.Equal(t, passed, 100)
}

// Guards against tokens that are granted again while a node may still spend them, and against those of a lost node that stay
// withheld.
func TestTokensOfALostNode(t *testing.T) {
	l := Limit{Rate: 1, Burst: 10}
	m, _ := oneNode(l)
	h := m.hubs["hub"]
	uses := func(accepted int64, waiting int) *Report {
		return &Report{Seq: m.now.UnixNano(), Whole: true, Uses: []Use{{Customer: customer, Accepted: accepted, Waiting: waiting}}}
	}
	h.Answer(m.now, "a", 1, 2, uses(0, 0))
	h.Answer(m.now, "b", 1, 2, uses(0, 0))
	m.now = m.now.Add(time.Millisecond)
	granted := func(node string, accepted int64, waiting int) int {
		a := h.Answer(m.now, node, 1, 2, uses(accepted, waiting))
		if len(a.Grants) == 0 {
			return 0
		}
		return a.Grants[0].Tokens
	}
	assert.Equal(t, granted("a", 15, 20), 2)
	assert.Equal(t, granted("b", 0, 20), 0)
	// a spends the tokens and is lost.
	for range 10 {
		m.now = m.now.Add(100 * time.Millisecond)
		h.Answer(m.now, "b", 1, 2, uses(0, 0))
	}
	assert.Equal(t, h.customers[customer].held, 0)
	assert.Equal(t, h.customers[customer].history.sum(), int64(17))
	assert.Assert(t, h.customers[customer].free() < 1, "%f", h.customers[customer].free())
	// It was only cut off, and has spent one of them.
	h.Answer(m.now, "a", 1, 2, &Report{Seq: m.now.UnixNano(), Uses: []Use{{Customer: customer, Accepted: 16}}})
	assert.Equal(t, h.customers[customer].history.sum(), int64(16))
	assert.Assert(t, h.customers[customer].free() > 1.2, "%f", h.customers[customer].free())
}

// Guards against requests of a full window that pass before the first of them have left it, or are refused after the time that
// the hub named.
func TestFullWindowHasRoomAtTheNamedTime(t *testing.T) {
	l := Limit{Rate: 10}
	h := NewHub(testWindow, func(string) Limit { return l })
	now := testStart
	ask := func() Grant {
		r := &Report{Seq: now.UnixNano(), Whole: true, Uses: []Use{{Customer: customer, Accepted: 59, Waiting: 1}}}
		return h.Answer(now, "a", 1, 1, r).Grants[0]
	}
	h.Answer(now, "a", 1, 1, &Report{Seq: 1, Whole: true})
	h.Answer(now, "a", 1, 1, &Report{Seq: 2, Uses: []Use{{Customer: customer, Accepted: 59}}})
	now = now.Add(time.Millisecond)
	g := ask()
	assert.Equal(t, g.Tokens, 0)
	at := now.Add(g.RetryAfter)
	assert.Assert(t, at.Sub(testStart) >= testWindow && at.Sub(testStart) <= testWindow+testWindow/slots, "%s", at.Sub(testStart))
	for now = now.Add(100 * time.Millisecond); now.Before(at); now = now.Add(100 * time.Millisecond) {
		assert.Equal(t, ask().Tokens, 0)
	}
	now = at
	assert.Equal(t, ask().Tokens, 1)
}

// Guards against a limit that changes often and fills the bucket each time, a fallen limit that binds later than one window,
// and a risen one that binds at all later than at once.
func TestChangingLimits(t *testing.T) {
	high, low := Limit{120, 120}, Limit{12, 12}
	for name, period := range map[string]time.Duration{"each 0.7 s": 700 * time.Millisecond, "each 3 s": 3 * time.Second, "each 11 s": 11 * time.Second} {
		t.Run(name, func(t *testing.T) {
			m := newModel(1, testNodes, high)
			inForce := func(at time.Time) Limit {
				if at.Sub(testStart)/period%2 == 0 {
					return high
				}
				return low
			}
			m.limit = func() Limit { return inForce(m.now) }
			m.others(300, 45*time.Second)
			m.demand(7.5*high.Rate/1.6, 44*time.Second, func() int { return m.random.IntN(testNodes) })
			m.run(44 * time.Second)
			worst := worstOf(m.runs, high, testStart)
			worstLow := 0.0
			for at := testStart; at.Before(m.now); at = at.Add(10 * time.Millisecond) {
				lowAll := true
				for back := time.Duration(0); back <= 2*testWindow; back += 100 * time.Millisecond {
					lowAll = lowAll && inForce(at.Add(-back)) == low
				}
				count := 0
				for _, ran := range m.runs {
					if since := at.Sub(ran); since >= 0 && since < testWindow {
						count++
					}
				}
				if lowAll {
					worstLow = max(worstLow, float64(count)/((low.Rate*5+low.Burst)*1.1+20))
				}
			}
			allowed := 0.0
			for at := testStart; at.Before(m.now); at = at.Add(10 * time.Millisecond) {
				allowed += inForce(at).Rate / 100
			}
			used := float64(len(m.runs)) / allowed
			t.Logf("worst window %.3f of the bound, %.3f of the low one, %.3f of the limits used", worst, worstLow, used)
			assert.Assert(t, worst <= 1 && worstLow <= 1)
			assert.Assert(t, used >= 0.95)
		})
	}
}
