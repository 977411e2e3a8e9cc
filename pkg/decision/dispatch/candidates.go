package dispatch

import (
	"slices"
	"time"
)

// filter says which upstreams of a service may be chosen.
type filter struct {
	exclude []string
	// version is the only software version that may be chosen, if it is not nil.
	version *string
	// begins is set for a resumable stream that has not begun.
	begins bool
	// sends is set if a request of this node is sent without a grant, so that limits apply.
	sends bool
	// outliers is set if granted slots of outliers may be used.
	outliers bool
}

func (r *OnlineRequest) filter() filter {
	return filter{exclude: r.Exclude, version: r.Continues, begins: r.Begins, sends: true}
}

// allows reports whether an upstream may be chosen at all.
func (f *filter) allows(u *upstream) bool {
	return !u.Draining && !u.announced.leaving && !slices.Contains(f.exclude, u.ID) && (f.version == nil || u.SoftwareVersion == *f.version)
}

// MayUse reports whether an upstream that was chosen before is still listed and not known to leave.
func (s *State) MayUse(chosen Upstream) bool {
	u := s.byID[chosen.ID]
	return u != nil && u.Incarnation == chosen.Incarnation && u.Address == chosen.Address && !u.Draining && !u.announced.leaving
}

// ejected reports whether an upstream gets no runs because of failures, or none beside the one that tests it.
func (u *upstream) ejected(now time.Time) bool {
	return now.Before(u.ejectedUntil) || u.failures >= failuresToEject && u.probing
}

// postpones reports whether an upstream should be chosen only if there is no other.
func (f *filter) postpones(u *upstream, now time.Time) bool {
	return f.begins && now.Before(u.StreamsFrom)
}

// anyLimited reports whether an upstream may be chosen as far as its limit allows.
func (s *State) anyLimited(svc *serviceState, allowed filter) bool {
	return slices.ContainsFunc(svc.upstreams, func(u *upstream) bool { return u.limited() && allowed.allows(u) })
}

// Serves reports whether a service has an upstream of a software version that is not draining.
func (s *State) Serves(service, version string) bool {
	for _, u := range s.serviceState(service).upstreams {
		if !u.Draining && !u.announced.leaving && u.SoftwareVersion == version {
			return true
		}
	}
	return false
}

// candidates returns the upstreams that may be chosen. Outliers, silent and postponed upstreams are included only if there are no
// others; if all are ejected, the result is the one whose ejection ends first.
func (s *State) candidates(svc *serviceState, allowed filter, now time.Time) []*upstream {
	var usable, postponed, outliers, silent []*upstream
	var firstToReturn *upstream
	for _, u := range svc.upstreams {
		if !allowed.allows(u) || allowed.sends && !s.mayTake(u, now) {
			continue
		}
		switch {
		case u.ejected(now):
			if firstToReturn == nil || u.ejectedUntil.Before(firstToReturn.ejectedUntil) {
				firstToReturn = u
			}
		case allowed.postpones(u, now):
			postponed = append(postponed, u)
		case s.silent(u, now):
			silent = append(silent, u)
		case s.weight(u, now) < outlierWeight:
			outliers = append(outliers, u)
		default:
			usable = append(usable, u)
		}
	}
	for _, list := range [][]*upstream{usable, outliers, silent, postponed} {
		if len(list) > 0 {
			return list
		}
	}
	if firstToReturn != nil {
		return []*upstream{firstToReturn}
	}
	return nil
}
