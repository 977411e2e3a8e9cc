package keyvalidity

import (
	"time"
)

// isOld reports whether the copy is above 0.6 of the bound.
func (n *modelNode) isOld() bool {
	return AgeAt(n.copy.InForceUpTo(), n.clock()) > 3*time.Second
}

// confirmOld reads the store while the copy is old and the node follows another one.
func (n *modelNode) confirmOld() {
	m := n.m
	if !n.loaded || n.mustWatch || !n.isOld() {
		m.after(n, 100, n.confirmOld)
		return
	}
	next := func() { m.after(n, 500+m.rng.Int64N(250), n.confirmOld) }
	begun, from := n.clock(), n.revision
	n.callStore(20, 500, from, func() func() {
		object, revision := m.configuration().revision, m.revision
		return func() {
			if !n.mustWatch {
				n.replace(object, revision, Known{n.begun(begun), revision})
			}
			next()
		}
	}, next)
}

// readPeers reads from a random node while this node's watch does not work.
func (n *modelNode) readPeers() {
	m := n.m
	m.after(n, 500, n.readPeers)
	if n.mustWatch && !n.watching && m.now-n.brokenAt > 500 {
		if other := m.nodes[m.rng.IntN(modelNodes)]; other != n {
			n.read(other, -1)
		}
	}
}
