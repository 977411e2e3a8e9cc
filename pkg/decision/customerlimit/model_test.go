package customerlimit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// model runs nodes, the hub and callers in virtual time.
type model struct {
	now    time.Time
	events queue
	random *rand.Rand
	nodes  []*modelNode
	hubs   map[string]*Hub
	// hubOf returns the hub of a node, "" if it reaches none.
	hubOf func(node int) string
	limit func() Limit
	// runs are the times at which requests ran, demanded those at which requests arrived.
	runs, arrived []time.Time
	lostAnswers   float64
	exchanges     int
}

type modelNode struct {
	name             string
	incarnation      int64
	state            *Node
	running, next    *modelCall
	runningRequests  int
	down, frozen     bool
	pendingAfterThaw []func()
}

// modelCall is an exchange and the requests that wait for it.
type modelCall struct{ done []func(answered bool) }

type event struct {
	// at is the time since testStart: without pointers, moves in the queue need no write barrier.
	at time.Duration
	n  int
	do func()
}
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any     { last := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return last }

const (
	testWindow  = 5 * time.Second
	testCall    = 400 * time.Millisecond
	testSuspect = 2 * time.Second
	testAsk     = 30 * time.Millisecond
	testRunTime = 700 * time.Millisecond
	customer    = "customer"
)

var testStart = time.Unix(1_000_000, 0)

func newModel(seed uint64, nodes int, l Limit) *model {
	m := &model{now: testStart, random: rand.New(rand.NewPCG(seed, 7)), hubs: map[string]*Hub{}, limit: func() Limit { return l }}
	m.hubOf = func(int) string { return "hub" }
	for i := range nodes {
		n := &modelNode{name: fmt.Sprint("node", i), incarnation: 1, state: NewNode(testWindow, m.random.Float64)}
		m.nodes = append(m.nodes, n)
		m.after(time.Duration(m.random.Int64N(int64(300*time.Millisecond))), func() { m.loop(n, i) })
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.events, event{m.now.Add(d).Sub(testStart), len(m.runs) + len(m.arrived) + m.exchanges, do})
}

func (m *model) run(d time.Duration) {
	end := m.now.Add(d)
	for len(m.events) > 0 && m.events[0].at <= end.Sub(testStart) {
		e := heap.Pop(&m.events).(event)
		m.now = testStart.Add(e.at)
		e.do()
	}
	m.now = end
}

// on runs something at a node, after it is thawed.
func (m *model) on(n *modelNode, do func()) {
	if n.frozen {
		n.pendingAfterThaw = append(n.pendingAfterThaw, do)
		return
	}
	do()
}

// loop exchanges regularly, as loadshare.Exchange.Run does.
func (m *model) loop(n *modelNode, i int) {
	m.on(n, func() {
		if n.down {
			m.after(300*time.Millisecond, func() { m.loop(n, i) })
			return
		}
		m.request(n, i, func(bool) {
			interval := 300 * time.Millisecond
			if n.runningRequests > 0 {
				interval = 50 * time.Millisecond
			}
			m.after(interval+time.Duration(m.random.Int64N(int64(interval/5))), func() { m.loop(n, i) })
		})
	})
}

func (m *model) request(n *modelNode, i int, done func(bool)) {
	if n.running != nil {
		if n.next == nil {
			n.next = &modelCall{}
		}
		n.next.done = append(n.next.done, done)
		return
	}
	n.running = &modelCall{done: []func(bool){done}}
	m.exchange(n, i)
}

func (m *model) exchange(n *modelNode, i int) {
	m.exchanges++
	name := m.hubOf(i)
	call := n.running
	finish := func(sent Sent, answer *Answer, ok bool) {
		m.on(n, func() {
			if ok {
				n.state.Answered(m.now, sent, answer)
			}
			n.running, n.next = n.next, nil
			if n.running != nil {
				m.exchange(n, i)
			}
			for _, done := range call.done {
				done(ok)
			}
		})
	}
	r, sent := n.state.Report(m.now, name)
	if name == "" {
		m.after(testCall, func() { finish(sent, nil, false) })
		return
	}
	latency := func() time.Duration {
		return time.Millisecond + time.Duration(m.random.Int64N(int64(2*time.Millisecond)))
	}
	m.after(latency(), func() {
		if m.hubs[name] == nil {
			m.hubs[name] = NewHub(testWindow, func(string) Limit { return m.limit() })
		}
		answer := m.hubs[name].Answer(m.now, n.name, n.incarnation, len(m.nodes), r)
		if m.random.Float64() < m.lostAnswers {
			m.after(testCall, func() { finish(sent, nil, false) })
			return
		}
		m.after(latency(), func() { finish(sent, answer, true) })
	})
}

