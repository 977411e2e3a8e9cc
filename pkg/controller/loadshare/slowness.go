package loadshare

import (
	"math"
	"time"
)

const (
	// slownessUnits is the number of units of a usual slowness in IndexedLoads: 3 % are finer than it is measured.
	slownessUnits = 32
	// slownessInterval is the time between answers to a node that bring the slowness: a third of the time for which a momentary one
	// is used. It costs a byte for each upstream.
	slownessInterval = 200 * time.Millisecond
)

// Speeds holds how long work takes on uneven upstreams, as multiples of the usual time by upstream ID.
type Speeds interface {
	// HubSlowness returns it by the evidence of all nodes, if this node is the hub. SetSlowness receives the hub's.
	HubSlowness() map[string]float64
	SetSlowness(slowness map[string]float64)
}

// updateSlowness takes over the slowness of upstreams by the evidence of all nodes.
func (h *hub) updateSlowness() {
	if h.options.Speeds != nil {
		h.slowness = h.options.Speeds.HubSlowness()
		h.options.Metrics.setUneven(len(h.slowness))
	}
}

// addSlowness adds the slowness of upstreams to an answer, if some are uneven and the node was not sent it recently.
func (h *hub) addSlowness(n *nodeState, loads *IndexedLoads, now time.Time) {
	if len(h.slowness) == 0 || now.Sub(n.slownessAt) < slownessInterval {
		return
	}
	n.slownessAt = now
	loads.Slowness = h.index.packSlowness(h.slowness)
}

// packSlowness returns the slowness of the upstreams by their position.
func (x *upstreamIndex) packSlowness(slowness map[string]float64) []byte {
	packed := make([]byte, len(x.ids))
	for id, s := range slowness {
		if n, ok := x.positions[id]; ok {
			packed[n] = byte(min(math.MaxUint8, max(1, math.Round(s*slownessUnits))))
		}
	}
	return packed
}

// applySlowness passes on the slowness that an answer brings.
func (e *Exchange) applySlowness(loads *IndexedLoads) {
	if len(loads.Slowness) == 0 || e.options.Speeds == nil {
		return
	}
	slowness := map[string]float64{}
	for n, s := range loads.Slowness[:min(len(loads.Slowness), len(e.index.ids))] {
		if s > 0 {
			slowness[e.index.ids[n]] = float64(s) / slownessUnits
		}
	}
	e.options.Speeds.SetSlowness(slowness)
}
