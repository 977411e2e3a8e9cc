package dissemination

import "github.com/hashicorp/golang-lru/v2/simplelru"

// rememberedMessages bounds the messages that a Spread remembers. News and changes come far less often than they
// take to cross the fleet.
const rememberedMessages = 512

// Spread remembers which messages a node has passed on, so that it passes each one on once in each tree. A node
// that learned the content in another way still passes the message on: those below it in the tree wait for it.
// It is not safe for concurrent use.
type Spread struct {
	passed *simplelru.LRU[passage, struct{}]
}

// passage is one message in one tree.
type passage struct {
	id    uint64
	route Route
}

// NewSpread returns an empty Spread.
func NewSpread() *Spread {
	passed, err := simplelru.NewLRU[passage, struct{}](rememberedMessages, nil)
	if err != nil {
		// Only a size that is not positive is an error.
		panic(err)
	}
	return &Spread{passed: passed}
}

func (s *Spread) first(id uint64, r Route) bool {
	p := passage{id, r}
	if s.passed.Contains(p) {
		return false
	}
	s.passed.Add(p, struct{}{})
	return true
}

// Originate returns what self sends to make message id known.
func (s *Spread) Originate(v View, self string, id uint64, lead Lead) []Step {
	to, route := v.origin(self, lead)
	if to == "" || to == self {
		return s.Forward(v, self, id, route)
	}
	return []Step{{To: to, Route: route}}
}

// FromStore returns what a relay sends for a change that it read from the store: it starts the tree of its zone,
// unless it has done so or, as the second relay, was reached by the tree of the head. All zones have relays of their own.
func (s *Spread) FromStore(v View, self string, id uint64) []Step {
	zone := v.zoneOf[self]
	if relays := v.Relays(zone); v.RelayRank(self) > 0 && s.passed.Contains(passage{id, v.zoneRoute(relays[0], zone)}) {
		return nil
	}
	return s.startZone(v, self, id)
}

func (s *Spread) startZone(v View, self string, id uint64) []Step {
	route := v.zoneRoute(self, v.zoneOf[self])
	if !s.first(id, route) {
		return nil
	}
	return v.memberSteps(self, route)
}

// Forward returns what self sends when message id reaches it on a route.
func (s *Spread) Forward(v View, self string, id uint64, r Route) []Step {
	if r.Stage == "" || !s.first(id, r) {
		return nil
	}
	if r.Stage == StageZones {
		return append(v.zoneSteps(v.zoneOf[self], r), s.startZone(v, self, id)...)
	}
	return v.memberSteps(self, r)
}
