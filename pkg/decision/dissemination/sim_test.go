package dissemination_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/decision/dissemination"
)

// Sizes in bytes: of messages as BenchmarkMessageBytes of package confsync reports them, of stored objects in the
// store's JSON with base64, and of TCP/IP headers.
const (
	segment         = 52
	exchangeRequest = 83
	exchangeReply   = 73
	pushRequest     = 415
	pushReply       = 39
	versionsRequest = 96
	reportRequest   = 49
	emptyReply      = 34
	headEvent       = 10_068*4/3 + 60
	leaseObject     = 272*4/3 + 60
	wholePayload    = 62_645
)

// Times of the model. Cross-zone latency is that between regions, which most zones are apart.
const (
	sameZone       = 500 * time.Microsecond
	crossZone      = 25 * time.Millisecond
	sendTime       = 100 * time.Microsecond
	installTime    = 20 * time.Millisecond
	storeLatency   = 5 * time.Millisecond
	storePerSecond = 2000
	callTimeout    = time.Second
	detectTime     = 5500 * time.Millisecond
	watchRetry     = 5 * time.Second
	leaseRead      = 800 * time.Millisecond
	leaseReadMin   = 10 * time.Second
	pushGrace      = 200 * time.Millisecond
	faultTime      = 60 * time.Second
)

// event is something that happens at a time of the simulation.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// scenario says what goes wrong at the time of the change, for faultTime.
type scenario struct {
	name                       string
	dead                       float64
	pausedRelay, outage, apart bool
}

// sim passes messages between members of one variant.
type sim struct {
	scenario
	variant    string
	zones      int
	random     *rand.Rand
	now        time.Duration
	queue      events
	seq        int
	names      []string
	index      map[string]int
	zone       []int
	view       dissemination.View
	peers      [][]string
	spread     []*dissemination.Spread
	version    []int
	fetching   []int
	reached    []time.Duration
	bytes      []int
	busy       []time.Duration
	silent     []bool
	faulty     bool
	storeFree  time.Duration
	storeCalls int
	// origin is the node that accepted the last change.
	origin   int
	reported map[[2]int]bool
}

func newSim(variant string, n, zones int, sc scenario, seed uint64) *sim {
	s := &sim{
		scenario: sc, variant: variant, zones: zones, random: rand.New(rand.NewPCG(seed, 1)), index: map[string]int{},
		version: make([]int, n), fetching: make([]int, n), reached: make([]time.Duration, n), bytes: make([]int, n),
		busy: make([]time.Duration, n), silent: make([]bool, n), reported: map[[2]int]bool{},
	}
	for i := range n {
		name := fmt.Sprintf("node-%d-%03d", seed, i)
		s.names, s.index[name], s.zone = append(s.names, name), i, append(s.zone, i%zones)
		s.spread = append(s.spread, dissemination.NewSpread())
	}
	s.updateView(nil)
	for i := range n {
		s.every(time.Second, func() { s.second(i) })
		if variant == "tree" {
			s.every(5*time.Second, func() { s.partner(i) })
			s.every(max(leaseReadMin, leaseRead*time.Duration(n/zones)), func() { s.readLeases(i) })
		}
	}
	return s
}

// updateView makes the view of the members that are not removed.
func (s *sim) updateView(removed []bool) {
	var members []dissemination.Member
	for i, name := range s.names {
		if removed == nil || !removed[i] {
			members = append(members, dissemination.Member{Name: name, AvailabilityZone: fmt.Sprint("zone-", s.zone[i])})
		}
	}
	s.view = dissemination.NewView(members)
	s.peers = make([][]string, len(s.names))
	for i, name := range s.names {
		s.peers[i] = s.view.Peers(name)
	}
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

func (s *sim) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.after(d*9/10+time.Duration(s.random.Int64N(int64(d/5))), again)
	}
	s.after(time.Duration(s.random.Int64N(int64(d))), again)
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func (s *sim) cut(a, b int) bool {
	return s.faulty && s.apart && s.zone[a] != s.zone[b] && (s.zone[a] < 2 || s.zone[b] < 2)
}

// call sends a request; ok runs at the receiver, and failed at the sender when no answer came in time.
func (s *sim) call(from, to, request, reply int, ok, failed func()) {
	if s.silent[from] {
		return
	}
	s.busy[from] = max(s.busy[from], s.now) + sendTime
	wait := s.busy[from] - s.now
	s.bytes[from] += request + 2*segment
	if s.silent[to] || s.cut(from, to) {
		s.after(wait+callTimeout, failed)
		return
	}
	s.bytes[from] += reply + segment
	s.bytes[to] += request + reply + 3*segment
	latency := crossZone
	if s.zone[from] == s.zone[to] {
		latency = sameZone
	}
	s.after(wait+latency, ok)
}

// store makes a call to the store, which serves calls at a bounded rate.
func (s *sim) store(node, size int, done func()) {
	if s.silent[node] {
		return
	}
	s.storeCalls++
	s.bytes[node] += 200
	if s.faulty && s.outage {
		return
	}
	s.bytes[node] += size
	s.storeFree = max(s.storeFree, s.now) + time.Second/storePerSecond
	s.after(s.storeFree-s.now+storeLatency, done)
}

// install brings a version into force on a node and then runs next, unless the node has it.
func (s *sim) install(node, version int, next func()) bool {
	if s.silent[node] || max(s.version[node], s.fetching[node]) >= version {
		return false
	}
	s.fetching[node] = version
	s.after(installTime, func() {
		if s.version[node] < version {
			s.version[node], s.reached[node] = version, s.now
			next()
		}
	})
	return true
}

func nothing() {}

