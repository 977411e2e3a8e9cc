package dispatch

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"trefoilplank.example/pkg/decision/outlier"
)

// model simulates a fleet in virtual time: nodes that each decide with their own State, a hub, and engines that admit
// requests in the order of arrival. A simulation takes seconds of processor time.
type model struct {
	rng *rand.Rand
	// arrivals draws the arrivals of uneven models apart from all decisions, so that variants get the same ones.
	arrivals     *rand.Rand
	now          time.Time
	events       eventQueue
	engines      map[string]*modelEngine
	nodes        []*modelNode
	hub          *State
	reports      map[string]map[string]Load
	grantsByNode map[string]map[string]int
	wants        map[string]Want
	params       modelParams

	// batchDone counts finished items, batchDue those whose deadline is within the simulated time.
	arrived, onTime, refused, late, preempted, batchDone, batchDue int
	// retried counts the refused requests that were retried, retriedOnTime those served on time after the retry.
	retried, retriedOnTime int
	// firsts are the times from arrival to the first event, served the requests that each engine served.
	firsts []time.Duration
	served map[string]int
	zones  map[string]*zoneCounts
}

// modelParams are the parameters of a simulation.
type modelParams struct {
	nodes, engines, slots int
	// rate returns the arrivals per second at a time since the start; itemsPerSecond is the rate of batch items.
	rate           func(time.Duration) float64
	itemsPerSecond float64
	// callersRetry is set if refused callers retry once.
	callersRetry bool
	// nonPreemptible is set if batch runs can't be preempted.
	nonPreemptible bool
	// streamDuration and itemDuration are the mean times that a run holds a slot; firstEvent is the time from the start
	// of a run to its first event.
	streamDuration, itemDuration, firstEvent time.Duration
	objective, exchangeInterval              time.Duration
	duration                                 time.Duration
	seed                                     uint64
	// uneven makes engines differ; nil if all are equal.
	uneven *unevenParams
	// zones places engines and arrivals; nil if both are spread over three zones equally.
	zones *zoneParams
}

// modelNode is a serving node.
type modelNode struct {
	name  string
	state *State
	// waitingItems holds the remaining run time of each waiting item.
	waitingItems []time.Duration
	// waitingForHub is the number of requests that wait for the hub.
	waitingForHub  int
	nonPreemptible bool
	running        map[string][]*modelRun
	// evidence is that of the node's runs since its last report.
	evidence map[string]outlier.Evidence
}

// modelRun is a run of a request or batch item, queued or admitted at an engine.
type modelRun struct {
	node   *modelNode
	engine *modelEngine
	batch  bool
	// retried is set for a request that is retried after a refusal.
	retried bool
	// arrivedAt is when the request arrived, admittedAt when the engine gave it a slot.
	arrivedAt  time.Time
	admittedAt time.Time
	remaining  time.Duration
	ended      bool
	holdsSlot  bool
}

// modelEngine is an upstream with a first-come, first-served queue.
type modelEngine struct {
	id         string
	slots      int
	slotsInUse int
	queue      []*modelRun
	// slowness is the time of work as a multiple of the usual one.
	slowness float64
}

type event struct {
	at     time.Time
	action func()
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

// after schedules f to run after d of virtual time.
func (m *model) after(d time.Duration, f func()) { heap.Push(&m.events, event{m.now.Add(d), f}) }

func newModel(p modelParams) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(p.seed, 1)), arrivals: rand.New(rand.NewPCG(p.seed, 2)), now: time.Unix(1_000_000, 0), engines: map[string]*modelEngine{}, hub: NewState("z0"),
		reports: map[string]map[string]Load{}, grantsByNode: map[string]map[string]int{}, wants: map[string]Want{}, params: p, served: map[string]int{}, zones: map[string]*zoneCounts{},
	}
	var list []Upstream
	for n := range p.engines {
		id := fmt.Sprintf("u%03d", n)
		m.engines[id] = &modelEngine{id: id, slots: p.slots, slowness: p.uneven.slowness(n)}
		list = append(list, Upstream{ID: id, Service: "s", AvailabilityZone: p.zones.engineZone(n), Slots: p.slots})
	}
	m.hub.SetUpstreams(list)
	for n := range p.nodes {
		node := &modelNode{name: fmt.Sprint("n", n), state: NewState(fmt.Sprint("z", n%3)),
			running: map[string][]*modelRun{}, nonPreemptible: p.nonPreemptible, evidence: map[string]outlier.Evidence{}}
		node.state.SetUpstreams(list)
		m.nodes = append(m.nodes, node)
		m.after(time.Duration(m.rng.Float64()*float64(p.exchangeInterval)), func() { m.exchange(node) })
	}
	m.after(0, m.arrive)
	m.after(0, m.submitJob)
	return m
}

