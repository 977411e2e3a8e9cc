package dissemination_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/decision/dissemination"
)

// Sizes in bytes: messages as reported by BenchmarkMessageBytes of package confsync, stored objects in the store's JSON
// with base64, and the TCP/IP headers of a segment.
const (
	headerBytes     = 52
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

// Times of the model. Cross-zone latency is that between regions, since most pairs of zones are in different regions.
const (
	sameZoneLatency      = 500 * time.Microsecond
	crossZoneLatency     = 25 * time.Millisecond
	sendTime             = 100 * time.Microsecond
	installTime          = 20 * time.Millisecond
	storeLatency         = 5 * time.Millisecond
	storePerSecond       = 2000
	callTimeout          = time.Second
	detectionTime        = 5500 * time.Millisecond
	watchRetry           = 5 * time.Second
	leaseReadPerMember   = 800 * time.Millisecond
	minLeaseReadInterval = 10 * time.Second
	watchDelay           = 200 * time.Millisecond
	faultDuration        = 60 * time.Second
)

// event is an action at a time of the simulation; seq orders events of the same time.
type event struct {
	at     time.Duration
	seq    int
	action func()
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

// scenario describes the faults that begin at the time of the change and last faultDuration.
type scenario struct {
	name                                  string
	deadFraction                          float64
	pausedRelay, storeOutage, partitioned bool
}

// sim simulates the messages between members for one variant of dissemination: "watch", "gossip" or "tree". Slices of
// sim hold one element per member.
type sim struct {
	scenario
	variant string
	zones   int
	random  *rand.Rand
	now     time.Duration
	queue   events
	seq     int
	names   []string
	index   map[string]int
	zone    []int
	view    dissemination.View
	peers   [][]string
	senders []*dissemination.Forwarder
	version []int
	// fetching is the version that a member is installing or has installed last.
	fetching    []int
	installedAt []time.Duration
	bytes       []int
	// sendingUntil is when a member has sent all messages queued so far.
	sendingUntil []time.Duration
	unresponsive []bool
	faultsActive bool
	// storeFreeAt is when the store has served all calls made so far.
	storeFreeAt time.Duration
	storeCalls  int
	// origin is the node that accepted the last change.
	origin int
	// reported holds the pairs of node and version that the node has reported.
	reported map[[2]int]bool
}

func newSim(variant string, n, zones int, sc scenario, seed uint64) *sim {
	s := &sim{
		scenario: sc, variant: variant, zones: zones, random: rand.New(rand.NewPCG(seed, 1)), index: map[string]int{},
		version: make([]int, n), fetching: make([]int, n), installedAt: make([]time.Duration, n), bytes: make([]int, n),
		sendingUntil: make([]time.Duration, n), unresponsive: make([]bool, n), reported: map[[2]int]bool{},
	}
	for i := range n {
		name := fmt.Sprintf("node-%d-%03d", seed, i)
		s.names, s.index[name], s.zone = append(s.names, name), i, append(s.zone, i%zones)
		s.senders = append(s.senders, dissemination.NewForwarder())
	}
	s.updateView(nil)
	for i := range n {
		s.every(time.Second, func() { s.everySecond(i) })
		if variant == "tree" {
			s.every(5*time.Second, func() { s.exchangeWithPartner(i) })
			s.every(max(minLeaseReadInterval, leaseReadPerMember*time.Duration(n/zones)), func() { s.readLeases(i) })
		}
	}
	return s
}

// updateView sets the view to the members that are not removed.
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

// after schedules action to run after d.
func (s *sim) after(d time.Duration, action func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, action})
}

// every runs action repeatedly, at intervals of d with up to 10 % of jitter.
func (s *sim) every(d time.Duration, action func()) {
	var again func()
	again = func() {
		action()
		s.after(d*9/10+time.Duration(s.random.Int64N(int64(d/5))), again)
	}
	s.after(time.Duration(s.random.Int64N(int64(d))), again)
}

// run simulates all events up to the given time.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.action()
	}
	s.now = until
}

// separated reports whether the network partition of the scenario separates two nodes: it cuts off zones 0 and 1
// from each other and from all others.
func (s *sim) separated(a, b int) bool {
	return s.faultsActive && s.partitioned && s.zone[a] != s.zone[b] && (s.zone[a] < 2 || s.zone[b] < 2)
}

