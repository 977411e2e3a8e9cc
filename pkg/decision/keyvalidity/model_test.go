package keyvalidity

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// This model orders the events of some nodes and a store at random: removals of keys, lost links, freezes, restarts, lost hubs, late answers,
// clocks of different rates, configurations that can't be decoded, and nodes of an earlier build. Its nodes follow the rules of package mirror
// and use Copy as that does. Times are in milliseconds.

const (
	modelBound  = 5000
	modelNodes  = 6
	modelLength = 45000
	// soundFor is how long a sound path to the store must exist before a refusal counts.
	soundFor = 1500
)

// faults are wrong rules, which the model must find.
type faults struct {
	// atAnswer takes the moment of the answer in place of the beginning of the call, anyRevision confirms a copy that lacks changes,
	// unpublished counts a copy before it is in force, undecoded counts one that can't be decoded, stops uses a clock that stands still during a freeze.
	atAnswer, anyRevision, unpublished, undecoded, stops bool
}

type modelEvent struct {
	at, order int64
	node      *modelNode
	process   int
	run       func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// modelChange is a configuration that removes a key.
type modelChange struct {
	revision, at int64
	decodable    bool
}

type model struct {
	rng    *rand.Rand
	wrong  faults
	now    int64
	order  int64
	queue  modelQueue
	nodes  []*modelNode
	ranked []*modelNode
	// revision is that of the store, and changes are those of the configuration.
	revision int64
	changes  []modelChange
	// changed holds what runs at the next change.
	changed []func()
	// late and refused count late acceptances, and refusals although there was a sound path; accepted counts acceptances and lapsed other refusals.
	late, refused, accepted, lapsed int
}

type modelNode struct {
	m       *model
	id      int
	process int
	// offset and rate describe the clock; stopped is the time that a clock which stands still in freezes has missed.
	offset, rate float64
	stopped      int64
	frozenUntil  int64
	noStore      bool
	isolated     bool
	// changedAt is when a fault of this node last began or ended.
	changedAt int64
	// earlier is set for an earlier build, which sends no ages.
	earlier bool

	loaded, watching, mustWatch, listed bool
	session                             int
	brokenAt, uncoveredSince            int64
	object, revision, content, change   int64
	copy                                Copy
	table                               int64
	publishing                          bool
	followed                            *modelNode
	decided                             bool
	readFrom                            *modelNode
	readContent                         int64
	reading, lacks                      bool
	suspect                             [modelNodes]int64
}

func (m *model) after(n *modelNode, delay int64, run func()) {
	m.order++
	e := modelEvent{at: m.now + delay, order: m.order, node: n, run: run}
	if n != nil {
		e.process = n.process
	}
	heap.Push(&m.queue, e)
}

// latency is usually a few milliseconds.
func (m *model) latency() int64 {
	if m.rng.IntN(20) == 0 {
		return m.rng.Int64N(300)
	}
	return 1 + m.rng.Int64N(5)
}

func (m *model) run() {
	for len(m.queue) > 0 && m.now < modelLength {
		e := heap.Pop(&m.queue).(modelEvent)
		if n := e.node; n != nil {
			if n.process != e.process {
				continue
			}
			if n.frozenUntil > e.at {
				e.at = n.frozenUntil + m.rng.Int64N(4)
				heap.Push(&m.queue, e)
				continue
			}
		}
		m.now = e.at
		e.run()
	}
}

func (n *modelNode) clock() time.Duration {
	at := n.m.now
	if n.m.wrong.stops {
		at -= n.stopped
	}
	return time.Duration((n.offset + float64(at)*n.rate) * float64(time.Millisecond))
}

// configuration returns the latest configuration at a store revision.
func (m *model) configuration() modelChange { return m.changes[len(m.changes)-1] }

func (m *model) decodable(revision int64) bool {
	i := slices.IndexFunc(m.changes, func(c modelChange) bool { return c.revision == revision })
	return i >= 0 && m.changes[i].decodable
}

// write changes the configuration, or another object.
func (m *model) write(configuration bool) {
	m.revision++
	if configuration {
		m.changes = append(m.changes, modelChange{m.revision, m.now, m.rng.IntN(8) > 0})
		waiting := m.changed
		m.changed = nil
		for _, run := range waiting {
			run()
		}
	}
}

// callStore sends a call that the store answers with answer, which is called at the store and returns what happens at the node. lost is called
// after the timeout unless the answer came.
func (n *modelNode) callStore(wait, timeout, from int64, answer func() func(), lost func()) {
	m, done := n.m, false
	m.after(n, timeout, func() {
		if !done {
			done = true
			lost()
		}
	})
	if n.noStore {
		return
	}
	process := n.process
	reply := func() {
		if n.noStore || n.process != process {
			return
		}
		result := answer()
		m.after(n, m.latency(), func() {
			if !done {
				done = true
				result()
			}
		})
	}
	m.after(nil, m.latency(), func() {
		if wait == 0 || m.configuration().revision > from {
			reply()
			return
		}
		replied := false
		once := func() {
			if !replied {
				replied = true
				reply()
			}
		}
		m.changed = append(m.changed, once)
		m.after(nil, wait, once)
	})
}

// callNode sends a call to another node.
func (n *modelNode) callNode(to *modelNode, timeout int64, answer func() func(), lost func()) {
	m, done := n.m, false
	m.after(n, timeout, func() {
		if !done {
			done = true
			lost()
		}
	})
	if n.isolated || to.isolated {
		return
	}
	m.after(to, m.latency(), func() {
		result := answer()
		if n.isolated || to.isolated {
			return
		}
		m.after(n, m.latency(), func() {
			if !done {
				done = true
				result()
			}
		})
	})
}

func (n *modelNode) begun(at time.Duration) time.Duration {
	if n.m.wrong.atAnswer {
		return n.clock()
	}
	return at
}

func (n *modelNode) confirm(k Known) bool {
	if !n.loaded || k.AsOf <= 0 {
		return true
	}
	if n.m.wrong.anyRevision {
		k.Changed = 0
	}
	return n.copy.Confirm(k, n.revision, n.content)
}

// replace takes over a list.
func (n *modelNode) replace(object, revision int64, k Known) bool {
	if n.loaded && revision < n.revision {
		return false
	}
	n.object, n.revision, n.content, n.change, n.loaded = object, revision, max(n.content+1, revision), revision, true
	n.confirm(k)
	n.publish()
	return true
}

// publish puts the copy in force, which takes a while.
func (n *modelNode) publish() {
	if n.publishing {
		return
	}
	n.publishing = true
	object, content, asOf := n.object, n.content, n.copy.Known().AsOf
	if n.m.wrong.unpublished {
		n.copy.Passed(content, asOf, true, n.content)
	}
	n.m.after(n, n.m.rng.Int64N(3), func() {
		decodable := n.m.decodable(object)
		if decodable {
			n.table = max(n.table, object)
		}
		n.copy.Passed(content, asOf, decodable && n.table == object || n.m.wrong.undecoded, n.content)
		n.publishing = false
		if n.content != content {
			n.publish()
		}
	})
}

// watch begins a session unless one is in progress.
func (n *modelNode) watch() {
	n.session++
	n.watchSession(n.session, 50)
}

func (n *modelNode) watchSession(session int, pause int64) {
	if n.session != session || !n.mustWatch {
		return
	}
	retry := func() {
		if n.watching {
			n.watching, n.brokenAt, pause = false, n.m.now, 50
		}
		if n.isOld() {
			pause = min(pause, 350)
		}
		n.m.after(n, pause+n.m.rng.Int64N(pause/2), func() { n.watchSession(session, min(2*pause, 500)) })
	}
	if n.listed {
		n.poll(session, true, retry)
		return
	}
	begun := n.clock()
	timeout := int64(1200)
	if n.loaded && n.isOld() {
		timeout = 700
	}
	n.callStore(0, timeout, 0, func() func() {
		object, revision := n.m.configuration().revision, n.m.revision
		return func() {
			n.listed = true
			if n.session == session {
				n.watching = true
			}
			n.replace(object, revision, Known{n.begun(begun), revision})
			n.poll(session, true, retry)
		}
	}, retry)
}

func (n *modelNode) poll(session int, first bool, lost func()) {
	if n.session != session || !n.mustWatch {
		return
	}
	wait, timeout := int64(700), int64(1200)
	if first {
		if wait, timeout = 200, 700; n.isOld() {
			wait = 20
		}
	}
	begun, from := n.clock(), n.revision
	n.callStore(wait, timeout, from, func() func() {
		var events []int64
		for _, c := range n.m.changes {
			if c.revision > from {
				events = append(events, c.revision)
			}
		}
		revision := n.m.revision
		return func() {
			if n.session != session {
				return
			}
			for _, e := range events {
				if e < n.object {
					continue
				}
				n.object, n.revision = e, max(n.revision, e)
				n.change, n.content = max(n.change, e), max(n.content+1, n.revision)
			}
			n.revision, n.watching = max(n.revision, revision), true
			n.confirm(Known{n.begun(begun), n.change})
			if len(events) > 0 {
				n.m.after(n, 5, n.publish)
			}
			n.poll(session, false, lost)
		}
	}, lost)
}

func (n *modelNode) setMustWatch(must bool) {
	if must == n.mustWatch {
		return
	}
	n.mustWatch = must
	if must {
		n.watch()
	} else {
		n.session++
		n.watching, n.brokenAt = false, n.m.now
	}
}

// exchange reports to the hub, again and again.
func (n *modelNode) exchange() {
	m := n.m
	next := func() { m.after(n, 50+m.rng.Int64N(280), n.exchange) }
	var hub *modelNode
	for _, r := range m.ranked {
		if r == n || n.suspect[r.id] <= m.now {
			hub = r
			break
		}
	}
	if hub == n {
		n.followed, n.decided = nil, true
		n.setMustWatch(true)
		next()
		return
	}
	begun := n.clock()
	n.callNode(hub, 400, func() func() {
		age, covered, content := AgeOf(hub.copy.Known(), hub.clock()), hub.watching && hub.loaded, hub.content
		return func() {
			n.answered(hub, covered, content, age, begun)
			next()
		}
	}, func() {
		n.suspect[hub.id] = m.now + 2000
		n.uncovered()
		n.exchange()
	})
}

func (n *modelNode) uncovered() {
	if n.uncoveredSince == 0 {
		n.uncoveredSince = n.m.now
	}
	limit := int64(350)
	if !n.decided {
		limit = 1000
	}
	if n.m.now-n.uncoveredSince >= limit {
		n.followed, n.decided = nil, true
		n.setMustWatch(true)
	}
}

// answered takes over the hub's answer.
func (n *modelNode) answered(hub *modelNode, covered bool, content int64, age Age, begun time.Duration) {
	if !hub.earlier {
		n.lacks = !n.confirm(KnownFrom(age, n.begun(begun)))
	}
	if !covered {
		n.uncovered()
		return
	}
	n.uncoveredSince, n.followed, n.decided = 0, hub, true
	n.setMustWatch(hub.earlier)
	if n.readFrom == hub && n.readContent == content && !n.lacks || n.watching && n.mustWatch || n.reading {
		return
	}
	n.read(hub, content)
}

// read reads the copy of another node.
func (n *modelNode) read(from *modelNode, content int64) {
	n.reading = true
	begun, any := n.clock(), !n.loaded
	n.callNode(from, 1000, func() func() {
		age, usable := AgeOf(from.copy.Known(), from.clock()), from.loaded && (from.watching || any)
		if from.earlier {
			age = Age{Milliseconds: -1}
		}
		object, revision := from.object, from.revision
		return func() {
			n.reading = false
			known := KnownFrom(age, n.begun(begun))
			if !usable || revision < n.revision {
				n.confirm(known)
				return
			}
			if n.watching && n.mustWatch {
				return
			}
			if n.replace(object, revision, known) && content >= 0 {
				n.readFrom, n.readContent, n.lacks = from, content, false
			}
		}
	}, func() { n.reading = false })
}
