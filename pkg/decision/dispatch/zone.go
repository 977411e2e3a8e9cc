package dispatch

import (
	"maps"
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/decision/zonespill"
)

// leavingLifetime is how long the hub uses a decision on what leaves each zone.
const leavingLifetime = 50 * time.Millisecond

// Plus returns the sum of two demands of nodes, as far as the hub needs it. It may use the map of w.
func (w Want) Plus(o Want) Want {
	return Want{Items: w.Items + o.Items, Urgent: w.Urgent + o.Urgent, Rate: w.Rate + o.Rate, ZoneRates: w.addRate(o.Zone, o.Rate)}
}

// Minus returns the sum of demands w without o. It may use the map of w.
func (w Want) Minus(o Want) Want {
	return Want{Items: w.Items - o.Items, Urgent: w.Urgent - o.Urgent, Rate: max(0, w.Rate-o.Rate), ZoneRates: w.addRate(o.Zone, -o.Rate)}
}

func (w Want) addRate(zone string, rate float64) map[string]float64 {
	if zone == "" {
		return w.ZoneRates // A node of an older build, which does not tell its zone.
	}
	if w.ZoneRates == nil {
		w.ZoneRates = map[string]float64{}
	}
	w.ZoneRates[zone] = max(0, w.ZoneRates[zone]+rate)
	return w.ZoneRates
}

// leavingPart returns the part of the requests of a zone that should leave it, if this node is the hub.
func (s *State) leavingPart(svc *serviceState, want, demand Want, totals map[string]Load, now time.Time) float64 {
	if age := now.Sub(svc.leavingAt); svc.leavingAt.IsZero() || age < 0 || age >= leavingLifetime {
		svc.leavingAt = now
		zones := make(map[string]zonespill.Zone, len(demand.ZoneRates))
		for name, rate := range demand.ZoneRates {
			zones[name] = zonespill.Zone{Demand: rate * svc.runDuration.Seconds()}
		}
		unweighed := map[string]float64{}
		_, all := s.grantCandidates(svc, now)
		for _, u := range all {
			slots := float64(max(0, u.Slots-totals[u.ID].Firm)) / u.grantSlowness()
			if u.limited() {
				slots = min(slots, u.announced.limit*svc.runDuration.Seconds())
			}
			z := zones[u.AvailabilityZone]
			z.Slots += slots
			zones[u.AvailabilityZone] = z
			unweighed[u.AvailabilityZone] += slots * u.grantSlowness()
		}
		for name, z := range zones {
			if z.Slots > 0 && want.Queue > 0 {
				z.FirstEvent = unweighed[name] / z.Slots * want.QueueFirst / (want.Queue + want.QueueFirst)
				zones[name] = z
			}
		}
		svc.leaving = svc.spill.Update(zones, now)
	}
	return svc.leaving[want.Zone]
}

// homeZone decides which of the slots that a node is granted are outside its zone.
type homeZone struct {
	name    string
	leaving float64
	// owed is, by zone, the part of a slot that should have left it already. Most grants are of one slot, whose part alone would be
	// rounded down each time.
	owed map[string]float64
}

// nextLeaves reports whether the next slot should be outside the zone.
func (z *homeZone) nextLeaves() bool {
	if z.leaving <= 0 {
		return false
	}
	if z.owed[z.name] += z.leaving; z.owed[z.name] >= 1 {
		z.owed[z.name]--
		return true
	}
	return false
}

// isHome reports whether an upstream is in this node's zone.
func (s *State) isHome(u *upstream) bool { return u.AvailabilityZone == s.AvailabilityZone }

// staysHome decides at random whether a request is served in the node's zone if there is room, or outside it, such that the part that
// the hub named leaves. Without the hub's decision all stay as far as there is room.
func (s *State) staysHome(service string, now time.Time, rng *rand.Rand) bool {
	leaving := s.granted.Leaving[service]
	return leaving <= 0 || now.Sub(s.totalsAt) > maxTotalsAge || rng.Float64() >= leaving
}

// drawByZone draws a candidate by its free slots: one in the node's zone, or outside it as far as its requests should leave it. If
// these have no free slot, it draws among all.
func (s *State) drawByZone(service string, candidates []*upstream, now time.Time, rng *rand.Rand, free func(*upstream) int) (*upstream, int) {
	home := s.staysHome(service, now, rng)
	preferred := make([]*upstream, 0, len(candidates))
	for _, u := range candidates {
		if s.isHome(u) == home {
			preferred = append(preferred, u)
		}
	}
	if len(preferred) > 0 && len(preferred) < len(candidates) {
		if u, n := s.drawByFreeSlots(preferred, now, rng, free); n > 0 {
			return u, n
		}
	}
	return s.drawByFreeSlots(candidates, now, rng, free)
}

// AddLeaving adds the parts that leave a zone of further services; a is nil while there are none.
func AddLeaving(a, b map[string]float64) map[string]float64 {
	if len(a) == 0 {
		return b
	}
	maps.Copy(a, b)
	return a
}

// OutOfZone returns how many runs this node has started on upstreams in other zones.
func (s *State) OutOfZone() int { return s.outOfZone }
