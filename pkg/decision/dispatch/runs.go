package dispatch

import (
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/decision/loadreport"
)

// BeginRun counts a run that this node starts on an upstream.
func (s *State) BeginRun(id string, batch bool) {
	u := s.byID[id]
	if u == nil {
		return
	}
	if batch {
		u.own.Batch++
	} else {
		u.own.Online++
	}
	if u.failures >= failuresToEject {
		u.probing = true
	}
	if !s.isHome(u) {
		s.outOfZone++
	}
	s.take(u)
}

// EndRun removes a run of this node that ended from the count.
func (s *State) EndRun(id string, batch bool, now time.Time) {
	u := s.byID[id]
	if u == nil {
		return
	}
	u.probing = false
	if batch {
		u.own.Batch = max(0, u.own.Batch-1)
		u.own.Firm = min(u.own.Firm, u.own.Batch)
	} else {
		u.own.Online = max(0, u.own.Online-1)
	}
	s.stopAwaiting(u, now)
	s.keepFreedSlot(u, now)
}

// RecordAnswer records that an upstream answered, with the load that it reported.
func (s *State) RecordAnswer(id string, report loadreport.Report) {
	u := s.byID[id]
	if u == nil {
		return
	}
	u.failures, u.ejectedUntil = 0, time.Time{}
	if report.Known() && !report.At.Before(u.report.At) {
		u.report = report
	}
}

// RecordRefusal records that an upstream refused a request because it is full. It counts as full until the next totals.
func (s *State) RecordRefusal(id string, now time.Time) {
	if u := s.byID[id]; u != nil {
		u.total.Online = max(u.total.Online, u.Slots+u.ownReported.Online)
		u.report = loadreport.Report{Running: u.Slots, Slots: u.Slots, At: now}
	}
}

// RecordFailure records a failure and returns how long the upstream is ejected, 0 if it is not. A failure to connect
// ejects at once, other failures after failuresToEject in a row.
func (s *State) RecordFailure(id string, noConnection bool, now time.Time, rng *rand.Rand) time.Duration {
	u := s.byID[id]
	if u == nil {
		return 0
	}
	u.failures++
	if noConnection && u.failures < failuresToEject {
		u.failures = failuresToEject
	}
	if u.failures < failuresToEject {
		return 0
	}
	d := min(minEjection<<min(u.failures-failuresToEject, 10), maxEjection)
	d += time.Duration(rng.Float64() * float64(d) / 4)
	u.ejectedUntil = now.Add(d)
	return d
}

// ForgetFailures drops what speaks against the upstreams at the given addresses: the failures were of connections that are no
// longer used.
func (s *State) ForgetFailures(addresses map[string]bool) {
	for id, u := range s.byID {
		if addresses[u.Address] {
			u.failures, u.ejectedUntil, u.probing = 0, time.Time{}, false
			s.ownEvidence.Forget(id)
		}
	}
}

// RecordRunTimes updates a service's average times by a complete online run. Runs that were queued are ignored, since
// they show the wait and not the times of a run on a free slot.
func (s *State) RecordRunTimes(service string, first, duration time.Duration, queued bool) {
	if queued {
		return
	}
	svc := s.serviceState(service)
	svc.runDuration += time.Duration(smoothingFactor * float64(duration-svc.runDuration))
	if first > 0 {
		svc.firstEvent += time.Duration(smoothingFactor * float64(first-svc.firstEvent))
	}
}

// FirstEvent returns the average time to the first event of a service's answers on a free slot.
func (s *State) FirstEvent(service string) time.Duration { return s.serviceState(service).firstEvent }

// RunDuration returns the average duration of a service's runs on a free slot.
func (s *State) RunDuration(service string) time.Duration { return s.serviceState(service).runDuration }
