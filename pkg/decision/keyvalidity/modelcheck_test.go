package keyvalidity

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newModel(seed uint64, wrong faults) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), wrong: wrong, revision: 1, changes: []modelChange{{1, 0, true}}}
	earlier := -1
	if m.rng.IntN(4) == 0 {
		earlier = m.rng.IntN(modelNodes)
	}
	for id := range modelNodes {
		n := &modelNode{m: m, id: id, offset: float64(60000 + m.rng.IntN(1e6)), rate: 0.98 + 0.04*m.rng.Float64(), earlier: id == earlier}
		m.nodes = append(m.nodes, n)
	}
	for _, i := range m.rng.Perm(modelNodes) {
		m.ranked = append(m.ranked, m.nodes[i])
	}
	for _, n := range m.nodes {
		m.after(n, m.rng.Int64N(300), n.start)
	}
	m.after(nil, 3000, m.disturb)
	m.after(nil, 3000, m.writes)
	m.after(nil, 20, m.requests)
	return m
}

func (n *modelNode) start() {
	n.brokenAt = n.m.now
	n.exchange()
	n.m.after(n, 500, n.readPeers)
	n.confirmOld()
}

// writes changes objects at random.
func (m *model) writes() {
	m.write(m.rng.IntN(2) == 0)
	m.after(nil, m.rng.Int64N(1500), m.writes)
}

// disturb begins faults at random, which end by themselves.
func (m *model) disturb() {
	m.after(nil, m.rng.Int64N(1500), m.disturb)
	n := m.nodes[m.rng.IntN(modelNodes)]
	if m.rng.IntN(3) == 0 {
		n = m.ranked[0] // The hub.
	}
	length := 100 + m.rng.Int64N(2000)
	if m.rng.IntN(3) == 0 {
		length = 3000 + m.rng.Int64N(7000)
	}
	n.changedAt = m.now
	ends := func(end func()) {
		m.after(nil, length, func() {
			end()
			n.changedAt = m.now
		})
	}
	switch m.rng.IntN(6) {
	case 0, 1:
		n.noStore = true
		ends(func() { n.noStore = false })
	case 2:
		n.isolated = true
		n.noStore = n.noStore || m.rng.IntN(2) == 0
		ends(func() { n.isolated, n.noStore = false, false })
	case 3:
		if n.frozenUntil > m.now {
			return
		}
		n.frozenUntil = m.now + length
		n.stopped += length
		ends(func() {})
		m.after(n, length, n.resume)
	case 4:
		*n = modelNode{m: m, id: n.id, process: n.process + 1, offset: n.offset, rate: n.rate, earlier: n.earlier, noStore: n.noStore, isolated: n.isolated, changedAt: m.now}
		m.after(n, m.rng.Int64N(500), n.start)
	default:
		if m.rng.IntN(3) > 0 {
			return
		}
		for _, other := range m.nodes { // The store is away.
			other.noStore, other.changedAt = true, m.now
			m.after(nil, length, func() { other.noStore, other.changedAt = false, m.now })
		}
	}
}

// resume reads the copy again after a freeze.
func (n *modelNode) resume() {
	switch {
	case n.mustWatch:
		n.watching, n.brokenAt = false, n.m.now
		n.watch()
	case n.followed != nil && n.loaded:
		n.read(n.followed, -1)
	}
}

// requests lets each node that runs decide on a request that was sent just now.
func (m *model) requests() {
	m.after(nil, 20, m.requests)
	for _, n := range m.nodes {
		if n.frozenUntil > m.now || n.table == 0 {
			continue
		}
		if !Valid(AgeAt(n.copy.InForceUpTo(), n.clock()), modelBound*time.Millisecond) {
			if m.soundPath(n) {
				m.refused++
			} else {
				m.lapsed++
			}
			continue
		}
		m.accepted++
		for _, c := range m.changes {
			if c.revision > n.table && c.at < m.now-modelBound {
				m.late++
			}
		}
	}
}

// soundPath reports whether nothing kept a node from the store lately, nor those through which it gets there. A configuration that can't be decoded
// keeps all nodes from accepting keys.
func (m *model) soundPath(n *modelNode) bool {
	for _, c := range m.changes {
		next := m.now
		for _, later := range m.changes {
			if later.revision > c.revision && later.decodable {
				next = later.at
				break
			}
		}
		if !c.decodable && next > m.now-soundFor {
			return false
		}
	}
	sound := func(n *modelNode) bool { return n.frozenUntil <= m.now && n.changedAt < m.now-soundFor }
	if !sound(n) {
		return false
	}
	if !n.noStore {
		return true
	}
	if n.isolated {
		return false
	}
	// Without a way of its own a node depends on the others.
	for _, other := range m.nodes {
		if !sound(other) || other.isolated {
			return false
		}
	}
	for _, other := range m.nodes {
		if !other.noStore {
			return true
		}
	}
	return false
}

func check(seeds int, wrong faults) (late, refused, accepted, lapsed int) {
	for seed := range seeds {
		m := newModel(uint64(seed), wrong)
		m.run()
		late, refused, accepted, lapsed = late+m.late, refused+m.refused, accepted+m.accepted, lapsed+m.lapsed
	}
	return late, refused, accepted, lapsed
}

// Guards against a removed key that works for longer than the bound after any order of events, and against refusals although there is a way
// to the store.
func TestNoKeyIsAcceptedLateAndNoneRefusedInVain(t *testing.T) {
	late, refused, accepted, lapsed := check(500, faults{})
	t.Logf("500 seeds: %d accepted, %d late; %d refused without a sound path, %d with one", accepted, late, lapsed, refused)
	assert.Equal(t, late, 0)
	assert.Equal(t, refused, 0)
	assert.Assert(t, lapsed > 1000, "the model has too few lapses to show anything")
}

// Guards against a model that would not notice wrong rules.
func TestModelFindsWrongRules(t *testing.T) {
	for name, wrong := range map[string]faults{
		"moment of the answer": {atAnswer: true}, "copy lacks changes": {anyRevision: true}, "before it is in force": {unpublished: true},
		"not decoded": {undecoded: true}, "clock that stops in freezes": {stops: true},
	} {
		late, seed := 0, uint64(0)
		for ; late == 0 && seed < 500; seed++ {
			m := newModel(seed, wrong)
			m.run()
			late = m.late
		}
		t.Logf("%s: %d late acceptances with the seed %d", name, late, seed-1)
		assert.Assert(t, late > 0, name)
	}
}
