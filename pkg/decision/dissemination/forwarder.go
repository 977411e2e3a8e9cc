package dissemination

import "github.com/hashicorp/golang-lru/v2/simplelru"

// rememberedMessages bounds the messages that a Forwarder remembers. The time between changes or reports is long compared
// with the time that one takes to reach all nodes.
const rememberedMessages = 512

// Forwarder remembers which messages a node has forwarded, so that it forwards each message once per tree. A node that
// already has the content of a message still forwards it, since the nodes below it in the tree wait for it. It is not
// safe for concurrent use.
type Forwarder struct {
	forwarded *simplelru.LRU[treeMessage, struct{}]
}

// treeMessage identifies a message in one tree.
type treeMessage struct {
	id    uint64
	route Route
}

// NewForwarder returns an empty Forwarder.
func NewForwarder() *Forwarder {
	cache, err := simplelru.NewLRU[treeMessage, struct{}](rememberedMessages, nil)
	if err != nil {
		// Only a size that is not positive is an error.
		panic(err)
	}
	return &Forwarder{forwarded: cache}
}

// markForwarded records that message id is forwarded on a route, and reports whether it was not before.
func (f *Forwarder) markForwarded(id uint64, r Route) bool {
	message := treeMessage{id, r}
	if f.forwarded.Contains(message) {
		return false
	}
	f.forwarded.Add(message, struct{}{})
	return true
}

// Originate returns the messages with which self starts the distribution of message id.
func (f *Forwarder) Originate(v View, self string, id uint64, lead Lead) []Step {
	to, route := v.originRoute(self, lead)
	if to == "" || to == self {
		return f.Forward(v, self, id, route)
	}
	return []Step{{To: to, Route: route}}
}

// OriginateFromStore returns the messages that a relay sends for a change that it learned of from the store. It starts
// the tree of its zone, unless it has done so already or, as the second relay, was reached by the tree of the head.
// Other zones have relays of their own.
func (f *Forwarder) OriginateFromStore(v View, self string, id uint64) []Step {
	zone := v.zoneOf[self]
	if relays := v.Relays(zone); v.RelayRank(self) > 0 && f.forwarded.Contains(treeMessage{id, v.zoneRoute(relays[0], zone)}) {
		return nil
	}
	return f.startZone(v, self, id)
}

// startZone returns the messages that start the tree of self's zone, none if self has started it before.
func (f *Forwarder) startZone(v View, self string, id uint64) []Step {
	route := v.zoneRoute(self, v.zoneOf[self])
	if !f.markForwarded(id, route) {
		return nil
	}
	return v.memberSteps(self, route)
}

// Forward returns the messages that self sends when message id reaches it on a route.
func (f *Forwarder) Forward(v View, self string, id uint64, r Route) []Step {
	if r.Stage == "" || !f.markForwarded(id, r) {
		return nil
	}
	if r.Stage == StageZones {
		return append(v.zoneSteps(v.zoneOf[self], r), f.startZone(v, self, id)...)
	}
	return v.memberSteps(self, r)
}
