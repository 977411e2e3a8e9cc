package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// model is a fleet in virtual time: nodes that decide with their own states, a hub, and engines that admit requests in the
// order of arrival. It answers how a load pattern fares in seconds of processor time.
type model struct {
	rng     *rand.Rand
	now     time.Time
	events  eventQueue
	engines map[string]*modelEngine
	nodes   []*modelNode
	hub     *State
	reports map[string]map[string]Load
	given   map[string]map[string]int
	wants   map[string]Want
	p       modelParams

	arrived, onTime, refused, late, preempted, batchDone, batchDue int
	// returned counts refused requests that came back, returnedOnTime those served on time from then on.
	returned, returnedOnTime int
}

type modelParams struct {
	nodes, engines, slots int
	// rate is the arrivals a second at a time; batch the items a second.
	rate  func(time.Duration) float64
	batch float64
	// returns is set when refused callers come back once.
	returns bool
	// firm is set when items can't yield.
	firm bool
	// stream and item are the times that a run holds a slot, first the time to its first event.
	stream, item, first time.Duration
	objective, exchange time.Duration
	length              time.Duration
	seed                uint64
}

type modelNode struct {
	name  string
	state *State
	// waiting holds the rest of each item that waits.
	waiting []time.Duration
	// asking is the number of requests that wait for the hub.
	asking  int
	firm    bool
	running map[string][]*modelRun
}

type modelRun struct {
	node   *modelNode
	engine *modelEngine
	batch  bool
	// returned is set for a request that was refused before.
	returned bool
	// begun is the arrival, admitted when the engine gave a slot.
	begun    time.Time
	admitted time.Time
	left     time.Duration
	ended    bool
	active   bool
}

type modelEngine struct {
	id     string
	slots  int
	active int
	queue  []*modelRun
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.events, event{m.now.Add(d), do}) }

func newModel(p modelParams) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(p.seed, 1)), now: time.Unix(1_000_000, 0), engines: map[string]*modelEngine{}, hub: NewState("z0"),
		reports: map[string]map[string]Load{}, given: map[string]map[string]int{}, wants: map[string]Want{}, p: p,
	}
	var list []Upstream
	for n := range p.engines {
		id := fmt.Sprintf("u%03d", n)
		m.engines[id] = &modelEngine{id: id, slots: p.slots}
		list = append(list, Upstream{ID: id, Service: "s", AvailabilityZone: fmt.Sprint("z", n%3), Slots: p.slots})
	}
	m.hub.SetUpstreams(list)
	for n := range p.nodes {
		node := &modelNode{name: fmt.Sprint("n", n), state: NewState(fmt.Sprint("z", n%3)), running: map[string][]*modelRun{}, firm: p.firm}
		node.state.SetUpstreams(list)
		m.nodes = append(m.nodes, node)
		m.after(time.Duration(m.rng.Float64()*float64(p.exchange)), func() { m.exchange(node) })
	}
	m.after(0, m.arrival)
	m.after(0, m.submit)
	return m
}

// run plays the model.
func (m *model) run() *model {
	begun := m.now
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at.Sub(begun) > m.p.length {
			break
		}
		m.now = e.at
		e.do()
	}
	return m
}

func (m *model) since() time.Duration { return m.now.Sub(time.Unix(1_000_000, 0)) }

func (m *model) wait(rate float64) time.Duration {
	return time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second))
}

func (m *model) arrival() {
	m.after(m.wait(m.p.rate(m.since())), m.arrival)
	m.arrived++
	node := m.nodes[m.rng.IntN(len(m.nodes))]
	m.place(node, m.now, Need{Service: "s", First: true, Objective: m.p.objective, Remaining: 5 * time.Second})
}

// place decides on a request, after an exchange if the node asks for one.
func (m *model) place(node *modelNode, begun time.Time, need Need) {
	preemptible := func(id string) bool { return node.batchRun(id) != nil }
	c := node.state.Online(need, preemptible, m.now, m.rng)
	switch c.Verdict {
	case Ask:
		need.Asked, need.Answered = true, true
		node.asking++
		m.report(node, func() {
			node.asking--
			m.place(node, begun, need)
		})
		return
	case Refuse, NoUpstream:
		if m.p.returns && !need.Returned {
			m.returned++
			m.after(c.RetryAfter, func() {
				again := m.nodes[m.rng.IntN(len(m.nodes))]
				m.place(again, m.now, Need{Service: "s", First: true, Returned: true, Objective: m.p.objective, Remaining: need.Remaining - c.RetryAfter})
			})
			return
		}
		m.refused++
		return
	case Preempt:
		m.stop(node.batchRun(c.Upstream.ID))
		node.state.Spend(c.Upstream.ID)
		m.preempted++
	}
	node.state.Begin(c.Upstream.ID, false)
	m.send(&modelRun{node: node, engine: m.engines[c.Upstream.ID], begun: begun, left: m.vary(m.p.stream), returned: need.Returned})
}