// call sends a request. ok runs when it reaches the receiver, failed at the sender if no answer came in time.
func (s *sim) call(from, to, request, reply int, ok, failed func()) {
	if s.unresponsive[from] {
		return
	}
	s.sendingUntil[from] = max(s.sendingUntil[from], s.now) + sendTime
	wait := s.sendingUntil[from] - s.now
	s.bytes[from] += request + 2*headerBytes
	if s.unresponsive[to] || s.separated(from, to) {
		s.after(wait+callTimeout, failed)
		return
	}
	s.bytes[from] += reply + headerBytes
	s.bytes[to] += request + reply + 3*headerBytes
	latency := crossZoneLatency
	if s.zone[from] == s.zone[to] {
		latency = sameZoneLatency
	}
	s.after(wait+latency, ok)
}

// callStore makes a call to the store, which serves calls at a limited rate, and runs done after the answer. There is
// none during an outage.
func (s *sim) callStore(node, size int, done func()) {
	if s.unresponsive[node] {
		return
	}
	s.storeCalls++
	s.bytes[node] += 200
	if s.faultsActive && s.storeOutage {
		return
	}
	s.bytes[node] += size
	s.storeFreeAt = max(s.storeFreeAt, s.now) + time.Second/storePerSecond
	s.after(s.storeFreeAt-s.now+storeLatency, done)
}

// install puts a version into force on a node and then runs next. It returns false if the node already has this version
// or a newer one, is fetching one, or is unresponsive.
func (s *sim) install(node, version int, next func()) bool {
	if s.unresponsive[node] || max(s.version[node], s.fetching[node]) >= version {
		return false
	}
	s.fetching[node] = version
	s.after(installTime, func() {
		if s.version[node] < version {
			s.version[node], s.installedAt[node] = version, s.now
			next()
		}
	})
	return true
}

func noop() {}

// exchange compares the versions of two nodes; the one with the older version fetches the other's.
func (s *sim) exchange(a, b int) {
	s.call(a, b, exchangeRequest, exchangeReply, func() {
		behind, ahead := a, b
		if s.version[a] > s.version[b] {
			behind, ahead = b, a
		}
		if version := s.version[ahead]; version > max(s.version[behind], s.fetching[behind]) {
			s.call(behind, ahead, exchangeRequest, pushRequest, func() { s.install(behind, version, noop) }, noop)
		}
	}, noop)
}

// everySecond runs the periodic work of a node in each variant.
func (s *sim) everySecond(i int) {
	switch s.variant {
	case "gossip":
		if j := s.random.IntN(len(s.names)); j != i {
			s.exchange(i, j)
		}
	case "watch":
		if s.faultsActive && s.storeOutage && s.random.IntN(int(watchRetry/time.Second)) == 0 {
			s.callStore(i, 0, noop)
		}
	case "tree":
		peers := s.peers[i]
		if len(peers) > 0 {
			next := (int(s.now/time.Second)%2 + s.position(peers, i)) % len(peers)
			s.exchange(i, s.index[peers[next]])
		}
		s.reportVersion(i)
	}
}

// position returns the index of the first peer whose name sorts after that of node i.
func (s *sim) position(peers []string, i int) int {
	for k, p := range peers {
		if p > s.names[i] {
			return k
		}
	}
	return 0
}

// reportVersion reports a new version to the reporter of the zone, which distributes a summary 3 s later.
func (s *sim) reportVersion(i int) {
	v := s.version[i]
	if v == 0 || s.reported[[2]int{i, v}] {
		return
	}
	s.reported[[2]int{i, v}] = true
	to := s.index[s.view.Leads(fmt.Sprint("zone-", s.zone[i]), dissemination.LeadReporter)[0]]
	if to != i {
		s.call(i, to, reportRequest, emptyReply, noop, noop)
		return
	}
	id := uint64(v)<<32 | uint64(s.zone[i])<<16 | 1
	s.after(3*time.Second, func() { s.publish(i, id, s.senders[i].Originate(s.view, s.names[i], id, dissemination.LeadReporter)) })
}