// arrive is a request of the customer at a node.
func (m *model) arrive(i int) { m.arriveThen(i, func(Verdict, time.Duration) {}) }

// arriveThen is a request of the customer at a node; then is told whether it ran.
func (m *model) arriveThen(i int, then func(v Verdict, retry time.Duration)) {
	n := m.nodes[i]
	m.arrived = append(m.arrived, m.now)
	if n.down {
		return
	}
	m.on(n, func() {
		v, retry := n.state.Take(m.now, customer, m.limit(), len(m.nodes))
		if v == Pass {
			m.runs = append(m.runs, m.now)
			m.began(n)
		}
		if v != Ask {
			then(v, retry)
			return
		}
		n.state.Wait(m.now, customer)
		n.runningRequests++
		decided, state := false, n.state
		decide := func(answered bool) {
			if decided || n.state != state {
				return
			}
			decided = true
			n.runningRequests--
			v, retry := n.state.TakeAsked(m.now, customer, m.limit(), len(m.nodes), answered)
			if v == Pass {
				m.runs = append(m.runs, m.now)
				m.began(n)
			}
			then(v, retry)
		}
		m.request(n, i, decide)
		m.after(testAsk, func() { m.on(n, func() { decide(false) }) })
	})
}

// began keeps the node busy while a request runs.
func (m *model) began(n *modelNode) {
	n.runningRequests++
	m.after(testRunTime, func() { n.runningRequests = max(0, n.runningRequests-1) })
}

// demand lets requests arrive at a rate for a time, at nodes that pick chooses, beside other customers' requests that keep
// nodes busy.
func (m *model) demand(perSecond float64, d time.Duration, pick func() int) {
	end := m.now.Add(d)
	var next func()
	next = func() {
		if m.now.Before(end) {
			m.arrive(pick())
			m.after(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
	}
	m.after(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second)), next)
}

// others keeps nodes busy by the requests of other customers.
func (m *model) others(perSecond float64, d time.Duration) {
	end := m.now.Add(d)
	var next func()
	next = func() {
		if m.now.Before(end) {
			if n := m.nodes[m.random.IntN(len(m.nodes))]; !n.down {
				m.began(n)
			}
			m.after(time.Duration(m.random.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
	}
	m.after(0, next)
}

// worst returns the most requests that ran in a window from a time on, as a fraction of the bound.
func (m *model) worst(l Limit, from time.Time) float64 { return worstOf(m.runs, l, from) }

func worstOf(times []time.Time, l Limit, from time.Time) float64 {
	bound := (l.Rate*testWindow.Seconds()+l.Burst)*1.1 + 20
	most, first := 0, 0
	for i, at := range times {
		for times[first].Before(from) && first < i || at.Sub(times[first]) >= testWindow {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return float64(most) / bound
}

// used returns the requests that ran between two times as a part of those that an ideal bucket of the limit would let run.
func (m *model) used(l Limit, from, to time.Time) float64 {
	level, last, ideal, ran := math.Max(1, l.Burst), testStart, 0, 0
	for _, at := range m.arrived {
		level = min(math.Max(1, l.Burst), level+l.Rate*at.Sub(last).Seconds())
		last = at
		if level >= 1 {
			level--
			if !at.Before(from) && at.Before(to) {
				ideal++
			}
		}
	}
	for _, at := range m.runs {
		if !at.Before(from) && at.Before(to) {
			ran++
		}
	}
	return float64(ran) / float64(ideal)
}

// usedOfWindow returns the requests that ran since a time as a part of those that arrived and for which the window of the limit
// had room, 1 if it never had.
func (m *model) usedOfWindow(l Limit, from time.Time) float64 {
	allowed, first, ideal, ran := int(l.Rate*testWindow.Seconds()+l.Burst), 0, 0, 0
	var passed []time.Time
	for _, at := range m.arrived {
		for first < len(passed) && at.Sub(passed[first]) >= testWindow {
			first++
		}
		if len(passed)-first < allowed {
			passed = append(passed, at)
			if !at.Before(from) {
				ideal++
			}
		}
	}
	for _, at := range m.runs {
		if !at.Before(from) {
			ran++
		}
	}
	if ideal == 0 {
		return 1
	}
	return float64(ran) / float64(ideal)
}

// spent returns the requests that ran since a time as a part of those that the rate allows.
func (m *model) spent(l Limit, from time.Time) float64 {
	ran := 0
	for _, at := range m.runs {
		if !at.Before(from) {
			ran++
		}
	}
	return float64(ran) / (l.Rate * m.now.Sub(from).Seconds())
}