// run runs the simulation for params.duration and returns the model with its counts.
func (m *model) run() *model {
	begun := m.now
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at.Sub(begun) > m.params.duration {
			break
		}
		m.now = e.at
		e.action()
	}
	return m
}

// elapsed returns the virtual time since the start.
func (m *model) elapsed() time.Duration { return m.now.Sub(time.Unix(1_000_000, 0)) }

// nextInterval draws the time to the next event of a Poisson process with rate events per second.
func (m *model) nextInterval(rate float64) time.Duration {
	rng := m.rng
	if m.params.uneven != nil || m.params.zones != nil {
		rng = m.arrivals
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// arrive has a request arrive at a random node and schedules the next arrival.
func (m *model) arrive() {
	m.after(m.nextInterval(m.params.rate(m.elapsed())), m.arrive)
	m.arrived++
	node := m.arrivalNode()
	m.place(node, m.now, OnlineRequest{Service: "s", FirstDecision: true, Objective: m.params.objective, Remaining: 5 * time.Second})
}

// place decides on a request and carries the decision out. If the node asks the hub, it decides again after the answer.
func (m *model) place(node *modelNode, arrivedAt time.Time, request OnlineRequest) {
	preemptible := func(id string) bool { return node.batchRun(id) != nil }
	c := node.state.ChooseForOnline(request, preemptible, m.now, m.rng)
	switch c.Verdict {
	case Ask:
		request.HubAsked, request.HubAnswered = true, true
		node.waitingForHub++
		m.report(node, func() {
			node.waitingForHub--
			m.place(node, arrivedAt, request)
		})
		return
	case Refuse, NoUpstream:
		if m.params.callersRetry && !request.Retried {
			m.retried++
			m.after(c.RetryAfter, func() {
				other := m.nodes[m.rng.IntN(len(m.nodes))]
				m.place(other, m.now, OnlineRequest{Service: "s", FirstDecision: true, Retried: true,
					Objective: m.params.objective, Remaining: request.Remaining - c.RetryAfter})
			})
			return
		}
		m.refused++
		m.zone(node).refused++
		return
	case Preempt:
		m.preemptRun(node.batchRun(c.Upstream.ID))
		node.state.UseFreedSlot(c.Upstream.ID)
		m.preempted++
	}
	node.state.BeginRun(c.Upstream.ID, false)
	m.send(&modelRun{node: node, engine: m.engines[c.Upstream.ID], arrivedAt: arrivedAt,
		remaining: m.randomized(m.params.streamDuration), retried: request.Retried})
}

// randomized returns a random duration between 0.75 and 1.25 times d.
func (m *model) randomized(d time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*m.rng.Float64()) * float64(d))
}

// batchRun returns a batch run of the node on an upstream that can be preempted, or nil.
func (n *modelNode) batchRun(id string) *modelRun {
	if n.nonPreemptible {
		return nil
	}
	for _, r := range n.running[id] {
		if r.batch && !r.ended {
			return r
		}
	}
	return nil
}

// itemDeadline is the time after submission within which items must be done.
const itemDeadline = 18 * time.Second

// submitJob submits a job of ten items to a random node and schedules the next job.
func (m *model) submitJob() {
	if m.params.itemsPerSecond <= 0 {
		return
	}
	m.after(m.nextInterval(m.params.itemsPerSecond/10), m.submitJob)
	node := m.nodes[m.rng.IntN(len(m.nodes))]
	if m.elapsed() < m.params.duration-itemDeadline {
		m.batchDue += 10
	}
	for range 10 {
		node.waitingItems = append(node.waitingItems, m.randomized(m.params.itemDuration))
	}
}

func (m *model) send(r *modelRun) {
	r.node.running[r.engine.id] = append(r.node.running[r.engine.id], r)
	r.engine.queue = append(r.engine.queue, r)
	m.admit(r.engine)
}