// publish sends a summary of versions along steps of the tree.
func (s *sim) publish(from int, id uint64, steps []dissemination.Step) {
	for _, step := range steps {
		to := s.index[step.To]
		s.call(from, to, versionsRequest, emptyReply, func() {
			s.publish(to, id, s.senders[to].Forward(s.view, step.To, id, step.Route))
		}, func() { s.publish(from, id, s.view.ReplaceReceiver(s.names[from], step)) })
	}
}

func (s *sim) exchangeWithPartner(i int) {
	if p := s.view.ExchangePartner(s.names[i], s.random); p != "" {
		s.exchange(i, s.index[p])
	}
}

func (s *sim) readLeases(i int) {
	if s.view.ReadsLeases(s.names[i]) {
		s.callStore(i, leaseObject*len(s.names)/s.zones, noop)
	}
}

// push sends a version along steps of the tree. A node that already has it forwards it at once.
func (s *sim) push(from, version int, steps []dissemination.Step) {
	for _, step := range steps {
		to := s.index[step.To]
		s.call(from, to, pushRequest, pushReply, func() {
			forward := func() {
				s.push(to, version, s.senders[to].Forward(s.view, step.To, uint64(version), step.Route))
			}
			if !s.install(to, version, forward) {
				forward()
			}
		}, func() { s.push(from, version, s.view.ReplaceReceiver(s.names[from], step)) })
	}
}

// acceptChange has a random node accept a version at the moment when the faults of the scenario begin.
func (s *sim) acceptChange(version int) (from int) {
	from = s.random.IntN(len(s.names))
	s.origin = from
	s.setFaults(from)
	s.version[from], s.installedAt[from] = version, s.now
	if s.variant == "tree" {
		s.push(from, version, s.senders[from].Originate(s.view, s.names[from], uint64(version), dissemination.LeadHead))
	}
	if !(s.faultsActive && s.storeOutage) {
		s.notify(version)
	}
	return from
}

// notify sends a version through the open watches of the store: all nodes' for "watch", the relays' for "tree".
func (s *sim) notify(version int) {
	for i := range s.names {
		rank := s.view.RelayRank(s.names[i])
		if s.variant == "gossip" || s.variant == "tree" && rank < 0 {
			continue
		}
		s.storeFreeAt = max(s.storeFreeAt, s.now) + time.Second/storePerSecond
		s.after(s.storeFreeAt-s.now+storeLatency, func() { s.handleWatchEvent(i, version, rank) })
	}
}

// handleWatchEvent handles a watch event. A relay waits for watchDelay, since it need not read the payload from the store
// if the push reaches it first.
func (s *sim) handleWatchEvent(i, version, rank int) {
	if !s.unresponsive[i] {
		s.bytes[i] += headEvent
	}
	if s.variant == "watch" {
		s.callStore(i, wholePayload, func() { s.install(i, version, noop) })
		return
	}
	start := func() {
		s.after(time.Duration(rank)*time.Second, func() {
			s.push(i, version, s.senders[i].OriginateFromStore(s.view, s.names[i], uint64(version)))
		})
	}
	s.after(watchDelay, func() {
		switch {
		case max(s.version[i], s.fetching[i]) >= version:
			start()
		case s.separated(i, s.origin) || s.unresponsive[s.origin]:
			s.callStore(i, wholePayload, func() { s.install(i, version, start) })
		default:
			s.call(i, s.origin, exchangeRequest, pushRequest, func() { s.install(i, version, start) }, noop)
		}
	})
}

// setFaults begins the scenario's faults and schedules their detection and end. The node that accepts the change stays
// responsive.
func (s *sim) setFaults(from int) {
	if s.scenario == (scenario{name: s.name}) {
		return
	}
	s.faultsActive = true
	for i, name := range s.names {
		relay := s.pausedRelay && s.zone[i] == 0 && s.view.RelayRank(name) == 0
		s.unresponsive[i] = i != from && (relay || s.random.Float64() < s.deadFraction)
	}
	s.after(detectionTime, func() { s.updateView(s.unresponsive) })
	s.after(faultDuration, func() {
		outage := s.storeOutage
		s.faultsActive = false
		if outage {
			s.notify(s.version[from])
		}
	})
}
