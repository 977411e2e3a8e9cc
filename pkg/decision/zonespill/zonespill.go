// Package zonespill decides how much of the load of each zone is served in other zones. A request that leaves its zone costs path time
// and bytes between zones; one that stays in a full zone is lost or late. Load leaves as far as the loss that the next request avoids
// exceeds that cost.
package zonespill

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// pathCost and bytesCost are the cost of serving a request in another zone, as parts of the value of a request: 1.4 ms there and
	// back of an objective of 300 ms, and the bytes of its answer. With them a zone in which one request in fifty finds no free slot
	// begins to use others.
	pathCost, bytesCost = 0.005, 0.015
	// beginFactor and keepFactor are the multiples of the cost that the avoided loss must exceed before load leaves a zone, and while
	// it does.
	beginFactor, keepFactor = 1.25, 0.8
	// maxLossElsewhere is the loss of a zone from which it takes no more load of others, which would displace its own.
	maxLossElsewhere = 0.3
	// parts is the number of parts in which the load of a zone is moved, which bounds the work of a decision.
	parts = 50
	// halfLife is the time in which the part that leaves falls by half when less should leave; it rises at once. Load between two
	// bursts of a zone falls for some seconds, single reports vary within 0.1 s.
	halfLife = 300 * time.Millisecond
	// minLeaving is the least part of a zone's load that leaves it. Below it, requests leave only when they find no free slot.
	minLeaving = 0.02
	// maxStep bounds the time that a fall covers after a pause.
	maxStep = time.Second
)

// Zone is the load and the room of one zone.
type Zone struct {
	// Demand is the number of runs that requests of the zone's nodes need at a time, wherever they run; Slots is the number of usual
	// slots of the zone's upstreams.
	Demand, Slots float64
	// FirstEvent is the expected time to the first event on a free slot of the zone, as a part of the objective; 0 if it does not matter.
	FirstEvent float64
}

// Spill holds the parts of the load that leave their zones.
type Spill struct {
	leaving map[string]float64
	at      time.Time
}

// Update returns the part of each zone's load that is to leave it. Zones whose load stays are left out. The demand of a zone does not
// depend on where its requests run, so decisions do not feed back into themselves.
func (s *Spill) Update(zones map[string]Zone, now time.Time) map[string]float64 {
	wanted := s.wanted(zones)
	fall := math.Exp2(-float64(min(maxStep, max(0, now.Sub(s.at)))) / float64(halfLife))
	leaving := map[string]float64{}
	for name := range zones {
		part := max(wanted[name], s.leaving[name]*fall)
		if part >= minLeaving {
			leaving[name] = min(1, part)
		}
	}
	s.leaving, s.at = leaving, now
	return leaving
}

// wanted returns the part of each zone's load that leaves it, without regard to what left before except for the hysteresis.
func (s *Spill) wanted(zones map[string]Zone) map[string]float64 {
	names := slices.Sorted(maps.Keys(zones))
	load := make([]float64, len(names))
	for i, name := range names {
		load[i] = zones[name].Demand
	}
	moved, taken := make([]float64, len(names)), make([]float64, len(names))
	for range parts * len(names) {
		from, to, gain := -1, -1, 0.0
		for i, name := range names {
			z := zones[name]
			part := z.Demand / parts
			if part <= 0 || taken[i] > 0 || moved[i] >= z.Demand-part/2 {
				continue
			}
			for k, other := range names {
				if k == i || zones[other].Slots <= 0 || moved[k] > 0 {
					continue
				}
				elsewhere := zones[other].loss(load[k] + part)
				g := z.loss(load[i]) - elsewhere - s.cost(name)
				if z.Slots <= 0 {
					g += 2 // Nothing can stay, whatever the others have left.
				} else if elsewhere > maxLossElsewhere {
					continue
				}
				if g > gain {
					from, to, gain = i, k, g
				}
			}
		}
		if from < 0 {
			break
		}
		part := zones[names[from]].Demand / parts
		load[from] -= part
		load[to] += part
		taken[to] += part
		moved[from] += part
	}
	wanted := map[string]float64{}
	for i, name := range names {
		if moved[i] > 0 {
			wanted[name] = moved[i] / zones[name].Demand
		}
	}
	return wanted
}

// cost returns the loss that a request must avoid by leaving a zone.
func (s *Spill) cost(zone string) float64 {
	if s.leaving[zone] > 0 {
		return (pathCost + bytesCost) * keepFactor
	}
	return (pathCost + bytesCost) * beginFactor
}

// loss returns the part of requests that find no free slot or are late on it. Runs vary like a Poisson number, and the time to the first
// event like an exponential one: machines are slower for moments and when nearly full. It is 1 without slots.
func (z Zone) loss(load float64) float64 {
	if z.Slots <= 0 {
		return 1
	}
	full, late := math.Erfc((z.Slots-load)/math.Sqrt(2*max(1, load)))/2, 0.0
	if z.FirstEvent > 0 {
		late = math.Exp(-1 / z.FirstEvent)
	}
	return full + (1-full)*late
}