// admit gives the free slots of an engine to the runs in its queue.
func (m *model) admit(e *modelEngine) {
	for e.slotsInUse < e.slots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if r.ended {
			continue
		}
		e.slotsInUse++
		r.holdsSlot, r.admittedAt = true, m.now
		first := m.now.Add(m.params.firstEventAt(e, m.now)).Sub(r.arrivedAt)
		m.answer(r, e)
		if !r.batch {
			m.firsts = append(m.firsts, first)
			m.countZones(r, first)
			m.served[e.id]++
			switch onTime := first <= m.params.objective; {
			case onTime && r.retried:
				m.retriedOnTime++
			case onTime:
				m.onTime++
			default:
				m.late++
			}
		}
		m.after(time.Duration(float64(r.remaining)*e.slowness), func() { m.finish(r) })
	}
}

func (m *model) finish(r *modelRun) {
	if r.ended {
		return
	}
	m.recordRun(r)
	if !r.batch {
		for _, s := range []*State{r.node.state, m.hub} { // The hub is a node and has runs of its own.
			s.RecordRunTimes("s", m.params.firstEventAt(r.engine, r.admittedAt), m.now.Sub(r.arrivedAt), r.admittedAt != r.arrivedAt)
		}
	}
	if r.batch {
		m.batchDone++
	}
	m.end(r)
}

// preemptRun preempts a batch run. Its item waits again, with the remaining run time and another time to its first event.
func (m *model) preemptRun(r *modelRun) {
	left := r.remaining
	if r.holdsSlot {
		left -= time.Duration(float64(m.now.Sub(r.admittedAt))/r.engine.slowness) - m.params.firstEvent
	}
	m.end(r)
	r.node.waitingItems = append(r.node.waitingItems, min(left, r.remaining))
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
	r.node.state.EndRun(r.engine.id, r.batch, m.now)
	if r.holdsSlot {
		r.engine.slotsInUse--
	}
	m.admit(r.engine)
}

// exchange reports a node's load periodically, as the load exchange does. The answer takes half a millisecond each way.
func (m *model) exchange(n *modelNode) {
	m.after(m.params.exchangeInterval, func() { m.exchange(n) })
	m.report(n, func() {})
}

// report sends a node's load and demand to the hub, applies the answer and then calls afterAnswer.
func (m *model) report(n *modelNode, afterAnswer func()) {
	loads := n.state.OwnLoads(func(id string) (nonPreemptible int) {
		for _, r := range n.running[id] {
			if r.batch && n.nonPreemptible {
				nonPreemptible++
			}
		}
		return nonPreemptible
	})
	m.reports[n.name] = loads
	delete(m.grantsByNode, n.name)
	m.wants[n.name] = Want{
		Items: min(len(n.waitingItems), 64), Waiting: n.waitingForHub, Rate: m.nodeRate(n),
	}
	m.wants[n.name] = n.state.WithQueue(m.wants[n.name], "s", m.params.objective)
	m.hub.AddHubEvidence(n.evidence, m.now)
	n.evidence = map[string]outlier.Evidence{}
	slowness := m.hubSlowness()
	totals := map[string]Load{}
	for _, r := range m.reports {
		for id, l := range r {
			totals[id] = totals[id].Plus(l)
		}
	}
	outstanding := map[string]int{}
	for _, g := range m.grantsByNode {
		for id, k := range g {
			outstanding[id] += k
		}
	}
	var all Want
	for _, name := range slices.Sorted(maps.Keys(m.wants)) { // Sums of rates depend on their order.
		w := m.wants[name]
		all = all.Plus(w)
	}
	g := m.hub.Grants("s", m.wants[n.name], all, totals, outstanding, func(string) bool { return false }, m.now)
	m.grantsByNode[n.name] = g.Slots()
	m.after(time.Millisecond, func() {
		n.state.SetTotals(totals, loads, m.now)
		n.state.SetSlowness(slowness, m.now)
		n.state.SetGrants(g)
		runsToPreempt := n.state.RunsToPreempt(m.now, m.rng)
		for _, id := range slices.Sorted(maps.Keys(runsToPreempt)) {
			for k := runsToPreempt[id]; k > 0 && n.batchRun(id) != nil; k-- {
				m.preemptRun(n.batchRun(id))
			}
		}
		for len(n.waitingItems) > 0 {
			u, ok := n.state.ChooseForBatch("s", nil, m.now, m.rng)
			if !ok {
				break
			}
			remaining := n.waitingItems[0]
			n.waitingItems = n.waitingItems[1:]
			n.state.BeginRun(u.ID, true)
			m.send(&modelRun{node: n, engine: m.engines[u.ID], batch: true, arrivedAt: m.now, remaining: remaining})
		}
		afterAnswer()
	})
}