func (m *model) vary(d time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*m.rng.Float64()) * float64(d))
}

func (n *modelNode) batchRun(id string) *modelRun {
	if n.firm {
		return nil
	}
	for _, r := range n.running[id] {
		if r.batch && !r.ended {
			return r
		}
	}
	return nil
}

// itemsDue is the time within which items must be done.
const itemsDue = 18 * time.Second

// submit hands a job of ten items to a node.
func (m *model) submit() {
	if m.p.batch <= 0 {
		return
	}
	m.after(m.wait(m.p.batch/10), m.submit)
	node := m.nodes[m.rng.IntN(len(m.nodes))]
	if m.since() < m.p.length-itemsDue {
		m.batchDue += 10
	}
	for range 10 {
		node.waiting = append(node.waiting, m.vary(m.p.item))
	}
}

func (m *model) send(r *modelRun) {
	r.node.running[r.engine.id] = append(r.node.running[r.engine.id], r)
	r.engine.queue = append(r.engine.queue, r)
	m.admit(r.engine)
}

func (m *model) admit(e *modelEngine) {
	for e.active < e.slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if r.ended {
			continue
		}
		e.active++
		r.active, r.admitted = true, m.now
		if !r.batch {
			switch onTime := m.now.Add(m.p.first).Sub(r.begun) <= m.p.objective; {
			case onTime && r.returned:
				m.returnedOnTime++
			case onTime:
				m.onTime++
			default:
				m.late++
			}
		}
		m.after(r.left, func() { m.finish(r) })
	}
}

func (m *model) finish(r *modelRun) {
	if r.ended {
		return
	}
	if !r.batch {
		r.node.state.Finished("s", m.p.first, m.now.Sub(r.begun), r.admitted != r.begun)
	}
	if r.batch {
		m.batchDone++
	}
	m.end(r)
}

// stop ends a batch run, whose item waits again with the rest of its length and the time to its first event.
func (m *model) stop(r *modelRun) {
	left := r.left
	if r.active {
		left -= m.now.Sub(r.admitted) - m.p.first
	}
	m.end(r)
	r.node.waiting = append(r.node.waiting, min(left, r.left))
}

func (m *model) end(r *modelRun) {
	r.ended = true
	list := r.node.running[r.engine.id]
	for i := range list {
		if list[i] == r {
			r.node.running[r.engine.id] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	r.node.state.End(r.engine.id, r.batch, m.now)
	if r.active {
		r.engine.active--
	}
	m.admit(r.engine)
}

// exchange is what the load exchange does, with an answer after half a millisecond each way.
func (m *model) exchange(n *modelNode) {
	m.after(m.p.exchange, func() { m.exchange(n) })
	m.report(n, func() {})
}

// report reports a node's load and calls then with the hub's answer in place.
func (m *model) report(n *modelNode, then func()) {
	mine := n.state.Mine(func(id string) (firm int) {
		for _, r := range n.running[id] {
			if r.batch && n.firm {
				firm++
			}
		}
		return firm
	})
	m.reports[n.name] = mine
	delete(m.given, n.name)
	m.wants[n.name] = Want{
		Items: min(len(n.waiting), 64), Waiting: n.asking, Rate: m.p.rate(m.since()) / float64(m.p.nodes), Queue: n.state.QueuePerSlot("s", m.p.objective),
	}
	totals := map[string]Load{}
	for _, r := range m.reports {
		for id, l := range r {
			totals[id] = totals[id].Plus(l)
		}
	}
	outstanding := map[string]int{}
	for _, g := range m.given {
		for id, k := range g {
			outstanding[id] += k
		}
	}
	var all Want
	for _, w := range m.wants {
		all.Items += w.Items
		all.Rate += w.Rate
	}
	g := m.hub.Grants("s", m.wants[n.name], all, totals, outstanding, func(string) bool { return false }, m.now)
	m.given[n.name] = g.Slots()
	m.after(time.Millisecond, func() {
		n.state.SetTotals(totals, mine, m.now)
		n.state.SetGrants(g)
		for id, k := range n.state.Yields(m.now, m.rng) {
			for ; k > 0 && n.batchRun(id) != nil; k-- {
				m.stop(n.batchRun(id))
			}
		}
		for len(n.waiting) > 0 {
			u, ok := n.state.Batch("s", m.now, m.rng)
			if !ok {
				break
			}
			rest := n.waiting[0]
			n.waiting = n.waiting[1:]
			n.state.Begin(u.ID, true)
			m.send(&modelRun{node: n, engine: m.engines[u.ID], batch: true, begun: m.now, left: rest})
		}
		then()
	})
}
