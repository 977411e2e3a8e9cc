package dispatch

import "time"

// slownessLifetime is how long the slowness of upstreams is used after the hub last sent it. The hub repeats it several times a second;
// without a hub, the speeds of machines hold longer than the load on them.
const slownessLifetime = 5 * time.Second

// SetSlowness sets the time of work on the uneven upstreams, as multiples of the usual one, by the hub's answer.
func (s *State) SetSlowness(slowness map[string]float64, now time.Time) {
	s.slownessAt = now
	for id, u := range s.byID {
		u.slowness = slowness[id]
	}
}

// UpdateHubSlowness computes the time of work on the uneven upstreams by the evidence of all nodes and returns it, if this node is the
// hub.
func (s *State) UpdateHubSlowness(now time.Time) map[string]float64 {
	var all map[string]float64
	for _, svc := range s.services {
		ids := make([]string, 0, len(svc.upstreams))
		for _, u := range svc.upstreams {
			ids = append(ids, u.ID)
		}
		slowness := s.speeds.Slowness(ids, now)
		for _, u := range svc.upstreams {
			u.hubSlowness = slowness[u.ID]
			if u.hubSlowness > 0 {
				if all == nil {
					all = map[string]float64{}
				}
				all[u.ID] = u.hubSlowness
			}
		}
	}
	return all
}

// slowness returns the time of work on an upstream as a multiple of the usual one.
func (s *State) slowness(u *upstream, now time.Time) float64 {
	if u.slowness <= 0 || now.Sub(s.slownessAt) > slownessLifetime {
		return 1
	}
	return u.slowness
}

// grantSlowness returns the same by the evidence of all nodes, if this node is the hub.
func (u *upstream) grantSlowness() float64 {
	if u.hubSlowness <= 0 {
		return 1
	}
	return u.hubSlowness
}

// queueAt returns how many requests may wait per slot of an upstream and still be on time. Both the wait and the time to the first
// event grow with its slowness.
func (w *Want) queueAt(slowness float64) float64 {
	if slowness == 1 || w.QueueFirst <= 0 {
		return w.Queue
	}
	return max(0, (w.Queue+w.QueueFirst)/slowness-w.QueueFirst)
}