// exchange compares versions; the node that is behind pulls.
func (s *sim) exchange(a, b int) {
	s.call(a, b, exchangeRequest, exchangeReply, func() {
		behind, ahead := a, b
		if s.version[a] > s.version[b] {
			behind, ahead = b, a
		}
		if version := s.version[ahead]; version > max(s.version[behind], s.fetching[behind]) {
			s.call(behind, ahead, exchangeRequest, pushRequest, func() { s.install(behind, version, nothing) }, nothing)
		}
	}, nothing)
}

// second is what a node does each second.
func (s *sim) second(i int) {
	switch s.variant {
	case "gossip":
		if j := s.random.IntN(len(s.names)); j != i {
			s.exchange(i, j)
		}
	case "watch":
		if s.faulty && s.outage && s.random.IntN(int(watchRetry/time.Second)) == 0 {
			s.store(i, 0, nothing)
		}
	case "tree":
		peers := s.peers[i]
		if len(peers) > 0 {
			next := (int(s.now/time.Second)%2 + s.position(peers, i)) % len(peers)
			s.exchange(i, s.index[peers[next]])
		}
		s.report(i)
	}
}

func (s *sim) position(peers []string, i int) int {
	for k, p := range peers {
		if p > s.names[i] {
			return k
		}
	}
	return 0
}

// report tells the reporter of the zone about a new version; it passes a summary on a few seconds later.
func (s *sim) report(i int) {
	v := s.version[i]
	if v == 0 || s.reported[[2]int{i, v}] {
		return
	}
	s.reported[[2]int{i, v}] = true
	to := s.index[s.view.Leads(fmt.Sprint("zone-", s.zone[i]), dissemination.LeadReporter)[0]]
	if to != i {
		s.call(i, to, reportRequest, emptyReply, nothing, nothing)
		return
	}
	id := uint64(v)<<32 | uint64(s.zone[i])<<16 | 1
	s.after(3*time.Second, func() { s.summary(i, id, s.spread[i].Originate(s.view, s.names[i], id, dissemination.LeadReporter)) })
}

// summary passes a report of versions on.
func (s *sim) summary(from int, id uint64, steps []dissemination.Step) {
	for _, step := range steps {
		to := s.index[step.To]
		s.call(from, to, versionsRequest, emptyReply, func() {
			s.summary(to, id, s.spread[to].Forward(s.view, step.To, id, step.Route))
		}, func() { s.summary(from, id, s.view.Adopt(s.names[from], step)) })
	}
}

func (s *sim) partner(i int) {
	if p := s.view.Partner(s.names[i], s.random); p != "" {
		s.exchange(i, s.index[p])
	}
}

func (s *sim) readLeases(i int) {
	if s.view.ReadsLeases(s.names[i]) {
		s.store(i, leaseObject*len(s.names)/s.zones, nothing)
	}
}

// push sends a version along steps of the tree. A node that has it already passes it on at once.
func (s *sim) push(from, version int, steps []dissemination.Step) {
	for _, step := range steps {
		to := s.index[step.To]
		s.call(from, to, pushRequest, pushReply, func() {
			forward := func() {
				s.push(to, version, s.spread[to].Forward(s.view, step.To, uint64(version), step.Route))
			}
			if !s.install(to, version, forward) {
				forward()
			}
		}, func() { s.push(from, version, s.view.Adopt(s.names[from], step)) })
	}
}

// change has a node accept a version, with the faults of the scenario setting in at the same moment.
func (s *sim) change(version int) (from int) {
	from = s.random.IntN(len(s.names))
	s.origin = from
	s.setFaults(from)
	s.version[from], s.reached[from] = version, s.now
	if s.variant == "tree" {
		s.push(from, version, s.spread[from].Originate(s.view, s.names[from], uint64(version), dissemination.LeadHead))
	}
	if !(s.faulty && s.outage) {
		s.notify(version)
	}
	return from
}

// notify reports a version through the watches that are open.
func (s *sim) notify(version int) {
	for i := range s.names {
		rank := s.view.RelayRank(s.names[i])
		if s.variant == "gossip" || s.variant == "tree" && rank < 0 {
			continue
		}
		s.storeFree = max(s.storeFree, s.now) + time.Second/storePerSecond
		s.after(s.storeFree-s.now+storeLatency, func() { s.watched(i, version, rank) })
	}
}

// watched handles a watch event. A relay that the push reached first needs no payload from the store.
func (s *sim) watched(i, version, rank int) {
	if !s.silent[i] {
		s.bytes[i] += headEvent
	}
	if s.variant == "watch" {
		s.store(i, wholePayload, func() { s.install(i, version, nothing) })
		return
	}
	start := func() {
		s.after(time.Duration(rank)*time.Second, func() {
			s.push(i, version, s.spread[i].FromStore(s.view, s.names[i], uint64(version)))
		})
	}
	s.after(pushGrace, func() {
		switch {
		case max(s.version[i], s.fetching[i]) >= version:
			start()
		case s.cut(i, s.origin) || s.silent[s.origin]:
			s.store(i, wholePayload, func() { s.install(i, version, start) })
		default:
			s.call(i, s.origin, exchangeRequest, pushRequest, func() { s.install(i, version, start) }, nothing)
		}
	})
}

// setFaults begins the scenario's faults; the node that accepts the change stays up.
func (s *sim) setFaults(from int) {
	if s.scenario == (scenario{name: s.name}) {
		return
	}
	s.faulty = true
	for i, name := range s.names {
		relay := s.pausedRelay && s.zone[i] == 0 && s.view.RelayRank(name) == 0
		s.silent[i] = i != from && (relay || s.random.Float64() < s.dead)
	}
	s.after(detectTime, func() { s.updateView(s.silent) })
	s.after(faultTime, func() {
		outage := s.outage
		s.faulty = false
		if outage {
			s.notify(s.version[from])
		}
	})
}
