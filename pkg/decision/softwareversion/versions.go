// Package softwareversion decides which software version of its upstreams a stream has begun at. What two versions generate
// does not fit together, so a stream may continue only at the version that began it, and upstreams do not check that.
//
// While a service has had one version only, that is the one. While it has several, nodes record the streams that they begin
// and exchange the records. A stream of which neither is known can't continue. How long ago a stream began does not follow from
// what its caller announces, so the version counts as the only one if no other has served within Lifetime. A node that has run
// for less knows that from the history that earlier processes left.
package softwareversion

import (
	"time"

	"trefoilplank.example/pkg/decision/dispatch"
)

const (
	// Lifetime is how long after its last event a stream may still continue, and how long a version is remembered after its last
	// upstream is gone. It exceeds the time that callers wait for a stream.
	Lifetime = 30 * time.Second
	// introduction is the time after its first appearance during which a version begins no streams while others serve, so
	// that by then every node with a recent list of upstreams knows it. It exceeds MaxListAge by the time after which a
	// silent watch counts as broken. For as long, other nodes may go on using upstreams that this node's list has lost.
	introduction = 2 * time.Second
	// MaxListAge is the age of a node's list of upstreams up to which it shows every version at which streams begin.
	MaxListAge = 400 * time.Millisecond
)

// seen is when the upstreams of a version were seen.
type seen struct {
	first time.Time
	// gone is when the last one was gone; zero while there is one.
	gone time.Time
}

// within reports whether there was an upstream of the version within a time.
func (s seen) within(d time.Duration, now time.Time) bool {
	return s.gone.IsZero() || now.Sub(s.gone) < d
}

// Versions holds the software versions that a node has seen of each service, or knows from the history. It is not safe for
// concurrent use.
type Versions struct {
	// observed is set once a list of upstreams was seen. Since coveredSince, zero before, no version has served that is not
	// in byService.
	observed     bool
	coveredSince time.Time
	byService    map[string]map[string]seen
}

// History is what processes know of the versions that have served before they started.
type History struct {
	// CoveredSince is the time from which on no version is missing.
	CoveredSince time.Time
	// Gone holds, by service and version, when the last upstream of a version was gone, or zero while there is one.
	Gone map[string]map[string]time.Time
}

// NewVersions returns a Versions that has seen none.
func NewVersions() *Versions { return &Versions{byService: map[string]map[string]seen{}} }

// Observe records a list of upstreams, sets in it when streams may begin on each, and reports whether a version is new or gone.
func (v *Versions) Observe(list []dispatch.Upstream, now time.Time) (changed bool) {
	first := !v.observed
	v.observed = true
	if v.coveredSince.IsZero() {
		v.coveredSince = now
	}
	present := map[string]map[string]bool{}
	for n := range list {
		u := &list[n]
		versions := v.byService[u.Service]
		if versions == nil {
			versions = map[string]seen{}
			v.byService[u.Service] = versions
		}
		s, known := versions[u.SoftwareVersion]
		if !known || !s.within(Lifetime, now) {
			s.first = now
			if first {
				s.first = now.Add(-introduction) // Other nodes may have begun streams at it for long.
			}
		}
		changed = changed || !known || !s.gone.IsZero()
		versions[u.SoftwareVersion] = seen{first: s.first}
		u.StreamsFrom = s.first.Add(introduction)
		if present[u.Service] == nil {
			present[u.Service] = map[string]bool{}
		}
		present[u.Service][u.SoftwareVersion] = true
	}
	for service, versions := range v.byService {
		for version, s := range versions {
			if s.gone.IsZero() && !present[service][version] {
				versions[version] = seen{s.first, now}
				changed = true
			}
		}
	}
	v.forget(now)
	return changed
}

// forget drops the versions that no longer count.
func (v *Versions) forget(now time.Time) {
	for service, versions := range v.byService {
		for version, s := range versions {
			if !s.within(Lifetime+introduction, now) {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(v.byService, service)
		}
	}
}

// Restore adds the history that earlier processes left. A version that it names as serving and that the node has not seen has
// left at an unknown time since.
func (v *Versions) Restore(h History, now time.Time) {
	v.coveredSince = earliest(v.coveredSince, h.CoveredSince)
	for service, versions := range h.Gone {
		if v.byService[service] == nil {
			v.byService[service] = map[string]seen{}
		}
		for version, gone := range versions {
			s, known := v.byService[service][version]
			switch {
			case known && s.gone.IsZero():
				continue
			case gone.IsZero() && v.observed, gone.After(now):
				gone = now
			}
			s.gone = latest(s.gone, gone)
			v.byService[service][version] = s
		}
	}
	v.forget(now)
}

// History returns what a later process should know.
func (v *Versions) History() History {
	h := History{CoveredSince: v.coveredSince, Gone: map[string]map[string]time.Time{}}
	for service, versions := range v.byService {
		h.Gone[service] = map[string]time.Time{}
		for version, s := range versions {
			h.Gone[service][version] = s.gone
		}
	}
	return h
}

// Only returns the only software version at which streams of a service that may still continue can have begun, and whether
// there is one. The list of upstreams must be recent.
func (v *Versions) Only(service string, now time.Time) (version string, ok bool) {
	const within = Lifetime + introduction
	if !v.observed || now.Sub(v.coveredSince) < within {
		return "", false
	}
	for name, s := range v.byService[service] {
		if !s.within(within, now) {
			continue
		}
		if ok {
			return "", false
		}
		version, ok = name, true
	}
	return version, ok
}

// MustRecord reports whether nodes must exchange the streams of a service, since its only version may not be known to all.
func (v *Versions) MustRecord(service string, now time.Time) bool {
	_, only := v.Only(service, now)
	return !only
}

// Several reports whether a service has had several versions within Lifetime, as far as they were seen.
func (v *Versions) Several(service string, now time.Time) bool {
	n := 0
	for _, s := range v.byService[service] {
		if s.within(Lifetime, now) {
			n++
		}
	}
	return n > 1
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
